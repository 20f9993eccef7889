package relayer

import (
	"context"
	"time"

	"github.com/foxtailwharf/foxtailwharf"
	"github.com/foxtailwharf/foxtailwharf/internal/process/sleeper"
	"github.com/foxtailwharf/foxtailwharf/internal/request/claimer"
	"github.com/foxtailwharf/foxtailwharf/internal/request/router"
	"github.com/foxtailwharf/foxtailwharf/wire"
)

const (
	// maxMoves is the maximum number of times that a request moves its claim to another
	// incarnation.
	maxMoves = 3
	// maxSends is the maximum number of times that a request is sent to the same incarnation
	// while the response is lost.
	maxSends = 5
	// resendPause is the pause before a request is sent again. It doubles with each time.
	resendPause = 50 * time.Millisecond
)

// runTicket runs a call at the only incarnation that may run it, which its ticket names.
func (e *exchange) runTicket(ctx context.Context) *foxtailwharf.Refusal {
	ticket := e.req.Ticket
	i, err := parseInstance(ticket.Instance, ticket.Address, ticket.Incarnation, ticket.Generation)
	if err != nil {
		return foxtailwharf.OutcomeUnknown(foxtailwharf.ReasonTicketInvalid, err.Error())
	}
	// An earlier request with the ticket may have run, unless the incarnation itself refuses the
	// call permanently.
	return e.sendKeyed(ctx, i, foxtailwharf.Digest([]byte("ticket\n"+ticket.ID)), false)
}

// runKey runs a call at the only incarnation that may run it, which the claim on its key names.
func (e *exchange) runKey(ctx context.Context) *foxtailwharf.Refusal {
	name := claimer.Name(e.req.Identity.Account, e.req.Service, e.req.Key)
	stored, refusal := e.claim(ctx, name)
	for moves := 0; refusal == nil; moves++ {
		if stored.Claim.BodyDigest != e.req.contentDigest() {
			return foxtailwharf.OutcomeUnknown(foxtailwharf.ReasonKeyReused, "the key was used with another request")
		}
		i, err := parseInstance(stored.Claim.Instance, stored.Claim.Address, stored.Claim.Incarnation, stored.Claim.Generation)
		if err != nil {
			return foxtailwharf.OutcomeUnknown(foxtailwharf.ReasonOutcomeUnknown, "the claim holds an invalid address")
		}
		refusal = e.sendKeyed(ctx, i, name, stored.IsOurs)
		if refusal == nil || !canMove(refusal) || moves == maxMoves {
			return refusal
		}
		e.excluded[i.Incarnation] = true
		if !e.r.retry(ctx, moves) {
			return refusal
		}
		next, isFound := e.pickForKey()
		if !isFound {
			return refusal
		}
		if stored, err = e.r.config.Claimer.Move(ctx, name, stored, e.newClaim(next)); err != nil {
			// The named incarnation refused permanently, and no other incarnation received the
			// call.
			return refusal
		}
		refusal = nil
	}
	return refusal
}

// canMove reports whether the named incarnation refused the call permanently and another
// incarnation may accept it.
func canMove(refusal *foxtailwharf.Refusal) bool {
	switch refusal.Reason {
	case foxtailwharf.ReasonLeaving, foxtailwharf.ReasonNotReady, foxtailwharf.ReasonWrongVersion,
		foxtailwharf.ReasonQueueFull, foxtailwharf.ReasonDisplaced, foxtailwharf.ReasonUpstreamFailed,
		foxtailwharf.ReasonSuspectBusy:
		return refusal.IsNotRun
	default:
		return false
	}
}

func (e *exchange) pickForKey() (foxtailwharf.Instance, bool) {
	return e.r.pick(router.Request{Service: e.req.Service, IsServing: e.req.Route.Model != "", IsUrgent: e.isUrgent(), Exclude: e.excluded})
}

// claim creates the claim on the request's key, or returns the existing one.
func (e *exchange) claim(ctx context.Context, name string) (stored claimer.Stored, refusal *foxtailwharf.Refusal) {
	i, isFound := e.pickForKey()
	if !isFound {
		return stored, e.r.ExtendRefusal(ctx, e.req, foxtailwharf.NotRun(foxtailwharf.ReasonNoUpstream, "no upstream can take the request"))
	}
	var err error
	if stored, err = e.r.config.Claimer.Claim(ctx, name, e.newClaim(i)); err != nil {
		// Nothing was sent, but an earlier request with the key may have run.
		refusal = foxtailwharf.OutcomeUnknown(foxtailwharf.ReasonStoreUnavailable, "the claim on the key could not be stored; a call with a ticket needs no claim")
		refusal.RetryAfter = time.Second
		return stored, refusal
	}
	return stored, nil
}

func (e *exchange) newClaim(i foxtailwharf.Instance) wire.Claim {
	return wire.Claim{
		Instance:    i.Name,
		Address:     i.Address.String(),
		Incarnation: i.Incarnation,
		Generation:  i.Generation,
		AttemptID:   foxtailwharf.NewID(),
		BodyDigest:  e.req.contentDigest(),
	}
}

// ExtendRefusal extends the refusal of a call that was not sent to earlier requests with the
// same key or ticket: these may have run, unless the store holds no claim on the key.
func (r *Relayer) ExtendRefusal(ctx context.Context, q Request, refusal *foxtailwharf.Refusal) *foxtailwharf.Refusal {
	if q.Ticket == nil && q.Key == "" {
		return refusal
	}
	extended := *refusal
	extended.IsNotRun = false
	if q.Ticket == nil {
		isClaimed, err := r.config.Claimer.IsClaimed(ctx, claimer.Name(q.Identity.Account, q.Service, q.Key))
		extended.IsNotRun = err == nil && !isClaimed
	}
	return &extended
}

// sendKeyed sends a call with a key to the only incarnation that may run it, and sends it there
// again while the response is lost. isFirst means that no earlier request can have reached that
// incarnation with the key.
func (e *exchange) sendKeyed(ctx context.Context, i foxtailwharf.Instance, key string, isFirst bool) *foxtailwharf.Refusal {
	var o outcome
	for sends := range maxSends {
		attempt := e.attempt()
		attempt.Incarnation = i.Incarnation
		attempt.Key = key
		attempt.Generation = i.Generation
		if e.req.ForwardsKey {
			attempt.IsKeyForwarded = true
			attempt.CallerKey = e.req.Key
		}
		// The agent keeps the outcome of the call, so that it may be asked again.
		o = e.send(ctx, &try{e: e, client: e.r.once, instance: i, attempt: attempt, canReplace: func() bool { return true }})
		if o.isWhole {
			return nil
		}
		if o.isRefusedBy(i.Incarnation) {
			return o.refusal
		}
		e.mayHaveRun = e.mayHaveRun || !o.isNotRun()
		if o.isDeath {
			e.r.announceDeath(ctx)
		}
		isReplaced := o.refusal.Reason == foxtailwharf.ReasonWrongIncarnation
		if isReplaced || o.isFinal || !sleeper.Sleep(ctx, resendPause<<sends) {
			break
		}
	}
	refusal := *o.refusal
	refusal.IsNotRun = o.refusal.IsNotRun && isFirst && !e.mayHaveRun
	if !refusal.IsNotRun {
		refusal.Reason = foxtailwharf.ReasonOutcomeUnknown
		refusal.Detail = "the only instance that may have run the call did not return its outcome: " + o.refusal.Detail
	}
	return &refusal
}
