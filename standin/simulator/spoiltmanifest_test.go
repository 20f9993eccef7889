package simulator_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/foxtailwharf/foxtailwharf/standin/simulator"
)

// TestSpoiltManifestIsReadAgain guards against a manifest that was corrupt when it was read and is kept for good, so that no engine gets
// the weights any more.
func TestSpoiltManifestIsReadAgain(t *testing.T) {
	const (
		trouble = 4 * time.Second
		after   = recoveryBound - trouble - time.Second // from the end of the trouble until all engines hold the weights
	)
	tests := []struct {
		name        string
		isPowerLost bool // all engines lose what they hold, and no version is named
	}{
		{"a version is named", false},
		{"all machines lose power", true},
	}
	for _, engines := range []int{3, 12} {
		for _, tt := range tests {
			t.Run(fmt.Sprintf("%s, %d engines", tt.name, engines), func(t *testing.T) {
				run(t, simulator.Config{Entries: 3, Engines: engines, Slots: 8, Events: 3}, 0, func(h *harness) {
					want := int64(2)
					h.Origin.SetSpoilt(true)
					h.release(want)
					if tt.isPowerLost {
						h.endAll(true)
						time.Sleep(time.Second)
						h.startAll(true)
					}
					time.Sleep(trouble)
					h.Origin.SetSpoilt(false)
					reads := h.Origin.ManifestReads()
					time.Sleep(after)
					for _, e := range h.Engines {
						if have := e.Weights(); have != want {
							t.Errorf("%s holds version %d %s after manifests were sound again, want %d", e.ID, have, after, want)
						}
					}
					time.Sleep(10 * time.Second)
					t.Logf("%d manifests read, %d of them sound", h.Origin.ManifestReads(), h.Origin.ManifestReads()-reads)
				})
			})
		}
	}
}
