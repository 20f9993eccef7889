// Package admitter enforces the agreement's caps at one entry. Each cap is a token bucket of
// which the entry may spend a share. The shares of all entries follow their demand while they
// exchange usage reports, and become equal when they lose contact. The package does no I/O and
// takes the time as an argument.
package admitter

import (
	"maps"
	"slices"
	"time"

	"github.com/foxtailwharf/foxtailwharf"
)

const (
	// EvenShare is the part of each cap, 0 to 1, that is split equally among the entries,
	// regardless of their demand.
	EvenShare = 0.5
	// demandWindow is the time over which demand is averaged.
	demandWindow = 3 * time.Second
	// idleTime is the time without demand after which a flow is deleted.
	idleTime = 5 * time.Minute
)

// Config holds the settings of an Admitter.
type Config struct {
	// UsageTTL is the time for which the last usage report of a peer counts.
	UsageTTL time.Duration
}

// Cap is one rate limit that applies to a request.
type Cap struct {
	// Flow identifies what is capped. It is unique in the fleet.
	Flow  string
	Rate  float64       // tokens per second for the whole fleet
	Burst time.Duration // time over which unused rate accumulates
}

// Usage is a flow's demand at one entry.
type Usage struct {
	Flow string
	Rate float64 // tokens per second
}

// Admitter holds the token buckets of one entry. It is not safe for concurrent use.
type Admitter struct {
	config  Config
	buckets map[string]*bucket
	peers   map[string]*peer
	entries int // entries of the fleet, this one included
}

type bucket struct {
	tokens  float64
	demand  float64 // decaying sum of the requested tokens
	updated time.Time
}

type peer struct {
	heard time.Time
	rates map[string]float64
}

// New returns an admitter that knows of no other entry.
func New(config Config) *Admitter {
	return &Admitter{config: config, buckets: make(map[string]*bucket), peers: make(map[string]*peer), entries: 1}
}

// SetEntries sets the number of entries of the fleet, including this one and those that cannot be
// reached.
func (a *Admitter) SetEntries(count int) {
	a.entries = max(count, 1)
}

// UpdatePeer records the demand that a peer reported, replacing its previous report.
func (a *Admitter) UpdatePeer(now time.Time, name string, usages []Usage) {
	// Reports older than UsageTTL no longer count in Share.
	maps.DeleteFunc(a.peers, func(_ string, p *peer) bool { return now.Sub(p.heard) > a.config.UsageTTL })
	rates := make(map[string]float64, len(usages))
	for _, u := range usages {
		rates[u.Flow] = max(u.Rate, 0)
	}
	a.peers[name] = &peer{heard: now, rates: rates}
}

// Usage returns this entry's own demand, sorted by flow, and deletes flows that have been idle
// for a long time.
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

// Admit takes the cost of a request, in tokens, from all caps. If one of them is used up it takes
// nothing and returns a refusal.
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

// check refuses a request while its bucket is not above zero. A request may take a bucket below
// zero, because otherwise one that costs more than the entry's share of the burst could never
// run. The bucket must refill before the next request.
func (a *Admitter) check(now time.Time, c Cap) *foxtailwharf.Refusal {
	b := a.buckets[c.Flow]
	if b.tokens > 0 {
		return nil
	}
	share := a.Share(now, c.Flow) * c.Rate
	refusal := foxtailwharf.NotRun(foxtailwharf.ReasonCapExceeded, "the cap of "+c.Flow+" is used up")
	refusal.RetryAfter = time.Duration(-b.tokens / share * float64(time.Second))
	return refusal
}

// Correct charges the difference between the actual and the estimated cost, which may be
// negative.
func (a *Admitter) Correct(now time.Time, caps []Cap, difference float64) {
	for _, c := range caps {
		if c.Rate > 0 {
			a.refill(now, c)
			a.buckets[c.Flow].tokens -= difference
		}
	}
}

// refill adds the tokens that were earned since the last update.
func (a *Admitter) refill(now time.Time, c Cap) {
	rate := a.Share(now, c.Flow) * c.Rate
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
	// Only earned tokens are bounded: tokens refunded by a correction stay.
	if b.tokens < full {
		b.tokens = min(b.tokens+rate*elapsed.Seconds(), full)
	}
	b.updated = now
}

// Share returns the part of a flow's cap, 0 to 1, that this entry may spend.
//
// The shares of entries with the same view add up to 1. With N entries and e = EvenShare no entry
// takes more than e/N + (1-e). Views differ for one interval after demand changes, and for UsageTTL
// after contact is lost; then the entries fall back to equal shares. In a time t, during d of
// which views differ, all entries together take at most
//
//	rate x (t + Burst x (e + N(1-e)) + (N-1)(1-e) x d)
//
// and one additional request each.
func (a *Admitter) Share(now time.Time, flow string) float64 {
	even := 1 / float64(a.entries)
	total := 0.0
	heard := 1
	for _, p := range a.peers {
		if now.Sub(p.heard) <= a.config.UsageTTL {
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
	return EvenShare*even + (1-EvenShare)*own/(own+total)
}

// rate returns the flow's demand in tokens per second.
func (b *bucket) rate(now time.Time) float64 {
	return b.decayed(now.Sub(b.updated)) / demandWindow.Seconds()
}

func (b *bucket) decayed(elapsed time.Duration) float64 {
	if elapsed <= 0 {
		return b.demand
	}
	return b.demand / (1 + elapsed.Seconds()/demandWindow.Seconds())
}
