package balancer

import (
	"math"
	"net/netip"
	"time"

	"github.com/foxtailwharf/foxtailwharf"
)

const (
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
	// loadCost is the cost of an upstream that is to load other weights at once, in calls in flight: it may abort
	// the call. One that loads later costs the part of it in which the call may still run then.
	loadCost = 16
	// prefillTimePerCall is the time for reading queued prompts that costs as much as one call in
	// flight.
	prefillTimePerCall = 10 * time.Millisecond
	// maxEjectedFraction is the largest fraction of a service's upstreams that may be ejected at
	// once. If more of them fail, the cause is not the upstreams.
	maxEjectedFraction = 0.5
)

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
	// Length is how long the call may run at an upstream; 0 if unknown.
	Length time.Duration
	// IsOnlyWaiting is set if no other call waits at this entry. The balancer takes this as a
	// sign that the other entries have no calls waiting for the same slot either, and allows any
	// free slot.
	IsOnlyWaiting bool
}

// group is how well an eligible upstream suits a call, regardless of its load.
type group int

// Groups of eligible upstreams. An upstream of a later group gets calls only if there is none of
// the earlier ones, except that ejected upstreams count as healthy if too many are ejected.
const (
	healthy      group = iota
	ejected            // has failed several calls in a row
	congested          // behind a congested link
	notReporting       // its agent does not report to this entry
	doubtful           // another upstream may be at its address
	limited            // this entry has no permit to send it a call
	groupCount
)

// picker chooses the upstream for one call, in one pass over the upstreams of its service.
type picker struct {
	b             *Balancer
	now           time.Time
	req           *Requirements
	oldestAllowed int64 // version of the weights
	counts        [groupCount]int
	best          [groupCount]*upstream // cheapest with capacity, of each group
	costs         [groupCount]float64   // of best
	leastCosts    [groupCount]float64   // also of those without capacity
	// limitedIn and limitedCost are the group and the cost that the best of the limited ones would have.
	limitedIn   group
	limitedCost float64
	firstReturn time.Time // when the first of those that have a pause may get a call; zero for none
	silenceEnd  time.Time // until when one that does not answer its agent may be sound; zero for none
}

// HasCandidates reports whether an upstream of the service is eligible for the call, whatever its load.
func (b *Balancer) HasCandidates(now time.Time, req Requirements) bool {
	_, _, hasCandidates := b.newPicker(now, &req).result()
	if !hasCandidates {
		b.noteLack(req)
	}
	return hasCandidates
}

// newPicker returns a picker that has considered all upstreams of a service.
func (b *Balancer) newPicker(now time.Time, req *Requirements) *picker {
	p := &picker{b: b, now: now, req: req, oldestAllowed: b.oldestAllowed(now, req.Service)}
	for _, u := range b.byService[req.Service] {
		p.consider(u)
	}
	return p
}

// Pick returns the upstream with the lowest cost among those with capacity. hasCandidates is
// false if no upstream of the service is eligible for the call, whatever its load. If the call would
// rather be sent to an upstream that has named a limit, a request for a permit becomes due.
func (b *Balancer) Pick(now time.Time, req Requirements) (chosen foxtailwharf.Upstream, isFound, hasCandidates bool) {
	p := b.newPicker(now, &req)
	best, bestIn, hasCandidates := p.result()
	if p.wouldPreferLimited(bestIn) {
		b.wantPermit(p.best[limited].limit, bestIn == limited)
	}
	if best == nil {
		b.noteLack(req)
		return chosen, false, hasCandidates
	}
	return best.current(), true, true
}

// noteLack records that a call has found no capacity.
func (b *Balancer) noteLack(req Requirements) {
	if req.NeedsWeights && b.c.OnLack != nil {
		b.c.OnLack()
	}
}

// consider adds an upstream to its group.
func (p *picker) consider(u *upstream) {
	age := u.reportAge(p.now)
	if !p.isEligible(u, age) {
		return
	}
	if !u.isReady(age) {
		p.silenceEnd = latest(p.silenceEnd, u.silenceEnd(p.now))
		return
	}
	if end := u.pause.end(p.now); !end.IsZero() {
		p.firstReturn = earliest(p.firstReturn, end)
		return
	}
	g := p.group(u, age)
	if u.limit != nil && !u.limit.hasPermit(p.now) {
		p.considerLimited(u, g, age)
		return
	}
	p.counts[g]++
	cost := p.cost(u, age)
	if p.counts[g] == 1 || cost < p.leastCosts[g] {
		p.leastCosts[g] = cost
	}
	if !p.hasCapacity(u, age) {
		return
	}
	if p.best[g] == nil || cost < p.costs[g] {
		p.best[g], p.costs[g] = u, cost
	}
}

// considerLimited adds an upstream that needs a permit, unless none is to be had now.
func (p *picker) considerLimited(u *upstream, in group, age time.Duration) {
	if u.limit.retryAt.After(p.now) {
		return
	}
	p.counts[limited]++
	if !p.hasCapacity(u, age) {
		return
	}
	cost := p.cost(u, age)
	if p.best[limited] == nil || in < p.limitedIn || (in == p.limitedIn && cost < p.limitedCost) {
		p.best[limited], p.limitedIn, p.limitedCost = u, in, cost
	}
}

