package simulator_test

import (
	"context"
	"net/http"
	"testing"
	"time"

	"github.com/foxtailwharf/foxtailwharf"
	"github.com/foxtailwharf/foxtailwharf/standin"
	"github.com/foxtailwharf/foxtailwharf/standin/simulator"
)

// TestSwitchUnderLoad guards against calls that fail, that start on the old version after
// switchBound, and chunks that are downloaded from the origin again and again, when a release is
// published under load. Three engines are empty and two have a corrupt chunk.
func TestSwitchUnderLoad(t *testing.T) {
	t.Parallel()
	run(t, simulator.Config{Entries: 4, Engines: 9, Slots: 8, Events: 12}, 3, func(h *harness) {
		h.waitForVersion(1, 4*time.Second)
		sentBefore := h.Origin.Sent()
		h.load("chat", 20, 14*time.Second, 500)
		time.Sleep(2 * time.Second)
		releasedAt := time.Now()
		h.Store.Release(foxtailwharf.Release{Model: "m", Version: 2})
		h.Engines[1].CorruptChunk(3)
		time.Sleep(5 * time.Second)
		h.Engines[2].CorruptChunk(4)
		h.waitForVersion(2, switchBound)
		time.Sleep(3 * time.Second)
		h.checkVersions(2, releasedAt)
		if _, served := h.onTime("chat", time.Second); served < 0.98 {
			t.Errorf("fraction of calls served during a switch: %.3f, want at least 0.98", served)
		}
		// Version 1 was staged at six of the nine engines from the start.
		size := float64(standin.TestManifest(2).Size())
		for version, sent := range map[int]int64{1: sentBefore, 2: h.Origin.Sent() - sentBefore} {
			if copies := float64(sent) / size; copies > 1.3 {
				t.Errorf("origin sent %.2f copies of version %d, want at most 1.3", copies, version)
			}
		}
	})
}

// checkVersions fails the test if a call started on an older version after switchBound.
func (h *harness) checkVersions(version int64, releasedAt time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, r := range h.runs {
		if late := r.startedAt.Sub(releasedAt); late > switchBound && r.weights < version {
			h.t.Errorf("%s started on version %d %s after the release of version %d", r.call, r.weights, late, version)
		}
	}
}

// TestOriginFailsBetweenReleases guards against a fleet that serves nothing when the origin fails
// right after a second release, while the first one is still being distributed: the fleet has to
// complete the first one.
func TestOriginFailsBetweenReleases(t *testing.T) {
	t.Parallel()
	run(t, simulator.Config{Entries: 3, Engines: 6, Slots: 8, Events: 8}, 0, func(h *harness) {
		h.load("chat", 10, 22*time.Second, 500)
		releasedAt := time.Now()
		h.Store.Release(foxtailwharf.Release{Model: "m", Version: 2})
		time.Sleep(400 * time.Millisecond)
		h.Origin.SetDown(true)
		h.Store.Release(foxtailwharf.Release{Model: "m", Version: 3})
		time.Sleep(11 * time.Second)
		h.checkVersions(2, releasedAt)
		h.Origin.SetDown(false)
		h.waitForVersion(3, 6*time.Second)
		if _, served := h.onTime("chat", time.Second); served < 0.6 {
			t.Errorf("fraction of calls served although the origin failed: %.2f, want at least 0.6", served)
		}
	})
}

// TestPowerLoss guards against a fleet that does not recover on its own after all machines lose
// power at once.
func TestPowerLoss(t *testing.T) {
	t.Parallel()
	run(t, simulator.Config{Entries: 3, Engines: 6, Slots: 8, Events: 8}, 0, func(h *harness) {
		for _, e := range h.Entries {
			e.Kill()
		}
		for _, e := range h.Engines {
			e.LosePower(500 * time.Millisecond)
		}
		time.Sleep(600 * time.Millisecond)
		back := time.Now()
		for _, e := range h.Entries {
			if err := e.Start(h.t.Context()); err != nil {
				t.Fatal(err)
			}
		}
		for _, e := range h.Engines {
			if err := e.Restart(h.t.Context()); err != nil {
				t.Fatal(err)
			}
			e.PutUpstream()
		}
		h.waitForVersion(1, recoveryBound-time.Since(back))
		time.Sleep(500 * time.Millisecond)
		if r := h.call(h.Entries[0], "chat", simulator.Key, 500); !r.isWhole {
			t.Errorf("status %d after the recovery, want a whole response", r.status)
		}
	})
}

// TestKeyRevokedWithoutStore guards against an entry that accepts a revoked key because it cannot
// reach the store. It gets the configuration from the other entries instead, so that other keys
// keep working.
func TestKeyRevokedWithoutStore(t *testing.T) {
	t.Parallel()
	run(t, simulator.Config{Entries: 3, Engines: 3, Slots: 8, Events: 3}, 0, func(h *harness) {
		h.Store.PutConfiguration(h.Configuration(2, simulator.Key, "k2"))
		time.Sleep(time.Second)
		isolated := h.Entries[1]
		if r := h.call(isolated, "chat", "k2", 100); !r.isWhole {
			t.Fatalf("status %d before the key is revoked, want a whole response", r.status)
		}
		h.Store.SetUnavailable(isolated.Name, true)
		time.Sleep(time.Second)
		h.Store.PutConfiguration(h.Configuration(3, simulator.Key))
		time.Sleep(keyBound)
		if r := h.call(isolated, "chat", "k2", 100); r.isWhole {
			t.Error("a call with a revoked key was served")
		}
		if r := h.call(isolated, "chat", simulator.Key, 100); !r.isWhole {
			t.Errorf("status %d for another key, want a whole response", r.status)
		}
	})
}

