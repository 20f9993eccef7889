package listing_test

import (
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"github.com/foxtailwharf/foxtailwharf"
	"github.com/foxtailwharf/foxtailwharf/standin/listing"
)

// maxManifestReads is how often a release's manifest may be asked of the origin, which takes
// few connections, however many agents there are.
const maxManifestReads = 12

// TestManyAgents names new weights for a fleet of many agents: few of them ask the origin for
// the manifest, and all engines hold the weights in time.
func TestManyAgents(t *testing.T) {
	t.Parallel()
	run(t, listing.Config{Entries: 6, Engines: 60, Slots: 8, Events: 8}, 0, func(b *bench) {
		asked := b.Origin.Asked()
		b.Store.Release(foxtailwharf.Release{Model: "m", Version: 2})
		b.waitFor(2, switchBound)
		time.Sleep(time.Second)
		if reads := b.Origin.Asked() - asked; reads > maxManifestReads {
			t.Errorf("the manifest was asked of the origin %d times, want %d at the most", reads, maxManifestReads)
		}
	})
}

// TestDocumentsTravelOnce turns a third of the entries away from the store while the
// configuration grows: each of them fetches it from one other entry, and not from all.
func TestDocumentsTravelOnce(t *testing.T) {
	t.Parallel()
	run(t, listing.Config{Entries: 12, Engines: 3, Slots: 8, Events: 8}, 0, func(b *bench) {
		c := b.Configuration(2, listing.Key)
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
			b.Store.SetAway(b.Entries[n].Name, true)
		}
		time.Sleep(time.Second)
		before := b.RegionTraffic()
		b.Store.Configure(c)
		time.Sleep(2 * time.Second)
		for n := range 4 {
			if have := b.Entries[n].Version(); have != 2 {
				t.Errorf("%s: version %d is in force, want 2", b.Entries[n].Name, have)
			}
		}
		// Once each, and as much again for JSON within JSON and for all that is small.
		if sent, want := b.RegionTraffic()-before, int64(4*2*len(text)); sent > want {
			t.Errorf("%d bytes between regions, want %d at the most", sent, want)
		}
	})
}

// drainBound is the time by which an upstream that leaves must get no more calls, by the
// users' word; the wait before it is the time that their list may lag.
const drainBound = 2 * time.Second

// callsPerSecond is what one entry that asks the store makes: a watch of configurations every
// 1.2 s, and one of each other subject every 8 s or more.
const callsPerSecond = 1.2

// storeCalls returns the calls of all entries to the store.
func (b *bench) storeCalls() (calls int) {
	for _, e := range b.Entries {
		calls += b.Store.Calls(e.Name)
	}
	return calls
}

// TestOneEntryAsksForItsDomain counts the calls to the store of many entries: one of each
// failure domain asks, and all see a change at once.
func TestOneEntryAsksForItsDomain(t *testing.T) {
	t.Parallel()
	run(t, listing.Config{Entries: 12, Engines: 6, Slots: 8, Events: 8}, 0, func(b *bench) {
		time.Sleep(10 * time.Second) // the last watches of those that need not ask end
		const span = 12 * time.Second
		before := b.storeCalls()
		time.Sleep(span)
		if calls, want := float64(b.storeCalls()-before), 3*callsPerSecond*span.Seconds(); calls > want {
			t.Errorf("%.0f calls to the store in %s, want %.0f at the most", calls, span, want)
		}
		b.Store.Configure(b.Configuration(2, listing.Key, "k2"))
		time.Sleep(300 * time.Millisecond)
		b.checkVersion(2)
	})
}

// checkVersion checks which configuration is in force at entries that run.
func (b *bench) checkVersion(want int64) {
	b.t.Helper()
	for _, e := range b.Entries {
		if have := e.Version(); !e.IsKilled() && have != want {
			b.t.Errorf("%s: version %d is in force, want %d", e.Name, have, want)
		}
	}
}

// TestAskingEntryDies kills the entries that ask the store for their domains, right before a
// configuration changes and an upstream leaves: the others find both out in time.
func TestAskingEntryDies(t *testing.T) {
	t.Parallel()
	run(t, listing.Config{Entries: 9, Engines: 6, Slots: 8, Events: 8}, 0, func(b *bench) {
		time.Sleep(10 * time.Second)
		before := make(map[string]int)
		for _, e := range b.Entries {
			before[e.Name] = b.Store.Calls(e.Name)
		}
		time.Sleep(4 * time.Second)
		killed := 0
		for _, e := range b.Entries {
			if b.Store.Calls(e.Name) > before[e.Name] {
				e.Kill()
				killed++
			}
		}
		if killed == 0 || killed > 3 {
			t.Errorf("%d entries asked the store, want one of each domain at the most", killed)
		}
		b.Store.Configure(b.Configuration(2, listing.Key))
		b.Engines[0].Drain()
		time.Sleep(drainBound - 200*time.Millisecond)
		b.checkVersion(2)
		for _, e := range b.Entries {
			if !e.IsKilled() && !e.IsDraining(b.Engines[0].ID) {
				t.Errorf("%s does not know that an upstream leaves", e.Name)
			}
		}
	})
}

// TestAskingEntryIsTurnedAway turns the entries that ask away from the store, and then names
// new weights: the others ask for themselves.
func TestAskingEntryIsTurnedAway(t *testing.T) {
	t.Parallel()
	run(t, listing.Config{Entries: 9, Engines: 6, Slots: 8, Events: 8}, 0, func(b *bench) {
		time.Sleep(10 * time.Second)
		before := make(map[string]int)
		for _, e := range b.Entries {
			before[e.Name] = b.Store.Calls(e.Name)
		}
		time.Sleep(4 * time.Second)
		for _, e := range b.Entries {
			if b.Store.Calls(e.Name) > before[e.Name] {
				b.Store.SetAway(e.Name, true)
			}
		}
		b.Store.Configure(b.Configuration(2, listing.Key))
		time.Sleep(drainBound - 200*time.Millisecond)
		b.checkVersion(2)
		b.Store.Release(foxtailwharf.Release{Model: "m", Version: 2})
		b.waitFor(2, switchBound)
	})
}

// TestAllStartTogether ends all entries at once and starts them again: a few read the store for
// the others, and all know the configuration within a second.
func TestAllStartTogether(t *testing.T) {
	t.Parallel()
	run(t, listing.Config{Entries: 15, Engines: 3, Slots: 8, Events: 8}, 0, func(b *bench) {
		for _, e := range b.Entries {
			e.Kill()
		}
		time.Sleep(time.Second)
		before := b.storeCalls()
		for _, e := range b.Entries {
			if err := e.Start(b.t.Context()); err != nil {
				t.Fatal(err)
			}
			time.Sleep(20 * time.Millisecond)
		}
		time.Sleep(time.Second)
		b.checkVersion(1)
		// Each reader reads three subjects and begins three watches; two or three of a domain
		// read if they start before they hear of each other.
		if calls, want := b.storeCalls()-before, 3*2*6; calls > want {
			t.Errorf("%d calls to the store, want %d at the most", calls, want)
		}
	})
}
