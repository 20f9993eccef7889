package relayer

import (
	"context"
	"maps"
	"net/http"
	"net/netip"
	"slices"
	"time"

	"go.uber.org/zap"

	"github.com/foxtailwharf/foxtailwharf"
	"github.com/foxtailwharf/foxtailwharf/internal/process/meter"
	"github.com/foxtailwharf/foxtailwharf/internal/process/sleeper"
	"github.com/foxtailwharf/foxtailwharf/internal/request/explainer"
	"github.com/foxtailwharf/foxtailwharf/internal/request/isolator"
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
	// reserved is the pause before a retry that was taken from the budget while an agent was stalled;
	// nil for none. It is guarded by the relayer's mutex.
	reserved *time.Duration
	cause    explainer.Cause // of the failure of the last attempt that may have run; empty for none
}

func (e *exchange) isUrgent() bool {
	return e.req.Route.Rank == foxtailwharf.RankUrgent
}

// attempt returns the record that is sent along with an attempt.
func (e *exchange) attempt() wire.Attempt {
	req := e.req
	e.r.mu.Lock()
	isSuspect := e.r.isolator.IsSuspect(isolator.Request(e.digest))
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
		i, isFound := e.r.pick(e.pickRequest(e.out.version, e.excluded))
		if !isFound && e.readmitTried(ctx) {
			continue
		}
		if !isFound {
			return e.giveUp(ctx, last)
		}
		attempt := e.attempt()
		attempt.Version = e.out.version
		attempt.ResumeAfter = e.out.lastID
		o := e.send(ctx, &try{e: e, client: e.r.repeatable, instance: i, attempt: attempt, canReplace: func() bool { return e.reserve(i) }})
		if o.isWhole {
			return nil
		}
		e.excluded[i.Incarnation] = true
		e.mayHaveRun = e.mayHaveRun || !o.isNotRun()
		if !o.isNotRun() {
			e.cause = o.cause
		}
		last = o.refusal
		if o.isDeath {
			e.r.announceDeath(ctx)
		}
		if ban := e.r.checkBan(e.digest); ban != nil {
			return e.giveUp(ctx, ban)
		}
		if !e.canContinue(ctx, o) || !e.retry(ctx) {
			return e.giveUp(ctx, last)
		}
		e.retries++
	}
}

// pickRequest describes the instance that may get the request, in the version of the part that was sent; empty
// for none.
func (e *exchange) pickRequest(version string, excluded map[string]bool) router.Request {
	return router.Request{
		Service:   e.req.Service,
		Version:   version,
		IsServing: e.req.Route.Model != "",
		IsUrgent:  e.isUrgent(),
		Affinity:  e.req.Affinity,
		Exclude:   excluded,
	}
}

// reserve takes a retry from the budget for a request whose agent is stalled, and reports whether the agent is to
// be given up: if another one can take the request, or if the fleet has lost it.
func (e *exchange) reserve(stalled foxtailwharf.Instance) bool {
	agents := e.r.config.Members.Live(foxtailwharf.RoleAgent)
	isLive := slices.ContainsFunc(agents, func(i foxtailwharf.Instance) bool { return i.Incarnation == stalled.Incarnation })
	if !isLive {
		return true
	}
	version, canResume := e.out.position()
	if !canResume {
		return false
	}
	excluded := maps.Clone(e.excluded)
	excluded[stalled.Incarnation] = true
	if _, isFound := e.r.pick(e.pickRequest(version, excluded)); !isFound {
		return false
	}
	e.r.mu.Lock()
	defer e.r.mu.Unlock()
	if e.reserved != nil {
		// The agent went on when this retry was to replace it.
		return true
	}
	pause, isAllowed := e.r.budget.Retry(time.Now(), e.retries)
	if isAllowed {
		e.reserved = &pause
	}
	return isAllowed
}

// retry makes the retry that was reserved, or else takes one from the budget. It pauses before it.
func (e *exchange) retry(ctx context.Context) bool {
	e.r.mu.Lock()
	reserved := e.reserved
	e.reserved = nil
	e.r.mu.Unlock()
	if reserved == nil {
		return e.r.retry(ctx, e.retries)
	}
	e.r.config.Meter.Increment(meter.CounterRetried)
	return sleeper.Sleep(ctx, *reserved)
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
	for _, incarnation := range e.r.isolator.CrashedUpstreams(isolator.Request(e.digest)) {
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
func (e *exchange) giveUp(ctx context.Context, last *foxtailwharf.Refusal) *foxtailwharf.Refusal {
	if e.out.isStarted {
		e.r.config.Meter.Increment(meter.CounterBrokenAnswers)
		e.recordUnanswered(e.finalCause(ctx))
		panic(http.ErrAbortHandler)
	}
	refusal := *last
	refusal.IsNotRun = last.IsNotRun && !e.mayHaveRun
	if refusal.IsNotRun && refusal.RetryAfter == 0 {
		refusal.RetryAfter = time.Second
	}
	return &refusal
}

// finalCause returns why the request ends without a whole answer: what has ended the connection to the caller goes before
// what has ended the request, and that before what has ended an attempt.
func (e *exchange) finalCause(ctx context.Context) explainer.Cause {
	switch {
	case e.out.failure != nil:
		return explainer.Write(e.out.failure, false)
	case ctx.Err() != nil:
		return explainer.Context(context.Cause(ctx), e.req.IsBounded)
	case e.cause != "":
		return e.cause
	default:
		return explainer.CauseUnknown
	}
}

// recordUnanswered logs and counts that a part of an answer was sent, and that the rest will not be.
func (e *exchange) recordUnanswered(cause explainer.Cause) {
	e.r.config.Meter.Increment(meter.CounterUnanswered + string(cause))
	e.r.config.Log.Info("relay: answer to the caller aborted after its head was sent", zap.String("Cause", string(cause)),
		zap.Duration("Left", time.Until(e.req.Deadline)), zap.String("LastEvent", e.out.lastID), zap.String("Service", e.req.Service),
		zap.String("Account", e.req.Identity.Account), zap.Int("Retries", e.retries))
}

// send makes one attempt and records its outcome.
func (e *exchange) send(ctx context.Context, t *try) outcome {
	i := t.instance
	e.r.mu.Lock()
	e.r.router.Sent(i.Incarnation, e.isUrgent())
	e.r.mu.Unlock()
	wasStarted, lastID := e.out.isStarted, e.out.lastID
	o := t.run(ctx)
	o.hasBegun = e.out.isStarted && (!wasStarted || e.out.lastID != lastID)
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
