package scheduler_test

import (
	"flag"
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/foxtailwharf/foxtailwharf"
	"github.com/foxtailwharf/foxtailwharf/internal/request/scheduler"
)

func init() {
	// A fixed seed makes runs reproducible; -rapid.seed overrides it.
	_ = flag.Set("rapid.seed", "1")
}

func item(id int, rank foxtailwharf.Rank, member, caller string, cost float64) *scheduler.Item {
	identity := foxtailwharf.Identity{Member: member, Account: "account", Caller: caller}
	return &scheduler.Item{ID: fmt.Sprint(id), Rank: rank, Identity: identity, Cost: cost}
}

// machine drives a scheduler with random actions and compares it with a model of its queue.
type machine struct {
	config  scheduler.Config
	target  *scheduler.Scheduler
	now     time.Time
	next    int
	waiting []*scheduler.Item
	running []*scheduler.Item
}

// end removes a request from the model's waiting requests and fails if it is not there.
func (m *machine) end(t *rapid.T, i *scheduler.Item) {
	at := slices.Index(m.waiting, i)
	if at < 0 {
		t.Fatalf("request %s ended twice or was not waiting", i.ID)
	}
	m.waiting = slices.Delete(m.waiting, at, at+1)
}

// Enqueue adds a request.
func (m *machine) Enqueue(t *rapid.T) {
	m.next++
	i := item(m.next, rapid.SampledFrom(foxtailwharf.Ranks()).Draw(t, "rank"), rapid.SampledFrom([]string{"a", "b"}).Draw(t, "member"), rapid.SampledFrom([]string{"x", "y"}).Draw(t, "caller"), 10)
	i.IsPreemptible = true
	if rapid.Bool().Draw(t, "hasDeadline") {
		i.Deadline = m.now.Add(5 * time.Second)
	}
	displaced, refusal := m.target.Enqueue(m.now, i)
	if refusal != nil {
		return
	}
	m.waiting = append(m.waiting, i)
	if displaced != nil {
		m.end(t, displaced)
	}
}

// Done ends a running request.
func (m *machine) Done(t *rapid.T) {
	if len(m.running) == 0 {
		t.Skip("nothing runs")
	}
	m.target.Done(m.now, m.running[0], 20)
	m.running = m.running[1:]
}

// Remove removes a waiting request.
func (m *machine) Remove(t *rapid.T) {
	if len(m.waiting) == 0 {
		t.Skip("nothing waits")
	}
	i := rapid.SampledFrom(m.waiting).Draw(t, "item")
	if !m.target.Remove(i) {
		t.Fatalf("request %s was waiting and is not known", i.ID)
	}
	m.end(t, i)
}

// Preempt cancels a running request for urgent work.
func (m *machine) Preempt(t *rapid.T) {
	victim := m.target.Preempt(func(string) bool { return true })
	if victim == nil {
		t.Skip("nothing to preempt")
	}
	m.target.Requeue(victim)
	m.running = slices.DeleteFunc(m.running, func(i *scheduler.Item) bool { return i == victim })
	m.waiting = append(m.waiting, victim)
}

// Check starts all requests that may start, and compares the load with the model.
func (m *machine) Check(t *rapid.T) {
	m.now = m.now.Add(time.Second)
	for {
		next, expired := m.target.Next(m.now)
		for _, i := range expired {
			m.end(t, i)
		}
		if next == nil {
			break
		}
		m.end(t, next)
		m.running = append(m.running, next)
	}
	load := m.target.Load()
	if load.Running != len(m.running) || load.Queued != len(m.waiting) || load.Running > m.config.Slots+m.config.BurstSlots {
		t.Fatalf("got %+v with %d waiting and %d running", load, len(m.waiting), len(m.running))
	}
	for _, i := range m.waiting {
		if i.Rank == foxtailwharf.RankUrgent && load.Running < m.config.Slots {
			t.Fatal("an urgent request waits although a slot is free")
		}
		if load.Running < m.config.Slots-m.config.UrgentSlots {
			t.Fatal("a request waits although a slot that is not reserved for urgent work is free")
		}
	}
}

// TestNothingIsLost drives a scheduler with random actions: every request ends exactly once,
// limits hold, and no slot stays idle while a request may start.
func TestNothingIsLost(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		slots := rapid.IntRange(1, 4).Draw(t, "slots")
		m := &machine{now: time.Unix(0, 0), config: scheduler.Config{
			Slots:       slots,
			UrgentSlots: rapid.IntRange(0, slots-1).Draw(t, "urgent"),
			BurstSlots:  rapid.IntRange(0, 2).Draw(t, "burst"),
			Queue:       rapid.IntRange(1, 10).Draw(t, "queue"),
			Floors:      foxtailwharf.Floors{Chat: 0.2, Summary: 0.1},
		}}
		m.target = scheduler.New(m.config)
		t.Repeat(rapid.StateMachineActions(m))
	})
}

// add enqueues requests and fails if one is refused or displaces another.
func add(t *rapid.T, s *scheduler.Scheduler, items ...*scheduler.Item) {
	for _, i := range items {
		if displaced, refusal := s.Enqueue(time.Unix(0, 0), i); displaced != nil || refusal != nil {
			t.Fatalf("request %s was refused or displaced another", i.ID)
		}
	}
}

// serve runs a saturated scheduler one request at a time and returns the served cost by the value
// of key.
func serve(s *scheduler.Scheduler, rounds int, refill func(round int), key func(i *scheduler.Item) string) map[string]float64 {
	now := time.Unix(0, 0)
	served := make(map[string]float64)
	for round := range rounds {
		refill(round)
		next, _ := s.Next(now)
		if next == nil {
			continue
		}
		served[key(next)] += next.Cost
		now = now.Add(time.Millisecond)
		s.Done(now, next, next.Cost)
	}
	return served
}

