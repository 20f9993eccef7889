// Package follower keeps an entry's view of the platform's store: the configuration,
// the list of upstreams and the releases, each with the moment for which it is surely
// the newest. Another entry's word counts with its age where the store is not to be
// had. A configuration never goes back to an older version.
package follower

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"github.com/foxtailwharf/foxtailwharf"
	"github.com/foxtailwharf/foxtailwharf/internal/process/pauser"
)

// Constants of following.
const (
	// configurationWait is the wait for a new configuration. Each answer is the proof
	// that the view is fresh, so it is a part of the time within which keys that were
	// taken away must stop working. A connection that went silent shows here first, and
	// then the other subjects ask again, so that their waits may be long.
	configurationWait = 1800 * time.Millisecond
	// listWait and releaseWait are the waits for other changes.
	listWait    = 8 * time.Second
	releaseWait = 10 * time.Second
	// listPause is the pause between two changes of the list, so that many changes at
	// once cost one call.
	listPause = 900 * time.Millisecond
	// releasePause is the same for releases, which are rare and urgent.
	releasePause = 100 * time.Millisecond
	// configurationPause is the same for configurations.
	configurationPause = 150 * time.Millisecond
	// failurePause is the pause after a call that failed.
	failurePause = 250 * time.Millisecond
	// outage is how long the store must have been out of reach for entries that are
	// missing after it to be given time to come back.
	outage = 1500 * time.Millisecond
	// returnTime is the time that entries which lapsed in an outage have to come back,
	// by the users' word.
	returnTime = 2 * time.Second
)

// Clock returns a time that also counts while the machine is suspended, from an
// arbitrary start.
type Clock func() time.Duration

// Config holds the settings of a Follower.
type Config struct {
	Store foxtailwharf.FleetStore
	Clock Clock
	// Changed is told each new view.
	Changed func(View)
	Log     *zap.Logger
}

// View is what is known of the store. It must not be changed.
type View struct {
	Configuration *foxtailwharf.Configuration // nil before the first
	Upstreams     []foxtailwharf.Upstream     // by ID
	Releases      []foxtailwharf.Release
	// ConfiguredAt is the moment, by the clock, for which the configuration was surely the
	// newest. It counts where HasProof is set.
	ConfiguredAt time.Duration
	HasProof     bool
	// ListRevision is the store's revision up to which Upstreams is complete; 0 before the
	// first list. Two lists are told apart by it and not by their ages: a watch that has
	// just been sent knows less than one that has just been answered.
	ListRevision uint64
	// IsLost says that the store does not tell this process of configurations.
	IsLost      bool
	HasReleases bool // the releases have been read
}

// Follower keeps the view.
type Follower struct {
	c    Config
	done []chan struct{}

	mu        sync.Mutex
	view      View
	upstreams map[string]foxtailwharf.Upstream
	releases  map[string]foxtailwharf.Release                  // by model
	lingering map[string]time.Duration                         // until when, by ID, entries count that lapsed in an outage
	returned  time.Duration                                    // end of the last outage, by the clock; 0 for none
	calls     map[foxtailwharf.FleetSubject]context.CancelFunc // in progress
}

// New returns a follower that knows nothing.
func New(c Config) *Follower {
	return &Follower{
		c:         c,
		upstreams: make(map[string]foxtailwharf.Upstream),
		releases:  make(map[string]foxtailwharf.Release),
		lingering: make(map[string]time.Duration),
		calls:     make(map[foxtailwharf.FleetSubject]context.CancelFunc),
	}
}

// Start begins to follow all subjects; it ends with the context.
func (f *Follower) Start(ctx context.Context) {
	subjects := []subject{
		{name: foxtailwharf.SubjectConfiguration, wait: configurationWait, pause: configurationPause},
		{name: foxtailwharf.SubjectUpstreams, wait: listWait, pause: listPause},
		{name: foxtailwharf.SubjectReleases, wait: releaseWait, pause: releasePause},
	}
	for _, s := range subjects {
		s.f = f
		s.done = make(chan struct{})
		f.done = append(f.done, s.done)
		go s.run(ctx)
	}
}

// Wait blocks until all following has ended.
func (f *Follower) Wait() {
	for _, done := range f.done {
		<-done
	}
}

// View returns what is known.
func (f *Follower) View() View {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.view
}

// subject follows one subject.
type subject struct {
	f        *Follower
	name     foxtailwharf.FleetSubject
	wait     time.Duration
	pause    time.Duration
	revision uint64 // 0 while everything has to be read
	done     chan struct{}
	heard    time.Duration // last answer, by the clock
	isLost   bool
}

func (s *subject) run(ctx context.Context) {
	defer close(s.done)
	s.heard = s.f.c.Clock()
	for ctx.Err() == nil {
		if err := s.step(ctx); err != nil && ctx.Err() == nil {
			s.failed(err)
			pauser.Sleep(ctx, failurePause)
		}
	}
}

// step makes one call to the store and takes in what it says.
func (s *subject) step(ctx context.Context) error {
	asked := s.f.c.Clock()
	isWhole := s.revision == 0
	p, err := s.call(ctx, isWhole)
	if errors.Is(err, foxtailwharf.ErrHistoryGone) {
		s.f.c.Log.Info("store: The history is gone; everything is read anew.", zap.String("Subject", string(s.name)))
		s.revision = 0
		return nil
	}
	if errors.Is(err, context.Canceled) && ctx.Err() == nil {
		// Another subject found the store back in reach; this one asks again at once.
		return nil
	}
	if err != nil {
		return err
	}
	s.answered()
	isChanged := p.Configuration != nil || len(p.Upstreams)+len(p.Gone)+len(p.Releases) > 0
	s.revision = p.Revision
	s.f.take(s.name, p, isWhole, asked)
	if isChanged && !isWhole {
		pauser.Sleep(ctx, s.pause)
	}
	return nil
}

