// Package follower keeps an entry's view of the platform's store: the configuration, the list of
// upstreams and the releases. For the configuration it also keeps a proof: the latest time at
// which that version was certainly the newest. While the store is unreachable, other entries'
// state counts together with its age. A configuration is never replaced by an older version.
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

// Timeouts and pauses of the store's long polls.
const (
	// configurationWait is how long a long poll for a new configuration may last. Each answer
	// proves that the view is current as of its request, so that a proof may be up to two waits
	// old, which is part of the time within which revoked keys must stop working. A connection
	// that has gone silent is detected here first, and the other subjects then repeat their
	// requests, so that their waits may be long.
	configurationWait = 1200 * time.Millisecond
	// listWait and releaseWait are the same for upstreams and releases.
	listWait    = 8 * time.Second
	releaseWait = 10 * time.Second
	// unansweredLimit is how long a long poll of these two may stay without an answer once the
	// answer for another subject shows that the store has changed since: the change may be of its
	// subject, and its answer lost.
	unansweredLimit = 3 * time.Second
	// probeWait replaces these waits while the store is unreachable.
	probeWait = 20 * time.Millisecond
	// listPause is the pause after a change of the list, so that many changes at once cost one
	// call.
	listPause = 900 * time.Millisecond
	// releasePause is the same for releases, which are rare and urgent.
	releasePause = 100 * time.Millisecond
	// configurationPause is the same for configurations.
	configurationPause = 150 * time.Millisecond
	// firstFailurePause is the backoff after the first failed call. It doubles with each further
	// failure, up to maxDoublings times.
	firstFailurePause = 250 * time.Millisecond
	maxDoublings      = 6
	// maxFailurePause limits the backoff for configurations, and so the time until a reachable
	// store is noticed. otherFailurePause is the limit for the other subjects, which are woken
	// when that happens.
	maxFailurePause   = 500 * time.Millisecond
	otherFailurePause = 2 * time.Second
	// longListPause is the same for a list that is too long: reading so much again is of use only once
	// somebody has shortened it.
	longListPause = 16 * time.Second
	// delegationCheckInterval is the time between two checks whether another entry still reads
	// the store for this one.
	delegationCheckInterval = 100 * time.Millisecond
	// minOutage is how long the store must have been unreachable for upstreams that are missing
	// afterwards to get a grace period.
	minOutage = 1500 * time.Millisecond
	// gracePeriod is how long upstreams whose records expired during an outage have to return.
	// The users agreed to this time.
	gracePeriod = 2 * time.Second
	// rewritePeriod is the same for what operators have written and an older copy of the store lacks.
	rewritePeriod = 2 * time.Second
)

// Clock returns a monotonic time with an arbitrary start that also advances while the machine is
// suspended.
type Clock func() time.Duration

// Config holds the dependencies of a Follower.
type Config struct {
	Store foxtailwharf.FleetStore
	Clock Clock
	// OnChange is called with each new view. The follower's lock is held, so that it must not
	// call the follower.
	OnChange func(View)
	// IsDelegated reports whether another entry reads the store for this one, so that this one
	// need not; nil for never.
	IsDelegated func() bool
	// Process identifies this process to other entries; it is drawn at random at its start.
	Process uint64
	Log     *zap.Logger
}

// Follower keeps the view current. It is safe for concurrent use.
type Follower struct {
	c    Config
	done []chan struct{}

	mu             sync.Mutex
	view           View
	listedSequence uint64        // sequence of the list in the view
	changed        chan struct{} // closed when the view changes
	upstreams      map[string]foxtailwharf.Upstream
	changedAt      map[string]uint64                         // sequence of the last change, by ID
	goneAt         map[string]uint64                         // sequence of the removal, by ID
	goneFloor      uint64                                    // removals up to this sequence are no longer known
	reachable      chan struct{}                             // closed when the store answers again, or no other entry reads it any more
	base           Position                                  // position of the entry from which the list was taken; zero if from the store
	releases       map[string][]foxtailwharf.Release         // by model, in ascending order of version
	graceUntil     map[string]time.Duration                  // end of the grace period, by ID of the upstream
	outageEnd      time.Duration                             // end of the last outage, by the clock; 0 for none
	calls          map[foxtailwharf.FleetSubject]pendingCall // in progress
	newest         int64                                     // version of the configuration that other entries know
	restores       int                                       // how often the store has come back from an older copy
	goneRuns       map[string]goneRun                        // removed upstreams, by ID
	held           map[string]heldUpstream                   // by ID
	leaving        map[string]time.Time                      // starts of runs that are leaving, as other entries have reported, by ID
}

