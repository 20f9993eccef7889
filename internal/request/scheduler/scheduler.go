// Package scheduler decides which waiting request an upstream runs next: rank by
// rank with a floor for each lower rank, and within a rank by weighted fair
// queueing over member, client account and caller. It does no I/O and holds no
// clock.
package scheduler

import (
	"math"
	"time"

	"github.com/foxtailwharf/foxtailwharf"
)

// Constants of the scheduler.
const (
	// maxCredit bounds, in multiples of a request's cost, what a lower rank saves up towards its floor.
	maxCredit = 4
	// fewRequests is the number of requests, waiting and running, up to which a caller
	// counts as one that does not flood.
	fewRequests = 2
	// lightCredit is how far a member may be ahead of its share, in multiples of a
	// request's cost, while its callers with few requests go first.
	lightCredit = 4
	// serviceWeight is the weight of the newest request in the average service time.
	serviceWeight = 0.1
	// minCost keeps requests without an estimate from being free.
	minCost = 1
)

// Config holds the settings of a Scheduler.
type Config struct {
	Policy      foxtailwharf.QueuePolicy
	Slots       int // requests that run at a time
	UrgentSlots int // of Slots, kept free for urgent work
	// BurstSlots are on top of Slots, for urgent work and for callers that have few
	// requests here: they need not wait for a slot behind those that flood.
	BurstSlots int
	Queue      int // requests that wait at the most
	Floors     foxtailwharf.Floors
	// Weight returns the share of a member, client account or caller among its siblings.
	Weight func(identity foxtailwharf.Identity) Weights
}

// Weights are the shares along the path to a caller.
type Weights struct {
	Member  float64
	Account float64
	Caller  float64
}

// Item is a waiting or running request.
type Item struct {
	ID       string
	Rank     foxtailwharf.Rank
	Identity foxtailwharf.Identity
	Cost     float64 // estimated tokens
	Deadline time.Time
	// IsPreemptible says that the item may be cancelled and queued again while it has sent nothing.
	IsPreemptible bool

	enqueued time.Time
	started  time.Time
	sequence uint64
	path     [3]*flow
	isBurst  bool // runs in a slot on top of the others
}

// Scheduler holds the waiting and running requests of one upstream.
type Scheduler struct {
	c       Config
	ranks   []*rankQueue
	running map[string]*Item
	// urgent counts the running items of the most urgent rank, but for those in burst
	// slots, which burst and burstUrgent count.
	urgent      int
	burst       int
	burstUrgent int
	sequence    uint64
	service     time.Duration // average time in a slot
}

// rankQueue is the fair queue of one rank.
type rankQueue struct {
	root   *flow
	count  int
	floor  float64
	credit float64
}

// New returns an empty scheduler.
func New(c Config) *Scheduler {
	s := &Scheduler{c: c, running: make(map[string]*Item)}
	floors := []float64{0, c.Floors.Chat, c.Floors.Summary}
	for range foxtailwharf.Ranks() {
		s.ranks = append(s.ranks, &rankQueue{root: newFlow(nil, "", 1), floor: floors[len(s.ranks)]})
	}
	return s
}

// Configure changes slots, queue length, floors and weights. Waiting and running
// requests stay.
func (s *Scheduler) Configure(c Config) {
	c.Policy = s.c.Policy
	s.c = c
	s.ranks[1].floor = c.Floors.Chat
	s.ranks[2].floor = c.Floors.Summary
}

// Load returns the numbers of waiting and running requests.
func (s *Scheduler) Load() foxtailwharf.Load {
	return foxtailwharf.Load{
		Queued:  s.queued(),
		Running: len(s.running),
		Slots:   s.c.Slots,
		Urgent:  s.ranks[0].count + s.urgent + s.burstUrgent,
	}
}

func (s *Scheduler) queued() (count int) {
	for _, q := range s.ranks {
		count += q.count
	}
	return count
}

// Enqueue takes in a request. Where the queue is full it returns the request
// that lost its place, which may be the new one itself; where the estimated wait
// passes the deadline it returns a refusal and takes nothing in.
func (s *Scheduler) Enqueue(now time.Time, item *Item) (displaced *Item, refusal *foxtailwharf.Refusal) {
	if wait := s.wait(item); !item.Deadline.IsZero() && now.Add(wait).After(item.Deadline) {
		refusal = foxtailwharf.NotRun(foxtailwharf.ReasonDeadline, "the estimated wait passes the deadline")
		refusal.RetryAfter = wait
		return nil, refusal
	}
	item.Cost = max(item.Cost, minCost)
	item.enqueued = now
	s.insert(item)
	if s.queued() <= s.c.Queue {
		return nil, nil
	}
	displaced = s.victim()
	s.remove(displaced)
	return displaced, nil
}

