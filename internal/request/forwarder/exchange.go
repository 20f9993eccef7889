package forwarder

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"github.com/foxtailwharf/foxtailwharf"
	"github.com/foxtailwharf/foxtailwharf/internal/process/recorder"
	"github.com/foxtailwharf/foxtailwharf/internal/request/assigner"
	"github.com/foxtailwharf/foxtailwharf/internal/request/balancer"
	"github.com/foxtailwharf/foxtailwharf/internal/request/queuer"
	"github.com/foxtailwharf/foxtailwharf/internal/request/refuser"
)

// Constants of waiting and returning.
const (
	// defaultTimeout stands in for a route without a timeout.
	defaultTimeout = 30 * time.Second
	// startTime is what an upstream needs until the first event once it has room, beside
	// the reading of the prompt.
	startTime = 90 * time.Millisecond
	// waitPart is the part of a call's time for which it may wait for room.
	waitPart = 0.45
	// returnPart is the part of the time left after which a refused caller may return.
	returnPart = 0.3
	// minReturn and maxReturn bound the pause before a refused caller returns.
	minReturn = 200 * time.Millisecond
	maxReturn = 1500 * time.Millisecond
)

// exchange is one call on its way.
type exchange struct {
	f        *Forwarder
	w        http.ResponseWriter
	started  time.Time
	deadline time.Time
	call     foxtailwharf.Call
	route    *foxtailwharf.CallRoute
	service  foxtailwharf.CallService
	version  int64 // of the configuration
	account  string
	rank     queuer.Rank
	digest   string

	excluded  map[string]bool
	runs      int  // attempts that may have run
	isUnknown bool // an attempt may have run without an answer to pass on
	isBegun   bool // the head of an answer has gone to the caller
	lastEvent string
	waited    time.Duration // until the last attempt began
	first     time.Duration // until the first event of a stream
	eventAt   time.Time     // when the last event went to the caller
	weights   int64         // version that has answered so far; 0 for none
	// fault is an upstream's own answer that is passed on if no other gives a better one.
	fault *wholeAnswer
}

// wholeAnswer is an upstream's answer that is not a stream.
type wholeAnswer struct {
	status int
	header http.Header
	body   []byte
}

// setTimes works out how long the call may take.
func (x *exchange) setTimes() {
	limit := x.route.Timeout
	if limit == 0 {
		limit = defaultTimeout
	}
	if x.call.Patience > 0 {
		limit = min(limit, x.call.Patience)
	}
	x.deadline = x.started.Add(limit)
}

// outcome is what came of one attempt.
type outcome int

const (
	delivered outcome = iota // the caller has the whole answer
	notRun                   // the upstream did not run the call
	unknown                  // the call may have run
	ended                    // nothing more can be done for the caller
)

// run makes attempts until the caller has an answer.
func (x *exchange) run(ctx context.Context) {
	x.f.first(x.service.Name)
	for {
		u, refusal := x.f.c.Assigner.Acquire(ctx, x.ask())
		if refusal != nil {
			x.finish(ctx, refusal)
			return
		}
		x.waited = time.Since(x.started)
		switch x.try(ctx, u) {
		case delivered:
			x.log("A call was answered.", zap.String("Upstream", u.ID), zap.Int("Rank", x.rank.Urgency()),
				zap.Duration("Waited", x.waited), zap.Duration("First", x.first))
			x.measure()
			return
		case ended:
			return
		case notRun:
		case unknown:
			x.isUnknown = true
			if !x.mayRunAgain() {
				x.finish(ctx, nil)
				return
			}
		}
		x.excluded[u.ID] = true
		if ctx.Err() != nil || !x.f.mayRepeat(x.service.Name) {
			x.finish(ctx, nil)
			return
		}
		x.f.c.Recorder.Count(recorder.CounterRetried)
	}
}

// measure notes the times of a call that was answered.
func (x *exchange) measure() {
	x.f.c.Recorder.Count(recorder.CounterAnswered)
	x.time(recorder.MeasureQueue, x.waited)
	if x.first > 0 {
		x.time(recorder.MeasureFirst, x.first)
	}
	x.time(recorder.MeasureWhole, time.Since(x.started))
}

// time notes a duration for the call's account and its route's priority.
func (x *exchange) time(m recorder.Measure, elapsed time.Duration) {
	x.f.c.Recorder.Time(m, x.account, strconv.Itoa(x.rank.Route), elapsed)
}

func (x *exchange) mayRunAgain() bool {
	return x.route.IsRepeatable() && x.runs < x.route.Attempts && x.f.barred(x.digest) == 0
}

// ask describes the call to the assigner.
func (x *exchange) ask() assigner.Ask {
	need := startTime
	if e := x.service.Engine; e != nil && e.ReadRate > 0 {
		need += time.Duration(float64(x.call.PromptTokens) / e.ReadRate * float64(time.Second))
	}
	a := assigner.Ask{
		Want: balancer.Want{
			Service: x.service.Name,
			Exclude: x.excluded,
			IsModel: x.service.Engine != nil,
			Weights: x.weights,
		},
		Rank:    x.rank,
		Arrived: x.started,
		OnTime:  x.started.Add(x.route.Goal - need),
		GiveUp:  x.started.Add(time.Duration(float64(x.deadline.Sub(x.started)) * waitPart)),
	}
	if x.service.Engine == nil {
		a.Want.Room = plainRoom
		a.GiveUp = x.deadline
	} else {
		a.Want.Room = modelRoom(x.rank)
		a.Want.Tokens = x.call.PromptTokens
		a.Want.ReadPace = x.service.Engine.ReadPace()
		a.Want.MaxReading = maxReading(x.rank)
	}
	return a
}

