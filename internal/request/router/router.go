// Package router picks the upstream for a request. Its view lags, so a pick is a
// hint: the agent beside the upstream decides. It does no I/O and holds no clock.
package router

import (
	"math/rand/v2"
	"time"

	"github.com/foxtailwharf/foxtailwharf"
)

// Constants of the router.
const (
	// loadBound is the most that a preferred upstream may exceed the mean load.
	loadBound = 1.25
	// lightLoad is the number of requests up to which a preferred upstream is taken
	// whatever the mean: bounding single requests would scatter prefixes for nothing.
	lightLoad = 2
	// loadMemory is how long a reported load counts.
	loadMemory = 3 * time.Second
	// faultsToEject is the number of consecutive faults after which an upstream is left out.
	faultsToEject = 3
	// ejectTime is how long an upstream is left out at first; it doubles with each time.
	ejectTime = 2 * time.Second
	// maxEjectTime bounds the doubling.
	maxEjectTime = time.Minute
	// closedTime is how long an upstream is left out after its gate was closed.
	closedTime = time.Second
	// farCost is what another failure domain counts for urgent work, in requests.
	farCost = 0.5
	// maxEjected is the part of the upstreams that may be left out at a time.
	maxEjected = 0.5
)

// Config holds the settings of a Router.
type Config struct {
	Policy        foxtailwharf.RoutingPolicy
	FailureDomain string // the entry's own, which goes first
	Random        *rand.Rand
}

// Request is what the choice depends on.
type Request struct {
	Service string
	Version string // digest of the manifest that has to answer; empty for any
	// IsServing leaves out upstreams that serve no version yet.
	IsServing bool
	// IsUrgent sends the request where the least urgent work is, whatever else waits
	// there, for the gate lets it go first.
	IsUrgent bool
	// Affinity is the hash key of the request's prefix; empty for none.
	Affinity string
	// Exclude holds the incarnations that the request has tried.
	Exclude map[string]bool
}

// Router holds the load and the faults of the upstreams, by incarnation.
type Router struct {
	c      Config
	states map[string]*state
	turn   int
}

type state struct {
	inFlight  int // this entry's own requests
	urgent    int // of inFlight, those of the most urgent rank
	load      foxtailwharf.Load
	reported  time.Time
	atReport  int // this entry's own requests when the load was reported
	atUrgent  int // of those, the ones of the most urgent rank
	faults    int
	ejections int
	ejected   time.Time // until when
}

// New returns a router that knows no upstream's load.
func New(c Config) *Router {
	return &Router{c: c, states: make(map[string]*state)}
}

// Pick chooses among instances, which must be agents in a stable order. It
// returns false where none fits.
func (r *Router) Pick(now time.Time, instances []foxtailwharf.Instance, q Request) (foxtailwharf.Instance, bool) {
	fitting := r.fitting(instances, q)
	if len(fitting) == 0 {
		return foxtailwharf.Instance{}, false
	}
	healthy := r.healthy(now, fitting)
	if r.c.Policy == foxtailwharf.RoutingRoundRobin {
		r.turn++
		return *healthy[r.turn%len(healthy)], true
	}
	if q.IsUrgent {
		return *r.leastUrgent(now, healthy), true
	}
	near := r.near(now, healthy)
	if q.Affinity != "" {
		return *r.prefer(now, near, q.Affinity), true
	}
	return *r.lesserOfTwo(now, near), true
}

// fitting returns the instances that may answer at all.
func (r *Router) fitting(instances []foxtailwharf.Instance, q Request) []*foxtailwharf.Instance {
	fitting := make([]*foxtailwharf.Instance, 0, len(instances))
	for n := range instances {
		i := &instances[n]
		isWanted := i.Service == q.Service && !i.IsLeaving && !q.Exclude[i.Incarnation]
		isReady := !q.IsServing || i.Version != ""
		if isWanted && isReady && (q.Version == "" || i.Version == q.Version) {
			fitting = append(fitting, i)
		}
	}
	return fitting
}

// healthy leaves out ejected upstreams, unless they are too many to be at fault
// themselves.
func (r *Router) healthy(now time.Time, fitting []*foxtailwharf.Instance) []*foxtailwharf.Instance {
	healthy := make([]*foxtailwharf.Instance, 0, len(fitting))
	for _, i := range fitting {
		if s, isKnown := r.states[i.Incarnation]; !isKnown || !s.ejected.After(now) {
			healthy = append(healthy, i)
		}
	}
	if float64(len(healthy)) < (1-maxEjected)*float64(len(fitting)) || len(healthy) == 0 {
		return fitting
	}
	return healthy
}

