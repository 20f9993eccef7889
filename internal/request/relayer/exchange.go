package relayer

import (
	"context"
	"net/http"
	"net/netip"
	"time"

	"github.com/foxtailwharf/foxtailwharf"
	"github.com/foxtailwharf/foxtailwharf/internal/process/recorder"
	"github.com/foxtailwharf/foxtailwharf/internal/request/router"
	"github.com/foxtailwharf/foxtailwharf/wire"
)

// exchange is the work on one request.
type exchange struct {
	r            *Relayer
	q            Request
	digest       string
	out          *output
	excluded     map[string]bool // incarnations tried
	mayHaveRun   bool
	retries      int
	isReadmitted bool // the tried upstreams were made eligible again
}

func (e *exchange) isUrgent() bool {
	return e.q.Route.Rank == foxtailwharf.RankUrgent
}

// attempt returns the record that goes with a try.
func (e *exchange) attempt() wire.Attempt {
	q := e.q
	e.r.mu.Lock()
	isSuspect := e.r.quarantine.IsSuspect(e.digest)
	e.r.mu.Unlock()
	return wire.Attempt{
		AttemptID:     foxtailwharf.NewID(),
		Service:       q.Service,
		Member:        q.Identity.Member,
		Account:       q.Identity.Account,
		Caller:        q.Identity.Caller,
		Rank:          string(q.Route.Rank),
		Cost:          q.Cost,
		TimeoutMillis: max(time.Until(q.Deadline).Milliseconds(), 1),
		Method:        q.Method,
		Path:          q.Path,
		ContentType:   q.ContentType,
		Accept:        q.Accept,
		BodyDigest:    q.contentDigest(),
		IsSuspect:     isSuspect,
	}
}

// runRepeatable tries upstreams until one gives a whole answer.
func (e *exchange) runRepeatable(ctx context.Context) *foxtailwharf.Refusal {
	last := foxtailwharf.NotRun(foxtailwharf.ReasonNoUpstream, "no upstream can take the request")
	last.RetryAfter = time.Second
	for {
		i, isFound := e.r.pick(router.Request{
			Service:   e.q.Service,
			Version:   e.out.version,
			IsServing: e.q.Route.Model != "",
			IsUrgent:  e.isUrgent(),
			Affinity:  e.q.Affinity,
			Exclude:   e.excluded,
		})
		if !isFound && e.readmitTried(ctx) {
			continue
		}
		if !isFound {
			return e.giveUp(last)
		}
		attempt := e.attempt()
		attempt.Version = e.out.version
		attempt.ResumeAfter = e.out.lastID
		o := e.send(ctx, e.r.repeatable, i, attempt)
		if o.isWhole {
			return nil
		}
		e.excluded[i.Incarnation] = true
		e.mayHaveRun = e.mayHaveRun || !o.isNotRun()
		last = o.refusal
		if o.isDeath {
			e.r.warn(ctx)
		}
		if ban := e.r.checkBan(e.digest); ban != nil {
			return e.giveUp(ban)
		}
		if !e.canGoOn(ctx, o) || !e.r.retry(ctx, e.retries) {
			return e.giveUp(last)
		}
		e.retries++
	}
}

// readmitTried makes the upstreams that were tried eligible again once, when there
// are no others, but for those that died with the request.
func (e *exchange) readmitTried(ctx context.Context) bool {
	if e.isReadmitted || len(e.excluded) == 0 || !e.r.retry(ctx, e.retries) {
		return false
	}
	e.isReadmitted = true
	e.excluded = make(map[string]bool)
	e.excludeDead()
	return true
}

// excludeDead leaves out the upstreams that died with a request like this one.
func (e *exchange) excludeDead() {
	e.r.mu.Lock()
	defer e.r.mu.Unlock()
	for _, incarnation := range e.r.quarantine.DiedOn(e.digest) {
		e.excluded[incarnation] = true
	}
}

// canGoOn reports whether another try may make the answer whole.
func (e *exchange) canGoOn(ctx context.Context, o outcome) bool {
	if ctx.Err() != nil || o.isFinal {
		return false
	}
	if !e.out.isStarted {
		return true
	}
	if e.out.lastID == "" {
		return false
	}
	e.r.c.Recorder.Count(recorder.CounterResumed)
	return true
}

// giveUp turns the last refusal into the request's: it speaks of all attempts. A
// caller that has part of the answer gets a broken connection.
func (e *exchange) giveUp(last *foxtailwharf.Refusal) *foxtailwharf.Refusal {
	if e.out.isStarted {
		e.r.c.Recorder.Count(recorder.CounterBroken)
		panic(http.ErrAbortHandler)
	}
	refusal := *last
	refusal.IsNotRun = last.IsNotRun && !e.mayHaveRun
	if refusal.IsNotRun && refusal.RetryAfter == 0 {
		refusal.RetryAfter = time.Second
	}
	return &refusal
}

// send makes one attempt and notes what came of it.
func (e *exchange) send(ctx context.Context, client *http.Client, i foxtailwharf.Instance, attempt wire.Attempt) outcome {
	e.r.mu.Lock()
	e.r.router.Sent(i.Incarnation, e.isUrgent())
	e.r.mu.Unlock()
	t := &try{e: e, client: client, instance: i, attempt: attempt}
	o := t.run(ctx)
	e.r.mu.Lock()
	e.r.router.Returned(i.Incarnation, e.isUrgent())
	e.r.mu.Unlock()
	e.r.note(i, e.digest, o)
	if o.isCrossed {
		e.r.c.Recorder.Count(recorder.CounterCrossed)
	}
	if o.refusal != nil && o.refusal.Reason == foxtailwharf.ReasonWrongIncarnation {
		e.r.c.Members.Lost(i.Incarnation)
	}
	return o
}

// parseInstance returns the instance that a claim or ticket names.
func parseInstance(name, address, incarnation string, generation uint64) (i foxtailwharf.Instance, err error) {
	i = foxtailwharf.Instance{Name: name, Incarnation: incarnation, Generation: generation}
	i.Address, err = netip.ParseAddrPort(address)
	return i, err
}
