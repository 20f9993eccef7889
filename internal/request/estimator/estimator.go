// Package estimator keeps an estimate of the prompt tokens that an engine has still to read.
// An engine reads prompts one after the other between the tokens that it writes, so that the
// first token of a call waits for the prompts before its own; the number of calls says little
// of that, since prompts differ by a hundred times. It answers fleets near their capacity, in
// which the most urgent calls have a few tenths of a second. It does no I/O and holds no clock.
package estimator

import "time"

// Estimator is the estimate for one engine.
type Estimator struct {
	pace    float64 // tokens a second; 0 while it is not known
	tokens  float64 // to read, at a moment
	at      time.Time
	placed  int // calls since the last look at the engine
	isKnown bool
}

// SetPace tells how many tokens a second the engine reads.
func (e *Estimator) SetPace(now time.Time, tokensPerSecond float64) {
	e.settle(now)
	e.pace = tokensPerSecond
}

// Place notes a call that was sent to the engine.
func (e *Estimator) Place(now time.Time, tokens int) {
	e.settle(now)
	e.tokens += float64(tokens)
	e.placed++
}

// Look notes how many calls an engine says it has: none is left to read where it has none.
func (e *Estimator) Look(now time.Time, calls int) {
	e.settle(now)
	e.placed = 0
	if calls == 0 {
		e.tokens = 0
	}
}

// Tokens returns the estimate.
func (e *Estimator) Tokens(now time.Time) float64 {
	e.settle(now)
	return e.tokens
}

// Placed returns the calls that were sent since the last look.
func (e *Estimator) Placed() int {
	return e.placed
}

// settle takes off what was read since the last event.
func (e *Estimator) settle(now time.Time) {
	if e.isKnown {
		e.tokens = max(e.tokens-e.pace*now.Sub(e.at).Seconds(), 0)
	}
	e.at, e.isKnown = now, true
}
