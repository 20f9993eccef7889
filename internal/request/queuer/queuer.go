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
	// priorityStep is what one step of priority is worth against the next.
	priorityStep = 0.5
	// latePart is what is left of a call's worth once it is late.
	latePart = 0.36
)

// Item is a waiting call.
type Item struct {
	ID       uint64
	Service  string
	Priority int       // 0 is the most urgent
	Arrived  time.Time // of the call at the entry
	OnTime   time.Time // the latest start with which the call is on time
}

// worth ranks an item at a moment.
func (i *Item) worth(now time.Time) float64 {
	w := 1.0
	for range i.Priority {
		w *= priorityStep
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

// Ahead returns how many waiting calls of the service go before an item.
func (q *Queuer) Ahead(now time.Time, item Item) (count int) {
	own := item.worth(now)
	for _, i := range q.items {
		if i.Service == item.Service && i.worth(now) >= own {
			count++
		}
	}
	return count
}
