package simulator_test

import (
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"github.com/foxtailwharf/foxtailwharf"
	"github.com/foxtailwharf/foxtailwharf/standin/simulator"
)

// maxManifestReads is how often the manifest of a release may be read from the origin, however many
// agents there are, since the origin accepts few connections.
const maxManifestReads = 12

// TestManyAgents guards against a large fleet whose agents all read the manifest of a release from
// the origin, and against a switch that takes longer there.
func TestManyAgents(t *testing.T) {
	t.Parallel()
	run(t, simulator.Config{Entries: 6, Engines: 60, Slots: 8, Events: 8}, 0, func(h *harness) {
		readsBefore := h.Origin.ManifestReads()
		h.Store.Release(foxtailwharf.Release{Model: "m", Version: 2})
		h.waitForVersion(2, switchBound)
		time.Sleep(time.Second)
		if reads := h.Origin.ManifestReads() - readsBefore; reads > maxManifestReads {
			t.Errorf("manifest was read from the origin %d times, want at most %d", reads, maxManifestReads)
		}
	})
}

// TestConfigurationFetchedOnce guards against entries without access to the store that fetch a large
// configuration from every other entry instead of one. The store is unavailable to a third of the
// entries.
func TestConfigurationFetchedOnce(t *testing.T) {
	t.Parallel()
	run(t, simulator.Config{Entries: 12, Engines: 3, Slots: 8, Events: 8}, 0, func(h *harness) {
		c := h.Configuration(2, simulator.Key)
		for n := range 1000 {
			added := c.Routes[0]
			added.Name, added.Prefix = fmt.Sprint("r", n), fmt.Sprintf("/r%d/", n)
			c.Routes = append(c.Routes, added)
		}
		text, err := json.Marshal(c)
		if err != nil {
			t.Fatal(err)
		}
		for n := range 4 {
			h.Store.SetUnavailable(h.Entries[n].Name, true)
		}
		time.Sleep(time.Second)
		before := h.RegionTraffic()
		h.Store.PutConfiguration(c)
		time.Sleep(2 * time.Second)
		for n := range 4 {
			if version := h.Entries[n].Version(); version != 2 {
				t.Errorf("%s: version %d is in force, want 2", h.Entries[n].Name, version)
			}
		}
		// Each entry gets one copy, encoded twice, as JSON within JSON; the factor of 2 allows for
		// that and for all small messages.
		if sent, want := h.RegionTraffic()-before, int64(4*2*len(text)); sent > want {
			t.Errorf("%d bytes between regions, want at most %d", sent, want)
		}
	})
}

// drainBound is the time after which a draining upstream must receive no more calls, as the users
// require. Up to then calls are accepted, since the users' list may lag by that time.
const drainBound = 2 * time.Second

// applyBound is the time within which entries must have a configuration, as the users require.
const applyBound = 2 * time.Second

// callsPerSecond is the rate of calls of one entry that reads the store: a watch of configurations
// every 1.2 s, and one of each other subject every 8 s or more.
const callsPerSecond = 1.2

// storeCalls returns the number of calls of all entries to the store.
func (h *harness) storeCalls() (calls int) {
	for _, e := range h.Entries {
		calls += h.Store.Calls(e.Name)
	}
	return calls
}

// TestOneReaderPerFailureDomain guards against a load on the store that grows with the number of
// entries: only one entry of each failure domain reads it, and all entries get a change from there.
func TestOneReaderPerFailureDomain(t *testing.T) {
	t.Parallel()
	run(t, simulator.Config{Entries: 12, Engines: 6, Slots: 8, Events: 8}, 0, func(h *harness) {
		time.Sleep(10 * time.Second) // until the last watches of the entries that rely on another one end
		const span = 12 * time.Second
		before := h.storeCalls()
		time.Sleep(span)
		if calls, want := float64(h.storeCalls()-before), 3*callsPerSecond*span.Seconds(); calls > want {
			t.Errorf("%.0f calls to the store in %s, want at most %.0f", calls, span, want)
		}
		h.Store.PutConfiguration(h.Configuration(2, simulator.Key, "k2"))
		time.Sleep(300 * time.Millisecond)
		h.checkVersion(2)
	})
}

