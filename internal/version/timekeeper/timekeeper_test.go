package timekeeper_test

import (
	"flag"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/foxtailwharf/foxtailwharf/internal/version/timekeeper"
)

func init() {
	// A fixed seed makes runs reproducible; -rapid.seed overrides it.
	_ = flag.Set("rapid.seed", "1")
}

const (
	model      = "m"
	switchTime = 8 * time.Second
	// margin is how long before switchTime a process stops using older weights.
	margin = 800 * time.Millisecond
	// guessDelay is what a process adds to a time that it does not know, instead of switchTime.
	guessDelay = 2500 * time.Millisecond
)

func newTimekeeper() *timekeeper.Timekeeper {
	return timekeeper.New(timekeeper.Config{Switch: switchTime})
}

func TestMerge(t *testing.T) {
	second := func(version int64, at int, isGuess bool) timekeeper.Named {
		return timekeeper.Named{Version: version, At: time.Duration(at) * time.Second, IsGuess: isGuess}
	}
	tests := []struct {
		name      string
		own, list []timekeeper.Named
		want      []timekeeper.Named
		changed   int
	}{
		{"a release between two others", []timekeeper.Named{second(1, 0, true), second(3, 9, false)}, []timekeeper.Named{second(2, 6, false), second(3, 9, false)}, []timekeeper.Named{second(1, 0, true), second(2, 6, false), second(3, 9, false)}, 1},
		{"a time that was unknown", []timekeeper.Named{second(3, 9, true)}, []timekeeper.Named{second(3, 6, false)}, []timekeeper.Named{second(3, 6, false)}, 1},
		{"an earlier time", []timekeeper.Named{second(3, 9, false)}, []timekeeper.Named{second(3, 8, false)}, []timekeeper.Named{second(3, 8, false)}, 1},
		{"a later time", []timekeeper.Named{second(3, 9, false)}, []timekeeper.Named{second(3, 10, false)}, []timekeeper.Named{second(3, 9, false)}, 0},
		{"an unknown time of a known one", []timekeeper.Named{second(3, 9, false)}, []timekeeper.Named{second(3, 12, true)}, []timekeeper.Named{second(3, 9, false)}, 0},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			k := newTimekeeper()
			k.Merge(model, tt.own)
			changed := k.Merge(model, tt.list)
			if have := k.Named(model); !slices.Equal(have, tt.want) || len(changed) != tt.changed {
				t.Errorf("have %v and %d changes, want %v and %d", have, len(changed), tt.want, tt.changed)
			}
		})
	}
}

func TestPending(t *testing.T) {
	k := newTimekeeper()
	for version, at := range []time.Duration{0, 0, time.Second, 6 * time.Second, 9 * time.Second} {
		k.Add(model, timekeeper.Named{Version: int64(version), At: at})
	}
	var have []int64
	for _, n := range k.Pending(10*time.Second, model) {
		have = append(have, n.Version)
	}
	// Version 2 has replaced the older ones, and 3 and 4 are not due.
	if want := []int64{2, 3, 4}; !slices.Equal(have, want) {
		t.Errorf("have versions %v, want %v", have, want)
	}
}

// TestManyPending has more releases named within the time of one switch than a message holds. What the
// oldest ones replace must still be due in time.
func TestManyPending(t *testing.T) {
	k := newTimekeeper()
	for version := range int64(100) {
		k.Add(model, timekeeper.Named{Version: version + 1, At: time.Duration(version) * 10 * time.Millisecond})
	}
	pending := k.Pending(time.Second, model)
	other := newTimekeeper()
	other.Merge(model, pending)
	if first, isNamed := other.Replacing(model, 1); len(pending) > 20 || !isNamed || first.At != 0 {
		t.Errorf("%d releases in a message; version 1 is replaced by %v, want by one named at 0 s", len(pending), first)
	}
}

// process is a process of TestProcessesShareTimes.
type process struct {
	*timekeeper.Timekeeper
	undisturbedSince time.Duration // its start, or its return after it was away
	isAway           bool          // has missed a release and has heard of no other process since
}

// TestProcessesShareTimes has processes hear of releases, start anew and tell each other what they
// know, in any order. No process that was undisturbed for a while may use weights for longer than the
// first release after them allows.
func TestProcessesShareTimes(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := newFleet()
		for range rapid.IntRange(5, 60).Draw(t, "steps") {
			f.now += time.Duration(rapid.IntRange(1, 1500).Draw(t, "pause")) * time.Millisecond
			one := f.processes[rapid.IntRange(0, len(f.processes)-1).Draw(t, "one")]
			switch rapid.IntRange(0, 3).Draw(t, "step") {
			case 0:
				f.release(one)
			case 1:
				f.start(one)
			default:
				f.tell(one, f.processes[rapid.IntRange(0, len(f.processes)-1).Draw(t, "other")])
			}
			for _, p := range f.processes {
				p.check(t, f.now, f.namedAt)
			}
		}
	})
}

// fleet is the processes of TestProcessesShareTimes and the releases that were named.
type fleet struct {
	now       time.Duration
	namedAt   []time.Duration // by version
	processes []*process
}

func newFleet() *fleet {
	f := &fleet{now: time.Minute, namedAt: []time.Duration{0, 0}}
	for range 4 {
		f.processes = append(f.processes, &process{})
		f.start(f.processes[len(f.processes)-1])
	}
	return f
}

func (f *fleet) newest() int64 {
	return int64(len(f.namedAt) - 1)
}

// release names a release, of which all processes hear at once but one and those that are away already.
func (f *fleet) release(away *process) {
	f.namedAt = append(f.namedAt, f.now)
	away.isAway = true
	for _, p := range f.processes {
		if !p.isAway {
			p.Add(model, timekeeper.Named{Version: f.newest(), At: f.now})
		}
	}
}

// start starts a process anew, which reads the newest release from the store.
func (f *fleet) start(p *process) {
	*p = process{Timekeeper: newTimekeeper(), undisturbedSince: f.now}
	p.Add(model, timekeeper.Named{Version: f.newest(), At: f.now, IsGuess: true})
}

// tell has one process hear of the releases that another knows, unless that one is away. One that was
// away itself has heard of the newest from the store before.
func (f *fleet) tell(p, other *process) {
	if other.isAway {
		return
	}
	if p.isAway {
		p.Add(model, timekeeper.Named{Version: f.newest(), At: f.now, IsGuess: true})
		p.isAway, p.undisturbedSince = false, f.now
	}
	p.Merge(model, other.Pending(f.now, model))
}

// check fails the test if the process would use weights that had to be replaced before now, as far as
// it knows of a newer release at all.
func (p *process) check(t *rapid.T, now time.Duration, namedAt []time.Duration) {
	if p.isAway || now-p.undisturbedSince < guessDelay {
		return
	}
	known, _ := p.Newest(model)
	for held := int64(1); held < known.Version; held++ {
		if now < namedAt[held+1]+switchTime {
			continue
		}
		isUsed := true
		for _, n := range p.Named(model) {
			delay := switchTime - margin
			if n.IsGuess {
				delay = guessDelay
			}
			isUsed = isUsed && (n.Version <= held || now < n.At+delay)
		}
		if isUsed {
			t.Fatalf("version %d is used %s after version %d was named: %v", held, now-namedAt[held+1], held+1, p.Named(model))
		}
	}
}
