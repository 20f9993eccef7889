// Package budgeter limits the retries of one entry with a token bucket, so that retries do not
// amplify a failure, and spreads them in time by backoff with jitter. The package does no I/O and
// takes the time as an argument.
package budgeter

import (
	"math/rand/v2"
	"time"
)

const (
	window     = 10 * time.Second // time over which earned retries decay
	minRetries = 10.0             // retries allowed per window regardless of first attempts
)

// Config holds the settings of a Budgeter.
type Config struct {
	Ratio     float64       // retries allowed per first attempt
	BaseDelay time.Duration // upper bound of the pause before the first retry
	MaxDelay  time.Duration // upper bound of the pause before any retry
	Random    *rand.Rand
}

// Budgeter tracks the retry budget. It is not safe for concurrent use.
type Budgeter struct {
	config  Config
	tokens  float64
	updated time.Time
}

// New returns a budgeter with minRetries available.
func New(config Config, now time.Time) *Budgeter {
	return &Budgeter{config: config, tokens: minRetries, updated: now}
}

// Try records the first attempt of a request, which adds to the budget.
func (b *Budgeter) Try(now time.Time) {
	b.refill(now)
	b.tokens += b.config.Ratio
}

// Retry takes a retry from the budget and returns the pause before it, or false if the budget is
// used up. The pause is random, with an upper bound that doubles with each retry of the request.
func (b *Budgeter) Retry(now time.Time, retries int) (pause time.Duration, isAllowed bool) {
	b.refill(now)
	if b.tokens < 1 {
		return 0, false
	}
	b.tokens--
	bound := min(b.config.BaseDelay<<min(retries, 16), b.config.MaxDelay)
	return time.Duration(b.config.Random.Int64N(int64(bound) + 1)), true
}

// refill moves the budget towards minRetries over the window: a lower budget recovers, and what
// first attempts added above minRetries decays.
func (b *Budgeter) refill(now time.Time) {
	elapsed := now.Sub(b.updated)
	if elapsed <= 0 {
		return
	}
	b.updated = now
	part := min(elapsed.Seconds()/window.Seconds(), 1)
	b.tokens += (minRetries - b.tokens) * part
}
