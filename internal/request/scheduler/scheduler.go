// Package scheduler decides which waiting request an upstream runs next. Ranks are served by
// priority, with a minimum share (floor) for each lower rank; within a rank, requests are served
// by weighted fair queueing over member, client account and caller. The package does no I/O and
// takes the time as an argument.
package scheduler

import (
	"math"
	"time"

	"github.com/foxtailwharf/foxtailwharf"
)

const (
	// maxCredit bounds the credit that a lower rank accumulates towards its floor, and its debt,
	// in multiples of a request's cost.
	maxCredit = 4
	// maxSparseRequests is the number of requests, waiting and running together, up to which a
	// caller counts as sparse, that is, as one that does not flood the upstream.
	maxSparseRequests = 2
	// maxSparseLead is how far a member may be ahead of its share, in multiples of a request's
	// cost, while its sparse callers are served first.
	maxSparseLead = 4
	// serviceTimeWeight is the weight of the newest request in the moving average of the service
	// time.
	serviceTimeWeight = 0.1
	// minCost is the lowest cost of a request, so that one without an estimate is not free.
	minCost = 1
)

// Config holds the settings of a Scheduler.
type Config struct {
	Policy      foxtailwharf.QueuePolicy
	Slots       int // maximum number of requests that run concurrently, without BurstSlots
	UrgentSlots int // part of Slots that is reserved for urgent requests
	// BurstSlots are additional to Slots, for urgent requests and for sparse callers: these need
	// not wait for a slot behind callers that flood the upstream.
	BurstSlots int
	Queue      int // maximum number of waiting requests
	Floors     foxtailwharf.Floors
	// Weight returns the weights of a member, client account and caller among their siblings. If
	// it is nil, all weights are 1.
	Weight func(identity foxtailwharf.Identity) Weights
}

// Weights are the weights along the path from the root of the share tree to a caller.
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
	// IsPreemptible allows the item to be cancelled and queued again while it has sent no output.
	IsPreemptible bool

	enqueued time.Time
	started  time.Time
	sequence uint64
	path     [3]*flow
	isBurst  bool // runs in a burst slot
}

// Scheduler holds the waiting and running requests of one upstream. It is not safe for concurrent
// use.
type Scheduler struct {
	config  Config
	ranks   []*rankQueue
	running map[string]*Item
	// urgentRunning counts the running items of the most urgent rank that are not in burst slots;
	// burstRunning and burstUrgentRunning count those that are.
	urgentRunning      int
	burstRunning       int
	burstUrgentRunning int
	sequence           uint64
	serviceTime        time.Duration // moving average of the time that a request holds a slot
}

// rankQueue is the fair queue of one rank.
type rankQueue struct {
	root   *flow
	count  int
	floor  float64
	credit float64
}

// New returns an empty scheduler.
func New(config Config) *Scheduler {
	s := &Scheduler{config: config, running: make(map[string]*Item)}
	floors := []float64{0, config.Floors.Chat, config.Floors.Summary}
	for range foxtailwharf.Ranks() {
		s.ranks = append(s.ranks, &rankQueue{root: newFlow(nil, "", 1), floor: floors[len(s.ranks)]})
	}
	return s
}

// Configure changes slots, queue length, floors and weights, but not the policy. Waiting and
// running requests stay.
func (s *Scheduler) Configure(config Config) {
	config.Policy = s.config.Policy
	s.config = config
	s.ranks[1].floor = config.Floors.Chat
	s.ranks[2].floor = config.Floors.Summary
}

// Load returns the numbers of waiting and running requests. Its Urgent counts both kinds of the
// most urgent rank.
func (s *Scheduler) Load() foxtailwharf.Load {
	return foxtailwharf.Load{
		Queued:  s.queued(),
		Running: len(s.running),
		Slots:   s.config.Slots,
		Urgent:  s.ranks[0].count + s.urgentRunning + s.burstUrgentRunning,
	}
}

func (s *Scheduler) queued() (count int) {
	for _, q := range s.ranks {
		count += q.count
	}
	return count
}

