package distributor

import (
	"context"
	"encoding/json"
	"net/netip"
	"slices"
	"strings"
	"time"

	"go.uber.org/zap"

	"github.com/foxtailwharf/foxtailwharf"
	"github.com/foxtailwharf/foxtailwharf/internal/connection/gauger"
	"github.com/foxtailwharf/foxtailwharf/internal/process/follower"
	"github.com/foxtailwharf/foxtailwharf/internal/request/balancer"
	"github.com/foxtailwharf/foxtailwharf/wire"
)

// Constants of messages to and from agents.
const (
	// noticeInterval is the time between two notices to an agent, which also ask it to
	// go on reporting.
	noticeInterval = time.Second
	// urgentInterval is the same while a release has just been named.
	urgentInterval = 150 * time.Millisecond
	// urgentTime is how long a release counts as just named.
	urgentTime = 500 * time.Millisecond
	// entryLife is how long another entry counts after an agent last named it.
	entryLife = 10 * time.Second
)

// caller calls on the agents: it tells them what they need to know and asks for reports.
type caller struct {
	d    *Distributor
	done chan struct{}
}

func (c *caller) run(ctx context.Context) {
	defer close(c.done)
	for {
		timer := time.NewTimer(c.d.notify())
		select {
		case <-timer.C:
		case <-c.d.news:
			timer.Stop()
		case <-ctx.Done():
			timer.Stop()
			return
		}
	}
}

func (c *caller) ended() <-chan struct{} {
	return c.done
}

// notify sends a notice to each agent and returns the time until the next.
func (d *Distributor) notify() time.Duration {
	v := d.follower.View()
	d.mu.Lock()
	agents, chosen := byService(d.agents), byService(d.chosen)
	d.mu.Unlock()
	if v.Configuration == nil || len(agents) == 0 {
		return urgentInterval
	}
	interval := noticeInterval
	for service, list := range agents {
		notice := d.notice(v, service)
		domains := domainsOf(list)
		notice.Digest = digestOf(domains)
		if notice.Release > 0 && notice.AgeMillis < urgentTime.Milliseconds() {
			interval = urgentInterval
		}
		for _, u := range chosen[service] {
			d.sendNotice(u, notice, domains)
		}
	}
	return interval
}

func byService(agents []foxtailwharf.Upstream) map[string][]foxtailwharf.Upstream {
	lists := make(map[string][]foxtailwharf.Upstream)
	for _, u := range agents {
		lists[u.Service] = append(lists[u.Service], u)
	}
	return lists
}

// notice describes a service to its agents.
func (d *Distributor) notice(v follower.View, service string) wire.FleetNotice {
	c := v.Configuration
	model := c.Services[service].Engine.Model
	notice := wire.FleetNotice{
		Service: service, Model: model, Domain: d.c.Settings.FailureDomain, ListRevision: v.Revisions.Upstreams,
		ReadPace: int(c.Services[service].Engine.ReadPace()),
	}
	for _, s := range c.Services {
		if s.Origin.IsValid() {
			notice.Origin = s.Origin.String()
			notice.OriginDomain = s.OriginDomain
			notice.OriginRate = s.OriginRate
		}
	}
	if r, isNamed := d.newest(model); isNamed {
		notice.Release = r.version
		notice.IsGuess = r.isGuess
		notice.AgeMillis = time.Since(r.at).Milliseconds()
	}
	return notice
}

// placed tells an agent of a call that is sent to its engine.
func (d *Distributor) placed(u foxtailwharf.Upstream, tokens int) {
	d.notifier.Send(d.c.Settings.Peers(u.Address.Addr()), wire.FleetNotice{PlacedTokens: max(tokens, 1)})
}

// domainsOf lists the agents that stay, by failure domain.
func domainsOf(list []foxtailwharf.Upstream) (domains []wire.FleetDomain) {
	byName := make(map[string][]string)
	for _, u := range list {
		if !u.IsDraining {
			byName[u.FailureDomain] = append(byName[u.FailureDomain], u.Address.Addr().String())
		}
	}
	return listDomains(byName)
}

// listDomains lists machines by failure domain, in order.
func listDomains(byName map[string][]string) (domains []wire.FleetDomain) {
	for name, members := range byName {
		slices.Sort(members)
		domains = append(domains, wire.FleetDomain{Name: name, Members: members})
	}
	slices.SortFunc(domains, func(a, b wire.FleetDomain) int { return strings.Compare(a.Name, b.Name) })
	return domains
}

// digestOf names a list; a few digits tell two lists apart.
func digestOf(domains []wire.FleetDomain) string {
	const digits = 12
	var text strings.Builder
	for _, domain := range domains {
		text.WriteString(domain.Name + " " + strings.Join(domain.Members, " ") + "\n")
	}
	return foxtailwharf.Digest([]byte(text.String()))[:digits]
}

// heldList is the list of agents that an agent has.
type heldList struct {
	digest   string
	revision uint64 // of the store
}

// sendNotice sends the list along only where the agent has another one that is not newer.
// Entries of the agent's own failure domain do so, and the others while the agent has none.
func (d *Distributor) sendNotice(u foxtailwharf.Upstream, notice wire.FleetNotice, domains []wire.FleetDomain) {
	held, delay := d.listOf(u.Address.Addr())
	notice.ReportDelayMillis = delay.Milliseconds()
	isNear := u.FailureDomain == d.c.Settings.FailureDomain
	if held.digest != notice.Digest && held.revision <= notice.ListRevision && (isNear || held.digest == "") {
		notice.Domains = domains
	}
	d.notifier.Send(d.c.Settings.Peers(u.Address.Addr()), notice)
}

