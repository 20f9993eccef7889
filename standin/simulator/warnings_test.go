package simulator_test

import (
	"testing"
	"time"

	"github.com/foxtailwharf/foxtailwharf/standin/simulator"
)

const (
	// controlBytes is what an entry may spend a second on control, and warningBytes the size of a short warning and
	// its answer on the wire (docs/CAPACITY.md).
	controlBytes = 29_000
	warningBytes = 700
)

// massFailure is a failure of many engines at once in a fleet under load.
type massFailure struct {
	name            string
	config          simulator.Config
	callsPerSecond  float64
	crashed         int // engines
	isMeasurement   bool
	isOneAfterOther bool // the engines fail within two seconds instead of at once
}

// TestWarningsAfterMassFailure bounds the messages between entries after a failure of many engines, which must not
// grow with the square of the entries.
func TestWarningsAfterMassFailure(t *testing.T) {
	tests := []massFailure{
		{name: "30 entries", config: simulator.Config{Entries: 30, Engines: 40, Domains: 3}, callsPerSecond: 150, crashed: 20},
		{name: "30 entries, one after the other", config: simulator.Config{Entries: 30, Engines: 40, Domains: 3}, callsPerSecond: 150, crashed: 20, isOneAfterOther: true},
		{name: "149 entries", config: simulator.Config{Entries: 149, Engines: 265, Domains: 5}, callsPerSecond: 800, crashed: 132, isMeasurement: true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			if tt.isMeasurement && !*isMeasuring {
				t.Skip("measurement; run it with -measure")
			}
			tt.run(t)
		})
	}
}

func (tt massFailure) run(t *testing.T) {
	const before, after = 2 * time.Second, 4 * time.Second
	tt.config.Slots, tt.config.Events = 8, 12
	l := &crashLoad{nearFraction: 0.5, isBad: make(map[string]bool), arrived: make(map[string][]time.Time)}
	run(t, tt.config, 0, func(h *harness) {
		l.h = h
		l.run(1, tt.callsPerSecond, time.Now().Add(before+after), "")
		time.Sleep(before)
		sent := h.warnings()
		for n := range tt.crashed {
			h.Engines[n].Crash(3500*time.Millisecond, false)
			if tt.isOneAfterOther {
				time.Sleep(2 * time.Second / time.Duration(tt.crashed))
			}
		}
		time.Sleep(after)
		allowed := controlBytes * after.Seconds() / warningBytes
		perEntry := float64(h.warnings()-sent) / float64(tt.config.Entries)
		t.Logf("%d warnings, %.0f by each entry", h.warnings()-sent, perEntry)
		if perEntry > allowed {
			t.Errorf("each entry sends %.0f warnings in %s, want %.0f at the most", perEntry, after, allowed)
		}
		h.callers.Wait()
	})
}

// warnings returns how many warnings all entries have sent.
func (h *harness) warnings() (count int64) {
	for _, e := range h.Entries {
		count += e.Warnings()
	}
	return count
}