// call makes one call, which ends early if another subject finds the store back in reach:
// the connection may have gone silent in the outage.
func (s *subject) call(ctx context.Context, isWhole bool) (foxtailwharf.FleetPage, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	s.f.mu.Lock()
	s.f.calls[s.name] = cancel
	s.f.mu.Unlock()
	if isWhole {
		return s.f.c.Store.Read(ctx, s.name)
	}
	return s.f.c.Store.Follow(ctx, s.name, s.revision, s.wait)
}

// failed notes a call that got no answer. A watch that was cut may have missed nothing,
// so that the revision stays.
func (s *subject) failed(err error) {
	if !s.isLost {
		s.f.c.Log.Warn("store: It is out of reach.", zap.String("Subject", string(s.name)), zap.Error(err))
	}
	s.isLost = true
	s.setLost(true)
}

// setLost notes whether the store tells of configurations.
func (s *subject) setLost(isLost bool) {
	if s.name != foxtailwharf.SubjectConfiguration {
		return
	}
	s.f.mu.Lock()
	defer s.f.mu.Unlock()
	s.f.view.IsLost = isLost
}

// answered notes an answer, which may end an outage.
func (s *subject) answered() {
	now := s.f.c.Clock()
	if s.isLost {
		s.f.c.Log.Info("store: It is back in reach.", zap.String("Subject", string(s.name)), zap.Duration("After", now-s.heard))
		s.f.back(s.name, now, now-s.heard > outage)
	}
	s.isLost = false
	s.setLost(false)
	s.heard = now
}

// back notes that the store answers again, and ends the calls of other subjects.
func (f *Follower) back(name foxtailwharf.FleetSubject, now time.Duration, isOutage bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if isOutage {
		f.returned = now
	}
	for other, cancel := range f.calls {
		if other != name {
			cancel()
		}
	}
}

// take works a page into the view.
func (f *Follower) take(subject foxtailwharf.FleetSubject, p foxtailwharf.FleetPage, isWhole bool, asked time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	switch subject {
	case foxtailwharf.SubjectConfiguration:
		f.takeConfiguration(p.Configuration, asked)
	case foxtailwharf.SubjectUpstreams:
		f.takeUpstreams(p, isWhole)
		f.view.ListRevision = p.Revision
	case foxtailwharf.SubjectReleases:
		f.takeReleases(p.Releases)
		f.view.HasReleases = true
	}
	f.publish()
}

// takeConfiguration takes in a newer configuration, and the proof that the one in force
// was the newest at a moment.
func (f *Follower) takeConfiguration(c *foxtailwharf.Configuration, asked time.Duration) {
	if c != nil && (f.view.Configuration == nil || c.Version > f.view.Configuration.Version) {
		f.view.Configuration = c
		f.c.Log.Info("store: A new configuration is in force.", zap.Int64("Version", c.Version), zap.Int("Routes", len(c.Routes)))
	}
	if f.view.Configuration == nil || (c != nil && c.Version < f.view.Configuration.Version) {
		return
	}
	if !f.view.HasProof || asked > f.view.ConfiguredAt {
		f.view.ConfiguredAt, f.view.HasProof = asked, true
	}
}

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
		f.upstreams[u.ID] = u
		delete(f.lingering, u.ID)
	}
}

// expire drops the upstreams whose time to come back has passed.
func (f *Follower) expire(now time.Duration) {
	for id, until := range f.lingering {
		if now >= until {
			f.c.Log.Info("store: An upstream has not come back.", zap.String("Upstream", id))
			delete(f.upstreams, id)
			delete(f.lingering, id)
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
		delete(f.upstreams, id)
	}
}

func (f *Follower) takeReleases(releases []foxtailwharf.Release) {
	for _, r := range releases {
		if r.Version > f.releases[r.Model].Version {
			f.releases[r.Model] = r
			f.c.Log.Info("store: New weights are named.", zap.String("Model", r.Model), zap.Int64("Version", r.Version))
		}
	}
}

// publish makes the view anew from what is known.
func (f *Follower) publish() {
	f.expire(f.c.Clock())
	f.view.Upstreams = make([]foxtailwharf.Upstream, 0, len(f.upstreams))
	for _, id := range slices.Sorted(maps.Keys(f.upstreams)) {
		f.view.Upstreams = append(f.view.Upstreams, f.upstreams[id])
	}
	f.view.Releases = make([]foxtailwharf.Release, 0, len(f.releases))
	for _, model := range slices.Sorted(maps.Keys(f.releases)) {
		f.view.Releases = append(f.view.Releases, f.releases[model])
	}
	f.c.Changed(f.view)
}

// Hear takes in another entry's view, whose moments are already by the own clock.
func (f *Follower) Hear(v View) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if v.HasProof && v.Configuration != nil {
		f.takeConfiguration(v.Configuration, v.ConfiguredAt)
	}
	if v.ListRevision > f.view.ListRevision {
		f.takeUpstreams(foxtailwharf.FleetPage{Upstreams: v.Upstreams}, true)
		f.view.ListRevision = v.ListRevision
	}
	f.takeReleases(v.Releases)
	f.publish()
}

// Confirm notes that the configuration of this version was surely the newest at a
// moment by the own clock.
func (f *Follower) Confirm(version int64, at time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.view.Configuration != nil && f.view.Configuration.Version == version && (!f.view.HasProof || at > f.view.ConfiguredAt) {
		f.view.ConfiguredAt, f.view.HasProof = at, true
		f.c.Changed(f.view)
	}
}
