// Package dispatcher is the gate beside an upstream: it queues requests, starts
// them under the concurrency limit in the scheduler's order, refuses new ones
// when the instance is leaving, and holds them back while the version changes.
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

// maxSuspects is the number of suspects that wait at one gate.
const maxSuspects = 64

// ErrPreempted is the cause by which a running request is cancelled in favour of
// urgent work; it has sent nothing and waits again.
var ErrPreempted = errors.New("preempted by urgent work")

// Dispatcher is the gate of one agent.
type Dispatcher struct {
	mu        sync.Mutex
	scheduler *scheduler.Scheduler
	waiting   map[*scheduler.Item]*Turn
	running   map[string]*Turn
	suspects  []*Turn // the first is queued or runs, the others wait for it
	isLeaving bool
	isHeld    bool
	idle      chan struct{} // closed when nothing runs; nil while nobody waits for that
	version   string
}

// Turn is a request's place at the gate.
type Turn struct {
	d       *Dispatcher
	item    *scheduler.Item
	suspect bool
	outcome chan *foxtailwharf.Refusal // nil to start, a refusal to give up; holds one
	cancel  context.CancelCauseFunc
	hasSent bool
	version string
}

// New returns a gate that is held until a version is set.
func New(c scheduler.Config) *Dispatcher {
	return &Dispatcher{
		scheduler: scheduler.New(c),
		waiting:   make(map[*scheduler.Item]*Turn),
		running:   make(map[string]*Turn),
		isHeld:    true,
	}
}

// Configure changes slots, queue and floors.
func (d *Dispatcher) Configure(c scheduler.Config) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.scheduler.Configure(c)
	d.pump()
}

// Load returns the numbers of waiting and running requests.
func (d *Dispatcher) Load() foxtailwharf.Load {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.scheduler.Load()
}

// Version returns the version that requests run on now.
func (d *Dispatcher) Version() string {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.version
}

// Leave makes the gate refuse all new requests, for good, and all waiting ones.
// Running ones go on.
func (d *Dispatcher) Leave() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.isLeaving = true
	for _, item := range d.scheduler.Drain() {
		d.give(item, leavingRefusal())
	}
	d.signalIdle()
}

func leavingRefusal() *foxtailwharf.Refusal {
	return foxtailwharf.NotRun(foxtailwharf.ReasonLeaving, "the instance is leaving")
}

// Hold stops starting requests and waits until none runs, or the context ends.
// The queue stays.
func (d *Dispatcher) Hold(ctx context.Context) error {
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

// Release starts requests again, on a version.
func (d *Dispatcher) Release(version string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.version = version
	d.isHeld = false
	d.pump()
}

// Pause stops starting requests until Release or Suspend, after the upstream
// seemed to die. The queue stays, in case it did not.
func (d *Dispatcher) Pause() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.isHeld = true
}

// IsHeld reports whether requests are held back.
func (d *Dispatcher) IsHeld() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.isHeld
}

// Suspend stops starting requests and refuses new ones until Release. Waiting
// ones are refused too, so that they can go elsewhere.
func (d *Dispatcher) Suspend() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.isHeld = true
	d.version = ""
	for _, item := range d.scheduler.Drain() {
		d.give(item, foxtailwharf.NotRun(foxtailwharf.ReasonNotReady, "the upstream does not answer"))
	}
}

// Enter queues a request. version is the version that must answer, empty for any.
func (d *Dispatcher) Enter(item *scheduler.Item, version string, isSuspect bool) (*Turn, *foxtailwharf.Refusal) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if refusal := d.refuse(version, isSuspect); refusal != nil {
		return nil, refusal
	}
	t := &Turn{d: d, item: item, suspect: isSuspect, outcome: make(chan *foxtailwharf.Refusal, 1), version: version}
	if isSuspect {
		d.suspects = append(d.suspects, t)
		if len(d.suspects) > 1 {
			// Two suspects on one upstream would both be blamed for its death.
			return t, nil
		}
	}
	if refusal := d.enqueue(t); refusal != nil {
		d.forgetSuspect(t)
		return nil, refusal
	}
	d.pump()
	return t, nil
}

// forgetSuspect ends a suspect's time at the gate and queues the next one.
func (d *Dispatcher) forgetSuspect(t *Turn) {
	wasFirst := len(d.suspects) > 0 && d.suspects[0] == t
	d.suspects = slices.DeleteFunc(d.suspects, func(s *Turn) bool { return s == t })
	for wasFirst && len(d.suspects) > 0 {
		next := d.suspects[0]
		refusal := d.refuse(next.version, false)
		if refusal == nil {
			refusal = d.enqueue(next)
		}
		if refusal == nil {
			return
		}
		d.suspects = d.suspects[1:]
		next.outcome <- refusal
	}
}

