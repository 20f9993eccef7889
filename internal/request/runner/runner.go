// Package runner runs attempts at the agent: it de-duplicates keyed calls, waits
// for a turn at the gate, calls the upstream, and sends the answer with its
// opening and end records.
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
	"github.com/foxtailwharf/foxtailwharf/internal/process/recorder"
	"github.com/foxtailwharf/foxtailwharf/internal/request/deduplicator"
	"github.com/foxtailwharf/foxtailwharf/internal/request/dispatcher"
	"github.com/foxtailwharf/foxtailwharf/internal/request/scheduler"
	"github.com/foxtailwharf/foxtailwharf/internal/request/splitter"
	"github.com/foxtailwharf/foxtailwharf/wire"
)

// The protocol between entry and agent.
const (
	Path          = "/attempts"
	HeaderAttempt = "Foxtailwharf-Attempt"
	HeaderAnswer  = "Foxtailwharf-Answer"
	TrailerEnd    = "Foxtailwharf-End"

	// bytesPerToken turns the length of a plain answer into a cost.
	bytesPerToken = 4
	copyBytes     = 32 << 10
)

// Config holds the settings of a Runner.
type Config struct {
	Engine     foxtailwharf.Engine
	Dispatcher *dispatcher.Dispatcher
	Memory     deduplicator.Config
	Self       func() foxtailwharf.Instance
	// First is told how long each first piece of an answer took.
	First func(rank foxtailwharf.Rank, elapsed time.Duration)
	// Doubt is called when the upstream seems to have died or changed its version.
	Doubt          func()
	Recorder       *recorder.Recorder
	MaxBodyBytes   int64
	MaxAnswerBytes int64
}

// Runner runs the attempts of one agent.
type Runner struct {
	c Config

	mu       sync.Mutex
	memory   *deduplicator.Deduplicator
	answers  int           // attempts whose answer is not out yet
	answered chan struct{} // closed when there are none; nil while nobody waits for that
}

// New returns a runner with an empty memory of keys.
func New(c Config) *Runner {
	return &Runner{c: c, memory: deduplicator.New(c.Memory, time.Now())}
}

// Generation returns the newest generation of the memory of keys.
func (r *Runner) Generation() uint64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.memory.Generation()
}

// count notes an attempt that comes or goes.
func (r *Runner) count(change int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.answers += change
	if r.answers == 0 && r.answered != nil {
		close(r.answered)
		r.answered = nil
	}
}

// WaitAnswered waits until all answers are out or the context ends.
func (r *Runner) WaitAnswered(ctx context.Context) error {
	r.mu.Lock()
	if r.answered == nil {
		r.answered = make(chan struct{})
	}
	answered := r.answered
	r.mu.Unlock()
	r.count(0)
	select {
	case <-answered:
		return nil
	case <-ctx.Done():
		return errors.Wrap(ctx.Err(), "Runner.WaitAnswered")
	}
}

// ServeHTTP takes an attempt.
func (r *Runner) ServeHTTP(w http.ResponseWriter, q *http.Request) {
	r.count(1)
	defer r.count(-1)
	var attempt wire.Attempt
	if err := json.Unmarshal([]byte(q.Header.Get(HeaderAttempt)), &attempt); err != nil {
		http.Error(w, "the attempt is not readable: "+err.Error(), http.StatusBadRequest)
		return
	}
	body, err := io.ReadAll(http.MaxBytesReader(w, q.Body, r.c.MaxBodyBytes))
	if err != nil {
		r.refuse(w, attempt, foxtailwharf.NotRun(foxtailwharf.ReasonBadRequest, "the body did not arrive whole"))
		return
	}
	if attempt.Incarnation != "" && attempt.Incarnation != r.c.Self().Incarnation {
		// Whatever the named incarnation did with the request is not known here.
		r.refuse(w, attempt, foxtailwharf.NotRun(foxtailwharf.ReasonWrongIncarnation, "the instance was replaced"))
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
		Incarnation: r.c.Self().Incarnation,
		Generation:  r.Generation(),
		Load:        r.c.Dispatcher.Load().ToWire(),
	}
}

// refuse sends a refusal in place of an answer.
func (r *Runner) refuse(w http.ResponseWriter, attempt wire.Attempt, refusal *foxtailwharf.Refusal) {
	answer := r.answer(attempt)
	answer.Refusal = refusal.ToWire()
	setRecord(w, HeaderAnswer, answer)
	w.Header().Set("Content-Length", "0")
	w.WriteHeader(http.StatusServiceUnavailable)
}

// setRecord writes a record into a header. Records are of types that always encode.
func setRecord(w http.ResponseWriter, name string, record any) {
	text, _ := json.Marshal(record)
	w.Header().Set(name, string(text))
}

// open sends the record that begins an answer.
func (r *Runner) open(w http.ResponseWriter, answer wire.Answer) {
	setRecord(w, HeaderAnswer, answer)
	w.Header().Set("Trailer", TrailerEnd)
	w.WriteHeader(http.StatusOK)
}

