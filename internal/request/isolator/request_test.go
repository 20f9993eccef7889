package isolator_test

import (
	"flag"
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/foxtailwharf/foxtailwharf/internal/request/isolator"
)

func init() {
	// A fixed seed makes runs reproducible; -rapid.seed overrides it.
	_ = flag.Set("rapid.seed", "1")
}

// weighTime is longer than the evidence on a crash waits until it is weighed.
const weighTime = time.Second

// entry is an isolator that knows requests alone, as one of the product's own interface does.
type entry struct {
	*isolator.Isolator
}

func newEntry(c isolator.Config) entry {
	e := entry{isolator.New(c)}
	e.SetRole(isolator.RoleDecides)
	return e
}

func twoCrashes() isolator.Config { return isolator.Config{CrashesToBan: 2} }

func (e entry) crash(now time.Time, upstream, digest string) {
	e.RecordBreak(now, now, upstream, []string{isolator.Request(digest)}, false)
}

func (e entry) complete(now time.Time, digest string) {
	e.RecordComplete(now, isolator.Request(digest))
}

// refused returns how much longer a request is refused, because it is banned or held.
func (e entry) refused(now time.Time, digest string) time.Duration {
	e.Decide(now)
	return max(e.banned(now, digest), e.Held(now, isolator.Request(digest)))
}

func (e entry) banned(now time.Time, digest string) time.Duration {
	return e.BanRemaining(now, []string{isolator.Request(digest)})
}

func (e entry) crashed(digest string) []string {
	return e.CrashedUpstreams(isolator.Request(digest))
}

// tell lets one entry tell another one all that it knows.
func (e entry) tell(now time.Time, other entry) {
	other.Merge(now, e.All(now))
}

// TestCrashingRequest repeats one crashing request among harmless ones. Two suspects never run on
// the same upstream, as in production. The request must crash at most two upstreams, and no
// harmless request may be banned.
func TestCrashingRequest(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := time.Unix(0, 0)
		e := newEntry(twoCrashes())
		upstreams := rapid.IntRange(3, 8).Draw(t, "upstreams")
		crashes := 0
		for round := range rapid.IntRange(3, 30).Draw(t, "rounds") {
			now = now.Add(time.Duration(rapid.IntRange(1, 20).Draw(t, "pause")) * time.Second)
			if e.refused(now, "crasher") > 0 {
				continue
			}
			tried := e.crashed("crasher")
			upstream := fmt.Sprint((len(tried) + round) % upstreams)
			for len(tried) > 0 && tried[0] == upstream {
				upstream = fmt.Sprint(rapid.IntRange(0, upstreams-1).Draw(t, "upstream"))
			}
			crashes++
			innocent := fmt.Sprintf("innocent %d", rapid.IntRange(0, 5).Draw(t, "innocent"))
			isSeparated := len(tried) > 0 && len(e.crashed(innocent)) > 0
			e.crash(now, upstream, "crasher")
			if !isSeparated {
				e.crash(now, upstream, innocent)
				// It is retried elsewhere and gets a complete answer.
				if e.refused(now, innocent) > 0 {
					t.Fatalf("%s is banned", innocent)
				}
				e.complete(now.Add(time.Millisecond), innocent)
			}
		}
		if crashes > 2 {
			t.Fatalf("the request crashed %d upstreams", crashes)
		}
	})
}

// TestMassFailure has many upstreams die at once with requests in flight: none of the requests
// may be banned, in whatever order the crashes are recorded.
func TestMassFailure(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := time.Unix(0, 0)
		e := newEntry(twoCrashes())
		type crash struct{ upstream, digest string }
		var all []crash
		for upstream := range rapid.IntRange(3, 12).Draw(t, "upstreams") {
			for request := range rapid.IntRange(1, 6).Draw(t, "requests") {
				all = append(all, crash{fmt.Sprint(upstream), fmt.Sprintf("%d.%d", upstream, request)})
			}
			// The request was in flight on two upstreams, as when a caller repeats it.
			if rapid.IntRange(0, 3).Draw(t, "repeat") == 0 && upstream < 2 {
				all = append(all, crash{fmt.Sprint(upstream), "repeated"})
			}
		}
		for _, n := range rapid.Permutation(all).Draw(t, "order") {
			now = now.Add(5 * time.Millisecond)
			e.crash(now, n.upstream, n.digest)
		}
		for _, at := range []time.Time{now, now.Add(weighTime), now.Add(time.Minute)} {
			for _, n := range all {
				if e.refused(at, n.digest) > 0 {
					t.Fatalf("request %s is refused %s after a mass failure", n.digest, at.Sub(now))
				}
			}
		}
	})
}

