package isolator_test

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/foxtailwharf/foxtailwharf/internal/request/isolator"
)

var start = time.Unix(1000, 0)

func at(seconds float64) time.Time {
	return start.Add(time.Duration(seconds * float64(time.Second)))
}

// banned returns the bans in force, each as its parts joined by "+".
func banned(i *isolator.Isolator, now time.Time) (bans []string) {
	for _, b := range i.Bans(now) {
		bans = append(bans, strings.Join(b.Parts, "+"))
	}
	return bans
}

func TestDecide(t *testing.T) {
	// crash is a crash of an engine under some calls, begin an answer that began.
	type crash struct {
		at       float64
		upstream string
		parts    []string
	}
	type begin struct {
		at    float64
		parts []string
	}
	parts := func(names ...string) []string { return names }
	tests := []struct {
		name    string
		begins  []begin
		crashes []crash
		at      float64
		want    []string
	}{
		{"the only part in common", nil, []crash{{1, "a", parts("f1", "bad")}, {2, "b", parts("f2", "bad")}, {3, "c", parts("f3", "bad")}}, 4, parts("bad")},
		{"too few crashes", nil, []crash{{1, "a", parts("f", "bad")}, {2, "b", parts("f", "bad")}}, 4, nil},
		{"the last crash is too recent", nil, []crash{{1, "a", parts("bad")}, {2, "b", parts("bad")}, {3, "c", parts("bad")}}, 3.1, nil},
		{"a part that began once", []begin{{0.5, parts("first", "x")}}, []crash{{1, "a", parts("first", "bad")}, {2, "b", parts("first", "bad")}, {3, "c", parts("first", "bad")}}, 4, parts("bad")},
		{"two parts that the evidence cannot tell apart", nil, []crash{{1, "a", parts("first", "bad")}, {2, "b", parts("first", "bad")}, {3, "c", parts("first", "bad")}}, 4, parts("bad+first")},
		{"a part that began between the crashes", []begin{{2.5, parts("first", "y")}}, []crash{{1, "a", parts("first", "x")}, {2, "b", parts("first", "y")}, {3, "c", parts("first", "z")}}, 4, nil},
		{"crashes at once under a part that began before", []begin{{0.5, parts("f")}}, []crash{{1, "a", parts("f")}, {1.01, "b", parts("f")}, {1.02, "c", parts("f")}, {1.03, "d", parts("f")}, {1.04, "e", parts("f")}}, 4, nil},
		{"crashes at once, most under one part", nil, []crash{
			{1, "a", parts("f")}, {1.01, "b", parts("f")}, {1.02, "c", parts("f")}, {1.03, "d", parts("f")}, {1.04, "e", parts("f")}, {1.05, "f", parts("f")}, {1.06, "g", nil},
		}, 4, nil},
		{"crashes at once, all under one part", nil, []crash{{1, "a", parts("f")}, {1.01, "b", parts("f")}, {1.02, "c", parts("f")}, {1.03, "d", parts("f")}, {1.04, "e", parts("f")}}, 4, parts("f")},
		{"four crashes at once", nil, []crash{{1, "a", parts("f")}, {1.01, "b", parts("f")}, {1.02, "c", parts("f")}, {1.03, "d", parts("f")}}, 4, nil},
		{"crashes soon after each other", nil, []crash{{1, "a", parts("f")}, {1.1, "b", parts("f")}, {1.2, "c", parts("f")}, {1.3, "d", parts("f")}, {1.4, "e", parts("f")}}, 4, parts("f")},
		{"few among many crashes", nil, []crash{
			{1, "a", parts("f")}, {1.2, "b", parts("g")}, {1.4, "c", parts("h")}, {1.6, "d", parts("f")}, {1.8, "e", parts("g")}, {2, "f", parts("h")}, {2.2, "g", parts("f")},
		}, 4, nil},
		{"few among crashes without suspects", nil, []crash{{1, "a", parts("f")}, {1.2, "b", nil}, {1.4, "c", nil}, {1.6, "d", parts("f")}, {1.8, "e", nil}, {2, "f", nil}, {2.2, "g", parts("f")}}, 4, nil},
		{"five among many crashes", nil, []crash{
			{1, "a", parts("f")}, {1.2, "b", parts("g")}, {1.3, "c", parts("h")}, {1.5, "d", parts("f")}, {1.7, "e", parts("k")}, {1.8, "f", parts("h")},
			{2, "g", parts("f")}, {2.1, "h", parts("l")}, {2.2, "i", parts("m")}, {2.4, "j", parts("f")}, {2.6, "k", parts("n")}, {2.8, "l", parts("f")},
		}, 4, parts("f")},
		{"two bad parts by turns, and a first part that began", []begin{{0.5, parts("first", "x")}}, []crash{{1, "a", parts("first", "bad")}, {2, "b", parts("first", "worse")}, {3, "c", parts("first", "bad")}}, 4, nil},
		{"one engine that crashes again and again", nil, []crash{{1, "a", parts("f")}, {2, "a", parts("f")}, {3, "a", parts("f")}}, 4, nil},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			i := isolator.New(isolator.Config{})
			for _, b := range tt.begins {
				i.RecordBegin(at(b.at), b.parts)
			}
			for _, c := range tt.crashes {
				i.RecordCrash(at(c.at), at(c.at), c.upstream, c.parts)
			}
			i.Decide(at(tt.at))
			if have := banned(i, at(tt.at)); !slices.Equal(have, tt.want) {
				t.Errorf("have %v banned, want %v", have, tt.want)
			}
		})
	}
}

