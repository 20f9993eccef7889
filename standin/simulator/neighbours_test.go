package simulator_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/foxtailwharf/foxtailwharf/standin/simulator"
)

// pollTime is the time within which an agent notices that its engine has ended.
const pollTime = 150 * time.Millisecond

// loadAt sends calls of a route through random entries of a failure domain, as a Poisson process of a rate.
func (h *harness) loadAt(domain, domains int, route string, perSecond float64, length time.Duration, promptTokens int) {
	random := rand.New(rand.NewPCG(uint64(domain+1), uint64(perSecond)))
	var entries []*simulator.Entry
	for index := domain; index < len(h.Entries); index += domains {
		entries = append(entries, h.Entries[index])
	}
	h.callers.Go(func() {
		for end := time.Now().Add(length); time.Now().Before(end); {
			time.Sleep(time.Duration(random.ExpFloat64() / perSecond * float64(time.Second)))
			entry := entries[random.IntN(len(entries))]
			h.callers.Go(func() { h.call(entry, route, simulator.Key, promptTokens) })
		}
	})
}

// TestFullDomain guards against calls that are late or refused in a failure domain which has no capacity left
// while its neighbours have room, right after the calls begin and later on.
func TestFullDomain(t *testing.T) {
	t.Parallel()
	const engines, slots, domains, length = 30, 8, 3, 8 * time.Second
	// A call of 8 events takes its slot for about 0.7 s: a domain's ten engines run 115 calls a second.
	tests := []struct {
		name string
		rate float64 // calls a second in the domain
		// areLost is set if all engines of the domain have ended.
		areLost bool
		want    float64 // fraction of calls on time
	}{
		{"half as many again as it can run", 170, false, 0.99},
		{"twice as many as it can run", 230, false, 0.98},
		{"no engines left", 100, true, 0.98},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			run(t, simulator.Config{Entries: 24, Engines: engines, Slots: slots, Events: 8, Domains: domains}, 0, func(h *harness) {
				time.Sleep(2 * time.Second)
				for index := 0; tt.areLost && index < engines; index += domains {
					h.Engines[index].Crash(time.Minute, true)
				}
				time.Sleep(pollTime) // until the agents have noticed
				h.loadAt(0, domains, "answer", tt.rate, length, 607)
				time.Sleep(length)
				h.callers.Wait()
				onTime, served := h.onTime("answer", 400*time.Millisecond)
				t.Logf("on time %.4f, served %.4f of %d", onTime, served, len(h.results["answer"]))
				if onTime < tt.want || served < 0.99 {
					t.Errorf("on time %.4f, served %.4f; want at least %.2f and 0.99", onTime, served, tt.want)
				}
			})
		})
	}
}