// maxReading returns how long an engine may still read prompts for it to get another call: the
// less urgent leave engines free to read for the most urgent, which wait for all prompts
// before their own.
func maxReading(rank queuer.Rank) time.Duration {
	switch rank.Route {
	case 0:
		return 0
	case 1:
		return secondReading
	default:
		return lastReading
	}
}

// Times of reading at an engine by priority: a quarter of the most urgent goal of the users'
// kinds of call, and a half of that.
const (
	secondReading = 100 * time.Millisecond
	lastReading   = 50 * time.Millisecond
)

// plainRoom is how many calls may queue at an upstream of a plain service.
const plainRoom = 6

// modelRoom returns how many calls of a priority may be at an engine beyond its slots. A
// few of the most urgent may queue there, so that no place is idle between two reports;
// the others leave some places free for them.
func modelRoom(rank queuer.Rank) float64 {
	return max(urgentRoom-float64(rank.Route)*roomStep, -maxKept)
}

// Places at an engine by priority.
const (
	urgentRoom = 0
	roomStep   = 1
	maxKept    = 2
)

// finish gives the caller the last word after attempts that did not deliver.
func (x *exchange) finish(ctx context.Context, refusal *foxtailwharf.Refusal) {
	switch {
	case x.isBegun:
		x.log("An answer broke off.", zap.String("LastEvent", x.lastEvent))
		// The connection must not look as though the answer were whole.
		panic(http.ErrAbortHandler)
	case x.fault != nil:
		x.writeWhole(x.fault)
	case x.isUnknown && !x.route.IsRepeatable():
		x.refuse(foxtailwharf.Unknown(x.unknownReason(ctx), "the call may have run"))
	case x.isUnknown:
		x.refuse(foxtailwharf.Unknown(x.unknownReason(ctx), "no upstream gave a whole answer"))
	case refusal != nil:
		x.refuse(refusal)
	default:
		x.refuse(foxtailwharf.NotRun(foxtailwharf.ReasonNoUpstream, "no upstream took the call"))
	}
}

func (x *exchange) unknownReason(ctx context.Context) foxtailwharf.Reason {
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return foxtailwharf.ReasonDeadline
	}
	return foxtailwharf.ReasonOutcomeUnknown
}

// refuse answers with a refusal, and a time to return where that may help.
func (x *exchange) refuse(refusal *foxtailwharf.Refusal) {
	if refusal.IsNotRun && refusal.RetryAfter == 0 && !x.deadline.IsZero() {
		left := time.Until(x.deadline)
		pause := min(time.Duration(float64(left)*returnPart), maxReturn)
		if pause > minReturn {
			refusal.RetryAfter = minReturn + time.Duration(x.f.draw()*float64(pause-minReturn))
		}
	}
	x.log("A call was refused.", zap.String("Reason", string(refusal.Reason)), zap.Bool("NotRun", refusal.IsNotRun),
		zap.Duration("RetryAfter", refusal.RetryAfter))
	x.f.c.Recorder.Count(recorder.CounterRefused + string(refusal.Reason))
	refuser.WriteDirect(x.w, refusal)
}

// log writes a line on the call.
func (x *exchange) log(message string, fields ...zap.Field) {
	fields = append(fields, zap.String("Call", x.call.ID), zap.Int64("Configuration", x.version),
		zap.String("Service", x.service.Name), zap.Int("Runs", x.runs), zap.Duration("After", time.Since(x.started)))
	x.f.c.Log.Info("call: "+message, fields...)
}

// try sends the call to one upstream.
func (x *exchange) try(ctx context.Context, u foxtailwharf.Upstream) outcome {
	t := &try{x: x, upstream: u}
	o, result := t.run(ctx)
	if ctx.Err() != nil && result == balancer.Failed {
		result = balancer.Abandoned
	}
	x.f.c.Assigner.Finished(u.ID, result)
	return o
}

// writeWhole passes on an answer that is not a stream.
func (x *exchange) writeWhole(a *wholeAnswer) {
	copyHeader(x.w.Header(), a.header)
	x.w.WriteHeader(a.status)
	if _, err := x.w.Write(a.body); err != nil {
		x.log("The caller left before its answer was written.", zap.Error(err))
	}
}

// beginStream passes on the head of a stream.
func (x *exchange) beginStream(status int, header http.Header) {
	if x.isBegun {
		return
	}
	x.isBegun = true
	x.first = time.Since(x.started)
	copyHeader(x.w.Header(), header)
	x.w.WriteHeader(status)
}

// writeEvent passes on a part of a stream at once.
func (x *exchange) writeEvent(data []byte) error {
	if _, err := x.w.Write(data); err != nil {
		return errors.Wrap(err, "exchange.writeEvent")
	}
	now := time.Now()
	if !x.eventAt.IsZero() {
		x.time(recorder.MeasureBetween, now.Sub(x.eventAt))
	}
	x.eventAt = now
	return http.NewResponseController(x.w).Flush()
}

func copyHeader(to, from http.Header) {
	for name, values := range from {
		to[name] = values
	}
	if from.Get("Content-Type") == "" {
		// net/http would guess one.
		to["Content-Type"] = nil
	}
}

// readAll reads a whole answer.
func readAll(r io.Reader) ([]byte, error) {
	return io.ReadAll(io.LimitReader(r, maxAnswerBytes))
}

// maxAnswerBytes bounds an answer that is held until it is whole.
const maxAnswerBytes = 64 << 20
