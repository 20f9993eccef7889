package simulator_test

import (
	"testing"
	"time"

	"github.com/foxtailwharf/foxtailwharf"
	"github.com/foxtailwharf/foxtailwharf/standin/simulator"
)

// betweenReleases is the time from the first to the second release of the tests below.
const betweenReleases = 3500 * time.Millisecond

// TestEntryRestartBetweenReleases guards against an entry that starts after two releases and sends
// calls to the oldest weights until the second release is due. No engine can load either.
func TestEntryRestartBetweenReleases(t *testing.T) {
	t.Parallel()
	run(t, simulator.Config{Entries: 4, Engines: 6, Slots: 8, Events: 8}, 0, func(h *harness) {
		h.Origin.SetDown(true)
		h.load("chat", 20, 14*time.Second, 500)
		releasedAt := time.Now()
		h.release(2)
		time.Sleep(betweenReleases)
		h.release(3)
		time.Sleep(500 * time.Millisecond)
		h.Entries[1].Kill()
		if err := h.Entries[1].Start(h.t.Context()); err != nil {
			t.Fatal(err)
		}
		time.Sleep(10 * time.Second)
		h.checkVersions(2, releasedAt)
	})
}

// TestDomainAwayBetweenReleases guards against entries that are cut off from the store and all other
// failure domains while two releases are named, and know only the second one afterwards.
func TestDomainAwayBetweenReleases(t *testing.T) {
	t.Parallel()
	run(t, simulator.Config{Entries: 6, Engines: 6, Slots: 8, Events: 8}, 0, func(h *harness) {
		h.Origin.SetDown(true)
		h.load("chat", 20, 14*time.Second, 500)
		h.setAway(1, true)
		time.Sleep(200 * time.Millisecond)
		releasedAt := time.Now()
		h.release(2)
		time.Sleep(betweenReleases)
		h.release(3)
		time.Sleep(500 * time.Millisecond)
		h.setAway(1, false)
		time.Sleep(10 * time.Second)
		h.checkVersions(2, releasedAt)
	})
}

// TestAgentRestartBetweenReleases guards against agents that start after two releases and load the
// second one by its own deadline: the entries send no calls to the oldest weights from the first one's
// deadline on.
func TestAgentRestartBetweenReleases(t *testing.T) {
	t.Parallel()
	run(t, simulator.Config{Entries: 4, Engines: 15, Slots: 8, Events: 8}, 0, func(h *harness) {
		h.load("chat", 20, 14*time.Second, 500)
		releasedAt := time.Now()
		h.release(2)
		time.Sleep(betweenReleases)
		h.release(3)
		time.Sleep(500 * time.Millisecond)
		for _, e := range h.Engines {
			if err := e.RestartAgent(h.t.Context()); err != nil {
				t.Fatal(err)
			}
		}
		time.Sleep(switchBound - time.Since(releasedAt))
		for _, e := range h.Engines {
			if held := e.Weights(); held < 2 {
				t.Errorf("%s holds version %d %s after the release of version 2", e.ID, held, switchBound)
			}
		}
	})
}

// release names a version of the weights.
func (h *harness) release(version int64) {
	h.Store.Release(foxtailwharf.Release{Model: "m", Version: version})
}

// setAway cuts a failure domain off from the store and from the other domains, or connects it again.
func (h *harness) setAway(domain int, isAway bool) {
	const domains = 3
	h.SetDomainAway(domain, isAway)
	for index, e := range h.Entries {
		if index%domains == domain {
			h.Store.SetUnavailable(e.Name, isAway)
		}
	}
}

// TestReleaseIsNotTakenForOlder guards against processes that tell each other ever earlier times of a
// release, and give up the weights before it too early.
func TestReleaseIsNotTakenForOlder(t *testing.T) {
	t.Parallel()
	const givenUp = 7200 * time.Millisecond // 0.8 s before the bound
	run(t, simulator.Config{Entries: 12, Engines: 24, Slots: 8, Events: 8}, 0, func(h *harness) {
		h.Origin.SetDown(true)
		releasedAt := time.Now()
		h.release(2)
		h.load("chat", 60, switchBound, 500)
		time.Sleep(switchBound + time.Second)
		last := h.lastStart().Sub(releasedAt)
		if last < givenUp-100*time.Millisecond || last > switchBound {
			t.Errorf("last call on the old weights %s after the release, want about %s", last, givenUp)
		}
	})
}

// TestReleaseDuringOutage guards against calls that fail because all entries hear of a release late, do
// not know when it was named, and give up the older weights before the engines have loaded.
func TestReleaseDuringOutage(t *testing.T) {
	t.Parallel()
	run(t, simulator.Config{Entries: 6, Engines: 9, Slots: 8, Events: 8}, 0, func(h *harness) {
		for _, e := range h.Entries {
			h.Store.SetUnavailable(e.Name, true)
		}
		time.Sleep(4 * time.Second)
		h.release(2)
		time.Sleep(200 * time.Millisecond)
		for _, e := range h.Entries {
			h.Store.SetUnavailable(e.Name, false)
		}
		time.Sleep(500 * time.Millisecond)
		h.load("chat", 20, 9*time.Second, 500)
		time.Sleep(9 * time.Second)
		h.callers.Wait()
		if _, served := h.onTime("chat", time.Second); served < 0.98 {
			t.Errorf("fraction of calls served after the outage: %.3f, want at least 0.98", served)
		}
	})
}
