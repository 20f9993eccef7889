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
	agents := d.agents
	d.mu.Unlock()
	if v.Configuration == nil || len(agents) == 0 {
		return urgentInterval
	}
	interval := noticeInterval
	for service, list := range byService(agents) {
		notice := d.notice(v.Configuration, service)
		domains := domainsOf(list)
		notice.Digest = digestOf(domains)
		if notice.Release > 0 && notice.AgeMillis < urgentTime.Milliseconds() {
			interval = urgentInterval
		}
		for _, u := range list {
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
func (d *Distributor) notice(c *foxtailwharf.Configuration, service string) wire.FleetNotice {
	model := c.Services[service].Engine.Model
	notice := wire.FleetNotice{Service: service, Model: model, Domain: d.c.Settings.FailureDomain}
	for _, s := range c.Services {
		if s.Origin.IsValid() {
			notice.Origin = s.Origin.String()
			notice.OriginDomain = s.OriginDomain
		}
	}
	if r, isNamed := d.newest(model); isNamed {
		notice.Release = r.version
		notice.IsGuess = r.isGuess
		notice.AgeMillis = time.Since(r.at).Milliseconds()
	}
	return notice
}

// domainsOf lists the agents that stay, by failure domain.
func domainsOf(list []foxtailwharf.Upstream) (domains []wire.FleetDomain) {
	byName := make(map[string][]string)
	for _, u := range list {
		if !u.IsDraining {
			byName[u.FailureDomain] = append(byName[u.FailureDomain], u.Address.Addr().String())
		}
	}
	for name, agents := range byName {
		slices.Sort(agents)
		domains = append(domains, wire.FleetDomain{Name: name, Agents: agents})
	}
	slices.SortFunc(domains, func(a, b wire.FleetDomain) int { return strings.Compare(a.Name, b.Name) })
	return domains
}

// digestOf names a list; a few digits tell two lists apart.
func digestOf(domains []wire.FleetDomain) string {
	const digits = 12
	var text strings.Builder
	for _, domain := range domains {
		text.WriteString(domain.Name + " " + strings.Join(domain.Agents, " ") + "\n")
	}
	return foxtailwharf.Digest([]byte(text.String()))[:digits]
}

// sendNotice sends the list along only where the agent has another one. Entries of the
// agent's own failure domain do so, and the others while the agent has none.
func (d *Distributor) sendNotice(u foxtailwharf.Upstream, notice wire.FleetNotice, domains []wire.FleetDomain) {
	known := d.agentDigest(u.Address.Addr())
	isNear := u.FailureDomain == d.c.Settings.FailureDomain
	if known != notice.Digest && (isNear || known == "") {
		notice.Domains = domains
	}
	d.notifier.Send(d.c.Settings.Peers(u.Address.Addr()), notice)
}

func (d *Distributor) agentDigest(address netip.Addr) string {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.digests[address]
}

// hearReport takes in an agent's report.
func (d *Distributor) hearReport(from netip.AddrPort, data []byte) {
	var report wire.FleetReport
	if err := json.Unmarshal(data, &report); err != nil {
		d.c.Log.Debug("entry: A report cannot be read.", zap.Stringer("From", from), zap.Error(err))
		return
	}
	d.assigner.Report(from.Addr(), foxtailwharf.UpstreamLoad{
		Born:      time.UnixMilli(report.BornMillis),
		Weights:   report.Weights,
		Running:   report.Running,
		Queued:    report.Queued,
		IsLoading: report.IsLoading,
		IsDown:    report.IsDown,
	})
	d.mu.Lock()
	d.digests[from.Addr()] = report.Digest
	d.mu.Unlock()
	d.greet(from, report)
	d.hearEntries(report.Entries)
	if report.Release > 0 {
		d.hearAge(report.Model, report.Release, time.Duration(report.ReleaseAgeMillis)*time.Millisecond)
	}
}

// greet answers an agent that has just started, before the store lists its upstream.
func (d *Distributor) greet(to netip.AddrPort, report wire.FleetReport) {
	c := d.follower.View().Configuration
	if report.Service == "" || report.Digest != "" || c == nil || c.Services[report.Service].Engine == nil {
		return
	}
	d.mu.Lock()
	agents := d.agents
	d.mu.Unlock()
	notice := d.notice(c, report.Service)
	notice.Domains = domainsOf(byService(agents)[report.Service])
	notice.Digest = digestOf(notice.Domains)
	d.notifier.Send(to, notice)
}

// hearEntries notes the entries that an agent hears.
func (d *Distributor) hearEntries(list []string) {
	if len(list) == 0 {
		return
	}
	self := d.c.Settings.Peers(d.c.Settings.Address)
	now := time.Now()
	d.mu.Lock()
	for _, text := range list {
		if address, err := netip.ParseAddrPort(text); err == nil && address != self {
			d.entries[address] = now
		}
	}
	for address, heard := range d.entries {
		if now.Sub(heard) > entryLife {
			delete(d.entries, address)
		}
	}
	count := len(d.entries) + 1
	d.mu.Unlock()
	d.forwarder.SetExtra(d.repeatExtra(count))
	v := d.follower.View()
	d.assigner.Update(func(b *balancer.Balancer) {
		b.SetEntries(count)
		d.setReleases(b, v.Configuration)
	})
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
