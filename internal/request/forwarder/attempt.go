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
	"github.com/foxtailwharf/foxtailwharf/internal/request/arbiter"
	"github.com/foxtailwharf/foxtailwharf/internal/request/balancer"
	"github.com/foxtailwharf/foxtailwharf/internal/request/collector"
)

const (
	// maxDrainBytes and drainTimeout bound the rest of an answer that is read only to keep the
	// connection. Beyond them the connection is closed.
	maxDrainBytes = 64 << 10
	drainTimeout  = 100 * time.Millisecond
)

// Causes with which the context of an attempt is canceled.
var (
	errStalled         = errors.New("upstream sent no data in time, and another one answers")
	errSilent          = errors.New("upstream sent no data for longer than a sound one")
	errUpstreamEnded   = errors.New("upstream has ended")
	errWeightsReplaced = errors.New("upstream still holds weights that have been replaced")
)

// attempt sends a call once to one upstream.
type attempt struct {
	x          *exchange
	upstream   foxtailwharf.Upstream
	from       position
	parent     context.Context // of the call; set by start
	ctx        context.Context // of the attempt; set by start
	cancel     context.CancelCauseFunc
	startedAt  time.Time           // set by start
	sentAt     time.Time           // set by send
	answer     *requester.Response // nil until the head of the answer was read
	reply      foxtailwharf.Reply
	events     *eventReader // of a stream; nil until it is read
	stallTimer *time.Timer
	checkTimer *time.Timer
	isDone     atomic.Bool
	isSuspect  atomic.Bool // has been silent for so long that another upstream is sought
	hasEvent   atomic.Bool // an event was received
	isWriting  atomic.Bool // an event is being written to the caller
	arbiter    arbiter.Arbiter
	heardAt    atomic.Int64 // when the call was sent or the last event with data received, in nanoseconds since the arrival of the call
}

// newAttempt returns an attempt at an upstream that the assigner has counted. It has to be ended with end.
func newAttempt(x *exchange, u foxtailwharf.Upstream, from position) *attempt {
	return &attempt{x: x, upstream: u, from: from}
}

// run makes the attempt, or goes on with it if it has begun to be answered. It returns the outcome for the
// call and the result for the upstream.
func (a *attempt) run(ctx context.Context) (outcome, balancer.Result) {
	if a.answer == nil {
		a.start(ctx)
	}
	// The timer is started only once the fields that handleSilence uses are set.
	a.stallTimer = time.AfterFunc(time.Hour, func() { a.handleSilence(ctx) })
	a.stallTimer.Reset(a.firstEventLimit())
	if a.answer == nil {
		if o, result, isAnswered := a.send(); !isAnswered {
			return o, result
		}
	}
	if a.isStream() {
		return a.forwardStream(a.ctx)
	}
	return a.forwardBuffered(a.ctx)
}

// start sets up the context of the attempt within that of the call, and the checks of the upstream.
func (a *attempt) start(ctx context.Context) {
	a.parent, a.startedAt = ctx, time.Now()
	a.ctx, a.cancel = context.WithCancelCause(ctx)
	a.heardAt.Store(int64(time.Since(a.x.started)))
	// The timer is started only once the field that checkUpstream uses is set.
	a.checkTimer = time.AfterFunc(time.Hour, a.checkUpstream)
	a.checkTimer.Reset(upstreamCheckInterval)
}

// send sends the call and reads the head of the answer. If the upstream answers the call, the outcome and
// the result are open.
func (a *attempt) send() (o outcome, result balancer.Result, isAnswered bool) {
	if a.x.service.Engine != nil {
		a.x.f.c.NotifyAgent(a.upstream, a.x.call.PromptTokens)
	}
	a.x.progress.startRun()
	a.sentAt = time.Now()
	answer, err := a.x.f.c.Requester.Do(a.ctx, a.request())
	if err != nil {
		o, result = a.handleSendError(a.ctx, err)
		return o, result, false
	}
	a.answer = answer
	a.reply = a.x.f.c.Dialect.ReadReply(a.x.call.ID, answer.Status, answer.Header)
	a.logChange(a.x.f.c.Assigner.HandleReply(a.upstream, a.sentAt, a.reply), a.reply)
	switch {
	case a.reply.IsNotRun:
		a.x.progress.dropRun()
		o, result = a.handleRejected(answer, a.reply)
		return o, result, false
	case !a.reply.IsAuthentic:
		a.x.f.c.Meter.Increment(meter.CounterMismatchedAnswers)
		a.log("answer does not belong to this call or is not signed by the upstream", zap.Int("Status", answer.Status))
		a.setInvalid()
		return unknown, balancer.Failed, false
	}
	return o, result, true
}

