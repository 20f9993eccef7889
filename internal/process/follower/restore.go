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

// goneRun is a run of an upstream that was removed from the list.
type goneRun struct {
	born       time.Time
	isDraining bool // when it was removed
}

// heldUpstream is an upstream that the store lists, but that is not listed here yet.
type heldUpstream struct {
	upstream foxtailwharf.Upstream
	until    time.Duration // by the clock
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
		if !isGone || !gone.born.Equal(u.Born) || (!isRestored && !isWaiting) {
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
			f.setUpstream(h.upstream)
		}
	}
}