// wouldPreferLimited reports whether an upstream would be chosen if this entry had a permit for it. in is
// the group to which the call is sent, or for which it waits.
func (p *picker) wouldPreferLimited(in group) bool {
	switch {
	case p.best[limited] == nil:
		return false
	case in == limited:
		return true
	default:
		return p.limitedIn < in || (p.limitedIn == in && p.limitedCost < p.leastCosts[in])
	}
}

func (p *picker) group(u *upstream, age time.Duration) group {
	switch {
	case u.isDoubtful(age):
		return doubtful
	case p.req.NeedsWeights && !u.isReporting:
		return notReporting
	case u.isLinkCongested(age):
		return congested
	case u.ejectedUntil.After(p.now):
		return ejected
	default:
		return healthy
	}
}

// result returns the cheapest upstream with capacity of the first group that is not empty, with its
// group; nil if none of that group has capacity.
func (p *picker) result() (best *upstream, in group, hasCandidates bool) {
	sound := p.counts[healthy] + p.counts[ejected]
	switch {
	case sound > 0 && float64(p.counts[ejected]) > maxEjectedFraction*float64(sound):
		in = p.cheaper(healthy, ejected)
		return p.best[in], in, true
	case sound > 0:
		return p.best[healthy], healthy, true
	}
	for g := congested; g < limited; g++ {
		if p.counts[g] > 0 {
			return p.best[g], g, true
		}
	}
	return nil, limited, p.counts[limited] > 0
}

// cheaper returns the one of two groups with the cheaper upstream.
func (p *picker) cheaper(a, b group) group {
	if p.best[a] == nil || (p.best[b] != nil && p.costs[b] < p.costs[a]) {
		return b
	}
	return a
}

// cost returns the cost of an upstream for a call, in calls in flight. The upstream with the
// lowest cost is chosen; a random part below 1 breaks ties.
func (p *picker) cost(u *upstream, age time.Duration) float64 {
	cost := u.inFlight(age)*max(u.load.Slowness, 1) + p.b.c.Random.Float64()
	cost += float64(u.linkDelay(age)) / float64(linkDelayPerCall)
	cost += float64(u.prefillTime(age, p.req)) / float64(prefillTimePerCall)
	cost += loadCost * u.partInLoad(age, p.req.Length)
	if u.FailureDomain != p.b.c.FailureDomain {
		cost += remoteDomainCost
	}
	return cost
}

// hasCapacity reports whether this entry may use one more slot of the upstream.
func (p *picker) hasCapacity(u *upstream, age time.Duration) bool {
	if u.fullUntil.After(p.now) {
		return false
	}
	slots := float64(u.Slots) + p.req.ExtraSlots
	if age > loadLifetime {
		return float64(u.ownInFlight) < min(math.Ceil(slots/float64(p.b.entries)*staleShareFactor), slots)
	}
	if p.req.MaxPrefill > 0 && u.prefillTime(age, p.req) > p.req.MaxPrefill {
		return false
	}
	// Permits share a limited upstream among the entries already.
	return p.b.hasFreeShare(u, slots, p.req.IsOnlyWaiting || u.limit != nil)
}

// hasFreeShare reports whether this entry's share of the slots that the last report says are free
// allows one more call, or all of them if it is the only one with a call waiting.
func (b *Balancer) hasFreeShare(u *upstream, slots float64, isOnlyWaiting bool) bool {
	free := slots - float64(u.load.Running+u.load.Queued)
	entries := b.entries
	if u.load.Listeners > 0 {
		entries = u.load.Listeners
	}
	if entries == 1 || isOnlyWaiting {
		return free-float64(max(u.sentSinceReport, 0)) >= 1
	}
	share := min(shareFactor/float64(entries), 1)
	return math.Floor(max(free, 0)*share+u.shareRounding)-float64(u.sentSinceReport) >= 1 && (free > 0 || u.sentSinceReport < 0)
}

// HasRoom reports whether the last report of an upstream on a machine leaves this entry a slot. It
// is cheaper than Pick and looks at the slots alone.
func (b *Balancer) HasRoom(machine netip.Addr, isOnlyWaiting bool) bool {
	for _, u := range b.byMachine[machine] {
		if b.hasFreeShare(u, float64(u.Slots), isOnlyWaiting) {
			return true
		}
	}
	return false
}

// isEligible reports whether the upstream may get the call at all, once it is ready and regardless of its load.
func (p *picker) isEligible(u *upstream, age time.Duration) bool {
	if u.IsDraining || u.isReplaced() || u.isLeaving || p.req.Exclude[u.ID] {
		return false
	}
	// Engines have agents, which tell which one is at the address.
	if u.isDoubtful(age) && (p.req.NeedsWeights || u.movedUntil.After(p.now)) {
		return false
	}
	return !p.req.NeedsWeights || p.hasAllowedWeights(u, age)
}

func (p *picker) hasAllowedWeights(u *upstream, age time.Duration) bool {
	held := u.weights(age)
	if held == 0 || (p.req.Weights != 0 && held != p.req.Weights) {
		return false
	}
	return held >= p.oldestAllowed
}
