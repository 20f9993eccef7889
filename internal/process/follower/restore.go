package follower

import (
	"slices"
	"time"

	"go.uber.org/zap"

	"github.com/foxtailwharf/foxtailwharf"
)

// holdPeriod is how long an upstream that had been removed is not listed again after the store has come
// back from an older copy that still has it. If it is gone, its record expires in this time.
const holdPeriod = 6 * time.Second

// removalPeriod is how long an entry names a removed upstream to entries that start. Copies of the store are younger.
const removalPeriod = time.Minute

// goneRun is a run of an upstream that was removed from the list.
type goneRun struct {
	born       time.Time
	isDraining bool          // when it was removed
	removedAt  time.Duration // by the clock
}

// Run is a run of an upstream that is leaving or has left.
type Run struct {
	ID       string
	Born     time.Time
	IsListed bool // is leaving and still listed
}

// Left returns the upstreams that are leaving or have been removed lately, for entries that start: the store may
// have come back from an older copy, which lists them as ready.
func (f *Follower) Left() (runs []Run) {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.c.Clock()
	for _, u := range f.view.Upstreams {
		if u.IsDraining {
			runs = append(runs, Run{ID: u.ID, Born: u.Born, IsListed: true})
		}
	}
	for id, gone := range f.goneRuns {
		if now-gone.removedAt < removalPeriod {
			runs = append(runs, Run{ID: id, Born: gone.born})
		}
	}
	return runs
}

// Learn records what another entry knows of upstreams that are leaving or have left, when this entry starts. One that
// has left waits as after a restore, if the store lists it.
func (f *Follower) Learn(runs []Run) {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.c.Clock()
	for _, r := range runs {
		u, isListed := f.upstreams[r.ID]
		isSameRun := isListed && isSameBirth(u.Born, r.Born)
		_, isHeld := f.held[r.ID]
		switch {
		case r.IsListed:
			f.leaving[r.ID] = r.Born
			if isSameRun {
				f.setUpstream(u)
			}
		case isSameRun:
			f.deleteUpstream(r.ID)
			f.held[r.ID] = heldUpstream{upstream: u, until: now + holdPeriod}
		case !isListed && !isHeld:
			f.goneRuns[r.ID] = goneRun{born: r.Born, removedAt: now}
			f.held[r.ID] = heldUpstream{until: now + holdPeriod}
		}
	}
	f.publish()
}

// isSameBirth reports whether two start times are of the same run. Processes tell each other milliseconds.
func isSameBirth(a, b time.Time) bool {
	return a.UnixMilli() == b.UnixMilli()
}

// heldUpstream is an upstream that the store lists, but that is not listed here yet.
type heldUpstream struct {
	upstream foxtailwharf.Upstream // without an ID if the store has not been read
	until    time.Duration         // by the clock
}

// holdReturned takes the upstreams out of a whole list that had been removed before the store came back
// from an older copy, if the list is the first one after that, and those that already wait. A change of
// their records ends the wait.
func (f *Follower) holdReturned(p *foxtailwharf.FleetPage, isRestored bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	waiting := f.held
	f.held = make(map[string]heldUpstream)
	until := f.c.Clock() + holdPeriod
	p.Upstreams = slices.DeleteFunc(p.Upstreams, func(u foxtailwharf.Upstream) bool {
		gone, isGone := f.goneRuns[u.ID]
		before, isWaiting := waiting[u.ID]
		if !isGone || !isSameBirth(gone.born, u.Born) || (!isRestored && !isWaiting) {
			return false
		}
		u.IsDraining = u.IsDraining || gone.isDraining
		h := heldUpstream{upstream: u, until: until}
		if isWaiting {
			h.until = before.until
		} else {
			f.c.Log.Info("store: upstream that had been removed is listed again by an older copy; not used yet", zap.String("Upstream", u.ID))
		}
		f.held[u.ID] = h
		return true
	})
}

// releaseHeld lists the upstreams that the store still has at the end of their wait. The lock must be
// held.
func (f *Follower) releaseHeld(now time.Duration) {
	for id, h := range f.held {
		if now >= h.until {
			delete(f.held, id)
			if h.upstream.ID != "" {
				f.setUpstream(h.upstream)
			}
		}
	}
}
