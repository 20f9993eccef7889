// Package runner runs attempts at the agent: it deduplicates calls with a key, queues attempts at
// the dispatcher, calls the upstream, and sends the response between an opening record and an end
// record.
package runner

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/foxtailwharf/foxtailwharf"
	"github.com/foxtailwharf/foxtailwharf/internal/process/meter"
	"github.com/foxtailwharf/foxtailwharf/internal/request/deduplicator"
	"github.com/foxtailwharf/foxtailwharf/internal/request/dispatcher"
	"github.com/foxtailwharf/foxtailwharf/internal/request/scheduler"
	"github.com/foxtailwharf/foxtailwharf/internal/request/splitter"
	"github.com/foxtailwharf/foxtailwharf/wire"
)

// Path and headers of the protocol between entry and agent.
const (
	Path          = "/attempts"
	HeaderAttempt = "Foxtailwharf-Attempt"
	HeaderAnswer  = "Foxtailwharf-Answer"
	TrailerEnd    = "Foxtailwharf-End"

	// bytesPerToken estimates the number of tokens in a response that is not a stream.
	bytesPerToken = 4
	copyBytes     = 32 << 10
)

// Config holds the settings of a Runner.
type Config struct {
	Engine       foxtailwharf.Engine
	Dispatcher   *dispatcher.Dispatcher
	Deduplicator deduplicator.Config
	Self         func() foxtailwharf.Instance
	// OnFirstOutput is called with the time from sending a call to the upstream until the first
	// part of its response arrived; for a call with a key, until the call ended, also by a failure.
	OnFirstOutput func(rank foxtailwharf.Rank, elapsed time.Duration)
	// OnUpstreamSuspect is called when the upstream seems to have died or changed its version.
	OnUpstreamSuspect func()
	Meter             *meter.Meter
	MaxBodyBytes      int64
	MaxAnswerBytes    int64
}

// Runner runs the attempts of one agent. It is safe for concurrent use.
type Runner struct {
	config Config

	mu       sync.Mutex
	keys     *deduplicator.Deduplicator
	inFlight int           // number of attempts whose response is not complete
	idle     chan struct{} // closed when none is in flight; nil if nobody waits for that
}

// New returns a runner that has stored no keys.
func New(config Config) *Runner {
	return &Runner{config: config, keys: deduplicator.New(config.Deduplicator, time.Now())}
}

// Generation returns the newest generation of the stored keys.
func (r *Runner) Generation() uint64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.keys.Generation()
}

// addInFlight adds change to the number of attempts in flight.
func (r *Runner) addInFlight(change int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.inFlight += change
	if r.inFlight == 0 && r.idle != nil {
		close(r.idle)
		r.idle = nil
	}
}

// WaitAnswered waits until no attempt is in flight or the context ends.
func (r *Runner) WaitAnswered(ctx context.Context) error {
	r.mu.Lock()
	if r.idle == nil {
		r.idle = make(chan struct{})
	}
	idle := r.idle
	r.mu.Unlock()
	r.addInFlight(0)
	select {
	case <-idle:
		return nil
	case <-ctx.Done():
		return errors.Wrap(ctx.Err(), "Runner.WaitAnswered")
	}
}

// ServeHTTP runs the attempt in a request from an entry.
func (r *Runner) ServeHTTP(w http.ResponseWriter, q *http.Request) {
	r.addInFlight(1)
	defer r.addInFlight(-1)
	var attempt wire.Attempt
	if err := json.Unmarshal([]byte(q.Header.Get(HeaderAttempt)), &attempt); err != nil {
		http.Error(w, "invalid attempt header: "+err.Error(), http.StatusBadRequest)
		return
	}
	body, err := io.ReadAll(http.MaxBytesReader(w, q.Body, r.config.MaxBodyBytes))
	if err != nil {
		r.refuse(w, attempt, foxtailwharf.NotRun(foxtailwharf.ReasonBadRequest, "the request body is incomplete or too large"))
		return
	}
	if attempt.Incarnation != "" && attempt.Incarnation != r.config.Self().Incarnation {
		// The refusal covers this attempt only: what the named incarnation did with earlier ones is
		// not known here.
		r.refuse(w, attempt, foxtailwharf.NotRun(foxtailwharf.ReasonWrongIncarnation, "the instance was replaced by another incarnation"))
		return
	}
	if attempt.Key != "" {
		r.serveOnce(w, q, attempt, body)
		return
	}
	r.serveRepeatable(w, q, attempt, body)
}

