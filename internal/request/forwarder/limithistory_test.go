package forwarder_test

import (
	"fmt"
	"slices"
	"time"

	"github.com/foxtailwharf/foxtailwharf"
)

const (
	// requestGrace is how long a limit for a request still applies after it was replaced, and idleGrace how long one for the
	// time between requests does.
	requestGrace = time.Second
	idleGrace    = 2 * time.Second
	// edge is how far the times of callers and of the entry may be apart: the latency and the last read of a connection.
	edge = 25 * time.Millisecond
)

// period is a time in which limits were in force.
type period struct {
	limits foxtailwharf.CallLimits
	from   time.Time
	until  time.Time // far in the future if they are in force
}

// limitHistory are all periods of a scenario.
type limitHistory []period

// forever is after the end of all scenarios.
var forever = time.Unix(1<<40, 0)

// change replaces the limits in force.
func (h limitHistory) change(next foxtailwharf.CallLimits, now time.Time) limitHistory {
	h = slices.Clone(h)
	if len(h) > 0 {
		h[len(h)-1].until = now
	}
	return append(h, period{limits: next, from: now, until: forever})
}

// at returns the limits in force at a time.
func (h limitHistory) at(t time.Time) foxtailwharf.CallLimits {
	for _, p := range h {
		if t.Before(p.until) {
			return p.limits
		}
	}
	return foxtailwharf.CallLimits{}
}

// largest returns the largest value of a limit that applies at a time. With a margin above 0 limits count that apply for less
// than it, and below 0 only those that apply for longer.
func (h limitHistory) largest(t time.Time, margin time.Duration, of func(l foxtailwharf.CallLimits) int64) (value int64) {
	for _, p := range h {
		if !p.from.After(t.Add(margin)) && p.until.Add(requestGrace).After(t.Add(-margin)) {
			value = max(value, of(p.limits))
		}
	}
	return value
}

// end returns when a phase that began at a time is over.
func (h limitHistory) end(since time.Time, grace time.Duration, of func(l foxtailwharf.CallLimits) time.Duration) time.Time {
	var candidates []time.Time
	for _, p := range h {
		candidates = append(candidates, since.Add(of(p.limits)), p.until.Add(grace))
	}
	slices.SortFunc(candidates, time.Time.Compare)
	for _, t := range candidates {
		if !t.Before(since) && !h.isAlive(since, t, grace, of) {
			return t
		}
	}
	return forever
}

// isAlive reports whether a limit that applies at a time allows a phase that began before.
func (h limitHistory) isAlive(since, t time.Time, grace time.Duration, of func(l foxtailwharf.CallLimits) time.Duration) bool {
	for _, p := range h {
		if !p.from.After(t) && t.Before(p.until.Add(grace)) && t.Before(since.Add(of(p.limits))) {
			return true
		}
	}
	return false
}

func headerBytes(l foxtailwharf.CallLimits) int64           { return int64(l.HeaderBytes) }
func bodyBytes(l foxtailwharf.CallLimits) int64             { return l.BodyBytes }
func headerTimeout(l foxtailwharf.CallLimits) time.Duration { return l.HeaderTimeout }
func idleTimeout(l foxtailwharf.CallLimits) time.Duration   { return l.IdleTimeout }

// early returns the history with all limits put into force some time earlier.
func (h limitHistory) early(by time.Duration) limitHistory {
	h = slices.Clone(h)
	for i := range h {
		h[i].from = h[i].from.Add(-by)
	}
	return h
}

// describe lists the periods.
func (h limitHistory) describe() (text string) {
	for _, p := range h {
		text += fmt.Sprintf("[from %s %d %d %s %s]", p.from.Sub(h[0].from), p.limits.HeaderBytes, p.limits.BodyBytes, p.limits.HeaderTimeout, p.limits.IdleTimeout)
	}
	return text
}