// end sends the record that closes an answer.
func (r *Runner) end(w http.ResponseWriter, attempt wire.Attempt, sent int64, reason foxtailwharf.Reason) {
	setRecord(w, TrailerEnd, wire.End{
		AttemptID: attempt.AttemptID,
		Bytes:     sent,
		IsWhole:   reason == "",
		Reason:    string(reason),
		Load:      r.c.Dispatcher.Load().ToWire(),
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
		Method:      attempt.Method,
		Path:        attempt.Path,
		ContentType: attempt.ContentType,
		Accept:      attempt.Accept,
		Body:        body,
		ResumeAfter: attempt.ResumeAfter,
		CallerKey:   attempt.CallerKey,
		IsOnce:      attempt.Key != "",
	}
}

// serveRepeatable runs an attempt without a key and streams its answer.
func (r *Runner) serveRepeatable(w http.ResponseWriter, q *http.Request, attempt wire.Attempt, body []byte) {
	ctx := q.Context()
	if attempt.TimeoutMillis > 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, timeout(attempt))
		defer cancel()
	}
	turn, refusal := r.c.Dispatcher.Enter(r.item(attempt), attempt.Version, attempt.IsSuspect)
	heart := startHeart(w)
	defer heart.stop()
	for refusal == nil {
		if refusal = r.wait(ctx, turn, attempt); refusal != nil {
			break
		}
		if isDone := r.stream(ctx, w, heart, turn, attempt, body); isDone {
			return
		}
		turn.Requeue()
	}
	heart.stop()
	r.refuse(w, attempt, refusal)
}

// wait waits for a turn and notes how long it took.
func (r *Runner) wait(ctx context.Context, turn *dispatcher.Turn, attempt wire.Attempt) *foxtailwharf.Refusal {
	started := time.Now()
	refusal := turn.Wait(ctx)
	r.c.Recorder.Time(recorder.MeasureQueue, attempt.Account, attempt.Rank, time.Since(started))
	return refusal
}

// stream calls the upstream and copies its answer. It reports false if the
// request was preempted and has to wait again.
func (r *Runner) stream(ctx context.Context, w http.ResponseWriter, heart *heart, turn *dispatcher.Turn, attempt wire.Attempt, body []byte) (isDone bool) {
	started := time.Now()
	running, cancel := turn.Context(ctx)
	defer cancel()
	answer, err := r.c.Engine.Do(running, callOf(attempt, body))
	if err == nil {
		defer func() { _ = answer.Body.Close() }()
		err = checkVersion(answer.Version, turn.Version())
	}
	var first splitter.Event
	copier := &copier{w: w, version: turn.Version()}
	if err == nil {
		copier.prepare(answer)
		first, err = copier.next()
	}
	if !turn.Send(running) {
		return false
	}
	heart.stop()
	r.doubt(err)
	if err != nil && !isWholeEnd(err) {
		turn.Done(0)
		r.refuse(w, attempt, refusalOf(err))
		return true
	}
	r.noteFirst(attempt, time.Since(started))
	opening := r.answer(attempt)
	opening.Version = turn.Version()
	opening.Status = answer.Status
	opening.ContentType = answer.ContentType
	r.open(w, opening)
	err = copier.copy(first, err)
	r.doubt(err)
	turn.Done(copier.cost())
	r.end(w, attempt, copier.sent, reasonOf(err))
	return true
}

func (r *Runner) noteFirst(attempt wire.Attempt, elapsed time.Duration) {
	rank := foxtailwharf.Rank(attempt.Rank)
	r.c.Recorder.Time(recorder.MeasureFirst, attempt.Account, string(rank), elapsed)
	r.c.First(rank, elapsed)
}

// doubt holds further requests back until the upstream's state is known.
func (r *Runner) doubt(err error) {
	switch reasonOf(err) {
	case foxtailwharf.ReasonUpstreamDied, foxtailwharf.ReasonWrongVersion:
		r.c.Doubt()
	}
}

// errVersion means that the engine answered with another version than the gate's.
var errVersion = errors.New("the engine answered with another version")

func checkVersion(reported, expected string) error {
	if reported != expected {
		return errVersion
	}
	return nil
}

// refusalOf turns a failure before the first byte into a refusal.
func refusalOf(err error) *foxtailwharf.Refusal {
	var failure *foxtailwharf.EngineError
	switch {
	case errors.Is(err, errVersion):
		return foxtailwharf.Unknown(foxtailwharf.ReasonWrongVersion, err.Error())
	case errors.As(err, &failure) && failure.IsNotRun:
		return foxtailwharf.NotRun(foxtailwharf.ReasonUpstreamFailed, "the upstream could not be reached")
	default:
		return foxtailwharf.Unknown(reasonOf(err), "the upstream gave no whole answer")
	}
}

// isWholeEnd reports whether an error is the clean end of an answer. A connection
// that broke before the answer also shows as io.EOF, but inside an EngineError.
func isWholeEnd(err error) bool {
	var failure *foxtailwharf.EngineError
	return errors.Is(err, io.EOF) && !errors.As(err, &failure)
}

// reasonOf returns the reason for which an answer is not whole, empty for a whole one.
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
