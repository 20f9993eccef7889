package simulator_test

import (
	"net/http"
	"testing"
	"time"

	"github.com/foxtailwharf/foxtailwharf/standin/simulator"
)

// TestLeavingBeforeListed guards against calls that reach engines which say that they are leaving while
// the list shows them as ready. Each entry learns it from its own calls.
func TestLeavingBeforeListed(t *testing.T) {
	const entries, calls, length = 12, 60.0, 12 * time.Second
	arrived := newArrivals()
	run(t, simulator.Config{Entries: entries, Engines: 9, Slots: 8, Events: 5, OnArrive: arrived.arrive}, 0, func(h *harness) {
		h.load("chat", calls, length, 100)
		time.Sleep(2 * time.Second)
		said := time.Now()
		for n := range 3 {
			h.Engines[n].Leave()
		}
		h.callers.Wait()
		for n := range 3 {
			all, _ := arrived.afterWord(h.Engines[n].ID, h.entries, said, time.Now())
			t.Logf("%s: %d calls after its word", h.Engines[n].ID, all)
			if all > 0 {
				t.Errorf("%d calls reach %s from entries that have had its word, want none", all, h.Engines[n].ID)
			}
		}
		if _, served := h.onTime("chat", time.Second); served < 0.99 {
			t.Errorf("%.3f of the calls were served, want 0.99 at least", served)
		}
	})
}

// TestAllLeave checks that calls are refused at once when all engines are leaving, and served by a new run.
func TestAllLeave(t *testing.T) {
	run(t, simulator.Config{Entries: 3, Engines: 2, Slots: 8, Events: 5}, 0, func(h *harness) {
		for _, e := range h.Engines {
			e.Leave()
		}
		h.load("chat", 20, 2*time.Second, 100)
		h.callers.Wait()
		for _, entry := range h.Entries {
			if r := h.call(entry, "chat", simulator.Key, 100); r.status != http.StatusServiceUnavailable || r.ended.Sub(r.sent) > 50*time.Millisecond {
				t.Errorf("status %d after %s, want 503 at once", r.status, r.ended.Sub(r.sent))
			}
		}
		if _, err := h.AddEngine(h.t.Context(), true); err != nil {
			t.Fatal(err)
		}
		time.Sleep(2 * time.Second)
		for _, entry := range h.Entries {
			if r := h.call(entry, "chat", simulator.Key, 100); !r.isWhole {
				t.Errorf("status %d with a new engine, want a whole answer", r.status)
			}
		}
	})
}

// pauseTest is a storm of engines that want no calls for a time.
type pauseTest struct {
	name           string
	config         simulator.Config
	paused         int // of the engines
	length         time.Duration
	callsPerSecond float64
	minServed      float64
}

func (tt pauseTest) run(t *testing.T) {
	arrived := newArrivals()
	tt.config.OnArrive = arrived.arrive
	run(t, tt.config, 0, func(h *harness) {
		h.load("chat", tt.callsPerSecond, 2*time.Second+2*tt.length, 100)
		time.Sleep(2 * time.Second)
		said := time.Now()
		for _, e := range h.Engines[:tt.paused] {
			e.Pause(tt.length)
		}
		h.callers.Wait()
		entries := len(h.Entries)
		for _, e := range h.Engines[:tt.paused] {
			within, most := arrived.afterWord(e.ID, h.entries, said, said.Add(tt.length))
			first := arrived.between(e.ID, said.Add(tt.length), said.Add(tt.length+50*time.Millisecond))
			later := arrived.between(e.ID, said.Add(tt.length), time.Now())
			t.Logf("%s: %d calls within its pause after its word, %d in the first 50 ms after it, %d after it", e.ID, within, first, later)
			if within > 0 {
				t.Errorf("%d calls reach %s within its pause, %d from one entry that has had its word, want none", within, e.ID, most)
			}
			if first > entries/2 {
				t.Errorf("%d calls reach %s in the first 50 ms after its pause, want %d at the most", first, e.ID, entries/2)
			}
			if later < int(tt.callsPerSecond*tt.length.Seconds())/len(h.Engines)/2 {
				t.Errorf("%d calls reach %s after its pause, want that it serves again", later, e.ID)
			}
		}
		_, served := h.onTime("chat", time.Second)
		t.Logf("%.3f of the calls were served", served)
		if served < tt.minServed {
			t.Errorf("%.3f of the calls were served, want %.3f at least", served, tt.minServed)
		}
		tt.checkRefusals(h, said)
	})
}

// checkRefusals checks the answers to calls that were refused, and that those which no engine could serve in
// time, once all entries knew it, were refused at once.
func (tt pauseTest) checkRefusals(h *harness, said time.Time) {
	const learned, maxWait, maxJitter, atOnce = 2 * time.Second, 2700 * time.Millisecond, 2 * time.Second, 50 * time.Millisecond
	end := said.Add(tt.length)
	refused := 0
	for _, r := range h.results["chat"] {
		if r.status == http.StatusOK {
			continue
		}
		if wait := r.ended.Sub(r.sent); wait > maxWait+atOnce {
			h.t.Errorf("a call was refused after %s, want %s at the most", wait, maxWait)
		}
		if r.retryAfter == 0 {
			h.t.Errorf("a call was refused with %d and no Retry-After", r.status)
		}
		if r.sent.Before(said.Add(learned)) || r.sent.After(end.Add(-maxWait)) {
			continue
		}
		refused++
		if wait := r.ended.Sub(r.sent); wait > atOnce {
			h.t.Errorf("a call was refused after %s, %s before the end, want at once", wait, end.Sub(r.sent))
		}
		if early := end.Sub(r.ended.Add(r.retryAfter)); early > atOnce || early < -maxJitter {
			h.t.Errorf("a caller was told to come back %s before the end of the pause, want soon after it", early)
		}
	}
	h.t.Logf("%d calls were refused that could not be served in time", refused)
}

// TestPauseStorm guards against calls that reach engines within the time for which they want none, and
// against the return of all calls at one instant.
func TestPauseStorm(t *testing.T) {
	for _, tt := range []pauseTest{
		{name: "half of a service", config: simulator.Config{Entries: 12, Engines: 8, Slots: 8, Events: 5}, paused: 4, length: 6 * time.Second, callsPerSecond: 50, minServed: 0.98},
		{name: "all of a service, back in time", config: simulator.Config{Entries: 12, Engines: 6, Slots: 8, Events: 5}, paused: 6, length: time.Second, callsPerSecond: 40, minServed: 0.98},
		{name: "all of a service, back too late", config: simulator.Config{Entries: 12, Engines: 6, Slots: 8, Events: 5}, paused: 6, length: 8 * time.Second, callsPerSecond: 40, minServed: 0.6},
	} {
		t.Run(tt.name, tt.run)
	}
}
