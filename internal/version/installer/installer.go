// Package installer decides what an agent does next to bring its engine to the version
// that is wanted: fetch, stage, wait for its turn, drain, load. It answers the naming of new
// weights for a whole fleet under load: engines that hold nothing load at once, and the
// others one after the other over the time that the switch may take, since an engine
// that loads takes no calls. It does no I/O and holds no clock.
package installer

import (
	"cmp"
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
	StepDrain   Step = "Drain"   // the entries are told to send no more calls
	StepLoad    Step = "Load"    // the engine gets its order, after what it runs
	StepCut     Step = "Cut"     // the engine gets its order and ends what it runs
)

// Constants of draining.
const (
	// fewCalls is the number of calls that are cut rather than waited for: the engine's other
	// places stand empty meanwhile, and another engine reads these calls' prompts in less time.
	fewCalls = 3
	// minDrain is how long calls may end by themselves before any are cut.
	minDrain = 700 * time.Millisecond
	// maxDrain is how long an engine waits to have few calls left before it gets its order
	// anyway, after those.
	maxDrain = 1500 * time.Millisecond
)

// Facts are what the decision rests on.
type Facts struct {
	Wanted   int64 // version; 0 for none named
	Age      time.Duration
	Held     int64 // version that the engine holds; 0 for none
	IsBusy   bool  // with an order
	IsWhole  bool  // all chunks of Wanted are there and verified
	IsStaged bool  // and lie beside the engine, checked a moment ago
	// Running is the number of calls at the engine, and Drained how long the entries have been
	// told to send no more; 0 for not yet.
	Running int
	Drained time.Duration
	// Turn is the age of the release from which on this engine loads, if it holds an older
	// version.
	Turn time.Duration
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
	case f.Held != 0 && f.Age < f.Turn:
		return StepWait
	case !f.IsStaged:
		return StepStage
	case f.Held == 0 || f.Running == 0 || f.Drained >= maxDrain:
		return StepLoad
	case f.Drained == 0:
		return StepDrain
	case f.Running <= fewCalls && f.Drained >= minDrain:
		return StepCut
	default:
		return StepWait
	}
}

// Turn returns the age of a version from which on an engine loads it: the engines of a
// failure domain follow each other evenly from first to last, in an order that is the
// same for all processes with the same list.
func Turn(self string, domain []string, version string, first, last time.Duration) time.Duration {
	own := foxtailwharf.Score(version, self)
	before := 0
	for _, other := range domain {
		if foxtailwharf.Score(version, other) > own {
			before++
		}
	}
	return first + (last-first)*time.Duration(before)/time.Duration(max(len(domain), 1))
}

// stallTime is the time without a new chunk after which a release counts as stalled.
const stallTime = time.Second

// startedPart is the part of a release's chunks from which on it is worth completing.
const startedPart = 0.3

// nearlyPart is the part from which on it is completed before a newer one is begun: it comes
// from other agents in a moment, and stands by should the newer one not arrive.
const nearlyPart = 0.6

// Progress is how far the fetching of a release is.
type Progress struct {
	Held, Total int
	// Idle is the time since the last chunk, or since its fetching began.
	Idle time.Duration
}

func (p Progress) isWhole() bool {
	return p.Total > 0 && p.Held == p.Total
}

// IsStalled reports whether no chunk has come for a while.
func (p Progress) IsStalled() bool {
	return !p.isWhole() && p.Idle >= stallTime
}

// IsPreviousNext reports whether the release before the newest one should be fetched now.
// It answers a release that is named while the one before it spreads, and whose origin
// then fails: the fleet completes among itself what it has most of, rather than serve
// nothing once the oldest version is due.
func IsPreviousNext(newest, previous Progress, isOnPrevious bool) bool {
	switch {
	case previous.Total == 0 || previous.isWhole() || newest.isWhole():
		return false
	case isOnPrevious:
		return !previous.IsStalled()
	case newest.Held == 0 && !previous.IsStalled() && float64(previous.Held) >= nearlyPart*float64(previous.Total):
		return true
	default:
		return newest.IsStalled() && float64(previous.Held) >= startedPart*float64(previous.Total)
	}
}

// originReaders is the number of agents that read a release's manifest from the origin, which
// takes few connections at a time.
const originReaders = 6

// OriginReaders returns the agents that read a release's manifest from the origin; the others
// ask these. The choice is the same for all processes with the same list.
func OriginReaders(agents []string, version string) []string {
	ranked := slices.Clone(agents)
	slices.SortFunc(ranked, func(a, b string) int {
		return cmp.Compare(foxtailwharf.Score(version, b), foxtailwharf.Score(version, a))
	})
	return ranked[:min(originReaders, len(ranked))]
}
