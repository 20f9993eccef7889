// Package granter gives out an engine's places. Entries send it calls at once while its agent's
// reports show a free place; calls that find none are announced to the agents of a few engines,
// and whichever has a place first grants it to the most urgent call that it knows of. So the
// order holds across entries, and they do not all send to the same free place. It answers
// overload: more calls than places for longer than callers like to wait. It does no I/O and
// holds no clock.
package granter

import (
	"net/netip"
	"time"

	"github.com/foxtailwharf/foxtailwharf/internal/request/estimator"
	"github.com/foxtailwharf/foxtailwharf/internal/request/queuer"
)

// Constants of granting.
const (
	// wantLife is how long an announced call is remembered: entries announce it again sooner.
	wantLife = 450 * time.Millisecond
	// grantLife is how long a granted place is kept: the way to another region and back, and
	// the delays of busy processes.
	grantLife = 40 * time.Millisecond
	// maxWants bounds the announced calls: more wait in vain anyway.
	maxWants = 512
)

// Call names a call at an entry.
type Call struct {
	Entry  netip.AddrPort
	Number uint64
}

// Want is a call that waits.
type Want struct {
	Call    Call
	Rank    queuer.Rank
	Arrived time.Time
	OnTime  time.Time // the latest start with which it is on time
	// Room is how many calls more than its slots, or less, the engine may hold for it, and
	// MaxReading how long the engine may still read other prompts; 0 for any time.
	Room       int
	MaxReading time.Duration
}

// Granter gives out the places of one engine.
type Granter struct {
	slots  int
	isOpen bool
	pace   float64 // prompt tokens a second; 0 while it is not known
	looked int     // calls at the last look
	placed int     // since then
	ended  int
	prompt estimator.Estimator

	order  *queuer.Queuer
	wants  map[uint64]*want // by the number in the order
	byCall map[Call]uint64
	last   uint64
	grants map[Call]time.Time // until when their places are kept
}

// want is a Want with its end.
type want struct {
	Want
	until time.Time
}

// New returns a granter of an engine that takes no calls yet.
func New() *Granter {
	return &Granter{order: queuer.New(), wants: make(map[uint64]*want), byCall: make(map[Call]uint64), grants: make(map[Call]time.Time)}
}

// SetEngine tells how many calls the engine runs at a time, and how many prompt tokens a second
// it reads.
func (g *Granter) SetEngine(now time.Time, slots int, pace float64) {
	g.slots, g.pace = slots, pace
	g.prompt.SetPace(now, pace)
}

// SetOpen tells whether the engine takes calls.
func (g *Granter) SetOpen(isOpen bool) {
	g.isOpen = isOpen
}

// Look takes in how many calls the engine says it has.
func (g *Granter) Look(now time.Time, calls int) {
	g.looked, g.placed, g.ended = calls, 0, 0
	g.prompt.Look(now, calls)
}

// Placed notes a call that an entry sends.
func (g *Granter) Placed(now time.Time, call Call, tokens int) {
	g.placed++
	g.prompt.Place(now, tokens)
	g.forget(call)
}

// Ended notes the end of a call.
func (g *Granter) Ended() {
	g.ended++
}

// Declined notes that an entry does not need a place any more.
func (g *Granter) Declined(call Call) {
	g.forget(call)
}

// forget drops a call and the place that is kept for it.
func (g *Granter) forget(call Call) {
	delete(g.grants, call)
	if number, isKnown := g.byCall[call]; isKnown {
		g.remove(number)
	}
}

func (g *Granter) remove(number uint64) {
	w, isKnown := g.wants[number]
	if !isKnown {
		return
	}
	g.order.Remove(number)
	delete(g.wants, number)
	delete(g.byCall, w.Call)
}

// Announce notes a call that waits.
func (g *Granter) Announce(now time.Time, w Want) {
	if number, isKnown := g.byCall[w.Call]; isKnown {
		g.remove(number)
	} else if len(g.wants) >= maxWants {
		return
	}
	g.last++
	g.wants[g.last] = &want{Want: w, until: now.Add(wantLife)}
	g.byCall[w.Call] = g.last
	g.order.Add(queuer.Item{ID: g.last, Rank: w.Rank, Arrived: w.Arrived, OnTime: w.OnTime})
}

// Calls estimates the calls at the engine.
func (g *Granter) Calls() int {
	return max(g.looked+g.placed-g.ended, 0)
}

// Reading estimates the prompt tokens that the engine has still to read.
func (g *Granter) Reading(now time.Time) float64 {
	return g.prompt.Tokens(now)
}

// Waiting returns the number of calls that wait and are not granted a place.
func (g *Granter) Waiting() int {
	return len(g.wants)
}

// Next returns the call to grant a place to, or false. The place is kept for it for a moment.
func (g *Granter) Next(now time.Time) (Call, bool) {
	g.expire(now)
	if !g.isOpen || g.slots == 0 {
		return Call{}, false
	}
	taken := g.Calls() + len(g.grants)
	reading := time.Duration(0)
	if g.pace > 0 {
		reading = time.Duration(g.Reading(now) / g.pace * float64(time.Second))
	}
	item := g.order.Next(now, func(i *queuer.Item) bool {
		w := g.wants[i.ID]
		return taken < g.slots+w.Room && (w.MaxReading == 0 || reading <= w.MaxReading)
	})
	if item == nil {
		return Call{}, false
	}
	call := g.wants[item.ID].Call
	g.remove(item.ID)
	g.grants[call] = now.Add(grantLife)
	return call, true
}

// expire drops what has ended by time.
func (g *Granter) expire(now time.Time) {
	for number, w := range g.wants {
		if !w.until.After(now) {
			g.remove(number)
		}
	}
	for call, until := range g.grants {
		if !until.After(now) {
			delete(g.grants, call)
		}
	}
}
