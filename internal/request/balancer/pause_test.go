package balancer_test

import (
	"math"
	"testing"
	"time"

	"github.com/foxtailwharf/foxtailwharf"
	"github.com/foxtailwharf/foxtailwharf/internal/request/balancer"
)

// Bounds of a pause that the tests expect: its end, and the longest spread of the returns after it.
const (
	maxPause  = 5 * time.Minute
	maxSpread = time.Second
)

// pausing returns a refusal that names a time.
func pausing(retryAfter time.Duration) foxtailwharf.Reply {
	return foxtailwharf.Reply{IsNotRun: true, Signals: foxtailwharf.Signals{RetryAfter: retryAfter}}
}

func isPicked(b *balancer.Balancer, now time.Time) bool {
	_, isFound, _ := b.Pick(now, plain)
	return isFound
}

// TestPauseEnd checks from when on an upstream that wants no calls for a time gets some again.
func TestPauseEnd(t *testing.T) {
	one := listed(1, "near", 1)
	restarted := one
	restarted.Born = start.Add(time.Second)
	moved := restarted
	moved.Address = listed(2, "near", 1).Address
	say := func(after, retryAfter time.Duration) func(b *balancer.Balancer) {
		return func(b *balancer.Balancer) { b.HandleReply(start.Add(after), one, start, pausing(retryAfter)) }
	}
	set := func(list ...foxtailwharf.Upstream) func(b *balancer.Balancer) {
		return func(b *balancer.Balancer) { b.Set(list) }
	}
	tests := []struct {
		name    string
		changes []func(b *balancer.Balancer)
		want    time.Duration // end of its pause, without the spread
	}{
		{"none", nil, 0},
		{"two seconds", []func(b *balancer.Balancer){say(0, 2*time.Second)}, 2 * time.Second},
		{"the longest that is believed", []func(b *balancer.Balancer){say(0, maxPause)}, maxPause},
		{"an hour", []func(b *balancer.Balancer){say(0, time.Hour)}, maxPause},
		{"all time", []func(b *balancer.Balancer){say(0, math.MaxInt64)}, maxPause},
		{"a later, longer word", []func(b *balancer.Balancer){say(0, 2*time.Second), say(time.Second, 4*time.Second)}, 5 * time.Second},
		{"a later, shorter word", []func(b *balancer.Balancer){say(0, 4*time.Second), say(time.Second, time.Second)}, 4 * time.Second},
		{"the same end once more", []func(b *balancer.Balancer){say(0, 4*time.Second), say(time.Second, 3*time.Second+50*time.Millisecond)}, 4*time.Second + 50*time.Millisecond},
		{"a success of a call sent before", []func(b *balancer.Balancer){say(0, 2*time.Second), func(b *balancer.Balancer) {
			b.HandleReply(start.Add(time.Second), one, start, silent)
		}}, 2 * time.Second},
		{"another upstream at the address", []func(b *balancer.Balancer){func(b *balancer.Balancer) {
			reply := pausing(2 * time.Second)
			reply.IsMisdirected = true
			b.HandleReply(start, one, start, reply)
		}}, 0},
		{"not listed for a time", []func(b *balancer.Balancer){say(0, 2*time.Second), set(), set(one)}, 2 * time.Second},
		{"a new run", []func(b *balancer.Balancer){say(0, 2*time.Second), set(restarted)}, 0},
		{"an earlier run", []func(b *balancer.Balancer){set(restarted), say(0, 2*time.Second)}, 0},
		{"a new run before it is listed", []func(b *balancer.Balancer){say(1500*time.Millisecond, 2*time.Second), set(restarted)}, 3500 * time.Millisecond},
		{"a new run before its agent reports it", []func(b *balancer.Balancer){say(1500*time.Millisecond, 2*time.Second), func(b *balancer.Balancer) {
			b.Report(start.Add(1600*time.Millisecond), machine(1), foxtailwharf.UpstreamLoad{Weights: 1, Born: restarted.Born, Listeners: 1})
		}}, 3500 * time.Millisecond},
		{"a new run with a word of its own", []func(b *balancer.Balancer){say(1500*time.Millisecond, 4*time.Second), set(restarted), func(b *balancer.Balancer) {
			b.HandleReply(start.Add(2*time.Second), restarted, start.Add(2*time.Second), pausing(time.Second))
		}}, 5500 * time.Millisecond},
		{"the list goes back to an earlier run", []func(b *balancer.Balancer){set(restarted), func(b *balancer.Balancer) {
			b.HandleReply(start.Add(2*time.Second), restarted, start.Add(2*time.Second), pausing(2*time.Second))
		}, set(one)}, 4 * time.Second},
		{"a new run at another address", []func(b *balancer.Balancer){say(1500*time.Millisecond, 2*time.Second), set(moved)}, 0},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			b := newBalancer(one)
			for _, change := range tt.changes {
				change(b)
			}
			if tt.want > 0 && isPicked(b, start.Add(tt.want-time.Millisecond)) {
				t.Errorf("gets a call before %s", tt.want)
			}
			if !isPicked(b, start.Add(tt.want+maxSpread)) {
				t.Errorf("gets no call %s after %s", maxSpread, tt.want)
			}
		})
	}
}

