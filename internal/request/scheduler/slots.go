package scheduler

import (
	"time"

	"github.com/foxtailwharf/foxtailwharf"
)

// start assigns a slot to an item and charges its cost.
func (s *Scheduler) start(now time.Time, item *Item) {
	item.started = now
	s.running[item.ID] = item
	s.countSlot(item, 1)
	for _, f := range item.path {
		f.serve(item.Cost)
		f.running++
	}
	s.updateCredits(item.Rank, item.Cost)
}

// countSlot adds sign, which is 1 or -1, to the counters of the kind of slot that the item holds.
func (s *Scheduler) countSlot(item *Item, sign int) {
	isUrgent := item.Rank.Index() == 0
	if item.isBurst {
		s.burstRunning += sign
	}
	switch {
	case isUrgent && item.isBurst:
		s.burstUrgentRunning += sign
	case isUrgent:
		s.urgentRunning += sign
	}
}

// updateCredits credits every waiting rank, and the one that was served, with its floor's share
// of the served cost. The rank that was served then pays the cost.
func (s *Scheduler) updateCredits(rank foxtailwharf.Rank, cost float64) {
	for i, q := range s.ranks {
		if q.count > 0 || i == rank.Index() {
			q.credit += q.floor * cost
		}
	}
	served := s.queue(rank)
	served.credit = max(served.credit-cost, -maxCredit*cost)
	bound := maxCredit * s.maxNextCost(cost)
	for _, q := range s.ranks {
		q.credit = min(q.credit, bound)
	}
}

// maxNextCost returns the largest of a cost and those of the next request of each rank. The bound
// on credits follows it because one costly request of a high rank earns the lower ranks several
// cheap ones.
func (s *Scheduler) maxNextCost(cost float64) float64 {
	for _, q := range s.ranks {
		if q.count > 0 {
			cost = max(cost, q.root.next().Cost)
		}
	}
	return cost
}

// Done frees the slot of a request and corrects its cost to the number of tokens that it used. It
// ignores requests that do not run.
func (s *Scheduler) Done(now time.Time, item *Item, cost float64) {
	if _, isRunning := s.running[item.ID]; !isRunning {
		return
	}
	s.freeSlot(item)
	difference := max(cost, minCost) - item.Cost
	for _, f := range item.path {
		f.adjust(difference)
	}
	elapsed := float64(now.Sub(item.started))
	if s.serviceTime == 0 {
		s.serviceTime = time.Duration(elapsed)
		return
	}
	s.serviceTime = time.Duration((1-serviceTimeWeight)*float64(s.serviceTime) + serviceTimeWeight*elapsed)
}

func (s *Scheduler) freeSlot(item *Item) {
	delete(s.running, item.ID)
	s.countSlot(item, -1)
	item.isBurst = false
	for _, f := range item.path {
		f.running--
	}
}

// Preempt returns the newest running request of the lowest rank that may be cancelled because
// urgent work waits and no slot is free for it, or nil. canPreempt reports whether a request has
// sent no output yet.
func (s *Scheduler) Preempt(canPreempt func(id string) bool) (victim *Item) {
	if s.config.Policy == foxtailwharf.QueueFIFO || s.ranks[0].count == 0 || len(s.running)-s.burstRunning < s.config.Slots {
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

// Requeue frees the slot of a preempted request, refunds its cost and puts it back into the
// queue.
func (s *Scheduler) Requeue(item *Item) {
	s.freeSlot(item)
	for _, f := range item.path {
		f.adjust(-item.Cost)
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
