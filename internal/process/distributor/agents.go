package distributor

import (
	"context"
	"net/netip"
	"time"

	"go.uber.org/zap"

	"github.com/foxtailwharf/foxtailwharf"
	"github.com/foxtailwharf/foxtailwharf/internal/connection/delayestimator"
	"github.com/foxtailwharf/foxtailwharf/internal/connection/notifier"
	"github.com/foxtailwharf/foxtailwharf/internal/process/follower"
	"github.com/foxtailwharf/foxtailwharf/internal/process/grouper"
	"github.com/foxtailwharf/foxtailwharf/internal/request/balancer"
	"github.com/foxtailwharf/foxtailwharf/internal/version/timekeeper"
	"github.com/foxtailwharf/foxtailwharf/wire"
)

// Timing of messages to and from agents.
const (
	// noticeInterval is the time between two notices to an agent. A notice also asks the
	// agent to keep reporting.
	noticeInterval = time.Second
	// urgentInterval replaces noticeInterval while a release has just been named, and while
	// the entry has no configuration or no agents.
	urgentInterval = 150 * time.Millisecond
	// urgentPeriod is how long a release counts as just named.
	urgentPeriod = 500 * time.Millisecond
	// entryTTL is how long another entry counts after an agent or an entry last listed it.
	entryTTL = 10 * time.Second
	// expiryInterval is the time between two searches for entries that nobody lists any more.
	expiryInterval = 500 * time.Millisecond
)

// agentNotifier sends agents the state that they need and asks them for reports.
type agentNotifier struct {
	d    *Distributor
	done chan struct{}
}

func (n *agentNotifier) run(ctx context.Context) {
	defer close(n.done)
	for {
		timer := time.NewTimer(n.d.notify())
		select {
		case <-timer.C:
		case <-n.d.notifyNow:
			timer.Stop()
		case <-ctx.Done():
			timer.Stop()
			return
		}
	}
}

func (n *agentNotifier) ended() <-chan struct{} {
	return n.done
}

// notify sends a notice to each chosen agent and returns the time until the next round.
func (d *Distributor) notify() time.Duration {
	v := d.follower.View()
	d.mu.Lock()
	published, chosen := d.published, byService(d.chosen)
	d.mu.Unlock()
	if v.Configuration == nil || len(published) == 0 {
		return urgentInterval
	}
	d.updateBalancer()
	interval := noticeInterval
	far := d.farRound(time.Now(), v)
	for service, list := range published {
		if v.Configuration.Services[service].Engine == nil {
			continue // the view is newer than the list
		}
		notice := d.notice(v, service)
		notice.Digest = list.digest
		if notice.Release > 0 && notice.AgeMillis < urgentPeriod.Milliseconds() {
			interval = urgentInterval
		}
		for _, u := range chosen[service] {
			switch {
			case u.FailureDomain == d.c.Settings.FailureDomain:
				d.sendNotice(u, notice, list.domains)
			case far.isDue:
				notice := notice
				notice.IsStandby = far.isStandby
				d.sendNotice(u, notice, nil)
			}
		}
	}
	return interval
}

// Kinds of datagrams to agents in the metrics.
const (
	kindNotice = "Notice"
	kindAgents = "Agents" // a notice with the list of agents
	kindCall   = "Call"
	kindFirst  = "FirstNotice" // to an agent whose failure domain is unknown
)

// kind returns the kind of a message to a failure domain.
func (d *Distributor) kind(name, domain string) notifier.Kind {
	return notifier.Kind{Name: name, IsFar: d.c.Settings.IsFar(domain)}
}

func byService(agents []foxtailwharf.Upstream) map[string][]foxtailwharf.Upstream {
	lists := make(map[string][]foxtailwharf.Upstream)
	for _, u := range agents {
		lists[u.Service] = append(lists[u.Service], u)
	}
	return lists
}

