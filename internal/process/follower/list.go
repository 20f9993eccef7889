package follower

import (
	"maps"
	"slices"
	"time"

	"go.uber.org/zap"

	"github.com/foxtailwharf/foxtailwharf"
)

// maxGone is the number of removed upstreams that are remembered for other entries. An entry that
// asks for older changes gets the whole list.
const maxGone = 1000

func (f *Follower) applyUpstreams(p foxtailwharf.FleetPage, isWhole bool) {
	now := f.c.Clock()
	if isWhole {
		listed := make(map[string]bool, len(p.Upstreams))
		for _, u := range p.Upstreams {
			listed[u.ID] = true
		}
		for id := range f.upstreams {
			if !listed[id] {
				p.Gone = append(p.Gone, id)
			}
		}
	}
	for _, id := range p.Gone {
		delete(f.held, id)
		f.removeUpstream(id, now)
	}
	for _, u := range p.Upstreams {
		delete(f.held, u.ID)
		if known, isKnown := f.upstreams[u.ID]; !isKnown || known.IsDraining != u.IsDraining || known.Weights != u.Weights {
			f.c.Log.Info("store: upstream listed", zap.String("Upstream", u.ID), zap.String("Service", u.Service),
				zap.Stringer("Address", u.Address), zap.Bool("Draining", u.IsDraining), zap.Int64("Weights", u.Weights))
		}
		f.setUpstream(u)
		f.endGrace(u.ID)
	}
}

// endGrace ends the grace period of an upstream that has returned. That is a change for the entries that
// rely on this one, also where the record is the same as before: they count its time as well.
func (f *Follower) endGrace(id string) {
	if _, isInGrace := f.graceUntil[id]; !isInGrace {
		return
	}
	delete(f.graceUntil, id)
	f.view.Sequence++
	f.changedAt[id] = f.view.Sequence
}

// setUpstream adds or replaces an upstream and records the sequence of the change.
func (f *Follower) setUpstream(u foxtailwharf.Upstream) {
	known, isKnown := f.upstreams[u.ID]
	// Leaving is final for a run, so that a record which says otherwise is older.
	leaving, isLeaving := f.leaving[u.ID]
	u.IsDraining = u.IsDraining || (isKnown && known.IsDraining && known.Born.Equal(u.Born)) || (isLeaving && isSameBirth(leaving, u.Born))
	if isKnown && isSame(known, u) {
		return
	}
	f.view.Sequence++
	f.upstreams[u.ID] = u
	f.changedAt[u.ID] = f.view.Sequence
	delete(f.goneAt, u.ID)
	delete(f.goneRuns, u.ID)
}

// isSame compares two upstreams. It compares start times as instants, since their time zones may
// differ.
func isSame(a, b foxtailwharf.Upstream) bool {
	isSameStart := a.Born.Equal(b.Born)
	a.Born = b.Born
	return isSameStart && a == b
}

// deleteUpstream deletes an upstream and records the sequence of the removal. Beyond maxGone
// removals, all are forgotten and goneFloor is raised.
func (f *Follower) deleteUpstream(id string) {
	f.view.Sequence++
	f.goneRuns[id] = goneRun{born: f.upstreams[id].Born, isDraining: f.upstreams[id].IsDraining, removedAt: f.c.Clock()}
	delete(f.upstreams, id)
	delete(f.graceUntil, id)
	delete(f.changedAt, id)
	delete(f.leaving, id)
	f.goneAt[id] = f.view.Sequence
	if len(f.goneAt) <= maxGone {
		return
	}
	f.goneFloor = f.view.Sequence
	clear(f.goneAt)
	clear(f.goneRuns)
}

// Changes returns the changes of the list after a position of this process. If they are no longer
// known, it returns the whole list and isWhole is true.
func (f *Follower) Changes(after Position) (p foxtailwharf.FleetPage, isWhole bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if after.Process != f.c.Process || after.Sequence < f.goneFloor || after.Sequence > f.view.Sequence {
		return foxtailwharf.FleetPage{Upstreams: f.view.Upstreams}, true
	}
	for _, u := range f.view.Upstreams {
		if f.changedAt[u.ID] > after.Sequence {
			p.Upstreams = append(p.Upstreams, u)
		}
	}
	for id, sequence := range f.goneAt {
		if sequence > after.Sequence {
			p.Gone = append(p.Gone, id)
		}
	}
	return p, false
}

// Expiring returns the IDs of the upstreams that are in a grace period, and the longest time that one
// of them still has.
func (f *Follower) Expiring() (ids []string, left time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.c.Clock()
	for _, until := range f.graceUntil {
		left = max(left, until-now)
	}
	return slices.Sorted(maps.Keys(f.graceUntil)), left
}

// mergeUpstreams merges another entry's list, or the changes of it. The store no longer lists what is
// in a grace period there: it is not added here, and if it is listed here, its time ends at the
// latest when it ends there. What the other entry has removed gets no time of its own.
func (f *Follower) mergeUpstreams(s PeerState) {
	begun := maps.Clone(f.graceUntil)
	added := slices.DeleteFunc(slices.Clone(s.Upstreams), func(u foxtailwharf.Upstream) bool {
		_, isListed := f.upstreams[u.ID]
		return !isListed && slices.Contains(s.Expiring, u.ID)
	})
	for _, id := range s.Gone {
		if _, isListed := f.upstreams[id]; isListed {
			f.c.Log.Info("store: upstream removed by another entry", zap.String("Upstream", id))
			f.deleteUpstream(id)
		}
	}
	f.applyUpstreams(foxtailwharf.FleetPage{Upstreams: added}, s.IsWhole)
	until := f.c.Clock() + min(s.ExpiringFor, gracePeriod)
	for _, id := range s.Expiring {
		if _, isListed := f.upstreams[id]; !isListed {
			continue
		}
		f.graceUntil[id] = until
		if own, hasBegun := begun[id]; hasBegun {
			f.graceUntil[id] = min(own, until)
		}
	}
}

// expireGrace deletes the upstreams whose grace period is over.
func (f *Follower) expireGrace(now time.Duration) {
	for id, until := range f.graceUntil {
		if now >= until {
			f.c.Log.Info("store: upstream did not return after an outage", zap.String("Upstream", id))
			f.deleteUpstream(id)
		}
	}
}

// removeUpstream deletes an upstream. If its record in the store may have expired only because the
// store was unreachable, it first gets a grace period to return.
func (f *Follower) removeUpstream(id string, now time.Duration) {
	u, isKnown := f.upstreams[id]
	if !isKnown {
		return
	}
	_, isInGrace := f.graceUntil[id]
	if f.outageEnd > 0 && now-f.outageEnd < gracePeriod && !u.IsDraining && !isInGrace {
		f.graceUntil[id] = f.outageEnd + gracePeriod
		f.c.Log.Info("store: upstream expired during an outage; waiting for it to return", zap.String("Upstream", id))
		return
	}
	if !isInGrace {
		f.c.Log.Info("store: upstream removed", zap.String("Upstream", id))
		f.deleteUpstream(id)
	}
}
