package router_test

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/foxtailwharf/foxtailwharf"
	"github.com/foxtailwharf/foxtailwharf/internal/request/router"
)

func init() {
	// A fixed seed makes runs reproducible; -rapid.seed overrides it.
	_ = flag.Set("rapid.seed", "1")
}

func agents(count int) (list []foxtailwharf.Instance) {
	for n := range count {
		list = append(list, foxtailwharf.Instance{
			Name:          fmt.Sprintf("agent-%03d", n),
			Incarnation:   fmt.Sprint("i", n),
			Service:       "s",
			Version:       fmt.Sprint("v", n%2),
			FailureDomain: fmt.Sprint("d", n%3),
		})
	}
	return list
}

func newRouter() *router.Router {
	return router.New(router.Config{FailureDomain: "d0", Random: rand.New(rand.NewPCG(1, 1))})
}

// addFaultsAndLoad records faults and requests in flight for an upstream.
func addFaultsAndLoad(r *router.Router, now time.Time, incarnation string, faults, load int) {
	for range faults {
		r.Failed(now, incarnation)
	}
	for range load {
		r.Sent(incarnation, false)
	}
}

// TestPick checks that Pick never returns an instance that is leaving, excluded, of another
// version or of another service, and that it finds one whenever one is eligible.
func TestPick(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r := newRouter()
		now := time.Unix(0, 0)
		list := agents(rapid.IntRange(1, 9).Draw(t, "agents"))
		exclude := make(map[string]bool)
		for n := range list {
			list[n].IsLeaving = rapid.IntRange(0, 3).Draw(t, "leaving") == 0
			exclude[list[n].Incarnation] = rapid.IntRange(0, 3).Draw(t, "exclude") == 0
			addFaultsAndLoad(r, now, list[n].Incarnation, rapid.IntRange(0, 6).Draw(t, "faults"), rapid.IntRange(0, 4).Draw(t, "load"))
		}
		q := router.Request{
			Service:  "s",
			Version:  rapid.SampledFrom([]string{"", "v0", "v1"}).Draw(t, "version"),
			Affinity: rapid.SampledFrom([]string{"", "a", "b"}).Draw(t, "affinity"),
			Exclude:  exclude,
		}
		eligible := 0
		for _, i := range list {
			if !i.IsLeaving && !exclude[i.Incarnation] && (q.Version == "" || q.Version == i.Version) {
				eligible++
			}
		}
		got, isFound := r.Pick(now, list, q)
		if isFound != (eligible > 0) {
			t.Fatalf("found %t, but %d instances are eligible", isFound, eligible)
		}
		if isFound && (got.IsLeaving || exclude[got.Incarnation] || (q.Version != "" && got.Version != q.Version)) {
			t.Fatalf("picked %+v for %+v", got, q)
		}
	})
}

// TestBoundedLoad sends skewed prefixes: no upstream gets more than 1.25 times the mean load, and
// a prefix stays on its upstream while that is not overloaded.
func TestBoundedLoad(t *testing.T) {
	r := newRouter()
	now := time.Unix(0, 0)
	list := agents(12)
	for n := range list {
		list[n].FailureDomain = "d0"
	}
	random := rand.New(rand.NewPCG(2, 2))
	counts := make(map[string]int)
	const requests = 1200
	for range requests {
		prefix := fmt.Sprint(int(random.ExpFloat64() * 4))
		got, _ := r.Pick(now, list, router.Request{Service: "s", Affinity: prefix})
		r.Sent(got.Incarnation, false)
		counts[got.Incarnation]++
	}
	for incarnation, count := range counts {
		if mean := requests / len(list); float64(count) > 1.25*float64(mean)+1 {
			t.Errorf("%s got %d requests, the mean is %d", incarnation, count, mean)
		}
	}
	quiet := newRouter()
	first, _ := quiet.Pick(now, list, router.Request{Service: "s", Affinity: "p"})
	for range 20 {
		if got, _ := quiet.Pick(now, list, router.Request{Service: "s", Affinity: "p"}); got.Name != first.Name {
			t.Errorf("a prefix moved from %s to %s without load", first.Name, got.Name)
		}
	}
}

// TestAffinityUnderEvenLoad checks that a prefix stays on its upstream while all upstreams are equally
// loaded, also by reports that have aged.
func TestAffinityUnderEvenLoad(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := time.Unix(0, 0)
		list := agents(rapid.IntRange(1, 12).Draw(t, "agents"))
		for n := range list {
			list[n].FailureDomain = "d0"
		}
		q := router.Request{Service: "s", Affinity: rapid.StringMatching("[a-z]{3}").Draw(t, "prefix")}
		want, _ := newRouter().Pick(now, list, q)
		r := newRouter()
		own, others := rapid.IntRange(0, 20).Draw(t, "own"), rapid.IntRange(0, 20).Draw(t, "others")
		for _, i := range list {
			r.Report(now, i.Incarnation, foxtailwharf.Load{Running: others})
			addFaultsAndLoad(r, now, i.Incarnation, 0, own)
		}
		now = now.Add(time.Duration(rapid.IntRange(0, 4000).Draw(t, "age")) * time.Millisecond)
		for range 10 {
			if got, _ := r.Pick(now, list, q); got.Name != want.Name {
				t.Fatalf("picked %s, want %s: all have %g requests", got.Name, want.Name, r.Load(now, got.Incarnation))
			}
		}
	})
}

// TestEject checks that an upstream with consecutive faults is ejected and returns after the
// ejection time, and that an upstream is picked even if all have faults.
func TestEject(t *testing.T) {
	r := newRouter()
	now := time.Unix(0, 0)
	list := agents(9)
	for n := range list {
		list[n].FailureDomain = "d0"
	}
	fail := func(n int) {
		for range 3 {
			r.Failed(now, list[n].Incarnation)
		}
	}
	picked := func(now time.Time) map[string]bool {
		names := make(map[string]bool)
		for range 500 {
			got, isFound := r.Pick(now, list, router.Request{Service: "s"})
			if !isFound {
				t.Fatal("no upstream is picked")
			}
			names[got.Name] = true
		}
		return names
	}
	fail(0)
	for _, after := range []time.Duration{0, 1900 * time.Millisecond} {
		if names := picked(now.Add(after)); names[list[0].Name] || len(names) != len(list)-1 {
			t.Errorf("%s after the faults %v are picked, want all but %s", after, names, list[0].Name)
		}
	}
	if names := picked(now.Add(2 * time.Second)); len(names) != len(list) {
		t.Errorf("after the ejection time %v are picked, want all", names)
	}
	for n := range list {
		fail(n)
	}
	if names := picked(now); len(names) != len(list) {
		t.Errorf("with faults of all upstreams %v are picked, want all", names)
	}
}

// BenchmarkPick picks among 3400 agents, the largest fleet that the router is designed for.
func BenchmarkPick(b *testing.B) {
	r := newRouter()
	now := time.Unix(0, 0)
	list := agents(3400)
	for n := 0; b.Loop(); n++ {
		got, _ := r.Pick(now, list, router.Request{Service: "s", Affinity: fmt.Sprint(n % 100)})
		r.Sent(got.Incarnation, false)
		r.Returned(got.Incarnation, false)
	}
}
