// Package dispatcher admits requests to an upstream: it queues them, starts them under the
// concurrency limit in the scheduler's order, refuses new ones when the instance is leaving, and
// holds them back while the version changes.
package dispatcher

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/foxtailwharf/foxtailwharf"
	"github.com/foxtailwharf/foxtailwharf/internal/request/scheduler"
)

// maxSuspects is the maximum number of suspect requests at one dispatcher, waiting or running.
const maxSuspects = 64

// ErrPreempted is the cause with which a running request is cancelled in favour of urgent work.
// Such a request has sent no output and waits again.
var ErrPreempted = errors.New("preempted by urgent work")

// Dispatcher admits the requests of one agent. It is safe for concurrent use; unexported methods
// need the lock held.
type Dispatcher struct {
	mu        sync.Mutex
	scheduler *scheduler.Scheduler
	waiting   map[*scheduler.Item]*Request
	running   map[string]*Request
	suspects  []*Request // the first is queued or running, the others wait for it
	isLeaving bool
	isHeld    bool
	idle      chan struct{} // closed when nothing runs; nil if nobody waits for that
	version   string
}

// Request is a request that Dispatcher.Enqueue has queued.
type Request struct {
	d       *Dispatcher
	item    *scheduler.Item
	suspect bool
	outcome chan *foxtailwharf.Refusal // buffer of one; receives nil to start, or a refusal
	cancel  context.CancelCauseFunc
	hasSent bool
	version string
}

// New returns a dispatcher that refuses requests until the first Resume.
func New(c scheduler.Config) *Dispatcher {
	return &Dispatcher{
		scheduler: scheduler.New(c),
		waiting:   make(map[*scheduler.Item]*Request),
		running:   make(map[string]*Request),
		isHeld:    true,
	}
}

// Configure changes slots, queue length, floors and weights, and starts the requests that may
// start then.
func (d *Dispatcher) Configure(c scheduler.Config) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.scheduler.Configure(c)
	d.dispatch()
}

// Load returns the numbers of waiting and running requests.
func (d *Dispatcher) Load() foxtailwharf.Load {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.scheduler.Load()
}

// Version returns the version that requests run on now. It is empty before the first Resume,
// after Suspend and for plain services.
func (d *Dispatcher) Version() string {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.version
}

// Leave makes the dispatcher permanently refuse all new and all waiting requests. Running
// requests continue.
func (d *Dispatcher) Leave() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.isLeaving = true
	for _, item := range d.scheduler.Drain() {
		d.resolve(item, leavingRefusal())
	}
	d.signalIdle()
}

func leavingRefusal() *foxtailwharf.Refusal {
	return foxtailwharf.NotRun(foxtailwharf.ReasonLeaving, "the instance is leaving the fleet")
}

// Quiesce stops starting requests and waits until none runs or the context ends. Waiting requests
// stay in the queue.
func (d *Dispatcher) Quiesce(ctx context.Context) error {
	d.mu.Lock()
	d.isHeld = true
	d.mu.Unlock()
	return d.WaitIdle(ctx)
}

// WaitIdle waits until no request runs or the context ends.
func (d *Dispatcher) WaitIdle(ctx context.Context) error {
	d.mu.Lock()
	if d.idle == nil {
		d.idle = make(chan struct{})
	}
	idle := d.idle
	d.signalIdle()
	d.mu.Unlock()
	select {
	case <-idle:
		return nil
	case <-ctx.Done():
		return errors.Wrap(ctx.Err(), "Dispatcher.WaitIdle")
	}
}

func (d *Dispatcher) signalIdle() {
	if d.idle != nil && len(d.running) == 0 {
		close(d.idle)
		d.idle = nil
	}
}

// Resume sets the version that requests run on and starts requests again.
func (d *Dispatcher) Resume(version string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.version = version
	d.isHeld = false
	d.dispatch()
}

// Pause stops starting requests until Resume, because the upstream seems to have died. Waiting
// requests stay in the queue in case it has not; Suspend refuses them.
func (d *Dispatcher) Pause() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.isHeld = true
}

