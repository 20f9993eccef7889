package relayer

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptrace"
	"net/textproto"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"github.com/foxtailwharf/foxtailwharf"
	"github.com/foxtailwharf/foxtailwharf/internal/request/runner"
	"github.com/foxtailwharf/foxtailwharf/internal/request/splitter"
	"github.com/foxtailwharf/foxtailwharf/wire"
)

// Times after which an agent that shows no sign of life counts as stalled.
const (
	silenceLimit = 3 * runner.HeartbeatInterval
	streamLimit  = 10 * time.Second
)

// outcome is what came of one attempt.
type outcome struct {
	isWhole     bool // the whole answer has reached the caller
	refusal     *foxtailwharf.Refusal
	incarnation string // that answered; empty where none did
	load        *wire.Load
	generation  uint64
	isFault     bool // the upstream or its agent failed
	isDeath     bool // the upstream died with the request in flight
	isCrossed   bool // the answer was not the one awaited
	isFinal     bool // another try cannot do better
}

// isNotRun reports whether the attempt certainly did not run.
func (o outcome) isNotRun() bool {
	return o.refusal != nil && o.refusal.IsNotRun
}

// isClosed reports whether the gate takes no requests for now.
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

// isAnsweredBy reports whether the incarnation itself refused.
func (o outcome) isAnsweredBy(incarnation string) bool {
	return o.incarnation == incarnation && o.refusal != nil
}

// try is one attempt at one agent.
type try struct {
	e        *exchange
	client   *http.Client
	instance foxtailwharf.Instance
	attempt  wire.Attempt
	isSent   atomic.Bool
	cancel   context.CancelCauseFunc
	watch    *time.Timer
}

// errStalled is the cause by which an attempt is given up.
var errStalled = errors.New("the agent shows no sign of life")

// run makes the attempt.
func (t *try) run(ctx context.Context) outcome {
	var watched context.Context
	watched, t.cancel = context.WithCancelCause(ctx)
	defer t.cancel(nil)
	t.watch = time.AfterFunc(silenceLimit, func() { t.cancel(errStalled) })
	defer t.watch.Stop()
	request, err := t.request(watched)
	if err != nil {
		return outcome{refusal: foxtailwharf.NotRun(foxtailwharf.ReasonBadRequest, err.Error()), isFinal: true}
	}
	response, err := t.client.Do(request)
	if err != nil {
		return t.failed(watched, err)
	}
	defer func() { _ = response.Body.Close() }()
	return t.read(watched, response)
}

// request builds the HTTP request. Its body has no GetBody and no header by which
// net/http would send it again.
func (t *try) request(ctx context.Context) (*http.Request, error) {
	trace := &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { t.isSent.Store(true) },
		Got1xxResponse: func(int, textproto.MIMEHeader) error {
			t.watch.Reset(silenceLimit)
			return nil
		},
	}
	record, err := json.Marshal(t.attempt)
	if err != nil {
		return nil, errors.Wrap(err, "try.request")
	}
	target := "http://" + t.instance.Address.String() + runner.Path
	body := io.NopCloser(bytes.NewReader(t.e.q.Body))
	request, err := http.NewRequestWithContext(httptrace.WithClientTrace(ctx, trace), http.MethodPost, target, body)
	if err != nil {
		return nil, errors.Wrap(err, "try.request")
	}
	request.ContentLength = int64(len(t.e.q.Body))
	request.Header.Set(runner.HeaderAttempt, string(record))
	return request, nil
}

// failed describes an attempt that got no answer.
func (t *try) failed(ctx context.Context, err error) outcome {
	if !t.isSent.Load() {
		isGivenUp := ctx.Err() != nil && !errors.Is(context.Cause(ctx), errStalled)
		return outcome{
			refusal: foxtailwharf.NotRun(foxtailwharf.ReasonNoUpstream, "the upstream's agent could not be reached"),
			isFault: !isGivenUp,
		}
	}
	return t.broken(ctx, err)
}

// broken describes an attempt whose answer broke off.
func (t *try) broken(ctx context.Context, err error) outcome {
	o := outcome{refusal: foxtailwharf.Unknown(foxtailwharf.ReasonOutcomeUnknown, "the answer broke off")}
	switch {
	case errors.Is(context.Cause(ctx), errStalled):
		o.refusal.Detail = errStalled.Error()
		o.isFault = true
	case ctx.Err() != nil:
		o.refusal = foxtailwharf.Unknown(foxtailwharf.ReasonDeadline, "the deadline passed")
		o.isFinal = true
	case errors.Is(err, errCaller):
		o.isFinal = true
	case errors.Is(err, errTooLarge):
		o.refusal = foxtailwharf.Unknown(foxtailwharf.ReasonAnswerTooLarge, err.Error())
		o.isFinal = true
	default:
		o.isFault = true
		o.isDeath = true
	}
	return o
}