func (r *Runner) answer(attempt wire.Attempt) wire.Answer {
	return wire.Answer{
		AttemptID:   attempt.AttemptID,
		Incarnation: r.config.Self().Incarnation,
		Generation:  r.Generation(),
		Load:        r.config.Dispatcher.Load().ToWire(),
	}
}

// refuse sends a refusal instead of a response.
func (r *Runner) refuse(w http.ResponseWriter, attempt wire.Attempt, refusal *foxtailwharf.Refusal) {
	answer := r.answer(attempt)
	answer.Refusal = refusal.ToWire()
	setRecord(w, HeaderAnswer, answer)
	w.Header().Set("Content-Length", "0")
	w.WriteHeader(http.StatusServiceUnavailable)
}

// setRecord writes a record into a header as JSON. The types of records always encode.
func setRecord(w http.ResponseWriter, name string, record any) {
	text, _ := json.Marshal(record)
	w.Header().Set(name, string(text))
}

// writeOpening sends the record that precedes a response.
func (r *Runner) writeOpening(w http.ResponseWriter, answer wire.Answer) {
	setRecord(w, HeaderAnswer, answer)
	w.Header().Set("Trailer", TrailerEnd)
	w.WriteHeader(http.StatusOK)
}

// writeEnd sends the record that follows a response. An empty reason means that the response is
// complete.
func (r *Runner) writeEnd(w http.ResponseWriter, attempt wire.Attempt, sent int64, reason foxtailwharf.Reason) {
	setRecord(w, TrailerEnd, wire.End{
		AttemptID: attempt.AttemptID,
		Bytes:     sent,
		IsWhole:   reason == "",
		Reason:    string(reason),
		Load:      r.config.Dispatcher.Load().ToWire(),
	})
}

func (r *Runner) item(attempt wire.Attempt) *scheduler.Item {
	item := &scheduler.Item{
		ID:   attempt.AttemptID,
		Rank: foxtailwharf.Rank(attempt.Rank),
		Identity: foxtailwharf.Identity{
			Member:  attempt.Member,
			Account: attempt.Account,
			Caller:  attempt.Caller,
		},
		Cost:          attempt.Cost,
		IsPreemptible: attempt.Key == "",
	}
	if attempt.TimeoutMillis > 0 {
		item.Deadline = time.Now().Add(timeout(attempt))
	}
	return item
}

func timeout(attempt wire.Attempt) time.Duration {
	return time.Duration(attempt.TimeoutMillis) * time.Millisecond
}

func callOf(attempt wire.Attempt, body []byte) foxtailwharf.EngineCall {
	return foxtailwharf.EngineCall{
		Method:       attempt.Method,
		Path:         attempt.Path,
		ContentType:  attempt.ContentType,
		Accept:       attempt.Accept,
		Body:         body,
		ResumeAfter:  attempt.ResumeAfter,
		CallerKey:    attempt.CallerKey,
		IsAtMostOnce: attempt.Key != "",
	}
}

// serveRepeatable runs an attempt without a key and streams its response. It queues the attempt
// again whenever it is preempted.
func (r *Runner) serveRepeatable(w http.ResponseWriter, q *http.Request, attempt wire.Attempt, body []byte) {
	ctx := q.Context()
	if attempt.TimeoutMillis > 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, timeout(attempt))
		defer cancel()
	}
	request, refusal := r.config.Dispatcher.Enqueue(r.item(attempt), attempt.Version, attempt.IsSuspect)
	heartbeat := startHeartbeat(w)
	defer heartbeat.stop()
	for refusal == nil {
		if refusal = r.wait(ctx, request, attempt); refusal != nil {
			break
		}
		if isDone := r.stream(ctx, w, heartbeat, request, attempt, body); isDone {
			return
		}
		request.Requeue()
	}
	heartbeat.stop()
	r.refuse(w, attempt, refusal)
}