// insert puts an item at the end of its flow.
func (s *Scheduler) insert(item *Item) {
	s.sequence++
	item.sequence = s.sequence
	q := s.queue(item.Rank)
	if q.count == 0 {
		q.credit = 0
	}
	weights := Weights{Member: 1, Account: 1, Caller: 1}
	if s.c.Weight != nil {
		weights = s.c.Weight(item.Identity)
	}
	member := q.root.child(item.Identity.Member, weights.Member)
	account := member.child(item.Identity.Account, weights.Account)
	caller := account.child(item.Identity.Caller, weights.Caller)
	item.path = [3]*flow{member, account, caller}
	caller.items = append(caller.items, item)
	for f := caller; f != nil; f = f.parent {
		f.add()
	}
	q.count++
}

func (s *Scheduler) queue(rank foxtailwharf.Rank) *rankQueue {
	return s.ranks[min(rank.Index(), len(s.ranks)-1)]
}

// wait estimates how long an item would wait: everything of its own and more
// urgent ranks goes first, and no more than its flow's fair part of its own rank.
func (s *Scheduler) wait(item *Item) time.Duration {
	free := s.c.Slots - len(s.running)
	ahead := 0
	for i, q := range s.ranks {
		if i <= item.Rank.Index() {
			ahead += q.count
		}
	}
	own := s.queue(item.Rank)
	if active := own.root.activeChildren(); active > 1 {
		fair := active * (1 + own.root.queuedBy(item.Identity.Member))
		ahead = min(ahead, ahead-own.count+fair)
	}
	if ahead < free {
		return 0
	}
	return time.Duration(float64(s.service) * float64(ahead-max(free, 0)+1) / float64(s.c.Slots))
}

// victim returns the newest item of the most over-served flow in the lowest rank
// that has any.
func (s *Scheduler) victim() *Item {
	for i := len(s.ranks) - 1; i >= 0; i-- {
		if s.ranks[i].count > 0 {
			return s.ranks[i].root.longest().newest()
		}
	}
	return nil
}

// Remove takes a waiting request out, whose caller went away. It reports whether
// the request was waiting.
func (s *Scheduler) Remove(item *Item) bool {
	if item.path[2] == nil || !item.path[2].contains(item) {
		return false
	}
	s.remove(item)
	return true
}

func (s *Scheduler) remove(item *Item) {
	caller := item.path[2]
	caller.drop(item)
	for f := caller; f != nil; f = f.parent {
		f.queued--
	}
	s.queue(item.Rank).count--
}

// Next returns the request to start now, or nil where none may start. It also
// returns the requests whose deadline has passed while they waited.
func (s *Scheduler) Next(now time.Time) (next *Item, expired []*Item) {
	for {
		item := s.pick()
		if item == nil {
			return nil, expired
		}
		s.remove(item)
		if !item.Deadline.IsZero() && now.After(item.Deadline) {
			expired = append(expired, item)
			continue
		}
		s.start(now, item)
		return item, expired
	}
}

// pick chooses a waiting item without removing it.
func (s *Scheduler) pick() *Item {
	free := s.c.Slots - (len(s.running) - s.burst)
	if s.c.Policy == foxtailwharf.QueueFIFO {
		if free <= 0 {
			return nil
		}
		return s.oldest()
	}
	isOpen := free > s.c.UrgentSlots-min(s.urgent, s.c.UrgentSlots)
	if free <= 0 || (!isOpen && s.ranks[0].count == 0) {
		return s.pickBurst()
	}
	if isOpen {
		if q := s.owed(); q != nil {
			return q.root.next()
		}
	}
	for i, q := range s.ranks {
		if q.count > 0 && (i == 0 || isOpen) {
			return q.next()
		}
	}
	return nil
}

// next returns the item of a rank that starts next: that of a caller with few
// requests here, if its member is not far ahead, and the one that is due otherwise.
func (q *rankQueue) next() *Item {
	due := q.root.next()
	if light := q.root.nextLight(q.root.virtual + lightCredit*due.Cost); light != nil {
		return light
	}
	return due
}

// pickBurst chooses an item for a slot on top of the others.
func (s *Scheduler) pickBurst() (item *Item) {
	if s.burst >= s.c.BurstSlots {
		return nil
	}
	if s.ranks[0].count > 0 {
		item = s.ranks[0].root.next()
	}
	for _, q := range s.ranks {
		if item == nil {
			item = q.root.nextLight(math.Inf(1))
		}
	}
	if item != nil {
		item.isBurst = true
	}
	return item
}

// owed returns the lowest rank whose credit covers the cost of its next item.
func (s *Scheduler) owed() *rankQueue {
	for i := len(s.ranks) - 1; i > 0; i-- {
		q := s.ranks[i]
		if q.count > 0 && q.floor > 0 && q.credit >= q.root.next().Cost {
			return q
		}
	}
	return nil
}

// oldest returns the item that has waited longest, whatever its rank.
func (s *Scheduler) oldest() (oldest *Item) {
	for _, q := range s.ranks {
		q.root.each(func(item *Item) {
			if oldest == nil || item.sequence < oldest.sequence {
				oldest = item
			}
		})
	}
	return oldest
}