// New returns a follower with an empty view. Start begins to fill it.
func New(c Config) *Follower {
	return &Follower{
		c:          c,
		changed:    make(chan struct{}),
		reachable:  make(chan struct{}),
		upstreams:  make(map[string]foxtailwharf.Upstream),
		changedAt:  make(map[string]uint64),
		goneAt:     make(map[string]uint64),
		releases:   make(map[string][]foxtailwharf.Release),
		graceUntil: make(map[string]time.Duration),
		calls:      make(map[foxtailwharf.FleetSubject]pendingCall),
		goneRuns:   make(map[string]goneRun),
		held:       make(map[string]heldUpstream),
		leaving:    make(map[string]time.Time),
	}
}

// Start begins to follow all subjects until ctx ends. Wait waits for the end.
func (f *Follower) Start(ctx context.Context) {
	pollers := []subjectPoller{
		{name: foxtailwharf.SubjectConfiguration, wait: configurationWait, pause: configurationPause},
		{name: foxtailwharf.SubjectUpstreams, wait: listWait, pause: listPause},
		{name: foxtailwharf.SubjectReleases, wait: releaseWait, pause: releasePause},
	}
	for _, s := range pollers {
		s.f = f
		s.done = make(chan struct{})
		f.done = append(f.done, s.done)
		go s.run(ctx)
	}
}

// Wait blocks until the goroutines begun by Start have ended.
func (f *Follower) Wait() {
	for _, done := range f.done {
		<-done
	}
}

// View returns the current view. It must not be changed.
func (f *Follower) View() View {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.view
}

// Changed returns a channel that is closed when the view changes next.
func (f *Follower) Changed() <-chan struct{} {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.changed
}

// Base returns the position of the other entry from which the list was taken. It is zero if the
// list is from the store.
func (f *Follower) Base() Position {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.base
}

func (f *Follower) isDelegated() bool {
	return f.c.IsDelegated != nil && f.c.IsDelegated()
}

// position returns the store revision up to which a subject is known, and how often the store has come
// back from an older copy.
func (f *Follower) position(subject foxtailwharf.FleetSubject) (revision uint64, restores int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return *f.view.Revisions.of(subject), f.restores
}

// noteRestore records that the store has come back from an older copy, and ends the calls of the other
// subjects, so that they read theirs again. The copy may lack a configuration that was acknowledged and that no
// entry has seen, so that it proves nothing until operators have written theirs again.
func (f *Follower) noteRestore(name foxtailwharf.FleetSubject) {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.c.Clock()
	f.c.Log.Info("store: came back from an older copy; reading all subjects again", zap.String("Subject", string(name)))
	f.restore(now, now+rewritePeriod)
	for other, call := range f.calls {
		if other != name {
			call.cancel(errRepeat)
		}
	}
}

// learnRestore records that another entry has noticed a restore, which this one cannot notice any more once it has
// the revisions of the other one. It may know of that restore already. The lock must be held.
func (f *Follower) learnRestore(provesFrom time.Duration) {
	now := f.c.Clock()
	switch {
	case provesFrom <= now:
	case now < f.view.ProvesFrom:
		f.view.ProvesFrom = max(f.view.ProvesFrom, min(provesFrom, now+rewritePeriod))
	default:
		f.c.Log.Info("store: another entry says that it came back from an older copy")
		f.restore(now, min(provesFrom, now+rewritePeriod))
	}
}

// restore records a restore. The lock must be held.
func (f *Follower) restore(now, provesFrom time.Duration) {
	f.restores++
	f.view.ProvesFrom = provesFrom
	f.outageEnd = now // upstreams that are newer than the copy have to register again
}

// waitReachable blocks for the pause, or until the store answers again, no other entry reads it any more, or ctx ends.
func (f *Follower) waitReachable(ctx context.Context, pause time.Duration) {
	f.mu.Lock()
	reachable := f.reachable
	f.mu.Unlock()
	timer := time.NewTimer(pause)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-reachable:
	case <-ctx.Done():
	}
}

// EndDelegation makes the follower look at once whether another entry still reads the store for this one.
func (f *Follower) EndDelegation() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.wakePollers()
}

// wakePollers ends the pauses of all subjects. The lock must be held.
func (f *Follower) wakePollers() {
	close(f.reachable)
	f.reachable = make(chan struct{})
}

// setReachable records that the store answers again. It wakes the other subjects and ends their
// calls, so that they are repeated.
func (f *Follower) setReachable(name foxtailwharf.FleetSubject, now time.Duration, isOutage bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if isOutage {
		f.outageEnd = now
	}
	f.wakePollers()
	for other, call := range f.calls {
		if other != name {
			call.cancel(errRepeat)
		}
	}
}

