package simulator_test

import (
	"testing"
	"time"

	"github.com/foxtailwharf/foxtailwharf/standin/simulator"
)

// TestFlowsAreIndependent checks that two flows of calls, also of one route at one rate, draw times of their own.
func TestFlowsAreIndependent(t *testing.T) {
	t.Parallel()
	run(t, simulator.Config{Entries: 1, Engines: 1, Slots: 8, Events: 1}, 0, func(h *harness) {
		for range 2 {
			h.load("chat", 10.5, 4*time.Second, 100)
		}
		h.load("chat", 10, 4*time.Second, 100)
		h.callers.Wait()
		sent := make(map[time.Time]int)
		for _, r := range h.results["chat"] {
			sent[r.sent]++
		}
		if have := len(h.results["chat"]) - len(sent); len(sent) < 80 || have > 2 {
			t.Errorf("%d of %d calls were sent at the time of another one", have, len(h.results["chat"]))
		}
	})
}
