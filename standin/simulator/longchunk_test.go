package simulator_test

import (
	"testing"
	"time"

	"github.com/foxtailwharf/foxtailwharf/standin/simulator"
)

// TestLongStagedChunk guards against an agent that installs nothing once a chunk which it finds staged is longer than its size.
func TestLongStagedChunk(t *testing.T) {
	run(t, simulator.Config{Entries: 3, Engines: 3, Slots: 8, Events: 3}, 0, func(h *harness) {
		e := h.Engines[0]
		e.LengthenChunk(1)
		if err := e.RestartAgent(h.t.Context()); err != nil {
			h.t.Fatal(err)
		}
		h.release(2)
		time.Sleep(switchBound)
		if have := e.Weights(); have != 2 {
			h.t.Errorf("%s holds version %d %s after version 2 was named", e.ID, have, switchBound)
		}
	})
}
