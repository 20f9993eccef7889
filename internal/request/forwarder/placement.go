package forwarder

import (
	"time"

	"github.com/foxtailwharf/foxtailwharf/internal/request/assigner"
	"github.com/foxtailwharf/foxtailwharf/internal/request/balancer"
	"github.com/foxtailwharf/foxtailwharf/internal/request/predictor"
	"github.com/foxtailwharf/foxtailwharf/internal/request/queuer"
)

const (
	// firstEventOverhead is the time from the start of a call at an upstream to its first event,
	// not counting the reading of the prompt.
	firstEventOverhead = 90 * time.Millisecond
	// maxQueueFraction is the fraction of the time until its deadline for which a call may wait
	// for an engine with capacity. Calls to plain services may wait until their latest start.
	maxQueueFraction = 0.45
	// overdueFraction is the fraction of the time until its deadline after which a call to a plain service gets
	// turns before newer ones, minOverdue the least time. A call that may wait for less is refused soon, and its
	// caller comes back as a new one.
	overdueFraction = 0.4
	minOverdue      = 2 * time.Second
)

// waitUntil returns until when a call may wait for an upstream. One that may have run waits until its deadline: a
// refusal would not be true any more.
func (x *exchange) waitUntil() time.Time {
	latest := x.deadline
	if !x.progress.hasUnknown() {
		latest = x.f.latestStart(x)
	}
	if x.service.Engine == nil {
		return latest
	}
	queueEnd := x.started.Add(time.Duration(float64(x.deadline.Sub(x.started)) * maxQueueFraction))
	if queueEnd.Before(latest) {
		return queueEnd
	}
	return latest
}

// isTooLate reports whether a call that has not run is not likely to be answered any more if it is sent now.
func (x *exchange) isTooLate() bool {
	return !x.progress.hasUnknown() && time.Now().After(x.f.latestStart(x))
}

// kind returns the kind of calls that take about as long as this one.
func (x *exchange) kind() predictor.Kind {
	return predictor.Kind{Route: x.route.Name, Service: x.service.Name}
}

// assignerRequest describes to the assigner an attempt that goes on from a position.
func (x *exchange) assignerRequest(from position, excluded map[string]bool, waitUntil time.Time) assigner.Request {
	firstEventTime := firstEventOverhead
	if e := x.service.Engine; e != nil && e.ReadRate > 0 {
		firstEventTime += time.Duration(float64(x.call.PromptTokens) / e.ReadRate * float64(time.Second))
	}
	request := assigner.Request{
		Requirements: balancer.Requirements{
			Service:      x.service.Name,
			Exclude:      excluded,
			NeedsWeights: x.service.Engine != nil,
			Weights:      from.weights,
		},
		Rank:      x.rank,
		Arrived:   x.started,
		StartBy:   x.started.Add(x.route.Goal - firstEventTime),
		WaitUntil: waitUntil,
		Deadline:  x.deadline,
	}
	if x.service.Engine == nil {
		request.OverdueAt = x.started.Add(max(time.Duration(float64(x.deadline.Sub(x.started))*overdueFraction), minOverdue))
		request.Requirements.ExtraSlots = plainQueueSlots
	} else {
		request.Requirements.ExtraSlots = modelExtraSlots(x.rank)
		request.Requirements.Tokens = x.call.PromptTokens
		request.Requirements.ReadPace = x.service.Engine.ReadPace()
		request.Requirements.MaxPrefill = maxPrefill(x.rank)
		request.Requirements.Length = x.length()
	}
	return request
}

// length returns how long the call may run at an upstream. Without an estimate, a call that may run only once
// may take the time that is left.
func (x *exchange) length() time.Duration {
	left := time.Until(x.deadline)
	x.f.mu.Lock()
	length, isKnown := x.f.predictor.Length(x.kind())
	x.f.mu.Unlock()
	switch {
	case isKnown:
		return min(length, left)
	case x.route.IsRepeatable():
		return 0
	default:
		return left
	}
}

// maxPrefill returns the longest backlog of unread prompts (prefill) with which an engine may
// still be assigned the call; 0 for no limit. The limits for lower priorities keep the backlogs
// short for calls of the highest priority, whose first token waits for all prompts before theirs.
func maxPrefill(rank queuer.Rank) time.Duration {
	switch rank.Route {
	case 0:
		return 0
	case 1:
		return maxPrefillSecond
	default:
		return maxPrefillOthers
	}
}

// Prefill limits by route priority: a quarter of the goal of the most urgent kind of call, and
// half of that.
const (
	maxPrefillSecond = 100 * time.Millisecond
	maxPrefillOthers = 50 * time.Millisecond
)

// plainQueueSlots is how many calls may queue at an upstream of a plain service beyond its slots.
const plainQueueSlots = 6

// modelExtraSlots returns how many calls of a rank may be at an engine beyond its slots. It is
// negative for lower priorities, which leave slots free for those above them.
func modelExtraSlots(rank queuer.Rank) float64 {
	return max(urgentExtraSlots-float64(rank.Route)*reservedPerPriority, -maxReserved)
}

// Slots at an engine by route priority. Each priority below the highest leaves
// reservedPerPriority slots more free, up to maxReserved. With urgentExtraSlots above 0, calls of
// the highest priority would queue at the engine, so that no slot idles between two reports of its
// agent.
const (
	urgentExtraSlots    = 0
	reservedPerPriority = 1
	maxReserved         = 2
)
