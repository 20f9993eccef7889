package simulator_test

import (
	"net/http"
	"testing"
	"time"

	"github.com/foxtailwharf/foxtailwharf/standin/simulator"
)

// TestLeavingBeforeListed guards against calls that reach engines which say that they are leaving while
// the list shows them as ready. Each entry learns it from its own calls: one a run and entry, and those
// that were under way.
func TestLeavingBeforeListed(t *testing.T) {
	const entries, calls, length = 12, 60.0, 12 * time.Second
	arrived := &arrivals{at: make(map[string][]time.Time)}
	run(t, simulator.Config{Entries: entries, Engines: 9, Slots: 8, Events: 5, OnArrive: arrived.arrive}, 0, func(h *harness) {
		h.load("chat", calls, length, 100)
		time.Sleep(2 * time.Second)
		said := time.Now()
		for n := range 3 {
			h.Engines[n].Leave()
		}
		h.callers.Wait()
		for n := range 3 {
			all := arrived.between(h.Engines[n].ID, said, time.Now())
			t.Logf("%d calls reach %s after its word", all, h.Engines[n].ID)
			if all > 2*entries {
				t.Errorf("%d calls reach %s after its word, want %d at the most", all, h.Engines[n].ID, 2*entries)
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
