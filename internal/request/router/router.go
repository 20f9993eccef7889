// Package router picks the upstream for a request. Its view of the load lags, so a pick is a
// hint: the agent beside the upstream makes the decision. The package does no I/O and takes the
// time as an argument.
package router

import (
	"math/rand/v2"
	"time"

	"github.com/foxtailwharf/foxtailwharf"
)

const (
	// loadBound is the largest load of a preferred upstream relative to the mean load. One request
	// more than the mean is always allowed.
	loadBound = 1.25
	// minLoadBound is the number of requests up to which an upstream that has the prefix is taken
	// regardless of the mean load. While the load is this low, sending the request elsewhere gains
	// nothing and loses the cached prefix.
	minLoadBound = 2
	// loadTTL is how long a reported load counts. Its weight falls linearly to zero.
	loadTTL = 3 * time.Second
	// faultsToEject is the number of consecutive faults that eject an upstream.
	faultsToEject = 3
	// baseEjectTime is how long an upstream is ejected the first time. It doubles with each
	// ejection.
	baseEjectTime = 2 * time.Second
	// maxEjectTime bounds the doubling of baseEjectTime.
	maxEjectTime = time.Minute
	// closedEjectTime is how long an upstream is ejected after its agent refused a request because
	// it accepts none for now.
	closedEjectTime = time.Second
	// remoteCost is what another failure domain costs an urgent request, in requests.
	remoteCost = 0.5
	// maxEjectedRatio is the part of the upstreams, 0 to 1, that may be ejected at a time.
	maxEjectedRatio = 0.5
)

// Config holds the settings of a Router.
type Config struct {
	Policy        foxtailwharf.RoutingPolicy
	FailureDomain string // the entry's own, which is preferred
	Random        *rand.Rand
}

// Request holds the properties of a request on which the choice depends.
type Request struct {
	Service string
	Version string // digest of the manifest that must be loaded; empty for any
	// IsServing excludes upstreams that serve no version yet.
	IsServing bool
	// IsUrgent selects the upstream with the least urgent work, regardless of its other load,
	// because the agent's queue lets the request go first.
	IsUrgent bool
	// Affinity is the hash key of the request's prefix; empty for none.
	Affinity string
	// Exclude holds the incarnations that must not be picked, such as those that were tried.
	Exclude map[string]bool
}

// Router tracks the load and the faults of the upstreams by incarnation. It is not safe for
// concurrent use.
type Router struct {
	config Config
	states map[string]*state
	turn   int
}

type state struct {
	inFlight         int // this entry's own requests
	urgent           int // of inFlight, those of the most urgent rank
	load             foxtailwharf.Load
	reported         time.Time
	inFlightAtReport int // inFlight at the time of the report
	urgentAtReport   int // urgent at the time of the report
	faults           int
	ejections        int
	ejectedUntil     time.Time
}

// New returns a router without load or fault data.
func New(config Config) *Router {
	return &Router{config: config, states: make(map[string]*state)}
}

// Pick chooses among instances, which must be agents in a stable order. It returns false if none
// is eligible.
func (r *Router) Pick(now time.Time, instances []foxtailwharf.Instance, q Request) (foxtailwharf.Instance, bool) {
	eligible := r.eligible(instances, q)
	if len(eligible) == 0 {
		return foxtailwharf.Instance{}, false
	}
	healthy := r.healthy(now, eligible)
	if r.config.Policy == foxtailwharf.RoutingRoundRobin {
		r.turn++
		return *healthy[r.turn%len(healthy)], true
	}
	if q.IsUrgent {
		return *r.leastUrgent(now, healthy), true
	}
	local := r.local(now, healthy)
	if q.Affinity != "" {
		return *r.pickByAffinity(now, local, q.Affinity), true
	}
	return *r.lessLoadedOfTwo(now, local), true
}

// eligible returns the instances that may serve the request.
func (r *Router) eligible(instances []foxtailwharf.Instance, q Request) []*foxtailwharf.Instance {
	eligible := make([]*foxtailwharf.Instance, 0, len(instances))
	for n := range instances {
		i := &instances[n]
		isWanted := i.Service == q.Service && !i.IsLeaving && !q.Exclude[i.Incarnation]
		isReady := !q.IsServing || i.Version != ""
		if isWanted && isReady && (q.Version == "" || i.Version == q.Version) {
			eligible = append(eligible, i)
		}
	}
	return eligible
}

// healthy returns the upstreams that are not ejected, or all of them if so many are ejected that
// the upstreams themselves are unlikely to be at fault.
func (r *Router) healthy(now time.Time, eligible []*foxtailwharf.Instance) []*foxtailwharf.Instance {
	healthy := make([]*foxtailwharf.Instance, 0, len(eligible))
	for _, i := range eligible {
		if s, isKnown := r.states[i.Incarnation]; !isKnown || !s.ejectedUntil.After(now) {
			healthy = append(healthy, i)
		}
	}
	if float64(len(healthy)) < (1-maxEjectedRatio)*float64(len(eligible)) || len(healthy) == 0 {
		return eligible
	}
	return healthy
}

// local returns the upstreams of the entry's own failure domain if one of them has a free slot,
// and all of them otherwise.
func (r *Router) local(now time.Time, healthy []*foxtailwharf.Instance) []*foxtailwharf.Instance {
	own := make([]*foxtailwharf.Instance, 0, len(healthy))
	hasRoom := false
	for _, i := range healthy {
		if i.FailureDomain != r.config.FailureDomain {
			continue
		}
		own = append(own, i)
		hasRoom = hasRoom || r.hasRoom(now, i)
	}
	if hasRoom {
		return own
	}
	return healthy
}

