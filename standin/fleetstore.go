package standin

import (
	"context"
	"maps"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/foxtailwharf/foxtailwharf"
)

// ErrStoreUnavailable is the error of a view that SetUnavailable made unavailable.
var ErrStoreUnavailable = errors.New("fake store is unavailable")

// silenceTimeout is how long the client of a silent store waits beyond the wait of a call.
const silenceTimeout = 700 * time.Millisecond

// FleetStore is an in-memory store behind the foxtailwharf.FleetStore that View returns. Each view
// can be made unavailable on its own.
type FleetStore struct {
	mu                sync.Mutex
	era               uint64 // incremented by each Restore
	revision          uint64
	compactedRevision uint64 // changes up to this revision are no longer known
	configuration     *foxtailwharf.Configuration
	changedAt         map[foxtailwharf.FleetSubject]uint64
	upstreams         map[string]storedUpstream
	removed           map[string]uint64
	releases          map[string]storedRelease
	changed           chan struct{}
	unavailable       map[string]bool
	silent            map[string]bool // by view
	dropped           map[droppedAnswer]bool
	calls             map[string]int // number of calls by view
}

// answerOf returns a page, unless it is of another era than the caller knows.
func answerOf(p foxtailwharf.FleetPage, era, knownEra uint64) (foxtailwharf.FleetPage, error) {
	if era != knownEra {
		return foxtailwharf.FleetPage{}, foxtailwharf.ErrStoreRestored
	}
	return p, nil
}

// droppedAnswer names a subject of a view whose next call gets no answer.
type droppedAnswer struct {
	view    string
	subject foxtailwharf.FleetSubject
}

type storedUpstream struct {
	upstream foxtailwharf.Upstream
	revision uint64
}

type storedRelease struct {
	release  foxtailwharf.Release
	revision uint64
}

// NewFleetStore returns a store without content, at revision 1.
func NewFleetStore() *FleetStore {
	return &FleetStore{
		revision:    1,
		changedAt:   make(map[foxtailwharf.FleetSubject]uint64),
		upstreams:   make(map[string]storedUpstream),
		removed:     make(map[string]uint64),
		releases:    make(map[string]storedRelease),
		changed:     make(chan struct{}),
		unavailable: make(map[string]bool),
		silent:      make(map[string]bool),
		dropped:     make(map[droppedAnswer]bool),
		calls:       make(map[string]int),
	}
}

// update calls its argument with the lock held and a new revision, and wakes the callers of Follow.
func (s *FleetStore) update(update func(revision uint64)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	update(s.revision)
	close(s.changed)
	s.changed = make(chan struct{})
}

// PutConfiguration sets the configuration.
func (s *FleetStore) PutConfiguration(c foxtailwharf.Configuration) {
	s.update(func(revision uint64) {
		s.configuration = &c
		s.changedAt[foxtailwharf.SubjectConfiguration] = revision
	})
}

// PutUpstream adds an upstream to the list or replaces the one of the same ID.
func (s *FleetStore) PutUpstream(u foxtailwharf.Upstream) {
	s.update(func(revision uint64) {
		s.upstreams[u.ID] = storedUpstream{upstream: u, revision: revision}
		delete(s.removed, u.ID)
	})
}

// RemoveUpstream removes an upstream from the list.
func (s *FleetStore) RemoveUpstream(id string) {
	s.update(func(revision uint64) {
		delete(s.upstreams, id)
		s.removed[id] = revision
	})
}

// Release publishes a release, which replaces the earlier one of the same model.
func (s *FleetStore) Release(r foxtailwharf.Release) {
	s.update(func(revision uint64) { s.releases[r.Model] = storedRelease{release: r, revision: revision} })
}

// StoreCopy is the content of a store at some time.
type StoreCopy struct {
	revision      uint64
	configuration *foxtailwharf.Configuration
	changedAt     map[foxtailwharf.FleetSubject]uint64
	upstreams     map[string]storedUpstream
	removed       map[string]uint64
	releases      map[string]storedRelease
}

// Copy returns a copy for Restore.
func (s *FleetStore) Copy() *StoreCopy {
	s.mu.Lock()
	defer s.mu.Unlock()
	return &StoreCopy{
		revision: s.revision, configuration: s.configuration, changedAt: maps.Clone(s.changedAt), upstreams: maps.Clone(s.upstreams),
		removed: maps.Clone(s.removed), releases: maps.Clone(s.releases),
	}
}

// Restore replaces the content with an older copy. What was written since is lost, and its revisions
// are given out again.
func (s *FleetStore) Restore(c *StoreCopy) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.era++
	s.compactedRevision = min(s.compactedRevision, c.revision)
	s.revision, s.configuration, s.changedAt = c.revision, c.configuration, maps.Clone(c.changedAt)
	s.upstreams, s.removed, s.releases = maps.Clone(c.upstreams), maps.Clone(c.removed), maps.Clone(c.releases)
	close(s.changed)
	s.changed = make(chan struct{})
}

