package delegator_test

import (
	"flag"
	"net/netip"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/foxtailwharf/foxtailwharf/internal/process/delegator"
)

func init() {
	// A fixed seed makes runs reproducible; -rapid.seed overrides it.
	_ = flag.Set("rapid.seed", "1")
}

func entry(n int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(n + 1)}), 7700)
}

// domain returns the delegators of a failure domain whose entries all know each other.
func domain(count int) []*delegator.Delegator {
	var all []*delegator.Delegator
	for n := range count {
		r := delegator.New(delegator.Config{Self: entry(n)})
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

// TestOneReads checks that exactly one of any number of entries reads the store and that all
// others rely on that one.
func TestOneReads(t *testing.T) {
	now := time.Unix(100, 0)
	for _, count := range []int{1, 2, 15, 57} {
		reading := 0
		sources := make(map[netip.AddrPort]bool)
		for n, r := range domain(count) {
			source, isRelying := r.Source(now)
			if !isRelying {
				reading++
				source = entry(n)
			}
			sources[source] = true
		}
		if reading != 1 || len(sources) != 1 {
			t.Errorf("%d of %d entries read the store and %d are sources; want one", reading, count, len(sources))
		}
	}
}

// TestNextReads guards against a store that all entries of a domain read at once after their source
// has lost it: the next in rank reads it, and the others rely on that one. Once several sources in
// a row have failed, each entry reads the store itself.
func TestNextReads(t *testing.T) {
	now := time.Unix(100, 0)
	all := domain(30)
	lost := make(map[netip.AddrPort]bool)
	for _, want := range []int{1, 1, 1, 26} {
		for _, r := range all {
			source, isRelying := r.Source(now)
			if !isRelying {
				source = r.Self()
			}
			lost[source] = true
		}
		reading := 0
		for _, r := range all {
			for source := range lost {
				r.HandleReply(now, source, delegator.Reply{HasProof: true, IsLost: true})
			}
			if _, isRelying := r.Source(now); !isRelying && !lost[r.Self()] {
				reading++
			}
		}
		if reading != want {
			t.Errorf("%d entries read the store after %d sources have lost it, want %d", reading, len(lost), want)
		}
	}
}

// TestSourceRelies checks that a source which does not know yet that it has to read the store is
// asked again soon.
func TestSourceRelies(t *testing.T) {
	now := time.Unix(100, 0)
	r := relying(t)
	source, _ := r.Source(now)
	r.HandleReply(now, source, delegator.Reply{HasProof: true, IsRelying: true})
	if again, isRelying := r.Source(now.Add(500 * time.Millisecond)); !isRelying || again != source {
		t.Error("a source that relied on another entry is not asked again within half a second")
	}
}

func TestHandleReply(t *testing.T) {
	valid := delegator.Reply{HasProof: true, Age: time.Second}
	tests := []struct {
		name  string
		reply delegator.Reply
		after time.Duration
		want  bool
	}{
		{"valid", valid, 100 * time.Millisecond, true},
		{"expired", valid, 2 * time.Second, false},
		{"no proof", delegator.Reply{}, 0, false},
		{"old proof", delegator.Reply{HasProof: true, Age: 4 * time.Second}, 0, false},
		{"relies on another entry", delegator.Reply{HasProof: true, IsRelying: true}, 0, false},
		{"store does not answer the source", delegator.Reply{HasProof: true, IsLost: true}, 0, false},
		{"source has just started, this entry has not", delegator.Reply{IsNew: true}, 0, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			now := time.Unix(100, 0)
			r := relying(t)
			source, _ := r.Source(now)
			r.HandleReply(now, source, tt.reply)
			if have := r.IsDelegated(now.Add(tt.after)); have != tt.want {
				t.Errorf("have %t, want %t", have, tt.want)
			}
		})
	}
}

// relying returns an entry that relies on another one.
func relying(t *testing.T) *delegator.Delegator {
	for _, r := range domain(2) {
		if _, isRelying := r.Source(time.Unix(100, 0)); isRelying {
			return r
		}
	}
	t.Fatal("neither of two entries relies on the other")
	return nil
}

// TestSimultaneousStart checks two entries that start at the same time: one reads the store, and
// the other waits for its reply, but not for longer than a read takes.
func TestSimultaneousStart(t *testing.T) {
	start := time.Unix(100, 0)
	r := delegator.New(delegator.Config{Self: entry(0), Started: start})
	other := entry(1)
	r.SetEntries([]netip.AddrPort{other})
	if _, isRelying := r.Source(start); !isRelying {
		other = entry(0)
		r = delegator.New(delegator.Config{Self: entry(1), Started: start})
		r.SetEntries([]netip.AddrPort{other})
	}
	now := start.Add(100 * time.Millisecond)
	r.HandleReply(now, other, delegator.Reply{IsNew: true})
	if !r.IsDelegated(now) {
		t.Error("both entries read the store at their start, want one")
	}
	if now = start.Add(2 * time.Second); r.IsDelegated(now) {
		t.Error("the source has read nothing after 2 s, and this entry does not read the store")
	}
	r = delegator.New(delegator.Config{Self: r.Self(), Started: start})
	r.SetEntries([]netip.AddrPort{other})
	r.HandleFailure(start.Add(100*time.Millisecond), other)
	if r.IsDelegated(start.Add(100 * time.Millisecond)) {
		t.Error("the source does not answer, and this entry does not read the store")
	}
}

// TestDelegationExpires plays valid replies, failures and silence in random order: an entry skips
// its own reads only while its last valid reply is younger than the time in which a change must
// be found.
func TestDelegationExpires(t *testing.T) {
	const limit = 1500 * time.Millisecond
	rapid.Check(t, func(t *rapid.T) {
		now := time.Unix(100, 0)
		all := domain(4)
		r := all[rapid.IntRange(0, 3).Draw(t, "entry")]
		var valid time.Time
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 900).Draw(t, "ms")) * time.Millisecond)
			source, isRelying := r.Source(now)
			switch event := rapid.IntRange(0, 3).Draw(t, "event"); {
			case !isRelying:
			case event == 0:
				r.HandleFailure(now, source)
				valid = time.Time{}
			case event == 1 && r.HandleReply(now, source, delegator.Reply{HasProof: true, Age: time.Duration(rapid.IntRange(0, 5000).Draw(t, "age")) * time.Millisecond}):
				valid = now
			}
			if r.IsDelegated(now) && (valid.IsZero() || now.Sub(valid) > limit) {
				t.Fatalf("still delegated %s after the last valid reply", now.Sub(valid))
			}
		}
	})
}