// crossed describes an answer that belongs to something else.
func crossed(detail string) outcome {
	return outcome{
		refusal:   foxtailwharf.Unknown(foxtailwharf.ReasonOutcomeUnknown, detail),
		isFault:   true,
		isCrossed: true,
	}
}

// read checks the opening record and passes the answer on.
func (t *try) read(ctx context.Context, response *http.Response) outcome {
	var answer wire.Answer
	if err := json.Unmarshal([]byte(response.Header.Get(runner.HeaderAnswer)), &answer); err != nil {
		return crossed("the answer has no opening record")
	}
	if answer.AttemptID != t.attempt.AttemptID {
		return crossed("the answer belongs to another attempt")
	}
	if answer.Refusal != nil {
		return t.refused(answer)
	}
	if answer.Incarnation != t.instance.Incarnation {
		return crossed("the answer comes from another incarnation")
	}
	if answer.Status < http.StatusOK {
		return crossed("the answer has no status")
	}
	if !t.e.out.accepts(answer) {
		return crossed("the answer comes from another version than the part before it")
	}
	o := t.pass(ctx, response, answer)
	o.incarnation = answer.Incarnation
	o.generation = answer.Generation
	if o.load == nil {
		o.load = answer.Load
	}
	return o
}

// refused describes an agent's refusal.
func (t *try) refused(answer wire.Answer) outcome {
	refusal := foxtailwharf.RefusalFromWire(answer.Refusal)
	return outcome{
		refusal:     refusal,
		incarnation: answer.Incarnation,
		load:        answer.Load,
		generation:  answer.Generation,
		isFault:     refusal.Reason == foxtailwharf.ReasonUpstreamFailed,
		isDeath:     refusal.Reason == foxtailwharf.ReasonUpstreamDied,
		isFinal:     refusal.Reason == foxtailwharf.ReasonDeadline,
	}
}

// pass hands the answer to the caller and checks the record at its end.
func (t *try) pass(ctx context.Context, response *http.Response, answer wire.Answer) outcome {
	t.watch.Reset(streamLimit)
	counter := &countingReader{reader: response.Body, seen: func() { t.watch.Reset(streamLimit) }}
	var err error
	var rest []byte
	if runner.IsStream(answer.ContentType) {
		err = t.passEvents(counter, answer)
	} else if rest, err = t.e.out.readAll(counter); err == nil {
		err = io.EOF
	}
	if !errors.Is(err, io.EOF) {
		return t.broken(ctx, err)
	}
	o := t.checkEnd(response.Trailer.Get(runner.TrailerEnd), counter.count)
	if !o.isWhole {
		return o
	}
	if runner.IsStream(answer.ContentType) {
		t.e.out.finish(answer)
	} else {
		t.e.out.writeAll(answer, rest)
	}
	return o
}

// passEvents hands whole events to the caller. It returns io.EOF at the end.
func (t *try) passEvents(r io.Reader, answer wire.Answer) error {
	events := splitter.New(r)
	for {
		event, err := events.Next()
		if err != nil {
			return err
		}
		if err := t.e.out.writeEvent(answer, event); err != nil {
			return err
		}
	}
}

// checkEnd checks the end record against what arrived.
func (t *try) checkEnd(text string, received int64) outcome {
	var end wire.End
	if err := json.Unmarshal([]byte(text), &end); err != nil {
		return outcome{refusal: foxtailwharf.Unknown(foxtailwharf.ReasonOutcomeUnknown, "the answer has no end record"), isFault: true}
	}
	if end.AttemptID != t.attempt.AttemptID {
		return crossed("the end belongs to another attempt")
	}
	o := outcome{load: end.Load}
	if end.IsWhole && end.Bytes == received {
		o.isWhole = true
		return o
	}
	o.refusal = foxtailwharf.Unknown(foxtailwharf.ReasonOutcomeUnknown, "the answer is not whole")
	o.isFault = true
	switch foxtailwharf.Reason(end.Reason) {
	case foxtailwharf.ReasonUpstreamDied:
		o.isDeath = true
	case foxtailwharf.ReasonDeadline:
		o.isFinal = true
	}
	return o
}

// countingReader counts the bytes of an answer.
type countingReader struct {
	reader io.Reader
	count  int64
	seen   func()
}

// Read reads from the answer.
func (r *countingReader) Read(p []byte) (int, error) {
	n, err := r.reader.Read(p)
	r.count += int64(n)
	if n > 0 {
		r.seen()
	}
	return n, err
}
