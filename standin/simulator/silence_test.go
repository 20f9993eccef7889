package simulator_test

import (
	"testing"
	"time"

	"github.com/foxtailwharf/foxtailwharf/standin/simulator"
)

// TestSilentEnginesKeepTheirCalls guards against ending calls of sound engines because these fall silent, also
// towards their agents, for about a second.
func TestSilentEnginesKeepTheirCalls(t *testing.T) {
	const silence = 900 * time.Millisecond
	run(t, simulator.Config{Entries: 4, Engines: 3, Slots: 8, Events: 12}, 0, func(h *harness) {
		h.load("chat", 10, 2*time.Second, 100)
		time.Sleep(2 * time.Second)
		for _, e := range h.Engines {
			e.FallSilent(silence)
		}
		h.callers.Wait()
		sent := h.results["chat"]
		for _, c := range sent {
			if !c.isWhole {
				t.Errorf("status %d, a stream that is not whole %s after its start", c.status, c.ended.Sub(c.sent))
			}
		}
		// Another engine may be tried while the first one is silent.
		if runs := h.countRuns(); runs < len(sent) || runs > 2*len(sent) {
			t.Errorf("%d calls began %d times, want once or twice each", len(sent), runs)
		}
	})
}

// TestCallsArriveWhileEnginesAreSilent guards against calls that are refused, since all engines are silent for a
// moment, also towards their agents.
func TestCallsArriveWhileEnginesAreSilent(t *testing.T) {
	const silence = 1200 * time.Millisecond
	run(t, simulator.Config{Entries: 4, Engines: 3, Slots: 8, Events: 12}, 0, func(h *harness) {
		for _, e := range h.Engines {
			e.FallSilent(silence)
		}
		h.load("chat", 15, silence, 100)
		h.callers.Wait()
		for _, c := range h.results["chat"] {
			if !c.isWhole {
				t.Errorf("status %d, %s after its start, want a whole stream", c.status, c.ended.Sub(c.sent))
			}
		}
		if len(h.results["chat"]) < 10 {
			t.Errorf("%d calls, want more", len(h.results["chat"]))
		}
	})
}