// near returns the upstreams of the own failure domain while they have room, and
// all of them otherwise.
func (r *Router) near(now time.Time, healthy []*foxtailwharf.Instance) []*foxtailwharf.Instance {
	own := make([]*foxtailwharf.Instance, 0, len(healthy))
	hasRoom := false
	for _, i := range healthy {
		if i.FailureDomain != r.c.FailureDomain {
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

// prefer walks the upstreams in the order of their rendezvous scores for a
// prefix and takes the first that is not loaded far above the mean.
func (r *Router) prefer(now time.Time, near []*foxtailwharf.Instance, key string) *foxtailwharf.Instance {
	total := 0.0
	for _, i := range near {
		total += r.Load(now, i.Incarnation)
	}
	bound := loadBound * (total + 1) / float64(len(near))
	best := -1
	var bestScore uint64
	for n, i := range near {
		// One below the bound always exists: not all can be above the mean.
		if r.Load(now, i.Incarnation)+1 > max(bound, lightLoad) {
			continue
		}
		if score := foxtailwharf.Score(key, i.Name); best < 0 || score > bestScore {
			best, bestScore = n, score
		}
	}
	if best < 0 {
		return r.lesserOfTwo(now, near)
	}
	return near[best]
}

// leastUrgent takes the upstream with the least urgent work, in the own failure
// domain first and otherwise at random.
func (r *Router) leastUrgent(now time.Time, healthy []*foxtailwharf.Instance) (best *foxtailwharf.Instance) {
	bestCost := 0.0
	start := r.c.Random.IntN(len(healthy))
	for n := range healthy {
		i := healthy[(start+n)%len(healthy)]
		cost := r.urgentLoad(now, i.Incarnation)
		if i.FailureDomain != r.c.FailureDomain {
			cost += farCost
		}
		if n == 0 || cost < bestCost {
			best, bestCost = i, cost
		}
	}
	return best
}

// urgentLoad estimates an upstream's urgent work as Load does all of it.
func (r *Router) urgentLoad(now time.Time, incarnation string) float64 {
	s, isKnown := r.states[incarnation]
	if !isKnown {
		return 0
	}
	return s.estimate(now, s.urgent, s.load.Urgent-s.atUrgent)
}

// lesserOfTwo takes the less loaded of two random upstreams.
func (r *Router) lesserOfTwo(now time.Time, near []*foxtailwharf.Instance) *foxtailwharf.Instance {
	first := near[r.c.Random.IntN(len(near))]
	second := near[r.c.Random.IntN(len(near))]
	if r.Load(now, second.Incarnation) < r.Load(now, first.Incarnation) {
		return second
	}
	return first
}

// Load estimates an upstream's waiting and running requests: its own report,
// aged, plus what this entry has sent since.
func (r *Router) Load(now time.Time, incarnation string) float64 {
	s, isKnown := r.states[incarnation]
	if !isKnown {
		return 0
	}
	return s.estimate(now, s.inFlight, s.load.Queued+s.load.Running-s.atReport)
}

// estimate adds to this entry's own requests those of others by the last report,
// which counts less as it ages.
func (s *state) estimate(now time.Time, own, others int) float64 {
	age := now.Sub(s.reported)
	if s.reported.IsZero() || age >= loadMemory {
		return float64(own)
	}
	weight := 1 - age.Seconds()/loadMemory.Seconds()
	return float64(own) + weight*max(float64(others), 0)
}

// Sent notes that a request was sent to an upstream.
func (r *Router) Sent(incarnation string, isUrgent bool) {
	s := r.state(incarnation)
	s.inFlight++
	if isUrgent {
		s.urgent++
	}
}

// Returned notes that a request is no longer at an upstream.
func (r *Router) Returned(incarnation string, isUrgent bool) {
	s := r.state(incarnation)
	s.inFlight = max(s.inFlight-1, 0)
	if isUrgent {
		s.urgent = max(s.urgent-1, 0)
	}
}

// Report takes in the load that an upstream's agent told with an answer.
func (r *Router) Report(now time.Time, incarnation string, load foxtailwharf.Load) {
	s := r.state(incarnation)
	s.load = load
	s.reported = now
	s.atReport = s.inFlight
	s.atUrgent = s.urgent
}

// Succeeded notes a whole answer.
func (r *Router) Succeeded(incarnation string) {
	s := r.state(incarnation)
	s.faults = 0
	s.ejections = 0
}

// Failed notes a fault of an upstream; enough of them in a row eject it.
func (r *Router) Failed(now time.Time, incarnation string) {
	s := r.state(incarnation)
	s.faults++
	if s.faults < faultsToEject {
		return
	}
	s.faults = 0
	s.ejected = now.Add(min(ejectTime<<min(s.ejections, 8), maxEjectTime))
	s.ejections++
}

// Closed notes that an upstream's gate takes no requests; it is left out until its
// record tells more.
func (r *Router) Closed(now time.Time, incarnation string) {
	s := r.state(incarnation)
	if until := now.Add(closedTime); until.After(s.ejected) {
		s.ejected = until
	}
}

// Forget drops what is known of incarnations that are no longer there.
func (r *Router) Forget(isThere func(incarnation string) bool) {
	for incarnation, s := range r.states {
		if s.inFlight == 0 && !isThere(incarnation) {
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
