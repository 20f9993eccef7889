package lastlooker_test

import (
	"testing"
	"time"

	"github.com/foxtailwharf/foxtailwharf/internal/connection/lastlooker"
)

// TestNext checks how many looks are taken, and how long they last.
func TestNext(t *testing.T) {
	const ms = time.Millisecond
	tests := []struct {
		name          string
		begins, lasts time.Duration // of each call: after the last one has returned, and after its deadline
		looks         int
		took          time.Duration
	}{
		{"in time", 0, 0, 1, 10 * ms},
		{"somewhat late", 0, 2 * ms, 1, 12 * ms},
		{"begins late once", 15 * ms, 0, 2, 95 * ms},
		{"begins late", time.Second, 0, 3, 3 * time.Second},
		{"ends late", 0, time.Second, 3, 3*time.Second + 730*ms},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			var l lastlooker.Looker
			start := time.Unix(0, 0)
			began, now, looks := start, start, 0
			for l.Next(began, now) {
				looks++
				began = now.Add(tt.begins)
				now = began
				if now.Before(l.End()) {
					now = l.End()
				}
				now = now.Add(tt.lasts)
			}
			if looks != tt.looks || now.Sub(start) != tt.took {
				t.Errorf("%d looks in %s, want %d in %s", looks, now.Sub(start), tt.looks, tt.took)
			}
		})
	}
}
