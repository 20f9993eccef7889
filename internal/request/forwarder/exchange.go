package forwarder

import (
	"cmp"
	"context"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"github.com/foxtailwharf/foxtailwharf"
	"github.com/foxtailwharf/foxtailwharf/internal/connection/callerlimiter"
	"github.com/foxtailwharf/foxtailwharf/internal/connection/discarder"
	"github.com/foxtailwharf/foxtailwharf/internal/process/meter"
	"github.com/foxtailwharf/foxtailwharf/internal/request/balancer"
	"github.com/foxtailwharf/foxtailwharf/internal/request/queuer"
)

const (
	// defaultTimeout applies to routes without a timeout.
	defaultTimeout = 30 * time.Second
	// callerWriteTimeout is how long a caller may take to read what is written to it at once.
	callerWriteTimeout = 30 * time.Second
)

// exchange is the state of one call from its admission to its answer.
type exchange struct {
	f          *Forwarder
	w          http.ResponseWriter
	connection callerlimiter.Connection // on which the call came
	started    time.Time
	leavesAt   time.Time // when the caller gives up
	deadline   time.Time // the same, or the end of the shutdown if that is earlier
	call       foxtailwharf.Call
	route      *foxtailwharf.CallRoute
	service    foxtailwharf.CallService
	version    int64 // of the configuration that was in force at admission
	limits     foxtailwharf.CallLimits
	account    string
	rank       queuer.Rank
	request    string   // identifies identical requests
	suspects   []string // the request and the parts of its prompt
	isTrial    bool     // runs in spite of a ban
	// isBodyBegun is set once the body is being read, and hasBodyFailed if that fails.
	isBodyBegun, hasBodyFailed bool
	cancel                     context.CancelCauseFunc
	isBounded                  bool // the deadline is the end of a shutdown

	progress    progress
	searches    sync.WaitGroup  // goroutines of backups
	excluded    map[string]bool // guarded by progress.mu
	unreached   []string        // those of the excluded that took no connection, and may be only silent
	hasBegun    bool            // the head of a stream was sent
	hasEnded    bool            // an answer or a refusal was written, or the lack of one recorded
	queueTime   time.Duration   // from arrival to the start of the last attempt
	first       time.Duration   // from arrival to the first event of a stream
	lastEventAt time.Time       // when the last event was written to the caller
}

// bufferedAnswer is an answer that is not a stream and is read whole before it is forwarded.
type bufferedAnswer struct {
	status int
	header http.Header
	body   []byte
}

// setDeadline sets the deadline to the shorter of the route's timeout and the caller's own, within the time that is left
// if the entry shuts down.
func (x *exchange) setDeadline() {
	x.leavesAt = x.started.Add(x.callerTimeout(x.timeout()))
	bound := x.f.finisher.Bound
	if x.route.Kind == foxtailwharf.CallStream {
		bound = x.f.finisher.BoundStream
	}
	x.deadline = bound(x.leavesAt)
	x.isBounded = x.deadline.Before(x.leavesAt)
}

// bindEnd ends the call at the end of a shutdown, unless the returned function is called before.
func (x *exchange) bindEnd() (unbind func() bool) {
	if x.route.Kind == foxtailwharf.CallStream {
		return x.f.finisher.BindStream(x.cancel, func(cause error) { x.giveUp(cause) })
	}
	return x.f.finisher.Bind(x.cancel)
}

// timeout returns the timeout of the route.
func (x *exchange) timeout() time.Duration {
	return cmp.Or(x.route.Timeout, defaultTimeout)
}

// callerTimeout returns the shorter of a timeout and the caller's own.
func (x *exchange) callerTimeout(limit time.Duration) time.Duration {
	if x.call.CallerTimeout > 0 {
		return min(limit, x.call.CallerTimeout)
	}
	return limit
}

// outcome is the result of one attempt for the call.
type outcome int

const (
	delivered  outcome = iota // the caller has the complete answer
	notRun                    // the upstream did not run the call
	notReached                // the upstream took no connection in time
	unknown                   // the call may have run
	callerGone                // the caller disconnected
)

// run makes attempts until one is delivered or the caller disconnects. If no upstream is assigned
// or the call may not be retried, it ends the call with finish.
func (x *exchange) run(ctx context.Context) {
	if len(x.call.PromptParts) > 0 {
		if remaining := x.f.addPending(x); remaining > 0 {
			x.refuse(quarantined(remaining))
			return
		}
		defer x.f.removePending(x)
	}
	x.f.first(x.service.Name)
	defer x.dropBackup(ctx)
	var taken *attempt // that has begun to be answered while another one was silent
	for {
		a := taken
		if a == nil {
			if a = x.acquire(ctx); a == nil {
				return
			}
		}
		o := x.perform(ctx, a)
		switch o {
		case delivered:
			x.recordAnswered(a)
			return
		case callerGone:
			return
		case notRun:
			x.excludeRefused(a.upstream)
		case notReached:
			x.excludeUnreached(a.upstream)
		case unknown:
			x.progress.setUnknown()
			x.exclude(a.upstream.ID)
		}
		if taken = x.takeBackup(); taken != nil {
			continue
		}
		// A call that has not been sent costs no retry.
		if (o != notReached || ctx.Err() != nil) && !x.mayTryAgain(ctx) {
			x.finish(ctx, nil)
			return
		}
		x.f.c.Meter.Increment(meter.CounterRetried)
	}
}

