package provisioner

import (
	"context"
	"net/netip"
	"slices"
	"time"

	"go.uber.org/zap"

	"github.com/foxtailwharf/foxtailwharf"
	"github.com/foxtailwharf/foxtailwharf/internal/connection/notifier"
	"github.com/foxtailwharf/foxtailwharf/wire"
)

const (
	// pollInterval is the time between two requests for the engine's state.
	pollInterval = 100 * time.Millisecond
	// pollTimeout is how long the engine may take to return its state before it counts as down.
	pollTimeout = 400 * time.Millisecond
	// reportInterval is the longest time between two reports to an entry of the same failure
	// domain. Entries of other domains usually get reports at this interval, because they send
	// calls here only when the engines of their own domain are full.
	reportInterval = 300 * time.Millisecond
	// seedInterval is the time between two reports to the seeds while no entry has sent a notice.
	seedInterval = 200 * time.Millisecond
	// entriesInterval is the time between two reports that list the entries, to entries of the
	// same failure domain. Others get the list at farEntriesInterval: they know it from the agents
	// of their own domain, unless there are none.
	entriesInterval    = 2 * time.Second
	farEntriesInterval = 6 * time.Second
	// entryTTL is how long an entry gets reports after its last notice, and standbyTTL how long one does that
	// sends notices every few seconds.
	entryTTL   = 4 * time.Second
	standbyTTL = 8 * time.Second
)

// reporter polls the engine's state and reports it to the entries. Its fields, other than done and
// wake, belong to the goroutine of run.
type reporter struct {
	p          *Provisioner
	done       chan struct{}
	wake       chan struct{} // capacity 1
	state      foxtailwharf.EngineState
	isDown     bool
	sent       wire.FleetReport
	nearSentAt time.Time // last report to entries of the same failure domain
	farSentAt  time.Time // last report to all entries but those on standby
	// The lists of the last report, whose memory is used again.
	to        audience
	receivers []listener
	groups    []group
}

// run polls and reports until the context ends.
func (r *reporter) run(ctx context.Context) {
	defer close(r.done)
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	for {
		r.poll(ctx)
		r.sendReports()
		if !r.waitForPoll(ctx, ticker.C) {
			return
		}
	}
}

// waitForPoll blocks until the next poll is due, sending reports when signalled. It returns false
// when the context has ended.
func (r *reporter) waitForPoll(ctx context.Context, due <-chan time.Time) bool {
	for {
		select {
		case <-due:
			return true
		case <-r.wake:
			r.sendReports()
		case <-ctx.Done():
			return false
		}
	}
}

// signal makes the reporter send a report soon. It does not block.
func (r *reporter) signal() {
	select {
	case r.wake <- struct{}{}:
	default:
	}
}

// poll reads the engine's state and updates the load to report.
func (r *reporter) poll(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, pollTimeout)
	defer cancel()
	state, err := r.p.c.Slot.State(ctx, "")
	isDown := err != nil
	if isDown != r.isDown {
		r.p.c.Log.Info("agent: engine state changed", zap.Bool("Down", isDown), zap.Error(err))
	}
	r.isDown = isDown
	if err == nil {
		r.state = state
	}
	r.p.mu.Lock()
	r.p.load.Born, r.p.load.Weights = r.state.Born, r.state.Weights
	r.p.load.Running, r.p.load.Queued = r.state.Running, r.state.Queued
	r.p.load.IsDown, r.p.load.IsSilent = isDown, isDown && ctx.Err() != nil
	r.p.load.Slowness = r.state.Slowness
	r.p.estimator.Observe(time.Now(), r.state.Running+r.state.Queued)
	r.p.mu.Unlock()
}

