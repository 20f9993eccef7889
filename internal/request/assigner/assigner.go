// Package assigner assigns upstreams to calls: at once if one has capacity, otherwise in the
// order of the queue as capacity becomes free. It guards the queue and the balancer of one entry
// with a lock.
package assigner

import (
	"net/netip"
	"sync"
	"time"

	"github.com/foxtailwharf/foxtailwharf"
	"github.com/foxtailwharf/foxtailwharf/internal/request/balancer"
	"github.com/foxtailwharf/foxtailwharf/internal/request/queuer"
)

// Request is a call that needs an upstream.
type Request struct {
	Requirements balancer.Requirements
	Rank         queuer.Rank
	Arrived      time.Time
	StartBy      time.Time // latest start at which the call still meets its goal
	OverdueAt    time.Time // when it gets turns before newer calls, as in queuer.Item; zero for never
	WaitUntil    time.Time // end of the wait for capacity
	Deadline     time.Time // of the call
}

// maxDispatchPause is how long reports that leave no room for a call may postpone dispatch. Capacity
// also appears with time, when a backoff or a backlog of prompts ends.
const maxDispatchPause = 20 * time.Millisecond

// maxSkipped bounds the calls that one dispatch skips one by one.
const maxSkipped = 8

// Assigner assigns upstreams to calls. It is safe for concurrent use.
type Assigner struct {
	mu           sync.Mutex
	balancer     *balancer.Balancer
	queue        *queuer.Queuer
	waiters      map[uint64]*waiter
	lastID       uint64 // of the newest waiter
	dispatchedAt time.Time
	asked        map[string]chan struct{} // closed when the request for a permit is answered, by upstream
	wake         *time.Timer              // runs wakeUp at the end of a pause, while calls wait
}

// waiter is a call in the queue. The channel has a buffer of one, so that dispatch never blocks.
type waiter struct {
	id      uint64
	request Request
	ended   chan assignment
	// checkAt is when to check whether the call may still wait, at WaitUntil at the latest.
	checkAt time.Time
}

// assignment ends the wait of a call: with an upstream, or with a refusal.
type assignment struct {
	upstream foxtailwharf.Upstream
	refusal  *foxtailwharf.Refusal
}

// New returns an assigner that owns the balancer: nothing else may use it.
func New(b *balancer.Balancer) *Assigner {
	a := &Assigner{balancer: b, queue: queuer.New(), waiters: make(map[uint64]*waiter), asked: make(map[string]chan struct{})}
	a.wake = time.AfterFunc(time.Hour, a.wakeUp)
	a.wake.Stop()
	return a
}

// Update changes the balancer under the lock and assigns the capacity that this has freed.
func (a *Assigner) Update(change func(b *balancer.Balancer)) {
	a.mu.Lock()
	defer a.mu.Unlock()
	change(a.balancer)
	a.dispatch(time.Now())
}

// Report passes an agent's report to the balancer, and assigns the capacity that it shows. Reports
// are many, and while engines are full most of them show none.
func (a *Assigner) Report(machine netip.Addr, load foxtailwharf.UpstreamLoad) {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := time.Now()
	a.balancer.Report(now, machine, load)
	if a.queue.Len() == 0 {
		return
	}
	if a.balancer.HasRoom(machine, a.queue.Len() == 1) || now.Sub(a.dispatchedAt) >= maxDispatchPause {
		a.dispatch(now)
	}
}

// Finished records the result of a call at an upstream and frees its slot.
func (a *Assigner) Finished(id string, result balancer.Result) {
	a.Update(func(b *balancer.Balancer) { b.Finished(time.Now(), id, result) })
}

// HandleReply passes what a response of an upstream says of the upstream to the balancer, and refuses the
// waiting calls that no upstream can take after it. It returns what this entry did not know.
func (a *Assigner) HandleReply(sentTo foxtailwharf.Upstream, sentAt time.Time, reply foxtailwharf.Reply) balancer.Change {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := time.Now()
	change := a.balancer.HandleReply(now, sentTo, sentAt, reply)
	if change.IsLeaving || change.Pause > 0 {
		a.refuseUnservable(now, sentTo.Service)
	}
	if change.Pause > 0 || change.IsReturning {
		a.dispatch(now)
	}
	return change
}

