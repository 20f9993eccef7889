package granter_test

import (
	"flag"
	"net/netip"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/foxtailwharf/foxtailwharf/internal/request/granter"
	"github.com/foxtailwharf/foxtailwharf/internal/request/queuer"
)

func init() {
	// A fixed seed gives the same verdict on every run; -rapid.seed overrides it.
	_ = flag.Set("rapid.seed", "1")
}

var start = time.Unix(1000, 0)

func call(entry int, number uint64) granter.Call {
	return granter.Call{Entry: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(entry)}), 1), Number: number}
}

func want(entry int, number uint64, route int) granter.Want {
	return granter.Want{Call: call(entry, number), Rank: queuer.Rank{Route: route}, Arrived: start, OnTime: start.Add(time.Minute)}
}

func newGranter(slots int) *granter.Granter {
	g := granter.New()
	g.SetEngine(start, slots, 10_000)
	g.SetOpen(true)
	return g
}

// TestOrderAcrossEntries checks that the most urgent call gets the place, whichever entry it
// waits at.
func TestOrderAcrossEntries(t *testing.T) {
	g := newGranter(2)
	g.Announce(start, want(1, 1, 2))
	g.Announce(start, want(2, 1, 1))
	g.Announce(start, want(3, 1, 0))
	for _, entry := range []int{3, 2} {
		have, isFound := g.Next(start)
		if !isFound || have != call(entry, 1) {
			t.Errorf("have %v, %t, want the call of entry %d", have, isFound, entry)
		}
	}
	if have, isFound := g.Next(start); isFound {
		t.Errorf("%v gets a third of two places", have)
	}
}

// TestPlaces plays what becomes of a place that was granted.
func TestPlaces(t *testing.T) {
	tests := []struct {
		name  string
		play  func(g *granter.Granter)
		after time.Duration
		want  bool // the second call gets a place
	}{
		{"kept", func(*granter.Granter) {}, 10 * time.Millisecond, false},
		{"taken", func(g *granter.Granter) { g.Placed(start, call(1, 1), 100) }, 100 * time.Millisecond, false},
		{"taken and free again", func(g *granter.Granter) {
			g.Placed(start, call(1, 1), 100)
			g.Ended()
		}, 100 * time.Millisecond, true},
		{"declined", func(g *granter.Granter) { g.Declined(call(1, 1)) }, 0, true},
		{"not used", func(*granter.Granter) {}, 100 * time.Millisecond, true},
		{"the engine is full", func(g *granter.Granter) { g.Look(start, 1) }, 100 * time.Millisecond, false},
		{"the engine takes nothing", func(g *granter.Granter) {
			g.Declined(call(1, 1))
			g.SetOpen(false)
		}, 0, false},
		{"too long ago", func(g *granter.Granter) { g.Declined(call(1, 1)) }, time.Second, false},
		{"no longer wanted", func(g *granter.Granter) {
			g.Declined(call(1, 1))
			g.Declined(call(2, 1))
		}, 0, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			g := newGranter(1)
			g.Announce(start, want(1, 1, 0))
			if _, isFound := g.Next(start); !isFound {
				t.Fatal("the first call gets no place")
			}
			g.Announce(start, want(2, 1, 0))
			tt.play(g)
			if _, isFound := g.Next(start.Add(tt.after)); isFound != tt.want {
				t.Errorf("have %t, want %t", isFound, tt.want)
			}
		})
	}
}

// TestReading checks that the less urgent wait while an engine reads long prompts.
func TestReading(t *testing.T) {
	g := newGranter(8)
	g.Placed(start, call(9, 9), 2000) // 0.2 s
	less := want(1, 1, 2)
	less.MaxReading = 50 * time.Millisecond
	g.Announce(start, less)
	if _, isFound := g.Next(start); isFound {
		t.Error("a less urgent call is granted a place before 0.2 s of reading")
	}
	if _, isFound := g.Next(start.Add(180 * time.Millisecond)); !isFound {
		t.Error("it is granted none when little is left to read")
	}
}

// TestNeverMoreThanPlaces plays entries that announce, place, decline and forget in any order:
// calls at the engine and places kept never exceed the slots by what the granter gives.
func TestNeverMoreThanPlaces(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const slots = 3
		g, now := newGranter(slots), start
		granted := make(map[granter.Call]time.Time)
		running := 0
		for number := range uint64(rapid.IntRange(1, 60).Draw(t, "steps")) {
			now = now.Add(time.Duration(rapid.IntRange(0, 30).Draw(t, "ms")) * time.Millisecond)
			entry := rapid.IntRange(1, 4).Draw(t, "entry")
			switch rapid.IntRange(0, 4).Draw(t, "event") {
			case 0, 1:
				g.Announce(now, want(entry, number, rapid.IntRange(0, 2).Draw(t, "route")))
			case 2:
				for one, at := range granted {
					if now.Sub(at) < 30*time.Millisecond {
						g.Placed(now, one, 10)
						running++
					}
					delete(granted, one)
					break
				}
			case 3:
				if running > 0 {
					g.Ended()
					running--
				}
			case 4:
				g.Look(now, running)
			}
			for one, isFound := g.Next(now); isFound; one, isFound = g.Next(now) {
				granted[one] = now
			}
			open := 0
			for _, at := range granted {
				if now.Sub(at) < 30*time.Millisecond {
					open++
				}
			}
			if running+open > slots {
				t.Fatalf("%d calls and %d granted places for %d slots", running, open, slots)
			}
		}
	})
}
