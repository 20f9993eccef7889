package distributor

import (
	"slices"
	"time"

	"go.uber.org/zap"

	"github.com/foxtailwharf/foxtailwharf"
	"github.com/foxtailwharf/foxtailwharf/internal/process/follower"
	"github.com/foxtailwharf/foxtailwharf/internal/process/subsetter"
	"github.com/foxtailwharf/foxtailwharf/internal/request/balancer"
	"github.com/foxtailwharf/foxtailwharf/internal/version/timekeeper"
	"github.com/foxtailwharf/foxtailwharf/wire"
)

// Limits on releases.
const (
	// firstRelease is the version of a model for which no release has been named yet.
	firstRelease = 1
	// maxProofGap is the longest time between two proofs of the configuration at an entry that is in
	// contact with the store, itself or through others.
	maxProofGap = 4 * time.Second
	// catchUpTime is how long after such a gap an entry may hear of releases that were named in it.
	catchUpTime = time.Second
)

// updateFromView records the releases and agents of a new view of the store.
func (d *Distributor) updateFromView(v follower.View) {
	d.mu.Lock()
	defer d.mu.Unlock()
	agents := d.agents
	defer func() {
		if !slices.Equal(agents, d.agents) {
			d.notifySoon()
		}
	}()
	for _, r := range v.Releases {
		d.addRelease(r, !d.hasReleases || d.mayBeLate())
	}
	d.hasReleases = d.hasReleases || v.HasReleases
	d.agents, d.chosen, d.published = nil, nil, nil
	if v.Configuration == nil {
		return
	}
	for _, s := range v.Configuration.Services {
		if s.Engine != nil && v.HasReleases {
			d.addFirstRelease(s.Engine.Model)
		}
	}
	for _, u := range v.Upstreams {
		if v.Configuration.Services[u.Service].Engine != nil {
			d.agents = append(d.agents, u)
		}
	}
	d.published = publish(d.agents)
	d.chosen = subsetter.Choose(d.c.Settings.Name, d.c.Settings.FailureDomain, d.agents)
}

// chosenAgents returns the agents with which this entry exchanges messages. The slice must not be
// changed.
func (d *Distributor) chosenAgents() []foxtailwharf.Upstream {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.chosen
}

// recordProof records when the store was last heard. After a gap, releases may have been named in it.
func (d *Distributor) recordProof(v follower.View) {
	if !v.HasProof {
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.lastProof > 0 && v.ConfiguredAt-d.lastProof > maxProofGap {
		d.catchUpUntil = d.c.Clock() + catchUpTime
	}
	d.lastProof = max(d.lastProof, v.ConfiguredAt)
}

// mayBeLate reports whether releases that are heard of now may have been named long before. The
// caller must hold d.mu.
func (d *Distributor) mayBeLate() bool {
	now := d.c.Clock()
	return now < d.catchUpUntil || now-d.lastProof > maxProofGap
}

// addRelease notes a release that this entry has just heard of. isGuess is set if it may have been
// named long before. The caller must hold d.mu.
func (d *Distributor) addRelease(r foxtailwharf.Release, isGuess bool) {
	now := d.c.Clock()
	n := timekeeper.Named{Version: r.Version, At: now, IsGuess: isGuess}
	if !d.timekeeper.Add(now, r.Model, n) {
		return
	}
	d.logRelease(r.Model, n)
	d.notifySoon()
}

// addFirstRelease notes the first release of a model for which none has been named. The caller must hold
// d.mu.
func (d *Distributor) addFirstRelease(model string) {
	if _, isNamed := d.timekeeper.Newest(model); !isNamed {
		d.addRelease(foxtailwharf.Release{Model: model, Version: firstRelease}, true)
	}
}

// mergeReleases notes what another process knows of the releases of a model. A list that is received
// has to be whole: without the releases between two others, older weights would be used too long.
func (d *Distributor) mergeReleases(model string, list []timekeeper.Named) {
	d.mu.Lock()
	changed := d.timekeeper.Merge(d.c.Clock(), model, list)
	for _, n := range changed {
		d.logRelease(model, n)
	}
	if len(changed) > 0 {
		d.notifySoon()
	}
	d.mu.Unlock()
	if len(changed) > 0 {
		d.updateBalancer()
	}
}

// logRelease logs the time from which on this entry counts the switch to a release.
func (d *Distributor) logRelease(model string, n timekeeper.Named) {
	d.c.Log.Info("store: time of a release noted", zap.String("Model", model), zap.Int64("Version", n.Version),
		zap.Duration("Age", d.c.Clock()-n.At), zap.Bool("IsGuess", n.IsGuess))
}

// namedReleases returns what other processes have to know of the releases of a model, in ascending
// order; empty if it has none.
func (d *Distributor) namedReleases(now time.Duration, model string) []timekeeper.Named {
	d.mu.Lock()
	defer d.mu.Unlock()
	return slices.Clone(d.timekeeper.Named(now, model))
}

// allNamedReleases returns the same of all models as a message.
func (d *Distributor) allNamedReleases() (messages []wire.NamedRelease) {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.c.Clock()
	for _, model := range d.timekeeper.Models() {
		messages = append(messages, timekeeper.ToWire(now, model, d.timekeeper.Named(now, model))...)
	}
	return messages
}

// mergeAllReleases notes the releases of all models in a message that has just arrived.
func (d *Distributor) mergeAllReleases(messages []wire.NamedRelease) {
	arrived := d.c.Clock()
	byModel := make(map[string][]wire.NamedRelease)
	for _, m := range messages {
		byModel[m.Model] = append(byModel[m.Model], m)
	}
	for model, list := range byModel {
		d.mergeReleases(model, timekeeper.FromWire(arrived, list))
	}
}

// notifySoon makes the next notices to agents due.
func (d *Distributor) notifySoon() {
	select {
	case d.notifyNow <- struct{}{}:
	default:
	}
}

// updateBalancer puts the releases into effect. The times of the balancer come from a clock that
// stands still while the machine is suspended, so that this has to be repeated.
func (d *Distributor) updateBalancer() {
	c := d.follower.View().Configuration
	d.assigner.Update(func(b *balancer.Balancer) { d.setReleases(b, c) })
}

// setReleases sets in the balancer which weights may answer, and from when.
func (d *Distributor) setReleases(b *balancer.Balancer, c *foxtailwharf.Configuration) {
	if c == nil {
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	now, clock := time.Now(), d.c.Clock()
	for name, s := range c.Services {
		if s.Engine == nil {
			continue
		}
		for _, n := range d.timekeeper.Named(clock, s.Engine.Model) {
			namedAt := now.Add(n.At - clock)
			cutoffAt := namedAt.Add(d.c.Settings.Switch - switchMargin)
			startDeadline := namedAt.Add(d.c.Settings.Switch - dueMargin)
			if n.IsGuess {
				cutoffAt = namedAt.Add(timekeeper.GuessDelay)
				startDeadline = cutoffAt
			}
			b.SetRelease(name, n.Version, cutoffAt, startDeadline)
		}
	}
}