// TestPauseSpread guards against entries that all return to an upstream at one instant.
func TestPauseSpread(t *testing.T) {
	const entries, word = 100, 4 * time.Second
	tenths := make(map[time.Duration]int)
	b := newBalancer()
	for n := range entries {
		one := listed(1, "near", 1)
		one.Born = start.Add(time.Duration(n) * time.Hour)
		b.Set([]foxtailwharf.Upstream{one})
		b.HandleReply(start, one, start, pausing(word))
		after := word
		for !isPicked(b, start.Add(after)) {
			after += 10 * time.Millisecond
		}
		tenths[(after-word)/(100*time.Millisecond)]++
	}
	for tenth, count := range tenths {
		if tenth > 10 || count > entries/4 {
			t.Errorf("%d of %d entries return in tenth %d of a second after the end", count, entries, tenth)
		}
	}
}

// TestReturnIsGradual checks how many calls an upstream gets after a pause by what it has answered.
func TestReturnIsGradual(t *testing.T) {
	one := listed(1, "near", 1)
	one.Slots = 100
	end := start.Add(2 * time.Second).Add(maxSpread)
	tests := []struct {
		name    string
		answers int
		want    int // calls at once
	}{
		{"no answer", 0, 1},
		{"one answer", 1, 2},
		{"two answers", 2, 3},
		{"many answers", 20, 50},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			b := newBalancer(one)
			b.HandleReply(start, one, start, pausing(2*time.Second))
			sent := 0
			for range tt.answers {
				pickID(b, end, plain)
				b.HandleReply(end, one, end, silent)
			}
			for sent < tt.want && pickID(b, end, plain) != "" {
				sent++
			}
			if sent != tt.want || (tt.want < 50 && isPicked(b, end)) {
				t.Errorf("%d calls can be sent at once, more: %t, want %d", sent, isPicked(b, end), tt.want)
			}
			if !isPicked(b, end.Add(300*time.Millisecond)) {
				t.Error("no call can be sent 0.3 s later, want one although none was answered")
			}
			if !isPicked(b, end.Add(time.Minute)) {
				t.Error("no call can be sent a minute later")
			}
		})
	}
}

// TestPauseMeetsOtherStates checks that an upstream that wants no calls gets none in place of those that
// are ejected, at a limit or full, and that these are not left aside on its account.
func TestPauseMeetsOtherStates(t *testing.T) {
	one, two := listed(1, "near", 1), listed(2, "near", 1)
	tests := []struct {
		name   string
		change func(b *balancer.Balancer)
		want   string
	}{
		{"the other is ejected", func(b *balancer.Balancer) { b.Finished(start, "u2", balancer.Stalled) }, "u2"},
		{"the other is full", func(b *balancer.Balancer) { b.Finished(start, "u2", balancer.NotRun) }, ""},
		{"the other has a limit", func(b *balancer.Balancer) { b.HandleReply(start, two, start, naming) }, ""},
		{"the other has a limit and a permit", func(b *balancer.Balancer) {
			b.HandleReply(start, two, start, naming)
			b.HandlePermit(start, two, foxtailwharf.Permit{IsGranted: true})
		}, "u2"},
		{"it has a permit itself", func(b *balancer.Balancer) {
			b.HandleReply(start, one, start, naming)
			b.HandlePermit(start, one, foxtailwharf.Permit{IsGranted: true})
			b.HandleReply(start, two, start, pausing(time.Minute))
		}, ""},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			b := newBalancer(one, two)
			b.HandleReply(start, one, start, pausing(time.Minute))
			tt.change(b)
			if have := pickID(b, start, plain); have != tt.want {
				t.Errorf("the call goes to %q, want %q", have, tt.want)
			}
		})
	}
}
