package fleet_test

import (
	"sync"
	"testing"
	"testing/synctest"
	"time"
)

// TestRestoredDocuments guards against a revision that is given out twice after the object store has come back from an
// older copy: processes that hold the first one would never take the second one.
func TestRestoredDocuments(t *testing.T) {
	const noticed = 40 * time.Second // the store is checked each half minute
	tests := []struct {
		name    string
		pause   time.Duration // between the restore and the next edit
		isTwice bool          // its revision was given out before
	}{
		{"edit after the check", noticed, false},
		{"edit at once", 0, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) {
				b := newBench(t, benchConfig{assistants: 1})
				quit := make(chan struct{})
				var watchers sync.WaitGroup
				b.watchRevisions(quit, &watchers)
				b.awaitRevision("an edit", b.applyVariant(1))
				older := b.platform.Copy()
				lost := b.applyVariant(2)
				b.awaitRevision("an edit that is lost", lost)
				b.platform.Restore(older)
				time.Sleep(tt.pause)
				next := b.applyVariant(3)
				if isTwice := next <= lost; isTwice != tt.isTwice {
					t.Errorf("the next edit is revision %d after %d, want given out twice %t", next, lost, tt.isTwice)
				}
				if tt.isTwice {
					time.Sleep(noticed)
					next = lost + 1
				}
				b.awaitRevision("an edit after the restore", next)
				close(quit)
				watchers.Wait()
				b.stop()
			})
		})
	}
}