// end releases what the attempt holds and reports its result to the assigner. ctx is that of the call.
func (a *attempt) end(ctx context.Context, result balancer.Result) {
	a.isDone.Store(true)
	if a.stallTimer != nil {
		a.stallTimer.Stop()
	}
	if a.checkTimer != nil {
		a.checkTimer.Stop()
	}
	if a.answer != nil {
		a.answer.Close()
	}
	if a.cancel != nil {
		a.cancel(nil)
	}
	if ctx.Err() != nil && result == balancer.Failed {
		result = balancer.Abandoned
	}
	a.x.f.c.Assigner.Finished(a.upstream.ID, result)
}

// logChange logs what a response has told this entry of the upstream.
func (a *attempt) logChange(c balancer.Change, reply foxtailwharf.Reply) {
	if c.HasLimit {
		a.log("upstream has changed its limit", zap.Bool("HasLimit", reply.HasLimit), zap.Float64("PerSecond", reply.Limit))
	}
	if c.Pause > 0 {
		a.log("upstream wants no calls for a time", zap.Duration("RetryAfter", reply.RetryAfter), zap.Duration("Pause", c.Pause))
	}
	if c.IsLeaving {
		a.log("upstream has said that it is leaving")
	}
}

// request builds the request to the upstream.
func (a *attempt) request() requester.Request {
	x := a.x
	header := x.f.c.Dialect.AttemptHeader(x.call, foxtailwharf.Attempt{
		UpstreamID:  a.upstream.ID,
		Account:     x.account,
		Remaining:   time.Until(x.deadline),
		Urgency:     x.rank.Urgency(),
		Weights:     a.from.weights,
		LastEventID: a.from.lastEvent,
	})
	return requester.Request{
		Address:            a.upstream.Address,
		Peer:               a.upstream.ID + "@" + a.upstream.Address.String(),
		Method:             x.call.Method,
		Target:             x.call.Target,
		Host:               x.call.Host,
		Header:             header,
		Body:               x.call.Body,
		NeedsNewConnection: !x.route.IsRepeatable() || x.call.ID == "",
	}
}

// handleSendError handles an attempt that got no answer.
func (a *attempt) handleSendError(ctx context.Context, err error) (outcome, balancer.Result) {
	var e *requester.Error
	if errors.As(err, &e) && e.IsUnsent {
		a.x.progress.dropRun()
		a.log("upstream could not be reached", zap.Error(err))
		if e.IsUnconnected {
			return notReached, balancer.Unreached
		}
		return notRun, balancer.Failed
	}
	return a.handleBroken(ctx, err)
}

// handleBroken handles an attempt that may have run but whose answer is missing or incomplete.
func (a *attempt) handleBroken(ctx context.Context, err error) (outcome, balancer.Result) {
	a.log("upstream sent no complete answer", zap.Error(err), zap.NamedError("Cause", context.Cause(ctx)),
		zap.Bool("HasBegun", a.hasEvent.Load()), zap.Strings("PromptParts", a.x.call.PromptParts))
	isLoading := a.x.f.c.Assigner.IsLoading(a.upstream)
	a.x.progress.setFailure(failure{cause: context.Cause(ctx), err: err, isLoading: isLoading})
	var e *requester.Error
	isEnded := errors.Is(context.Cause(ctx), errUpstreamEnded) || (ctx.Err() == nil && errors.As(err, &e) && e.IsBroken)
	if isEnded && !isLoading {
		a.suspectCrash()
		a.x.f.recordCrash(context.WithoutCancel(ctx), a.upstream, a.x, a.hasEvent.Load())
	}
	if errors.Is(context.Cause(ctx), errStalled) || errors.Is(context.Cause(ctx), errSilent) {
		return unknown, balancer.Stalled
	}
	if errors.Is(context.Cause(ctx), errWeightsReplaced) {
		return unknown, balancer.Abandoned
	}
	return unknown, balancer.Failed
}