// TestFloors keeps all ranks saturated: each lower rank gets at least its floor, and the most
// urgent rank gets the rest.
func TestFloors(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		floors := foxtailwharf.Floors{
			Chat:    rapid.Float64Range(0.05, 0.4).Draw(t, "chat"),
			Summary: rapid.Float64Range(0.02, 0.3).Draw(t, "summary"),
		}
		costs := []float64{
			rapid.Float64Range(1, 100).Draw(t, "urgentCost"),
			rapid.Float64Range(1, 100).Draw(t, "chatCost"),
			rapid.Float64Range(1, 100).Draw(t, "summaryCost"),
		}
		s := scheduler.New(scheduler.Config{Slots: 1, Queue: 1000, Floors: floors})
		const rounds, backlog = 4000, 5
		waiting := make(map[foxtailwharf.Rank]int)
		served := serve(s, rounds, func(round int) {
			for n, rank := range foxtailwharf.Ranks() {
				for ; waiting[rank] < backlog; waiting[rank]++ {
					add(t, s, item(round*3+n, rank, "m", "c", costs[n]))
				}
			}
		}, func(i *scheduler.Item) string {
			waiting[i.Rank]--
			return string(i.Rank)
		})
		total := served["Urgent"] + served["Chat"] + served["Summary"]
		slack := 10 * (costs[0] + costs[1] + costs[2]) / total
		if got := served["Chat"] / total; got < floors.Chat-slack {
			t.Errorf("chat got %.3f, floor is %.3f", got, floors.Chat)
		}
		if got := served["Summary"] / total; got < floors.Summary-slack {
			t.Errorf("summaries got %.3f, floor is %.3f", got, floors.Summary)
		}
		if got := served["Urgent"] / total; got < 1-floors.Chat-floors.Summary-slack {
			t.Errorf("urgent work got %.3f, floors leave %.3f", got, 1-floors.Chat-floors.Summary)
		}
	})
}

// TestShares saturates the queue with two members of random weight and number of callers: each
// gets the share of its weight, however many callers it has.
func TestShares(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		weights := map[string]float64{
			"a": rapid.Float64Range(0.5, 4).Draw(t, "weightA"),
			"b": rapid.Float64Range(0.5, 4).Draw(t, "weightB"),
		}
		callers := rapid.IntRange(1, 8).Draw(t, "callers")
		cost := rapid.Float64Range(1, 50).Draw(t, "cost")
		s := scheduler.New(scheduler.Config{Slots: 1, Queue: 10000, Weight: func(identity foxtailwharf.Identity) scheduler.Weights {
			return scheduler.Weights{Member: weights[identity.Member], Account: 1, Caller: 1}
		}})
		for n := range 2000 {
			add(t, s, item(2*n, foxtailwharf.RankChat, "a", fmt.Sprint(n%callers), cost), item(2*n+1, foxtailwharf.RankChat, "b", "one", 1))
		}
		// A difference in cost must not matter either, as long as both have requests left.
		served := serve(s, 800, func(int) {}, func(i *scheduler.Item) string { return i.Identity.Member })
		if served["a"] == 0 || served["b"] == 0 {
			t.Fatalf("a member was not served: %v", served)
		}
		want := weights["a"] / weights["b"]
		slack := 4 * cost / min(served["a"], served["b"])
		if got := served["a"] / served["b"]; got < want*(1-slack)-slack || got > want*(1+slack)+slack {
			t.Errorf("got a ratio of %.3f, want %.3f within %.3f", got, want, slack)
		}
	})
}

// TestDisplaced fills the queue: the newest request of the flow with the longest queue in the
// lowest rank is displaced.
func TestDisplaced(t *testing.T) {
	now := time.Unix(0, 0)
	s := scheduler.New(scheduler.Config{Slots: 1, Queue: 3})
	for n := range 3 {
		if displaced, _ := s.Enqueue(now, item(n, foxtailwharf.RankSummary, "large", "c", 1)); displaced != nil {
			t.Fatal("the queue is not full yet")
		}
	}
	tests := []struct {
		name string
		item *scheduler.Item
		want string
	}{
		{"a small member's summary displaces the large one's newest", item(10, foxtailwharf.RankSummary, "small", "c", 1), "2"},
		{"the large member's next request is displaced itself", item(11, foxtailwharf.RankSummary, "large", "c", 1), "11"},
		{"urgent work displaces a summary", item(12, foxtailwharf.RankUrgent, "large", "c", 1), "1"},
	}
	for _, tt := range tests {
		if displaced, _ := s.Enqueue(now, tt.item); displaced == nil || displaced.ID != tt.want {
			t.Errorf("%s: got %+v, want request %s", tt.name, displaced, tt.want)
		}
	}
}

// BenchmarkSchedule adds a request to a queue of 500 from 100 callers, and starts and completes
// one.
func BenchmarkSchedule(b *testing.B) {
	now := time.Unix(0, 0)
	s := scheduler.New(scheduler.Config{Slots: 1, Queue: 1000})
	for n := 0; b.Loop(); n++ {
		if _, refusal := s.Enqueue(now, item(n, foxtailwharf.RankChat, fmt.Sprint(n%10), fmt.Sprint(n%100), 10)); refusal != nil {
			b.Fatal(refusal)
		}
		if s.Load().Queued < 500 {
			continue
		}
		next, _ := s.Next(now)
		s.Done(now, next, 10)
	}
}