// sendReports sends a report to the entries that are due one: those of the same failure domain
// after any change and at least every reportInterval, the others after an urgent change and
// otherwise every reportInterval, those on standby after an urgent change or a notice.
func (r *reporter) sendReports() {
	now := time.Now()
	report, to := r.report(now)
	r.askForAgents(report)
	if to.count() == 0 {
		r.reportToSeeds(now, report)
		return
	}
	isUrgent := isUrgent(report, r.sent)
	isFar := now.Sub(r.farSentAt) >= reportInterval || isUrgent
	isNear := isFar || !isSame(report, r.sent) || now.Sub(r.nearSentAt) >= reportInterval
	receivers := appendDue(r.receivers[:0], to.standby, isUrgent)
	receivers = appendDue(receivers, to.far, isFar)
	if isFar {
		r.farSentAt = now
	}
	if isNear {
		r.sent, r.nearSentAt = report, now
		receivers = append(receivers, to.near...)
	}
	r.receivers = receivers
	r.send(now, report, receivers)
}

// appendDue appends the listeners that have to get a report now, or all, to a list.
func appendDue(list, listeners []listener, areAll bool) []listener {
	for _, l := range listeners {
		if areAll || l.isDue {
			list = append(list, l)
		}
	}
	return list
}

// Kinds of reports in the metrics.
const (
	kindReport  = "Report"
	kindAsk     = "Ask"         // a report that asks for the list of agents
	kindEntries = "Entries"     // a report with the list of the entries
	kindDigest  = "Digest"      // a report with the digest of that list
	kindSeed    = "FirstReport" // to a seed, whose failure domain is unknown
)

// listener is an entry that gets reports.
type listener struct {
	address    netip.AddrPort
	isFar      bool // it is in another region
	isDue      bool // it has to get a report now
	wantsList  bool // it has to get the list of the entries, or its digest
	heldDigest string
}

// audience holds the entries that get reports.
type audience struct {
	near    []listener // of the same failure domain
	far     []listener // of others
	standby []listener // of others, and do not need calls run here at present
}

func (a audience) count() int {
	return len(a.near) + len(a.far) + len(a.standby)
}

// content is what a report to an entry contains beside the state of the engine.
type content struct {
	kind  string
	isFar bool
}

// group holds the entries that get the same report.
type group struct {
	content   content
	addresses []netip.AddrPort
}

// addTo adds an entry to the group of a content.
func (r *reporter) addTo(c content, address netip.AddrPort) {
	i := slices.IndexFunc(r.groups, func(g group) bool { return g.content == c })
	if i < 0 {
		i = len(r.groups)
		r.groups = append(r.groups, group{content: c})
	}
	r.groups[i].addresses = append(r.groups[i].addresses, address)
}

// send sends a report to entries. It is encoded once for all that get the same.
func (r *reporter) send(now time.Time, report wire.FleetReport, to []listener) {
	for i := range r.groups {
		r.groups[i].addresses = r.groups[i].addresses[:0]
	}
	for _, l := range to {
		c := content{kind: kindReport, isFar: l.isFar}
		if l.wantsList {
			c.kind = kindEntries
			if l.heldDigest == r.p.listedEntries(now).digest {
				c.kind = kindDigest
			}
		}
		r.addTo(c, l.address)
	}
	for _, g := range r.groups {
		if len(g.addresses) == 0 {
			continue
		}
		kind := g.content.kind
		r.p.notifier.Send(notifier.Kind{Name: kind, IsFar: g.content.isFar}, r.contents(now, report, kind), g.addresses...)
		if kind != kindReport {
			r.p.noteListed(now, g.addresses)
		}
	}
}

// contents returns the report with what one of this kind contains.
func (r *reporter) contents(now time.Time, report wire.FleetReport, kind string) wire.FleetReport {
	if kind == kindReport {
		return shortened(report)
	}
	list := r.p.listedEntries(now)
	report.EntriesDigest = list.digest
	if kind == kindEntries {
		report.Entries = list.domains
	}
	return report
}