// refuseUnservable refuses the waiting calls of a service that no upstream can take. The lock must be
// held.
func (a *Assigner) refuseUnservable(now time.Time, service string) {
	for _, w := range a.waiters {
		if w.request.Requirements.Service != service || a.balancer.HasCandidates(now, w.request.Requirements) {
			continue
		}
		if refusal := a.refusal(now, w.request); refusal != nil {
			a.endWait(w, assignment{refusal: refusal})
		}
	}
}

// LearnLimit passes a limit that another entry has announced to the balancer, as Balancer.LearnLimit does.
func (a *Assigner) LearnLimit(named foxtailwharf.NamedLimit) (isNew bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.balancer.LearnLimit(time.Now(), named)
}

// TakeAsks returns the requests to the entries that keep limits, as Balancer.TakeAsks does.
func (a *Assigner) TakeAsks() []balancer.Ask {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.balancer.TakeAsks(time.Now())
}

// HandlePermit passes the answer to a request for a permit to the balancer, and assigns it.
func (a *Assigner) HandlePermit(asked foxtailwharf.Upstream, p foxtailwharf.Permit) {
	a.Update(func(b *balancer.Balancer) {
		b.HandlePermit(time.Now(), asked, p)
		if answered, isAwaited := a.asked[asked.ID]; isAwaited {
			delete(a.asked, asked.ID)
			close(answered)
		}
	})
}

// Limited returns the number of upstreams that have named a limit.
func (a *Assigner) Limited() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.balancer.Limited()
}

// Leaving returns the number of listed upstreams that have said that they are leaving.
func (a *Assigner) Leaving() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.balancer.Leaving()
}

// Paused returns the number of listed upstreams that want no calls at present.
func (a *Assigner) Paused() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.balancer.Paused(time.Now())
}

// IsPaused reports whether an upstream wants no calls at present, as Balancer.IsPaused does.
func (a *Assigner) IsPaused(u foxtailwharf.Upstream) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.balancer.IsPaused(time.Now(), u)
}

// Waiting returns the length of the queue.
func (a *Assigner) Waiting() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.queue.Len()
}

// HasEnded reports whether an upstream has ended since a call was sent to it, as Balancer.HasEnded does.
func (a *Assigner) HasEnded(u foxtailwharf.Upstream, sentAt time.Time) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.balancer.HasEnded(time.Now(), u, sentAt)
}

// MayHaveEnded reports whether an upstream may have ended, as Balancer.MayHaveEnded does.
func (a *Assigner) MayHaveEnded(u foxtailwharf.Upstream) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.balancer.MayHaveEnded(time.Now(), u)
}

// IsSuspect reports whether an upstream does not answer its agent, as Balancer.IsSuspect does.
func (a *Assigner) IsSuspect(u foxtailwharf.Upstream) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.balancer.IsSuspect(time.Now(), u.ID)
}

// MayBeReached reports whether an upstream that took no connection may be sound, as Balancer.MayBeReached does.
func (a *Assigner) MayBeReached(u foxtailwharf.Upstream) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.balancer.MayBeReached(time.Now(), u.ID)
}

// IsLost reports whether an upstream has ended or is a suspect, as Balancer.IsLost does.
func (a *Assigner) IsLost(u foxtailwharf.Upstream) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.balancer.IsLost(time.Now(), u)
}

// IsLoading reports whether an upstream is loading weights, for which it may abort calls.
func (a *Assigner) IsLoading(u foxtailwharf.Upstream) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.balancer.IsLoading(time.Now(), u.ID)
}

// StartDeadline returns when a call at an upstream must have begun, as Balancer.StartDeadline
// does; zero for no limit.
func (a *Assigner) StartDeadline(u foxtailwharf.Upstream) time.Time {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.balancer.StartDeadline(time.Now(), u)
}