// TestCrashesSeenByTwoEntries has two entries see one crash each: the request must be banned once
// they have exchanged them.
func TestCrashesSeenByTwoEntries(t *testing.T) {
	now := time.Unix(0, 0)
	a, b := newEntry(twoCrashes()), newEntry(twoCrashes())
	a.crash(now, "1", "crasher")
	b.crash(now, "2", "crasher")
	a.tell(now, b)
	if b.refused(now, "crasher") == 0 || b.refused(now.Add(weighTime), "crasher") == 0 {
		t.Error("two crashes seen by different entries do not ban the request")
	}
	for later := now; later.Before(now.Add(time.Hour)); later = later.Add(time.Minute) {
		a.tell(later, b)
		b.tell(later, a)
	}
	if a.IsSuspect(isolator.Request("crasher")) || b.IsSuspect(isolator.Request("crasher")) {
		t.Error("entries kept renewing each other's suspects for an hour")
	}
}

// TestMergeRequestBan has two entries exchange a ban again and again.
func TestMergeRequestBan(t *testing.T) {
	c := twoCrashes()
	c.BanTime = time.Minute
	now := time.Unix(0, 0)
	a, b := newEntry(c), newEntry(c)
	a.crash(now, "1", "crasher")
	a.crash(now.Add(time.Minute), "2", "crasher")
	now = now.Add(time.Minute + weighTime)
	a.Decide(now)
	now = now.Add(10*time.Second - weighTime)
	for range 5 {
		a.tell(now, b)
		b.tell(now, a)
	}
	if got, want := b.banned(now, "crasher"), 50*time.Second+weighTime; got > want || got < want-weighTime {
		t.Errorf("got %s, want %s to %s", got, want-weighTime, want)
	}
	if got := a.banned(now.Add(51*time.Second+weighTime), "crasher"); got != 0 {
		t.Errorf("entries renewed each other's ban, which remains for %s", got)
	}
}

// TestTakeUrgent checks that crashes under requests that this entry has found itself are returned once, those with
// most crashes first.
func TestTakeUrgent(t *testing.T) {
	now := time.Unix(0, 0)
	e := newEntry(isolator.Config{})
	e.Merge(now, isolator.Evidence{Breaks: []isolator.Crash{{Upstream: "7", Parts: []string{isolator.Request("heard")}}}})
	for n, digest := range []string{"twice", "twice", "once", "thrice", "thrice", "thrice"} {
		now = now.Add(5 * time.Second)
		e.crash(now, fmt.Sprint(n), digest)
	}
	have := make(map[string]int)
	for _, b := range e.TakeUrgent(now).Breaks {
		for _, request := range b.Parts {
			have[request]++
		}
	}
	if len(have) != 2 || have[isolator.Request("twice")] != 2 || have[isolator.Request("thrice")] != 3 {
		t.Errorf("have %v, want two crashes under one request and three under the other", have)
	}
	if again := e.TakeUrgent(now); len(again.Breaks) != 0 {
		t.Errorf("%d crashes are returned again", len(again.Breaks))
	}
	// Many upstreams die at once: the requests there have crashed one each, and there is no hurry.
	for n := range 6 {
		e.crash(now.Add(time.Minute), fmt.Sprint("rack-", n), fmt.Sprint("r", n))
	}
	if urgent := e.TakeUrgent(now.Add(time.Minute)); len(urgent.Breaks) != 0 {
		t.Errorf("%d crashes are urgent after a mass failure, want none", len(urgent.Breaks))
	}
}

