// Package admitter enforces the agreement's caps at one entry. Each cap is a
// token bucket of which the entry spends a part: the parts of all entries follow
// their demand while they hear from each other, and fall to even parts when they
// do not. It does no I/O and holds no clock.
package admitter

import (
	"maps"
	"slices"
	"time"

	"github.com/foxtailwharf/foxtailwharf"
)

// Constants of the admitter.
const (
	// EvenPart is the part of each cap, 0 to 1, that is split evenly among the entries whatever their demand.
	EvenPart = 0.5
	// demandTime is the time over which demand is averaged.
	demandTime = 3 * time.Second
	// idleTime is how long a flow without demand is remembered.
	idleTime = 5 * time.Minute
)

// Config holds the settings of an Admitter.
type Config struct {
	// Hold is how long the last word of a peer counts after it was heard.
	Hold time.Duration
}

// Cap is one limit on the path of a request.
type Cap struct {
	// Flow names what is capped, unique in the fleet.
	Flow  string
	Rate  float64       // tokens a second for the whole fleet
	Burst time.Duration // time for which unused rate is saved
}

// Usage is a flow's demand at one entry.
type Usage struct {
	Flow string
	Rate float64 // tokens a second
}

// Admitter holds the buckets of one entry.
type Admitter struct {
	c       Config
	buckets map[string]*bucket
	peers   map[string]*peer
	entries int // live entries, this one included
}

type bucket struct {
	tokens  float64
	demand  float64 // decaying sum of tokens asked for
	updated time.Time
}

type peer struct {
	heard time.Time
	rates map[string]float64
}

// New returns an admitter of one entry that knows of no other.
func New(c Config) *Admitter {
	return &Admitter{c: c, buckets: make(map[string]*bucket), peers: make(map[string]*peer), entries: 1}
}

// SetEntries tells how many entries the fleet has, this one included, whether or
// not they can be reached.
func (a *Admitter) SetEntries(count int) {
	a.entries = max(count, 1)
}

// Hear takes in the demand that a peer told of itself.
func (a *Admitter) Hear(now time.Time, name string, usages []Usage) {
	// What is older than Hold no longer counts in Part.
	maps.DeleteFunc(a.peers, func(_ string, p *peer) bool { return now.Sub(p.heard) > a.c.Hold })
	rates := make(map[string]float64, len(usages))
	for _, u := range usages {
		rates[u.Flow] = max(u.Rate, 0)
	}
	a.peers[name] = &peer{heard: now, rates: rates}
}

// Usage returns this entry's own demand, by flow in order of name, and forgets
// flows that have long been idle.
func (a *Admitter) Usage(now time.Time) (usages []Usage) {
	for _, flow := range slices.Sorted(maps.Keys(a.buckets)) {
		b := a.buckets[flow]
		if now.Sub(b.updated) > idleTime {
			delete(a.buckets, flow)
			continue
		}
		if rate := b.rate(now); rate > 0.01 {
			usages = append(usages, Usage{Flow: flow, Rate: rate})
		}
	}
	return usages
}

// Admit takes the cost of a request, in tokens, from all caps on its path, or
// from none and returns the refusal.
func (a *Admitter) Admit(now time.Time, caps []Cap, cost float64) *foxtailwharf.Refusal {
	for _, c := range caps {
		if c.Rate > 0 {
			a.refill(now, c)
			a.buckets[c.Flow].demand += cost
		}
	}
	for _, c := range caps {
		if c.Rate <= 0 {
			continue
		}
		if refusal := a.check(now, c); refusal != nil {
			return refusal
		}
	}
	for _, c := range caps {
		if c.Rate > 0 {
			a.buckets[c.Flow].tokens -= cost
		}
	}
	return nil
}

// check refuses a request while its flow is in debt. A request may take a bucket
// below zero, so that one larger than an entry's part of the burst can run at all;
// the debt is paid before the next.
func (a *Admitter) check(now time.Time, c Cap) *foxtailwharf.Refusal {
	b := a.buckets[c.Flow]
	if b.tokens > 0 {
		return nil
	}
	part := a.Part(now, c.Flow) * c.Rate
	refusal := foxtailwharf.NotRun(foxtailwharf.ReasonCapExceeded, "the cap of "+c.Flow+" is used up")
	refusal.RetryAfter = time.Duration(-b.tokens / part * float64(time.Second))
	return refusal
}

// Correct charges the difference between the real and the estimated cost.
func (a *Admitter) Correct(now time.Time, caps []Cap, difference float64) {
	for _, c := range caps {
		if c.Rate > 0 {
			a.refill(now, c)
			a.buckets[c.Flow].tokens -= difference
		}
	}
}

// refill adds what the flow earned since the last look.
func (a *Admitter) refill(now time.Time, c Cap) {
	rate := a.Part(now, c.Flow) * c.Rate
	full := rate * c.Burst.Seconds()
	b, isKnown := a.buckets[c.Flow]
	if !isKnown {
		a.buckets[c.Flow] = &bucket{tokens: full, updated: now}
		return
	}
	elapsed := now.Sub(b.updated)
	if elapsed <= 0 {
		return
	}
	b.demand = b.decayed(elapsed)
	// Only what is earned is bounded: tokens given back by a correction stay.
	if b.tokens < full {
		b.tokens = min(b.tokens+rate*elapsed.Seconds(), full)
	}
	b.updated = now
}

// Part returns the part of a flow's cap, 0 to 1, that this entry may spend.
//
// The parts of entries that share a view add up to 1. With N entries and
// e = EvenPart no entry takes more than e/N + (1-e). Views differ for one interval
// after demand moved, and for Hold after contact was lost; then the entries fall to
// their even parts. In a time t, of which views differed for d, all entries
// together take at most
//
//	rate x (t + Burst x (e + N(1-e)) + (N-1)(1-e) x d)
//
// and one request each on top.
func (a *Admitter) Part(now time.Time, flow string) float64 {
	even := 1 / float64(a.entries)
	total := 0.0
	heard := 1
	for _, p := range a.peers {
		if now.Sub(p.heard) <= a.c.Hold {
			heard++
			total += p.rates[flow]
		}
	}
	if heard < a.entries {
		return even
	}
	own := 0.0
	if b, isKnown := a.buckets[flow]; isKnown {
		own = b.rate(now)
	}
	if own+total <= 0 {
		return even
	}
	return EvenPart*even + (1-EvenPart)*own/(own+total)
}

// rate returns the flow's demand in tokens a second.
func (b *bucket) rate(now time.Time) float64 {
	return b.decayed(now.Sub(b.updated)) / demandTime.Seconds()
}

func (b *bucket) decayed(elapsed time.Duration) float64 {
	if elapsed <= 0 {
		return b.demand
	}
	return b.demand / (1 + elapsed.Seconds()/demandTime.Seconds())
}
