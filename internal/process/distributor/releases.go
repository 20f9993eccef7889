package distributor

import (
	"slices"
	"time"

	"github.com/foxtailwharf/foxtailwharf"
	"github.com/foxtailwharf/foxtailwharf/internal/process/follower"
	"github.com/foxtailwharf/foxtailwharf/internal/process/mesher"
	"github.com/foxtailwharf/foxtailwharf/internal/request/balancer"
)

// Constants of releases.
const (
	// firstRelease is the version of a model that no release has named yet.
	firstRelease = 1
	// unknownTime is how long an entry that has just started lets older weights answer
	// where it does not know when a release was named. Agents tell it soon.
	unknownTime = 2500 * time.Millisecond
	// maxNamed is the number of releases of a model that are remembered: many may be named
	// within the time of one switch.
	maxNamed = 64
)

// named is a release with the moment at which any entry first heard of it.
type named struct {
	version int64
	at      time.Time
	// isGuess says that the moment is not known: the release was there before the entry.
	isGuess bool
}

// note takes the releases and the agents from a new view of the store.
func (d *Distributor) note(v follower.View) {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := time.Now()
	agents := d.agents
	defer func() {
		if !slices.Equal(agents, d.agents) {
			d.tellSoon()
		}
	}()
	for _, r := range v.Releases {
		d.noteRelease(r, named{version: r.Version, at: now, isGuess: !d.hasReleases})
	}
	d.hasReleases = d.hasReleases || v.HasReleases
	d.agents, d.chosen = nil, nil
	if v.Configuration == nil {
		return
	}
	for _, s := range v.Configuration.Services {
		if s.Engine != nil && v.HasReleases {
			d.noteRelease(foxtailwharf.Release{Model: s.Engine.Model, Version: firstRelease}, named{version: firstRelease, at: now, isGuess: true})
		}
	}
	for _, u := range v.Upstreams {
		if v.Configuration.Services[u.Service].Engine != nil {
			d.agents = append(d.agents, u)
		}
	}
	d.chosen = mesher.Choose(d.c.Settings.Name, d.c.Settings.FailureDomain, d.agents)
}

// chosenAgents returns the agents with which this entry exchanges messages.
func (d *Distributor) chosenAgents() []foxtailwharf.Upstream {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.chosen
}

// noteRelease takes in a release that is newer than those known.
func (d *Distributor) noteRelease(r foxtailwharf.Release, n named) {
	list := d.named[r.Model]
	if len(list) > 0 && list[len(list)-1].version >= r.Version {
		return
	}
	list = append(list, n)
	if len(list) > maxNamed {
		// The oldest is forgotten, and the one after it counts from when that was named.
		if list[0].at.Before(list[1].at) {
			list[1].at = list[0].at
		}
		list = slices.Delete(list, 0, 1)
	}
	d.named[r.Model] = list
	d.tellSoon()
}

// tellSoon makes the next notices to agents due.
func (d *Distributor) tellSoon() {
	select {
	case d.news <- struct{}{}:
	default:
	}
}

// newest returns the newest release of a model.
func (d *Distributor) newest(model string) (n named, isNamed bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	list := d.named[model]
	if len(list) == 0 {
		return n, false
	}
	return list[len(list)-1], true
}

// hearAge takes in an agent's word on how long ago a release was first heard of.
func (d *Distributor) hearAge(model string, version int64, age time.Duration) {
	at := time.Now().Add(-age)
	d.mu.Lock()
	defer d.mu.Unlock()
	list := d.named[model]
	for i := range list {
		if list[i].version == version && (list[i].isGuess || at.Before(list[i].at)) {
			list[i].at, list[i].isGuess = at, false
		}
	}
}

// setReleases tells the balancer which weights may answer.
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
			mustAt := n.at.Add(d.c.Settings.Switch - switchMargin)
			dueAt := n.at.Add(d.c.Settings.Switch - dueMargin)
			if n.isGuess {
				mustAt = n.at.Add(unknownTime)
				dueAt = mustAt
			}
			b.SetRelease(name, n.version, mustAt, dueAt)
		}
	}
}
