package returner_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/foxtailwharf/foxtailwharf/internal/request/returner"
)

const service = "s"

var start = time.Unix(100, 0)

func newReturner() *returner.Returner {
	return returner.New(rand.New(rand.NewPCG(1, 1)))
}

func TestDelay(t *testing.T) {
	tests := []struct {
		name        string
		outage      time.Duration // since when the service has been without an upstream
		left        time.Duration
		least, most time.Duration
	}{
		{"busy, much time left", 0, 6 * time.Second, 200 * time.Millisecond, 1500 * time.Millisecond},
		{"busy, little time left", 0, time.Second, 200 * time.Millisecond, 300 * time.Millisecond},
		{"no time left", 0, 500 * time.Millisecond, 0, 0},
		{"outage has just begun", time.Millisecond, 6 * time.Second, 200 * time.Millisecond, 200 * time.Millisecond},
		{"outage of a second", time.Second, 6 * time.Second, 750 * time.Millisecond, time.Second},
		{"long outage", time.Minute, 6 * time.Second, 1350 * time.Millisecond, 1800 * time.Millisecond},
		{"long outage, very long deadline", time.Minute, time.Minute, 1500 * time.Millisecond, 2 * time.Second},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			r := newReturner()
			if tt.outage > 0 {
				r.NoUpstream(start, service)
				r.NoUpstream(start.Add(tt.outage/2), service)
			}
			for range 100 {
				if have := r.Delay(start.Add(tt.outage), service, tt.left); have < tt.least || have > tt.most {
					t.Fatalf("have %s, want %s to %s", have, tt.least, tt.most)
				}
			}
		})
	}
}

func TestOutageEnds(t *testing.T) {
	r := newReturner()
	r.NoUpstream(start, service)
	r.Assigned(service)
	now := start.Add(time.Minute)
	r.NoUpstream(now, service)
	if have := r.Delay(now, service, 6*time.Second); have != 200*time.Millisecond {
		t.Errorf("have %s at the begin of a second outage, want 200ms", have)
	}
}