// notice builds the notice for the agents of a service.
func (d *Distributor) notice(v follower.View, service string) wire.FleetNotice {
	c := v.Configuration
	model := c.Services[service].Engine.Model
	notice := wire.FleetNotice{
		Service: service, Model: model, Domain: d.c.Settings.FailureDomain, ListRevision: v.Revisions.Upstreams,
		ReadPace: int(c.Services[service].Engine.ReadPace()),
	}
	if origin, exists := c.OriginOf(service); exists {
		notice.Origin = origin.Origin.String()
		notice.OriginDomain = origin.OriginDomain
		notice.OriginRate = origin.OriginRate
	}
	now := d.c.Clock()
	if named := d.namedReleases(now, model); len(named) > 0 {
		messages := timekeeper.ToWire(now, "", named)
		newest := messages[len(messages)-1]
		notice.Release, notice.AgeMillis, notice.IsGuess = newest.Version, newest.AgeMillis, newest.IsGuess
		notice.Earlier, notice.HasEarlier = messages[:len(messages)-1], true
	}
	return notice
}

// notifyCall tells an agent about a call that is being sent to its engine. It is sent at once,
// apart from the regular notices.
func (d *Distributor) notifyCall(u foxtailwharf.Upstream, tokens int) {
	d.notifier.Send(d.kind(kindCall, u.FailureDomain), wire.FleetNotice{PlacedTokens: max(tokens, 1)}, d.c.Settings.PeerAddress(u.Address.Addr()))
}

// publishedList is the list of a service's agents. Each agent gets a part of it, and the digest of the whole.
type publishedList struct {
	domains []wire.FleetDomain
	digest  string
}

// publish returns the lists of the agents of all services.
func publish(agents []foxtailwharf.Upstream) map[string]publishedList {
	lists := make(map[string]publishedList)
	for service, list := range byService(agents) {
		domains := domainsOf(list)
		lists[service] = publishedList{domains: domains, digest: grouper.Digest(domains)}
	}
	return lists
}

// domainsOf lists the agents that are not draining, by failure domain.
func domainsOf(list []foxtailwharf.Upstream) (domains []wire.FleetDomain) {
	byName := make(map[string][]string)
	for _, u := range list {
		if !u.IsDraining {
			byName[u.FailureDomain] = append(byName[u.FailureDomain], u.Address.Addr().String())
		}
	}
	return grouper.List(byName)
}

// agentList identifies the list of agents that an agent last reported to have.
type agentList struct {
	digest   string
	revision uint64 // store revision of the list
}

// reportedEntries is the list of entries that an agent last reported.
type reportedEntries struct {
	digest string
	list   []listedEntry
}

// reportedDigest returns the digest of the list of entries that an agent last reported; empty for none.
func (d *Distributor) reportedDigest(agent netip.Addr) string {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.reported[agent].digest
}

// updateReported returns the entries that a report lists, or those of the same digest that its agent listed before.
func (d *Distributor) updateReported(from netip.Addr, report wire.FleetReport) []listedEntry {
	list := entriesOf(report.Entries)
	d.mu.Lock()
	defer d.mu.Unlock()
	if len(list) > 0 {
		d.reported[from] = reportedEntries{digest: report.EntriesDigest, list: list}
		return list
	}
	if last := d.reported[from]; report.EntriesDigest != "" && last.digest == report.EntriesDigest {
		return last.list
	}
	return nil
}

// pushDelay is how long an agent may have another list of agents before it gets one that it has not asked for.
const pushDelay = 2 * time.Second

// sendNotice sends a notice to an agent. An agent that lacks the list of agents asks for it. Only one that has
// not done so for pushDelay gets it from the entries of its own failure domain.
func (d *Distributor) sendNotice(u foxtailwharf.Upstream, notice wire.FleetNotice, domains []wire.FleetDomain) {
	now := time.Now()
	held, delay := d.listAndDelay(now, u.Address.Addr())
	kind := kindNotice
	notice.ReportDelayMillis = delay.Milliseconds()
	isNear := u.FailureDomain == d.c.Settings.FailureDomain
	isLacking := isNear && held.digest != notice.Digest && held.revision <= notice.ListRevision
	if d.hasLackedFor(now, u.Address.Addr(), isLacking) >= pushDelay {
		notice.Domains = grouper.Bound(domains, u.FailureDomain)
		kind = kindAgents
	}
	notice.EntriesDigest = d.reportedDigest(u.Address.Addr())
	d.notifier.Send(d.kind(kind, u.FailureDomain), notice, d.c.Settings.PeerAddress(u.Address.Addr()))
}

// hasLackedFor returns how long an agent has lacked the list of agents, and records whether it does now.
func (d *Distributor) hasLackedFor(now time.Time, agent netip.Addr, isLacking bool) time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	if !isLacking {
		delete(d.lackingSince, agent)
		return 0
	}
	since, isKnown := d.lackingSince[agent]
	if !isKnown {
		d.lackingSince[agent] = now
		return 0
	}
	return now.Sub(since)
}

