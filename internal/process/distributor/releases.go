package distributor

import (
	"slices"
	"time"

	"go.uber.org/zap"

	"github.com/foxtailwharf/foxtailwharf"
	"github.com/foxtailwharf/foxtailwharf/internal/process/follower"
	"github.com/foxtailwharf/foxtailwharf/internal/process/subsetter"
	"github.com/foxtailwharf/foxtailwharf/internal/request/balancer"
)

// Limits on releases.
const (
	// firstRelease is the version of a model for which no release has been named yet.
	firstRelease = 1
	// unknownReleaseDelay is how long an entry that has just started accepts answers of older
	// weights if it does not know when a release was named. Agents report that soon.
	unknownReleaseDelay = 2500 * time.Millisecond
	// maxNamed is the number of releases remembered for a model. Many may be named within the
	// time of one switch.
	maxNamed = 64
)

// named is a release and the time at which any entry first heard of it.
type named struct {
	version int64
	at      time.Time
	// isGuess is set if the time is unknown because the release was named before the entry started.
	isGuess bool
}

// updateFromView records the releases and agents of a new view of the store.
func (d *Distributor) updateFromView(v follower.View) {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := time.Now()
	agents := d.agents
	defer func() {
		if !slices.Equal(agents, d.agents) {
			d.notifySoon()
		}
	}()
	for _, r := range v.Releases {
		d.addRelease(r, named{version: r.Version, at: now, isGuess: !d.hasReleases})
	}
	d.hasReleases = d.hasReleases || v.HasReleases
	d.agents, d.chosen = nil, nil
	if v.Configuration == nil {
		return
	}
	for _, s := range v.Configuration.Services {
		if s.Engine != nil && v.HasReleases {
			d.addRelease(foxtailwharf.Release{Model: s.Engine.Model, Version: firstRelease}, named{version: firstRelease, at: now, isGuess: true})
		}
	}
	for _, u := range v.Upstreams {
		if v.Configuration.Services[u.Service].Engine != nil {
			d.agents = append(d.agents, u)
		}
	}
	d.chosen = subsetter.Choose(d.c.Settings.Name, d.c.Settings.FailureDomain, d.agents)
}

// chosenAgents returns the agents with which this entry exchanges messages. The slice must not be
// changed.
func (d *Distributor) chosenAgents() []foxtailwharf.Upstream {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.chosen
}

// addRelease records a release if it is newer than the known ones. The caller must hold d.mu.
func (d *Distributor) addRelease(r foxtailwharf.Release, n named) {
	list := d.named[r.Model]
	if len(list) > 0 && list[len(list)-1].version >= r.Version {
		return
	}
	list = append(list, n)
	if len(list) > maxNamed {
		// The oldest is dropped, and the next one takes over its time if that is earlier.
		if list[0].at.Before(list[1].at) {
			list[1].at = list[0].at
		}
		list = slices.Delete(list, 0, 1)
	}
	d.named[r.Model] = list
	d.logRelease(r.Model, n)
	d.notifySoon()
}

// logRelease logs the time from which on this entry counts the switch to a release.
func (d *Distributor) logRelease(model string, n named) {
	d.c.Log.Info("store: time of a release noted", zap.String("Model", model), zap.Int64("Version", n.version),
		zap.Duration("Age", time.Since(n.at)), zap.Bool("IsGuess", n.isGuess))
}

// notifySoon makes the next notices to agents due.
func (d *Distributor) notifySoon() {
	select {
	case d.notifyNow <- struct{}{}:
	default:
	}
}

// newestRelease returns the newest release of a model; isNamed is false if there is none.
func (d *Distributor) newestRelease(model string) (n named, isNamed bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	list := d.named[model]
	if len(list) == 0 {
		return n, false
	}
	return list[len(list)-1], true
}

// updateReleaseTime records an agent's report of how long ago a release was first heard of. The
// earliest time counts.
func (d *Distributor) updateReleaseTime(model string, version int64, age time.Duration) {
	at := time.Now().Add(-age)
	d.mu.Lock()
	defer d.mu.Unlock()
	list := d.named[model]
	for i := range list {
		if list[i].version == version && (list[i].isGuess || at.Before(list[i].at)) {
			list[i].at, list[i].isGuess = at, false
			d.logRelease(model, list[i])
		}
	}
}

// setReleases sets in the balancer which weights may answer, and from when.
func (d *Distributor) setReleases(b *balancer.Balancer, c *foxtailwharf.Configuration) {
	if c == nil {
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	for name, s := range c.Services {
		if s.Engine == nil {
			continue
		}
		for _, n := range d.named[s.Engine.Model] {
			cutoffAt := n.at.Add(d.c.Settings.Switch - switchMargin)
			startDeadline := n.at.Add(d.c.Settings.Switch - dueMargin)
			if n.isGuess {
				cutoffAt = n.at.Add(unknownReleaseDelay)
				startDeadline = cutoffAt
			}
			b.SetRelease(name, n.version, cutoffAt, startDeadline)
		}
	}
}