// Compact discards the history up to now, so that Follow fails for older revisions.
func (s *FleetStore) Compact() {
	s.update(func(revision uint64) { s.compactedRevision = revision })
}

// SetUnavailable makes a view unavailable or available again.
func (s *FleetStore) SetUnavailable(view string, isUnavailable bool) {
	s.update(func(uint64) { s.unavailable[view] = isUnavailable })
}

// SetSilent makes a view ignore new calls, or answer again. A call that was made while the view was
// silent never gets an answer: it fails after its wait and silenceTimeout.
func (s *FleetStore) SetSilent(view string, isSilent bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.silent[view] = isSilent
}

// DropAnswer drops the answer to the next call of a view for a subject.
func (s *FleetStore) DropAnswer(view string, subject foxtailwharf.FleetSubject) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.dropped[droppedAnswer{view, subject}] = true
}

// isIgnored reports whether a call that is made now gets no answer.
func (v *storeView) isIgnored(subject foxtailwharf.FleetSubject) bool {
	v.s.mu.Lock()
	defer v.s.mu.Unlock()
	next := droppedAnswer{v.name, subject}
	isDropped := v.s.dropped[next]
	delete(v.s.dropped, next)
	return isDropped || v.s.silent[v.name]
}

// ignore blocks until the client's timeout. The error is that of a client which cancels its own
// call.
func (v *storeView) ignore(ctx context.Context, wait time.Duration) (foxtailwharf.FleetPage, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	timer := time.AfterFunc(wait+silenceTimeout, cancel)
	defer timer.Stop()
	<-ctx.Done()
	return foxtailwharf.FleetPage{}, ctx.Err()
}

// Calls returns the number of calls that a view has received, including those it failed.
func (s *FleetStore) Calls(view string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls[view]
}

// countCall counts a call to the view, whether it succeeds or not.
func (v *storeView) countCall() {
	v.s.mu.Lock()
	defer v.s.mu.Unlock()
	v.s.calls[v.name]++
}

// View returns the store as seen by one process. Views of the same name share their availability
// and their count of calls.
func (s *FleetStore) View(name string) foxtailwharf.FleetStore {
	return &storeView{s: s, name: name}
}

// storeView implements foxtailwharf.FleetStore for one process.
type storeView struct {
	s    *FleetStore
	name string
}

// Read returns the whole state of a subject.
func (v *storeView) Read(ctx context.Context, subject foxtailwharf.FleetSubject) (foxtailwharf.FleetPage, error) {
	v.countCall()
	if v.isIgnored(subject) {
		return v.ignore(ctx, 0)
	}
	v.s.mu.Lock()
	defer v.s.mu.Unlock()
	if v.s.unavailable[v.name] {
		return foxtailwharf.FleetPage{}, ErrStoreUnavailable
	}
	p, _ := v.s.pageSince(subject, 0)
	p.Gone = nil
	p.Revision |= v.s.era << foxtailwharf.EraShift
	return p, nil
}

// pageSince returns the changes after a revision and whether there are any. The lock must be held.
func (s *FleetStore) pageSince(subject foxtailwharf.FleetSubject, after uint64) (p foxtailwharf.FleetPage, isChanged bool) {
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
		for id, revision := range s.removed {
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

// Follow returns the changes after a revision. It waits until there are any, and returns an empty
// page once wait is over.
func (v *storeView) Follow(ctx context.Context, subject foxtailwharf.FleetSubject, after uint64, wait time.Duration) (foxtailwharf.FleetPage, error) {
	v.countCall()
	if v.isIgnored(subject) {
		return v.ignore(ctx, wait)
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	knownEra := after >> foxtailwharf.EraShift
	after &= 1<<foxtailwharf.EraShift - 1
	for {
		v.s.mu.Lock()
		if v.s.unavailable[v.name] {
			v.s.mu.Unlock()
			return foxtailwharf.FleetPage{}, ErrStoreUnavailable
		}
		era := v.s.era
		if after < v.s.compactedRevision || after > v.s.revision {
			v.s.mu.Unlock()
			if era != knownEra {
				return foxtailwharf.FleetPage{}, foxtailwharf.ErrStoreRestored
			}
			return foxtailwharf.FleetPage{}, foxtailwharf.ErrHistoryGone
		}
		p, isChanged := v.s.pageSince(subject, after)
		p.Revision |= era << foxtailwharf.EraShift
		changed := v.s.changed
		v.s.mu.Unlock()
		if isChanged {
			return answerOf(p, era, knownEra)
		}
		select {
		case <-changed:
		case <-timer.C:
			return answerOf(p, era, knownEra)
		case <-ctx.Done():
			return p, ctx.Err()
		}
	}
}
