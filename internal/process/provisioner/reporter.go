package provisioner

import (
	"context"
	"encoding/json"
	"net/netip"
	"time"

	"go.uber.org/zap"

	"github.com/foxtailwharf/foxtailwharf"
	"github.com/foxtailwharf/foxtailwharf/internal/connection/gauger"
	"github.com/foxtailwharf/foxtailwharf/wire"
)

// Constants of reports.
const (
	// lookInterval is the time between two looks at the engine.
	lookInterval = 100 * time.Millisecond
	// lookTime is how long the engine may take to say its state before it counts as down.
	lookTime = 400 * time.Millisecond
	// reportInterval is the longest time between two reports to an entry of the own failure
	// domain, and the usual time between two to the others, which send calls here only when
	// their own engines are full.
	reportInterval = 300 * time.Millisecond
	// seedInterval is the time between two questions to the seeds while no entry has sent a
	// notice.
	seedInterval = 200 * time.Millisecond
	// entriesInterval is the time between two reports that name the entries.
	entriesInterval = 2 * time.Second
	// entryLife is how long an entry gets reports after its last notice.
	entryLife = 4 * time.Second
)

// reporter looks at the engine and tells the entries.
type reporter struct {
	p        *Provisioner
	done     chan struct{}
	wake     chan struct{} // holds one
	state    foxtailwharf.EngineState
	isDown   bool
	sent     wire.FleetReport
	sentAt   time.Time // to entries of the own failure domain
	farAt    time.Time // to all
	listedAt time.Time
}

// run looks and tells until the context ends.
func (r *reporter) run(ctx context.Context) {
	defer close(r.done)
	ticker := time.NewTicker(lookInterval)
	defer ticker.Stop()
	for {
		r.look(ctx)
		r.tell()
		if !r.await(ctx, ticker.C) {
			return
		}
	}
}

// await blocks until the next look is due, and tells meanwhile what entries and the installer
// say; false where the context has ended.
func (r *reporter) await(ctx context.Context, due <-chan time.Time) bool {
	for {
		select {
		case <-due:
			return true
		case <-r.wake:
			r.tell()
		case <-ctx.Done():
			return false
		}
	}
}

// signal makes the reporter tell soon.
func (r *reporter) signal() {
	select {
	case r.wake <- struct{}{}:
	default:
	}
}

// look asks the engine for its state.
func (r *reporter) look(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, lookTime)
	defer cancel()
	state, err := r.p.c.Slot.State(ctx, "")
	isDown := err != nil
	if isDown != r.isDown {
		r.p.c.Log.Info("agent: The engine's state changed.", zap.Bool("Down", isDown), zap.Error(err))
	}
	r.isDown = isDown
	if err == nil {
		r.state = state
	}
	r.p.mu.Lock()
	r.p.load.Born, r.p.load.Weights = r.state.Born, r.state.Weights
	r.p.load.Running, r.p.load.Queued = r.state.Running, r.state.Queued
	r.p.load.IsDown = isDown
	r.p.load.Slowness = r.state.Slowness
	r.p.estimator.Look(time.Now(), r.state.Running+r.state.Queued)
	r.p.mu.Unlock()
}

// tell sends a report to all entries that have asked lately, if it says something new
// or the last one is old.
func (r *reporter) tell() {
	now := time.Now()
	report, near, far := r.report(now)
	if len(near)+len(far) == 0 {
		r.askSeeds(now, report)
		return
	}
	isFar := now.Sub(r.farAt) >= reportInterval || isUrgent(report, r.sent)
	if !isFar && isSame(report, r.sent) && now.Sub(r.sentAt) < reportInterval {
		return
	}
	r.sent, r.sentAt = report, now
	if now.Sub(r.listedAt) < entriesInterval || !isFar {
		report.Entries, report.Model, report.Release, report.ReleaseAgeMillis = nil, "", 0, 0
	} else {
		r.listedAt = now
	}
	for _, to := range near {
		r.p.notifier.Send(to, report)
	}
	if !isFar {
		return
	}
	r.farAt = now
	for _, to := range far {
		r.p.notifier.Send(to, report)
	}
}

// askSeeds makes itself known to entries by which the others are found.
func (r *reporter) askSeeds(now time.Time, report wire.FleetReport) {
	if now.Sub(r.sentAt) < seedInterval {
		return
	}
	r.sentAt = now
	report.Service = r.p.c.Settings.Service
	for _, seed := range r.p.c.Settings.Seeds {
		r.p.notifier.Send(r.p.c.Settings.Peers(seed.Addr()), report)
	}
}

// isUrgent reports whether an engine takes calls now and did not, or the reverse.
func isUrgent(a, b wire.FleetReport) bool {
	return a.IsLoading != b.IsLoading || a.IsDown != b.IsDown || a.Weights != b.Weights || a.BornMillis != b.BornMillis
}

