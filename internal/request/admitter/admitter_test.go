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
	// A fixed seed gives the same verdict on every run; -rapid.seed overrides it.
	_ = flag.Set("rapid.seed", "1")
}

const (
	rate     = 1000.0
	hold     = 5 * time.Second
	interval = time.Second
	step     = 100 * time.Millisecond
	cost     = 50.0
)

// entries is a number of entries that share one cap.
type entries struct {
	now   time.Time
	all   []*admitter.Admitter
	limit admitter.Cap
	taken float64
}

func newEntries(count int, burst time.Duration) *entries {
	e := &entries{now: time.Unix(0, 0), limit: admitter.Cap{Flow: "flow", Rate: rate, Burst: burst}}
	for range count {
		a := admitter.New(admitter.Config{Hold: hold})
		a.SetEntries(count)
		e.all = append(e.all, a)
	}
	return e
}

// exchange has all hear from all.
func (e *entries) exchange() {
	for n, a := range e.all {
		for m, other := range e.all {
			if n != m {
				a.Hear(e.now, fmt.Sprint(m), other.Usage(e.now))
			}
		}
	}
}

// take has the chosen entries ask for far more than the cap for some time.
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

// TestOvershoot lets entries lose and regain contact at random while the demand
// moves about: together they never take more than the stated bound.
func TestOvershoot(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		count := rapid.IntRange(2, 8).Draw(t, "entries")
		burst := time.Duration(rapid.IntRange(1, 3).Draw(t, "burst")) * time.Second
		e := newEntries(count, burst)
		isCut := false
		loose := 0 // seconds in contact, or within Hold of it, in which views may differ
		sinceCut := 0
		seconds := rapid.IntRange(5, 60).Draw(t, "seconds")
		for range seconds {
			if rapid.IntRange(0, 9).Draw(t, "turn") == 0 {
				isCut, sinceCut = !isCut, 0
			}
			if sinceCut++; !isCut || time.Duration(sinceCut)*time.Second <= hold+interval {
				loose++
			}
			if !isCut {
				e.exchange()
			}
			busy, everyone := rapid.IntRange(0, count-1).Draw(t, "busy"), rapid.Bool().Draw(t, "everyone")
			e.take(time.Second, func(n int) bool { return everyone || n == busy })
		}
		n := float64(count)
		over := rate * (n - 1) * (1 - admitter.EvenPart)
		bursts := burst.Seconds() * (admitter.EvenPart + n*(1-admitter.EvenPart))
		bound := rate*(float64(seconds)+bursts) + over*float64(loose)*interval.Seconds() + cost*n
		if e.taken > bound {
			t.Fatalf("%d entries took %.0f tokens in %d s, the bound is %.0f", count, e.taken, seconds, bound)
		}
	})
}

// TestCutApart takes the last view to its end: within Hold the stated bound holds,
// and after it the entries are at their even parts and the cap holds exactly.
func TestCutApart(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		count := rapid.IntRange(2, 8).Draw(t, "entries")
		e := newEntries(count, time.Second)
		e.exchange()
		everyone := func(int) bool { return true }
		n := float64(count)
		e.take(hold, everyone)
		if bound := rate*hold.Seconds() + rate*(n-1)*(1-admitter.EvenPart)*(hold+interval).Seconds() + (rate+cost)*n; e.taken > bound {
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

// TestParts has entries in contact: the parts of those with the same view add up
// to the whole cap, and follow demand.
func TestParts(t *testing.T) {
	now := time.Unix(0, 0)
	limit := admitter.Cap{Flow: "flow", Rate: rate, Burst: time.Second}
	a, b := admitter.New(admitter.Config{Hold: hold}), admitter.New(admitter.Config{Hold: hold})
	a.SetEntries(2)
	b.SetEntries(2)
	if a.Admit(now, []admitter.Cap{limit}, 30) != nil || b.Admit(now, []admitter.Cap{limit}, 10) != nil {
		t.Fatal("the caps are not used up yet")
	}
	a.Hear(now, "b", b.Usage(now))
	b.Hear(now, "a", a.Usage(now))
	if got, want := a.Part(now, "flow"), 0.25+0.5*0.75; got != want {
		t.Errorf("got part %.4f, want %.4f", got, want)
	}
	if got := a.Part(now, "flow") + b.Part(now, "flow"); got < 0.999 || got > 1.001 {
		t.Errorf("the parts add up to %.4f", got)
	}
	if got := a.Part(now.Add(hold+1), "flow"); got != 0.5 {
		t.Errorf("got part %.4f out of contact, want the even one", got)
	}
}

// BenchmarkAdmit checks the three caps of a request beside 400 entries.
func BenchmarkAdmit(b *testing.B) {
	now := time.Unix(0, 0)
	a := admitter.New(admitter.Config{Hold: hold})
	a.SetEntries(400)
	caps := []admitter.Cap{{Flow: "m", Rate: 1e9, Burst: time.Second}, {Flow: "m/a", Rate: 1e9, Burst: time.Second}, {Flow: "m/a/c", Rate: 1e9, Burst: time.Second}}
	for n := range 399 {
		a.Hear(now, fmt.Sprint(n), []admitter.Usage{{Flow: "m", Rate: 1}})
	}
	for b.Loop() {
		if refusal := a.Admit(now, caps, 1); refusal != nil {
			b.Fatal(refusal)
		}
		now = now.Add(time.Millisecond)
	}
}
