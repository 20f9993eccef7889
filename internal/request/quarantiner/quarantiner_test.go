package quarantiner_test

import (
	"flag"
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/foxtailwharf/foxtailwharf/internal/request/quarantiner"
)

func init() {
	// A fixed seed makes runs reproducible; -rapid.seed overrides it.
	_ = flag.Set("rapid.seed", "1")
}

// TestCrashingRequest repeats one crashing request among harmless ones. Two suspects never run on
// the same upstream, as in production. The request must crash at most two upstreams, and no
// harmless request may be banned.
func TestCrashingRequest(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := time.Unix(0, 0)
		q := quarantiner.New(quarantiner.Config{})
		upstreams := rapid.IntRange(3, 8).Draw(t, "upstreams")
		crashes := 0
		for round := range rapid.IntRange(3, 30).Draw(t, "rounds") {
			now = now.Add(time.Duration(rapid.IntRange(1, 20).Draw(t, "pause")) * time.Second)
			if q.BanRemaining(now, "crasher") > 0 {
				continue
			}
			tried := q.CrashedUpstreams("crasher")
			upstream := fmt.Sprint((len(tried) + round) % upstreams)
			for len(tried) > 0 && tried[0] == upstream {
				upstream = fmt.Sprint(rapid.IntRange(0, upstreams-1).Draw(t, "upstream"))
			}
			crashes++
			innocent := fmt.Sprintf("innocent %d", rapid.IntRange(0, 5).Draw(t, "innocent"))
			isSeparated := q.IsSuspect("crasher") && q.IsSuspect(innocent)
			q.RecordCrash(now, upstream, "crasher")
			if !isSeparated {
				q.RecordCrash(now, upstream, innocent)
				// It is retried elsewhere and gets a complete answer.
				if q.BanRemaining(now, innocent) > 0 {
					t.Fatalf("%s is banned", innocent)
				}
				q.Clear(innocent)
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
		q := quarantiner.New(quarantiner.Config{})
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
			q.RecordCrash(now, n.upstream, n.digest)
		}
		for _, n := range all {
			if q.BanRemaining(now, n.digest) > 0 {
				t.Fatalf("request %s is banned after a mass failure", n.digest)
			}
		}
	})
}

// TestCrashesSeenByTwoEntries has two entries see one crash each: the request must be banned once
// they have exchanged them.
func TestCrashesSeenByTwoEntries(t *testing.T) {
	now := time.Unix(0, 0)
	a, b := quarantiner.New(quarantiner.Config{}), quarantiner.New(quarantiner.Config{})
	a.RecordCrash(now, "1", "crasher")
	b.RecordCrash(now, "2", "crasher")
	for _, ban := range a.Bans(now) {
		b.Merge(now, ban)
	}
	if b.BanRemaining(now, "crasher") == 0 {
		t.Error("two crashes seen by different entries do not ban the request")
	}
	for later := now; later.Before(now.Add(time.Hour)); later = later.Add(time.Minute) {
		for _, ban := range a.Bans(later) {
			b.Merge(later, ban)
		}
		for _, ban := range b.Bans(later) {
			a.Merge(later, ban)
		}
	}
	if a.IsSuspect("crasher") || b.IsSuspect("crasher") {
		t.Error("entries kept renewing each other's suspects for an hour")
	}
}

func TestMerge(t *testing.T) {
	now := time.Unix(0, 0)
	a, b := quarantiner.New(quarantiner.Config{Time: time.Minute}), quarantiner.New(quarantiner.Config{Time: time.Minute})
	a.RecordCrash(now, "1", "crasher")
	a.RecordCrash(now.Add(time.Minute), "2", "crasher")
	now = now.Add(time.Minute + 10*time.Second)
	for range 5 {
		for _, ban := range a.Bans(now) {
			b.Merge(now, ban)
		}
		for _, ban := range b.Bans(now) {
			a.Merge(now, ban)
		}
	}
	if got, want := b.BanRemaining(now, "crasher"), 50*time.Second; got != want {
		t.Errorf("got %s, want %s", got, want)
	}
	if got := a.BanRemaining(now.Add(51*time.Second), "crasher"); got != 0 {
		t.Errorf("entries renewed each other's ban, which remains for %s", got)
	}
}