// listAndDelay returns the list that an agent has and the delay of its reports.
func (d *Distributor) listAndDelay(now time.Time, address netip.Addr) (agentList, time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.lists[address], d.reportDelay(now, address)
}

// reportDelay returns how long an agent's reports are delayed beyond the delay that all senders
// have in common, which is that of this machine's own link. It is 0 if unknown. The caller must
// hold d.mu.
func (d *Distributor) reportDelay(now time.Time, address netip.Addr) time.Duration {
	delay, isKnown := d.delayestimator.SenderDelay(now, address)
	if !isKnown {
		return 0
	}
	return max(delay-d.delayestimator.LocalDelay(now), 0)
}

// handleReport processes an agent's report.
func (d *Distributor) handleReport(from netip.AddrPort, stamp delayestimator.Stamp, data []byte) {
	arrived := d.c.Clock()
	report, err := decodeReport(data)
	if err != nil {
		d.c.Log.Debug("entry: cannot decode an agent report", zap.Stringer("From", from), zap.Error(err))
		return
	}
	now := time.Now()
	d.mu.Lock()
	d.delayestimator.Observe(now, from.Addr(), stamp, arrived)
	delay := d.reportDelay(now, from.Addr())
	d.mu.Unlock()
	d.updateLink(from.Addr(), delay, time.Duration(report.LinkDelayMillis)*time.Millisecond)
	d.assigner.Report(from.Addr(), foxtailwharf.UpstreamLoad{
		Born:                time.UnixMilli(report.BornMillis),
		Weights:             report.Weights,
		Running:             report.Running,
		Queued:              report.Queued,
		IsLoading:           report.IsLoading,
		LoadIn:              time.Duration(report.LoadInMillis) * time.Millisecond,
		IsDown:              report.IsDown,
		IsSilent:            report.IsSilent,
		Listeners:           report.Listeners,
		PendingPromptTokens: float64(report.ReadingTokens),
		Slowness:            report.Slowness,
		LinkDelay:           delay + time.Duration(report.LinkDelayMillis)*time.Millisecond,
	})
	d.mu.Lock()
	d.lists[from.Addr()] = agentList{digest: report.Digest, revision: report.ListRevision}
	d.mu.Unlock()
	d.answerReport(from, report)
	d.handleEntries(d.updateReported(from.Addr(), report))
	if report.Release > 0 {
		newest := wire.NamedRelease{Version: report.Release, AgeMillis: report.ReleaseAgeMillis}
		d.mergeReleases(report.Model, timekeeper.FromList(arrived, newest, report.Earlier, report.HasEarlier))
	}
}

// updateLink records whether a machine's link is saturated and logs each change.
func (d *Distributor) updateLink(machine netip.Addr, from, to time.Duration) {
	isFull := from+to >= balancer.CongestedLinkDelay
	d.mu.Lock()
	wasFull := d.fullLinks[machine]
	if isFull {
		d.fullLinks[machine] = true
	} else {
		delete(d.fullLinks, machine)
	}
	d.mu.Unlock()
	if isFull != wasFull {
		d.c.Log.Info("entry: saturation of a machine link changed", zap.Stringer("Machine", machine), zap.Bool("Full", isFull),
			zap.Duration("WaitFrom", from), zap.Duration("WaitTo", to))
	}
}

// answerReport answers a report of an agent that asks for the list of agents, or that has just started and has
// none yet. The store may not list the upstream of the latter yet.
func (d *Distributor) answerReport(to netip.AddrPort, report wire.FleetReport) {
	v := d.follower.View()
	isStarting := report.Service != "" && report.Digest == ""
	if !isStarting && !report.WantsAgents {
		return
	}
	if v.Configuration == nil || v.Configuration.Services[report.Service].Engine == nil {
		return
	}
	d.mu.Lock()
	list := d.published[report.Service]
	d.mu.Unlock()
	notice := d.notice(v, report.Service)
	notice.Digest = list.digest
	if report.WantsAgents {
		notice.Domains = grouper.Bound(list.domains, report.Domain)
		d.notifier.Send(d.kind(kindAgents, report.Domain), notice, to)
		return
	}
	d.notifier.Send(notifier.Kind{Name: kindFirst, IsFar: true}, notice, to)
}
