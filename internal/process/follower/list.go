package follower

import (
	"time"

	"go.uber.org/zap"

	"github.com/foxtailwharf/foxtailwharf"
)

// maxGone is the number of upstreams that are remembered as gone for other entries; one that
// asks for older changes gets the whole list.
const maxGone = 1000

func (f *Follower) takeUpstreams(p foxtailwharf.FleetPage, isWhole bool) {
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
		f.remove(id, now)
	}
	for _, u := range p.Upstreams {
		if known, isKnown := f.upstreams[u.ID]; !isKnown || known.IsDraining != u.IsDraining || known.Weights != u.Weights {
			f.c.Log.Info("store: An upstream is listed.", zap.String("Upstream", u.ID), zap.String("Service", u.Service),
				zap.Stringer("Address", u.Address), zap.Bool("Draining", u.IsDraining), zap.Int64("Weights", u.Weights))
		}
		f.put(u)
		delete(f.lingering, u.ID)
	}
}

// put notes an upstream, and when it changed.
func (f *Follower) put(u foxtailwharf.Upstream) {
	if known, isKnown := f.upstreams[u.ID]; isKnown && isSame(known, u) {
		return
	}
	f.view.Sequence++
	f.upstreams[u.ID] = u
	f.changedAt[u.ID] = f.view.Sequence
	delete(f.goneAt, u.ID)
}

// isSame compares two entries of the list; the same moment may be of two time zones.
func isSame(a, b foxtailwharf.Upstream) bool {
	isSameStart := a.Born.Equal(b.Born)
	a.Born = b.Born
	return isSameStart && a == b
}

// drop removes an upstream, and notes when. Of many that are gone only the last are
// remembered.
func (f *Follower) drop(id string) {
	f.view.Sequence++
	delete(f.upstreams, id)
	delete(f.lingering, id)
	delete(f.changedAt, id)
	f.goneAt[id] = f.view.Sequence
	if len(f.goneAt) <= maxGone {
		return
	}
	f.goneFloor = f.view.Sequence
	clear(f.goneAt)
}

// Changes returns what has changed in the list after a position of this process, or the
// whole list where that is not known.
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

// expire drops the upstreams whose time to come back has passed.
func (f *Follower) expire(now time.Duration) {
	for id, until := range f.lingering {
		if now >= until {
			f.c.Log.Info("store: An upstream has not come back.", zap.String("Upstream", id))
			f.drop(id)
		}
	}
}

// remove drops an upstream. One that lapsed while the store was away is given time to
// come back.
func (f *Follower) remove(id string, now time.Duration) {
	u, isKnown := f.upstreams[id]
	if !isKnown {
		return
	}
	_, isLingering := f.lingering[id]
	if f.returned > 0 && now-f.returned < returnTime && !u.IsDraining && !isLingering {
		f.lingering[id] = f.returned + returnTime
		f.c.Log.Info("store: An upstream lapsed during an outage; it has time to come back.", zap.String("Upstream", id))
		return
	}
	if !isLingering {
		f.c.Log.Info("store: An upstream is gone.", zap.String("Upstream", id))
		f.drop(id)
	}
}
