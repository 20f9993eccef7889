// Package queuer orders calls that wait at an entry for room at an upstream. It
// answers bursts in which more is asked than the upstreams can take: what is worth
// most for the upstreams' time goes first, and a call that is on time before one that
// is already late. It does no I/O and holds no clock.
package queuer

import (
	"time"
)

// Constants of the order.
const (
	// routeStep and accountStep are what one step of a route's or account's priority is
	// worth against the next.
	routeStep   = 0.5
	accountStep = 0.9
	// latePart is what is left of a call's worth once it is late.
	latePart = 0.36
)

// Rank is how urgent a call is: by its route, and by its client account. 0 is the most
// urgent.
type Rank struct {
	Route   int
	Account int
}

// Bounds of the urgencies that upstreams know.
const (
	accountRanks = 3
	maxUrgency   = 9
)

// Urgency returns the rank as one number from 0 to 9, 0 for the most urgent.
func (r Rank) Urgency() int {
	return min(max(r.Route*accountRanks+min(r.Account, accountRanks-1), 0), maxUrgency)
}

// Item is a waiting call.
type Item struct {
	ID      uint64
	Service string
	Rank    Rank
	Arrived time.Time // of the call at the entry
	OnTime  time.Time // the latest start with which the call is on time
}

// worth ranks an item at a moment.
func (i *Item) worth(now time.Time) float64 {
	w := 1.0
	for range i.Rank.Route {
		w *= routeStep
	}
	for range i.Rank.Account {
		w *= accountStep
	}
	if now.After(i.OnTime) {
		w *= latePart
	}
	return w
}

// Queuer holds the waiting calls.
type Queuer struct {
	items map[uint64]*Item
}

// New returns an empty queuer.
func New() *Queuer {
	return &Queuer{items: make(map[uint64]*Item)}
}

// Add takes in a call.
func (q *Queuer) Add(i Item) {
	q.items[i.ID] = &i
}

// Remove takes a call out; false if it is no longer there.
func (q *Queuer) Remove(id uint64) bool {
	_, isThere := q.items[id]
	delete(q.items, id)
	return isThere
}

// Len returns the number of waiting calls.
func (q *Queuer) Len() int {
	return len(q.items)
}

// Next returns the call to serve first of those that pass the filter.
func (q *Queuer) Next(now time.Time, filter func(*Item) bool) (best *Item) {
	bestWorth := 0.0
	for _, i := range q.items {
		w := i.worth(now)
		if best != nil && (w < bestWorth || (w == bestWorth && !i.Arrived.Before(best.Arrived))) {
			continue
		}
		if filter(i) {
			best, bestWorth = i, w
		}
	}
	return best
}