// TestStoreUnavailable guards against keys that are accepted although no entry can reach the store
// to learn whether they are revoked.
func TestStoreUnavailable(t *testing.T) {
	t.Parallel()
	run(t, simulator.Config{Entries: 3, Engines: 3, Slots: 8, Events: 3}, 0, func(h *harness) {
		for _, e := range h.Entries {
			h.Store.SetUnavailable(e.Name, true)
		}
		time.Sleep(keyBound)
		for _, e := range h.Entries {
			if r := h.call(e, "chat", simulator.Key, 100); r.isWhole || r.status != http.StatusServiceUnavailable {
				t.Errorf("%s: status %d, want 503", e.Name, r.status)
			}
		}
	})
}

// TestBurst guards against more urgent calls that are served worse than less urgent ones when a
// burst of summaries exceeds the capacity of the fleet.
func TestBurst(t *testing.T) {
	t.Parallel()
	// With 8 slots per engine and responses of about a second, the capacity is some 40 calls per
	// second.
	run(t, simulator.Config{Entries: 4, Engines: 5, Slots: 8, Events: 12}, 0, func(h *harness) {
		h.load("chat", 15, 12*time.Second, 800)
		h.load("answer", 8, 12*time.Second, 600)
		h.load("summary", 45, 12*time.Second, 1300)
		time.Sleep(12 * time.Second)
		h.callers.Wait()
		lastScore, lastServed := 0.0, 0.0
		for i, route := range []string{"summary", "answer", "chat"} {
			goal := 400 * time.Millisecond
			if route == "summary" {
				goal = time.Second
			}
			onTime, served := h.onTime(route, goal)
			score := onTime + (served-onTime)*lateScore
			t.Logf("%s: on time %.2f, served %.2f, score %.2f", route, onTime, served, score)
			if score < minScore {
				t.Errorf("%s has a score of %.2f, want at least %.2f", route, score, minScore)
			}
			if i > 0 && (served < lastServed-0.05 || score < lastScore-0.15) {
				t.Errorf("%s: served %.2f, score %.2f, which is worse than the less urgent calls before", route, served, score)
			}
			lastScore, lastServed = score, served
		}
	})
}

// TestEngineCrash guards against streams that are lost when their engine crashes: they have to
// continue on another engine.
func TestEngineCrash(t *testing.T) {
	t.Parallel()
	run(t, simulator.Config{Entries: 3, Engines: 6, Slots: 8, Events: 12}, 0, func(h *harness) {
		h.load("chat", 15, 6*time.Second, 500)
		time.Sleep(2 * time.Second)
		h.Engines[0].Crash(time.Second, false)
		time.Sleep(5 * time.Second)
		h.callers.Wait()
		if _, served := h.onTime("chat", time.Second); served < 0.98 {
			t.Errorf("fraction of calls served with five of six engines: %.3f, want at least 0.98", served)
		}
	})
}

// TestEntryGracefulStop guards against calls that are cut off by a graceful stop of their entry.
func TestEntryGracefulStop(t *testing.T) {
	t.Parallel()
	run(t, simulator.Config{Entries: 2, Engines: 6, Slots: 8, Events: 12}, 0, func(h *harness) {
		leaving := h.Entries[0]
		for range 20 {
			h.callers.Go(func() {
				if r := h.call(leaving, "chat", simulator.Key, 500); !r.isWhole {
					t.Errorf("status %d from an entry that stops gracefully, want a whole response", r.status)
				}
			})
			time.Sleep(50 * time.Millisecond)
		}
		ctx, cancel := context.WithTimeout(h.t.Context(), 8*time.Second)
		defer cancel()
		if err := leaving.Stop(ctx); err != nil {
			t.Error(err)
		}
	})
}

// TestRestartBesideLaggingPeers guards against a restarted entry that takes a revoked key or a removed
// upstream from peers that have lost the store. Once one peer has the store again, the restarted
// entry serves with what is in force.
func TestRestartBesideLaggingPeers(t *testing.T) {
	t.Parallel()
	run(t, simulator.Config{Entries: 6, Engines: 6, Slots: 8, Events: 3}, 0, func(h *harness) {
		h.Store.PutConfiguration(h.Configuration(2, simulator.Key, "k2"))
		time.Sleep(time.Second)
		for _, e := range h.Entries {
			h.Store.SetUnavailable(e.Name, true)
		}
		time.Sleep(time.Second)
		removed := h.Engines[0].ID
		h.Store.RemoveUpstream(removed)
		h.Store.PutConfiguration(h.Configuration(3, simulator.Key))
		time.Sleep(keyBound)
		restarted := h.Entries[1]
		restarted.Kill()
		if err := restarted.Start(h.t.Context()); err != nil {
			t.Fatal(err)
		}
		for range 20 {
			time.Sleep(100 * time.Millisecond)
			if r := h.call(restarted, "chat", "k2", 100); r.isWhole {
				t.Fatal("a call with a revoked key was served after the restart")
			}
		}
		h.Store.SetUnavailable(h.Entries[4].Name, false)
		time.Sleep(4 * time.Second)
		if r := h.call(restarted, "chat", simulator.Key, 100); !r.isWhole {
			t.Errorf("status %d with one peer that has the store, want a whole response", r.status)
		}
		if r := h.call(restarted, "chat", "k2", 100); r.isWhole {
			t.Error("a call with a revoked key was served")
		}
		if restarted.IsListed(removed) {
			t.Error("the removed upstream is listed at the restarted entry")
		}
	})
}
