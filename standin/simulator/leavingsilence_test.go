package simulator_test

import (
	"testing"
	"time"

	"github.com/foxtailwharf/foxtailwharf/standin/simulator"
)

// leavingSilence is an engine that falls silent while it is leaving.
type leavingSilence struct {
	name     string
	isListed bool // as leaving; otherwise the engine says so in its answers
	silence  time.Duration
	endsIn   time.Duration // after the silence has begun; 0 for not at all
}

// TestEngineIsSilentWhileLeaving guards against calls that are lost, or that their callers wait for in vain,
// because an engine that is leaving falls silent: for about a second, for good, or until its process ends.
func TestEngineIsSilentWhileLeaving(t *testing.T) {
	t.Parallel()
	const forGood = 30 * time.Second
	tests := []leavingSilence{
		{"listed as leaving, about a second", true, 900 * time.Millisecond, 0},
		{"says that it leaves, about a second", false, 900 * time.Millisecond, 0},
		{"listed as leaving, for good", true, forGood, 0},
		{"says that it leaves, for good", false, forGood, 0},
		{"listed as leaving, until it ends", true, forGood, 1500 * time.Millisecond},
		{"says that it leaves, until it ends", false, forGood, 1500 * time.Millisecond},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			arrived := newArrivals()
			run(t, simulator.Config{Entries: 4, Engines: 4, Slots: 8, Events: 20, OnArrive: arrived.arrive}, 0, func(h *harness) {
				tt.check(h, arrived)
			})
		})
	}
}

func (tt leavingSilence) check(h *harness, arrived *arrivals) {
	h.load("chat", 12, 6*time.Second, 100)
	time.Sleep(2 * time.Second)
	e := h.Engines[0]
	silentAt := tt.play(e)
	h.callers.Wait()
	for _, r := range h.results["chat"] {
		if !r.isWhole {
			h.t.Errorf("status %d for a call sent %s after the silence began, ended after %s", r.status, r.sent.Sub(silentAt), r.ended.Sub(r.sent))
		}
	}
	late := arrived.between(e.ID, silentAt.Add(drainBound), time.Now())
	if !tt.isListed {
		// Entries learn it from the answers to their own calls.
		late, _ = arrived.afterWord(e.ID, h.entries, silentAt.Add(tt.silence), time.Now())
	}
	if late > 0 {
		h.t.Errorf("%d calls reach the engine from entries that know that it is leaving", late)
	}
}

// play makes an engine leave and fall silent, and returns when the silence began.
func (tt leavingSilence) play(e *simulator.Engine) (silentAt time.Time) {
	if tt.isListed {
		e.Drain()
	} else {
		e.Leave()
	}
	time.Sleep(300 * time.Millisecond)
	e.FallSilent(tt.silence)
	silentAt = time.Now()
	if tt.endsIn > 0 {
		time.Sleep(tt.endsIn)
		e.Crash(time.Minute, false)
	}
	return silentAt
}
