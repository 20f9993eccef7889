package scheduler

import (
	"time"

	"github.com/foxtailwharf/foxtailwharf"
)

// start accounts for an item that takes a slot.
func (s *Scheduler) start(now time.Time, item *Item) {
	item.started = now
	s.running[item.ID] = item
	s.occupy(item, 1)
	for _, f := range item.path {
		f.serve(item.Cost)
		f.running++
	}
	s.settle(item.Rank, item.Cost)
}

// occupy counts an item in or out of the slots of its kind.
func (s *Scheduler) occupy(item *Item, sign int) {
	isUrgent := item.Rank.Index() == 0
	if item.isBurst {
		s.burst += sign
	}
	switch {
	case isUrgent && item.isBurst:
		s.burstUrgent += sign
	case isUrgent:
		s.urgent += sign
	}
}

// settle gives every waiting lower rank its part of the served cost and takes
// the cost from the rank that was served.
func (s *Scheduler) settle(rank foxtailwharf.Rank, cost float64) {
	for i, q := range s.ranks {
		if q.count > 0 || i == rank.Index() {
			q.credit += q.floor * cost
		}
	}
	served := s.queue(rank)
	served.credit = max(served.credit-cost, -maxCredit*cost)
	bound := maxCredit * s.largest(cost)
	for _, q := range s.ranks {
		q.credit = min(q.credit, bound)
	}
}

// largest returns the largest of a cost and those of the requests that are next:
// one costly request of a high rank earns the lower ranks several cheap ones.
func (s *Scheduler) largest(cost float64) float64 {
	for _, q := range s.ranks {
		if q.count > 0 {
			cost = max(cost, q.root.next().Cost)
		}
	}
	return cost
}

// Done frees the slot of a request and corrects its cost to the tokens that it
// took.
func (s *Scheduler) Done(now time.Time, item *Item, cost float64) {
	if _, isRunning := s.running[item.ID]; !isRunning {
		return
	}
	s.release(item)
	difference := max(cost, minCost) - item.Cost
	for _, f := range item.path {
		f.correct(difference)
	}
	elapsed := float64(now.Sub(item.started))
	if s.service == 0 {
		s.service = time.Duration(elapsed)
		return
	}
	s.service = time.Duration((1-serviceWeight)*float64(s.service) + serviceWeight*elapsed)
}

func (s *Scheduler) release(item *Item) {
	delete(s.running, item.ID)
	s.occupy(item, -1)
	item.isBurst = false
	for _, f := range item.path {
		f.running--
	}
}

// Preempt returns a running request of the lowest rank that may be cancelled
// because urgent work waits and no slot is free for it, or nil. canPreempt says
// whether a request has sent nothing yet.
func (s *Scheduler) Preempt(canPreempt func(id string) bool) (victim *Item) {
	if s.c.Policy == foxtailwharf.QueueFIFO || s.ranks[0].count == 0 || len(s.running)-s.burst < s.c.Slots {
		return nil
	}
	lowest := len(s.ranks) - 1
	for _, item := range s.running {
		if item.Rank.Index() != lowest || !item.IsPreemptible || !canPreempt(item.ID) {
			continue
		}
		if victim == nil || item.sequence > victim.sequence {
			victim = item
		}
	}
	return victim
}

// Requeue frees the slot of a preempted request and lets it wait again, its cost
// given back.
func (s *Scheduler) Requeue(item *Item) {
	s.release(item)
	for _, f := range item.path {
		f.correct(-item.Cost)
	}
	s.queue(item.Rank).credit += item.Cost
	s.insert(item)
}

// Drain removes and returns all waiting requests.
func (s *Scheduler) Drain() (items []*Item) {
	for _, q := range s.ranks {
		q.root.each(func(item *Item) { items = append(items, item) })
	}
	for _, item := range items {
		s.remove(item)
	}
	return items
}