func TestIsLikelyBad(t *testing.T) {
	i := isolator.New(isolator.Config{})
	i.RecordBegin(at(0.5), []string{"sound"})
	for n, want := range []bool{false, true} {
		crashUnder(i, []string{"sound", "bad"}, float64(n+1))
		if have := i.IsLikelyBad([]string{"sound", "bad"}); have != want {
			t.Errorf("after %d crashes: have %t, want %t", n+1, have, want)
		}
	}
	if i.IsLikelyBad([]string{"sound", "other"}) {
		t.Error("a call that shares the sound part alone is likely bad")
	}
}

// crashUnder records a crash of a new engine under a call with these parts for each time.
func crashUnder(i *isolator.Isolator, parts []string, seconds ...float64) {
	for _, s := range seconds {
		i.RecordCrash(at(s), at(s), fmt.Sprintf("engine@%v", s), parts)
	}
}

// TestBanIsRefined has a ban of two parts that the evidence could not tell apart. Sound calls with one of
// them go on and clear it; bad calls without it isolate the other.
func TestBanIsRefined(t *testing.T) {
	t.Run("by a sound call", func(t *testing.T) {
		i := isolator.New(isolator.Config{})
		crashUnder(i, []string{"first", "bad"}, 1, 2, 3)
		i.Decide(at(4))
		if i.BanRemaining(at(4), []string{"first", "other"}) != 0 {
			t.Error("a call with one of the two parts is banned")
		}
		i.RecordBegin(at(5), []string{"first", "other"})
		if have, want := banned(i, at(6)), []string{"bad"}; !slices.Equal(have, want) {
			t.Errorf("have %v banned, want %v", have, want)
		}
	})
	t.Run("by bad calls", func(t *testing.T) {
		i := isolator.New(isolator.Config{})
		crashUnder(i, []string{"first", "bad"}, 1, 2, 3)
		i.Decide(at(4))
		crashUnder(i, []string{"second", "bad"}, 5)
		crashUnder(i, []string{"third", "bad"}, 6)
		i.Decide(at(7))
		if have, want := banned(i, at(7)), []string{"bad"}; !slices.Equal(have, want) {
			t.Errorf("have %v banned, want %v", have, want)
		}
	})
	t.Run("not by one crash of another cause", func(t *testing.T) {
		i := isolator.New(isolator.Config{})
		crashUnder(i, []string{"first", "bad"}, 1, 2, 3)
		i.Decide(at(4))
		crashUnder(i, []string{"first", "other"}, 5)
		i.Decide(at(6))
		if have, want := banned(i, at(6)), []string{"bad+first"}; !slices.Equal(have, want) {
			t.Errorf("have %v banned, want %v", have, want)
		}
	})
}

// TestTwoBadParts has a second part crash engines after the first was banned.
func TestTwoBadParts(t *testing.T) {
	i := isolator.New(isolator.Config{})
	i.RecordBegin(at(0), []string{"first"})
	crashUnder(i, []string{"first", "bad"}, 1, 2, 3)
	i.Decide(at(4))
	crashUnder(i, []string{"first", "worse"}, 5, 6, 7)
	i.Decide(at(8))
	if have, want := banned(i, at(8)), []string{"bad", "worse"}; !slices.Equal(have, want) {
		t.Errorf("have %v banned, want %v", have, want)
	}
}

