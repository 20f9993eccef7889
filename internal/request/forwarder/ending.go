package forwarder

import (
	"context"
	"net/http"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"github.com/foxtailwharf/foxtailwharf"
	"github.com/foxtailwharf/foxtailwharf/internal/connection/callerlimiter"
	"github.com/foxtailwharf/foxtailwharf/internal/connection/finisher"
	"github.com/foxtailwharf/foxtailwharf/internal/process/meter"
	"github.com/foxtailwharf/foxtailwharf/internal/request/explainer"
	"github.com/foxtailwharf/foxtailwharf/internal/request/refuser"
)

// finish ends a call that no attempt has delivered.
func (x *exchange) finish(ctx context.Context, refusal *foxtailwharf.Refusal) {
	switch {
	case x.progress.hasHead():
		x.recordUnanswered("answer to the caller aborted after its head was sent", x.cause(ctx, nil), zap.String("LastEvent", x.progress.position().lastEvent))
		// Aborts the connection, so that the caller does not take the truncated answer for
		// complete.
		panic(http.ErrAbortHandler)
	case x.progress.serverError() != nil:
		x.writeBuffered(x.progress.serverError())
		x.hasEnded = true
	default:
		x.refuseLate(x.cause(ctx, nil), x.finalRefusal(ctx, refusal))
	}
}

// finalRefusal returns the refusal of a call that no attempt has delivered. The given one is of the last search for an
// upstream; nil if there was none.
func (x *exchange) finalRefusal(ctx context.Context, refusal *foxtailwharf.Refusal) *foxtailwharf.Refusal {
	switch {
	case x.progress.hasUnknown() && !x.route.IsRepeatable():
		return foxtailwharf.OutcomeUnknown(x.unknownReason(ctx), "the call may have run, and its outcome is unknown")
	case x.progress.hasUnknown():
		return foxtailwharf.OutcomeUnknown(x.unknownReason(ctx), "no upstream sent a complete answer")
	case errors.Is(context.Cause(ctx), errQuarantined):
		return quarantined(x.f.quarantinedFor(x))
	case errors.Is(context.Cause(ctx), finisher.ErrEnding):
		return leavingRefusal()
	case refusal != nil:
		return refusal
	default:
		return x.f.c.Assigner.NotAccepted(x.assignerRequest(x.progress.position(), x.excluded, x.waitUntil()))
	}
}

// quarantined returns the refusal of a call that would crash the upstream.
func quarantined(remaining time.Duration) *foxtailwharf.Refusal {
	return notRunRetryAfter(foxtailwharf.ReasonQuarantined, "requests like this one crashed the upstreams that ran them", remaining)
}

func (x *exchange) unknownReason(ctx context.Context) foxtailwharf.Reason {
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return foxtailwharf.ReasonDeadline
	}
	return foxtailwharf.ReasonOutcomeUnknown
}

// returnDelay returns when the caller of a call that has not run should come back: within the time left until the
// deadline, or if that is too short, within the time that a new call would have. It returns 0 for a caller whose
// own limit leaves no time for a return.
func (x *exchange) returnDelay() time.Duration {
	if delay := x.f.returnDelay(x.service.Name, time.Until(x.deadline)); delay > 0 {
		return delay
	}
	if x.call.CallerTimeout > 0 {
		return x.f.returnDelay(x.service.Name, time.Until(x.started.Add(x.call.CallerTimeout)))
	}
	return x.f.returnDelay(x.service.Name, x.timeout())
}

// refuse answers with a refusal.
func (x *exchange) refuse(refusal *foxtailwharf.Refusal) {
	x.completeRefusal(refusal)
	x.recordRefused(refusal)
	x.writeRefusal(refusal)
}

