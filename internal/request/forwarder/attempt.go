package forwarder

import (
	"context"
	"io"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"github.com/foxtailwharf/foxtailwharf"
	"github.com/foxtailwharf/foxtailwharf/internal/connection/requester"
	"github.com/foxtailwharf/foxtailwharf/internal/process/meter"
	"github.com/foxtailwharf/foxtailwharf/internal/request/balancer"
	"github.com/foxtailwharf/foxtailwharf/internal/request/splitter"
)

// Timeouts after which a stalled upstream is abandoned, which apply only while the call may be
// retried at another upstream, and the interval of the checks that every attempt makes.
const (
	// firstEventTimeout applies until the first event of a stream, or until the first part of a
	// buffered answer. Where firstEventTimeoutGoals times the route's goal is longer, that applies.
	firstEventTimeout      = 1200 * time.Millisecond
	firstEventTimeoutGoals = 2.5
	// eventTimeout applies between two events that carry data, and between two parts of a buffered
	// answer. Where eventTimeoutPauses times the route's longest pause is longer, that applies.
	eventTimeout       = 1200 * time.Millisecond
	eventTimeoutPauses = 2
	// maxDrainBytes and drainTimeout bound the rest of an answer that is read only to keep the
	// connection. Beyond them the connection is closed.
	maxDrainBytes = 64 << 10
	drainTimeout  = 100 * time.Millisecond
	// upstreamCheckInterval is the longest time between two runs of checkUpstream.
	upstreamCheckInterval = 100 * time.Millisecond
)

// Causes with which the context of an attempt is canceled.
var (
	errStalled         = errors.New("upstream sent no data in time")
	errUpstreamEnded   = errors.New("upstream has ended")
	errWeightsReplaced = errors.New("upstream still holds weights that have been replaced")
)

// attempt sends a call once to one upstream.
type attempt struct {
	x          *exchange
	upstream   foxtailwharf.Upstream
	cancel     context.CancelCauseFunc
	stallTimer *time.Timer
	checkTimer *time.Timer
	isDone     atomic.Bool
	hasEvent   atomic.Bool // an event was received
}

// run makes the attempt. It returns the outcome for the call and the result for the upstream.
func (a *attempt) run(ctx context.Context) (outcome, balancer.Result) {
	var attemptCtx context.Context
	attemptCtx, a.cancel = context.WithCancelCause(ctx)
	defer a.cancel(nil)
	a.startWatchdog()
	defer a.stopWatchdog()
	if a.x.service.Engine != nil {
		a.x.f.c.NotifyAgent(a.upstream, a.x.call.PromptTokens)
	}
	sentAt := time.Now()
	answer, err := a.x.f.c.Requester.Do(attemptCtx, a.request())
	if err != nil {
		return a.handleSendError(attemptCtx, err)
	}
	defer answer.Close()
	reply := a.x.f.c.Dialect.ReadReply(a.x.call.ID, answer.Status, answer.Header)
	if a.x.f.c.Assigner.HandleReply(a.upstream.ID, sentAt, reply) {
		a.log("upstream has changed its limit", zap.Bool("HasLimit", reply.HasLimit), zap.Float64("PerSecond", reply.Limit))
	}
	switch {
	case reply.IsNotRun:
		return a.handleRejected(answer, reply)
	case !reply.IsAuthentic:
		a.x.runs++
		a.x.f.c.Meter.Increment(meter.CounterMismatchedAnswers)
		a.log("answer does not belong to this call or is not signed by the upstream", zap.Int("Status", answer.Status))
		return unknown, balancer.Failed
	}
	a.x.runs++
	if a.x.route.Kind == foxtailwharf.CallStream && answer.Status == http.StatusOK {
		return a.forwardStream(attemptCtx, answer, reply)
	}
	return a.forwardBuffered(attemptCtx, answer)
}

// request builds the request to the upstream.
func (a *attempt) request() requester.Request {
	x := a.x
	header := x.f.c.Dialect.AttemptHeader(x.call, foxtailwharf.Attempt{
		UpstreamID:  a.upstream.ID,
		Account:     x.account,
		Remaining:   time.Until(x.deadline),
		Urgency:     x.rank.Urgency(),
		Weights:     x.weights,
		LastEventID: x.lastEvent,
	})
	return requester.Request{
		Address:            a.upstream.Address,
		Peer:               a.upstream.ID + "@" + a.upstream.Address.String(),
		Method:             x.call.Method,
		Target:             x.call.Target,
		Host:               x.call.Host,
		Header:             header,
		Body:               x.call.Body,
		NeedsNewConnection: !x.route.IsRepeatable(),
	}
}