// acquire waits for an upstream. It ends the call and returns nil if there is none.
func (x *exchange) acquire(ctx context.Context) *attempt {
	from := x.progress.position()
	u, refusal := x.assign(ctx, from)
	x.f.recordAssignment(x.service.Name, refusal)
	if refusal != nil {
		if len(x.excluded) > 0 {
			x.log("no upstream for another attempt", zap.String("Reason", string(refusal.Reason)))
		}
		x.finish(ctx, refusal)
		return nil
	}
	a := newAttempt(x, u, from)
	if x.mayOutlastShutdown() {
		a.end(ctx, balancer.Abandoned)
		x.finish(ctx, leavingRefusal())
		return nil
	}
	if remaining := x.f.quarantinedFor(x); remaining > 0 && !x.isTrial {
		// The end of another banned call may have freed the slot before the ban has ended this one.
		a.end(ctx, balancer.Abandoned)
		x.finish(ctx, quarantined(remaining))
		return nil
	}
	if x.isTooLate() {
		// What is known of calls like this one may have changed while it waited.
		a.end(ctx, balancer.Abandoned)
		x.finish(ctx, foxtailwharf.NotRun(foxtailwharf.ReasonQueueFull, "too little time is left for the call"))
		return nil
	}
	if x.isTrial {
		x.f.recordTrial(x)
	}
	x.queueTime = time.Since(x.started)
	return a
}

// assign waits for an upstream. A call that has not run waits only while it may be begun.
func (x *exchange) assign(ctx context.Context, from position) (foxtailwharf.Upstream, *foxtailwharf.Refusal) {
	if !x.hasRun() {
		var stop context.CancelFunc
		ctx, stop = x.f.finisher.Wait(ctx, x.leavesAt)
		defer stop()
	}
	u, refusal := x.f.c.Assigner.Acquire(ctx, x.assignerRequest(from, x.excluded, x.waitUntil()))
	if refusal != nil && x.readmitUnreached(ctx) {
		u, refusal = x.f.c.Assigner.Acquire(ctx, x.assignerRequest(from, x.excluded, x.waitUntil()))
	}
	if refusal != nil && x.mayOutlastShutdown() {
		return u, leavingRefusal()
	}
	return u, refusal
}

// hasRun reports whether the call may have run, so that a refusal as not run would not be true.
func (x *exchange) hasRun() bool {
	return x.progress.hasUnknown() || x.progress.hasHead()
}

// mayOutlastShutdown reports whether the call has not run, and must not be begun any more because the entry may end before
// it. Another entry serves it whole.
func (x *exchange) mayOutlastShutdown() bool {
	return !x.hasRun() && x.f.finisher.MayOutlast(x.leavesAt)
}

// perform makes an attempt, or goes on with one that has begun to be answered, and reports the result to the
// assigner.
func (x *exchange) perform(ctx context.Context, a *attempt) outcome {
	o, result := a.run(ctx)
	a.end(ctx, result)
	if o == delivered && result == balancer.Answered {
		x.f.recordDuration(x, time.Since(a.sentAt))
	}
	return o
}

// mayTryAgain reports whether a call that no attempt has delivered may be sent once more.
func (x *exchange) mayTryAgain(ctx context.Context) bool {
	switch {
	case ctx.Err() != nil || x.isTrial:
		return false
	case x.progress.hasUnknown() && !x.mayRetryAfterRun():
		return false
	}
	if _, isAllowed := x.f.allowRetry(x.service.Name); !isAllowed {
		x.log("the retry budget allows no other attempt")
		return false
	}
	return true
}

// excludeRefused excludes an upstream that did not run the call from its further attempts. One that wants no
// calls for a time gets the call once more after it.
func (x *exchange) excludeRefused(u foxtailwharf.Upstream) {
	isPaused := x.f.c.Assigner.IsPaused(u)
	x.progress.mu.Lock()
	defer x.progress.mu.Unlock()
	_, isSecond := x.excluded[u.ID]
	x.excluded[u.ID] = isSecond || !isPaused
}

// excludeUnreached excludes an upstream that took no connection in time. It may be silent for a moment and gets
// the call after all if no other one takes it.
func (x *exchange) excludeUnreached(u foxtailwharf.Upstream) {
	x.exclude(u.ID)
	if x.f.c.Assigner.MayBeReached(u) {
		x.unreached = append(x.unreached, u.ID)
	}
}

