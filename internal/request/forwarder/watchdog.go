package forwarder

import (
	"context"
	"time"
)

// Times of silence after which another upstream is sought, where the call may be repeated, and the
// interval of the checks that every attempt makes.
const (
	// firstEventTimeout applies until the first event of a stream, or until the first part of a
	// buffered answer. Where firstEventTimeoutGoals times the route's goal is longer, that applies.
	firstEventTimeout      = 1200 * time.Millisecond
	firstEventTimeoutGoals = 2.5
	// eventTimeout applies between two events that carry data, and between two parts of a buffered
	// answer. Where eventTimeoutPauses times the route's longest pause is longer, that applies.
	eventTimeout       = 1200 * time.Millisecond
	eventTimeoutPauses = 2
	// patience is how much longer an upstream may be silent until it is given up even without another one,
	// where the call may be repeated and it is not known how long its caller waits for a part of the answer: no
	// sound upstream is silent for so long, and the caller can still repeat its call.
	patience = 1300 * time.Millisecond
	// leaveMargin is how long before its caller leaves a call is given up whose upstream has said nothing: what the
	// upstream may still do is of no use then, and the caller can repeat its call.
	leaveMargin = 300 * time.Millisecond
	// suspectSilence is how long an upstream that does not answer its agent must have been silent.
	suspectSilence = 300 * time.Millisecond
	// upstreamCheckInterval is the longest time between two runs of checkUpstream.
	upstreamCheckInterval = 100 * time.Millisecond
)

// handleSilence seeks another upstream. If it is called again without data in between, it gives up the
// attempt of a call that may be repeated.
func (a *attempt) handleSilence(ctx context.Context) {
	// Data that comes from here on makes the upstream no silent one, or else makes giveUp fail.
	parts := a.arbiter.Parts()
	switch {
	case a.isDone.Load() || !a.isSilent():
	case !a.isSuspect.Swap(true) && a.silenceLeft() > 0:
		a.x.startBackup(ctx, a)
		a.stallTimer.Reset(a.furtherSilence())
	case !a.x.route.IsRepeatable() || a.giveUp(parts, errSilent):
	default:
		a.restartStallTimer()
	}
}

// checkUpstream cancels the attempt if the upstream has ended, or if the weights that it holds may no
// longer begin an answer. If the upstream is silent and does not answer its agent, or may have ended, another one
// is sought.
func (a *attempt) checkUpstream() {
	if a.isDone.Load() {
		return
	}
	// What the upstream had sent before its end is still to be read.
	parts := a.arbiter.Parts()
	if a.isSilent() && a.x.f.c.Assigner.HasEnded(a.upstream, a.startedAt) && a.giveUp(parts, errUpstreamEnded) {
		return
	}
	if a.isSilent() && (a.x.f.c.Assigner.IsSuspect(a.upstream) || a.x.f.c.Assigner.MayHaveEnded(a.upstream)) {
		a.x.startBackup(a.parent, a)
	}
	next := upstreamCheckInterval
	if startDeadline := a.startDeadline(); !startDeadline.IsZero() {
		left := time.Until(startDeadline)
		switch {
		case left > 0:
			next = min(next, left)
		case a.giveUp(0, errWeightsReplaced):
			return
		}
	}
	a.checkTimer.Reset(next)
}

// isSilent reports whether the upstream has sent no data for suspectSilence. A caller that reads slowly does not make it a silent one.
func (a *attempt) isSilent() bool {
	return !a.isWriting.Load() && time.Since(a.x.started)-time.Duration(a.heardAt.Load()) >= suspectSilence
}

// startDeadline returns when the answer must have begun; zero if it has, or if there is no limit.
func (a *attempt) startDeadline() time.Time {
	if a.arbiter.HasBegun() {
		return time.Time{}
	}
	return a.x.f.c.Assigner.StartDeadline(a.upstream)
}

// firstEventLimit returns how long the upstream may be silent before its answer begins until another one is
// sought.
func (a *attempt) firstEventLimit() time.Duration {
	limit := time.Duration(float64(a.x.route.Goal) * firstEventTimeoutGoals)
	return max(firstEventTimeout, min(limit, a.silenceLeft()))
}

// silenceLeft returns how much longer the upstream may be silent. A call is given up before its caller leaves, and can be
// refused; an answer that has begun can only be broken off, and is left to its upstream for as long as the caller waits.
func (a *attempt) silenceLeft() time.Duration {
	hasHead := a.x.progress.hasHead()
	switch {
	case hasHead && a.x.route.Patience > 0:
		return time.Until(a.x.callerHeardAt().Add(a.x.route.Patience)) + leaveMargin
	case hasHead:
		return patience
	case a.x.route.Patience > 0:
		return time.Until(earlier(a.x.leavesAt, a.x.started.Add(a.x.route.Patience))) - leaveMargin
	default:
		return time.Until(a.x.leavesAt) - leaveMargin
	}
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

// furtherSilence returns how long the upstream may still be silent once another one is sought.
func (a *attempt) furtherSilence() time.Duration {
	if a.x.route.Patience > 0 {
		return a.silenceLeft()
	}
	return min(patience, a.silenceLeft())
}

// callerHeardAt returns when the caller got the last part of the answer with data, or when it sent the call.
func (x *exchange) callerHeardAt() time.Time {
	if at := x.progress.lastData(); !at.IsZero() {
		return at
	}
	return x.started
}

// resetStallTimer restarts the stall timer after an event or a part of an answer.
func (a *attempt) resetStallTimer() {
	a.isSuspect.Store(false)
	a.heardAt.Store(int64(time.Since(a.x.started)))
	a.restartStallTimer()
}

func (a *attempt) restartStallTimer() {
	a.stallTimer.Reset(max(eventTimeout, eventTimeoutPauses*a.x.route.Gap))
}
