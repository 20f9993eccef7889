package foxtailwharf

import "time"

// NamedLimit is what an upstream last said of the calls that it takes from all processes together.
type NamedLimit struct {
	Upstream string    // ID
	Born     time.Time // start of the upstream's process, which tells runs with the same ID apart
	// PerSecond is the number of calls a second.
	PerSecond float64
	// IsLifted is true if its newest response names no limit.
	IsLifted bool
	// Age is the time since the response.
	Age time.Duration
}

// PermitRequest asks the entry that keeps the limit of an upstream for a call to it, or only tells it
// the limit.
type PermitRequest struct {
	Limit NamedLimit
	// IsWanted is false if the request only tells the limit.
	IsWanted bool
	// Calls is how many calls the entry would send within PermitLife; 0 counts as one.
	Calls int
	// Within is how long the call can wait for the permit.
	Within time.Duration
	// Unused is the number of earlier permits that have expired without a call.
	Unused int
}

// Permit is the answer to a PermitRequest.
type Permit struct {
	// IsGranted is true if calls may be sent, after StartsIn and within PermitLife from then.
	IsGranted bool
	// Calls is how many; 0 counts as one.
	Calls    int
	StartsIn time.Duration
	// RetryIn is when to ask again for what was not granted.
	RetryIn time.Duration
	// IsLifted is true if the upstream has no limit any more.
	IsLifted bool
}

// PermitLife is how long a permit may be used.
const PermitLife = time.Second