// repeatUnanswered ends the long polls of other subjects that are unanswered for longer than
// unansweredLimit although the store has advanced to a later revision, so that they are repeated.
// The lock must be held.
func (f *Follower) repeatUnanswered(name foxtailwharf.FleetSubject, revision uint64) {
	now := f.c.Clock()
	for other, call := range f.calls {
		if other != name && !call.isWhole && now-call.begun > unansweredLimit && *f.view.Revisions.of(other) < revision {
			call.cancel(errRepeat)
		}
	}
}

// apply merges a page of the store into the view.
func (f *Follower) apply(subject foxtailwharf.FleetSubject, p foxtailwharf.FleetPage, isWhole bool, asked time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	switch subject {
	case foxtailwharf.SubjectConfiguration:
		if f.takeConfiguration(p.Configuration) && asked >= f.view.ProvesFrom {
			f.confirm(asked)
		}
	case foxtailwharf.SubjectUpstreams:
		f.applyUpstreams(p, isWhole)
		f.base = Position{}
	case foxtailwharf.SubjectReleases:
		f.applyReleases(p.Releases)
		f.view.HasReleases = true
	}
	*f.view.Revisions.of(subject) = p.Revision
	f.repeatUnanswered(subject, p.Revision)
	f.publish()
}

// takeConfiguration takes over a newer configuration. It reports whether there is one, and none in force is newer than c.
func (f *Follower) takeConfiguration(c *foxtailwharf.Configuration) bool {
	if c != nil && (f.view.Configuration == nil || c.Version > f.view.Configuration.Version) {
		f.view.Configuration = c
		f.c.Log.Info("store: new configuration in force", zap.Int64("Version", c.Version), zap.Int("Routes", len(c.Routes)))
	}
	return f.view.Configuration != nil && (c == nil || c.Version >= f.view.Configuration.Version)
}

// maxReleases is the number of releases kept for a model. The newest is not enough: each replaces the
// releases before it at a time of its own.
const maxReleases = 16

func (f *Follower) applyReleases(releases []foxtailwharf.Release) {
	for _, r := range releases {
		known := f.releases[r.Model]
		if len(known) > 0 && r.Version <= known[len(known)-1].Version {
			continue
		}
		known = append(known, r)
		f.releases[r.Model] = known[max(len(known)-maxReleases, 0):]
		f.c.Log.Info("store: new release of a model named", zap.String("Model", r.Model), zap.Int64("Version", r.Version))
	}
}

// publish updates the view's lists, wakes those that wait for a change, and calls OnChange.
func (f *Follower) publish() {
	f.expireGrace(f.c.Clock())
	f.releaseHeld(f.c.Clock())
	if f.listedSequence != f.view.Sequence {
		f.listedSequence = f.view.Sequence
		f.view.Upstreams = make([]foxtailwharf.Upstream, 0, len(f.upstreams))
		for _, id := range slices.Sorted(maps.Keys(f.upstreams)) {
			f.view.Upstreams = append(f.view.Upstreams, f.upstreams[id])
		}
	}
	f.view.Releases = make([]foxtailwharf.Release, 0, len(f.releases))
	for _, model := range slices.Sorted(maps.Keys(f.releases)) {
		f.view.Releases = append(f.view.Releases, f.releases[model]...)
	}
	f.wakeWaiters()
	f.c.OnChange(f.view)
}

// wakeWaiters wakes those that wait for a change. The lock must be held.
func (f *Follower) wakeWaiters() {
	close(f.changed)
	f.changed = make(chan struct{})
}

// Merge merges the state that another entry reports into the view.
func (f *Follower) Merge(s PeerState) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.learnRestore(s.ProvesFrom)
	if s.HasProof && s.Configuration != nil {
		f.takeConfiguration(s.Configuration)
	}
	if s.HasProof && f.view.Version() == s.Version {
		f.confirm(s.ConfiguredAt)
		f.view.Revisions.Configuration = max(f.view.Revisions.Configuration, s.Revisions.Configuration)
	}
	if s.HasList && (s.Revisions.Upstreams > f.view.Revisions.Upstreams || (s.IsFromSource && s.Revisions.Upstreams == f.view.Revisions.Upstreams)) {
		f.mergeUpstreams(s)
		f.view.Revisions.Upstreams = s.Revisions.Upstreams
		f.base = s.Position
	}
	f.applyReleases(s.Releases)
	if s.IsFromSource {
		f.view.Revisions.Releases = max(f.view.Revisions.Releases, s.Revisions.Releases)
		f.view.HasReleases = f.view.HasReleases || s.Revisions.Releases > 0
	}
	f.publish()
}
