// Package budgeter bounds the retries of one entry, so that retries cannot
// multiply a failure, and spreads them in time. It does no I/O and holds no
// clock.
package budgeter

import (
	"math/rand/v2"
	"time"
)

// Constants of the retry budget.
const (
	window     = 10 * time.Second // over which first tries are counted
	minRetries = 10.0             // retries in a window whatever the first tries
)

// Config holds the settings of a Budgeter.
type Config struct {
	Part    float64       // retries allowed for each first try
	Base    time.Duration // longest pause before the first retry
	Longest time.Duration // longest pause before any retry
	Random  *rand.Rand
}

// Budgeter counts first tries and retries.
type Budgeter struct {
	c       Config
	tokens  float64
	updated time.Time
}

// New returns a budgeter with its floor of retries at hand.
func New(c Config, now time.Time) *Budgeter {
	return &Budgeter{c: c, tokens: minRetries, updated: now}
}

// Try counts the first try of a request.
func (b *Budgeter) Try(now time.Time) {
	b.refill(now)
	b.tokens += b.c.Part
}

// Retry reports whether a retry may be made, and how long to pause before it:
// a random time up to a bound that doubles with each retry of the request.
func (b *Budgeter) Retry(now time.Time, retries int) (pause time.Duration, isAllowed bool) {
	b.refill(now)
	if b.tokens < 1 {
		return 0, false
	}
	b.tokens--
	bound := min(b.c.Base<<min(retries, 16), b.c.Longest)
	return time.Duration(b.c.Random.Int64N(int64(bound) + 1)), true
}

// refill earns the floor over time; what is earned beyond the floor by first
// tries decays over the window.
func (b *Budgeter) refill(now time.Time) {
	elapsed := now.Sub(b.updated)
	if elapsed <= 0 {
		return
	}
	b.updated = now
	part := min(elapsed.Seconds()/window.Seconds(), 1)
	b.tokens += (minRetries - b.tokens) * part
}