// IsPaused reports whether no requests are started until the next Resume.
func (d *Dispatcher) IsPaused() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.isHeld
}

// Suspend stops starting requests and refuses new ones until Resume. Waiting requests are
// refused too, so that they can be retried on another upstream.
func (d *Dispatcher) Suspend() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.isHeld = true
	d.version = ""
	for _, item := range d.scheduler.Drain() {
		d.resolve(item, foxtailwharf.NotRun(foxtailwharf.ReasonNotReady, "the upstream does not respond"))
	}
}

// Enqueue queues a request. version is the version that must answer; empty for any. A suspect
// request is queued once the suspects before it are done.
func (d *Dispatcher) Enqueue(item *scheduler.Item, version string, isSuspect bool) (*Request, *foxtailwharf.Refusal) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if refusal := d.refuse(version, isSuspect); refusal != nil {
		return nil, refusal
	}
	r := &Request{d: d, item: item, suspect: isSuspect, outcome: make(chan *foxtailwharf.Refusal, 1), version: version}
	if isSuspect {
		d.suspects = append(d.suspects, r)
		if len(d.suspects) > 1 {
			// If two suspects ran on one upstream, both would be blamed for its death.
			return r, nil
		}
	}
	if refusal := d.schedule(r); refusal != nil {
		d.removeSuspect(r)
		return nil, refusal
	}
	d.dispatch()
	return r, nil
}

// removeSuspect removes a suspect and queues the next one.
func (d *Dispatcher) removeSuspect(r *Request) {
	wasFirst := len(d.suspects) > 0 && d.suspects[0] == r
	d.suspects = slices.DeleteFunc(d.suspects, func(s *Request) bool { return s == r })
	for wasFirst && len(d.suspects) > 0 {
		next := d.suspects[0]
		refusal := d.refuse(next.version, false)
		if refusal == nil {
			refusal = d.schedule(next)
		}
		if refusal == nil {
			return
		}
		d.suspects = d.suspects[1:]
		next.outcome <- refusal
	}
}

// refuse returns the refusal of a request that must not be queued, or nil.
func (d *Dispatcher) refuse(version string, isSuspect bool) *foxtailwharf.Refusal {
	switch {
	case d.isLeaving:
		return leavingRefusal()
	case d.version == "" && d.isHeld:
		return foxtailwharf.NotRun(foxtailwharf.ReasonNotReady, "no version is loaded")
	case version != "" && version != d.version:
		return foxtailwharf.NotRun(foxtailwharf.ReasonWrongVersion, "another version is loaded")
	case isSuspect && len(d.suspects) >= maxSuspects:
		return foxtailwharf.NotRun(foxtailwharf.ReasonSuspectBusy, "too many suspect requests are waiting")
	default:
		return nil
	}
}

func (d *Dispatcher) schedule(r *Request) *foxtailwharf.Refusal {
	d.waiting[r.item] = r
	displaced, refusal := d.scheduler.Enqueue(time.Now(), r.item)
	if refusal != nil {
		delete(d.waiting, r.item)
		return refusal
	}
	if displaced == nil {
		return nil
	}
	if displaced == r.item {
		delete(d.waiting, r.item)
		return foxtailwharf.NotRun(foxtailwharf.ReasonQueueFull, "the queue is full")
	}
	d.resolve(displaced, foxtailwharf.NotRun(foxtailwharf.ReasonDisplaced, "the queue is full and the request was displaced by another one"))
	return nil
}

// resolve ends an item's wait: it may start if refusal is nil.
func (d *Dispatcher) resolve(item *scheduler.Item, refusal *foxtailwharf.Refusal) {
	r := d.waiting[item]
	delete(d.waiting, item)
	r.outcome <- refusal
	if refusal != nil && r.suspect {
		d.removeSuspect(r)
	}
}

