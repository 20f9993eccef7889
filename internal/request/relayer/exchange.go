package relayer

import (
	"context"
	"net/http"
	"net/netip"
	"time"

	"github.com/foxtailwharf/foxtailwharf"
	"github.com/foxtailwharf/foxtailwharf/internal/process/meter"
	"github.com/foxtailwharf/foxtailwharf/internal/request/router"
	"github.com/foxtailwharf/foxtailwharf/wire"
)

// exchange is the processing of one request.
type exchange struct {
	r            *Relayer
	req          Request
	digest       string
	out          *output
	excluded     map[string]bool // incarnations not to pick: tried or dead
	mayHaveRun   bool
	retries      int
	isReadmitted bool // the tried upstreams were made eligible again, which happens once
}

func (e *exchange) isUrgent() bool {
	return e.req.Route.Rank == foxtailwharf.RankUrgent
}

// attempt returns the record that is sent along with an attempt.
func (e *exchange) attempt() wire.Attempt {
	req := e.req
	e.r.mu.Lock()
	isSuspect := e.r.quarantine.IsSuspect(e.digest)
	e.r.mu.Unlock()
	return wire.Attempt{
		AttemptID:     foxtailwharf.NewID(),
		Service:       req.Service,
		Member:        req.Identity.Member,
		Account:       req.Identity.Account,
		Caller:        req.Identity.Caller,
		Rank:          string(req.Route.Rank),
		Cost:          req.Cost,
		TimeoutMillis: max(time.Until(req.Deadline).Milliseconds(), 1),
		Method:        req.Method,
		Path:          req.Path,
		ContentType:   req.ContentType,
		Accept:        req.Accept,
		BodyDigest:    req.contentDigest(),
		IsSuspect:     isSuspect,
	}
}

// runRepeatable tries upstreams until one gives a complete response.
func (e *exchange) runRepeatable(ctx context.Context) *foxtailwharf.Refusal {
	last := foxtailwharf.NotRun(foxtailwharf.ReasonNoUpstream, "no upstream can take the request")
	last.RetryAfter = time.Second
	for {
		i, isFound := e.r.pick(router.Request{
			Service:   e.req.Service,
			Version:   e.out.version,
			IsServing: e.req.Route.Model != "",
			IsUrgent:  e.isUrgent(),
			Affinity:  e.req.Affinity,
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
			e.r.announceDeath(ctx)
		}
		if ban := e.r.checkBan(e.digest); ban != nil {
			return e.giveUp(ban)
		}
		if !e.canContinue(ctx, o) || !e.r.retry(ctx, e.retries) {
			return e.giveUp(last)
		}
		e.retries++
	}
}

// readmitTried makes the tried upstreams eligible again if there are no others. It does so once,
// and not for upstreams that died with a request of the same content.
func (e *exchange) readmitTried(ctx context.Context) bool {
	if e.isReadmitted || len(e.excluded) == 0 || !e.r.retry(ctx, e.retries) {
		return false
	}
	e.isReadmitted = true
	e.excluded = make(map[string]bool)
	e.excludeDead()
	return true
}

// excludeDead excludes the upstreams that died with a request of the same content.
func (e *exchange) excludeDead() {
	e.r.mu.Lock()
	defer e.r.mu.Unlock()
	for _, incarnation := range e.r.quarantine.CrashedUpstreams(e.digest) {
		e.excluded[incarnation] = true
	}
}

// canContinue reports whether another attempt may complete the response.
func (e *exchange) canContinue(ctx context.Context, o outcome) bool {
	if ctx.Err() != nil || o.isFinal {
		return false
	}
	if !e.out.isStarted {
		return true
	}
	if e.out.lastID == "" {
		return false
	}
	e.r.config.Meter.Increment(meter.CounterResumed)
	return true
}

// giveUp turns the refusal of the last attempt into that of the request, which covers all
// attempts. If part of the response was sent it aborts the caller's connection instead.
func (e *exchange) giveUp(last *foxtailwharf.Refusal) *foxtailwharf.Refusal {
	if e.out.isStarted {
		e.r.config.Meter.Increment(meter.CounterBrokenAnswers)
		panic(http.ErrAbortHandler)
	}
	refusal := *last
	refusal.IsNotRun = last.IsNotRun && !e.mayHaveRun
	if refusal.IsNotRun && refusal.RetryAfter == 0 {
		refusal.RetryAfter = time.Second
	}
	return &refusal
}

// send makes one attempt and records its outcome.
func (e *exchange) send(ctx context.Context, client *http.Client, i foxtailwharf.Instance, attempt wire.Attempt) outcome {
	e.r.mu.Lock()
	e.r.router.Sent(i.Incarnation, e.isUrgent())
	e.r.mu.Unlock()
	t := &try{e: e, client: client, instance: i, attempt: attempt}
	o := t.run(ctx)
	e.r.mu.Lock()
	e.r.router.Returned(i.Incarnation, e.isUrgent())
	e.r.mu.Unlock()
	e.r.recordOutcome(i, e.digest, o)
	if o.isMismatch {
		e.r.config.Meter.Increment(meter.CounterMismatchedAnswers)
	}
	if o.refusal != nil && o.refusal.Reason == foxtailwharf.ReasonWrongIncarnation {
		e.r.config.Members.MarkLost(i.Incarnation)
	}
	return o
}

// parseInstance returns the instance that a claim or ticket names. It fails if the address is
// invalid.
func parseInstance(name, address, incarnation string, generation uint64) (i foxtailwharf.Instance, err error) {
	i = foxtailwharf.Instance{Name: name, Incarnation: incarnation, Generation: generation}
	i.Address, err = netip.ParseAddrPort(address)
	return i, err
}
