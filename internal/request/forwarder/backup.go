package forwarder

import (
	"context"
	"maps"
	"net/http"
	"time"

	"go.uber.org/zap"

	"github.com/foxtailwharf/foxtailwharf/internal/process/meter"
	"github.com/foxtailwharf/foxtailwharf/internal/process/sleeper"
	"github.com/foxtailwharf/foxtailwharf/internal/request/balancer"
	"github.com/foxtailwharf/foxtailwharf/internal/request/splitter"
)

// searchInterval is the time between two searches for another upstream.
const searchInterval = 100 * time.Millisecond

// backupState is how far a backup has come.
type backupState int

const (
	backupSearching backupState = iota
	backupSent                  // the call was sent to another upstream
	backupAlone                 // the call was sent to another upstream, and the first attempt has ended
	backupChosen                // the other upstream answers, and the first attempt is ended
	backupEnded
)

// backup looks for another upstream while the first one is silent, which a sound upstream may be for a
// while. The first attempt ends only once the other upstream has begun to answer.
type backup struct {
	x        *exchange
	first    *attempt
	from     position
	excluded map[string]bool // belongs to the goroutine of run until done is closed
	cancel   context.CancelFunc
	done     chan struct{}
	hasRetry bool        // holds a retry of the budget; belongs to the goroutine of run
	retryAt  time.Time   // when the retry was taken from the budget
	state    backupState // guarded by progress.mu
	answered *attempt    // that has been chosen; nil for none
}

// startBackup starts the search for another upstream, unless one is under way or the call must not run once
// more.
func (x *exchange) startBackup(ctx context.Context, first *attempt) {
	if !x.mayRetryAfterRun() {
		return
	}
	x.progress.mu.Lock()
	defer x.progress.mu.Unlock()
	if x.progress.backup != nil || first.isDone.Load() || ctx.Err() != nil {
		return
	}
	b := &backup{
		x: x, first: first, excluded: maps.Clone(x.excluded), done: make(chan struct{}),
		from: position{lastEvent: x.progress.lastEvent, weights: x.progress.weights},
	}
	b.excluded[first.upstream.ID] = true
	ctx, b.cancel = context.WithCancel(ctx)
	x.progress.backup = b
	x.searches.Go(func() { b.run(ctx) })
}

// run searches until another upstream answers, or the call or the silence of the first upstream has ended.
func (b *backup) run(ctx context.Context) {
	defer close(b.done)
	defer b.returnRetry()
	x := b.x
	x.log("upstream is silent, another one is sought", zap.String("Upstream", b.first.upstream.ID), zap.String("LastEvent", b.from.lastEvent))
	for {
		a := b.acquire(ctx)
		switch {
		case a == nil:
			if !sleeper.Sleep(ctx, searchInterval) {
				return
			}
		case b.send(ctx, a) || !b.setSearching() || !x.mayRetryAfterRun():
			return
		}
	}
}

// acquire takes a retry from the budget and waits for another upstream. It returns nil if one of them is not
// to be had now.
func (b *backup) acquire(ctx context.Context) *attempt {
	x := b.x
	if !b.hasRetry {
		b.retryAt, b.hasRetry = x.f.allowRetry(x.service.Name)
	}
	if !b.hasRetry {
		return nil
	}
	u, refusal := x.f.c.Assigner.Acquire(ctx, x.assignerRequest(b.from, b.excluded, x.deadline))
	if refusal != nil {
		return nil
	}
	a := newAttempt(x, u, b.from)
	// A ban may have come during the wait, as in exchange.acquire.
	if !x.mayRetryAfterRun() || !b.setSent() {
		a.end(ctx, balancer.Abandoned)
		b.cancel()
		return nil
	}
	b.hasRetry = false
	return a
}

// returnRetry gives back a retry that was not made.
func (b *backup) returnRetry() {
	if b.hasRetry {
		b.x.f.returnRetry(b.x.service.Name, b.retryAt)
	}
}

// send sends the call to another upstream. It returns true if that upstream answers in place of the first
// one.
func (b *backup) send(ctx context.Context, a *attempt) bool {
	b.x.f.c.Meter.Increment(meter.CounterRetried)
	b.excluded[a.upstream.ID] = true
	a.start(ctx)
	// The other upstream may be silent as well, and the call may be allowed a third one.
	giveUp := time.AfterFunc(a.firstEventLimit()+patience, func() { a.giveUp(0, errSilent) })
	defer giveUp.Stop()
	o, result, isBegun := a.send()
	if isBegun {
		o, result, isBegun = a.awaitBegin()
	}
	if isBegun && b.choose(a) {
		b.answered = a
		return true
	}
	if isBegun {
		o, result = unknown, b.drop(a)
	}
	if o == unknown {
		b.x.progress.setUnknown()
	}
	a.end(ctx, result)
	return false
}