// dispatch starts all requests that may start now.
func (d *Dispatcher) dispatch() {
	for !d.isHeld {
		item, expired := d.scheduler.Next(time.Now())
		for _, e := range expired {
			d.resolve(e, foxtailwharf.NotRun(foxtailwharf.ReasonDeadline, "the deadline passed in the queue"))
		}
		if item == nil {
			break
		}
		d.start(item)
	}
	if !d.isHeld {
		d.preempt()
	}
}

func (d *Dispatcher) start(item *scheduler.Item) {
	r := d.waiting[item]
	if r.version != "" && r.version != d.version {
		// The version changed while the request waited.
		d.scheduler.Done(time.Now(), item, 0)
		d.resolve(item, foxtailwharf.NotRun(foxtailwharf.ReasonWrongVersion, "the version changed while the request waited"))
		return
	}
	d.running[item.ID] = r
	d.resolve(item, nil)
}

// preempt cancels a running request of the lowest rank if an urgent one waits for a slot.
func (d *Dispatcher) preempt() {
	victim := d.scheduler.Preempt(func(id string) bool {
		r := d.running[id]
		return r.cancel != nil && !r.hasSent
	})
	if victim != nil {
		r := d.running[victim.ID]
		r.cancel(ErrPreempted)
		r.cancel = nil
	}
}

// Wait blocks until the request may run, and returns nil, or will not run, and returns the
// refusal. If the context ends first the request is removed.
func (r *Request) Wait(ctx context.Context) *foxtailwharf.Refusal {
	select {
	case refusal := <-r.outcome:
		return refusal
	case <-ctx.Done():
	}
	r.d.mu.Lock()
	defer r.d.mu.Unlock()
	select {
	case refusal := <-r.outcome:
		if refusal != nil {
			return refusal
		}
		r.finish(0)
	default:
		r.d.scheduler.Remove(r.item)
		delete(r.d.waiting, r.item)
		r.d.removeSuspect(r)
		r.d.dispatch()
	}
	return foxtailwharf.NotRun(foxtailwharf.ReasonDeadline, "the caller disconnected or the deadline passed")
}

// Context returns the context under which the request runs. It is cancelled with cause
// ErrPreempted if the request has to wait again.
func (r *Request) Context(ctx context.Context) (context.Context, context.CancelFunc) {
	running, cancel := context.WithCancelCause(ctx)
	r.d.mu.Lock()
	r.cancel = cancel
	r.d.mu.Unlock()
	return running, func() { cancel(nil) }
}

// Version returns the version on which the request runs. It is empty after Suspend.
func (r *Request) Version() string {
	return r.d.Version()
}

// MarkSent records that the request is about to send output, after which it is not preempted. It
// returns false if the request has already been preempted.
func (r *Request) MarkSent(ctx context.Context) bool {
	r.d.mu.Lock()
	defer r.d.mu.Unlock()
	if errors.Is(context.Cause(ctx), ErrPreempted) {
		return false
	}
	r.hasSent = true
	return true
}

// Requeue puts a preempted request back into the queue.
func (r *Request) Requeue() {
	r.d.mu.Lock()
	defer r.d.mu.Unlock()
	delete(r.d.running, r.item.ID)
	r.cancel = nil
	r.d.waiting[r.item] = r
	r.d.scheduler.Requeue(r.item)
	if r.d.isLeaving {
		r.d.scheduler.Remove(r.item)
		r.d.resolve(r.item, leavingRefusal())
	}
	r.d.signalIdle()
	r.d.dispatch()
}

// Done frees the slot of the request. cost is the number of tokens that it used.
func (r *Request) Done(cost float64) {
	r.d.mu.Lock()
	defer r.d.mu.Unlock()
	r.finish(cost)
}

func (r *Request) finish(cost float64) {
	if _, isRunning := r.d.running[r.item.ID]; !isRunning {
		return
	}
	delete(r.d.running, r.item.ID)
	r.d.removeSuspect(r)
	r.d.scheduler.Done(time.Now(), r.item, cost)
	r.d.signalIdle()
	r.d.dispatch()
}
