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
