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

// serveOnce runs an attempt with a key at most once, and answers repeats with the stored
// response.
func (r *Runner) serveOnce(w http.ResponseWriter, q *http.Request, attempt wire.Attempt, body []byte) {
	r.mu.Lock()
	verdict, entry, refusal := r.keys.Begin(time.Now(), attempt.Key, attempt.BodyDigest, attempt.Generation)
	r.mu.Unlock()
	if verdict == deduplicator.Refuse {
		r.refuse(w, attempt, refusal)
		return
	}
	heartbeat := startHeartbeat(w)
	defer heartbeat.stop()
	switch verdict {
	case deduplicator.Run:
		// The call continues even if its sender disconnects: a repeat will ask for the response.
		r.runOnce(context.WithoutCancel(q.Context()), entry, attempt, body)
	case deduplicator.Wait:
		select {
		case <-entry.Done:
		case <-q.Context().Done():
			return
		}
	}
	heartbeat.stop()
	r.replay(w, attempt, entry, verdict != deduplicator.Run)
}

// runOnce runs a call and stores its outcome.
func (r *Runner) runOnce(ctx context.Context, entry *deduplicator.Entry, attempt wire.Attempt, body []byte) {
	if attempt.TimeoutMillis > 0 {
		var stop func()
		ctx, stop = startCallTimeout(ctx, timeout(attempt))
		defer stop()
	}
	request, refusal := r.config.Dispatcher.Enqueue(r.item(attempt), attempt.Version, attempt.IsSuspect)
	if refusal == nil {
		refusal = r.wait(ctx, request, attempt)
	}
	if refusal != nil {
		r.updateKeys(func() { r.keys.Refuse(entry, refusal) })
		return
	}
	started := time.Now()
	answer, err := r.call(ctx, request.Version(), attempt, body)
	r.suspectUpstream(err)
	request.Done(float64(len(answer.Body)) / bytesPerToken)
	r.recordFirst(attempt, time.Since(started))
	var failure *foxtailwharf.EngineError
	switch {
	case err == nil:
		r.updateKeys(func() { r.keys.Finish(entry, answer) })
	case errors.As(err, &failure) && failure.IsNotRun:
		r.updateKeys(func() { r.keys.Refuse(entry, refusalOf(err)) })
	default:
		r.updateKeys(func() { r.keys.MarkLost(entry) })
	}
}

func (r *Runner) updateKeys(change func()) {
	r.mu.Lock()
	defer r.mu.Unlock()
	change()
}

// call sends a call to the upstream and reads the complete response.
func (r *Runner) call(ctx context.Context, version string, attempt wire.Attempt, body []byte) (whole deduplicator.Answer, err error) {
	var answer foxtailwharf.EngineAnswer
	if answer, err = r.config.Engine.Do(ctx, callOf(attempt, body)); err != nil {
		return whole, err
	}
	defer func() { _ = answer.Body.Close() }()
	var data []byte
	if data, err = io.ReadAll(io.LimitReader(answer.Body, r.config.MaxAnswerBytes+1)); err != nil {
		return whole, err
	}
	if int64(len(data)) > r.config.MaxAnswerBytes {
		return whole, errors.New("Runner.call: the response exceeds the size limit")
	}
	if err = checkVersion(answer.Version, version); err != nil {
		return whole, err
	}
	return deduplicator.Answer{Status: answer.Status, ContentType: answer.ContentType, Version: version, Body: data}, nil
}

// replay sends the stored response of a key.
func (r *Runner) replay(w http.ResponseWriter, attempt wire.Attempt, entry *deduplicator.Entry, isReplayed bool) {
	stored := entry.Answer()
	if stored == nil {
		r.refuse(w, attempt, foxtailwharf.OutcomeUnknown(foxtailwharf.ReasonOutcomeUnknown, "the call may have run and its response was lost"))
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
	r.writeOpening(w, opening)
	sent, err := io.Copy(w, bytes.NewReader(stored.Body))
	r.writeEnd(w, attempt, sent, reasonOf(err))
}
