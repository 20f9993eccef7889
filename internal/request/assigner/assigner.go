// Package assigner gives calls their upstream: at once while there is room, and
// otherwise in the order of the queue as room appears. It joins the queuer and the
// balancer of one entry under a lock.
package assigner

import (
	"context"
	"net/netip"
	"sync"
	"time"

	"github.com/foxtailwharf/foxtailwharf"
	"github.com/foxtailwharf/foxtailwharf/internal/request/balancer"
	"github.com/foxtailwharf/foxtailwharf/internal/request/queuer"
)

// Ask is a call that needs an upstream.
type Ask struct {
	Want    balancer.Want
	Rank    queuer.Rank
	Arrived time.Time
	OnTime  time.Time // the latest start with which the call is on time
	GiveUp  time.Time // until when it waits
}

// Assigner gives calls their upstream.
type Assigner struct {
	mu       sync.Mutex
	balancer *balancer.Balancer
	queue    *queuer.Queuer
	waiters  map[uint64]*waiter
	last     uint64 // ID given to a waiter
}

// waiter is a call that waits. The channel holds one.
type waiter struct {
	ask     Ask
	granted chan foxtailwharf.Upstream
}

// New returns an assigner over a balancer, which nothing else may use.
func New(b *balancer.Balancer) *Assigner {
	return &Assigner{balancer: b, queue: queuer.New(), waiters: make(map[uint64]*waiter)}
}

// Update changes what the balancer knows and gives out the room that this makes.
func (a *Assigner) Update(change func(b *balancer.Balancer)) {
	a.mu.Lock()
	defer a.mu.Unlock()
	change(a.balancer)
	a.dispatch(time.Now())
}

// Report takes in what an agent tells.
func (a *Assigner) Report(machine netip.Addr, load foxtailwharf.UpstreamLoad) {
	a.Update(func(b *balancer.Balancer) { b.Report(time.Now(), machine, load) })
}

// Finished notes the end of a call at an upstream.
func (a *Assigner) Finished(id string, result balancer.Result) {
	a.Update(func(b *balancer.Balancer) { b.Finished(time.Now(), id, result) })
}

// Waiting returns the number of calls in the queue.
func (a *Assigner) Waiting() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.queue.Len()
}

// IsLost reports whether an upstream is known to have ended.
func (a *Assigner) IsLost(u foxtailwharf.Upstream) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.balancer.IsLost(time.Now(), u.ID, u.Born)
}

// IsLoading reports whether an upstream is said to load weights, for which it may end calls.
func (a *Assigner) IsLoading(u foxtailwharf.Upstream) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.balancer.IsLoading(time.Now(), u.ID)
}

// DueAt returns when a call at an upstream must have begun; zero for never.
func (a *Assigner) DueAt(u foxtailwharf.Upstream) time.Time {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.balancer.DueAt(time.Now(), u.ID)
}

// Acquire returns an upstream for a call, which then counts as sent to it. It returns a
// refusal if the call should not wait any longer.
func (a *Assigner) Acquire(ctx context.Context, ask Ask) (foxtailwharf.Upstream, *foxtailwharf.Refusal) {
	w, u, refusal := a.enter(ask)
	if w == nil {
		return u, refusal
	}
	timer := time.NewTimer(time.Until(ask.GiveUp))
	defer timer.Stop()
	select {
	case u = <-w.granted:
		return u, nil
	case <-timer.C:
	case <-ctx.Done():
	}
	return a.withdraw(w)
}

// enter gives an upstream at once, or a place in the queue, or a refusal.
func (a *Assigner) enter(ask Ask) (*waiter, foxtailwharf.Upstream, *foxtailwharf.Refusal) {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := time.Now()
	if _, _, isKnown := a.balancer.Pick(now, ask.Want); !isKnown {
		return nil, foxtailwharf.Upstream{}, foxtailwharf.NotRun(foxtailwharf.ReasonNoUpstream, "no upstream can take the call")
	}
	a.last++
	w := &waiter{ask: ask, granted: make(chan foxtailwharf.Upstream, 1)}
	a.waiters[a.last] = w
	a.queue.Add(queuer.Item{ID: a.last, Service: ask.Want.Service, Rank: ask.Rank, Arrived: ask.Arrived, OnTime: ask.OnTime})
	a.dispatch(now)
	select {
	case u := <-w.granted:
		return nil, u, nil
	default:
		return w, foxtailwharf.Upstream{}, nil
	}
}

// withdraw takes a call out of the queue, unless it was given an upstream meanwhile.
func (a *Assigner) withdraw(w *waiter) (foxtailwharf.Upstream, *foxtailwharf.Refusal) {
	a.mu.Lock()
	defer a.mu.Unlock()
	select {
	case u := <-w.granted:
		return u, nil
	default:
	}
	for id, other := range a.waiters {
		if other == w {
			a.queue.Remove(id)
			delete(a.waiters, id)
		}
	}
	return foxtailwharf.Upstream{}, foxtailwharf.NotRun(foxtailwharf.ReasonQueueFull, "no upstream had room in time")
}

// dispatch gives out all room there is. Calls of a service and rank for which
// there was none are passed over.
func (a *Assigner) dispatch(now time.Time) {
	type kind struct {
		service string
		rank    queuer.Rank
	}
	full := make(map[kind]bool)
	for {
		item := a.queue.Next(now, func(i *queuer.Item) bool { return !full[kind{i.Service, i.Rank}] })
		if item == nil {
			return
		}
		w := a.waiters[item.ID]
		want := w.ask.Want
		want.IsAlone = a.queue.Len() == 1
		u, isFound, _ := a.balancer.Pick(now, want)
		if !isFound {
			full[kind{item.Service, item.Rank}] = true
			continue
		}
		a.queue.Remove(item.ID)
		delete(a.waiters, item.ID)
		a.balancer.Sent(now, u.ID, w.ask.Want.Tokens)
		w.granted <- u
	}
}
