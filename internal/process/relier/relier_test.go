package relier_test

import (
	"flag"
	"net/netip"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/foxtailwharf/foxtailwharf/internal/process/relier"
)

func init() {
	// A fixed seed gives the same verdict on every run; -rapid.seed overrides it.
	_ = flag.Set("rapid.seed", "1")
}

func entry(n int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(n + 1)}), 7700)
}

// domain returns the reliers of a failure domain in which all know each other.
func domain(count int) []*relier.Relier {
	var all []*relier.Relier
	for n := range count {
		r := relier.New(relier.Config{Self: entry(n)})
		var others []netip.AddrPort
		for m := range count {
			if m != n {
				others = append(others, entry(m))
			}
		}
		r.SetEntries(others)
		all = append(all, r)
	}
	return all
}

// TestOneAsks checks that of any number of entries one asks the store, and the others rely on
// that one.
func TestOneAsks(t *testing.T) {
	now := time.Unix(100, 0)
	for _, count := range []int{1, 2, 15, 57} {
		asking := 0
		sources := make(map[netip.AddrPort]bool)
		for n, r := range domain(count) {
			source, isRelying := r.Source(now)
			if !isRelying {
				asking++
				source = entry(n)
			}
			sources[source] = true
		}
		if asking != 1 || len(sources) != 1 {
			t.Errorf("%d of %d entries ask the store, and %d are relied on; want one", asking, count, len(sources))
		}
	}
}

func TestWords(t *testing.T) {
	good := relier.Word{HasProof: true, Age: time.Second}
	tests := []struct {
		name  string
		word  relier.Word
		after time.Duration
		want  bool
	}{
		{"good", good, 100 * time.Millisecond, true},
		{"past its life", good, 2 * time.Second, false},
		{"without a proof", relier.Word{}, 0, false},
		{"an old proof", relier.Word{HasProof: true, Age: 4 * time.Second}, 0, false},
		{"relying itself", relier.Word{HasProof: true, IsRelying: true}, 0, false},
		{"without the store", relier.Word{HasProof: true, IsLost: true}, 0, false},
		{"new, and this entry is not", relier.Word{IsNew: true}, 0, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			now := time.Unix(100, 0)
			r := relying(t)
			source, _ := r.Source(now)
			r.Heard(now, source, tt.word)
			if have := r.IsRelieved(now.Add(tt.after)); have != tt.want {
				t.Errorf("have %t, want %t", have, tt.want)
			}
		})
	}
}

// relying returns an entry that relies on another.
func relying(t *testing.T) *relier.Relier {
	for _, r := range domain(2) {
		if _, isRelying := r.Source(time.Unix(100, 0)); isRelying {
			return r
		}
	}
	t.Fatal("none of two entries relies on the other")
	return nil
}

// TestStartTogether starts two entries at the same time: one reads the store, the other waits
// for its word, and not for longer than it takes to read.
func TestStartTogether(t *testing.T) {
	start := time.Unix(100, 0)
	r := relier.New(relier.Config{Self: entry(0), Started: start})
	other := entry(1)
	r.SetEntries([]netip.AddrPort{other})
	if _, isRelying := r.Source(start); !isRelying {
		other = entry(0)
		r = relier.New(relier.Config{Self: entry(1), Started: start})
		r.SetEntries([]netip.AddrPort{other})
	}
	now := start.Add(100 * time.Millisecond)
	r.Heard(now, other, relier.Word{IsNew: true})
	if !r.IsRelieved(now) {
		t.Error("both read the store at their start, want one")
	}
	if now = start.Add(2 * time.Second); r.IsRelieved(now) {
		t.Error("the other entry has nothing after 2 s, and this one does not read the store")
	}
	r = relier.New(relier.Config{Self: r.Self(), Started: start})
	r.SetEntries([]netip.AddrPort{other})
	r.Failed(start.Add(100*time.Millisecond), other)
	if r.IsRelieved(start.Add(100 * time.Millisecond)) {
		t.Error("the other entry does not answer, and this one does not read the store")
	}
}

// TestNeverLeftAlone plays good words, failures and silence in any order: an entry is
// relieved only while a good word is younger than the time in which a change must be found.
func TestNeverLeftAlone(t *testing.T) {
	const limit = 1500 * time.Millisecond
	rapid.Check(t, func(t *rapid.T) {
		now := time.Unix(100, 0)
		all := domain(4)
		r := all[rapid.IntRange(0, 3).Draw(t, "entry")]
		var good time.Time
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 900).Draw(t, "ms")) * time.Millisecond)
			source, isRelying := r.Source(now)
			switch event := rapid.IntRange(0, 3).Draw(t, "event"); {
			case !isRelying:
			case event == 0:
				r.Failed(now, source)
				good = time.Time{}
			case event == 1 && r.Heard(now, source, relier.Word{HasProof: true, Age: time.Duration(rapid.IntRange(0, 5000).Draw(t, "age")) * time.Millisecond}):
				good = now
			}
			if r.IsRelieved(now) && (good.IsZero() || now.Sub(good) > limit) {
				t.Fatalf("relieved %s after the last good word", now.Sub(good))
			}
		}
	})
}