// TestExplainedCrash has sound suspects of crashes reported after a ban has explained these.
func TestExplainedCrash(t *testing.T) {
	i := isolator.New(isolator.Config{})
	crashUnder(i, []string{"bad"}, 1, 2, 3)
	i.Decide(at(3.4))
	for _, s := range []float64{1, 2, 3} {
		i.Merge(at(3.5), isolator.Evidence{Crashes: []isolator.Crash{{Upstream: fmt.Sprintf("engine@%v", s), Age: at(3.5).Sub(at(s)), Parts: []string{"first"}}}})
	}
	i.Decide(at(4))
	if have, want := banned(i, at(4)), []string{"bad"}; !slices.Equal(have, want) {
		t.Errorf("have %v banned, want %v", have, want)
	}
}

// TestBeginBeforeNews has a part begin at one entry before that entry hears of the crashes.
func TestBeginBeforeNews(t *testing.T) {
	decider, serving := isolator.New(isolator.Config{}), isolator.New(isolator.Config{})
	for n, s := range []float64{1, 1.3, 1.6} {
		news := isolator.Evidence{Crashes: []isolator.Crash{{Upstream: fmt.Sprint(n), Age: 400 * time.Millisecond, Parts: []string{"first"}}}}
		serving.RecordBegin(at(s+0.2), []string{"first"})
		decider.Merge(at(s+0.4), news)
		serving.Merge(at(s+0.4), news)
		decider.Merge(at(s+0.5), serving.TakeUnsent(at(s+0.5)))
		decider.Decide(at(s + 0.5))
	}
	decider.Decide(at(3))
	if have := banned(decider, at(3)); len(have) != 0 {
		t.Errorf("have %v banned, which began 0.2 s after each crash", have)
	}
}

// TestManyCrashes has more crashes than are remembered: the newest must count.
func TestManyCrashes(t *testing.T) {
	i := isolator.New(isolator.Config{})
	for n := range 1200 {
		crashUnder(i, []string{fmt.Sprint("part-", n)}, float64(n)/10)
	}
	crashUnder(i, []string{"bad"}, 201, 202, 203)
	i.Decide(at(204))
	if have, want := banned(i, at(204)), []string{"bad"}; !slices.Equal(have, want) {
		t.Errorf("have %v banned, want %v", have, want)
	}
}

func TestBanEnds(t *testing.T) {
	i := isolator.New(isolator.Config{BanTime: time.Minute})
	crashUnder(i, []string{"bad"}, 1, 2, 3)
	i.Decide(at(4))
	if have := i.BanRemaining(at(34), []string{"x", "bad"}); have != 30*time.Second {
		t.Errorf("ban remains for %s, want 30 s", have)
	}
	// A call that was sent before the ban crashes another engine.
	crashUnder(i, []string{"bad"}, 24)
	if have := i.BanRemaining(at(34), []string{"bad"}); have != 50*time.Second {
		t.Errorf("after another crash the ban remains for %s, want 50 s", have)
	}
	i.RecordBegin(at(35), []string{"bad"})
	if have := i.BanRemaining(at(35), []string{"bad"}); have != 0 {
		t.Errorf("ban of a part that is sound remains for %s", have)
	}
}