// awaitBegin waits for the beginning of the answer. A head alone, or comments of a stream, show no more than that
// the upstream has the call: it may be as silent as the first one. If the answer begins, the outcome and the result
// are open.
func (a *attempt) awaitBegin() (o outcome, result balancer.Result, isBegun bool) {
	var event splitter.Event
	var err error
	if a.isStream() {
		event, err = a.eventReader().await()
	} else {
		err = a.answer.AwaitBody()
	}
	switch {
	case err != nil:
		o, result = a.handleBroken(a.ctx, err)
		return o, result, false
	case isRepeated(event.ID, a.resumedAfter()):
		a.logRepeated(event.ID)
		return unknown, balancer.Failed, false
	case !a.hear():
		o, result = a.handleBroken(a.ctx, a.awaitGivenUp())
		return o, result, false
	default:
		return o, result, true
	}
}

// drop gives up an answer that has begun and is not chosen, and returns the result for its upstream. A server
// error is kept, since the first upstream may send no answer either.
func (b *backup) drop(a *attempt) balancer.Result {
	if a.answer.Status < http.StatusInternalServerError {
		return balancer.Abandoned
	}
	if isNotRunStatus(a.answer.Status) || b.x.progress.hasHead() {
		return balancer.Failed
	}
	body, err := b.x.f.collector.Collect(a.answer, func() {})
	if err != nil {
		a.log("server error was not read to its end", zap.Int("Status", a.answer.Status), zap.Error(err))
		return balancer.Failed
	}
	b.x.progress.setErrorAnswer(a.buffer(body))
	return balancer.Failed
}

// setSent records that the call is being sent. It returns false if the search has been ended.
func (b *backup) setSent() bool {
	b.x.progress.mu.Lock()
	defer b.x.progress.mu.Unlock()
	if b.state == backupEnded {
		return false
	}
	b.state = backupSent
	return true
}

// setSearching records that no other upstream has the call any more. It returns false if the first attempt has
// ended by itself, with which the search ends.
func (b *backup) setSearching() bool {
	b.x.progress.mu.Lock()
	defer b.x.progress.mu.Unlock()
	if b.state == backupSent {
		b.state = backupSearching
	}
	return b.state != backupAlone
}

// choose ends the first attempt in favour of one that has begun to be answered. It returns false if the
// first one has gone on meanwhile, or if the answer cannot continue what the caller has.
func (b *backup) choose(a *attempt) bool {
	p := &b.x.progress
	p.mu.Lock()
	defer p.mu.Unlock()
	isServerError := a.answer.Status >= http.StatusInternalServerError
	isUsable := !isNotRunStatus(a.answer.Status) && (!isServerError || b.state == backupAlone)
	if p.isHeadSent {
		isUsable = a.answer.Status == http.StatusOK && p.continues(a)
	}
	if b.state == backupEnded || !isUsable {
		return false
	}
	b.state = backupChosen
	b.first.cancel(errStalled)
	return true
}

// exclude keeps further attempts of the call from an upstream.
func (x *exchange) exclude(id string) {
	x.progress.mu.Lock()
	defer x.progress.mu.Unlock()
	x.excluded[id] = true
}

// takeBackup ends the search for another upstream, once the attempt under way has ended. It waits for the
// upstream that the call was sent to, and returns the attempt that has taken over; nil if there is none.
func (x *exchange) takeBackup() *attempt {
	b := x.progress.leaveBackup()
	x.searches.Wait()
	if b == nil {
		return nil
	}
	for id, isExcluded := range b.excluded {
		if isExcluded {
			x.exclude(id)
		}
	}
	// Until now it has kept the attempt at the other upstream from a search of its own.
	x.progress.dropBackup()
	return b.answered
}

// dropBackup ends the search when the call has ended, with the attempt that would have taken over.
func (x *exchange) dropBackup(ctx context.Context) {
	x.progress.mu.Lock()
	b := x.progress.backup
	x.progress.endSearch()
	x.progress.mu.Unlock()
	x.searches.Wait()
	if b != nil && b.answered != nil {
		b.answered.end(ctx, balancer.Abandoned)
	}
}
