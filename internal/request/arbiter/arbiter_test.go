package arbiter_test

import (
	"sync"
	"sync/atomic"
	"testing"

	"pgregory.net/rapid"

	"github.com/foxtailwharf/foxtailwharf/internal/request/arbiter"
)

// model is what an arbiter should hold.
type model struct {
	arbiter   arbiter.Arbiter
	parts     int64
	isGivenUp bool
}

func (m *model) hear(t *rapid.T) {
	if m.arbiter.Hear() == m.isGivenUp {
		t.Errorf("Hear returns %t after it was given up: %t", !m.isGivenUp, m.isGivenUp)
	}
	if !m.isGivenUp {
		m.parts++
	}
}

func (m *model) drop(*rapid.T) {
	m.arbiter.Drop()
	if !m.isGivenUp {
		m.parts = max(m.parts-1, 0)
	}
}

func (m *model) giveUp(t *rapid.T) {
	seen := max(m.parts-rapid.Int64Range(0, 2).Draw(t, "missed"), 0)
	want := !m.isGivenUp && seen == m.parts
	if have := m.arbiter.GiveUp(seen); have != want {
		t.Errorf("GiveUp(%d) of %d parts returns %t, want %t", seen, m.parts, have, want)
	}
	m.isGivenUp = m.isGivenUp || want
}

func (m *model) check(t *rapid.T) {
	if m.arbiter.Parts() != m.parts || m.arbiter.HasBegun() != (m.parts > 0) {
		t.Errorf("have %d parts, begun: %t, want %d", m.arbiter.Parts(), m.arbiter.HasBegun(), m.parts)
	}
}

// TestSteps compares the arbiter with a model of it.
func TestSteps(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := &model{}
		t.Repeat(map[string]func(*rapid.T){"hear": m.hear, "drop": m.drop, "give up": m.giveUp, "": m.check})
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