func (r *Router) hasRoom(now time.Time, i *foxtailwharf.Instance) bool {
	s, isKnown := r.states[i.Incarnation]
	return !isKnown || s.load.Slots == 0 || r.Load(now, i.Incarnation) < float64(s.load.Slots)
}

// pickByAffinity returns the upstream with the highest rendezvous score for a key among those
// that are not loaded far above the mean.
func (r *Router) pickByAffinity(now time.Time, local []*foxtailwharf.Instance, key string) (best *foxtailwharf.Instance) {
	mean := 1 / float64(len(local))
	for _, i := range local {
		mean += r.Load(now, i.Incarnation) / float64(len(local))
	}
	// The least loaded upstream is always within the bound.
	bound := max(loadBound*mean, mean+1, minLoadBound)
	var bestScore uint64
	for _, i := range local {
		if r.Load(now, i.Incarnation)+1 > bound {
			continue
		}
		if score := foxtailwharf.RendezvousScore(key, i.Name); best == nil || score > bestScore {
			best, bestScore = i, score
		}
	}
	return best
}

// leastUrgent returns the upstream with the least urgent work, after adding remoteCost for other
// failure domains. The random start breaks ties.
func (r *Router) leastUrgent(now time.Time, healthy []*foxtailwharf.Instance) (best *foxtailwharf.Instance) {
	bestCost := 0.0
	start := r.config.Random.IntN(len(healthy))
	for n := range healthy {
		i := healthy[(start+n)%len(healthy)]
		cost := r.urgentLoad(now, i.Incarnation)
		if i.FailureDomain != r.config.FailureDomain {
			cost += remoteCost
		}
		if n == 0 || cost < bestCost {
			best, bestCost = i, cost
		}
	}
	return best
}

// urgentLoad estimates the urgent requests at an upstream, as Load does for all requests.
func (r *Router) urgentLoad(now time.Time, incarnation string) float64 {
	s, isKnown := r.states[incarnation]
	if !isKnown {
		return 0
	}
	return s.estimate(now, s.urgent, s.load.Urgent-s.urgentAtReport)
}

// lessLoadedOfTwo returns the less loaded of two random upstreams.
func (r *Router) lessLoadedOfTwo(now time.Time, local []*foxtailwharf.Instance) *foxtailwharf.Instance {
	first := local[r.config.Random.IntN(len(local))]
	second := local[r.config.Random.IntN(len(local))]
	if r.Load(now, second.Incarnation) < r.Load(now, first.Incarnation) {
		return second
	}
	return first
}

// Load estimates the waiting and running requests at an upstream: this entry's own in flight plus
// those of others by the last report, which counts less as it ages. It is 0 for an unknown
// incarnation.
func (r *Router) Load(now time.Time, incarnation string) float64 {
	s, isKnown := r.states[incarnation]
	if !isKnown {
		return 0
	}
	return s.estimate(now, s.inFlight, s.load.Queued+s.load.Running-s.inFlightAtReport)
}

// estimate adds the requests of other entries, weighted by the age of the last report, to this
// entry's own.
func (s *state) estimate(now time.Time, own, others int) float64 {
	age := now.Sub(s.reported)
	if s.reported.IsZero() || age >= loadTTL {
		return float64(own)
	}
	weight := 1 - age.Seconds()/loadTTL.Seconds()
	return float64(own) + weight*max(float64(others), 0)
}

// Sent records that a request was sent to an upstream.
func (r *Router) Sent(incarnation string, isUrgent bool) {
	s := r.state(incarnation)
	s.inFlight++
	if isUrgent {
		s.urgent++
	}
}

// Returned records that a request is no longer in flight to an upstream.
func (r *Router) Returned(incarnation string, isUrgent bool) {
	s := r.state(incarnation)
	s.inFlight = max(s.inFlight-1, 0)
	if isUrgent {
		s.urgent = max(s.urgent-1, 0)
	}
}

// Report records the load that an upstream's agent reported.
func (r *Router) Report(now time.Time, incarnation string, load foxtailwharf.Load) {
	s := r.state(incarnation)
	s.load = load
	s.reported = now
	s.inFlightAtReport = s.inFlight
	s.urgentAtReport = s.urgent
}

// Succeeded records a complete response. It resets the fault count, and the length of the next
// ejection to baseEjectTime.
func (r *Router) Succeeded(incarnation string) {
	s := r.state(incarnation)
	s.faults = 0
	s.ejections = 0
}

// Failed records a fault of an upstream. Enough consecutive faults eject it.
func (r *Router) Failed(now time.Time, incarnation string) {
	s := r.state(incarnation)
	s.faults++
	if s.faults < faultsToEject {
		return
	}
	s.faults = 0
	s.ejectedUntil = now.Add(min(baseEjectTime<<min(s.ejections, 8), maxEjectTime))
	s.ejections++
}

// Closed records that an upstream's agent accepts no requests for now. The upstream is ejected
// for a short time, until its instance record is up to date.
func (r *Router) Closed(now time.Time, incarnation string) {
	s := r.state(incarnation)
	if until := now.Add(closedEjectTime); until.After(s.ejectedUntil) {
		s.ejectedUntil = until
	}
}

// Forget deletes the state of incarnations that no longer exist and have no request in flight.
func (r *Router) Forget(exists func(incarnation string) bool) {
	for incarnation, s := range r.states {
		if s.inFlight == 0 && !exists(incarnation) {
			delete(r.states, incarnation)
		}
	}
}

func (r *Router) state(incarnation string) *state {
	s, isKnown := r.states[incarnation]
	if !isKnown {
		s = &state{}
		r.states[incarnation] = s
	}
	return s
}
