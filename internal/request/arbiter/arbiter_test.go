package arbiter_test

import (
	"sync"
	"sync/atomic"
	"testing"

	"pgregory.net/rapid"

	"github.com/foxtailwharf/foxtailwharf/internal/request/arbiter"
)

// TestSteps compares the arbiter with a model of it.
func TestSteps(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var a arbiter.Arbiter
		heard, isGivenUp := int64(0), false
		t.Repeat(map[string]func(*rapid.T){
			"hear": func(t *rapid.T) {
				if a.Hear() == isGivenUp {
					t.Errorf("Hear returns %t after it was given up: %t", !isGivenUp, isGivenUp)
				}
				if !isGivenUp {
					heard++
				}
			},
			"drop": func(*rapid.T) {
				a.Drop()
				if !isGivenUp {
					heard = max(heard-1, 0)
				}
			},
			"give up": func(t *rapid.T) {
				seen := heard - rapid.Int64Range(0, 2).Draw(t, "missed")
				want := !isGivenUp && seen == heard
				if seen < 0 {
					return
				}
				if have := a.GiveUp(seen); have != want {
					t.Errorf("GiveUp(%d) of %d parts returns %t, want %t", seen, heard, have, want)
				}
				isGivenUp = isGivenUp || want
			},
			"": func(t *rapid.T) {
				if a.Parts() != heard || a.HasBegun() != (heard > 0) {
					t.Errorf("have %d parts, begun: %t, want %d", a.Parts(), a.HasBegun(), heard)
				}
			},
		})
	})
}

// TestOneDecision guards against an answer that both begins and is given up.
func TestOneDecision(t *testing.T) {
	for range 2000 {
		var a arbiter.Arbiter
		var decisions atomic.Int32
		var deciders sync.WaitGroup
		for _, decide := range []func() bool{a.Hear, func() bool { return a.GiveUp(0) }, func() bool { return a.GiveUp(0) }} {
			deciders.Go(func() {
				if decide() {
					decisions.Add(1)
				}
			})
		}
		deciders.Wait()
		if n := decisions.Load(); n != 1 {
			t.Fatalf("%d decisions, want one", n)
		}
	}
}
