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
	// A fixed seed gives the same verdict on every run; -rapid.seed overrides it.
	_ = flag.Set("rapid.seed", "1")
}

// TestOneCrasher sends one crashing request again and again among innocent ones,
// suspects apart from each other as the gate keeps them: it takes down two
// upstreams at the most and no innocent request is barred.
func TestOneCrasher(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := time.Unix(0, 0)
		q := quarantiner.New(quarantiner.Config{})
		upstreams := rapid.IntRange(3, 8).Draw(t, "upstreams")
		deaths := 0
		for round := range rapid.IntRange(3, 30).Draw(t, "rounds") {
			now = now.Add(time.Duration(rapid.IntRange(1, 20).Draw(t, "pause")) * time.Second)
			if q.Barred(now, "crasher") > 0 {
				continue
			}
			tried := q.DiedOn("crasher")
			upstream := fmt.Sprint((len(tried) + round) % upstreams)
			for len(tried) > 0 && tried[0] == upstream {
				upstream = fmt.Sprint(rapid.IntRange(0, upstreams-1).Draw(t, "upstream"))
			}
			deaths++
			innocent := fmt.Sprintf("innocent %d", rapid.IntRange(0, 5).Draw(t, "innocent"))
			isAlone := q.IsSuspect("crasher") && q.IsSuspect(innocent)
			q.Died(now, upstream, "crasher")
			if !isAlone {
				q.Died(now, upstream, innocent)
				// It is tried again elsewhere and gets its whole answer.
				if q.Barred(now, innocent) > 0 {
					t.Fatalf("%s is barred", innocent)
				}
				q.Answered(innocent)
			}
		}
		if deaths > 2 {
			t.Fatalf("the request took down %d upstreams", deaths)
		}
	})
}

// TestRack has many upstreams die at once with requests in flight: none is barred,
// in whatever order the news comes in.
func TestRack(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := time.Unix(0, 0)
		q := quarantiner.New(quarantiner.Config{})
		type news struct{ upstream, digest string }
		var all []news
		for upstream := range rapid.IntRange(3, 12).Draw(t, "upstreams") {
			for request := range rapid.IntRange(1, 6).Draw(t, "requests") {
				all = append(all, news{fmt.Sprint(upstream), fmt.Sprintf("%d.%d", upstream, request)})
			}
			// The request was in flight twice, as a caller's repeat is.
			if rapid.IntRange(0, 3).Draw(t, "repeat") == 0 && upstream < 2 {
				all = append(all, news{fmt.Sprint(upstream), "repeated"})
			}
		}
		for _, n := range rapid.Permutation(all).Draw(t, "order") {
			now = now.Add(5 * time.Millisecond)
			q.Died(now, n.upstream, n.digest)
		}
		for _, n := range all {
			if q.Barred(now, n.digest) > 0 {
				t.Fatalf("request %s is barred by the death of a rack", n.digest)
			}
		}
	})
}

// TestSeenApart has two entries see one death each: the ban comes with their
// exchange.
func TestSeenApart(t *testing.T) {
	now := time.Unix(0, 0)
	a, b := quarantiner.New(quarantiner.Config{}), quarantiner.New(quarantiner.Config{})
	a.Died(now, "1", "crasher")
	b.Died(now, "2", "crasher")
	for _, ban := range a.Bans(now) {
		b.Hear(now, ban)
	}
	if b.Barred(now, "crasher") == 0 {
		t.Error("two deaths seen apart do not bar")
	}
	for later := now; later.Before(now.Add(time.Hour)); later = later.Add(time.Minute) {
		for _, ban := range a.Bans(later) {
			b.Hear(later, ban)
		}
		for _, ban := range b.Bans(later) {
			a.Hear(later, ban)
		}
	}
	if a.IsSuspect("crasher") || b.IsSuspect("crasher") {
		t.Error("entries kept each other's suspicion alive for an hour")
	}
}

func TestHear(t *testing.T) {
	now := time.Unix(0, 0)
	a, b := quarantiner.New(quarantiner.Config{Time: time.Minute}), quarantiner.New(quarantiner.Config{Time: time.Minute})
	a.Died(now, "1", "crasher")
	a.Died(now.Add(time.Minute), "2", "crasher")
	now = now.Add(time.Minute + 10*time.Second)
	for range 5 {
		for _, ban := range a.Bans(now) {
			b.Hear(now, ban)
		}
		for _, ban := range b.Bans(now) {
			a.Hear(now, ban)
		}
	}
	if got, want := b.Barred(now, "crasher"), 50*time.Second; got != want {
		t.Errorf("got %s, want %s", got, want)
	}
	if got := a.Barred(now.Add(51*time.Second), "crasher"); got != 0 {
		t.Errorf("entries kept each other's ban alive for %s", got)
	}
}

// TestNews checks that other entries are told once of what was seen here and still holds.
func TestNews(t *testing.T) {
	now := time.Unix(0, 0)
	q := quarantiner.New(quarantiner.Config{DeathsToBar: 3})
	q.Hear(now, quarantiner.Ban{Digest: "heard", Upstreams: []string{"7"}})
	q.Died(now, "1", "twice")
	now = now.Add(5 * time.Second)
	q.Died(now, "2", "twice")
	now = now.Add(5 * time.Second)
	q.Died(now, "3", "once")
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
		for _, ban := range q.News(now, tt.limit) {
			have = append(have, ban.Digest)
		}
		if !slices.Equal(have, tt.want) {
			t.Errorf("have %v, want %v", have, tt.want)
		}
	}
	// A rack dies: its deaths are no evidence, and there is nothing to tell.
	for i := range 6 {
		q.Died(now.Add(time.Minute), fmt.Sprint("rack-", i), fmt.Sprint("r", i))
	}
	if bans := q.News(now.Add(time.Minute), 9); len(bans) != 0 {
		t.Errorf("%d requests are held against after the death of a rack, want none", len(bans))
	}
}
