// Package installer decides what an agent does next to bring its engine to the version
// that is wanted: fetch, stage, wait for its turn, load. It answers the naming of new
// weights for a whole fleet under load: engines that hold nothing load at once, and of
// the others no more than about half of a failure domain at a time, since an engine
// that loads takes no calls. It does no I/O and holds no clock.
package installer

import (
	"slices"
	"time"

	"github.com/foxtailwharf/foxtailwharf"
)

// Step is what to do next.
type Step string

// The steps.
const (
	StepNothing Step = "Nothing" // the engine holds what is wanted, or nothing is wanted
	StepFetch   Step = "Fetch"   // chunks are missing
	StepStage   Step = "Stage"   // chunks have to be laid beside the engine, or checked there
	StepWait    Step = "Wait"    // it is not this engine's turn, or it is loading
	StepLoad    Step = "Load"    // the engine gets its order
)

// turns is the number of groups of a failure domain that load one after the other.
const turns = 2

// Facts are what the decision rests on.
type Facts struct {
	Wanted   int64 // version; 0 for none named
	Age      time.Duration
	Held     int64 // version that the engine holds; 0 for none
	IsBusy   bool  // with an order
	IsWhole  bool  // all chunks of Wanted are there and verified
	IsStaged bool  // and lie beside the engine, checked a moment ago
	Turn     int   // group of this engine
	// TurnTime is the age of the release from which on the next group loads.
	TurnTime time.Duration
}

// Next returns the next step.
func Next(f Facts) Step {
	switch {
	case f.Wanted == 0 || f.Held >= f.Wanted:
		return StepNothing
	case !f.IsWhole:
		return StepFetch
	case f.IsBusy:
		return StepWait
	case f.Held != 0 && f.Age < time.Duration(f.Turn)*f.TurnTime:
		return StepWait
	case !f.IsStaged:
		return StepStage
	default:
		return StepLoad
	}
}

// Turn returns the group in which an engine loads a version: the same for all processes
// with the same list of its failure domain.
func Turn(self string, domain []string, version string) int {
	ordered := slices.Clone(domain)
	slices.SortFunc(ordered, func(a, b string) int {
		if foxtailwharf.Score(version, a) > foxtailwharf.Score(version, b) {
			return -1
		}
		return 1
	})
	return max(slices.Index(ordered, self), 0) % turns
}
