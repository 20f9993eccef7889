package listing_test

import (
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
