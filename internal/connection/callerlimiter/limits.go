package callerlimiter

import (
	"time"

	"github.com/foxtailwharf/foxtailwharf"
)

const (
	// changeGrace is how long limits for requests that were replaced still apply where they allow more, because
	// callers may not know the new ones yet.
	changeGrace = time.Second
	// idleGrace is the same for idle connections. It is as long as callers may take to learn the new limits, so that none of
	// them sends a request on a connection that is being closed.
	idleGrace = 2 * time.Second
	// maxReplaced bounds the limits that are kept after they were replaced. The oldest one goes first.
	maxReplaced = 64
)

// Limits are the limits in force and, for a while, those before them.
type Limits struct {
	Current  foxtailwharf.CallLimits
	replaced []replacedLimits // the oldest one first; not changed once it is set
}

// replacedLimits are limits that are not in force any more.
type replacedLimits struct {
	foxtailwharf.CallLimits
	at time.Time // when they were replaced
}

// Changed returns the limits after a change at a time. Each of the limits before has a grace period of its own.
func (l Limits) Changed(next foxtailwharf.CallLimits, now time.Time) Limits {
	replaced := make([]replacedLimits, 0, len(l.replaced)+1)
	for _, r := range l.replaced {
		if now.Before(r.graceEnd(PhaseIdle)) {
			replaced = append(replaced, r)
		}
	}
	replaced = append(replaced, replacedLimits{CallLimits: l.Current, at: now})
	return Limits{Current: next, replaced: replaced[max(len(replaced)-maxReplaced, 0):]}
}

// graceEnd returns when the limits do not apply to a phase any more.
func (r replacedLimits) graceEnd(p Phase) time.Time {
	if p == PhaseIdle {
		return r.at.Add(idleGrace)
	}
	return r.at.Add(changeGrace)
}

// At returns what callers may do at a time.
func (l Limits) At(now time.Time) foxtailwharf.CallLimits {
	limits := l.Current
	for _, r := range l.replaced {
		if now.Before(r.graceEnd(PhaseIdle)) {
			limits.IdleTimeout = max(limits.IdleTimeout, r.IdleTimeout)
		}
		if now.Before(r.graceEnd(PhaseHead)) {
			limits.HeaderBytes = max(limits.HeaderBytes, r.HeaderBytes)
			limits.BodyBytes = max(limits.BodyBytes, r.BodyBytes)
			limits.HeaderTimeout = max(limits.HeaderTimeout, r.HeaderTimeout)
		}
	}
	return limits
}

// Phase is what a connection is doing.
type Phase int

// Phases of a connection. A new connection is idle until the first byte of a head.
const (
	PhaseIdle Phase = iota
	PhaseHead
	PhaseServing // from the end of a head until its answer is written
)

// String returns the name of the phase.
func (p Phase) String() string {
	switch p {
	case PhaseIdle:
		return "Idle"
	case PhaseHead:
		return "Head"
	default:
		return "Serving"
	}
}

// Deadline returns when a phase that began at a time ends. It is zero for a phase without limit.
func (l Limits) Deadline(p Phase, since time.Time) time.Time {
	if p == PhaseServing {
		return time.Time{}
	}
	deadline := since.Add(timeout(l.Current, p))
	for _, r := range l.replaced {
		deadline = latest(deadline, earliest(since.Add(timeout(r.CallLimits, p)), r.graceEnd(p)))
	}
	return deadline
}

// timeout returns how long a phase may take.
func timeout(l foxtailwharf.CallLimits, p Phase) time.Duration {
	if p == PhaseHead {
		return l.HeaderTimeout
	}
	return l.IdleTimeout
}

func latest(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

func earliest(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}