// askForAgents sends the question for the list of agents that is due.
func (r *reporter) askForAgents(report wire.FleetReport) {
	asked := r.p.takeAsked()
	if !asked.IsValid() {
		return
	}
	report = shortened(report)
	report.Service, report.Domain, report.WantsAgents = r.p.c.Settings.Service, r.p.c.Settings.FailureDomain, true
	r.p.notifier.Send(notifier.Kind{Name: kindAsk}, report, asked)
}

// shortened returns the report without the entries and the release, which rarely change.
func shortened(report wire.FleetReport) wire.FleetReport {
	report.Entries, report.Model, report.Release, report.ReleaseAgeMillis = nil, "", 0, 0
	report.Earlier, report.HasEarlier = nil, false
	return report
}

// reportToSeeds sends a report to the seed entries, so that this agent becomes known to the
// entries.
func (r *reporter) reportToSeeds(now time.Time, report wire.FleetReport) {
	if now.Sub(r.nearSentAt) < seedInterval {
		return
	}
	r.nearSentAt = now
	report.Service = r.p.c.Settings.Service
	for _, seed := range r.p.c.Settings.Seeds {
		r.p.notifier.Send(notifier.Kind{Name: kindSeed, IsFar: true}, report, r.p.c.Settings.PeerAddress(seed.Addr()))
	}
}

// isUrgent reports whether the reports differ in a way that affects whether the engine can take
// calls.
func isUrgent(a, b wire.FleetReport) bool {
	return a.IsLoading != b.IsLoading || a.IsDown != b.IsDown || a.IsSilent != b.IsSilent || a.Weights != b.Weights || a.BornMillis != b.BornMillis
}

// isSame reports whether two reports agree on the engine's state, its load, whether it is to load weights and the
// list of agents.
func isSame(a, b wire.FleetReport) bool {
	return !isUrgent(a, b) && (a.LoadInMillis > 0) == (b.LoadInMillis > 0) && a.Running == b.Running && a.Queued == b.Queued && a.ReadingTokens == b.ReadingTokens && a.Digest == b.Digest
}

// report builds the report and returns the entries that get reports. It forgets entries whose notices are too old. The
// lists are valid until the next call.
func (r *reporter) report(now time.Time) (report wire.FleetReport, to audience) {
	p := r.p
	p.mu.Lock()
	defer p.mu.Unlock()
	report = wire.FleetReport{
		BornMillis:      p.load.Born.UnixMilli(),
		Weights:         p.load.Weights,
		Running:         p.load.Running,
		Queued:          p.load.Queued + p.estimator.Unobserved(),
		ReadingTokens:   int(p.estimator.Tokens(now)),
		Slowness:        p.load.Slowness,
		IsLoading:       p.load.IsLoading,
		LoadInMillis:    p.loadIn(now).Milliseconds(),
		IsDown:          p.load.IsDown,
		IsSilent:        p.load.IsSilent,
		Digest:          p.digest,
		LinkDelayMillis: p.adjustTransfers(now).Milliseconds(),
		// An entry with an older list does not send it to this agent.
		ListRevision: p.revision,
	}
	p.addReleases(&report)
	to = audience{near: r.to.near[:0], far: r.to.far[:0], standby: r.to.standby[:0]}
	for address, e := range p.entries {
		if now.Sub(e.lastNotice) > e.lifetime() {
			delete(p.entries, address)
			continue
		}
		isNear := e.domain == p.c.Settings.FailureDomain
		l := listener{address: address, isFar: p.c.Settings.IsFar(e.domain), isDue: e.isDue, heldDigest: e.heldDigest}
		l.wantsList = now.Sub(e.listedAt) >= listInterval(isNear)
		if e.isDue {
			e.isDue = false
			p.entries[address] = e
		}
		switch {
		case isNear:
			to.near = append(to.near, l)
		case e.isStandby:
			to.standby = append(to.standby, l)
		default:
			to.far = append(to.far, l)
		}
	}
	// Entries on standby send calls here only after their next notice.
	report.Listeners = len(to.near) + len(to.far)
	r.to = to
	return report, to
}
