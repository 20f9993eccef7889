package simulator_test

import (
	"net/http"
	"testing"
	"time"

	"github.com/foxtailwharf/foxtailwharf/standin/simulator"
)

// TestRestoredStartEndsCalls guards against calls that are ended, right after the store has come back from an older copy,
// since the copy tells that the engines which run them started earlier than they did.
func TestRestoredStartEndsCalls(t *testing.T) {
	t.Parallel()
	run(t, simulator.Config{Entries: 8, Engines: 16, Slots: 16, Events: 20}, 0, func(h *harness) {
		h.addLongRoute(false)
		older := h.Store.Copy()
		for _, e := range h.Engines {
			e.Crash(200*time.Millisecond, false)
		}
		time.Sleep(300 * time.Millisecond)
		for _, e := range h.Engines {
			e.PutUpstream()
		}
		time.Sleep(6 * time.Second)
		h.load(longRoute, 60, 4*time.Second, 100)
		time.Sleep(1500 * time.Millisecond)
		restoredAt := time.Now()
		h.Store.Restore(older)
		time.Sleep(700 * time.Millisecond)
		for _, e := range h.Engines {
			e.PutUpstream()
		}
		h.callers.Wait()
		for _, r := range h.results[longRoute] {
			if !r.isWhole && r.status != http.StatusServiceUnavailable {
				t.Errorf("status %d, a stream that was sent %s after the restore and cut after %s", r.status, r.sent.Sub(restoredAt), r.ended.Sub(r.sent))
			}
		}
	})
}