// TestRequestBansAreNotRenewed has two entries tell each other a ban again and again, by messages that take
// some time.
func TestRequestBansAreNotRenewed(t *testing.T) {
	const delay = 300 * time.Millisecond
	c := twoCrashes()
	c.BanTime = time.Minute
	now := time.Unix(0, 0)
	a, b := newEntry(c), newEntry(c)
	a.crash(now, "1", "crasher")
	a.crash(now, "2", "crasher")
	end := now.Add(62*time.Second + weighTime)
	for ; now.Before(end); now = now.Add(time.Second) {
		a.Decide(now)
		toB, toA := a.All(now), b.All(now)
		b.Merge(now.Add(delay), toB)
		a.Merge(now.Add(delay), toA)
	}
	if have := max(a.banned(end, "crasher"), b.banned(end, "crasher")); have > 0 {
		t.Errorf("2 s after its end the ban remains for %s", have)
	}
}

// TestMetRequestBanLasts guards against a ban that ends while the request still comes. It is bounded, since nothing
// proves that the request has become sound.
func TestMetRequestBanLasts(t *testing.T) {
	tests := []struct {
		name         string
		every, until time.Duration // between two times that the request comes, and the last one
		at           time.Duration
		want         bool // the ban is in force
	}{
		{"met all the time", time.Second, 50 * time.Minute, 50 * time.Minute, true},
		{"met all the time, then no more", time.Second, 50 * time.Minute, 61 * time.Minute, false},
		{"met each seven minutes", 7 * time.Minute, 50 * time.Minute, 50 * time.Minute, true},
		{"met for too long", time.Second, 2 * time.Hour, 61 * time.Minute, false},
		{"never met", time.Hour, 0, 11 * time.Minute, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			start := time.Unix(0, 0)
			a, b := newEntry(twoCrashes()), newEntry(twoCrashes())
			a.SetRole(isolator.RoleTries)
			// Crashes at once have trials (TestEarlyTrials).
			a.crash(start.Add(-2*time.Second), "1", "crasher")
			a.crash(start, "2", "crasher")
			a.Decide(start.Add(weighTime))
			a.tell(start.Add(weighTime), b)
			for s := tt.every; s <= tt.until; s += tt.every {
				now := start.Add(s)
				if _, isTrial := a.Meet(now, []string{isolator.Request("crasher")}); isTrial {
					t.Fatalf("after %s the request runs as a trial", s)
				}
				b.Merge(now, isolator.Evidence{Bans: a.TakeUnsent(now).Met})
			}
			for name, e := range map[string]entry{"that is met": a, "that is told": b} {
				if have := e.banned(start.Add(tt.at), "crasher"); (have > 0) != tt.want {
					t.Errorf("the ban remains for %s at the entry %s, want in force %t", have, name, tt.want)
				}
			}
		})
	}
}

// TestDecideRequest has a request among crashes of other causes.
func TestDecideRequest(t *testing.T) {
	type crash struct {
		at       float64
		upstream string
		request  string // empty for none
		hasBegun bool
	}
	tests := []struct {
		name    string
		crashes []crash
		want    bool // the request r is banned
	}{
		{"three crashes", []crash{{1, "a", "r", false}, {1.1, "b", "r", false}, {1.2, "c", "r", false}}, true},
		{"two crashes", []crash{{1, "a", "r", false}, {2, "b", "r", false}}, false},
		{"copies at once", []crash{{1, "a", "r", false}, {1, "b", "r", false}, {1, "c", "r", false}}, true},
		{"two requests by turns", []crash{{1, "a", "r", false}, {1.1, "b", "s", false}, {1.2, "c", "r", false}, {1.3, "d", "s", false}, {1.4, "e", "r", false}, {1.5, "f", "s", false}}, true},
		{"five requests by turns, once", []crash{{1, "a", "r", false}, {1.1, "b", "s", false}, {1.2, "c", "t", false}, {1.3, "d", "u", false}, {1.4, "e", "v", false}}, false},
		{"three among ten failures", []crash{
			{1, "a", "r", false}, {1.2, "b", "1", false}, {1.4, "c", "2", false}, {1.6, "d", "r", false}, {1.8, "e", "3", false},
			{2, "f", "4", false}, {2.2, "g", "r", false}, {2.4, "h", "5", false}, {2.6, "i", "6", false}, {2.8, "j", "7", false},
		}, false},
		{"five among ten failures", []crash{
			{1, "a", "r", false}, {1.2, "b", "1", false}, {1.4, "c", "r", false}, {1.6, "d", "2", false}, {1.8, "e", "r", false},
			{2, "f", "3", false}, {2.2, "g", "r", false}, {2.4, "h", "4", false}, {2.6, "i", "r", false}, {2.8, "j", "5", false}, {3, "k", "6", false}, {3.2, "l", "7", false},
		}, true},
		{"five among many failures, begun", []crash{
			{1, "a", "r", true}, {1.2, "b", "1", false}, {1.4, "c", "r", true}, {1.6, "d", "2", false}, {1.8, "e", "r", true},
			{2, "f", "3", false}, {2.2, "g", "r", true}, {2.4, "h", "4", false}, {2.6, "i", "r", true}, {2.8, "j", "5", false}, {3, "k", "6", false}, {3.2, "l", "7", false},
		}, false},
		{"three crashes midway, no others", []crash{{1, "a", "r", true}, {2, "b", "r", true}, {3, "c", "r", true}}, true},
		{"one upstream again and again", []crash{{1, "a", "r", false}, {2, "a", "r", false}, {3, "a", "r", false}}, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			e := newEntry(isolator.Config{})
			for _, c := range tt.crashes {
				e.RecordBreak(at(c.at), at(c.at), c.upstream, []string{isolator.Request(c.request)}, c.hasBegun)
			}
			if have := e.refused(at(6), "r") > 0; have != tt.want {
				t.Errorf("banned %t, want %t", have, tt.want)
			}
		})
	}
}

