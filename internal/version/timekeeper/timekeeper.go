// Package timekeeper keeps when the releases of each model were named. A release must have replaced
// all older ones some time after it was named, whether or not newer ones have followed meanwhile, so
// that each release that is not due yet counts, not only the newest. Processes tell each other how
// long ago they heard of each, and the earliest time counts. The package does no I/O and reads no
// clock.
package timekeeper

import (
	"cmp"
	"slices"
	"time"

	"github.com/foxtailwharf/foxtailwharf"
)

// GuessDelay replaces the time of a switch for a release that was named at an unknown time. It is long
// enough to hear from other processes.
const GuessDelay = 2500 * time.Millisecond

const (
	// maxNamed is the number of releases kept for a model. Many may be named within the time of one
	// switch.
	maxNamed = 64
	// minCorrection is the smallest correction of a time. Smaller differences come from the way of
	// the messages.
	minCorrection = 5 * time.Millisecond
)

// Named is a release and when any process first heard of it.
type Named struct {
	Version int64
	// At is by the local clock, which also advances while the machine is suspended.
	At time.Duration
	// IsGuess is set if the release was named at an unknown time before At, and perhaps others before
	// it of which this process has not heard.
	IsGuess bool
}

// Config holds the settings of a Timekeeper.
type Config struct {
	// Switch is the time after which a release must have replaced all older ones.
	Switch time.Duration
}

// Timekeeper holds the times that one process knows. It is not safe for concurrent use.
type Timekeeper struct {
	c     Config
	named map[string][]Named // by model, in ascending order of version
}

// New returns a timekeeper that knows no release.
func New(c Config) *Timekeeper {
	return &Timekeeper{c: c, named: make(map[string][]Named)}
}

// Add adds a release that this process has just heard of. It returns false if the release is known, or
// has been replaced already.
func (k *Timekeeper) Add(now time.Duration, model string, n Named) bool {
	list := k.Named(now, model)
	i, isKnown := search(list, n)
	if isKnown || (len(list) > 0 && i == 0 && k.Due(list[0]) <= now) {
		return false
	}
	k.named[model] = k.trim(now, slices.Insert(list, i, n))
	return true
}

// search returns the place of a release in a list, and whether the list has it.
func search(list []Named, n Named) (int, bool) {
	return slices.BinarySearchFunc(list, n, func(a, b Named) int { return cmp.Compare(a.Version, b.Version) })
}

// Newest returns the newest release of a model; isNamed is false if there is none.
func (k *Timekeeper) Newest(model string) (n Named, isNamed bool) {
	list := k.named[model]
	if len(list) == 0 {
		return n, false
	}
	return list[len(list)-1], true
}

// Models returns the models that have releases.
func (k *Timekeeper) Models() (models []string) {
	for model := range k.named {
		models = append(models, model)
	}
	slices.Sort(models)
	return models
}

// Named returns the newest release that has replaced all older ones and all releases after it, in
// ascending order of version. This is what another process has to know. The slice must not be changed.
func (k *Timekeeper) Named(now time.Duration, model string) []Named {
	k.named[model] = k.trim(now, k.named[model])
	return k.named[model]
}

// Merge adds what another process knows of a model: the result of its Named, by the local clock. It
// returns the releases that are new here or whose times have changed.
func (k *Timekeeper) Merge(now time.Duration, model string, list []Named) (changed []Named) {
	own := k.named[model]
	for _, n := range list {
		i, isKnown := search(own, n)
		switch {
		case !isKnown:
			own = slices.Insert(own, i, n)
		case isBetter(n, own[i]):
			own[i] = n
		default:
			continue
		}
		changed = append(changed, n)
	}
	k.named[model] = k.trim(now, own)
	return changed
}

// isBetter reports whether a replaces b, which is of the same release.
func isBetter(a, b Named) bool {
	if a.IsGuess != b.IsGuess {
		return b.IsGuess
	}
	return b.At-a.At >= minCorrection
}

// Due returns when a release must have replaced all older ones.
func (k *Timekeeper) Due(n Named) time.Duration {
	if n.IsGuess {
		return n.At + GuessDelay
	}
	return n.At + k.c.Switch
}

// trim drops the releases before the newest one that has replaced all older ones. If the list is still
// too long, it drops the oldest releases that are not due; the next ones take over their times, so that
// what they replace is replaced in time.
func (k *Timekeeper) trim(now time.Duration, list []Named) []Named {
	newestDue := -1
	for i, n := range list {
		if k.Due(n) <= now {
			newestDue = i
		}
	}
	list = slices.Delete(list, 0, max(newestDue, 0))
	oldest := 0
	if newestDue >= 0 {
		oldest = 1
	}
	for len(list) > maxNamed {
		if next := &list[oldest+1]; k.Due(list[oldest]) < k.Due(*next) {
			next.At, next.IsGuess = list[oldest].At, list[oldest].IsGuess
		}
		list = slices.Delete(list, oldest, oldest+1)
	}
	return list
}

// Replacing returns the release that must first replace the weights of a version; isNamed is false if
// no newer release is named.
func (k *Timekeeper) Replacing(model string, held int64) (first Named, isNamed bool) {
	for _, n := range k.named[model] {
		if n.Version > held && (!isNamed || k.Due(n) < k.Due(first)) {
			first, isNamed = n, true
		}
	}
	return first, isNamed
}

// Release returns the release of a model that n is of.
func (n Named) Release(model string) foxtailwharf.Release {
	return foxtailwharf.Release{Model: model, Version: n.Version}
}
