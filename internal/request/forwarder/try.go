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
	"github.com/foxtailwharf/foxtailwharf/internal/connection/exchanger"
	"github.com/foxtailwharf/foxtailwharf/internal/process/recorder"
	"github.com/foxtailwharf/foxtailwharf/internal/request/balancer"
	"github.com/foxtailwharf/foxtailwharf/internal/request/splitter"
)

// Times after which an upstream that says nothing is given up, where the call may go on
// at another one.
const (
	// firstSilence holds before the first byte of a stream, and as a multiple of the goal.
	firstSilence     = 1200 * time.Millisecond
	firstSilenceGoal = 2.5
	// nextSilence holds between two events.
	nextSilence = 1200 * time.Millisecond
	// lostInterval is the time between two looks at whether the upstream has ended.
	lostInterval = 100 * time.Millisecond
)

// Causes by which an attempt is given up.
var (
	errSilent = errors.New("the upstream says nothing")
	errLost   = errors.New("the upstream has ended")
	errDue    = errors.New("the weights that the upstream holds are replaced")
)

// try is one attempt at one upstream.
type try struct {
	x        *exchange
	upstream foxtailwharf.Upstream
	cancel   context.CancelCauseFunc
	silence  *time.Timer
	lost     *time.Timer
	isOver   atomic.Bool
	hasBegun atomic.Bool // an event has come
}

// run makes the attempt. It returns what came of it for the call, and for the upstream.
func (t *try) run(ctx context.Context) (outcome, balancer.Result) {
	var watched context.Context
	watched, t.cancel = context.WithCancelCause(ctx)
	defer t.cancel(nil)
	t.watch()
	defer t.unwatch()
	if t.x.service.Engine != nil {
		t.x.f.c.Placed(t.upstream, t.x.call.PromptTokens)
	}
	answer, err := t.x.f.c.Exchanger.Do(watched, t.request())
	if err != nil {
		return t.failed(watched, err)
	}
	defer answer.Close()
	reply := t.x.f.c.Dialect.ReadReply(t.x.call.ID, answer.Status, answer.Header)
	switch {
	case reply.IsNotRun:
		return t.rejected(answer, reply)
	case !reply.IsOwn:
		t.x.runs++
		t.x.f.c.Recorder.Count(recorder.CounterCrossed)
		t.log("The answer is not the call's own.", zap.Int("Status", answer.Status))
		return unknown, balancer.Failed
	}
	t.x.runs++
	if t.x.route.Kind == foxtailwharf.CallStream && answer.Status == http.StatusOK {
		return t.stream(watched, answer, reply)
	}
	return t.whole(watched, answer)
}

// request builds the call towards the upstream.
func (t *try) request() exchanger.Request {
	x := t.x
	header := x.f.c.Dialect.AttemptHeader(x.call, foxtailwharf.Attempt{
		UpstreamID:  t.upstream.ID,
		Account:     x.account,
		Remaining:   time.Until(x.deadline),
		Urgency:     x.rank.Urgency(),
		Weights:     x.weights,
		LastEventID: x.lastEvent,
	})
	return exchanger.Request{
		Address: t.upstream.Address,
		Peer:    t.upstream.ID + "@" + t.upstream.Address.String(),
		Method:  x.call.Method,
		Target:  x.call.Target,
		Host:    x.call.Host,
		Header:  header,
		Body:    x.call.Body,
		IsFresh: !x.route.IsRepeatable(),
	}
}

// watch begins to look after the upstream.
func (t *try) watch() {
	limit := max(firstSilence, time.Duration(float64(t.x.route.Goal)*firstSilenceGoal))
	isWatched := t.x.route.IsRepeatable() && t.x.runs+1 < t.x.route.Attempts
	if !isWatched {
		limit = time.Hour
	}
	t.silence = time.AfterFunc(limit, func() { t.cancel(errSilent) })
	t.lost = time.AfterFunc(lostInterval, t.look)
}

func (t *try) unwatch() {
	t.isOver.Store(true)
	t.silence.Stop()
	t.lost.Stop()
}

// look ends the attempt if the upstream has ended.
func (t *try) look() {
	if t.isOver.Load() {
		return
	}
	if t.x.f.c.Assigner.IsLost(t.upstream) {
		t.cancel(errLost)
		return
	}
	if !t.hasBegun.Load() {
		if due := t.x.f.c.Assigner.DueAt(t.upstream); !due.IsZero() && time.Now().After(due) {
			t.cancel(errDue)
			return
		}
	}
	t.lost.Reset(lostInterval)
}