// refuse says why a request cannot even queue.
func (d *Dispatcher) refuse(version string, isSuspect bool) *foxtailwharf.Refusal {
	switch {
	case d.isLeaving:
		return leavingRefusal()
	case d.version == "" && d.isHeld:
		return foxtailwharf.NotRun(foxtailwharf.ReasonNotReady, "no version is loaded yet")
	case version != "" && version != d.version:
		return foxtailwharf.NotRun(foxtailwharf.ReasonWrongVersion, "another version is loaded")
	case isSuspect && len(d.suspects) >= maxSuspects:
		return foxtailwharf.NotRun(foxtailwharf.ReasonSuspectBusy, "too many suspects wait")
	default:
		return nil
	}
}

func (d *Dispatcher) enqueue(t *Turn) *foxtailwharf.Refusal {
	d.waiting[t.item] = t
	displaced, refusal := d.scheduler.Enqueue(time.Now(), t.item)
	if refusal != nil {
		delete(d.waiting, t.item)
		return refusal
	}
	if displaced == nil {
		return nil
	}
	if displaced == t.item {
		delete(d.waiting, t.item)
		return foxtailwharf.NotRun(foxtailwharf.ReasonQueueFull, "the queue is full")
	}
	d.give(displaced, foxtailwharf.NotRun(foxtailwharf.ReasonDisplaced, "the queue is full and others have had less"))
	return nil
}

// give ends an item's wait.
func (d *Dispatcher) give(item *scheduler.Item, refusal *foxtailwharf.Refusal) {
	t := d.waiting[item]
	delete(d.waiting, item)
	t.outcome <- refusal
	if refusal != nil && t.suspect {
		d.forgetSuspect(t)
	}
}

// pump starts what may start.
func (d *Dispatcher) pump() {
	for !d.isHeld {
		item, expired := d.scheduler.Next(time.Now())
		for _, e := range expired {
			d.give(e, foxtailwharf.NotRun(foxtailwharf.ReasonDeadline, "the deadline passed in the queue"))
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
	t := d.waiting[item]
	if t.version != "" && t.version != d.version {
		// The version changed while the request waited.
		d.scheduler.Done(time.Now(), item, 0)
		d.give(item, foxtailwharf.NotRun(foxtailwharf.ReasonWrongVersion, "the version changed"))
		return
	}
	d.running[item.ID] = t
	d.give(item, nil)
}

// preempt cancels a running request of the lowest rank for an urgent one.
func (d *Dispatcher) preempt() {
	victim := d.scheduler.Preempt(func(id string) bool {
		t := d.running[id]
		return t.cancel != nil && !t.hasSent
	})
	if victim != nil {
		t := d.running[victim.ID]
		t.cancel(ErrPreempted)
		t.cancel = nil
	}
}

// Wait blocks until the request may run. A refusal says that it will not. If the
// context ends first the place is given up.
func (t *Turn) Wait(ctx context.Context) *foxtailwharf.Refusal {
	select {
	case refusal := <-t.outcome:
		return refusal
	case <-ctx.Done():
	}
	t.d.mu.Lock()
	defer t.d.mu.Unlock()
	select {
	case refusal := <-t.outcome:
		if refusal != nil {
			return refusal
		}
		t.finish(0)
	default:
		t.d.scheduler.Remove(t.item)
		delete(t.d.waiting, t.item)
		t.d.forgetSuspect(t)
		t.d.pump()
	}
	return foxtailwharf.NotRun(foxtailwharf.ReasonDeadline, "the caller went away or the deadline passed")
}

// Context returns the context under which the request runs; it ends with cause
// ErrPreempted if the request has to wait again.
func (t *Turn) Context(ctx context.Context) (context.Context, context.CancelFunc) {
	running, cancel := context.WithCancelCause(ctx)
	t.d.mu.Lock()
	t.cancel = cancel
	t.d.mu.Unlock()
	return running, func() { cancel(nil) }
}

// Version returns the version on which the request runs.
func (t *Turn) Version() string {
	return t.d.Version()
}

// Send notes that the request is about to send output, and reports false if it
// was preempted just before.
func (t *Turn) Send(ctx context.Context) bool {
	t.d.mu.Lock()
	defer t.d.mu.Unlock()
	if errors.Is(context.Cause(ctx), ErrPreempted) {
		return false
	}
	t.hasSent = true
	return true
}

// Requeue lets a preempted request wait again.
func (t *Turn) Requeue() {
	t.d.mu.Lock()
	defer t.d.mu.Unlock()
	delete(t.d.running, t.item.ID)
	t.cancel = nil
	t.d.waiting[t.item] = t
	t.d.scheduler.Requeue(t.item)
	if t.d.isLeaving {
		t.d.scheduler.Remove(t.item)
		t.d.give(t.item, leavingRefusal())
	}
	t.d.signalIdle()
	t.d.pump()
}

// Done frees the slot; cost is the number of tokens that the request took.
func (t *Turn) Done(cost float64) {
	t.d.mu.Lock()
	defer t.d.mu.Unlock()
	t.finish(cost)
}

func (t *Turn) finish(cost float64) {
	if _, isRunning := t.d.running[t.item.ID]; !isRunning {
		return
	}
	delete(t.d.running, t.item.ID)
	t.d.forgetSuspect(t)
	t.d.scheduler.Done(time.Now(), t.item, cost)
	t.d.signalIdle()
	t.d.pump()
}
