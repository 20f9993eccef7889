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
