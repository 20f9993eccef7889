package standin

import (
	"context"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/foxtailwharf/foxtailwharf"
)

// ErrStoreAway is what a store answers that is told to be away.
var ErrStoreAway = errors.New("the stand-in store is away")

// FleetStore is a foxtailwharf.FleetStore in memory. Views of it can be turned away one by
// one.
type FleetStore struct {
	mu            sync.Mutex
	revision      uint64
	floor         uint64 // history up to here is gone
	configuration *foxtailwharf.Configuration
	changedAt     map[foxtailwharf.FleetSubject]uint64
	upstreams     map[string]storedUpstream
	gone          map[string]uint64
	releases      map[string]storedRelease
	changed       chan struct{}
	away          map[string]bool
	calls         map[string]int // by view
}

type storedUpstream struct {
	upstream foxtailwharf.Upstream
	revision uint64
}

type storedRelease struct {
	release  foxtailwharf.Release
	revision uint64
}

// NewFleetStore returns an empty store.
func NewFleetStore() *FleetStore {
	return &FleetStore{
		revision:  1,
		changedAt: make(map[foxtailwharf.FleetSubject]uint64),
		upstreams: make(map[string]storedUpstream),
		gone:      make(map[string]uint64),
		releases:  make(map[string]storedRelease),
		changed:   make(chan struct{}),
		away:      make(map[string]bool),
		calls:     make(map[string]int),
	}
}

// change makes a change under a new revision and wakes the watches.
func (s *FleetStore) change(change func(revision uint64)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	change(s.revision)
	close(s.changed)
	s.changed = make(chan struct{})
}

// Configure puts a configuration in force.
func (s *FleetStore) Configure(c foxtailwharf.Configuration) {
	s.change(func(revision uint64) {
		s.configuration = &c
		s.changedAt[foxtailwharf.SubjectConfiguration] = revision
	})
}

// List puts an upstream on the list, or changes its entry.
func (s *FleetStore) List(u foxtailwharf.Upstream) {
	s.change(func(revision uint64) {
		s.upstreams[u.ID] = storedUpstream{upstream: u, revision: revision}
		delete(s.gone, u.ID)
	})
}

// Unlist removes an upstream.
func (s *FleetStore) Unlist(id string) {
	s.change(func(revision uint64) {
		delete(s.upstreams, id)
		s.gone[id] = revision
	})
}

// Release names new weights.
func (s *FleetStore) Release(r foxtailwharf.Release) {
	s.change(func(revision uint64) { s.releases[r.Model] = storedRelease{release: r, revision: revision} })
}

// Compact drops the history.
func (s *FleetStore) Compact() {
	s.change(func(revision uint64) { s.floor = revision })
}

// SetAway turns a view away, or serves it again.
func (s *FleetStore) SetAway(view string, isAway bool) {
	s.change(func(uint64) { s.away[view] = isAway })
}

// Calls returns how many calls a view has made, those that were turned away included.
func (s *FleetStore) Calls(view string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls[view]
}

// count notes a call.
func (v *storeView) count() {
	v.s.mu.Lock()
	defer v.s.mu.Unlock()
	v.s.calls[v.name]++
}

// View returns the store as one process reaches it.
func (s *FleetStore) View(name string) foxtailwharf.FleetStore {
	return &storeView{s: s, name: name}
}

// storeView is the store for one process.
type storeView struct {
	s    *FleetStore
	name string
}

// Read returns all of a subject.
func (v *storeView) Read(_ context.Context, subject foxtailwharf.FleetSubject) (foxtailwharf.FleetPage, error) {
	v.count()
	v.s.mu.Lock()
	defer v.s.mu.Unlock()
	if v.s.away[v.name] {
		return foxtailwharf.FleetPage{}, ErrStoreAway
	}
	p, _ := v.s.page(subject, 0)
	p.Gone = nil
	return p, nil
}

// page returns what has changed after a revision; false where nothing has.
func (s *FleetStore) page(subject foxtailwharf.FleetSubject, after uint64) (p foxtailwharf.FleetPage, isChanged bool) {
	p.Revision = s.revision
	switch subject {
	case foxtailwharf.SubjectConfiguration:
		if s.changedAt[subject] > after {
			p.Configuration = s.configuration
		}
	case foxtailwharf.SubjectUpstreams:
		for _, l := range s.upstreams {
			if l.revision > after {
				p.Upstreams = append(p.Upstreams, l.upstream)
			}
		}
		for id, revision := range s.gone {
			if revision > after {
				p.Gone = append(p.Gone, id)
			}
		}
	case foxtailwharf.SubjectReleases:
		for _, l := range s.releases {
			if l.revision > after {
				p.Releases = append(p.Releases, l.release)
			}
		}
	}
	return p, p.Configuration != nil || len(p.Upstreams)+len(p.Gone)+len(p.Releases) > 0
}

// Follow waits for changes.
func (v *storeView) Follow(ctx context.Context, subject foxtailwharf.FleetSubject, after uint64, wait time.Duration) (foxtailwharf.FleetPage, error) {
	v.count()
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		v.s.mu.Lock()
		if v.s.away[v.name] {
			v.s.mu.Unlock()
			return foxtailwharf.FleetPage{}, ErrStoreAway
		}
		if after < v.s.floor {
			v.s.mu.Unlock()
			return foxtailwharf.FleetPage{}, foxtailwharf.ErrHistoryGone
		}
		p, isChanged := v.s.page(subject, after)
		changed := v.s.changed
		v.s.mu.Unlock()
		if isChanged {
			return p, nil
		}
		select {
		case <-changed:
		case <-timer.C:
			return p, nil
		case <-ctx.Done():
			return p, ctx.Err()
		}
	}
}
