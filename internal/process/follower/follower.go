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

	"go.uber.org/zap"

	"github.com/foxtailwharf/foxtailwharf"
)

// Constants of following.
const (
	// configurationWait is the wait for a new configuration. Each answer is the proof
	// that the view is fresh as of its question, so that a proof is up to two waits old: a
	// part of the time within which keys that were taken away must stop working. A connection
	// that went silent shows here first, and then the other subjects ask again, so that their
	// waits may be long.
	configurationWait = 1200 * time.Millisecond
	// listWait and releaseWait are the waits for other changes.
	listWait    = 8 * time.Second
	releaseWait = 10 * time.Second
	// probeWait is the wait while the store was out of reach.
	probeWait = 20 * time.Millisecond
	// listPause is the pause between two changes of the list, so that many changes at
	// once cost one call.
	listPause = 900 * time.Millisecond
	// releasePause is the same for releases, which are rare and urgent.
	releasePause = 100 * time.Millisecond
	// configurationPause is the same for configurations.
	configurationPause = 150 * time.Millisecond
	// firstFailurePause is the pause after a call that failed; it doubles with each failure
	// after, up to maxDoublings times.
	firstFailurePause = 250 * time.Millisecond
	maxDoublings      = 4
	// maxFailurePause bounds it for configurations, and so the time after an outage until the
	// store is found back; otherFailurePause for the other subjects, which are woken then.
	maxFailurePause   = 500 * time.Millisecond
	otherFailurePause = 2 * time.Second
	// reliefPause is the time between two looks at whether another entry still tells.
	reliefPause = 100 * time.Millisecond
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
	// IsRelieved reports whether another entry tells what the store says, so that this one
	// need not ask it; nil for never.
	IsRelieved func() bool
	// Process names this process to others; it is drawn at its start.
	Process uint64
	Log     *zap.Logger
}

// Follower keeps the view.
type Follower struct {
	c    Config
	done []chan struct{}

	mu        sync.Mutex
	view      View
	changed   chan struct{} // closed with the next new view
	upstreams map[string]foxtailwharf.Upstream
	changedAt map[string]uint64                                // sequence of the last change, by ID
	goneAt    map[string]uint64                                // the same for upstreams that are gone
	goneFloor uint64                                           // sequence up to which those that are gone are not remembered
	found     chan struct{}                                    // closed when the store is found back
	base      Position                                         // of the entry whose list this one has; zero if it is the store's
	releases  map[string]foxtailwharf.Release                  // by model
	lingering map[string]time.Duration                         // until when, by ID, entries count that lapsed in an outage
	returned  time.Duration                                    // end of the last outage, by the clock; 0 for none
	calls     map[foxtailwharf.FleetSubject]context.CancelFunc // in progress
}

// New returns a follower that knows nothing.
func New(c Config) *Follower {
	return &Follower{
		c:         c,
		changed:   make(chan struct{}),
		found:     make(chan struct{}),
		upstreams: make(map[string]foxtailwharf.Upstream),
		changedAt: make(map[string]uint64),
		goneAt:    make(map[string]uint64),
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

// Changed returns a channel that is closed with the next new view.
func (f *Follower) Changed() <-chan struct{} {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.changed
}

// Base returns the position of another entry up to which this one has its list.
func (f *Follower) Base() Position {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.base
}

func (f *Follower) isRelieved() bool {
	return f.c.IsRelieved != nil && f.c.IsRelieved()
}

// revision returns the store's revision up to which a subject is known.
func (f *Follower) revision(subject foxtailwharf.FleetSubject) uint64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return *f.view.Revisions.of(subject)
}

// await pauses until the time is over or the store is found back.
func (f *Follower) await(ctx context.Context, pause time.Duration) {
	f.mu.Lock()
	found := f.found
	f.mu.Unlock()
	timer := time.NewTimer(pause)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-found:
	case <-ctx.Done():
	}
}

// back notes that the store answers again, and ends the calls of other subjects.
func (f *Follower) back(name foxtailwharf.FleetSubject, now time.Duration, isOutage bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if isOutage {
		f.returned = now
	}
	close(f.found)
	f.found = make(chan struct{})
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
		f.base = Position{}
	case foxtailwharf.SubjectReleases:
		f.takeReleases(p.Releases)
		f.view.HasReleases = true
	}
	*f.view.Revisions.of(subject) = p.Revision
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
	close(f.changed)
	f.changed = make(chan struct{})
	f.c.Changed(f.view)
}

// Hear takes in what another entry tells.
func (f *Follower) Hear(w Word) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if w.HasProof && w.Configuration != nil {
		f.takeConfiguration(w.Configuration, w.ConfiguredAt)
	}
	if w.HasProof && f.view.Version() == w.Version {
		f.confirm(w.ConfiguredAt)
		f.view.Revisions.Configuration = max(f.view.Revisions.Configuration, w.Revisions.Configuration)
	}
	if w.HasList && (w.Revisions.Upstreams > f.view.Revisions.Upstreams || (w.IsRelied && w.Revisions.Upstreams == f.view.Revisions.Upstreams)) {
		f.takeUpstreams(foxtailwharf.FleetPage{Upstreams: w.Upstreams, Gone: w.Gone}, w.IsWhole)
		f.view.Revisions.Upstreams = w.Revisions.Upstreams
		f.base = w.Position
	}
	f.takeReleases(w.Releases)
	if w.IsRelied {
		f.view.Revisions.Releases = max(f.view.Revisions.Releases, w.Revisions.Releases)
		f.view.HasReleases = f.view.HasReleases || w.Revisions.Releases > 0
	}
	f.publish()
}

// Confirm notes that the configuration of this version was surely the newest at a
// moment by the own clock.
func (f *Follower) Confirm(version int64, at time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if version > 0 && f.view.Version() == version && f.confirm(at) {
		f.c.Changed(f.view)
	}
}

// confirm notes a proof for the configuration in force; false for one that is no newer.
func (f *Follower) confirm(at time.Duration) bool {
	if f.view.HasProof && at <= f.view.ConfiguredAt {
		return false
	}
	f.view.ConfiguredAt, f.view.HasProof = at, true
	return true
}
