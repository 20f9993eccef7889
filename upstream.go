package foxtailwharf

import (
	"net/netip"
	"time"
)

// Upstream is an instance of a service as listed by the platform.
type Upstream struct {
	ID            string
	Service       string
	Address       netip.AddrPort
	FailureDomain string
	Slots         int  // requests that run concurrently
	IsDraining    bool // takes no new calls and finishes running ones
	// Born is when the upstream's process started. It tells runs with the same ID apart.
	Born time.Time
	// Weights is the version of the weights that is completely loaded; 0 if none.
	Weights int64
}

// UpstreamLoad is the state and load of an upstream as reported by its agent.
type UpstreamLoad struct {
	Born      time.Time // start of the upstream's process; zero if unknown
	Weights   int64     // version that is completely loaded; 0 if none
	Running   int
	Queued    int
	IsLoading bool // takes no new calls until the weights are loaded
	// LoadIn is the time from the report until the upstream begins to load other weights; 0 if it is not to.
	LoadIn time.Duration
	IsDown bool // does not answer the agent
	// IsSilent is true if it is down because no answer came in time. It may be sound and go on.
	IsSilent bool
	// PendingPromptTokens is the estimated number of prompt tokens that the upstream has yet to read.
	PendingPromptTokens float64
	// Slowness is the factor by which the upstream is slower than usual; 0 if it does not report one.
	Slowness float64
	// Listeners is the number of entries that receive the agent's reports; 0 if unknown.
	Listeners int
	// LinkDelay is the queueing delay on the link of the upstream's machine, summed over both
	// directions.
	LinkDelay time.Duration
}