// Enqueue adds a request. If the queue is full it removes and returns the request that is
// displaced, which may be the new one. If the estimated wait exceeds the deadline it returns a
// refusal and adds nothing.
func (s *Scheduler) Enqueue(now time.Time, item *Item) (displaced *Item, refusal *foxtailwharf.Refusal) {
	if estimatedWait := s.estimatedWait(item); !item.Deadline.IsZero() && now.Add(estimatedWait).After(item.Deadline) {
		refusal = foxtailwharf.NotRun(foxtailwharf.ReasonDeadline, "the estimated wait exceeds the deadline")
		refusal.RetryAfter = estimatedWait
		return nil, refusal
	}
	item.Cost = max(item.Cost, minCost)
	item.enqueued = now
	s.insert(item)
	if s.queued() <= s.config.Queue {
		return nil, nil
	}
	displaced = s.victim()
	s.remove(displaced)
	return displaced, nil
}

// insert appends an item to the queue of its caller.
func (s *Scheduler) insert(item *Item) {
	s.sequence++
	item.sequence = s.sequence
	q := s.queue(item.Rank)
	if q.count == 0 {
		q.credit = 0
	}
	weights := Weights{Member: 1, Account: 1, Caller: 1}
	if s.config.Weight != nil {
		weights = s.config.Weight(item.Identity)
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

// estimatedWait estimates how long an item would wait. All requests of more urgent ranks go
// first, and of its own rank at most as many as fair queueing among members puts ahead of it.
func (s *Scheduler) estimatedWait(item *Item) time.Duration {
	free := s.config.Slots - len(s.running)
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
	return time.Duration(float64(s.serviceTime) * float64(ahead-max(free, 0)+1) / float64(s.config.Slots))
}

// victim returns the newest item of the flow with the longest queue for its weight, in the lowest
// rank that has waiting items.
func (s *Scheduler) victim() *Item {
	for i := len(s.ranks) - 1; i >= 0; i-- {
		if s.ranks[i].count > 0 {
			return s.ranks[i].root.longest().newest()
		}
	}
	return nil
}

// Remove removes a waiting request, for instance because its caller disconnected. It reports
// whether the request was waiting.
func (s *Scheduler) Remove(item *Item) bool {
	if item.path[2] == nil || !item.path[2].contains(item) {
		return false
	}
	s.remove(item)
	return true
}

func (s *Scheduler) remove(item *Item) {
	caller := item.path[2]
	caller.removeItem(item)
	for f := caller; f != nil; f = f.parent {
		f.queued--
	}
	s.queue(item.Rank).count--
}

// Next starts and returns the request that is due, or nil if none may start. It also removes and
// returns the requests found to be past their deadline.
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
	free := s.config.Slots - (len(s.running) - s.burstRunning)
	if s.config.Policy == foxtailwharf.QueueFIFO {
		if free <= 0 {
			return nil
		}
		return s.oldest()
	}
	hasUnreservedSlot := free > s.config.UrgentSlots-min(s.urgentRunning, s.config.UrgentSlots)
	if free <= 0 || (!hasUnreservedSlot && s.ranks[0].count == 0) {
		return s.pickBurst()
	}
	if hasUnreservedSlot {
		if q := s.rankWithCredit(); q != nil {
			return q.root.next()
		}
	}
	for i, q := range s.ranks {
		if q.count > 0 && (i == 0 || hasUnreservedSlot) {
			return q.next()
		}
	}
	return nil
}

// next returns the item of the rank that starts next: one of a sparse caller if its member is not
// far ahead of its share, and the one that is due otherwise.
func (q *rankQueue) next() *Item {
	due := q.root.next()
	if sparse := q.root.nextSparse(q.root.virtual + maxSparseLead*due.Cost); sparse != nil {
		return sparse
	}
	return due
}

// pickBurst chooses an item for a burst slot: an urgent one, or else one of a sparse caller.
func (s *Scheduler) pickBurst() (item *Item) {
	if s.burstRunning >= s.config.BurstSlots {
		return nil
	}
	if s.ranks[0].count > 0 {
		item = s.ranks[0].root.next()
	}
	for _, q := range s.ranks {
		if item == nil {
			item = q.root.nextSparse(math.Inf(1))
		}
	}
	if item != nil {
		item.isBurst = true
	}
	return item
}

// rankWithCredit returns the lowest rank whose credit covers the cost of its next item, or nil.
func (s *Scheduler) rankWithCredit() *rankQueue {
	for i := len(s.ranks) - 1; i > 0; i-- {
		q := s.ranks[i]
		if q.count > 0 && q.floor > 0 && q.credit >= q.root.next().Cost {
			return q
		}
	}
	return nil
}

// oldest returns the item that was queued first, regardless of its rank.
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
