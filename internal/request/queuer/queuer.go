// Package queuer orders the calls that wait at an entry for an upstream with capacity. While the
// demand is greater than the capacity, calls of the highest priority that can still meet their
// goal are served first; a late call loses part of its priority. So that it does not wait behind
// newer calls for as long as these come, some turns of each service and rank go to the call that
// has waited longest once that is overdue. The package does no I/O and reads no clock.
package queuer

import (
	"math"
	"time"
)

const (
	// routeFactor and accountFactor multiply the score for each step of a route's or an account's
	// priority below the highest.
	routeFactor   = 0.5
	accountFactor = 0.9
	// lateFactor multiplies the score of a call that can no longer meet its goal. It is above the
	// factor of two route steps, so that a late call still precedes one two steps below it.
	lateFactor = 0.36
	// maxOvertaken is how many turns in a row an overdue call may lose to newer ones of its service
	// and rank.
	maxOvertaken = 2
)

// Rank is how urgent a call is, by the priorities of its route and its client account. 0 is the
// most urgent.
type Rank struct {
	Route   int
	Account int
}

// Upstreams accept urgencies from 0 to maxUrgency. Each route priority has accountLevels of them.
const (
	accountLevels = 3
	maxUrgency    = 9
)

// Urgency returns the rank as one number from 0 to 9, 0 for the most urgent.
func (r Rank) Urgency() int {
	return min(max(r.Route*accountLevels+min(r.Account, accountLevels-1), 0), maxUrgency)
}

// Item is a waiting call.
type Item struct {
	ID      uint64
	Service string
	Rank    Rank
	Arrived time.Time // at the entry
	StartBy time.Time // latest start at which the call still meets its goal
	// OverdueAt is when its wait has become so long that it gets turns before newer calls of the same
	// service and rank; zero for never.
	OverdueAt time.Time
	weight    float64 // of the rank
}

// score orders the items: the highest is served first.
func (i *Item) score(now time.Time) float64 {
	if now.After(i.StartBy) {
		return i.weight * lateFactor
	}
	return i.weight
}

// isOverdue reports whether the call has waited too long to be overtaken again and again.
func (i *Item) isOverdue(now time.Time) bool {
	return !i.OverdueAt.IsZero() && !now.Before(i.OverdueAt)
}

// weight returns how much a call of the rank counts.
func (r Rank) weight() float64 {
	return math.Pow(routeFactor, float64(r.Route)) * math.Pow(accountFactor, float64(r.Account))
}

// class is a service and a rank. Its calls differ in their age alone.
type class struct {
	service string
	rank    Rank
}

// class returns the class of a call.
func (i *Item) class() class {
	return class{i.Service, i.Rank}
}

// Queuer is a priority queue of calls. It is not safe for concurrent use.
type Queuer struct {
	items     map[uint64]*Item
	overtaken map[class]int // turns in a row that the call that has waited longest has lost
}

// New returns an empty queue.
func New() *Queuer {
	return &Queuer{items: make(map[uint64]*Item), overtaken: make(map[class]int)}
}

// Add adds a call. An item with the same ID is replaced.
func (q *Queuer) Add(i Item) {
	i.weight = i.Rank.weight()
	q.items[i.ID] = &i
}

// Remove removes a call and reports whether it was in the queue.
func (q *Queuer) Remove(id uint64) bool {
	_, existed := q.items[id]
	delete(q.items, id)
	if len(q.items) == 0 {
		clear(q.overtaken)
	}
	return existed
}

// Take removes a call that is served.
func (q *Queuer) Take(id uint64) {
	i := q.items[id]
	if i == nil {
		return
	}
	if q.longest(i, func(*Item) bool { return true }) == i {
		delete(q.overtaken, i.class())
	} else {
		q.overtaken[i.class()]++
	}
	q.Remove(id)
}

// Len returns the number of waiting calls.
func (q *Queuer) Len() int {
	return len(q.items)
}

// Next returns the call with the highest score that passes the filter, the earliest of those with
// the same score; nil for none. If it is the turn of a call of the same service and rank that is
// overdue, it returns that one instead. The call stays in the queue.
func (q *Queuer) Next(now time.Time, filter func(*Item) bool) *Item {
	best := q.best(now, filter)
	if best == nil || q.overtaken[best.class()] < maxOvertaken {
		return best
	}
	longest := q.longest(best, filter)
	if !longest.isOverdue(now) {
		return best
	}
	return longest
}

// best returns the call with the highest score that passes the filter, the earliest of those with
// the same score; nil for none.
func (q *Queuer) best(now time.Time, filter func(*Item) bool) (best *Item) {
	bestScore := 0.0
	for _, i := range q.items {
		w := i.score(now)
		if best != nil && (w < bestScore || (w == bestScore && !i.Arrived.Before(best.Arrived))) {
			continue
		}
		if filter(i) {
			best, bestScore = i, w
		}
	}
	return best
}

// longest returns the earliest of a call and the calls of its class that pass the filter.
func (q *Queuer) longest(of *Item, filter func(*Item) bool) *Item {
	earliest := of
	for _, i := range q.items {
		if i.Arrived.Before(earliest.Arrived) && i.class() == of.class() && filter(i) {
			earliest = i
		}
	}
	return earliest
}
