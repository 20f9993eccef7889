// Package queuer orders the calls that wait at an entry for an upstream with capacity. While the
// demand is greater than the capacity, calls of the highest priority that can still meet their
// goal are served first; a late call loses part of its priority. The package does no I/O and
// reads no clock.
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
	weight  float64   // of the rank
}

// score orders the items: the highest is served first.
func (i *Item) score(now time.Time) float64 {
	if now.After(i.StartBy) {
		return i.weight * lateFactor
	}
	return i.weight
}

// weight returns how much a call of the rank counts.
func (r Rank) weight() float64 {
	return math.Pow(routeFactor, float64(r.Route)) * math.Pow(accountFactor, float64(r.Account))
}

// Queuer is a priority queue of calls. It is not safe for concurrent use.
type Queuer struct {
	items map[uint64]*Item
}

// New returns an empty queue.
func New() *Queuer {
	return &Queuer{items: make(map[uint64]*Item)}
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
	return existed
}

// Len returns the number of waiting calls.
func (q *Queuer) Len() int {
	return len(q.items)
}

// Next returns the call with the highest score that passes the filter, the earliest of those with
// the same score; nil for none. The call stays in the queue.
func (q *Queuer) Next(now time.Time, filter func(*Item) bool) (best *Item) {
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