// TestTakeUnsentBans checks that evidence found by this entry is returned once, and only while
// it is valid.
func TestTakeUnsentBans(t *testing.T) {
	now := time.Unix(0, 0)
	q := quarantiner.New(quarantiner.Config{CrashesToBan: 3})
	q.Merge(now, quarantiner.Ban{Digest: "heard", Upstreams: []string{"7"}})
	q.RecordCrash(now, "1", "twice")
	now = now.Add(5 * time.Second)
	q.RecordCrash(now, "2", "twice")
	now = now.Add(5 * time.Second)
	q.RecordCrash(now, "3", "once")
	tests := []struct {
		limit int
		want  []string
	}{
		{1, []string{"twice"}},
		{5, []string{"once"}},
		{5, nil},
	}
	for _, tt := range tests {
		var have []string
		for _, ban := range q.TakeUnsentBans(now, tt.limit) {
			have = append(have, ban.Digest)
		}
		if !slices.Equal(have, tt.want) {
			t.Errorf("have %v, want %v", have, tt.want)
		}
	}
	// Many upstreams die at once: their crashes are not evidence, and there is nothing to send.
	for i := range 6 {
		q.RecordCrash(now.Add(time.Minute), fmt.Sprint("rack-", i), fmt.Sprint("r", i))
	}
	if bans := q.TakeUnsentBans(now.Add(time.Minute), 9); len(bans) != 0 {
		t.Errorf("%d requests are suspects after a mass failure, want none", len(bans))
	}
}

// TestBansAreNotRenewed has two entries tell each other a ban again and again, by messages that take
// some time.
func TestBansAreNotRenewed(t *testing.T) {
	const delay = 300 * time.Millisecond
	now := time.Unix(0, 0)
	a, b := quarantiner.New(quarantiner.Config{Time: time.Minute}), quarantiner.New(quarantiner.Config{Time: time.Minute})
	a.RecordCrash(now, "1", "crasher")
	a.RecordCrash(now, "2", "crasher")
	end := now.Add(62 * time.Second)
	for ; now.Before(end); now = now.Add(time.Second) {
		toB, toA := a.Bans(now), b.Bans(now)
		for _, ban := range toB {
			b.Merge(now.Add(delay), ban)
		}
		for _, ban := range toA {
			a.Merge(now.Add(delay), ban)
		}
	}
	if have := max(a.BanRemaining(end, "crasher"), b.BanRemaining(end, "crasher")); have > 0 {
		t.Errorf("2 s after its end the ban remains for %s", have)
	}
}

// TestMetBanLasts guards against a ban that ends while the request still comes. It is bounded, since nothing
// proves that the request has become sound.
func TestMetBanLasts(t *testing.T) {
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
			a, b := quarantiner.New(quarantiner.Config{}), quarantiner.New(quarantiner.Config{})
			a.RecordCrash(start, "1", "crasher")
			a.RecordCrash(start, "2", "crasher")
			for _, ban := range a.Bans(start) {
				b.Merge(start, ban)
			}
			for s := tt.every; s <= tt.until; s += tt.every {
				now := start.Add(s)
				a.Meet(now, "crasher")
				for _, ban := range a.TakeUnsentMet(now) {
					b.Merge(now, ban)
				}
			}
			for name, q := range map[string]*quarantiner.Quarantiner{"that is met": a, "that is told": b} {
				if have := q.BanRemaining(start.Add(tt.at), "crasher"); (have > 0) != tt.want {
					t.Errorf("the ban remains for %s at the entry %s, want in force %t", have, name, tt.want)
				}
			}
		})
	}
}
