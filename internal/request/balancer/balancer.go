// Package balancer chooses an upstream for a call among those that the platform lists. Many
// entries share few upstreams. Each entry knows its own calls exactly, and those of the other
// entries only from the agents' reports, which are a few tenths of a second old. So that not all
// entries send to the same free slot, an entry uses only its share of the free slots of a report,
// rounded at random where the share is not a whole number, plus the slots that its own calls have
// freed since. The package does no I/O and reads no clock.
package balancer

import (
	"cmp"
	"math"
	"math/rand/v2"
	"net/netip"
	"slices"
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
	// faultsToEject is the number of consecutive faults after which an upstream is ejected.
	faultsToEject = 3
	// baseEjectionTime is the length of the first ejection. It doubles with each further fault.
	baseEjectionTime = 500 * time.Millisecond
	// maxEjectionTime bounds the doubling, so that a recovered upstream is soon tried again.
	maxEjectionTime = 2 * time.Second
	// remoteDomainCost is the cost of an upstream in another failure domain, in calls in flight:
	// bandwidth between domains is scarce, and reports from there are older.
	remoteDomainCost = 8
	// shareFactor keeps the sum of all entries' shares below the free slots of a report, because
	// calls sent since the report are not in it.
	shareFactor = 0.7
	// staleShareFactor is the factor for an upstream without a recent report, applied to all of
	// its slots.
	staleShareFactor = 1.2
	// linkDelayPerCall is the queueing delay on an upstream's link that costs as much as one call
	// in flight.
	linkDelayPerCall = 20 * time.Millisecond
	// prefillTimePerCall is the time for reading queued prompts that costs as much as one call in
	// flight.
	prefillTimePerCall = 10 * time.Millisecond
	// reportLag is the time from sending a call until the agent's reports include it. Prompts
	// sent longer before a report are part of it.
	reportLag = 25 * time.Millisecond
	// maxEjectedFraction is the largest fraction of a service's upstreams that may be ejected at
	// once. If more of them fail, the cause is not the upstreams.
	maxEjectedFraction = 0.5
)

// CongestedLinkDelay is the queueing delay on an upstream's link from which on the upstream gets
// calls only if no other that reports to this entry is eligible: calls and their cancellations would
// arrive late. Reports wait a few milliseconds on a free link; a link that is full begins to drop
// them soon above this delay.
const CongestedLinkDelay = 45 * time.Millisecond

// Config holds the settings of a Balancer. FailureDomain is the entry's own.
type Config struct {
	FailureDomain string
	Random        *rand.Rand
}

// Requirements describes what a call requires of an upstream.
type Requirements struct {
	Service string
	// Exclude holds the IDs of upstreams that must not be chosen.
	Exclude map[string]bool
	// NeedsWeights is set for model services, whose upstreams must hold weights.
	NeedsWeights bool
	// Weights is the only version of the weights that may answer; 0 for any version in force.
	Weights int64
	// ExtraSlots is added to the slots of an upstream. Positive values allow calls to queue
	// there, negative values keep slots free.
	ExtraSlots float64
	// Tokens is the length of the call's prompt. ReadPace is the number of prompt tokens that an
	// upstream reads in a second; 0 if unknown.
	Tokens   int
	ReadPace float64
	// MaxPrefill is the longest time for which an upstream may still be reading the prompts that
	// it has; 0 for no limit.
	MaxPrefill time.Duration
	// IsOnlyWaiting is set if no other call waits at this entry. The balancer takes this as a
	// sign that the other entries have no calls waiting for the same slot either, and allows any
	// free slot.
	IsOnlyWaiting bool
}

// Balancer holds what one entry knows of the upstreams. It is not safe for concurrent use.
type Balancer struct {
	c         Config
	byID      map[string]*upstream
	byService map[string][]*upstream
	byMachine map[netip.Addr]*upstream
	releases  map[string][]release // by service, in ascending order of version
	entries   int                  // that share the upstreams, this one included
	reporting map[string]bool      // engines whose agents report here, by ID; nil for all
}

// release is a version of a service's weights and when it replaces older ones.
type release struct {
	version int64
	// cutoffAt is when older versions stop getting calls. A call that was sent to an older
	// version before must have begun by startDeadline.
	cutoffAt      time.Time
	startDeadline time.Time
}

// upstream is an instance with its estimated load.
type upstream struct {
	foxtailwharf.Upstream
	ownInFlight       int // calls of this entry
	load              foxtailwharf.UpstreamLoad
	reportedAt        time.Time // zero before the first report
	othersInFlight    float64   // calls of other entries at the last report
	sentSinceReport   int       // own calls sent less those ended; may be negative
	shareRounding     float64   // random in [0, 1), drawn with each report
	unreported        []sentPrompt
	consecutiveFaults int
	ejections         int
	ejectedUntil      time.Time
	fullUntil         time.Time
}