// readmitUnreached readmits the upstreams that took no connection and may be only silent. It reports whether there
// are any and the call may still wait.
func (x *exchange) readmitUnreached(ctx context.Context) bool {
	if len(x.unreached) == 0 || ctx.Err() != nil || !time.Now().Before(x.waitUntil()) {
		return false
	}
	x.progress.mu.Lock()
	defer x.progress.mu.Unlock()
	for _, id := range x.unreached {
		delete(x.excluded, id)
	}
	x.unreached = nil
	return true
}

// recordAnswered logs that a call was answered and records its metrics, unless its answer could not be written.
func (x *exchange) recordAnswered(a *attempt) {
	if x.hasEnded {
		return
	}
	x.hasEnded = true
	x.log("answered", zap.String("Upstream", a.upstream.ID), zap.Int("Rank", x.rank.Urgency()),
		zap.Duration("Waited", x.queueTime), zap.Duration("First", x.first), zap.Int64("Weights", x.progress.position().weights))
	x.f.c.Meter.Increment(meter.CounterAnswered)
	x.time(meter.MeasureQueue, x.queueTime)
	if x.first > 0 {
		x.time(meter.MeasureFirstToken, x.first)
	}
	x.time(meter.MeasureTotal, time.Since(x.started))
}

// time records a duration under the call's account and its route's priority.
func (x *exchange) time(m meter.Measure, elapsed time.Duration) {
	x.f.c.Meter.RecordDuration(m, x.account, strconv.Itoa(x.rank.Route), elapsed)
}

func (x *exchange) mayRetryAfterRun() bool {
	return x.route.IsRepeatable() && x.progress.countRuns() < x.route.Attempts && !x.f.mayCrash(x)
}

// refuseUnread answers a request whose body has not been read whole. The caller gets the refusal at once
// and may send the rest, up to the size that the configuration allows twice over, until its deadline.
func (x *exchange) refuseUnread(r *http.Request, refusal *foxtailwharf.Refusal) {
	bounds := discarder.Bounds{Bytes: discardedBodies * x.bodyLimit(), Until: x.deadline, HasBegun: x.isBodyBegun, HasFailed: x.hasBodyFailed}
	if x.deadline.IsZero() {
		bounds.Until = x.started.Add(x.callerTimeout(defaultTimeout))
	}
	x.f.discarder.Answer(x.w, r, bounds, func() { x.refuse(refusal) })
}

// log adds the fields that all log lines of the call have.
func (x *exchange) log(message string, fields ...zap.Field) {
	fields = append(fields, zap.String("Call", x.call.ID), zap.Int64("Configuration", x.version),
		zap.String("Service", x.service.Name), zap.Int("Runs", x.progress.countRuns()), zap.Duration("After", time.Since(x.started)))
	x.f.c.Log.Info("call: "+message, fields...)
}

// boundWrite gives the next write to the caller callerWriteTimeout. A caller that does not read would
// hold the call, and what it has in memory, for as long as its connection is open.
func (x *exchange) boundWrite() {
	if err := http.NewResponseController(x.w).SetWriteDeadline(time.Now().Add(callerWriteTimeout)); err != nil {
		x.f.c.Log.Debug("call: connection of the caller has no write deadline", zap.Error(err))
	}
}

func (x *exchange) writeBuffered(answer *bufferedAnswer) {
	x.boundWrite()
	copyHeader(x.w.Header(), answer.header)
	x.closeIfLeaving()
	x.w.WriteHeader(answer.status)
	if _, err := x.w.Write(answer.body); err != nil {
		x.recordUnanswered("caller disconnected before its answer was written", causeOf(ending{write: err, isLeaving: x.f.leaving.Load()}), zap.Error(err))
	}
}

// closeIfLeaving makes the answer, whose head is about to be written, tell the caller to close its connection if the entry
// shuts down.
func (x *exchange) closeIfLeaving() {
	if x.f.leaving.Load() {
		x.w.Header().Set("Connection", "close")
	}
}

// beginStream sends the head of a stream, unless it was sent already.
func (x *exchange) beginStream(status int, header http.Header) {
	if x.hasBegun {
		return
	}
	x.hasBegun = true
	x.first = time.Since(x.started)
	copyHeader(x.w.Header(), header)
	x.closeIfLeaving()
	x.w.WriteHeader(status)
}

// writeEvent writes an event of a stream and flushes it.
func (x *exchange) writeEvent(data []byte) error {
	x.boundWrite()
	if _, err := x.w.Write(data); err != nil {
		return errors.Wrap(err, "exchange.writeEvent")
	}
	now := time.Now()
	if !x.lastEventAt.IsZero() {
		x.time(meter.MeasureBetweenTokens, now.Sub(x.lastEventAt))
	}
	x.lastEventAt = now
	return http.NewResponseController(x.w).Flush()
}

func copyHeader(to, from http.Header) {
	for name, values := range from {
		to[name] = values
	}
	if from.Get("Content-Type") == "" {
		// A nil value keeps net/http from detecting a content type.
		to["Content-Type"] = nil
	}
}
