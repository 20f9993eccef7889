// Package estimator estimates how many prompt tokens an engine has still to read. An engine reads
// prompts one after the other, between the tokens that it writes, so the first token of a call
// waits for all prompts before its own. The number of calls is a poor measure of that wait,
// because the lengths of prompts differ by a factor of a hundred. The estimate matters in fleets
// near their capacity, where the most urgent calls have only a few tenths of a second. The
// package does no I/O and reads no clock.
package estimator

import "time"

// Estimator is the estimate for one engine. The zero value has an unknown rate and nothing to
// read. It is not safe for concurrent use.
type Estimator struct {
	rate       float64 // tokens read in a second; 0 if unknown
	tokens     float64 // still to read at updatedAt
	updatedAt  time.Time
	unobserved int // calls sent since the engine's state was last observed
	isStarted  bool
}

// SetRate sets the number of prompt tokens that the engine reads in a second.
func (e *Estimator) SetRate(now time.Time, tokensPerSecond float64) {
	e.advance(now)
	e.rate = tokensPerSecond
}

// AddCall adds a call that was sent to the engine, with the length of its prompt in tokens.
func (e *Estimator) AddCall(now time.Time, tokens int) {
	e.advance(now)
	e.tokens += float64(tokens)
	e.unobserved++
}

// Observe records the number of calls that the engine reports. If it has none, nothing is left to
// read.
func (e *Estimator) Observe(now time.Time, calls int) {
	e.advance(now)
	e.unobserved = 0
	if calls == 0 {
		e.tokens = 0
	}
}

// Tokens returns the estimated number of prompt tokens still to read.
func (e *Estimator) Tokens(now time.Time) float64 {
	e.advance(now)
	return e.tokens
}

// Unobserved returns the number of calls sent since the last Observe.
func (e *Estimator) Unobserved() int {
	return e.unobserved
}

// advance subtracts the tokens read since the last update.
func (e *Estimator) advance(now time.Time) {
	if e.isStarted {
		e.tokens = max(e.tokens-e.rate*now.Sub(e.updatedAt).Seconds(), 0)
	}
	e.updatedAt, e.isStarted = now, true
}
