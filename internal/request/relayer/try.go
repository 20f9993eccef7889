package relayer

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptrace"
	"net/textproto"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"github.com/foxtailwharf/foxtailwharf"
	"github.com/foxtailwharf/foxtailwharf/internal/request/arbiter"
	"github.com/foxtailwharf/foxtailwharf/internal/request/explainer"
	"github.com/foxtailwharf/foxtailwharf/internal/request/runner"
	"github.com/foxtailwharf/foxtailwharf/internal/request/splitter"
	"github.com/foxtailwharf/foxtailwharf/wire"
)

// Times without heartbeats or data after which an agent counts as stalled, if another one can take the
// request: before the response begins, and during it.
const (
	heartbeatTimeout  = 3 * runner.HeartbeatInterval
	streamIdleTimeout = 10 * time.Second
)

// outcome is the result of one attempt.
type outcome struct {
	isWhole     bool // the complete response has been sent to the caller
	isRefused   bool // the agent answered with a refusal
	refusal     *foxtailwharf.Refusal
	incarnation string // incarnation that answered; empty if none did
	load        *wire.Load
	generation  uint64
	isFault     bool            // the upstream or its agent failed
	isDeath     bool            // the upstream died with the request in flight
	hasBegun    bool            // a part of the response has been sent to the caller
	isMismatch  bool            // the response is malformed or does not belong to the attempt
	isFinal     bool            // another attempt cannot succeed
	cause       explainer.Cause // of an attempt that may have run and has failed
}

// isNotRun reports whether the attempt was certainly not run.
func (o outcome) isNotRun() bool {
	return o.refusal != nil && o.refusal.IsNotRun
}

// isClosed reports whether the agent accepts no requests for now.
func (o outcome) isClosed() bool {
	if o.refusal == nil {
		return false
	}
	switch o.refusal.Reason {
	case foxtailwharf.ReasonNotReady, foxtailwharf.ReasonLeaving, foxtailwharf.ReasonWrongIncarnation:
		return true
	default:
		return false
	}
}

// isRefusedBy reports whether the incarnation itself refused the attempt.
func (o outcome) isRefusedBy(incarnation string) bool {
	return o.incarnation == incarnation && o.isRefused
}

// try is one attempt at one agent.
type try struct {
	e        *exchange
	client   *http.Client
	instance foxtailwharf.Instance
	attempt  wire.Attempt
	isSent   atomic.Bool
	cancel   context.CancelCauseFunc
	arbiter  arbiter.Arbiter
	watchdog watchdog
	// canReplace reports whether a stalled agent is given up. It is called while the attempt is under way, from
	// another goroutine.
	canReplace func() bool

	mu      sync.Mutex
	isEnded bool
}

// errStalled is the cause with which a stalled attempt is cancelled.
var errStalled = errors.New("the agent sends neither heartbeats nor data")

// run sends the attempt and forwards its response.
func (t *try) run(ctx context.Context) outcome {
	var guarded context.Context
	guarded, t.cancel = context.WithCancelCause(ctx)
	defer t.cancel(nil)
	t.watchdog.start(heartbeatTimeout, t.handleSilence)
	defer t.end()
	request, err := t.request(guarded)
	if err != nil {
		return outcome{refusal: foxtailwharf.NotRun(foxtailwharf.ReasonBadRequest, err.Error()), isFinal: true}
	}
	response, err := t.client.Do(request)
	if err != nil {
		return t.failed(guarded, err)
	}
	defer func() { _ = response.Body.Close() }()
	return t.read(guarded, response)
}

// handleSilence gives up a stalled agent if another one can take the request, and waits on if not, or if the agent goes on
// meanwhile.
func (t *try) handleSilence() {
	t.mu.Lock()
	defer t.mu.Unlock()
	parts := t.arbiter.Parts()
	switch {
	case t.isEnded || t.watchdog.isEarly():
	case t.canReplace() && t.arbiter.GiveUp(parts):
		t.cancel(errStalled)
	default:
		t.watchdog.wait(heartbeatTimeout)
	}
}

// end ends the attempt, after which canReplace is not called any more.
func (t *try) end() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.isEnded = true
	t.watchdog.pause()
}

