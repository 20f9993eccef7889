package simulator_test

import (
	"slices"
	"testing"
	"time"

	"github.com/foxtailwharf/foxtailwharf/standin/simulator"
)

// hotCrasher is the request of TestHotRequestThatCrashesEngines.
const hotCrasher = "crasher-0"

// hotCrasherCase is a request that crashes engines and comes all the time.
type hotCrasherCase struct {
	name    string
	engines int
	every   time.Duration // between two calls
	// isKilled ends the entry that tries in the moment in which it does so.
	isKilled bool
	want     int // arrivals later than contactBound after the third, at the most
}

// TestHotRequestThatCrashesEngines guards against trials of a banned request that run more often than it may crash
// engines. It comes through all entries.
func TestHotRequestThatCrashesEngines(t *testing.T) {
	tests := []hotCrasherCase{
		{"three engines", 3, hotPause, false, 1},
		{"27 engines", 27, hotPause, false, 1},
		{"crashes apart", 9, 1500 * time.Millisecond, false, 0},
		{"the entry that tries ends", 9, hotPause, true, 2},
	}
	for _, tt := range tests {
		for _, parts := range []string{"", "near,session"} {
			t.Run(tt.name+" "+parts, func(t *testing.T) {
				t.Parallel()
				arrived := &requestArrivals{at: make(map[string][]time.Time)}
				config := simulator.Config{Entries: 6, Engines: tt.engines, Slots: 16, Events: 12, CrashingCalls: []string{hotCrasher}, OnArrive: arrived.arrive}
				run(t, config, 0, func(h *harness) { tt.play(h, arrived, parts) })
				late := arrived.late(hotCrasher)
				t.Logf("%d arrivals, %d of them late", len(arrived.at[hotCrasher]), late)
				if late > tt.want {
					t.Errorf("the request reached engines %d times later than %s after the third, want %d at the most", late, contactBound, tt.want)
				}
			})
		}
	}
}

func (tt hotCrasherCase) play(h *harness, arrived *requestArrivals, parts string) {
	end := time.Now().Add(hotLength)
	h.callers.Go(func() { h.repeat(hotCrasher, 0, tt.every, end, parts) })
	if tt.isKilled {
		h.callers.Go(func() {
			for arrived.late(hotCrasher) == 0 && time.Now().Before(end) {
				time.Sleep(time.Millisecond)
			}
			slices.MaxFunc(h.Entries, compareRanks).Kill()
		})
		h.listRestarted(end)
		return
	}
	others := &soundCalls{h: h}
	others.run(10, hotLength, "")
	h.listRestarted(end)
	h.callers.Wait()
	others.check(h.t, end.Add(-hotLength/2))
}

// late returns how often a request has reached engines later than contactBound after the one that made it known.
func (a *requestArrivals) late(id string) (count int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, at := range a.at[id] {
		if len(a.at[id]) > requestCrashes && at.After(a.at[id][requestCrashes-1].Add(contactBound)) {
			count++
		}
	}
	return count
}