// isSame reports whether two reports say the same of the engine.
func isSame(a, b wire.FleetReport) bool {
	return !isUrgent(a, b) && a.Running == b.Running && a.Queued == b.Queued && a.ReadingTokens == b.ReadingTokens && a.Digest == b.Digest
}

// report writes the report and returns the entries to send it to.
func (r *reporter) report(now time.Time) (report wire.FleetReport, near, far []netip.AddrPort) {
	p := r.p
	p.mu.Lock()
	defer p.mu.Unlock()
	report = wire.FleetReport{
		BornMillis:      p.load.Born.UnixMilli(),
		Weights:         p.load.Weights,
		Running:         p.load.Running,
		Queued:          p.load.Queued + p.estimator.Placed(),
		ReadingTokens:   int(p.estimator.Tokens(now)),
		Slowness:        p.load.Slowness,
		IsLoading:       p.load.IsLoading,
		IsDown:          p.load.IsDown,
		Digest:          p.digest,
		LinkDelayMillis: p.throttle(now).Milliseconds(),
		// Tells entries with an older list not to send it.
		ListRevision: p.revision,
	}
	if n := p.notice; n.release.Version > 0 && !n.isGuess {
		report.Model, report.Release = n.release.Model, n.release.Version
		report.ReleaseAgeMillis = now.Sub(n.named).Milliseconds()
	}
	byDomain := make(map[string][]string)
	for address, e := range p.entries {
		if now.Sub(e.heard) > entryLife {
			delete(p.entries, address)
			continue
		}
		if e.domain == p.c.Settings.FailureDomain {
			near = append(near, address)
		} else {
			far = append(far, address)
		}
		byDomain[e.domain] = append(byDomain[e.domain], address.String())
	}
	for name, members := range byDomain {
		report.Entries = append(report.Entries, wire.FleetDomain{Name: name, Members: members})
	}
	report.Listeners = len(near) + len(far)
	return report, near, far
}

// hearNotice takes in an entry's notice.
func (p *Provisioner) hearNotice(from netip.AddrPort, stamp gauger.Stamp, data []byte) {
	arrived := p.c.Clock()
	var n wire.FleetNotice
	if err := json.Unmarshal(data, &n); err != nil {
		p.c.Log.Debug("agent: A notice cannot be read.", zap.Stringer("From", from), zap.Error(err))
		return
	}
	now := time.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.gauger.Note(now, from.Addr(), stamp, arrived)
	if n.PlacedTokens > 0 {
		p.estimator.Place(now, n.PlacedTokens)
		p.reporter.signal()
		return
	}
	p.estimator.SetPace(now, float64(n.ReadPace))
	p.entries[from] = entry{heard: now, domain: n.Domain, delay: time.Duration(n.ReportDelayMillis) * time.Millisecond}
	if origin, err := netip.ParseAddrPort(n.Origin); err == nil {
		p.c.Origin.SetAddress(origin)
		p.originRegion = p.c.Settings.Regions[n.OriginDomain]
		p.originRate = n.OriginRate
	}
	p.hearRelease(n, now)
	if len(n.Domains) > 0 && n.Digest != p.digest && (n.ListRevision > p.revision || p.digest == "") {
		p.hearAgents(n)
	}
}

// hearRelease takes in a newer release, or an earlier naming of the same.
func (p *Provisioner) hearRelease(n wire.FleetNotice, now time.Time) {
	if n.Model == "" || n.Release < p.notice.release.Version {
		return
	}
	named := now.Add(-time.Duration(n.AgeMillis) * time.Millisecond)
	release := foxtailwharf.Release{Model: n.Model, Version: n.Release}
	if release == p.notice.release {
		if !n.IsGuess && (p.notice.isGuess || named.Before(p.notice.named)) {
			p.notice.named, p.notice.isGuess = named, false
		}
		return
	}
	p.notice = notice{release: release, named: named, isGuess: n.IsGuess}
	p.c.Log.Info("agent: A release is wanted.", zap.String("Model", n.Model), zap.Int64("Version", n.Release))
}

// hearAgents takes in the list of agents.
func (p *Provisioner) hearAgents(n wire.FleetNotice) {
	p.digest, p.revision = n.Digest, n.ListRevision
	p.agents = nil
	p.domain = nil
	for _, domain := range n.Domains {
		for _, text := range domain.Members {
			machine, err := netip.ParseAddr(text)
			if err != nil {
				p.c.Log.Warn("agent: A machine in the list cannot be read.", zap.String("Machine", text))
				continue
			}
			p.agents = append(p.agents, p.instance(machine, domain.Name))
			if domain.Name == p.c.Settings.FailureDomain {
				p.domain = append(p.domain, text)
			}
		}
	}
	p.c.Log.Info("agent: The list of agents changed.", zap.Int("Agents", len(p.agents)))
}
