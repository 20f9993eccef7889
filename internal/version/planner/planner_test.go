package planner_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/foxtailwharf/foxtailwharf/internal/version/planner"
)

func TestNext(t *testing.T) {
	whole := planner.Facts{Wanted: 2, Held: 1, IsWhole: true, Age: 5 * time.Second, LoadAge: 4 * time.Second}
	change := func(c func(f *planner.Facts)) planner.Facts {
		f := whole
		c(&f)
		return f
	}
	tests := []struct {
		name  string
		facts planner.Facts
		want  planner.Step
	}{
		{"no version wanted", planner.Facts{}, planner.StepNothing},
		{"held", change(func(f *planner.Facts) { f.Held = 2 }), planner.StepNothing},
		{"newer held", change(func(f *planner.Facts) { f.Held = 3 }), planner.StepNothing},
		{"chunks missing", change(func(f *planner.Facts) { f.IsWhole = false }), planner.StepFetch},
		{"loading", change(func(f *planner.Facts) { f.IsExecutingOrder = true }), planner.StepWait},
		{"before its age to load", change(func(f *planner.Facts) { f.Age = time.Second }), planner.StepWait},
		{"an empty engine does not wait", change(func(f *planner.Facts) { f.Age, f.Held = time.Second, 0 }), planner.StepStage},
		{"not staged", whole, planner.StepStage},
		{"staged and idle", change(func(f *planner.Facts) { f.IsStaged = true }), planner.StepLoad},
		{"staged with running calls", change(func(f *planner.Facts) { f.IsStaged, f.Running = true, 9 }), planner.StepDrain},
		{"draining", change(func(f *planner.Facts) { f.IsStaged, f.Running, f.DrainTime = true, 9, time.Second }), planner.StepWait},
		{"drained", change(func(f *planner.Facts) { f.IsStaged, f.DrainTime = true, 300*time.Millisecond }), planner.StepLoad},
		{"a few calls early in the drain", change(func(f *planner.Facts) { f.IsStaged, f.Running, f.DrainTime = true, 2, 200*time.Millisecond }), planner.StepWait},
		{"a few calls after the minimum drain", change(func(f *planner.Facts) { f.IsStaged, f.Running, f.DrainTime = true, 2, time.Second }), planner.StepLoad},
		{"many calls at the drain limit", change(func(f *planner.Facts) { f.IsStaged, f.Running, f.DrainTime = true, 9, 2*time.Second }), planner.StepLoad},
		{"the staging check expires while draining", change(func(f *planner.Facts) { f.Running, f.DrainTime = 9, time.Second }), planner.StepStage},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			if have := planner.Next(tt.facts); have != tt.want {
				t.Errorf("have %s, want %s", have, tt.want)
			}
		})
	}
}

// TestIsToLoad guards against calls that avoid an engine which has loaded, is loading or has nothing to load.
func TestIsToLoad(t *testing.T) {
	tests := []struct {
		name  string
		facts planner.Facts
		want  bool
	}{
		{"no version wanted", planner.Facts{Held: 1}, false},
		{"older version", planner.Facts{Wanted: 2, Held: 1}, true},
		{"chunks on their way", planner.Facts{Wanted: 2, Held: 1, LoadAge: time.Second}, true},
		{"draining", planner.Facts{Wanted: 2, Held: 1, IsWhole: true, DrainTime: time.Second}, true},
		{"ordered", planner.Facts{Wanted: 2, Held: 1, IsWhole: true, IsExecutingOrder: true}, false},
		{"empty", planner.Facts{Wanted: 2}, false},
		{"held", planner.Facts{Wanted: 2, Held: 2}, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			if have := planner.IsToLoad(tt.facts); have != tt.want {
				t.Errorf("have %t, want %t", have, tt.want)
			}
		})
	}
}

// TestLoadAges checks that the ages for a failure domain's engines differ and lie within the bounds.
func TestLoadAges(t *testing.T) {
	const first, last = 2 * time.Second, 6 * time.Second
	var domain []string
	for i := range 9 {
		domain = append(domain, fmt.Sprint("10.0.0.", i))
	}
	seen := make(map[time.Duration]bool)
	for _, self := range domain {
		age := planner.LoadAge(self, domain, "3", first, last)
		if age < first || age >= last {
			t.Errorf("%s: age %s is outside [%s, %s)", self, age, first, last)
		}
		seen[age] = true
	}
	if len(seen) != len(domain) {
		t.Errorf("%d different ages, want %d", len(seen), len(domain))
	}
}

func TestShouldFetchPrevious(t *testing.T) {
	stalled := planner.Progress{Held: 4, Total: 10, Idle: 2 * time.Second}
	progressing := planner.Progress{Held: 4, Total: 10, Idle: 100 * time.Millisecond}
	whole := planner.Progress{Held: 10, Total: 10, Idle: time.Hour}
	started := planner.Progress{Held: 1, Total: 10, Idle: time.Hour}
	tests := []struct {
		name             string
		newest, previous planner.Progress
		isOnPrevious     bool
		want             bool
	}{
		{"no previous", stalled, planner.Progress{}, false, false},
		{"the newest makes progress", progressing, stalled, false, false},
		{"the newest stalls", stalled, progressing, false, true},
		{"the previous has too few chunks", stalled, started, false, false},
		{"the previous makes progress", stalled, progressing, true, true},
		{"the previous stalls too", stalled, stalled, true, false},
		{"the previous is whole", stalled, whole, true, false},
		{"the newest is whole", whole, progressing, true, false},
		{"the previous is nearly whole", planner.Progress{}, planner.Progress{Held: 7, Total: 10}, false, true},
		{"the previous is nearly whole and the newest has started", planner.Progress{Held: 1, Total: 10}, planner.Progress{Held: 7, Total: 10}, false, false},
		{"the previous is nearly whole and stalls", planner.Progress{}, planner.Progress{Held: 7, Total: 10, Idle: 2 * time.Second}, false, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			if have := planner.ShouldFetchPrevious(tt.newest, tt.previous, tt.isOnPrevious); have != tt.want {
				t.Errorf("have %t, want %t", have, tt.want)
			}
		})
	}
}

// TestOriginReaders checks that few agents read from the origin, that the choice does not depend
// on the order of the list, and that it changes with the version.
func TestOriginReaders(t *testing.T) {
	var agents []string
	for i := range 99 {
		agents = append(agents, fmt.Sprint("10.0.0.", i))
	}
	readers := planner.OriginReaders(agents, "2")
	if len(readers) == 0 || len(readers) > 12 {
		t.Errorf("%d agents read from the origin, want 1 to 12", len(readers))
	}
	slices.Reverse(agents)
	if again := planner.OriginReaders(agents, "2"); !slices.Equal(readers, again) {
		t.Errorf("have %v for another order of the list, want %v", again, readers)
	}
	if other := planner.OriginReaders(agents, "3"); slices.Equal(readers, other) {
		t.Error("the same agents read two versions, want different ones")
	}
	if few := planner.OriginReaders(agents[:2], "2"); len(few) != 2 {
		t.Errorf("%d of two agents read from the origin, want both", len(few))
	}
}
