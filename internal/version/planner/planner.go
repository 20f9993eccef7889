// Package planner decides the next step of an agent that brings its engine to the wanted
// version: fetch, stage, wait, drain or load. It staggers the rollout of new weights across a
// fleet under load: engines that hold no weights load at once, and the others load one after
// another over the time that the switch may take, since an engine takes no calls while it
// loads. The package does no I/O and reads no clock.
package planner

import (
	"cmp"
	"slices"
	"time"

	"github.com/foxtailwharf/foxtailwharf"
)

// Step is the next action of an agent.
type Step string

// Steps that Next returns.
const (
	StepNothing Step = "Nothing" // the engine is up to date, or no version is wanted
	StepFetch   Step = "Fetch"   // chunks are missing
	StepStage   Step = "Stage"   // the engine's staging area has to be filled or verified
	StepWait    Step = "Wait"    // before the engine's load age, or while it executes an order or drains
	StepDrain   Step = "Drain"   // the entries stop sending calls to the engine
	StepLoad    Step = "Load"    // the engine loads after its running calls
)

const (
	// fewCalls is the largest number of running calls at which the load is ordered after minDrain.
	fewCalls = 3
	// minDrain is how long calls that are on their way to the engine have to arrive and begin.
	minDrain = 700 * time.Millisecond
	// maxDrain is how long an agent waits until few calls are left. Then it orders the load
	// anyway.
	maxDrain = 1500 * time.Millisecond
)

// Facts is the input of Next.
type Facts struct {
	Wanted           int64         // version of the weights; 0 for none
	Age              time.Duration // since Wanted was announced
	Held             int64         // version in the engine; 0 for none
	IsExecutingOrder bool          // the engine executes an order
	IsWhole          bool          // the agent holds all chunks of Wanted, verified
	IsStaged         bool          // the chunks are in the engine's staging area, recently verified there
	// Running is the number of calls at the engine. DrainTime is the time since the entries were
	// told to send no more calls; 0 if they were not.
	Running   int
	DrainTime time.Duration
	// LoadAge is the smallest Age at which this engine loads if it holds an older version.
	LoadAge time.Duration
}

// Next returns the step to take now. An engine that holds no weights neither waits for LoadAge
// nor drains.
func Next(f Facts) Step {
	switch {
	case f.Wanted == 0 || f.Held >= f.Wanted:
		return StepNothing
	case !f.IsWhole:
		return StepFetch
	case f.IsExecutingOrder:
		return StepWait
	case f.Held != 0 && f.Age < f.LoadAge:
		return StepWait
	case !f.IsStaged:
		return StepStage
	case f.Held == 0 || f.Running == 0 || f.DrainTime >= maxDrain:
		return StepLoad
	case f.DrainTime == 0:
		return StepDrain
	case f.Running <= fewCalls && f.DrainTime >= minDrain:
		return StepLoad
	default:
		return StepWait
	}
}

// IsToLoad reports whether the engine serves calls now and will stop for the wanted version.
func IsToLoad(f Facts) bool {
	return f.Held != 0 && f.Held < f.Wanted && !f.IsExecutingOrder
}

// LoadAge returns the age of a version at which the engine self loads it. The ages for the engines
// in a failure domain are spread evenly from first (inclusive) to last (exclusive). Their order
// is the rendezvous hash order, so all processes with the same list agree on it.
func LoadAge(self string, domain []string, version string, first, last time.Duration) time.Duration {
	own := foxtailwharf.RendezvousScore(version, self)
	before := 0
	for _, other := range domain {
		if foxtailwharf.RendezvousScore(version, other) > own {
			before++
		}
	}
	return first + (last-first)*time.Duration(before)/time.Duration(max(len(domain), 1))
}

// stallTimeout is the time without a new chunk after which a release counts as stalled.
const stallTimeout = time.Second

// minStartedFraction is the fraction of its chunks at which a release is worth completing.
const minStartedFraction = 0.3

// minNearlyWholeFraction is the fraction of its chunks at which a release is completed before a
// newer one is started. The rest soon arrives from other agents, and the release is a fallback
// if the newer one does not arrive.
const minNearlyWholeFraction = 0.6

// Progress describes how much of a release has been fetched.
type Progress struct {
	Held, Total int
	// Idle is the time since the last chunk arrived, or since the fetch started.
	Idle time.Duration
}

func (p Progress) isWhole() bool {
	return p.Total > 0 && p.Held == p.Total
}

// IsStalled reports whether the release is incomplete and no chunk has arrived for a second.
func (p Progress) IsStalled() bool {
	return !p.isWhole() && p.Idle >= stallTimeout
}

// ShouldFetchPrevious reports whether the release before the newest one should be fetched now.
// isOnPrevious says that it is being fetched already. This covers the case that a release is
// announced while the previous one still spreads, and the origin then fails: the agents complete
// the release of which they hold most chunks from each other. Otherwise the fleet would have
// nothing to serve once the oldest version has to be replaced.
func ShouldFetchPrevious(newest, previous Progress, isOnPrevious bool) bool {
	switch {
	case previous.Total == 0 || previous.isWhole() || newest.isWhole():
		return false
	case isOnPrevious:
		return !previous.IsStalled()
	case newest.Held == 0 && !previous.IsStalled() && float64(previous.Held) >= minNearlyWholeFraction*float64(previous.Total):
		return true
	default:
		return newest.IsStalled() && float64(previous.Held) >= minStartedFraction*float64(previous.Total)
	}
}

// originReaders is the number of agents that read a release's manifest from the origin. It is
// small because the origin accepts few connections at a time.
const originReaders = 6

// OriginReaders returns the agents that read a release's manifest from the origin; the others
// request it from these agents. All processes with the same list choose the same agents,
// whatever the order of the list.
func OriginReaders(agents []string, version string) []string {
	ranked := slices.Clone(agents)
	slices.SortFunc(ranked, func(a, b string) int {
		return cmp.Compare(foxtailwharf.RendezvousScore(version, b), foxtailwharf.RendezvousScore(version, a))
	})
	return ranked[:min(originReaders, len(ranked))]
}