// setInvalid records that the attempt, which may have run, got an answer that cannot be forwarded.
func (a *attempt) setInvalid() {
	a.x.progress.setFailure(failure{err: errInvalidAnswer})
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
	a.log("upstream did not run the call", zap.Int("Status", answer.Status), zap.Duration("RetryAfter", reply.RetryAfter))
	if reply.IsMisdirected {
		return notRun, balancer.Moved
	}
	return notRun, balancer.NotRun
}

// drain reads the rest of a short answer so that the connection can be reused.
func (a *attempt) drain(answer *requester.Response) {
	defer time.AfterFunc(drainTimeout, func() { a.cancel(errStalled) }).Stop()
	n, err := io.CopyN(io.Discard, answer, maxDrainBytes)
	if !errors.Is(err, io.EOF) {
		a.log("connection closed instead of reading the rest of an answer", zap.Int64("Read", n), zap.Error(err))
	}
}

// forwardBuffered forwards an answer that is not a stream. Unless it can't be forwarded anyway, nothing but the end of the call's
// time ends it from here on.
func (a *attempt) forwardBuffered(ctx context.Context) (outcome, balancer.Result) {
	isServerError := a.answer.Status >= http.StatusInternalServerError
	if isServerError || isNotRunStatus(a.answer.Status) {
		return a.collectBuffered(ctx, isServerError)
	}
	if !a.hearHead() {
		return a.handleBroken(ctx, a.awaitGivenUp())
	}
	o, result := a.collectBuffered(ctx, false)
	if o != delivered {
		a.x.progress.arbiter.Drop()
	}
	return o, result
}

// collectBuffered reads an answer that is not a stream and forwards it. A server error is kept
// instead while the call may be retried.
func (a *attempt) collectBuffered(ctx context.Context, isServerError bool) (outcome, balancer.Result) {
	body, err := a.x.f.collector.Collect(a.answer, func() { a.recordPart(isServerError) })
	if err != nil {
		return a.handleBroken(ctx, err)
	}
	buffered := a.buffer(body)
	if a.x.progress.hasHead() || isNotRunStatus(a.answer.Status) {
		a.setInvalid()
		return unknown, balancer.Failed
	}
	if isServerError && (a.x.mayRetryAfterRun() || a.x.progress.hasBackup()) {
		a.x.progress.setErrorAnswer(buffered)
		return unknown, balancer.Failed
	}
	if !a.x.progress.advance() {
		return unknown, balancer.Stalled
	}
	a.x.writeBuffered(buffered)
	if isServerError {
		return delivered, balancer.Failed
	}
	if a.answer.Status < http.StatusMultipleChoices {
		a.begin()
	}
	a.clearSuspicion()
	return delivered, balancer.Answered
}

// buffer returns an answer that was read whole, and holds it until the call ends.
func (a *attempt) buffer(body *collector.Body) *bufferedAnswer {
	a.x.progress.hold(body)
	return &bufferedAnswer{status: a.answer.Status, header: a.x.f.c.Dialect.AnswerHeader(a.answer.Header), body: body.Bytes}
}

// recordPart records that a part of a buffered answer has arrived. A server error ends no search for another
// upstream.
func (a *attempt) recordPart(isServerError bool) {
	if (isServerError || a.x.progress.advance()) && a.arbiter.Hear() {
		a.resetStallTimer()
	}
}

// begin records the first part of the answer: the call has begun, and its prompt crashes no upstream.
func (a *attempt) begin() {
	if a.hasEvent.Swap(true) || len(a.x.call.PromptParts) == 0 {
		return
	}
	a.x.f.removePending(a.x)
	a.x.f.recordBegin(a.x.call.PromptParts)
}

// clearSuspicion records that the answer was complete, so that the request crashes no upstream. One that has not begun
// shows nothing.
func (a *attempt) clearSuspicion() {
	if a.hasEvent.Load() {
		a.x.f.clearSuspicion(a.x.request)
	}
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

func (a *attempt) log(message string, fields ...zap.Field) {
	a.x.log(message, append(fields, zap.String("Upstream", a.upstream.ID))...)
}