// refuseLate answers with the refusal of a call that has waited or may have run. If the caller has left, that is
// recorded in place of the refusal, which is written all the same: the caller may have closed only its side of the
// connection.
func (x *exchange) refuseLate(cause explainer.Cause, refusal *foxtailwharf.Refusal) {
	x.completeRefusal(refusal)
	switch {
	case cause == explainer.CauseCallerLeft:
		x.recordUnanswered("caller left before its answer began", cause, refusalFields(refusal)...)
	case refusal.IsNotRun:
		x.recordRefused(refusal)
	default:
		x.recordRefused(refusal, x.causeFields(cause)...)
	}
	x.writeRefusal(refusal)
}

// completeRefusal sets a Retry-After if the call has not run and the refusal has none.
func (x *exchange) completeRefusal(refusal *foxtailwharf.Refusal) {
	if refusal.IsNotRun && refusal.RetryAfter == 0 && !x.deadline.IsZero() {
		refusal.RetryAfter = x.returnDelay()
	}
}

// recordRefused logs and counts a refusal.
func (x *exchange) recordRefused(refusal *foxtailwharf.Refusal, fields ...zap.Field) {
	if x.hasBodyFailed {
		fields = append(fields, readFields(x.connection.LastReadEnd())...)
	}
	x.log("refused", append(refusalFields(refusal), fields...)...)
	x.f.c.Meter.Increment(meter.CounterRefused + string(refusal.Reason))
}

func refusalFields(refusal *foxtailwharf.Refusal) []zap.Field {
	return []zap.Field{
		zap.String("Reason", string(refusal.Reason)), zap.String("Detail", refusal.Detail), zap.Bool("NotRun", refusal.IsNotRun),
		zap.Duration("RetryAfter", refusal.RetryAfter),
	}
}

func (x *exchange) writeRefusal(refusal *foxtailwharf.Refusal) {
	x.hasEnded = true
	x.boundWrite()
	x.closeIfLeaving()
	refuser.WriteDirect(x.w, refusal)
}

// cause returns why the call ends without a whole answer. err is of the last write to the caller; nil if it was
// written.
func (x *exchange) cause(ctx context.Context, err error) explainer.Cause {
	return causeOf(ending{
		write: err, call: context.Cause(ctx), last: x.progress.lastFailure(), isBounded: x.isBounded, isLeaving: x.f.leaving.Load(),
	})
}

// causeFields returns the log fields that tell why the call ends without a whole answer and how much time it had left.
func (x *exchange) causeFields(cause explainer.Cause) []zap.Field {
	return []zap.Field{zap.String("Cause", string(cause)), zap.Duration("Left", time.Until(x.deadline))}
}

// recordUnanswered logs and counts that the call, which was read whole, ends without a whole answer or refusal.
func (x *exchange) recordUnanswered(message string, cause explainer.Cause, fields ...zap.Field) {
	x.hasEnded = true
	x.f.c.Meter.Increment(meter.CounterUnanswered + string(cause))
	fields = append(fields, x.causeFields(cause)...)
	fields = append(fields, readFields(x.connection.LastReadEnd())...)
	x.log(message, append(fields, zap.Bool("Leaving", x.f.leaving.Load()), zap.Duration("SinceChange", x.f.sinceChange()))...)
}

// readFields returns the log fields that tell a caller that has left from a read of its connection that has failed
// otherwise, as at a deadline. Both cancel the call.
func readFields(e callerlimiter.ReadEnd) []zap.Field {
	if e.Err == nil {
		return nil
	}
	fields := []zap.Field{zap.NamedError("ReadError", e.Err), zap.Stringer("ReadPhase", e.Phase), zap.Duration("SinceRead", time.Since(e.At))}
	if !e.Deadline.IsZero() {
		fields = append(fields, zap.Duration("ReadTimeLeft", e.Deadline.Sub(e.At)))
	}
	return fields
}

// checkEnd records a call that the handler leaves without an answer, a refusal or the record of their lack, as after a
// panic.
func (x *exchange) checkEnd() {
	if !x.hasEnded {
		x.recordUnanswered("ended without an answer", explainer.CauseUnknown)
	}
}