// startWatchdog starts the timers that cancel the attempt. Without a retry left, the stall limit
// is an hour, so that only the deadline of the call bounds the attempt.
func (a *attempt) startWatchdog() {
	limit := max(firstEventTimeout, time.Duration(float64(a.x.route.Goal)*firstEventTimeoutGoals))
	isWatched := a.x.route.IsRepeatable() && a.x.runs+1 < a.x.route.Attempts
	if !isWatched {
		limit = time.Hour
	}
	a.stallTimer = time.AfterFunc(limit, func() { a.cancel(errStalled) })
	// The timer is started only once the field that checkUpstream uses is set.
	a.checkTimer = time.AfterFunc(time.Hour, a.checkUpstream)
	a.checkTimer.Reset(upstreamCheckInterval)
}

func (a *attempt) stopWatchdog() {
	a.isDone.Store(true)
	a.stallTimer.Stop()
	a.checkTimer.Stop()
}

// checkUpstream cancels the attempt if the upstream has ended, or if the weights that it holds
// may no longer begin an answer.
func (a *attempt) checkUpstream() {
	if a.isDone.Load() {
		return
	}
	if a.x.f.c.Assigner.IsLost(a.upstream) {
		a.cancel(errUpstreamEnded)
		return
	}
	next := upstreamCheckInterval
	if startDeadline := a.startDeadline(); !startDeadline.IsZero() {
		left := time.Until(startDeadline)
		if left <= 0 {
			a.cancel(errWeightsReplaced)
			return
		}
		next = min(next, left)
	}
	a.checkTimer.Reset(next)
}

// startDeadline returns when the call must have begun; zero if it has, or if there is no limit.
func (a *attempt) startDeadline() time.Time {
	if a.hasEvent.Load() {
		return time.Time{}
	}
	return a.x.f.c.Assigner.StartDeadline(a.upstream)
}

// handleSendError handles an attempt that got no answer.
func (a *attempt) handleSendError(ctx context.Context, err error) (outcome, balancer.Result) {
	var failure *requester.Error
	if errors.As(err, &failure) && failure.IsUnsent {
		a.log("upstream could not be reached", zap.Error(err))
		return notRun, balancer.Failed
	}
	a.x.runs++
	return a.handleBroken(ctx, err)
}

// handleBroken handles an attempt that may have run but whose answer is missing or incomplete.
func (a *attempt) handleBroken(ctx context.Context, err error) (outcome, balancer.Result) {
	a.log("upstream sent no complete answer", zap.Error(err), zap.NamedError("Cause", context.Cause(ctx)),
		zap.Bool("HasBegun", a.hasEvent.Load()), zap.Strings("PromptParts", a.x.call.PromptParts))
	var failure *requester.Error
	isEnded := errors.Is(context.Cause(ctx), errUpstreamEnded) || (ctx.Err() == nil && errors.As(err, &failure) && failure.IsBroken)
	if isEnded && !a.x.f.c.Assigner.IsLoading(a.upstream) {
		a.suspectCrash()
		a.x.f.recordCrash(context.WithoutCancel(ctx), a.upstream, a.x.digest)
	}
	if errors.Is(context.Cause(ctx), errStalled) {
		return unknown, balancer.Stalled
	}
	if errors.Is(context.Cause(ctx), errWeightsReplaced) {
		return unknown, balancer.Abandoned
	}
	return unknown, balancer.Failed
}

// suspectCrash records the end of an engine. What it had begun to answer has not crashed it.
func (a *attempt) suspectCrash() {
	switch {
	case a.x.service.Engine == nil:
	case a.hasEvent.Load():
		a.x.f.suspectCrash(a.upstream, nil)
	default:
		a.x.f.suspectCrash(a.upstream, a.x.call.PromptParts)
	}
}

// handleRejected handles an answer that says that the upstream did not run the call.
func (a *attempt) handleRejected(answer *requester.Response, reply foxtailwharf.Reply) (outcome, balancer.Result) {
	a.drain(answer)
	a.log("upstream did not run the call", zap.Int("Status", answer.Status))
	if reply.IsMisdirected {
		return notRun, balancer.Moved
	}
	return notRun, balancer.NotRun
}

