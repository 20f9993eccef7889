package timekeeper_test

import (
	"flag"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/foxtailwharf/foxtailwharf/internal/version/timekeeper"
	"github.com/foxtailwharf/foxtailwharf/wire"
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
			k.Merge(0, model, tt.own)
			changed := k.Merge(0, model, tt.list)
			if have := k.Named(0, model); !slices.Equal(have, tt.want) || len(changed) != tt.changed {
				t.Errorf("have %v and %d changes, want %v and %d", have, len(changed), tt.want, tt.changed)
			}
		})
	}
}

func TestNamed(t *testing.T) {
	k := newTimekeeper()
	for version, at := range []time.Duration{0, 0, time.Second, 6 * time.Second, 9 * time.Second} {
		k.Add(at, model, timekeeper.Named{Version: int64(version), At: at})
	}
	var have []int64
	for _, n := range k.Named(10*time.Second, model) {
		have = append(have, n.Version)
	}
	// Version 2 has replaced the older ones, and 3 and 4 are not due.
	if want := []int64{2, 3, 4}; !slices.Equal(have, want) {
		t.Errorf("have versions %v, want %v", have, want)
	}
}

// TestManyReleases has so many releases named within the time of one switch that the oldest are left
// out. Weights must be replaced neither later nor earlier, and what was a guess must stay one.
func TestManyReleases(t *testing.T) {
	for _, count := range []int64{10, 61, 62, 63, 64, 65, 200} {
		k := newTimekeeper()
		k.Add(0, model, timekeeper.Named{Version: 1, At: 0, IsGuess: true})
		k.Add(time.Minute, model, timekeeper.Named{Version: 2, At: time.Minute, IsGuess: true})
		for version := int64(3); version < 3+count; version++ {
			at := time.Minute + time.Duration(version)*10*time.Millisecond
			k.Add(at, model, timekeeper.Named{Version: version, At: at})
		}
		now := time.Minute + 2*time.Second
		named := k.Named(now, model)
		other := newTimekeeper()
		other.Merge(now, model, named)
		if first, _ := other.Replacing(model, 1); first.At != time.Minute || !first.IsGuess || len(named) > 64 {
			t.Errorf("%d releases, %d of them told: version 1 is replaced by %+v, want a guess at %s", count, len(named), first, time.Minute)
		}
	}
}

// TestAddAfterMerge has a process hear of two releases from the store after another process has told it
// the newer one alone.
func TestAddAfterMerge(t *testing.T) {
	k := newTimekeeper()
	k.Merge(time.Minute, model, []timekeeper.Named{{Version: 3, At: time.Minute}})
	k.Add(time.Minute, model, timekeeper.Named{Version: 2, At: time.Minute})
	k.Add(time.Minute, model, timekeeper.Named{Version: 3, At: time.Minute + time.Second})
	want := []timekeeper.Named{{Version: 2, At: time.Minute}, {Version: 3, At: time.Minute}}
	if have := k.Named(time.Minute, model); !slices.Equal(have, want) {
		t.Errorf("have %v, want %v", have, want)
	}
}

// TestMessageOfOlderBuild has a process that started between two releases hear from an older build, which
// tells of the newest release alone: its time must not replace the guess, which covers the others.
func TestMessageOfOlderBuild(t *testing.T) {
	k := newTimekeeper()
	guess := timekeeper.Named{Version: 3, At: time.Minute, IsGuess: true}
	k.Add(time.Minute, model, guess)
	arrived := time.Minute + time.Second
	k.Merge(arrived, model, timekeeper.FromList(arrived, wire.NamedRelease{Version: 3, AgeMillis: 1200}, nil, false))
	if first, _ := k.Replacing(model, 1); first != guess {
		t.Errorf("version 1 is replaced by %+v, want %+v", first, guess)
	}
	known := timekeeper.Named{Version: 3, At: arrived - 1200*time.Millisecond}
	k.Merge(arrived, model, timekeeper.FromList(arrived, wire.NamedRelease{Version: 3, AgeMillis: 1200}, nil, true))
	if first, _ := k.Replacing(model, 1); first != known {
		t.Errorf("version 1 is replaced by %+v, want %+v", first, known)
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
			p.Add(f.now, model, timekeeper.Named{Version: f.newest(), At: f.now})
		}
	}
}

// start starts a process anew, which reads the newest release from the store.
func (f *fleet) start(p *process) {
	*p = process{Timekeeper: newTimekeeper(), undisturbedSince: f.now}
	p.Add(f.now, model, timekeeper.Named{Version: f.newest(), At: f.now, IsGuess: true})
}

// tell has one process hear of the releases that another knows, unless that one is away. One that was
// away itself has heard of the newest from the store before.
func (f *fleet) tell(p, other *process) {
	if other.isAway {
		return
	}
	if p.isAway {
		p.Add(f.now, model, timekeeper.Named{Version: f.newest(), At: f.now, IsGuess: true})
		p.isAway, p.undisturbedSince = false, f.now
	}
	p.Merge(f.now, model, other.Named(f.now, model))
}

// check fails the test if the process would use weights that had to be replaced before now, as far as
// it knows of a newer release at all.
func (p *process) check(t *rapid.T, now time.Duration, namedAt []time.Duration) {
	if p.isAway || now-p.undisturbedSince < timekeeper.GuessDelay {
		return
	}
	known, _ := p.Newest(model)
	for held := int64(1); held < known.Version; held++ {
		if now < namedAt[held+1]+switchTime {
			continue
		}
		isUsed := true
		for _, n := range p.Named(now, model) {
			delay := switchTime - margin
			if n.IsGuess {
				delay = timekeeper.GuessDelay
			}
			isUsed = isUsed && (n.Version <= held || now < n.At+delay)
		}
		if isUsed {
			t.Fatalf("version %d is used %s after version %d was named: %v", held, now-namedAt[held+1], held+1, p.Named(now, model))
		}
	}
}
