package assigner

import (
	"context"
	"time"

	"github.com/foxtailwharf/foxtailwharf"
	"github.com/foxtailwharf/foxtailwharf/internal/request/balancer"
	"github.com/foxtailwharf/foxtailwharf/internal/request/queuer"
)

// maxPermitWait is how long a call waits for a permit for a better upstream before it goes elsewhere.
const maxPermitWait = 25 * time.Millisecond

// Acquire waits for an upstream and counts the call as sent to it. The caller must report the end
// of the call with Finished. It returns a refusal if no upstream is eligible, or if none has had
// capacity when the wait or the context ends.
func (a *Assigner) Acquire(ctx context.Context, request Request) (foxtailwharf.Upstream, *foxtailwharf.Refusal) {
	a.awaitPermit(ctx, request.Requirements)
	w, u, refusal := a.enqueue(request)
	if w == nil {
		return u, refusal
	}
	timer := time.NewTimer(time.Until(w.checkAt))
	defer timer.Stop()
	for {
		select {
		case end := <-w.ended:
			return end.upstream, end.refusal
		case <-timer.C:
			if checkAt, mayWait := a.checkWait(w); mayWait {
				timer.Reset(time.Until(checkAt))
				continue
			}
		case <-ctx.Done():
		}
		return a.cancelWait(w)
	}
}

// enqueue returns an upstream if one has capacity, a refusal if none is eligible, and else the
// waiter that it has added to the queue.
func (a *Assigner) enqueue(request Request) (*waiter, foxtailwharf.Upstream, *foxtailwharf.Refusal) {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := time.Now()
	checkAt, refusal := a.waitTime(now, request)
	if refusal != nil {
		return nil, foxtailwharf.Upstream{}, refusal
	}
	a.lastID++
	w := &waiter{id: a.lastID, request: request, ended: make(chan assignment, 1), checkAt: checkAt}
	a.waiters[a.lastID] = w
	a.queue.Add(queuer.Item{
		ID:        a.lastID,
		Service:   request.Requirements.Service,
		Rank:      request.Rank,
		Arrived:   request.Arrived,
		StartBy:   request.StartBy,
		OverdueAt: request.OverdueAt,
	})
	a.dispatch(now)
	select {
	case end := <-w.ended:
		return nil, end.upstream, end.refusal
	default:
		return w, foxtailwharf.Upstream{}, nil
	}
}

// waitTime returns until when a call may wait before that is checked again, or the refusal of a call that no
// upstream can take in time. The lock must be held.
func (a *Assigner) waitTime(now time.Time, request Request) (checkAt time.Time, refusal *foxtailwharf.Refusal) {
	if a.balancer.HasCandidates(now, request.Requirements) {
		return request.WaitUntil, nil
	}
	if refusal = a.refusal(now, request); refusal != nil {
		return checkAt, refusal
	}
	firstReturn := a.balancer.FirstReturn(now, request.Requirements)
	silenceEnd := a.balancer.SilenceEnd(now, request.Requirements)
	switch {
	case !firstReturn.IsZero() && firstReturn.Before(request.WaitUntil):
		return request.WaitUntil, nil
	case silenceEnd.IsZero():
		return checkAt, foxtailwharf.NotRun(foxtailwharf.ReasonNoUpstream, "no upstream is eligible for the call")
	case silenceEnd.Before(request.WaitUntil):
		return silenceEnd, nil
	default:
		return request.WaitUntil, nil
	}
}

// checkWait returns until when a call may go on waiting. It ends the wait of one that no upstream can take in time.
func (a *Assigner) checkWait(w *waiter) (checkAt time.Time, mayWait bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := time.Now()
	if len(w.ended) > 0 || !now.Before(w.request.WaitUntil) {
		return checkAt, false
	}
	checkAt, refusal := a.waitTime(now, w.request)
	if refusal != nil {
		a.endWait(w, assignment{refusal: refusal})
		return checkAt, false
	}
	return checkAt, true
}

// cancelWait removes a call from the queue, unless it was assigned an upstream meanwhile.
func (a *Assigner) cancelWait(w *waiter) (foxtailwharf.Upstream, *foxtailwharf.Refusal) {
	a.mu.Lock()
	defer a.mu.Unlock()
	select {
	case end := <-w.ended:
		return end.upstream, end.refusal
	default:
	}
	a.queue.Remove(w.id)
	delete(a.waiters, w.id)
	return foxtailwharf.Upstream{}, foxtailwharf.NotRun(foxtailwharf.ReasonQueueFull, "no upstream had capacity in time")
}

// awaitPermit asks for a permit if the call would rather be sent to an upstream that has named a limit,
// and waits for the answer. Where calls are few, a permit that arrives later would find none.
func (a *Assigner) awaitPermit(ctx context.Context, requirements balancer.Requirements) {
	a.mu.Lock()
	id := a.balancer.AskFor(time.Now(), requirements)
	if id == "" {
		a.mu.Unlock()
		return
	}
	answered, isAwaited := a.asked[id]
	if !isAwaited {
		answered = make(chan struct{})
		a.asked[id] = answered
	}
	a.mu.Unlock()
	timer := time.NewTimer(maxPermitWait)
	defer timer.Stop()
	select {
	case <-answered:
	case <-timer.C:
	case <-ctx.Done():
	}
}
