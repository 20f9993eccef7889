package forwarder_test

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"testing"
	"time"

	"go.uber.org/zap/zaptest/observer"

	"github.com/foxtailwharf/foxtailwharf/internal/connection/callerlimiter"
	"github.com/foxtailwharf/foxtailwharf/internal/process/meter"
	"github.com/foxtailwharf/foxtailwharf/internal/request/explainer"
	"github.com/foxtailwharf/foxtailwharf/standin"
)

// Log lines of calls without a whole answer.
const (
	lineAborted = "call: answer to the caller aborted after its head was sent"
	lineCut     = "call: caller disconnected during its stream"
	lineLeft    = "call: caller left before its answer began"
	lineRefused = "call: refused"
)

// endTime is when the ends of these tests come, and callTimeout what their callers allow.
const (
	endTime     = 300 * time.Millisecond
	callTimeout = 5 * time.Second
)

// beginThenSilent sends the first event of a stream and nothing more.
func beginThenSilent(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("Content-Type", "text/event-stream")
	_, _ = fmt.Fprint(w, "id: 1\ndata: x\n\n")
	_ = http.NewResponseController(w).Flush()
	<-r.Context().Done()
}

// leaveAt makes the caller of a request leave after a time.
func leaveAt(after time.Duration) func(r *http.Request) {
	return func(r *http.Request) {
		ctx, cancel := context.WithCancel(r.Context())
		*r = *r.WithContext(ctx)
		time.AfterFunc(after, cancel)
	}
}

// reportRun reports a run of the first upstream that has just started.
func reportRun(b *bench) {
	b.reportStart(time.Now())
}

// beginShutdown begins a shutdown in which a stream can still begin.
func beginShutdown(b *bench) {
	const grace = 800 * time.Millisecond
	ctx, cancel := context.WithTimeout(b.t.Context(), grace)
	b.t.Cleanup(cancel)
	b.forwarder.Leave(ctx)
}

// TestUnansweredCalls guards against calls without a whole answer whose log lines and counters do not tell why.
func TestUnansweredCalls(t *testing.T) {
	tests := []struct {
		name     string
		path     string
		answer   func(w http.ResponseWriter, r *http.Request)
		change   func(r *http.Request)
		before   func(b *bench) // the call is sent
		during   func(b *bench) // the call, at endTime
		line     string
		cause    explainer.Cause
		leftFrom time.Duration // least time left until the deadline
	}{
		{name: "deadline in a stream", path: "/tale/1", answer: beginThenSilent, line: lineAborted, cause: explainer.CauseDeadline, leftFrom: -loadTime},
		{name: "deadline before the head", path: "/book/1", answer: silently, line: lineRefused, cause: explainer.CauseDeadline, leftFrom: -loadTime},
		{name: "caller left in a stream", path: "/tale/1", answer: beginThenSilent, change: leaveAt(endTime), line: lineAborted, cause: explainer.CauseCallerLeft, leftFrom: 4 * time.Second},
		{name: "caller left before the head", path: "/book/1", answer: silently, change: leaveAt(endTime), line: lineLeft, cause: explainer.CauseCallerLeft, leftFrom: 4 * time.Second},
		{name: "caller left, repeatable", path: "/look/1", answer: silently, change: leaveAt(endTime), line: lineLeft, cause: explainer.CauseCallerLeft, leftFrom: 4 * time.Second},
		{name: "upstream broke off", path: "/tale/1", answer: events(1, 3, true), line: lineAborted, cause: explainer.CauseUpstreamBroke, leftFrom: 4 * time.Second},
		{name: "upstream broke off before the head", path: "/book/1", answer: breakOff, line: lineRefused, cause: explainer.CauseUpstreamBroke, leftFrom: 4 * time.Second},
		{name: "upstream silent in a stream", path: "/chat/1", answer: beginThenSilent, line: lineAborted, cause: explainer.CauseUpstreamSilent, leftFrom: 2 * time.Second},
		{name: "upstream ended", path: "/tale/1", answer: beginThenSilent, before: reportRun, during: reportRun, line: lineAborted, cause: explainer.CauseUpstreamEnded, leftFrom: 4 * time.Second},
		{name: "end of a shutdown", path: "/tale/1", answer: beginThenSilent, during: beginShutdown, line: lineAborted, cause: explainer.CauseShutdown, leftFrom: 4 * time.Second},
		{name: "began during a shutdown", path: "/tale/1", answer: beginThenSilent, before: beginShutdown, line: lineAborted, cause: explainer.CauseShutdown, leftFrom: -loadTime},
		{name: "answer of another call", path: "/book/1", answer: func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set(standin.HeaderCall, "another")
		}, line: lineRefused, cause: explainer.CauseInvalidAnswer, leftFrom: 4 * time.Second},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			run(t, func(b *bench) {
				b.upstream(2, tt.answer)
				time.Sleep(time.Second)
				if tt.before != nil {
					tt.before(b)
				}
				if tt.during != nil {
					time.AfterFunc(endTime, func() { tt.during(b) })
				}
				b.call(tt.path, func(r *http.Request) {
					r.Header.Set(standin.HeaderTimeout, fmt.Sprint(callTimeout.Milliseconds()))
					if tt.change != nil {
						tt.change(r)
					}
				})
				time.Sleep(time.Second)
				b.checkUnanswered(tt.line, tt.cause, tt.leftFrom)
			})
		})
	}
}

// loadTime is how long after its deadline a call may be ended.
const loadTime = 50 * time.Millisecond

// checkUnanswered checks the only log line on the end of a call, and the counters.
func (b *bench) checkUnanswered(line string, cause explainer.Cause, leftFrom time.Duration) {
	ends := b.logs.Filter(func(e observer.LoggedEntry) bool {
		return e.Message == lineAborted || e.Message == lineCut || e.Message == lineLeft || e.Message == lineRefused
	}).All()
	if len(ends) != 1 || ends[0].Message != line {
		b.t.Errorf("have the lines %v, want %q alone", ends, line)
		return
	}
	fields := ends[0].ContextMap()
	if have := fmt.Sprint(fields["Cause"]); have != string(cause) {
		b.t.Errorf("have the cause %s in %v, want %s", have, fields, cause)
	}
	if left, hasLeft := fields["Left"].(time.Duration); !hasLeft || left < leftFrom || left > callTimeout {
		b.t.Errorf("have %v left, want at least %s", fields["Left"], leftFrom)
	}
	unanswered, refused := int64(1), int64(0)
	if line == lineRefused {
		unanswered, refused = 0, 1
	}
	if have := b.meter.Counter(meter.CounterUnanswered + string(cause)); have != unanswered {
		b.t.Errorf("counted %d calls without an answer, want %d", have, unanswered)
	}
	if have := b.meter.Counter(meter.CounterRefused+"OutcomeUnknown") + b.meter.Counter(meter.CounterRefused+"Deadline"); have != refused {
		b.t.Errorf("counted %d refusals, want %d", have, refused)
	}
	hasRead := fields["ReadError"] == io.EOF.Error() && fields["ReadPhase"] == callerlimiter.PhaseServing.String()
	if hasRead != (cause == explainer.CauseCallerLeft) {
		b.t.Errorf("have %v as the end of the last read in phase %v, with the cause %s", fields["ReadError"], fields["ReadPhase"], cause)
	}
	if since, hasSince := fields["SinceChange"].(time.Duration); line != lineRefused && (!hasSince || since < time.Second) {
		b.t.Errorf("have %v since the change of the configuration, want a second or more", fields["SinceChange"])
	}
}
