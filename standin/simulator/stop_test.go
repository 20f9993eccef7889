package simulator_test

import (
	"context"
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/foxtailwharf/foxtailwharf/internal/connection/dialer"
	"github.com/foxtailwharf/foxtailwharf/standin/simulator"
)

// aroundStop are the times of calls, from the moment at which their entry is told to stop. Behind the last
// one the load balancer sends no more.
func aroundStop() (offsets []time.Duration) {
	for n := -20; n <= 20; n++ {
		offsets = append(offsets, time.Duration(n)*100*time.Microsecond)
	}
	for n := range 24 {
		offsets = append(offsets, time.Duration(n)*100*time.Millisecond)
	}
	return offsets
}

// TestCallsInMomentOfStop guards against calls that are cut off because they arrive when their entry is told to
// stop, or until the load balancer notices, on new connections and on those that have waited for a call.
func TestCallsInMomentOfStop(t *testing.T) {
	t.Parallel()
	for _, isKept := range []bool{false, true} {
		for _, route := range []string{"chat", "summary"} {
			t.Run(fmt.Sprintf("%s on kept connections: %t", route, isKept), func(t *testing.T) {
				run(t, simulator.Config{Entries: 2, Engines: 12, Slots: 8, Events: 12}, 0, func(h *harness) {
					leaving := h.Entries[0]
					const lead = 2 * time.Second
					stopAt := time.Now().Add(lead)
					for _, offset := range aroundStop() {
						transport := dialer.Transport(h.CallerHost(), !isKept)
						h.callers.Go(func() {
							defer transport.CloseIdleConnections()
							caller := &harness{Fleet: h.Fleet, t: h.t, client: &http.Client{Transport: transport}, results: make(map[string][]result), entries: make(map[string]string)}
							if r := caller.call(leaving, route, simulator.Key, 10); isKept && !r.isWhole {
								t.Errorf("status %d before the stop", r.status)
							}
							time.Sleep(time.Until(stopAt.Add(offset)))
							if r := caller.call(leaving, route, simulator.Key, 10); !r.isWhole {
								t.Errorf("status %d for a call %s after the signal, want a whole response", r.status, offset)
							}
						})
					}
					time.Sleep(time.Until(stopAt))
					ctx, cancel := context.WithTimeout(h.t.Context(), 8*time.Second)
					defer cancel()
					if err := leaving.Stop(ctx); err != nil {
						t.Error(err)
					}
				})
			})
		}
	}
}