// request builds the HTTP request. It has no GetBody and no header that would let net/http send
// it again.
func (t *try) request(ctx context.Context) (*http.Request, error) {
	trace := &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { t.isSent.Store(true) },
		Got1xxResponse: func(int, textproto.MIMEHeader) error {
			t.watchdog.hear(heartbeatTimeout)
			t.arbiter.Hear()
			return nil
		},
	}
	record, err := json.Marshal(t.attempt)
	if err != nil {
		return nil, errors.Wrap(err, "try.request")
	}
	target := "http://" + t.instance.Address.String() + runner.Path
	body := io.NopCloser(bytes.NewReader(t.e.req.Body))
	request, err := http.NewRequestWithContext(httptrace.WithClientTrace(ctx, trace), http.MethodPost, target, body)
	if err != nil {
		return nil, errors.Wrap(err, "try.request")
	}
	request.ContentLength = int64(len(t.e.req.Body))
	request.Header.Set(runner.HeaderAttempt, string(record))
	return request, nil
}

// failed returns the outcome of an attempt that got no response.
func (t *try) failed(ctx context.Context, err error) outcome {
	if !t.isSent.Load() {
		isGivenUp := ctx.Err() != nil && !errors.Is(context.Cause(ctx), errStalled)
		return outcome{
			refusal: foxtailwharf.NotRun(foxtailwharf.ReasonNoUpstream, "the upstream's agent could not be reached"),
			isFault: !isGivenUp,
		}
	}
	return t.interrupted(ctx, err)
}

// interrupted returns the outcome of an attempt whose response was interrupted.
func (t *try) interrupted(ctx context.Context, err error) outcome {
	o := outcome{
		refusal: foxtailwharf.OutcomeUnknown(foxtailwharf.ReasonOutcomeUnknown, "the response was interrupted"),
		cause:   explainer.CauseUpstreamBroke,
	}
	switch {
	case errors.Is(context.Cause(ctx), errStalled):
		o.refusal.Detail = errStalled.Error()
		o.cause = explainer.CauseUpstreamSilent
		o.isFault = true
	case ctx.Err() != nil:
		o.refusal = foxtailwharf.OutcomeUnknown(foxtailwharf.ReasonDeadline, "the caller disconnected or the deadline passed")
		o.isFinal = true
	case errors.Is(err, errSequence):
		return mismatched(err.Error())
	case errors.Is(err, errDisconnected), errors.Is(err, errGivenUp):
		o.isFinal = true
	case errors.Is(err, errTooLarge):
		o.refusal = foxtailwharf.OutcomeUnknown(foxtailwharf.ReasonAnswerTooLarge, err.Error())
		o.isFinal = true
	default:
		o.isFault = true
		o.isDeath = true
	}
	return o
}

// mismatched returns the outcome of a response that is malformed or does not belong to the
// attempt.
func mismatched(detail string) outcome {
	return outcome{
		refusal:    foxtailwharf.OutcomeUnknown(foxtailwharf.ReasonOutcomeUnknown, detail),
		isFault:    true,
		isMismatch: true,
		cause:      explainer.CauseInvalidAnswer,
	}
}

// read checks the opening record and forwards the response.
func (t *try) read(ctx context.Context, response *http.Response) outcome {
	var answer wire.Answer
	if err := json.Unmarshal([]byte(response.Header.Get(runner.HeaderAnswer)), &answer); err != nil {
		return mismatched("the response has no valid opening record")
	}
	if answer.AttemptID != t.attempt.AttemptID {
		return mismatched("the response belongs to another attempt")
	}
	if answer.Refusal != nil {
		return t.refused(answer)
	}
	if answer.Incarnation != t.instance.Incarnation {
		return mismatched("the response comes from another incarnation")
	}
	if answer.Status < http.StatusOK {
		return mismatched("the response has no valid status")
	}
	if !t.e.out.accepts(answer) {
		return mismatched("the response comes from another version than the part that was already sent")
	}
	o := t.forward(ctx, response, answer)
	o.incarnation = answer.Incarnation
	o.generation = answer.Generation
	if o.load == nil {
		o.load = answer.Load
	}
	return o
}

// refused returns the outcome of an agent's refusal.
func (t *try) refused(answer wire.Answer) outcome {
	refusal := foxtailwharf.RefusalFromWire(answer.Refusal)
	return outcome{
		isRefused:   true,
		refusal:     refusal,
		incarnation: answer.Incarnation,
		load:        answer.Load,
		generation:  answer.Generation,
		isFault:     refusal.Reason == foxtailwharf.ReasonUpstreamFailed,
		isDeath:     refusal.Reason == foxtailwharf.ReasonUpstreamDied,
		isFinal:     refusal.Reason == foxtailwharf.ReasonDeadline,
		cause:       causeOfReason(refusal.Reason),
	}
}

