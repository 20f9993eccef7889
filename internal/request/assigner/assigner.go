// Package assigner gives calls their upstream: at once while there is room, otherwise in the
// order of the queue as room appears, or as the agents beside engines grant places. It joins
// the queuer and the balancer of one entry under a lock.
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

// Config holds the settings of an Assigner.
type Config struct {
	// Balancer is used by nothing else.
	Balancer *balancer.Balancer
	// Tell passes on what the agents beside engines should know; nil for nothing.
	Tell func(Note)
}

// NoteKind says what a note is about.
type NoteKind int

// The kinds of note.
const (
	NotePlaced  NoteKind = iota // a call is sent to the engine
	NoteEnded                   // a call has ended there
	NoteWaiting                 // a call waits for a place
)

// Note is something that the agent beside an engine should know.
type Note struct {
	Kind     NoteKind
	Upstream foxtailwharf.Upstream
	Call     uint64 // number of the call at this entry
	Ask      Ask
}

// announceInterval is the time between two announcements of a call that waits.
const announceInterval = 200 * time.Millisecond

// Assigner gives calls their upstream.
type Assigner struct {
	c Config

	mu       sync.Mutex
	balancer *balancer.Balancer
	queue    *queuer.Queuer
	waiters  map[uint64]*waiter
	last     uint64 // number given to a call
	notes    []Note // to be told once the lock is released
}

// waiter is a call that waits. The channel holds one.
type waiter struct {
	number  uint64
	ask     Ask
	granted chan foxtailwharf.Upstream
}

// New returns an assigner without calls.
func New(c Config) *Assigner {
	return &Assigner{c: c, balancer: c.Balancer, queue: queuer.New(), waiters: make(map[uint64]*waiter)}
}

// unlock releases the lock and tells what has come up under it.
func (a *Assigner) unlock() {
	notes := a.notes
	a.notes = nil
	a.mu.Unlock()
	if a.c.Tell == nil {
		return
	}
	for _, n := range notes {
		a.c.Tell(n)
	}
}

// note keeps a note on a call at an engine. The caller holds the lock.
func (a *Assigner) note(kind NoteKind, u foxtailwharf.Upstream, call uint64, ask Ask) {
	if ask.Want.IsModel {
		a.notes = append(a.notes, Note{Kind: kind, Upstream: u, Call: call, Ask: ask})
	}
}

// Update changes what the balancer knows and gives out the room that this makes.
func (a *Assigner) Update(change func(b *balancer.Balancer)) {
	a.mu.Lock()
	defer a.unlock()
	change(a.balancer)
	a.dispatch(time.Now())
}

// Report takes in what an agent tells.
func (a *Assigner) Report(machine netip.Addr, load foxtailwharf.UpstreamLoad) {
	a.Update(func(b *balancer.Balancer) { b.Report(time.Now(), machine, load) })
}

// Finished notes the end of a call at an upstream.
func (a *Assigner) Finished(u foxtailwharf.Upstream, ask Ask, result balancer.Result) {
	a.Update(func(b *balancer.Balancer) {
		b.Finished(time.Now(), u.ID, result)
		a.note(NoteEnded, u, 0, ask)
	})
}

// Grant takes a place that the agent on a machine grants to a call; false if it is not needed.
func (a *Assigner) Grant(machine netip.Addr, call uint64) bool {
	a.mu.Lock()
	defer a.unlock()
	now := time.Now()
	w, isWaiting := a.waiters[call]
	if !isWaiting {
		return false
	}
	u, isFound := a.balancer.Granted(now, machine, w.ask.Want)
	if isFound {
		a.give(now, w, u)
	}
	return isFound
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
	announce := time.NewTicker(announceInterval)
	defer announce.Stop()
	for {
		select {
		case u = <-w.granted:
			return u, nil
		case <-announce.C:
			a.announce(w)
		case <-timer.C:
			return a.withdraw(w)
		case <-ctx.Done():
			return a.withdraw(w)
		}
	}
}

// enter gives an upstream at once, or a place in the queue, or a refusal.
func (a *Assigner) enter(ask Ask) (*waiter, foxtailwharf.Upstream, *foxtailwharf.Refusal) {
	a.mu.Lock()
	defer a.unlock()
	now := time.Now()
	if _, _, isKnown := a.balancer.Pick(now, ask.Want); !isKnown {
		return nil, foxtailwharf.Upstream{}, foxtailwharf.NotRun(foxtailwharf.ReasonNoUpstream, "no upstream can take the call")
	}
	a.last++
	w := &waiter{number: a.last, ask: ask, granted: make(chan foxtailwharf.Upstream, 1)}
	a.waiters[w.number] = w
	a.queue.Add(queuer.Item{ID: w.number, Service: ask.Want.Service, Rank: ask.Rank, Arrived: ask.Arrived, OnTime: ask.OnTime})
	a.dispatch(now)
	select {
	case u := <-w.granted:
		return nil, u, nil
	default:
		a.noteWaiting(now, w)
		return w, foxtailwharf.Upstream{}, nil
	}
}

// announce tells a few agents more of a call that still waits.
func (a *Assigner) announce(w *waiter) {
	a.mu.Lock()
	defer a.unlock()
	if a.waiters[w.number] == w {
		a.noteWaiting(time.Now(), w)
	}
}

func (a *Assigner) noteWaiting(now time.Time, w *waiter) {
	if !w.ask.Want.IsModel {
		return
	}
	for _, u := range a.balancer.Announce(now, w.ask.Want) {
		a.note(NoteWaiting, u, w.number, w.ask)
	}
}

// withdraw takes a call out of the queue, unless it was given an upstream meanwhile.
func (a *Assigner) withdraw(w *waiter) (foxtailwharf.Upstream, *foxtailwharf.Refusal) {
	a.mu.Lock()
	defer a.unlock()
	select {
	case u := <-w.granted:
		return u, nil
	default:
	}
	a.queue.Remove(w.number)
	delete(a.waiters, w.number)
	return foxtailwharf.Upstream{}, foxtailwharf.NotRun(foxtailwharf.ReasonQueueFull, "no upstream had room in time")
}

// give hands an upstream to a call that waits. The caller holds the lock.
func (a *Assigner) give(now time.Time, w *waiter, u foxtailwharf.Upstream) {
	a.queue.Remove(w.number)
	delete(a.waiters, w.number)
	a.balancer.Sent(now, u.ID, w.ask.Want.Tokens)
	a.note(NotePlaced, u, w.number, w.ask)
	w.granted <- u
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
		a.give(now, w, u)
	}
}
