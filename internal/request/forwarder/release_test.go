package forwarder_test

import (
	"net/http"
	"testing"
	"time"

	"github.com/foxtailwharf/foxtailwharf"
	"github.com/foxtailwharf/foxtailwharf/internal/request/balancer"
)

// TestNotBegunAtDeadline guards against calls that have not begun on weights which are replaced, and
// are left at the engine. Their cancellation must leave the entry by the deadline.
func TestNotBegunAtDeadline(t *testing.T) {
	const cutoff, deadline = 500 * time.Millisecond, 1050 * time.Millisecond
	tests := []struct {
		name      string
		isRemoved bool // from the list, while the call waits
	}{
		{"listed engine", false},
		{"engine that is no longer listed", true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			run(t, func(b *bench) {
				b.view.Configuration.Services["s"] = foxtailwharf.CallService{Name: "s", Engine: &foxtailwharf.EngineModel{Model: "m", Slots: 8}}
				released := time.Now()
				cancelled := make(chan time.Time, 1)
				b.upstream(2, func(_ http.ResponseWriter, r *http.Request) {
					<-r.Context().Done()
					cancelled <- time.Now()
				})
				b.view.Upstreams[0].Weights = 1
				b.update()
				b.assigner.Update(func(x *balancer.Balancer) { x.SetRelease("s", 2, released.Add(cutoff), released.Add(deadline)) })
				if tt.isRemoved {
					time.AfterFunc(300*time.Millisecond, func() {
						b.view.Upstreams = nil
						b.update()
					})
				}
				b.call("/tale/1", nil)
				// The network takes a millisecond.
				if after := (<-cancelled).Sub(released); after > deadline+2*time.Millisecond {
					t.Errorf("cancelled after %s, want by %s", after, deadline)
				}
			})
		})
	}
}