// causeOfReason returns the cause that an agent's reason for a missing or incomplete response stands for.
func causeOfReason(reason foxtailwharf.Reason) explainer.Cause {
	switch reason {
	case foxtailwharf.ReasonDeadline:
		return explainer.CauseDeadline
	case foxtailwharf.ReasonUpstreamDied:
		return explainer.CauseUpstreamEnded
	default:
		return explainer.CauseUpstreamBroke
	}
}

// isForwardedByEvent reports whether events are sent to the caller before the response is complete. The
// agent stores the response of a call with a key before it sends any of it, and sends the repeat of the
// call all of it again.
func (t *try) isForwardedByEvent(answer wire.Answer) bool {
	return t.attempt.Key == "" && runner.IsStream(answer.ContentType)
}

// forward sends the response to the caller and checks its end record.
func (t *try) forward(ctx context.Context, response *http.Response, answer wire.Answer) outcome {
	t.watchdog.hear(streamIdleTimeout)
	counter := &countingReader{reader: response.Body, onRead: func() bool { return t.hear(ctx) }}
	var err error
	var rest []byte
	isByEvent := t.isForwardedByEvent(answer)
	if isByEvent {
		err = t.forwardEvents(counter, answer)
	} else if rest, err = t.e.out.readAll(counter); err == nil {
		err = io.EOF
	}
	if !errors.Is(err, io.EOF) {
		return t.interrupted(ctx, err)
	}
	o := t.checkEnd(response.Trailer.Get(runner.TrailerEnd), counter.count)
	if !o.isWhole {
		return o
	}
	if isByEvent {
		t.e.out.finishStream(answer)
	} else {
		t.e.out.writeAll(answer, rest)
	}
	return o
}

// forwardEvents sends complete events to the caller. It returns io.EOF at the end of the stream.
func (t *try) forwardEvents(r io.Reader, answer wire.Answer) error {
	events := splitter.New(r)
	for {
		event, err := events.Next()
		if err != nil {
			return err
		}
		// A caller that reads slowly does not make the agent a stalled one.
		t.watchdog.pause()
		if err := t.e.out.writeEvent(answer, event); err != nil {
			return err
		}
		t.watchdog.hear(streamIdleTimeout)
	}
}

// checkEnd compares the end record with what was received.
func (t *try) checkEnd(text string, received int64) outcome {
	var end wire.End
	if err := json.Unmarshal([]byte(text), &end); err != nil {
		return outcome{
			refusal: foxtailwharf.OutcomeUnknown(foxtailwharf.ReasonOutcomeUnknown, "the response has no valid end record"),
			isFault: true,
			cause:   explainer.CauseUpstreamBroke,
		}
	}
	if end.AttemptID != t.attempt.AttemptID {
		return mismatched("the end record belongs to another attempt")
	}
	o := outcome{load: end.Load}
	if end.IsWhole && end.Bytes == received {
		o.isWhole = true
		return o
	}
	o.refusal = foxtailwharf.OutcomeUnknown(foxtailwharf.ReasonOutcomeUnknown, "the response is incomplete")
	o.isFault = true
	o.cause = causeOfReason(foxtailwharf.Reason(end.Reason))
	switch foxtailwharf.Reason(end.Reason) {
	case foxtailwharf.ReasonUpstreamDied:
		o.isDeath = true
	case foxtailwharf.ReasonDeadline:
		o.isFinal = true
	}
	return o
}

// hear records that a part of the response has arrived. It returns false if the attempt has been given up, once it is cancelled.
func (t *try) hear(ctx context.Context) bool {
	t.watchdog.hear(streamIdleTimeout)
	if !t.arbiter.Hear() {
		<-ctx.Done()
		return false
	}
	return true
}

// countingReader counts the bytes of a response and calls onRead whenever it reads some. If that returns false, the bytes are
// dropped.
type countingReader struct {
	reader io.Reader
	count  int64
	onRead func() bool
}

// Read reads from the response body.
func (r *countingReader) Read(p []byte) (int, error) {
	n, err := r.reader.Read(p)
	if n > 0 && !r.onRead() {
		return 0, errStalled
	}
	r.count += int64(n)
	return n, err
}
