package rationer_test

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/foxtailwharf/foxtailwharf/internal/request/rationer"
)

// TestBudget checks that in no window more repeats are allowed than the ratio of the calls
// of that window and the one step before it, and the extra.
func TestBudget(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const ratio, extra, window = 0.2, 3.0, 10 * time.Second
		start := time.Unix(1000, 0)
		r := rationer.New(rationer.Config{Ratio: ratio, Window: window, Extra: extra}, start)
		var firsts, repeats []time.Time
		now := start
		for range rapid.IntRange(1, 300).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 400).Draw(t, "pause")) * time.Millisecond)
			if rapid.Bool().Draw(t, "isFirst") {
				r.First(now, "s")
				firsts = append(firsts, now)
			} else if r.Repeat(now, "s") {
				repeats = append(repeats, now)
			}
		}
		count := func(list []time.Time, until time.Time, length time.Duration) (n float64) {
			for _, at := range list {
				if at.After(until.Add(-length)) && !at.After(until) {
					n++
				}
			}
			return n
		}
		for _, at := range repeats {
			// The rule counts the calls of the window or of the one half a window before.
			have, want := count(repeats, at, window-window/10), count(firsts, at, window+window/2)*ratio+extra
			if have > want {
				t.Fatalf("%v repeats in a window, want %v at the most", have, want)
			}
		}
	})
}

func TestServicesApart(t *testing.T) {
	now := time.Unix(0, 0)
	r := rationer.New(rationer.Config{Ratio: 0, Window: time.Second, Extra: 1}, now)
	if !r.Repeat(now, "a") || r.Repeat(now, "a") {
		t.Error("one repeat of a service should be allowed, and no second")
	}
	if !r.Repeat(now, "b") {
		t.Error("another service has a budget of its own")
	}
	if !r.Repeat(now.Add(2*time.Second), "a") {
		t.Error("the budget should come back with the window")
	}
}