// drain reads the rest of a short answer so that the connection can be reused.
func (a *attempt) drain(answer *requester.Response) {
	a.stallTimer.Reset(drainTimeout)
	n, err := io.CopyN(io.Discard, answer, maxDrainBytes)
	if !errors.Is(err, io.EOF) {
		a.log("connection closed instead of reading the rest of an answer", zap.Int64("Read", n), zap.Error(err))
	}
}

// forwardBuffered reads an answer that is not a stream and forwards it. A server error is kept
// instead while the call may be retried.
func (a *attempt) forwardBuffered(ctx context.Context, answer *requester.Response) (outcome, balancer.Result) {
	body, err := a.x.f.collector.Collect(answer, a.resetStallTimer)
	if err != nil {
		return a.handleBroken(ctx, err)
	}
	a.x.held = append(a.x.held, body)
	isServerError := answer.Status >= http.StatusInternalServerError
	if a.x.isHeadSent || isNotRunStatus(answer.Status) {
		return unknown, balancer.Failed
	}
	buffered := &bufferedAnswer{status: answer.Status, header: a.x.f.c.Dialect.AnswerHeader(answer.Header), body: body.Bytes}
	if isServerError && a.x.mayRetryAfterRun() {
		a.x.errorAnswer = buffered
		return unknown, balancer.Failed
	}
	a.x.writeBuffered(buffered)
	if isServerError {
		return delivered, balancer.Failed
	}
	if answer.Status < http.StatusMultipleChoices {
		a.begin()
	}
	a.x.f.clearSuspicion(a.x.digest)
	return delivered, balancer.Answered
}

// begin records the first part of the answer: the call has begun, and its prompt crashes no upstream.
func (a *attempt) begin() {
	if a.hasEvent.Swap(true) || len(a.x.call.PromptParts) == 0 {
		return
	}
	a.x.f.removePending(a.x)
	a.x.f.recordBegin(a.x.call.PromptParts)
}

// isNotRunStatus reports whether callers take a status as a promise that the call has not run and
// will not. Such a status of an upstream that may have run the call is not forwarded.
func isNotRunStatus(status int) bool {
	switch status {
	case http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		return true
	default:
		return false
	}
}

// forwardStream forwards complete events as they arrive.
func (a *attempt) forwardStream(ctx context.Context, answer *requester.Response, reply foxtailwharf.Reply) (outcome, balancer.Result) {
	x := a.x
	x.weights = reply.Weights
	header := x.f.c.Dialect.AnswerHeader(answer.Header)
	events := splitter.New(answer)
	for {
		event, err := events.Next()
		switch {
		case errors.Is(err, io.EOF) && !a.hasEvent.Load() && !answer.IsDelimited:
			// An upstream that crashes before its first event ends the connection as well.
			return a.handleBroken(ctx, &requester.Error{IsBroken: true, Err: io.ErrUnexpectedEOF})
		case errors.Is(err, io.EOF):
			x.beginStream(answer.Status, header)
			x.f.clearSuspicion(x.digest)
			return delivered, balancer.Answered
		case err != nil:
			return a.handleBroken(ctx, err)
		}
		if event.HasData {
			a.begin()
			a.resetStallTimer()
		}
		if weights, hasWeights := x.f.c.Dialect.EventWeights(event.Text); hasWeights {
			x.weights = weights
		}
		x.beginStream(answer.Status, header)
		if err := x.writeEvent(event.Text); err != nil {
			x.log("caller disconnected during its stream", zap.Error(err))
			return callerGone, balancer.Abandoned
		}
		if event.ID != "" {
			x.lastEvent = event.ID
		}
	}
}

// resetStallTimer restarts the stall timer after an event or a part of an answer.
func (a *attempt) resetStallTimer() {
	if a.x.route.IsRepeatable() && a.x.runs < a.x.route.Attempts {
		a.stallTimer.Reset(max(eventTimeout, eventTimeoutPauses*a.x.route.Gap))
	}
}

func (a *attempt) log(message string, fields ...zap.Field) {
	a.x.log(message, append(fields, zap.String("Upstream", a.upstream.ID))...)
}