// sentPrompt is the prompt of a call that the last report may not include.
type sentPrompt struct {
	at     time.Time
	tokens int
}

// New returns a balancer without upstreams.
func New(c Config) *Balancer {
	return &Balancer{
		c:         c,
		byID:      make(map[string]*upstream),
		byService: make(map[string][]*upstream),
		byMachine: make(map[netip.Addr]*upstream),
		releases:  make(map[string][]release),
		entries:   1,
	}
}

// SetSubset sets the engines whose agents report to this entry. Other engines get calls only if
// none of these is eligible.
func (b *Balancer) SetSubset(reporting []foxtailwharf.Upstream) {
	b.reporting = make(map[string]bool, len(reporting))
	for _, u := range reporting {
		b.reporting[u.ID] = true
	}
}

// SetEntries sets the number of entries that share the upstreams.
func (b *Balancer) SetEntries(count int) {
	b.entries = max(count, 1)
}

// maxReleases bounds the releases kept for a service. Each has its own times, and many may be
// published within the time of one switch.
const maxReleases = 64

// SetRelease adds a version of a service's weights, with the time from which on older versions
// get no calls, and the time by which calls sent to an older version must have begun. Setting a
// version again replaces its times.
func (b *Balancer) SetRelease(service string, version int64, cutoffAt, startDeadline time.Time) {
	list := b.releases[service]
	for i := range list {
		if list[i].version == version {
			list[i].cutoffAt, list[i].startDeadline = cutoffAt, startDeadline
			return
		}
	}
	list = append(list, release{version: version, cutoffAt: cutoffAt, startDeadline: startDeadline})
	slices.SortFunc(list, func(a, b release) int { return cmp.Compare(a.version, b.version) })
	if len(list) > maxReleases {
		// The oldest release is dropped, and the next one inherits its times if they are earlier.
		list[1].cutoffAt, list[1].startDeadline = earlier(list[0].cutoffAt, list[1].cutoffAt), earlier(list[0].startDeadline, list[1].startDeadline)
		list = slices.Delete(list, 0, 1)
	}
	b.releases[service] = list
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

// oldestAllowed returns the oldest version of a service's weights that may get calls.
func (b *Balancer) oldestAllowed(now time.Time, service string) (version int64) {
	for _, r := range b.releases[service] {
		if !now.Before(r.cutoffAt) {
			version = r.version
		}
	}
	return version
}

// StartDeadline returns when a call at an upstream must have begun, because a newer version
// replaces the weights that the upstream holds. It is zero if no newer version is known.
func (b *Balancer) StartDeadline(now time.Time, id string) time.Time {
	u := b.byID[id]
	if u == nil {
		return time.Time{}
	}
	held := u.weights(now)
	for _, r := range b.releases[u.Service] {
		if r.version > held {
			return r.startDeadline
		}
	}
	return time.Time{}
}

// Set replaces the list of upstreams. The state of those that remain is kept; an upstream that
// has been restarted or has another address starts without state.
func (b *Balancer) Set(list []foxtailwharf.Upstream) {
	byID := make(map[string]*upstream, len(list))
	b.byService = make(map[string][]*upstream)
	b.byMachine = make(map[netip.Addr]*upstream, len(list))
	for _, listed := range list {
		u := b.byID[listed.ID]
		if u == nil || !u.Born.Equal(listed.Born) || u.Address != listed.Address {
			u = &upstream{}
		}
		u.Upstream = listed
		byID[listed.ID] = u
		b.byService[listed.Service] = append(b.byService[listed.Service], u)
		b.byMachine[listed.Address.Addr()] = u
	}
	b.byID = byID
}

// Report updates the load of the upstream on a machine from its agent's report.
func (b *Balancer) Report(now time.Time, machine netip.Addr, load foxtailwharf.UpstreamLoad) {
	u := b.byMachine[machine]
	if u == nil {
		return
	}
	u.load = load
	u.reportedAt = now
	u.othersInFlight = max(float64(load.Running+load.Queued-u.ownInFlight), 0)
	u.sentSinceReport = 0
	u.shareRounding = b.c.Random.Float64()
	u.unreported = slices.DeleteFunc(u.unreported, func(p sentPrompt) bool { return now.Sub(p.at) > reportLag })
}

// prefillTime estimates how long the upstream will be reading the prompts that it has.
func (u *upstream) prefillTime(now time.Time, req Requirements) time.Duration {
	if req.ReadPace <= 0 {
		return 0
	}
	tokens := max(u.load.PendingPromptTokens-req.ReadPace*now.Sub(u.reportedAt).Seconds(), 0)
	if u.reportedAt.IsZero() || now.Sub(u.reportedAt) > loadLifetime {
		tokens = 0
	}
	for _, p := range u.unreported {
		tokens += float64(p.tokens)
	}
	return time.Duration(tokens / req.ReadPace * max(u.load.Slowness, 1) * float64(time.Second))
}

// cost returns the cost of an upstream for a call, in calls in flight. The upstream with the
// lowest cost is chosen; a random part below 1 breaks ties.
func (b *Balancer) cost(u *upstream, now time.Time, req Requirements) float64 {
	cost := u.inFlight(now)*max(u.load.Slowness, 1) + b.c.Random.Float64()
	cost += float64(u.linkDelay(now)) / float64(linkDelayPerCall)
	cost += float64(u.prefillTime(now, req)) / float64(prefillTimePerCall)
	if u.FailureDomain != b.c.FailureDomain {
		cost += remoteDomainCost
	}
	return cost
}

// weights returns the version that an upstream holds, from its agent's report if that is recent,
// else from the list.
func (u *upstream) weights(now time.Time) int64 {
	if !u.reportedAt.IsZero() && now.Sub(u.reportedAt) < stateLifetime {
		return u.load.Weights
	}
	return u.Weights
}

// linkDelay returns the queueing delay on the upstream's link; 0 without a recent report.
func (u *upstream) linkDelay(now time.Time) time.Duration {
	if u.reportedAt.IsZero() || now.Sub(u.reportedAt) > stateLifetime {
		return 0
	}
	return u.load.LinkDelay
}

// isLinkCongested reports whether calls would wait on the upstream's link: its reports are
// delayed, or have stopped arriving.
func (u *upstream) isLinkCongested(now time.Time) bool {
	if u.reportedAt.IsZero() {
		return false
	}
	return u.load.LinkDelay >= CongestedLinkDelay || now.Sub(u.reportedAt) > loadLifetime
}

// inFlight estimates the number of calls at the upstream.
func (u *upstream) inFlight(now time.Time) float64 {
	if u.reportedAt.IsZero() || now.Sub(u.reportedAt) > loadLifetime {
		return float64(u.ownInFlight)
	}
	return float64(u.ownInFlight) + u.othersInFlight
}

// hasCapacity reports whether this entry may use one more slot of the upstream.
func (b *Balancer) hasCapacity(u *upstream, now time.Time, req Requirements) bool {
	slots := float64(u.Slots) + req.ExtraSlots
	if u.fullUntil.After(now) {
		return false
	}
	if u.reportedAt.IsZero() || now.Sub(u.reportedAt) > loadLifetime {
		return float64(u.ownInFlight) < min(math.Ceil(slots/float64(b.entries)*staleShareFactor), slots)
	}
	free := slots - float64(u.load.Running+u.load.Queued)
	entries := b.entries
	if u.load.Listeners > 0 {
		entries = u.load.Listeners
	}
	if req.MaxPrefill > 0 && u.prefillTime(now, req) > req.MaxPrefill {
		return false
	}
	if entries == 1 || req.IsOnlyWaiting {
		return free-float64(max(u.sentSinceReport, 0)) >= 1
	}
	share := min(shareFactor/float64(entries), 1)
	return math.Floor(max(free, 0)*share+u.shareRounding)-float64(u.sentSinceReport) >= 1 && (free > 0 || u.sentSinceReport < 0)
}

// isEligible reports whether the upstream may get the call at all, regardless of its load.
func (b *Balancer) isEligible(u *upstream, now time.Time, req Requirements) bool {
	if u.IsDraining || req.Exclude[u.ID] {
		return false
	}
	if req.NeedsWeights && !b.hasAllowedWeights(u, now, req) {
		return false
	}
	isReported := !u.reportedAt.IsZero() && now.Sub(u.reportedAt) < stateLifetime
	return !isReported || (!u.load.IsDown && !u.load.IsLoading)
}

func (b *Balancer) hasAllowedWeights(u *upstream, now time.Time, req Requirements) bool {
	held := u.weights(now)
	if held == 0 || (req.Weights != 0 && held != req.Weights) {
		return false
	}
	return held >= b.oldestAllowed(now, req.Service)
}

// Pick returns the upstream with the lowest cost among those with capacity. hasCandidates is
// false if no upstream of the service is eligible for the call, whatever its load.
func (b *Balancer) Pick(now time.Time, req Requirements) (chosen foxtailwharf.Upstream, isFound, hasCandidates bool) {
	candidates := b.candidates(now, req)
	if len(candidates) == 0 {
		return chosen, false, false
	}
	var best *upstream
	bestCost := 0.0
	for _, u := range candidates {
		if !b.hasCapacity(u, now, req) {
			continue
		}
		cost := b.cost(u, now, req)
		if best == nil || cost < bestCost {
			best, bestCost = u, cost
		}
	}
	if best == nil {
		return chosen, false, true
	}
	return best.Upstream, true, true
}

// candidates returns the upstreams that may get the call: those behind free links, or if there are
// none, those behind congested links, or else those whose agents do not report to this entry. Among
// the first, ejected upstreams are left out while enough others remain.
func (b *Balancer) candidates(now time.Time, req Requirements) []*upstream {
	var healthy, ejected, notReporting, congested []*upstream
	for _, u := range b.byService[req.Service] {
		switch {
		case !b.isEligible(u, now, req):
		case req.NeedsWeights && b.reporting != nil && !b.reporting[u.ID]:
			notReporting = append(notReporting, u)
		case u.isLinkCongested(now):
			congested = append(congested, u)
		case u.ejectedUntil.After(now):
			ejected = append(ejected, u)
		default:
			healthy = append(healthy, u)
		}
	}
	switch {
	case len(healthy)+len(ejected) > 0:
	case len(congested) > 0:
		return congested
	default:
		return notReporting
	}
	if len(healthy) == 0 || float64(len(ejected)) > maxEjectedFraction*float64(len(ejected)+len(healthy)) {
		return append(healthy, ejected...)
	}
	return healthy
}

// Sent records that a call was sent to an upstream. The number of tokens is the length of its
// prompt; 0 if unknown.
func (b *Balancer) Sent(now time.Time, id string, tokens int) {
	u := b.byID[id]
	if u == nil {
		return
	}
	u.ownInFlight++
	u.sentSinceReport++
	if tokens > 0 {
		u.unreported = append(u.unreported, sentPrompt{at: now, tokens: tokens})
	}
}

// Result is how a call at an upstream ended.
type Result int

// Results of a call at an upstream.
const (
	Answered  Result = iota // complete answer with any status
	Failed                  // connection broken, or a server error of the upstream
	NotRun                  // the upstream refused the call, usually because no slot was free
	Moved                   // another upstream, or one with other weights, is at the address
	Abandoned               // caller gone, deadline passed, or weights replaced before the answer began
	Stalled                 // no data arrived in time
)

// fullBackoff is how long an upstream that refused a call gets no calls.
const fullBackoff = 30 * time.Millisecond

// stalledBackoff is how long an upstream that sent no data in time is ejected: its link is narrow
// or it is gone, and calls queued towards it would arrive after their callers have left.
const stalledBackoff = 1500 * time.Millisecond

// movedBackoff is how long an upstream is ejected if another one answered at its address.
const movedBackoff = 300 * time.Millisecond

// Finished records the result of a call that was recorded with Sent.
func (b *Balancer) Finished(now time.Time, id string, result Result) {
	u := b.byID[id]
	if u == nil {
		return
	}
	u.ownInFlight = max(u.ownInFlight-1, 0)
	u.sentSinceReport--
	switch result {
	case Answered:
		u.consecutiveFaults, u.ejections = 0, 0
	case Failed:
		u.recordFault(now)
	case NotRun:
		u.fullUntil = now.Add(fullBackoff)
	case Stalled:
		u.consecutiveFaults = faultsToEject
		u.ejectedUntil = now.Add(stalledBackoff)
	case Moved:
		u.ejectedUntil = now.Add(movedBackoff)
	case Abandoned:
	}
}

func (u *upstream) recordFault(now time.Time) {
	u.consecutiveFaults++
	if u.consecutiveFaults < faultsToEject {
		return
	}
	u.ejectedUntil = now.Add(min(baseEjectionTime<<min(u.ejections, 4), maxEjectionTime))
	u.ejections++
}

// IsLoading reports whether a recent report says that the upstream is loading weights.
func (b *Balancer) IsLoading(now time.Time, id string) bool {
	u := b.byID[id]
	return u != nil && u.load.IsLoading && now.Sub(u.reportedAt) < stateLifetime
}

// IsLost reports whether a recent report says that the upstream is down, or was restarted after
// born. It is false for upstreams that are not listed.
func (b *Balancer) IsLost(now time.Time, id string, born time.Time) bool {
	u := b.byID[id]
	if u == nil {
		return false
	}
	if u.reportedAt.IsZero() || now.Sub(u.reportedAt) > loadLifetime {
		return false
	}
	return u.load.IsDown || (!u.load.Born.IsZero() && u.load.Born.After(born))
}
