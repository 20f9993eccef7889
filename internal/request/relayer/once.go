package relayer

import (
	"context"
	"time"

	"github.com/foxtailwharf/foxtailwharf"
	"github.com/foxtailwharf/foxtailwharf/internal/process/pauser"
	"github.com/foxtailwharf/foxtailwharf/internal/request/claimer"
	"github.com/foxtailwharf/foxtailwharf/internal/request/router"
	"github.com/foxtailwharf/foxtailwharf/wire"
)

// Constants of at-most-once calls.
const (
	// maxMoves is how often a request moves its claim to another incarnation.
	maxMoves = 3
	// maxAsks is how often a request asks the same incarnation for a lost answer.
	maxAsks = 5
	// askPause is the pause before it asks again; it doubles with each.
	askPause = 50 * time.Millisecond
)

// runTicket runs a call at the one incarnation that its ticket names.
func (e *exchange) runTicket(ctx context.Context) *foxtailwharf.Refusal {
	ticket := e.q.Ticket
	i, err := parseInstance(ticket.Instance, ticket.Address, ticket.Incarnation, ticket.Generation)
	if err != nil {
		return foxtailwharf.Unknown(foxtailwharf.ReasonTicketInvalid, err.Error())
	}
	// An earlier request with the ticket may have run, unless the incarnation itself
	// refuses for good.
	return e.ask(ctx, i, foxtailwharf.Digest([]byte("ticket\n"+ticket.ID)), false)
}

// runKey runs a call at the one incarnation that its claim names.
func (e *exchange) runKey(ctx context.Context) *foxtailwharf.Refusal {
	name := claimer.Name(e.q.Identity.Account, e.q.Service, e.q.Key)
	held, refusal := e.claim(ctx, name)
	for moves := 0; refusal == nil; moves++ {
		if held.Claim.BodyDigest != e.q.contentDigest() {
			return foxtailwharf.Unknown(foxtailwharf.ReasonKeyReused, "the key was used with another request")
		}
		i, err := parseInstance(held.Claim.Instance, held.Claim.Address, held.Claim.Incarnation, held.Claim.Generation)
		if err != nil {
			return foxtailwharf.Unknown(foxtailwharf.ReasonOutcomeUnknown, "the claim is not readable")
		}
		refusal = e.ask(ctx, i, name, held.IsOurs)
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
		if held, err = e.r.c.Claimer.Move(ctx, name, held, e.claimOf(next)); err != nil {
			// The named incarnation refused for good, and no other was asked.
			return refusal
		}
		refusal = nil
	}
	return refusal
}

// canMove reports whether a refusal came from the named incarnation for good, and
// another incarnation may do better.
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
	return e.r.pick(router.Request{Service: e.q.Service, IsServing: e.q.Route.Model != "", IsUrgent: e.isUrgent(), Exclude: e.excluded})
}

// claim makes or finds the claim of the request's key.
func (e *exchange) claim(ctx context.Context, name string) (held claimer.Held, refusal *foxtailwharf.Refusal) {
	i, isFound := e.pickForKey()
	if !isFound {
		return held, e.r.RefuseKey(ctx, e.q, foxtailwharf.NotRun(foxtailwharf.ReasonNoUpstream, "no upstream can take the request"))
	}
	var err error
	if held, err = e.r.c.Claimer.Claim(ctx, name, e.claimOf(i)); err != nil {
		// Nothing was sent, but an earlier request with the key may have run.
		refusal = foxtailwharf.Unknown(foxtailwharf.ReasonStoreUnavailable, "the claim on the key could not be made; a ticket needs none")
		refusal.RetryAfter = time.Second
		return held, refusal
	}
	return held, nil
}

func (e *exchange) claimOf(i foxtailwharf.Instance) wire.Claim {
	return wire.Claim{
		Instance:    i.Name,
		Address:     i.Address.String(),
		Incarnation: i.Incarnation,
		Generation:  i.Generation,
		AttemptID:   foxtailwharf.NewID(),
		BodyDigest:  e.q.contentDigest(),
	}
}

// RefuseKey makes a refusal of a call that was not sent speak of its key: an
// earlier request with it may have run, unless the store shows no claim.
func (r *Relayer) RefuseKey(ctx context.Context, q Request, refusal *foxtailwharf.Refusal) *foxtailwharf.Refusal {
	if q.Ticket == nil && q.Key == "" {
		return refusal
	}
	spoken := *refusal
	spoken.IsNotRun = false
	if q.Ticket == nil {
		isClaimed, err := r.c.Claimer.IsClaimed(ctx, claimer.Name(q.Identity.Account, q.Service, q.Key))
		spoken.IsNotRun = err == nil && !isClaimed
	}
	return &spoken
}

// ask sends a keyed call to the one incarnation that may run it, and asks again
// there while the answer is lost. isFirst says that no earlier request can have
// reached that incarnation with the key.
func (e *exchange) ask(ctx context.Context, i foxtailwharf.Instance, key string, isFirst bool) *foxtailwharf.Refusal {
	var o outcome
	for asks := range maxAsks {
		attempt := e.attempt()
		attempt.Incarnation = i.Incarnation
		attempt.Key = key
		attempt.Generation = i.Generation
		if e.q.ForwardsKey {
			attempt.IsKeyForwarded = true
			attempt.CallerKey = e.q.Key
		}
		o = e.send(ctx, e.r.once, i, attempt)
		if o.isWhole {
			return nil
		}
		if o.isAnsweredBy(i.Incarnation) {
			return o.refusal
		}
		e.mayHaveRun = e.mayHaveRun || !o.isNotRun()
		if o.isDeath {
			e.r.warn(ctx)
		}
		isReplaced := o.refusal.Reason == foxtailwharf.ReasonWrongIncarnation
		if isReplaced || o.isFinal || !pauser.Sleep(ctx, askPause<<asks) {
			break
		}
	}
	refusal := *o.refusal
	refusal.IsNotRun = o.refusal.IsNotRun && isFirst && !e.mayHaveRun
	if !refusal.IsNotRun {
		refusal.Reason = foxtailwharf.ReasonOutcomeUnknown
		refusal.Detail = "the only instance that may have run the call does not answer for it: " + o.refusal.Detail
	}
	return &refusal
}
