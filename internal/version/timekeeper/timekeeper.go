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

const (
	// maxNamed is the number of releases kept for a model. Many may be named within the time of one
	// switch.
	maxNamed = 64
	// maxPending is the number of releases that Pending returns, which go into one datagram.
	maxPending = 16
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

// Add adds a release that this process has just heard of. It returns false if the model has this
// release or a newer one.
func (k *Timekeeper) Add(model string, n Named) bool {
	if newest, isNamed := k.Newest(model); isNamed && newest.Version >= n.Version {
		return false
	}
	k.named[model] = collapse(append(k.named[model], n), maxNamed)
	return true
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

// Named returns all known releases of a model, in ascending order of version. The slice must not be
// changed.
func (k *Timekeeper) Named(model string) []Named {
	return k.named[model]
}

// Pending returns the newest release that has replaced all older ones and all releases after it,
// which is what another process has to know. If they are many, it leaves the oldest out, and the
// next one takes over their times.
func (k *Timekeeper) Pending(now time.Duration, model string) []Named {
	list := k.named[model]
	first := 0
	for i, n := range list {
		if now-n.At >= k.c.Switch {
			first = i
		}
	}
	return collapse(slices.Clone(list[first:]), maxPending)
}

// Merge adds what another process knows of a model: the result of its Pending, by the local clock.
// It returns the releases that are new here or whose times have changed.
func (k *Timekeeper) Merge(model string, list []Named) (changed []Named) {
	own := k.named[model]
	for _, n := range list {
		i, isKnown := slices.BinarySearchFunc(own, n, func(a, b Named) int { return cmp.Compare(a.Version, b.Version) })
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
	k.named[model] = collapse(own, maxNamed)
	return changed
}

// isBetter reports whether a replaces b, which is of the same release.
func isBetter(a, b Named) bool {
	if a.IsGuess != b.IsGuess {
		return b.IsGuess
	}
	return b.At-a.At >= minCorrection
}

// collapse drops the oldest releases of a list that is too long. The next one takes over their times,
// so that what they replace is still replaced in time.
func collapse(list []Named, length int) []Named {
	for len(list) > length {
		if list[0].At < list[1].At {
			list[1].At = list[0].At
		}
		list = slices.Delete(list, 0, 1)
	}
	return list
}

// Replacing returns the release that must first replace the weights of a version; isNamed is false if
// no newer release is named.
func (k *Timekeeper) Replacing(model string, held int64) (first Named, isNamed bool) {
	for _, n := range k.named[model] {
		if n.Version > held && (!isNamed || n.At < first.At) {
			first, isNamed = n, true
		}
	}
	return first, isNamed
}

// Release returns the release of a model that n is of.
func (n Named) Release(model string) foxtailwharf.Release {
	return foxtailwharf.Release{Model: model, Version: n.Version}
}
