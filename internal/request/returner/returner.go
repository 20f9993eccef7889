// Package returner decides when callers should send a refused call again. It answers two loads.
// While there is more to do than capacity, callers come back spread over the time that they have.
// While no upstream at all can take calls of a service, as after a loss of power, an early return
// is refused again; an outage that has lasted a while is expected to last about as long again. The
// package does no I/O and reads no clock.
package returner

import (
	"math/rand/v2"
	"time"
)

const (
	// maxFraction bounds the time until the return, as a fraction of the time left until the
	// call's deadline. Callers wait for a third of it at the most.
	maxFraction = 0.3
	// minDelay and maxDelay bound the time until the return.
	minDelay = 200 * time.Millisecond
	maxDelay = 2 * time.Second
	// maxSpread is the longest time over which returns are spread while upstreams are busy.
	maxSpread = 1500 * time.Millisecond
	// outageSpread is the part of the delay in an outage over which returns are spread.
	outageSpread = 0.25
)

// Returner holds since when services have been without an upstream. It is not safe for concurrent
// use.
type Returner struct {
	random  *rand.Rand
	outages map[string]time.Time // begin of the outage, by service
}

// New returns a returner that knows of no outage.
func New(random *rand.Rand) *Returner {
	return &Returner{random: random, outages: make(map[string]time.Time)}
}

// NoUpstream records that no upstream could take a call of a service, whatever its load.
func (r *Returner) NoUpstream(now time.Time, service string) {
	if _, isKnown := r.outages[service]; !isKnown {
		r.outages[service] = now
	}
}

// Assigned records that a call of a service was given an upstream.
func (r *Returner) Assigned(service string) {
	delete(r.outages, service)
}

// Delay returns the time until the return of a refused call, given the time left until its
// deadline. It returns 0 if too little is left for a return.
func (r *Returner) Delay(now time.Time, service string, left time.Duration) time.Duration {
	limit := min(time.Duration(float64(left)*maxFraction), maxDelay)
	if limit <= minDelay {
		return 0
	}
	begin, isOutage := r.outages[service]
	if !isOutage {
		return minDelay + time.Duration(r.random.Float64()*float64(min(limit, maxSpread)-minDelay))
	}
	delay := min(max(now.Sub(begin), minDelay), limit)
	return max(delay-time.Duration(r.random.Float64()*outageSpread*float64(delay)), minDelay)
}
