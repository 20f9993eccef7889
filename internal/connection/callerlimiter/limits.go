package callerlimiter

import (
	"time"

	"github.com/foxtailwharf/foxtailwharf"
)

// changeGrace is how long the limits before a change still apply where they allow more, because
// callers may not know the new ones yet.
const changeGrace = time.Second

// Limits are the limits in force and, for a while, those before the last change.
type Limits struct {
	Current  foxtailwharf.CallLimits
	Previous foxtailwharf.CallLimits // apply until GraceEnd where they allow more
	GraceEnd time.Time
}

// Changed returns the limits after a change at a time.
func (l Limits) Changed(next foxtailwharf.CallLimits, now time.Time) Limits {
	return Limits{Current: next, Previous: l.At(now), GraceEnd: now.Add(changeGrace)}
}

// At returns what callers may do at a time.
func (l Limits) At(now time.Time) foxtailwharf.CallLimits {
	if !now.Before(l.GraceEnd) {
		return l.Current
	}
	return foxtailwharf.CallLimits{
		HeaderBytes:   max(l.Current.HeaderBytes, l.Previous.HeaderBytes),
		BodyBytes:     max(l.Current.BodyBytes, l.Previous.BodyBytes),
		HeaderTimeout: max(l.Current.HeaderTimeout, l.Previous.HeaderTimeout),
		IdleTimeout:   max(l.Current.IdleTimeout, l.Previous.IdleTimeout),
	}
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
	switch p {
	case PhaseIdle:
		return l.after(since, l.Current.IdleTimeout, l.Previous.IdleTimeout)
	case PhaseHead:
		return l.after(since, l.Current.HeaderTimeout, l.Previous.HeaderTimeout)
	default:
		return time.Time{}
	}
}

// after adds the current limit to a time, or what is left of the previous limit within the grace
// period if that is later.
func (l Limits) after(since time.Time, current, previous time.Duration) time.Time {
	lenient := since.Add(previous)
	if lenient.After(l.GraceEnd) {
		lenient = l.GraceEnd
	}
	if deadline := since.Add(current); deadline.After(lenient) {
		return deadline
	}
	return lenient
}
