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
					h.callAroundStop(h.Entries[0], route, isKept)
				})
			})
		}
	}
}

// callAroundStop stops an entry and sends it calls at the times of aroundStop, each on a connection of its own
// that is new or has carried a call before.
func (h *harness) callAroundStop(leaving *simulator.Entry, route string, isKept bool) {
	const lead = 2 * time.Second
	stopAt := time.Now().Add(lead)
	for _, offset := range aroundStop() {
		transport := dialer.Transport(h.CallerHost(), !isKept)
		caller := &harness{Fleet: h.Fleet, t: h.t, client: &http.Client{Transport: transport}, results: make(map[string][]result), entries: make(map[string]string)}
		h.callers.Go(func() {
			defer transport.CloseIdleConnections()
			if r := caller.call(leaving, route, simulator.Key, 10); isKept && !r.isWhole {
				h.t.Errorf("status %d before the stop", r.status)
			}
			time.Sleep(time.Until(stopAt.Add(offset)))
			if r := caller.call(leaving, route, simulator.Key, 10); !r.isWhole {
				h.t.Errorf("status %d for a call %s after the signal, want a whole response", r.status, offset)
			}
		})
	}
	time.Sleep(time.Until(stopAt))
	ctx, cancel := context.WithTimeout(h.t.Context(), 8*time.Second)
	defer cancel()
	if err := leaving.Stop(ctx); err != nil {
		h.t.Error(err)
	}
}
