package fleet_test

import (
	"fmt"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/foxtailwharf/foxtailwharf"
	"github.com/foxtailwharf/foxtailwharf/standin"
)

// copiesTest is a number of copies of a request that are sent within a time.
type copiesTest struct {
	copies  int
	within  time.Duration
	entries []int // that get the copies in turn; entry n is in the failure domain n % 3
}

const (
	crashingRequest = `{"model":"assistant","user":"crasher","messages":[{"role":"user","content":"` + standin.MarkCrash + `"}]}`
	// crashTime is how long a copy runs, and shareTime how long it takes until all entries know of a crash.
	crashTime = 25 * time.Millisecond
	shareTime = 10 * time.Millisecond
)

// TestCopiesOfCrashingRequest sends copies of a request that crashes engines at the same instant or shortly after
// another, through entries of one or of all failure domains. They may crash the engines that run one when
// the first crash becomes known, and one more if that is a single one. All entries enforce the ban afterwards.
func TestCopiesOfCrashingRequest(t *testing.T) {
	t.Parallel()
	all := []int{0, 1, 2, 3, 4, 5}
	tests := []copiesTest{
		{1, 0, []int{0}},
		{10, 0, []int{0}},
		{10, 0, []int{0, 3}},
		{2, 0, []int{0, 1}},
		{3, 0, []int{0, 1, 2}},
		{10, 0, all},
		{10, 10 * time.Millisecond, all},
		{10, 100 * time.Millisecond, all},
		{10, time.Second, all},
	}
	for _, tt := range tests {
		t.Run(fmt.Sprintf("%d copies within %s through %v", tt.copies, tt.within, tt.entries), func(t *testing.T) { synctest.Test(t, tt.run) })
	}
}

func (tt copiesTest) run(t *testing.T) {
	b := newBench(t, benchConfig{assistants: 8, engine: standin.EngineConfig{
		TimeToFirstToken: 2 * crashTime, TokenInterval: 20 * time.Millisecond, RestartDelay: time.Second,
	}})
	started := time.Now()
	var callers sync.WaitGroup
	for n := range tt.copies {
		callers.Go(func() {
			time.Sleep(tt.within * time.Duration(n) / time.Duration(tt.copies))
			if a := b.via(tt.entries[n%len(tt.entries)]).chat(crashingRequest); a.status < 400 {
				t.Errorf("copy %d: status %d", n, a.status)
			}
		})
	}
	callers.Wait()
	time.Sleep(3 * time.Second)
	for n := range b.f.Entries {
		if reason, _ := problemOf(b.via(n).chat(crashingRequest)); reason != string(foxtailwharf.ReasonQuarantined) {
			t.Errorf("entry %d does not enforce the ban: %s", n, reason)
		}
	}
	have, want := b.crashes(), max(b.runningBefore("crasher", started.Add(crashTime+shareTime)), 2)
	if have > want {
		t.Errorf("the copies crashed engines %d times, want %d times at the most", have, want)
	}
	b.stop()
}

// crashes returns how often engines have crashed.
func (b *bench) crashes() (count int) {
	for _, a := range b.f.AgentsOf("assistant") {
		count += engineOf(b.t, a).Crashes()
	}
	return count
}

// runningBefore returns how many engines began to run the request with an ID before a time.
func (b *bench) runningBefore(id string, at time.Time) (count int) {
	for _, a := range b.f.AgentsOf("assistant") {
		isRun := func(r standin.Run) bool { return r.ID == id && r.At.Before(at) }
		if slices.ContainsFunc(engineOf(b.t, a).Runs(), isRun) {
			count++
		}
	}
	return count
}

// crashersTest is a number of requests that crash engines, each sent again and again.
type crashersTest struct {
	requests int
	every    time.Duration
}

// TestCrashingRequestsAmongCrashes guards against crashes of one request that free another one, or itself: several
// are sent again and again, through all entries in turn, beside streams of others.
func TestCrashingRequestsAmongCrashes(t *testing.T) {
	t.Parallel()
	for _, tt := range []crashersTest{
		{1, 100 * time.Millisecond}, {2, 100 * time.Millisecond}, {3, 100 * time.Millisecond}, {3, 400 * time.Millisecond}, {5, 300 * time.Millisecond},
	} {
		t.Run(fmt.Sprintf("%d requests, each every %s", tt.requests, tt.every), func(t *testing.T) { synctest.Test(t, tt.run) })
	}
}

func (tt crashersTest) run(t *testing.T) {
	const length = 8 * time.Second
	b := newBench(t, benchConfig{assistants: 8, engine: standin.EngineConfig{
		TimeToFirstToken: 2 * crashTime, TokenInterval: 20 * time.Millisecond, RestartDelay: time.Second,
	}})
	l := b.startLoad()
	end := time.Now().Add(length)
	var callers sync.WaitGroup
	for n := range tt.requests {
		callers.Go(func() {
			for k := n; time.Now().Before(end); k++ {
				callers.Go(func() { b.via(k % len(b.f.Entries)).chat(crasher(n)) })
				time.Sleep(tt.every)
			}
		})
	}
	callers.Wait()
	l.end()
	for n := range tt.requests {
		b.checkRuns(fmt.Sprintf("crasher-%d", n))
	}
	b.stop()
}

// checkRuns fails the test if a request that crashes engines goes on to run.
func (b *bench) checkRuns(id string) {
	const (
		knownAfter = 3 * time.Second // the second crash
		maxLate    = 3
	)
	runs := b.runsOf(id)
	if len(runs) < 2 {
		b.t.Errorf("%s has run %d times, want 2 at least", id, len(runs))
		return
	}
	late := len(slices.DeleteFunc(slices.Clone(runs), func(at time.Time) bool { return !at.After(runs[1].Add(knownAfter)) }))
	b.t.Logf("%s has run %d times, %d of them later than %s after the second", id, len(runs), late, knownAfter)
	if late > maxLate {
		b.t.Errorf("%s has run %d times later than %s after the second, want %d at the most", id, late, knownAfter, maxLate)
	}
}

// crasher returns a request that crashes engines, one for each number.
func crasher(number int) string {
	return fmt.Sprintf(`{"model":"assistant","user":"crasher-%d","messages":[{"role":"user","content":"%s"}]}`, number, standin.MarkCrash)
}

// runsOf returns when engines began to run the request with an ID, in order.
func (b *bench) runsOf(id string) (times []time.Time) {
	for _, a := range b.f.AgentsOf("assistant") {
		for _, r := range engineOf(b.t, a).Runs() {
			if r.ID == id {
				times = append(times, r.At)
			}
		}
	}
	slices.SortFunc(times, time.Time.Compare)
	return times
}
