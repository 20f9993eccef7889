package simulator_test

import (
	"testing"
	"time"

	"github.com/foxtailwharf/foxtailwharf/standin/simulator"
)

// TestRevocationLostInRestore guards against keys that are used again because the store has come back without their
// revocation, which no entry has seen, and gets it again a second later.
func TestRevocationLostInRestore(t *testing.T) {
	run(t, simulator.Config{Entries: 3, Engines: 3, Slots: 8, Events: 3}, 0, func(h *harness) {
		h.Store.PutConfiguration(h.Configuration(2, simulator.Key, "k2"))
		time.Sleep(time.Second)
		older := h.Store.Copy()
		h.setStoreAway(true)
		h.Store.PutConfiguration(h.Configuration(3, simulator.Key))
		time.Sleep(keyBound)
		h.Store.Restore(older)
		h.setStoreAway(false)
		for end := time.Now().Add(time.Second); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
			for _, e := range h.Entries {
				if r := h.call(e, "chat", "k2", 100); r.isWhole {
					t.Errorf("%s has served a call %s after its key was revoked", e.Name, keyBound+time.Second-time.Until(end))
					return
				}
			}
		}
	})
}
