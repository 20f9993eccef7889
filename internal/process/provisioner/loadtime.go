package provisioner

import (
	"strconv"
	"time"

	"github.com/foxtailwharf/foxtailwharf/internal/version/planner"
)

const (
	// firstLoadFraction and lastLoadFraction are the fractions of the switch time at which the
	// first and the last engine of a failure domain load. Before the first, chunks are
	// transferred; after the last, an engine finishes the calls that it is running.
	firstLoadFraction = 0.35
	lastLoadFraction  = 0.9
	// supersededLoadFraction replaces both when a newer release is being fetched, which would make
	// the load unnecessary.
	supersededLoadFraction = 0.9
	// laggingLoadFraction replaces firstLoadFraction when the engine does not hold an earlier
	// release either. It is counted from the time that the earlier release was named.
	laggingLoadFraction = 0.65
)

// announce sets when the engine is to take no calls, for the next reports.
func (i *installLoop) announce(facts planner.Facts) {
	var loadsAt time.Time
	if planner.IsToLoad(facts) {
		loadsAt = time.Now().Add(facts.LoadAge - facts.Age)
	}
	i.p.mu.Lock()
	i.p.loadsAt = loadsAt
	i.p.mu.Unlock()
}

// loadIn returns the time until the engine takes no calls because it is to load other weights; 0 if it is
// not to. p.mu must be held.
func (p *Provisioner) loadIn(now time.Time) time.Duration {
	if p.loadsAt.IsZero() {
		return 0
	}
	return max(p.loadsAt.Sub(now), time.Millisecond)
}

// loadAge returns the age of the release at which this engine may load it.
func (i *installLoop) loadAge(r *releaseState, held int64) time.Duration {
	if r != i.newest && !i.progress(i.newest).IsStalled() {
		return i.loadAgeWithin(r, supersededLoadFraction, supersededLoadFraction)
	}
	if r != i.newest && r.stalledAge == 0 {
		r.stalledAge = time.Since(r.namedAt)
	}
	loadAge := i.loadAgeWithin(r, firstLoadFraction, lastLoadFraction)
	if between := i.sinceReplaced(held); r == i.newest && between > 0 {
		loadAge = min(loadAge, i.loadAgeWithin(r, laggingLoadFraction, lastLoadFraction)-between)
	}
	return loadAge
}

// sinceReplaced returns the time from the release that must first replace the weights which the engine
// holds until the newest one; 0 if that is the same or none.
func (i *installLoop) sinceReplaced(held int64) time.Duration {
	i.p.mu.Lock()
	defer i.p.mu.Unlock()
	first, isNamed := i.p.timekeeper.Replacing(i.p.model, held)
	newest, _ := i.p.timekeeper.Newest(i.p.model)
	if !isNamed {
		return 0
	}
	return i.p.timekeeper.Due(newest) - i.p.timekeeper.Due(first)
}

// loadAgeWithin returns this engine's load age between two fractions of the switch time. A release
// that was completed late leaves less time, over which the engines' loads are still spread.
func (i *installLoop) loadAgeWithin(r *releaseState, first, last float64) time.Duration {
	limit := float64(i.p.c.Settings.Switch)
	version := strconv.FormatInt(r.release.Version, 10)
	i.p.mu.Lock()
	defer i.p.mu.Unlock()
	begin := max(time.Duration(limit*first), r.completeAge, r.stalledAge)
	end := max(time.Duration(limit*last), begin)
	return planner.LoadAge(i.p.c.Settings.Address.String(), i.p.domain, version, begin, end)
}
