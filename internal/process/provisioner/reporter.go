package provisioner

import (
	"context"
	"encoding/json"
	"net/netip"
	"slices"
	"time"

	"go.uber.org/zap"

	"github.com/foxtailwharf/foxtailwharf"
	"github.com/foxtailwharf/foxtailwharf/wire"
)

// Constants of reports.
const (
	// lookInterval is the time between two looks at the engine.
	lookInterval = 100 * time.Millisecond
	// lookTime is how long the engine may take to say its state before it counts as down.
	lookTime = 400 * time.Millisecond
	// reportInterval is the longest time between two reports.
	reportInterval = 300 * time.Millisecond
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
	sentAt   time.Time
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
		select {
		case <-ticker.C:
		case <-r.wake:
		case <-ctx.Done():
			return
		}
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
	r.p.mu.Unlock()
}

// tell sends a report to all entries that have asked lately, if it says something new
// or the last one is old.
func (r *reporter) tell() {
	now := time.Now()
	report, entries := r.report(now)
	isNew := !slices.Equal(report.Entries, r.sent.Entries) || !isSame(report, r.sent)
	if !isNew && now.Sub(r.sentAt) < reportInterval {
		return
	}
	r.sent, r.sentAt = report, now
	if now.Sub(r.listedAt) < entriesInterval {
		report.Entries = nil
	} else {
		r.listedAt = now
	}
	for _, to := range entries {
		r.p.notifier.Send(to, report)
	}
}

// isSame reports whether two reports say the same of the engine.
func isSame(a, b wire.FleetReport) bool {
	a.Entries, b.Entries = nil, nil
	return a.BornMillis == b.BornMillis && a.Weights == b.Weights && a.Running == b.Running && a.Queued == b.Queued &&
		a.IsLoading == b.IsLoading && a.IsDown == b.IsDown && a.Digest == b.Digest
}

// report writes the report and returns the entries to send it to.
func (r *reporter) report(now time.Time) (wire.FleetReport, []netip.AddrPort) {
	p := r.p
	p.mu.Lock()
	defer p.mu.Unlock()
	report := wire.FleetReport{
		Upstream:   p.c.Settings.Upstream.String(),
		BornMillis: p.load.Born.UnixMilli(),
		Weights:    p.load.Weights,
		Running:    p.load.Running,
		Queued:     p.load.Queued,
		IsLoading:  p.load.IsLoading,
		IsDown:     p.load.IsDown,
		Digest:     p.digest,
	}
	var entries []netip.AddrPort
	for address, heard := range p.entries {
		if now.Sub(heard) > entryLife {
			delete(p.entries, address)
			continue
		}
		entries = append(entries, address)
		report.Entries = append(report.Entries, address.String())
	}
	slices.Sort(report.Entries)
	return report, entries
}

// hearNotice takes in an entry's notice.
func (p *Provisioner) hearNotice(from netip.AddrPort, data []byte) {
	var n wire.FleetNotice
	if err := json.Unmarshal(data, &n); err != nil {
		p.c.Log.Debug("agent: A notice cannot be read.", zap.Stringer("From", from), zap.Error(err))
		return
	}
	now := time.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.entries[from] = now
	if origin, err := netip.ParseAddrPort(n.Origin); err == nil {
		p.c.Origin.SetAddress(origin)
	}
	p.hearRelease(n, now)
	if len(n.Domains) > 0 && n.Digest != p.digest {
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
		if named.Before(p.notice.named) {
			p.notice.named = named
		}
		return
	}
	p.notice = notice{release: release, named: named}
	p.c.Log.Info("agent: A release is wanted.", zap.String("Model", n.Model), zap.Int64("Version", n.Release))
}

// hearAgents takes in the list of agents.
func (p *Provisioner) hearAgents(n wire.FleetNotice) {
	p.digest = n.Digest
	p.agents = nil
	p.domain = nil
	for _, domain := range n.Domains {
		for _, text := range domain.Agents {
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
