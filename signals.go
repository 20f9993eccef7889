package foxtailwharf

import "time"

// Signals is what an upstream says of itself in the head of its response to a call, whatever the
// answer to the call is.
type Signals struct {
	Weights int64 // version of the weights that answered; 0 if the header has none
	// HasLimit is true if the upstream names a limit: the calls a second that it takes from all
	// processes together, for as long as its responses say so.
	HasLimit bool
	Limit    float64
	// IsLeaving is true if the upstream takes no new calls. It finishes those that it has.
	IsLeaving bool
	// RetryAfter is how long the upstream, which has refused the call, wants no other calls of this
	// process; 0 if it does not say so.
	RetryAfter time.Duration
}
