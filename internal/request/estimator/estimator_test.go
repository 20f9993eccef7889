package estimator_test

import (
	"testing"
	"time"

	"github.com/foxtailwharf/foxtailwharf/internal/request/estimator"
)

// TestTokens checks the estimate for an engine that reads 10,000 tokens a second.
func TestTokens(t *testing.T) {
	start := time.Unix(50, 0)
	at := func(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }
	tests := []struct {
		name   string
		events func(e *estimator.Estimator)
		at     time.Time
		want   float64
	}{
		{"idle", func(*estimator.Estimator) {}, at(100), 0},
		{"half read", func(e *estimator.Estimator) { e.AddCall(at(0), 2000) }, at(100), 1000},
		{"read", func(e *estimator.Estimator) { e.AddCall(at(0), 2000) }, at(500), 0},
		{"one after the other", func(e *estimator.Estimator) {
			e.AddCall(at(0), 2000)
			e.AddCall(at(50), 3000)
		}, at(100), 4000},
		{"prompts are not read before they arrive", func(e *estimator.Estimator) {
			e.AddCall(at(0), 100)
			e.AddCall(at(1000), 100)
		}, at(1000), 100},
		{"the engine has no calls", func(e *estimator.Estimator) {
			e.AddCall(at(0), 9000)
			e.Observe(at(10), 0)
		}, at(20), 0},
		{"the engine has calls", func(e *estimator.Estimator) {
			e.AddCall(at(0), 9000)
			e.Observe(at(10), 1)
		}, at(100), 8000},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			e := &estimator.Estimator{}
			e.SetRate(start, 10_000)
			tt.events(e)
			if have := e.Tokens(tt.at); have < tt.want-1 || have > tt.want+1 {
				t.Errorf("have %.0f tokens to read, want %.0f", have, tt.want)
			}
		})
	}
}

// TestUnobserved checks that calls are counted until the state of the engine is observed.
func TestUnobserved(t *testing.T) {
	now := time.Unix(50, 0)
	e := &estimator.Estimator{}
	e.AddCall(now, 10)
	e.AddCall(now, 10)
	if have := e.Unobserved(); have != 2 {
		t.Errorf("have %d, want 2", have)
	}
	if e.Observe(now, 2); e.Unobserved() != 0 {
		t.Errorf("have %d after an observation, want 0", e.Unobserved())
	}
}