// TestStoreTurnsReadersAway guards against a store that all entries read at once while it turns away
// the ones that read it for their failure domains. The other entries together make no more calls
// than one reader of each domain, with as much again for the change of readers.
func TestStoreTurnsReadersAway(t *testing.T) {
	t.Parallel()
	run(t, simulator.Config{Entries: 30, Engines: 6, Slots: 8, Events: 8}, 0, func(h *harness) {
		time.Sleep(10 * time.Second) // until the last watches of the entries that rely on another one end
		before := make(map[string]int)
		for _, e := range h.Entries {
			before[e.Name] = h.Store.Calls(e.Name)
		}
		time.Sleep(4 * time.Second)
		isTurnedAway := make(map[string]bool)
		for _, e := range h.Entries {
			if h.Store.Calls(e.Name) > before[e.Name] {
				isTurnedAway[e.Name] = true
				h.Store.SetUnavailable(e.Name, true)
			}
			before[e.Name] = h.Store.Calls(e.Name)
		}
		const span = 9 * time.Second
		time.Sleep(span)
		calls := 0
		for _, e := range h.Entries {
			if !isTurnedAway[e.Name] {
				calls += h.Store.Calls(e.Name) - before[e.Name]
			}
		}
		t.Logf("%d calls of the entries that are not turned away", calls)
		if want := 2 * 3 * callsPerSecond * span.Seconds(); float64(calls) > want {
			t.Errorf("%d calls to the store in %s, want at most %.0f", calls, span, want)
		}
		h.Store.PutConfiguration(h.Configuration(2, simulator.Key, "k2"))
		time.Sleep(time.Second)
		h.checkVersion(2)
	})
}

// checkVersion checks the version of the configuration in force at all running entries.
func (h *harness) checkVersion(want int64) {
	h.t.Helper()
	for _, e := range h.Entries {
		if version := e.Version(); !e.IsKilled() && version != want {
			h.t.Errorf("%s: version %d is in force, want %d", e.Name, version, want)
		}
	}
}

// TestSourceCrash guards against entries that miss changes when the entries that read the store for
// them crash right before a configuration changes and an upstream starts to drain.
func TestSourceCrash(t *testing.T) {
	t.Parallel()
	run(t, simulator.Config{Entries: 9, Engines: 6, Slots: 8, Events: 8}, 0, func(h *harness) {
		time.Sleep(10 * time.Second)
		before := make(map[string]int)
		for _, e := range h.Entries {
			before[e.Name] = h.Store.Calls(e.Name)
		}
		time.Sleep(4 * time.Second)
		killed := 0
		for _, e := range h.Entries {
			if h.Store.Calls(e.Name) > before[e.Name] {
				e.Kill()
				killed++
			}
		}
		if killed == 0 || killed > 3 {
			t.Errorf("%d entries read the store, want 1 to 3, at most one per failure domain", killed)
		}
		h.Store.PutConfiguration(h.Configuration(2, simulator.Key))
		h.Engines[0].Drain()
		time.Sleep(drainBound - 200*time.Millisecond)
		h.checkVersion(2)
		for _, e := range h.Entries {
			if !e.IsKilled() && !e.IsDraining(h.Engines[0].ID) {
				t.Errorf("%s does not know that an upstream is draining", e.Name)
			}
		}
	})
}

// TestSourceLosesStore guards against entries that miss a configuration and a release when the
// entries that read the store for them can no longer reach it: they have to read it themselves.
func TestSourceLosesStore(t *testing.T) {
	t.Parallel()
	run(t, simulator.Config{Entries: 9, Engines: 6, Slots: 8, Events: 8}, 0, func(h *harness) {
		time.Sleep(10 * time.Second)
		before := make(map[string]int)
		for _, e := range h.Entries {
			before[e.Name] = h.Store.Calls(e.Name)
		}
		time.Sleep(4 * time.Second)
		for _, e := range h.Entries {
			if h.Store.Calls(e.Name) > before[e.Name] {
				h.Store.SetUnavailable(e.Name, true)
			}
		}
		h.Store.PutConfiguration(h.Configuration(2, simulator.Key))
		time.Sleep(drainBound - 200*time.Millisecond)
		h.checkVersion(2)
		h.Store.Release(foxtailwharf.Release{Model: "m", Version: 2})
		h.waitForVersion(2, switchBound)
	})
}

