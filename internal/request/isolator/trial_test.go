package isolator_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/foxtailwharf/foxtailwharf/internal/request/isolator"
)

// trialOutcome is what becomes of a trial.
type trialOutcome int

const (
	trialUnsent trialOutcome = iota
	trialOpen                // it shows nothing
	trialCrashes
)

// trialCase is a ban of one suspect under which calls come all the time.
type trialCase struct {
	name    string
	suspect string
	role    isolator.Role
	pause   time.Duration // between two of the five crashes
	outcome trialOutcome
	want    []int // seconds from the last crash to each trial in 15 minutes
}

// TestEarlyTrials guards against a ban that cannot be proved wrong although its crashes had one other cause, and against
// more trials of it than engines may be lost.
func TestEarlyTrials(t *testing.T) {
	request, every := isolator.Request("hot"), make([]int, 0, 90)
	for s := 10; s < 900; s += 10 {
		every = append(every, s)
	}
	const tries, atOnce = isolator.RoleTries, 10 * time.Millisecond
	tests := []trialCase{
		{"a request, crashes at once", request, tries, atOnce, trialOpen, []int{10, 20}},
		{"a request, crashes soon after each other", request, tries, 250 * time.Millisecond, trialOpen, []int{10, 20}},
		{"a request, crashes apart", request, tries, 300 * time.Millisecond, trialOpen, nil},
		{"a request that crashes engines", request, tries, atOnce, trialCrashes, []int{10}},
		{"a request that is never sent", request, tries, atOnce, trialUnsent, every},
		{"an entry that decides", request, isolator.RoleDecides, atOnce, trialOpen, nil},
		{"an entry that does not decide", request, isolator.RoleNone, atOnce, trialOpen, nil},
		{"a part, crashes at once", "part", tries, atOnce, trialOpen, []int{10, 20, 600}},
		{"a part, crashes apart", "part", tries, 300 * time.Millisecond, trialOpen, []int{600}},
		{"a part that crashes engines", "part", tries, atOnce, trialCrashes, []int{10, 611}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			if have := tt.trials(); !slices.Equal(have, tt.want) {
				t.Errorf("trials %v s after the last crash, want %v", have, tt.want)
			}
		})
	}
}

// trials returns when calls run as trials, in seconds from the last of the crashes.
func (tt trialCase) trials() (times []int) {
	i := isolator.New(isolator.Config{})
	last := at(1)
	for n := range 5 {
		last = at(1).Add(time.Duration(n) * tt.pause)
		recordEnd(i, last, fmt.Sprint(n), tt.suspect)
	}
	i.Decide(last.Add(weighTime))
	i.SetRole(tt.role)
	parts := []string{tt.suspect, "own"}
	for s := 2; s < 900; s++ {
		now := last.Add(time.Duration(s) * time.Second)
		if remaining, isTrial := i.Meet(now, parts); !isTrial {
			if remaining == 0 {
				return append(times, -s)
			}
			continue
		}
		times = append(times, s)
		if tt.outcome != trialUnsent {
			i.RecordTrial(now, parts)
		}
		if tt.outcome == trialCrashes {
			recordEnd(i, now.Add(100*time.Millisecond), fmt.Sprint("trial ", s), tt.suspect)
			i.RecordTrialCrash(now, parts)
		}
	}
	return times
}

// recordEnd records that an engine ended with a call in flight that had not begun to be answered.
func recordEnd(i *isolator.Isolator, now time.Time, upstream, suspect string) {
	if isolator.IsRequest(suspect) {
		i.RecordBreak(now, now, upstream, []string{suspect}, false)
		return
	}
	i.RecordCrash(now, now, upstream, []string{suspect})
}

// toldCase is a trial at one entry, which then ends, so that another one may try.
type toldCase struct {
	name    string
	outcome trialOutcome
	isWhole bool // the trial gets a whole answer
	want    int  // trials at the other entry
}

// TestEarlyTrialsAreTold guards against an entry that repeats the trials of one that has ended, and against a request that
// stays banned at the others once a trial has got a whole answer.
func TestEarlyTrialsAreTold(t *testing.T) {
	tests := []toldCase{
		{"a trial that shows nothing", trialOpen, false, 1},
		{"a trial that crashes an engine", trialCrashes, false, 0},
		{"a whole answer", trialOpen, true, 0},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			other := newEntry(isolator.Config{})
			tt.tryFirst(t, other)
			other.SetRole(isolator.RoleTries)
			if have := tt.tryOther(t, other); have != tt.want {
				t.Errorf("%d trials at the other entry, want %d", have, tt.want)
			}
		})
	}
}

// tryFirst runs the trial at 12 s at an entry that tells another one.
func (tt toldCase) tryFirst(t *testing.T, other entry) {
	e, request := newEntry(isolator.Config{}), []string{isolator.Request("hot")}
	tell := func(now time.Time) { other.Merge(now, e.TakeUnsent(now)) }
	e.SetRole(isolator.RoleTries)
	for n := range 3 {
		e.crash(at(1), fmt.Sprint(n), "hot")
	}
	e.Decide(at(2))
	tell(at(2))
	if _, isTrial := e.Meet(at(12), request); !isTrial {
		t.Fatal("the request is not tried")
	}
	e.RecordTrial(at(12), request)
	tell(at(12))
	switch {
	case tt.isWhole:
		e.complete(at(12.1), "hot")
	case tt.outcome == trialCrashes:
		e.crash(at(12.1), "3", "hot")
		e.RecordTrialCrash(at(12.1), request)
	}
	tell(at(12.2))
}

// tryOther lets the request come at the other entry for a quarter of an hour and returns how often it runs.
func (tt toldCase) tryOther(t *testing.T, other entry) (trials int) {
	request := []string{isolator.Request("hot")}
	for s := 12.3; s < 900; s++ {
		remaining, isTrial := other.Meet(at(s), request)
		if tt.isWhole != (remaining == 0) {
			t.Fatalf("after %v s the ban remains for %s", s, remaining)
		}
		if !isTrial {
			continue
		}
		trials++
		other.RecordTrial(at(s), request)
		if s < 22 {
			t.Errorf("the other entry tries the request at %v s, want 10 s after the first trial", s)
		}
	}
	return trials
}
