package runner

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"github.com/foxtailwharf/foxtailwharf"
	"github.com/foxtailwharf/foxtailwharf/internal/request/deduplicator"
	"github.com/foxtailwharf/foxtailwharf/wire"
)

// serveOnce runs a keyed attempt at most once, and answers repeats from memory.
func (r *Runner) serveOnce(w http.ResponseWriter, q *http.Request, attempt wire.Attempt, body []byte) {
	r.mu.Lock()
	verdict, entry, refusal := r.memory.Begin(time.Now(), attempt.Key, attempt.BodyDigest, attempt.Generation)
	r.mu.Unlock()
	if verdict == deduplicator.Refuse {
		r.refuse(w, attempt, refusal)
		return
	}
	heart := startHeart(w)
	defer heart.stop()
	switch verdict {
	case deduplicator.Run:
		// The call goes on even if its sender goes away: a repeat will ask for the answer.
		r.runOnce(context.WithoutCancel(q.Context()), entry, attempt, body)
	case deduplicator.Wait:
		select {
		case <-entry.Done:
		case <-q.Context().Done():
			return
		}
	}
	heart.stop()
	r.replay(w, attempt, entry, verdict != deduplicator.Run)
}

// runOnce runs a call and stores its outcome.
func (r *Runner) runOnce(ctx context.Context, entry *deduplicator.Entry, attempt wire.Attempt, body []byte) {
	ctx, stop := startPatience(ctx, timeout(attempt))
	defer stop()
	turn, refusal := r.c.Dispatcher.Enter(r.item(attempt), attempt.Version, attempt.IsSuspect)
	if refusal == nil {
		refusal = r.wait(ctx, turn, attempt)
	}
	if refusal != nil {
		r.settle(func() { r.memory.Refuse(entry, refusal) })
		return
	}
	started := time.Now()
	answer, err := r.call(ctx, turn.Version(), attempt, body)
	r.doubt(err)
	turn.Done(float64(len(answer.Body)) / bytesPerToken)
	r.noteFirst(attempt, time.Since(started))
	var failure *foxtailwharf.EngineError
	switch {
	case err == nil:
		r.settle(func() { r.memory.Finish(entry, answer) })
	case errors.As(err, &failure) && failure.IsNotRun:
		r.settle(func() { r.memory.Refuse(entry, refusalOf(err)) })
	default:
		r.settle(func() { r.memory.Lose(entry) })
	}
}

func (r *Runner) settle(change func()) {
	r.mu.Lock()
	defer r.mu.Unlock()
	change()
}

// call sends a call upstream and reads the whole answer.
func (r *Runner) call(ctx context.Context, version string, attempt wire.Attempt, body []byte) (whole deduplicator.Answer, err error) {
	var answer foxtailwharf.EngineAnswer
	if answer, err = r.c.Engine.Do(ctx, callOf(attempt, body)); err != nil {
		return whole, err
	}
	defer func() { _ = answer.Body.Close() }()
	var data []byte
	if data, err = io.ReadAll(io.LimitReader(answer.Body, r.c.MaxAnswerBytes+1)); err != nil {
		return whole, err
	}
	if int64(len(data)) > r.c.MaxAnswerBytes {
		return whole, errors.New("Runner.call: the answer is too large")
	}
	if err = checkVersion(answer.Version, version); err != nil {
		return whole, err
	}
	return deduplicator.Answer{Status: answer.Status, ContentType: answer.ContentType, Version: version, Body: data}, nil
}

// replay sends what is stored for a key.
func (r *Runner) replay(w http.ResponseWriter, attempt wire.Attempt, entry *deduplicator.Entry, isReplayed bool) {
	stored := entry.Answer()
	if stored == nil {
		r.refuse(w, attempt, foxtailwharf.Unknown(foxtailwharf.ReasonOutcomeUnknown, "the call may have run and its answer was lost"))
		return
	}
	if stored.Refusal != nil {
		r.refuse(w, attempt, stored.Refusal)
		return
	}
	opening := r.answer(attempt)
	opening.Version = stored.Version
	opening.Status = stored.Status
	opening.ContentType = stored.ContentType
	opening.IsReplayed = isReplayed
	r.open(w, opening)
	sent, err := io.Copy(w, bytes.NewReader(stored.Body))
	r.end(w, attempt, sent, reasonOf(err))
}
