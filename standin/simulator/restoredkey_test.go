package simulator_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/foxtailwharf/foxtailwharf/standin/simulator"
)

// TestRevokedKeyAtStartAfterRestore guards against an entry that starts after the store has come back from an older copy, and accepts a
// key that was revoked and that the other entries refuse.
func TestRevokedKeyAtStartAfterRestore(t *testing.T) {
	for domain := range 3 {
		for _, isAlone := range []bool{true, false} {
			t.Run(fmt.Sprintf("domain %d, one entry: %t", domain, isAlone), func(t *testing.T) {
				run(t, simulator.Config{Entries: 12, Engines: 6, Slots: 4, Events: 3}, 0, func(h *harness) { h.revokeAndRestore(domain, isAlone) })
			})
		}
	}
}

// revokeAndRestore revokes a key, and starts entries of a domain anew after the store has come back from a copy in which the
// key is valid. The operator's configuration is there again only later.
func (h *harness) revokeAndRestore(domain int, isAlone bool) {
	const rewrittenAfter = 1800 * time.Millisecond
	h.Store.PutConfiguration(h.Configuration(2, simulator.Key, "k2"))
	time.Sleep(2 * time.Second)
	older := h.Store.Copy()
	h.Store.PutConfiguration(h.Configuration(3, simulator.Key))
	time.Sleep(keyBound + time.Second)
	started := slices.DeleteFunc(slices.Clone(h.Entries[1:]), func(e *simulator.Entry) bool { return slices.Index(h.Entries, e)%3 != domain })
	if isAlone {
		started = started[:1]
	}
	for _, e := range started {
		e.Kill()
	}
	h.Store.Restore(older)
	for _, e := range started {
		if err := e.Start(h.t.Context()); err != nil {
			h.t.Error(err)
		}
	}
	restored := time.Now()
	for time.Since(restored) < rewrittenAfter {
		h.checkRevoked(started, restored)
		time.Sleep(50 * time.Millisecond)
	}
	h.Store.PutConfiguration(h.Configuration(3, simulator.Key))
	time.Sleep(rewrittenAfter)
	h.checkRevoked(started, restored)
	for _, e := range started {
		if r := h.call(e, "chat", simulator.Key, 10); !r.isWhole {
			h.t.Errorf("%s answers a sound call with status %d once the operator's configuration is back", e.Name, r.status)
		}
	}
}

// checkRevoked checks that entries run no call with the key that was revoked.
func (h *harness) checkRevoked(entries []*simulator.Entry, restored time.Time) {
	for _, e := range entries {
		if r := h.call(e, "chat", "k2", 10); r.isWhole {
			h.t.Errorf("%s accepts a key that was revoked %s after the store came back", e.Name, time.Since(restored))
		}
	}
}