// listOf returns the list that an agent has, and how long its last report waited.
func (d *Distributor) listOf(address netip.Addr) (heldList, time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.lists[address], d.reportDelay(time.Now(), address)
}

// reportDelay returns how long an agent's reports wait beyond what all have in common, which
// is the wait on the own link. The caller holds the lock.
func (d *Distributor) reportDelay(now time.Time, address netip.Addr) time.Duration {
	delay, isKnown := d.gauger.Delay(now, address)
	if !isKnown {
		return 0
	}
	return max(delay-d.gauger.Common(now), 0)
}

// hearReport takes in an agent's report.
func (d *Distributor) hearReport(from netip.AddrPort, stamp gauger.Stamp, data []byte) {
	arrived := d.c.Clock()
	var report wire.FleetReport
	if err := json.Unmarshal(data, &report); err != nil {
		d.c.Log.Debug("entry: A report cannot be read.", zap.Stringer("From", from), zap.Error(err))
		return
	}
	now := time.Now()
	d.mu.Lock()
	d.gauger.Note(now, from.Addr(), stamp, arrived)
	delay := d.reportDelay(now, from.Addr())
	d.mu.Unlock()
	d.noteLink(from.Addr(), delay, time.Duration(report.LinkDelayMillis)*time.Millisecond)
	d.assigner.Report(from.Addr(), foxtailwharf.UpstreamLoad{
		Born:      time.UnixMilli(report.BornMillis),
		Weights:   report.Weights,
		Running:   report.Running,
		Queued:    report.Queued,
		IsLoading: report.IsLoading,
		IsDown:    report.IsDown,
		Listeners: report.Listeners,
		Reading:   float64(report.ReadingTokens),
		Slowness:  report.Slowness,
		LinkDelay: delay + time.Duration(report.LinkDelayMillis)*time.Millisecond,
	})
	d.mu.Lock()
	d.lists[from.Addr()] = heldList{digest: report.Digest, revision: report.ListRevision}
	d.mu.Unlock()
	d.greet(from, report)
	d.hearEntries(report.Entries)
	if report.Release > 0 {
		d.hearAge(report.Model, report.Release, time.Duration(report.ReleaseAgeMillis)*time.Millisecond)
	}
}

// noteLink logs that a machine's link has become full, or free again.
func (d *Distributor) noteLink(machine netip.Addr, from, to time.Duration) {
	isFull := from+to >= balancer.FullLink
	d.mu.Lock()
	wasFull := d.fullLinks[machine]
	if isFull {
		d.fullLinks[machine] = true
	} else {
		delete(d.fullLinks, machine)
	}
	d.mu.Unlock()
	if isFull != wasFull {
		d.c.Log.Info("entry: A machine's link has changed.", zap.Stringer("Machine", machine), zap.Bool("Full", isFull),
			zap.Duration("WaitFrom", from), zap.Duration("WaitTo", to))
	}
}

// greet answers an agent that has just started, before the store lists its upstream.
func (d *Distributor) greet(to netip.AddrPort, report wire.FleetReport) {
	v := d.follower.View()
	if report.Service == "" || report.Digest != "" || v.Configuration == nil || v.Configuration.Services[report.Service].Engine == nil {
		return
	}
	d.mu.Lock()
	agents := d.agents
	d.mu.Unlock()
	notice := d.notice(v, report.Service)
	notice.Domains = domainsOf(byService(agents)[report.Service])
	notice.Digest = digestOf(notice.Domains)
	d.notifier.Send(to, notice)
}

// otherEntry is an entry that agents hear.
type otherEntry struct {
	domain string // failure domain
	heard  time.Time
}

// hearEntries notes the entries that an agent hears.
func (d *Distributor) hearEntries(list []wire.FleetDomain) {
	if len(list) == 0 {
		return
	}
	count := d.noteEntries(list)
	d.forwarder.SetExtra(d.repeatExtra(count))
	v := d.follower.View()
	d.assigner.Update(func(b *balancer.Balancer) {
		b.SetEntries(count)
		d.setReleases(b, v.Configuration)
	})
}

// noteEntries returns the number of entries, this one included.
func (d *Distributor) noteEntries(list []wire.FleetDomain) int {
	self := d.c.Settings.Peers(d.c.Settings.Address)
	now := time.Now()
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, domain := range list {
		for _, text := range domain.Members {
			if address, err := netip.ParseAddrPort(text); err == nil && address != self {
				d.entries[address] = otherEntry{domain: domain.Name, heard: now}
			}
		}
	}
	var near []netip.AddrPort
	for address, e := range d.entries {
		if now.Sub(e.heard) > entryLife {
			delete(d.entries, address)
		} else if e.domain == d.c.Settings.FailureDomain {
			near = append(near, address)
		}
	}
	d.relier.SetEntries(near)
	return len(d.entries) + 1
}

// otherEntries returns the addresses of the other entries.
func (d *Distributor) otherEntries() (list []netip.AddrPort) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for address := range d.entries {
		list = append(list, address)
	}
	return list
}
