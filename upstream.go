package foxtailwharf

import (
	"net/netip"
	"time"
)

// Upstream is one instance behind a service, as the platform's list names it.
type Upstream struct {
	ID            string
	Service       string
	Address       netip.AddrPort
	FailureDomain string
	Slots         int // requests that run at a time
	IsDraining    bool
	// Born is the start of the upstream's process; the same ID may start again.
	Born time.Time
	// Weights is the version of the weights held whole; 0 for none.
	Weights int64
}

// UpstreamLoad is what an agent tells of the upstream beside it.
type UpstreamLoad struct {
	Born      time.Time
	Weights   int64 // version held whole; 0 for none
	Running   int
	Queued    int
	IsLoading bool // takes nothing new until the weights are loaded
	IsDown    bool // does not answer the agent
	// PendingPromptTokens is an estimate of the prompt tokens that the upstream has still to read.
	PendingPromptTokens float64
	// Slowness is how many times as long as usual the upstream takes; 0 where it does not say.
	Slowness float64
	// Listeners is the number of entries that get the agent's reports; 0 where it does not say.
	Listeners int
	// LinkDelay is how long traffic to and from the upstream's machine waits on its link.
	LinkDelay time.Duration
}
