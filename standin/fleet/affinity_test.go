package fleet_test

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/foxtailwharf/foxtailwharf"
	"github.com/foxtailwharf/foxtailwharf/standin"
	"github.com/foxtailwharf/foxtailwharf/standin/fleet"
)

// affinityResult is the result of a run of conversations.
type affinityResult struct {
	hits    float64 // fraction of the requests whose prefix was cached
	maxLoad float64 // requests of the most loaded upstream, divided by the mean
}

// runConversations sends the turns of 90 conversations, more than the cache of one engine holds.
func runConversations(t *testing.T, policy foxtailwharf.RoutingPolicy) (got affinityResult) {
	t.Helper()
	const conversations, turns = 90, 4
	b := newBench(t, benchConfig{assistants: 6, change: func(c *fleet.Config) {
		c.Domains = c.Domains[:1]
		c.Services = c.Services[:1]
		c.ChangeEntry = func(_ int, s *foxtailwharf.EntrySettings) { s.Routing = policy }
		c.Services[0].Upstream = func(int) http.Handler {
			return standin.NewEngine(standin.EngineConfig{TimeToFirstToken: 50 * time.Millisecond, TokenInterval: 5 * time.Millisecond, CacheSize: 24, CacheSaving: 0.8})
		}
	}})
	random := rand.New(rand.NewPCG(1, 1))
	var callers sync.WaitGroup
	for turn := range turns {
		for _, n := range random.Perm(conversations) {
			callers.Go(func() {
				b.via(n % 2).chat(fmt.Sprintf(`{"model":"assistant","stream":true,"max_tokens":4,"messages":[{"role":"system","content":"conversation %d"},{"role":"user","content":"turn 0"},{"role":"user","content":"turn %d"}]}`, n, turn))
			})
			time.Sleep(10 * time.Millisecond)
		}
	}
	callers.Wait()
	total, highest := 0, 0
	for _, a := range b.f.AgentsOf("assistant") {
		hits, misses := engineOf(t, a).Cache()
		got.hits += float64(hits)
		total += hits + misses
		highest = max(highest, hits+misses)
	}
	got.hits /= float64(total)
	got.maxLoad = float64(highest) * float64(len(b.f.Agents)) / float64(total)
	b.stop()
	t.Logf("%s: %.2f of the requests hit the prefix cache, the most loaded upstream got %.2f times the mean", policy, got.hits, got.maxLoad)
	return got
}

// TestAffinity compares prefix affinity with round robin: more requests must hit the prefix cache,
// and no upstream may get more than 1.25 times the mean number of requests.
func TestAffinity(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		got := runConversations(t, foxtailwharf.RoutingAffinity)
		baseline := runConversations(t, foxtailwharf.RoutingRoundRobin)
		if got.hits <= baseline.hits || got.maxLoad > 1.25 {
			t.Errorf("got %+v, round robin %+v; want a higher hit rate and at most 1.25 times the mean", got, baseline)
		}
	})
}