// wait waits until the request may run and records the time that it took.
func (r *Runner) wait(ctx context.Context, request *dispatcher.Request, attempt wire.Attempt) *foxtailwharf.Refusal {
	started := time.Now()
	refusal := request.Wait(ctx)
	r.config.Meter.RecordDuration(meter.MeasureQueue, attempt.Account, attempt.Rank, time.Since(started))
	return refusal
}

// stream calls the upstream and copies its response. It returns false if the request was
// preempted and has to wait again.
func (r *Runner) stream(ctx context.Context, w http.ResponseWriter, heartbeat *heartbeat, request *dispatcher.Request, attempt wire.Attempt, body []byte) (isDone bool) {
	started := time.Now()
	running, cancel := request.Context(ctx)
	defer cancel()
	answer, err := r.config.Engine.Do(running, callOf(attempt, body))
	if err == nil {
		defer func() { _ = answer.Body.Close() }()
		err = checkVersion(answer.Version, request.Version())
	}
	var first splitter.Event
	copier := &copier{w: w, version: request.Version()}
	if err == nil {
		copier.prepare(answer)
		first, err = copier.next()
	}
	if !request.MarkSent(running) {
		return false
	}
	heartbeat.stop()
	r.suspectUpstream(err)
	if err != nil && !isWholeEnd(err) {
		request.Done(0)
		r.refuse(w, attempt, refusalOf(err))
		return true
	}
	r.recordFirst(attempt, time.Since(started))
	opening := r.answer(attempt)
	opening.Version = request.Version()
	opening.Status = answer.Status
	opening.ContentType = answer.ContentType
	r.writeOpening(w, opening)
	err = copier.copy(first, err)
	r.suspectUpstream(err)
	request.Done(copier.cost())
	r.writeEnd(w, attempt, copier.sent, reasonOf(err))
	return true
}

func (r *Runner) recordFirst(attempt wire.Attempt, elapsed time.Duration) {
	rank := foxtailwharf.Rank(attempt.Rank)
	r.config.Meter.RecordDuration(meter.MeasureFirstToken, attempt.Account, string(rank), elapsed)
	r.config.OnFirstOutput(rank, elapsed)
}

// suspectUpstream calls OnUpstreamSuspect if the error means that the upstream died or changed
// its version, so that further requests are held back until its state is known.
func (r *Runner) suspectUpstream(err error) {
	switch reasonOf(err) {
	case foxtailwharf.ReasonUpstreamDied, foxtailwharf.ReasonWrongVersion:
		r.config.OnUpstreamSuspect()
	}
}

// errVersion means that the engine responded with another version than the dispatcher's.
var errVersion = errors.New("the engine responded with another version")

func checkVersion(reported, expected string) error {
	if reported != expected {
		return errVersion
	}
	return nil
}

// refusalOf converts a failure before the first byte into a refusal.
func refusalOf(err error) *foxtailwharf.Refusal {
	var failure *foxtailwharf.EngineError
	switch {
	case errors.Is(err, errVersion):
		return foxtailwharf.OutcomeUnknown(foxtailwharf.ReasonWrongVersion, err.Error())
	case errors.As(err, &failure) && failure.IsNotRun:
		return foxtailwharf.NotRun(foxtailwharf.ReasonUpstreamFailed, "the upstream could not be reached")
	default:
		return foxtailwharf.OutcomeUnknown(reasonOf(err), "the upstream returned no complete response")
	}
}

// isWholeEnd reports whether an error is the regular end of a response. A connection that broke
// before the response also gives io.EOF, but inside an EngineError.
func isWholeEnd(err error) bool {
	var failure *foxtailwharf.EngineError
	return errors.Is(err, io.EOF) && !errors.As(err, &failure)
}

// reasonOf returns the reason why a response is incomplete, empty if it is complete.
func reasonOf(err error) foxtailwharf.Reason {
	var failure *foxtailwharf.EngineError
	switch {
	case err == nil || isWholeEnd(err):
		return ""
	case errors.Is(err, errVersion):
		return foxtailwharf.ReasonWrongVersion
	case errors.As(err, &failure) && failure.IsDead:
		return foxtailwharf.ReasonUpstreamDied
	case errors.Is(err, context.DeadlineExceeded):
		return foxtailwharf.ReasonDeadline
	default:
		return foxtailwharf.ReasonUpstreamFailed
	}
}
