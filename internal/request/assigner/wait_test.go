package assigner_test

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/foxtailwharf/foxtailwharf"
	"github.com/foxtailwharf/foxtailwharf/internal/request/assigner"
	"github.com/foxtailwharf/foxtailwharf/internal/request/balancer"
	"github.com/foxtailwharf/foxtailwharf/internal/request/queuer"
)

// reportSilence passes reports of an engine that does not answer its agent for a time, and then that it does.
func reportSilence(a *assigner.Assigner, n int, length time.Duration) {
	const interval = 100 * time.Millisecond
	for began := time.Now(); time.Since(began) < length; time.Sleep(interval) {
		a.Report(machine(n), foxtailwharf.UpstreamLoad{Weights: 1, IsDown: true, IsSilent: true, Listeners: 1})
	}
	report(a, n, 0)
}

// TestWaitForSilent checks until when a call waits for an engine that is silent, beside another one that cannot
// take it.
func TestWaitForSilent(t *testing.T) {
	const wait = 3 * time.Second
	tests := []struct {
		name     string
		silence  time.Duration
		other    func(a *assigner.Assigner)
		from, to time.Duration
		reason   foxtailwharf.Reason // empty for an upstream
	}{
		{"alone", time.Second, nil, time.Second, 1100 * time.Millisecond, ""},
		{"alone, for good", time.Minute, nil, 2 * time.Second, 2100 * time.Millisecond, foxtailwharf.ReasonNoUpstream},
		{"the other one is leaving", time.Second, says(foxtailwharf.Signals{IsLeaving: true}), time.Second, 1100 * time.Millisecond, ""},
		{"the other one returns too late", time.Second, says(foxtailwharf.Signals{RetryAfter: time.Minute}), time.Second, 1100 * time.Millisecond, ""},
		{"the other one returns too late, for good", time.Minute, says(foxtailwharf.Signals{RetryAfter: time.Minute}), 2 * time.Second, 2100 * time.Millisecond, foxtailwharf.ReasonUpstreamsPaused},
		{"the other one returns sooner", time.Minute, says(foxtailwharf.Signals{RetryAfter: 500 * time.Millisecond}), 500 * time.Millisecond, 700 * time.Millisecond, ""},
		{"the other one returns later", time.Minute, says(foxtailwharf.Signals{RetryAfter: 2200 * time.Millisecond}), 2200 * time.Millisecond, 2800 * time.Millisecond, ""},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				a := newAssigner(1)
				if tt.other != nil {
					a.Update(func(b *balancer.Balancer) { b.Set([]foxtailwharf.Upstream{engine(1), engine(2)}) })
					tt.other(a)
				}
				done := make(chan struct{})
				go func() {
					defer close(done)
					reportSilence(a, 1, min(tt.silence, 4*time.Second))
				}()
				synctest.Wait()
				q := acquire(t.Context(), a, queuer.Rank{}, wait)
				<-q.done
				reason := foxtailwharf.Reason("")
				if q.refusal != nil {
					reason = q.refusal.Reason
				}
				if reason != tt.reason || q.after < tt.from || q.after > tt.to {
					t.Errorf("have %q after %s, want %q after %s to %s", reason, q.after, tt.reason, tt.from, tt.to)
				}
				<-done
			})
		})
	}
}

// says returns what the second engine says of itself in the refusal of a call.
func says(signals foxtailwharf.Signals) func(a *assigner.Assigner) {
	return func(a *assigner.Assigner) {
		a.HandleReply(engine(2), time.Now(), foxtailwharf.Reply{IsNotRun: true, Signals: signals})
	}
}
