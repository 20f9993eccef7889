package simulator_test

import (
	"testing"
	"time"

	"github.com/foxtailwharf/foxtailwharf/standin/simulator"
)

// TestRemovedEntryCutsNoCalls guards against calls that are cut because the list's entry of their engine, which is sound,
// has become invalid, which counts as removed.
func TestRemovedEntryCutsNoCalls(t *testing.T) {
	t.Parallel()
	run(t, simulator.Config{Entries: 3, Engines: 4, Slots: 8, Events: 60}, 0, func(h *harness) {
		const length = 2 * time.Second
		h.load("chat", 8, length, 100)
		time.Sleep(length)
		for _, e := range h.Engines[1:] {
			h.Store.RemoveUpstream(e.ID)
		}
		h.callers.Wait()
		for _, r := range h.results["chat"] {
			if !r.isWhole {
				t.Errorf("status %d for a call sent %s before its engine's entry was removed", r.status, length-r.sent.Sub(h.results["chat"][0].sent))
			}
		}
		if len(h.results["chat"]) < 8 {
			t.Errorf("%d calls, want more", len(h.results["chat"]))
		}
	})
}