// refusal returns the refusal of a call that has no candidates if what upstreams have said of themselves
// is the cause, else nil. While a silent upstream may go on it is not certain. The lock must be held.
func (a *Assigner) refusal(now time.Time, request Request) *foxtailwharf.Refusal {
	firstReturn := a.balancer.FirstReturn(now, request.Requirements)
	switch {
	case !firstReturn.IsZero() && firstReturn.Before(request.WaitUntil):
		return nil
	case !a.balancer.SilenceEnd(now, request.Requirements).IsZero():
		return nil
	case a.balancer.IsLimited(now, request.Requirements):
		return foxtailwharf.NotRun(foxtailwharf.ReasonQueueFull, "all upstreams are at the limits that they have named")
	case !firstReturn.IsZero():
		return a.pausedRefusal(now, firstReturn, request.Deadline)
	case a.balancer.AreLeaving(request.Requirements.Service):
		return foxtailwharf.NotRun(foxtailwharf.ReasonNoUpstream, "all upstreams of the service are leaving")
	default:
		return nil
	}
}

// pausedRefusal returns the refusal of a call that cannot be served before an upstream returns from a
// pause. The lock must be held.
func (a *Assigner) pausedRefusal(now, firstReturn, deadline time.Time) *foxtailwharf.Refusal {
	refusal := foxtailwharf.NotRun(foxtailwharf.ReasonUpstreamsPaused, "all upstreams want no calls for a time")
	refusal.RetryAfter = a.balancer.RetryAfter(now, firstReturn, deadline)
	return refusal
}

// NotAccepted returns the refusal of a call that upstreams have refused and that may not be sent again.
func (a *Assigner) NotAccepted(request Request) *foxtailwharf.Refusal {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := time.Now()
	firstReturn := a.balancer.FirstReturn(now, request.Requirements)
	if firstReturn.IsZero() || a.balancer.HasCandidates(now, request.Requirements) {
		return foxtailwharf.NotRun(foxtailwharf.ReasonNoUpstream, "no upstream accepted the call")
	}
	return a.pausedRefusal(now, firstReturn, request.Deadline)
}

// dispatch assigns all free capacity, and sees to it that the end of a pause is noticed. The lock must be
// held.
func (a *Assigner) dispatch(now time.Time) {
	a.assign(now)
	if a.queue.Len() == 0 {
		a.wake.Stop()
		return
	}
	if next := a.balancer.NextReturn(now); !next.IsZero() {
		a.wake.Reset(next.Sub(now))
	}
}

// wakeUp assigns the capacity that has appeared with time.
func (a *Assigner) wakeUp() {
	a.Update(func(*balancer.Balancer) {})
}

// assign assigns all free capacity. The lock must be held. Once no upstream has capacity for a call,
// the other calls of the same service and rank are skipped. A call that has fewer upstreams than they
// is skipped alone.
func (a *Assigner) assign(now time.Time) {
	type class struct {
		service string
		rank    queuer.Rank
	}
	a.dispatchedAt = now
	exhausted := make(map[class]bool)
	skipped := make(map[uint64]bool)
	for a.queue.Len() > 0 {
		item := a.queue.Next(now, func(i *queuer.Item) bool { return !exhausted[class{i.Service, i.Rank}] && !skipped[i.ID] })
		if item == nil {
			return
		}
		w := a.waiters[item.ID]
		requirements := w.request.Requirements
		requirements.IsOnlyWaiting = a.queue.Len() == 1
		u, isFound, hasCandidates := a.balancer.Pick(now, requirements)
		if isFound {
			a.balancer.Sent(now, u.ID, w.request.Requirements.Tokens)
			a.queue.Take(w.id)
			a.endWait(w, assignment{upstream: u})
			continue
		}
		if !hasCandidates {
			if refusal := a.refusal(now, w.request); refusal != nil {
				a.endWait(w, assignment{refusal: refusal})
				continue
			}
		}
		if hasFewer := len(requirements.Exclude) > 0 || requirements.Weights != 0; hasFewer && len(skipped) < maxSkipped {
			skipped[item.ID] = true
			continue
		}
		exhausted[class{item.Service, item.Rank}] = true
	}
}

// endWait removes a call from the queue and tells it the result. The lock must be held.
func (a *Assigner) endWait(w *waiter, end assignment) {
	a.queue.Remove(w.id)
	delete(a.waiters, w.id)
	w.ended <- end
}