// failed describes an attempt that got no answer.
func (t *try) failed(ctx context.Context, err error) (outcome, balancer.Result) {
	var failure *exchanger.Error
	if errors.As(err, &failure) && failure.IsUnsent {
		t.log("The upstream could not be reached.", zap.Error(err))
		return notRun, balancer.Failed
	}
	t.x.runs++
	return t.broken(ctx, err)
}

// broken describes an attempt that may have run and broke off.
func (t *try) broken(ctx context.Context, err error) (outcome, balancer.Result) {
	t.log("The upstream gave no whole answer.", zap.Error(err), zap.NamedError("Cause", context.Cause(ctx)))
	var failure *exchanger.Error
	isEnded := errors.Is(context.Cause(ctx), errLost) || (ctx.Err() == nil && errors.As(err, &failure) && failure.IsBroken)
	if isEnded && !t.x.f.c.Assigner.IsLoading(t.upstream) {
		t.x.f.died(context.WithoutCancel(ctx), t.upstream, t.x.digest)
	}
	if errors.Is(context.Cause(ctx), errSilent) {
		return unknown, balancer.Silent
	}
	if errors.Is(context.Cause(ctx), errDue) {
		return unknown, balancer.Abandoned
	}
	return unknown, balancer.Failed
}

// rejected describes a call that the upstream did not run.
func (t *try) rejected(answer *exchanger.Answer, reply foxtailwharf.Reply) (outcome, balancer.Result) {
	t.drain(answer)
	t.log("The upstream did not run the call.", zap.Int("Status", answer.Status))
	if reply.IsMoved {
		return notRun, balancer.Moved
	}
	return notRun, balancer.NotRun
}

// drain reads the rest of an answer so that the connection can be kept.
func (t *try) drain(answer *exchanger.Answer) {
	if _, err := readAll(answer); err != nil {
		t.log("The rest of an answer was not to be read.", zap.Error(err))
	}
}

// whole reads an answer that is not a stream and passes it on. A fault of the upstream
// is passed on only if the call cannot run again.
func (t *try) whole(ctx context.Context, answer *exchanger.Answer) (outcome, balancer.Result) {
	body, err := readAll(answer)
	if err != nil {
		return t.broken(ctx, err)
	}
	isFault := answer.Status >= http.StatusInternalServerError
	if t.x.isBegun || isPromise(answer.Status) {
		return unknown, balancer.Failed
	}
	a := &wholeAnswer{status: answer.Status, header: t.x.f.c.Dialect.AnswerHeader(answer.Header), body: body}
	if isFault && t.x.mayRunAgain() {
		t.x.fault = a
		return unknown, balancer.Failed
	}
	t.x.writeWhole(a)
	if isFault {
		return delivered, balancer.Failed
	}
	t.x.f.answered(t.x.digest)
	return delivered, balancer.Answered
}

// isPromise reports whether callers read a status as "has not run and never will".
func isPromise(status int) bool {
	switch status {
	case http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		return true
	default:
		return false
	}
}

// stream passes on whole events as they arrive.
func (t *try) stream(ctx context.Context, answer *exchanger.Answer, reply foxtailwharf.Reply) (outcome, balancer.Result) {
	x := t.x
	x.weights = reply.Weights
	header := x.f.c.Dialect.AnswerHeader(answer.Header)
	events := splitter.New(answer)
	for {
		event, err := events.Next()
		switch {
		case errors.Is(err, io.EOF):
			x.beginStream(answer.Status, header)
			x.f.answered(x.digest)
			return delivered, balancer.Answered
		case err != nil:
			return t.broken(ctx, err)
		}
		t.heard()
		if weights, isNamed := x.f.c.Dialect.EventWeights(event.Text); isNamed {
			x.weights = weights
		}
		x.beginStream(answer.Status, header)
		if err := x.writeEvent(event.Text); err != nil {
			x.log("The caller left its stream.", zap.Error(err))
			return ended, balancer.Abandoned
		}
		x.lastEvent = event.ID
	}
}

// heard puts off the end of the attempt.
func (t *try) heard() {
	t.hasBegun.Store(true)
	if t.x.route.IsRepeatable() && t.x.runs < t.x.route.Attempts {
		t.silence.Reset(nextSilence)
	}
}

func (t *try) log(message string, fields ...zap.Field) {
	t.x.log(message, append(fields, zap.String("Upstream", t.upstream.ID))...)
}