// TestEntriesShareEvidence has two entries see a part of the crashes each, and a third one that decides.
func TestEntriesShareEvidence(t *testing.T) {
	a, b, decider := isolator.New(isolator.Config{}), isolator.New(isolator.Config{}), isolator.New(isolator.Config{})
	crashUnder(a, []string{"first", "bad"}, 1, 3)
	crashUnder(b, []string{"first", "bad"}, 2)
	// At the same crash the other entry had a sound call.
	crashUnder(b, []string{"first", "sound"}, 3)
	b.Merge(at(3.1), a.TakeUnsent(at(3.1)))
	b.RecordBegin(at(3.2), []string{"first", "sound"})
	for _, i := range []*isolator.Isolator{a, b} {
		decider.Merge(at(3.2), isolator.Evidence{Crashes: i.TakeUnsent(at(3.2)).Crashes})
	}
	crashUnder(a, []string{"first", "bad"}, 1, 3)
	decider.Merge(at(3.3), a.TakeUnsent(at(3.3)))
	if bans := decider.Decide(at(4)); len(bans) != 1 || !slices.Equal(bans[0].Parts, []string{"bad"}) {
		t.Fatalf("bans %v, want one of bad", bans)
	}
	verdict := decider.TakeUnsent(at(4))
	if len(verdict.Crashes)+len(verdict.Proofs) != 0 || len(verdict.Bans) != 1 {
		t.Errorf("the deciding entry sends %+v, want the ban alone", verdict)
	}
	if again := decider.TakeUnsent(at(4)); len(again.Bans) != 0 {
		t.Errorf("the deciding entry sends %+v twice", again)
	}
	for _, i := range []*isolator.Isolator{a, b} {
		if news := i.Merge(at(4.1), verdict); len(news) != 1 || i.BanRemaining(at(4.1), []string{"bad"}) == 0 {
			t.Errorf("%v new at an entry, want the ban", news)
		}
	}
}

// TestLostMessage has the first message about each crash lost.
func TestLostMessage(t *testing.T) {
	entry, decider := isolator.New(isolator.Config{}), isolator.New(isolator.Config{})
	for _, s := range []float64{1, 2, 3} {
		crashUnder(entry, []string{"bad"}, s)
		entry.TakeUnsent(at(s))
		decider.Merge(at(s+0.1), entry.TakeUnsent(at(s+0.1)))
	}
	if decider.Decide(at(4)); len(banned(decider, at(4))) != 1 {
		t.Errorf("have %v banned, want the part", banned(decider, at(4)))
	}
	for range 3 {
		entry.TakeUnsent(at(4))
	}
	if e := entry.TakeUnsent(at(4)); len(e.Crashes) != 0 {
		t.Errorf("%d crashes are told without end", len(e.Crashes))
	}
}

// TestProofEndsBan has an entry know better than the one that decided.
func TestProofEndsBan(t *testing.T) {
	decider, entry := isolator.New(isolator.Config{}), isolator.New(isolator.Config{})
	crashUnder(decider, []string{"part"}, 1, 2, 3)
	decider.Decide(at(4))
	entry.RecordBegin(at(3.5), []string{"part"})
	entry.Merge(at(4), decider.TakeUnsent(at(4)))
	if entry.BanRemaining(at(4), []string{"part"}) != 0 {
		t.Error("an entry that has proved the part sound accepts the ban")
	}
	decider.Merge(at(4.2), entry.TakeUnsent(at(4.2)))
	if decider.BanRemaining(at(4.2), []string{"part"}) != 0 {
		t.Error("the ban outlasts the proof")
	}
}

func TestWire(t *testing.T) {
	i := isolator.New(isolator.Config{})
	crashUnder(i, []string{"first", "bad"}, 1, 2, 3)
	i.Decide(at(4))
	crashUnder(i, []string{"other"}, 4)
	i.RecordBegin(at(4.5), []string{"bad"})
	e := i.TakeUnsent(at(5))
	other := isolator.New(isolator.Config{})
	other.Merge(at(5), isolator.FromWire(isolator.ToWire(e)))
	if !other.IsSuspect("other") || len(e.Proofs) != 1 || e.Proofs[0].Part != "bad" {
		t.Errorf("the other entry does not know of the crash, or the proof is missing: %+v", e)
	}
}

// TestBansAreNotRenewed has two entries tell each other a ban again and again, by messages that take
// some time.
func TestBansAreNotRenewed(t *testing.T) {
	const delay = 300 * time.Millisecond
	a, b := isolator.New(isolator.Config{BanTime: time.Minute}), isolator.New(isolator.Config{BanTime: time.Minute})
	crashUnder(a, []string{"bad"}, 1, 2, 3)
	a.Decide(at(4))
	for now := at(4); now.Before(at(120)); now = now.Add(time.Second) {
		toB, toA := isolator.Evidence{Bans: a.Bans(now)}, isolator.Evidence{Bans: b.Bans(now)}
		b.Merge(now.Add(delay), toB)
		a.Merge(now.Add(delay), toA)
	}
	if have := max(a.BanRemaining(at(66), []string{"bad"}), b.BanRemaining(at(66), []string{"bad"})); have > 0 {
		t.Errorf("2 s after its end the ban remains for %s", have)
	}
}
