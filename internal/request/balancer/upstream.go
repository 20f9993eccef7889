package balancer

import (
	"math"
	"time"

	"github.com/foxtailwharf/foxtailwharf"
)

const (
	// loadLifetime is how long the load in a report is used as an estimate of the calls of other
	// entries.
	loadLifetime = 600 * time.Millisecond
	// stateLifetime is how long the state in a report (down, loading, weights, link delay) is
	// used without a newer report.
	stateLifetime = 1500 * time.Millisecond
	// farStateLifetime is the same for upstreams of other failure domains. Their agents report every few seconds
	// while this entry does not need them, and each change of the state at once.
	farStateLifetime = 4 * time.Second
	// faultsToEject is the number of consecutive faults after which an upstream is ejected.
	faultsToEject = 3
	// baseEjectionTime is the length of the first ejection. It doubles with each further fault.
	baseEjectionTime = 500 * time.Millisecond
	// maxEjectionTime bounds the doubling, so that a recovered upstream is soon tried again.
	maxEjectionTime = 2 * time.Second
	// reportLag is the time from sending a call until the agent's reports include it. Prompts
	// sent longer before a report are part of it.
	reportLag = 25 * time.Millisecond
)

// CongestedLinkDelay is the queueing delay on an upstream's link from which on the upstream gets
// calls only if no other that reports to this entry is eligible: calls and their cancellations would
// arrive late. Reports wait a few milliseconds on a free link; a link that is full begins to drop
// them soon above this delay.
const CongestedLinkDelay = 45 * time.Millisecond

// upstream is an instance with its estimated load.
type upstream struct {
	foxtailwharf.Upstream
	*statement             // of its present run; never nil
	ownInFlight       int  // calls of this entry
	isReporting       bool // its agent reports to this entry
	hasRival          bool // another upstream is listed at its address
	isOlder           bool // a younger upstream is listed at its address
	isFar             bool // it is in another failure domain
	load              foxtailwharf.UpstreamLoad
	reportedAt        time.Time // zero before the first report
	downSince         time.Time // first of the reports in a row that say that it is down; zero if the last one does not
	othersInFlight    float64   // calls of other entries at the last report
	sentSinceReport   int       // own calls sent less those ended; may be negative
	shareRounding     float64   // random in [0, 1), drawn with each report
	unreported        []sentPrompt
	consecutiveFaults int
	ejections         int
	ejectedUntil      time.Time
	movedUntil        time.Time // another upstream has answered at its address
	fullUntil         time.Time
	unreachedSince    time.Time // first of the attempts in a row to which it took no connection
	unreachedAt       time.Time // last one
}

// current returns the upstream with the start of its present run. The agent may report a restart before
// the list does, long before it while the store is away.
func (u *upstream) current() foxtailwharf.Upstream {
	current := u.Upstream
	if u.load.Born.After(current.Born) {
		current.Born = u.load.Born
	}
	return current
}

// sentPrompt is the prompt of a call that the last report may not include.
type sentPrompt struct {
	at     time.Time
	tokens int
}

// neverReported is the age of the last report of an upstream that has sent none.
const neverReported = time.Duration(math.MaxInt64)

// reportAge returns the time since the last report.
func (u *upstream) reportAge(now time.Time) time.Duration {
	if u.reportedAt.IsZero() {
		return neverReported
	}
	return now.Sub(u.reportedAt)
}

// freeSlots returns the number of slots that are free by a recent report; 0 if the upstream takes no calls.
func (u *upstream) freeSlots(now time.Time) int {
	if u.IsDraining || u.load.IsDown || u.load.IsLoading || u.load.Weights == 0 || u.reportAge(now) > loadLifetime {
		return 0
	}
	return max(u.Slots-u.load.Running-u.load.Queued, 0)
}

// stateLifetime returns how long the state in a report is used without a newer one.
func (u *upstream) stateLifetime() time.Duration {
	if u.isFar {
		return farStateLifetime
	}
	return stateLifetime
}

// The methods below take the age of the last report.

// prefillTime estimates how long the upstream will be reading the prompts that it has.
func (u *upstream) prefillTime(age time.Duration, req *Requirements) time.Duration {
	if req.ReadPace <= 0 {
		return 0
	}
	tokens := 0.0
	if age <= loadLifetime {
		tokens = max(u.load.PendingPromptTokens-req.ReadPace*age.Seconds(), 0)
	}
	for _, p := range u.unreported {
		tokens += float64(p.tokens)
	}
	return time.Duration(tokens / req.ReadPace * max(u.load.Slowness, 1) * float64(time.Second))
}

// isReady reports whether the upstream answers its agent and loads no weights, as far as a recent report tells.
func (u *upstream) isReady(age time.Duration) bool {
	return age >= u.stateLifetime() || (!u.load.IsDown && !u.load.IsLoading)
}

// partInLoad returns the part of a call's length after the time at which the upstream is to load other weights, as
// far as a recent report tells.
func (u *upstream) partInLoad(age, length time.Duration) float64 {
	if length <= 0 || u.load.LoadIn == 0 || age >= u.stateLifetime() {
		return 0
	}
	left := max(u.load.LoadIn-age, 0)
	return max(1-float64(left)/float64(length), 0)
}

// weights returns the version that an upstream holds, from its agent's report if that is recent,
// else from the list.
func (u *upstream) weights(age time.Duration) int64 {
	if age < u.stateLifetime() {
		return u.load.Weights
	}
	return u.Weights
}

// linkDelay returns the queueing delay on the upstream's link; 0 without a recent report.
func (u *upstream) linkDelay(age time.Duration) time.Duration {
	if age > u.stateLifetime() {
		return 0
	}
	return u.load.LinkDelay
}

// isLinkCongested reports whether calls would wait on the upstream's link: its reports are
// delayed, or have stopped arriving.
func (u *upstream) isLinkCongested(age time.Duration) bool {
	if age == neverReported {
		return false
	}
	return u.load.LinkDelay >= CongestedLinkDelay || age > loadLifetime
}

// inFlight estimates the number of calls at the upstream.
func (u *upstream) inFlight(age time.Duration) float64 {
	if age > loadLifetime {
		return float64(u.ownInFlight)
	}
	return float64(u.ownInFlight) + u.othersInFlight
}

// recordFault counts a fault and ejects the upstream after too many.
func (u *upstream) recordFault(now time.Time) {
	u.consecutiveFaults++
	if u.consecutiveFaults < faultsToEject {
		return
	}
	u.ejectedUntil = now.Add(min(baseEjectionTime<<min(u.ejections, 4), maxEjectionTime))
	u.ejections++
}