// TestSourceFallsSilent guards against entries that miss a configuration because they learn late that the entry which reads
// the store for them gets no answers any more. The store falls silent for it right before a watch, and changes right after.
func TestSourceFallsSilent(t *testing.T) {
	t.Parallel()
	const (
		moment    = 4 * time.Millisecond
		watchTime = 1200 * time.Millisecond // of the configuration
	)
	run(t, simulator.Config{Domains: 1, Entries: 2, Engines: 2, Slots: 8, Events: 8}, 0, func(h *harness) {
		time.Sleep(20 * time.Second) // until the last watches of the entry that relies on the other one end
		reader := h.nextReader()
		time.Sleep(watchTime - moment/2)
		h.Store.SetSilent(reader.Name, true)
		time.Sleep(moment)
		h.Store.PutConfiguration(h.Configuration(2, simulator.Key))
		time.Sleep(applyBound)
		for _, e := range h.Entries {
			if e != reader && e.Version() != 2 {
				t.Errorf("%s does not have the configuration %s after its acknowledgement", e.Name, applyBound)
			}
		}
	})
}

// nextReader waits until an entry calls the store, and returns it.
func (h *harness) nextReader() *simulator.Entry {
	const interval = time.Millisecond
	before := make(map[*simulator.Entry]int)
	for _, e := range h.Entries {
		before[e] = h.Store.Calls(e.Name)
	}
	for {
		time.Sleep(interval)
		for _, e := range h.Entries {
			if h.Store.Calls(e.Name) > before[e] {
				return e
			}
		}
	}
}

// TestSimultaneousStart guards against a rush on the store when all entries start at once: a few
// read it for the others, and all have the configuration within a second.
func TestSimultaneousStart(t *testing.T) {
	t.Parallel()
	run(t, simulator.Config{Entries: 15, Engines: 3, Slots: 8, Events: 8}, 0, func(h *harness) {
		for _, e := range h.Entries {
			e.Kill()
		}
		time.Sleep(time.Second)
		before := h.storeCalls()
		for _, e := range h.Entries {
			if err := e.Start(h.t.Context()); err != nil {
				t.Fatal(err)
			}
			time.Sleep(20 * time.Millisecond)
		}
		time.Sleep(time.Second)
		h.checkVersion(1)
		// Each reader reads three subjects and starts three watches. Two or three entries of a
		// failure domain read if they start before they know of each other.
		if calls, want := h.storeCalls()-before, 3*2*6; calls > want {
			t.Errorf("%d calls to the store, want at most %d", calls, want)
		}
	})
}

// TestManyEntriesNearCapacity guards against slots that stay free in a large failure domain because
// each entry may use only its share of them: 30 entries before 31 engines at nine tenths of their
// capacity, as on the users' large site. All calls are served, and nine in ten of each route on
// time.
func TestManyEntriesNearCapacity(t *testing.T) {
	t.Parallel()
	const engines, slots, events = 31, 8, 14
	const length = 8 * time.Second
	run(t, simulator.Config{Entries: 30, Engines: engines, Slots: slots, Events: events, Domains: 1}, 0, func(h *harness) {
		// A call takes its slot for 60 ms, 75 ms an event and its share of the prompt.
		const callTime = 1.15
		rate := 0.9 * engines * slots / callTime / 3
		h.load("chat", rate, length, 607)
		h.load("answer", rate, length, 787)
		h.load("summary", rate, length, 1290)
		time.Sleep(length)
		h.callers.Wait()
		for _, route := range []string{"chat", "answer", "summary"} {
			onTime, served := h.onTime(route, 600*time.Millisecond)
			t.Logf("%s: on time %.3f, served %.3f", route, onTime, served)
			if onTime < 0.9 || served < 0.99 {
				t.Errorf("%s: on time %.3f, served %.3f; want at least 0.9 and 0.99", route, onTime, served)
			}
		}
	})
}