// TestOthersSeeNoCrashOfTheirOwn guards against an entry that takes crashes under requests of other entries for ones
// of another cause: each crash cuts a stream of every entry.
func TestOthersSeeNoCrashOfTheirOwn(t *testing.T) {
	for _, pause := range []float64{0.1, 0.3, 0.9, 1.1, 3} {
		t.Run(fmt.Sprint(pause, " s"), func(t *testing.T) {
			var entries []entry
			for range 6 {
				entries = append(entries, newEntry(isolator.Config{}))
			}
			crashes := 0
			for n := range 24 {
				now := at(float64(n) * pause)
				trying := entries[n%len(entries)]
				if trying.refused(now, "crasher") > 0 {
					continue
				}
				crashes++
				trying.crash(now, fmt.Sprint("engine-", n), "crasher")
				cutStreams(now, entries, n)
			}
			if crashes > 3 {
				t.Errorf("the request crashed %d engines, want 3", crashes)
			}
		})
	}
}

// cutStreams cuts a stream of each entry by the end of an engine, and lets the entries tell each other all news.
func cutStreams(now time.Time, entries []entry, engine int) {
	for k, e := range entries {
		e.RecordBreak(now, now, fmt.Sprint("engine-", engine), []string{isolator.Request(fmt.Sprintf("stream-%d-%d", engine, k))}, true)
	}
	for k, e := range entries {
		told := e.TakeUrgent(now)
		told.Breaks = append(told.Breaks, e.TakeUnsent(now).Breaks...)
		for other := range entries {
			if other != k {
				entries[other].Merge(now, told)
			}
		}
	}
}

// TestRequestAndItsPart has a crashing request with a part of its own: other calls with the part go on and prove it
// sound.
func TestRequestAndItsPart(t *testing.T) {
	e := newEntry(isolator.Config{})
	suspects := []string{"session", isolator.Request("crasher")}
	for n, s := range []float64{1, 2, 3} {
		upstream := fmt.Sprint(n)
		e.RecordBreak(at(s), at(s), upstream, suspects, false)
		e.RecordCrash(at(s+0.1), at(s), upstream, suspects[:1])
	}
	e.Decide(at(5))
	if e.BanRemaining(at(5), suspects) == 0 {
		t.Error("the request is not banned")
	}
	if e.BanRemaining(at(5), []string{"session", isolator.Request("other")}) > 0 {
		t.Error("another request with the part is banned")
	}
	e.RecordBegin(at(6), []string{"session"})
	if have, want := banned(e.Isolator, at(6)), []string{isolator.Request("crasher")}; !slices.Equal(have, want) {
		t.Errorf("have %v banned, want %v", have, want)
	}
	e.complete(at(7), "crasher")
	if have := banned(e.Isolator, at(7)); len(have) != 0 {
		t.Errorf("have %v banned after a complete answer, want none", have)
	}
}
