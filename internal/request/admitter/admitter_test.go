package admitter_test

import (
	"flag"
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/foxtailwharf/foxtailwharf/internal/request/admitter"
)

func init() {
	// A fixed seed makes runs reproducible; -rapid.seed overrides it.
	_ = flag.Set("rapid.seed", "1")
}

const (
	rate     = 1000.0
	usageTTL = 5 * time.Second
	interval = time.Second
	step     = 100 * time.Millisecond
	cost     = 50.0
)

// entries is a group of entries that share one cap.
type entries struct {
	now   time.Time
	all   []*admitter.Admitter
	limit admitter.Cap
	taken float64
}

func newEntries(count int, burst time.Duration) *entries {
	e := &entries{now: time.Unix(0, 0), limit: admitter.Cap{Flow: "flow", Rate: rate, Burst: burst}}
	for range count {
		a := admitter.New(admitter.Config{UsageTTL: usageTTL})
		a.SetEntries(count)
		e.all = append(e.all, a)
	}
	return e
}

// exchange delivers the usage report of every entry to all others.
func (e *entries) exchange() {
	for n, a := range e.all {
		for m, other := range e.all {
			if n != m {
				a.UpdatePeer(e.now, fmt.Sprint(m), other.Usage(e.now))
			}
		}
	}
}

// take lets the busy entries request far more than the cap for some time.
func (e *entries) take(duration time.Duration, isBusy func(n int) bool) {
	for end := e.now.Add(duration); e.now.Before(end); {
		e.now = e.now.Add(step)
		for n, a := range e.all {
			for tries := 0; tries < 50 && isBusy(n) && a.Admit(e.now, []admitter.Cap{e.limit}, cost) == nil; tries++ {
				e.taken += cost
			}
		}
	}
}

// TestOvershoot lets entries lose and regain contact at random while the demand shifts between
// them. Together they must never take more than the documented bound.
func TestOvershoot(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		count := rapid.IntRange(2, 8).Draw(t, "entries")
		burst := time.Duration(rapid.IntRange(1, 3).Draw(t, "burst")) * time.Second
		e := newEntries(count, burst)
		isPartitioned := false
		divergent := 0 // seconds during which views may differ: in contact, or within UsageTTL after it
		sincePartition := 0
		seconds := rapid.IntRange(5, 60).Draw(t, "seconds")
		for range seconds {
			if rapid.IntRange(0, 9).Draw(t, "turn") == 0 {
				isPartitioned, sincePartition = !isPartitioned, 0
			}
			if sincePartition++; !isPartitioned || time.Duration(sincePartition)*time.Second <= usageTTL+interval {
				divergent++
			}
			if !isPartitioned {
				e.exchange()
			}
			busy, everyone := rapid.IntRange(0, count-1).Draw(t, "busy"), rapid.Bool().Draw(t, "everyone")
			e.take(time.Second, func(n int) bool { return everyone || n == busy })
		}
		n := float64(count)
		over := rate * (n - 1) * (1 - admitter.EvenShare)
		bursts := burst.Seconds() * (admitter.EvenShare + n*(1-admitter.EvenShare))
		bound := rate*(float64(seconds)+bursts) + over*float64(divergent)*interval.Seconds() + cost*n
		if e.taken > bound {
			t.Fatalf("%d entries took %.0f tokens in %d s, the bound is %.0f", count, e.taken, seconds, bound)
		}
	})
}

// TestPartition cuts the contact between the entries for good. Within UsageTTL the documented bound
// must hold; after it the entries have equal shares and must keep to the cap.
func TestPartition(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		count := rapid.IntRange(2, 8).Draw(t, "entries")
		e := newEntries(count, time.Second)
		e.exchange()
		everyone := func(int) bool { return true }
		n := float64(count)
		e.take(usageTTL, everyone)
		if bound := rate*usageTTL.Seconds() + rate*(n-1)*(1-admitter.EvenShare)*(usageTTL+interval).Seconds() + (rate+cost)*n; e.taken > bound {
			t.Fatalf("within Hold %.0f tokens were taken, the bound is %.0f", e.taken, bound)
		}
		e.take(2*interval, everyone)
		e.taken = 0
		e.take(20*time.Second, everyone)
		if bound := rate*20 + cost*n; e.taken > bound {
			t.Fatalf("after Hold %.0f tokens were taken in 20 s, the cap is %.0f", e.taken, bound)
		}
	})
}

// TestShares exchanges usage between two entries: the shares of entries with the same view add up
// to the whole cap and follow demand.
func TestShares(t *testing.T) {
	now := time.Unix(0, 0)
	limit := admitter.Cap{Flow: "flow", Rate: rate, Burst: time.Second}
	a, b := admitter.New(admitter.Config{UsageTTL: usageTTL}), admitter.New(admitter.Config{UsageTTL: usageTTL})
	a.SetEntries(2)
	b.SetEntries(2)
	if a.Admit(now, []admitter.Cap{limit}, 30) != nil || b.Admit(now, []admitter.Cap{limit}, 10) != nil {
		t.Fatal("a request was refused although the cap is not used up")
	}
	a.UpdatePeer(now, "b", b.Usage(now))
	b.UpdatePeer(now, "a", a.Usage(now))
	if got, want := a.Share(now, "flow"), 0.25+0.5*0.75; got != want {
		t.Errorf("got share %.4f, want %.4f", got, want)
	}
	if got := a.Share(now, "flow") + b.Share(now, "flow"); got < 0.999 || got > 1.001 {
		t.Errorf("the shares add up to %.4f", got)
	}
	if got := a.Share(now.Add(usageTTL+1), "flow"); got != 0.5 {
		t.Errorf("got share %.4f out of contact, want an equal one", got)
	}
}

// BenchmarkAdmit checks the three caps of a request in a fleet of 400 entries.
func BenchmarkAdmit(b *testing.B) {
	now := time.Unix(0, 0)
	a := admitter.New(admitter.Config{UsageTTL: usageTTL})
	a.SetEntries(400)
	caps := []admitter.Cap{{Flow: "m", Rate: 1e9, Burst: time.Second}, {Flow: "m/a", Rate: 1e9, Burst: time.Second}, {Flow: "m/a/c", Rate: 1e9, Burst: time.Second}}
	for n := range 399 {
		a.UpdatePeer(now, fmt.Sprint(n), []admitter.Usage{{Flow: "m", Rate: 1}})
	}
	for b.Loop() {
		if refusal := a.Admit(now, caps, 1); refusal != nil {
			b.Fatal(refusal)
		}
		now = now.Add(time.Millisecond)
	}
}
