package provisioner

import (
	"net/netip"
	"time"

	"go.uber.org/zap"

	"github.com/foxtailwharf/foxtailwharf/internal/connection/delayestimator"
	"github.com/foxtailwharf/foxtailwharf/internal/process/grouper"
	"github.com/foxtailwharf/foxtailwharf/internal/version/timekeeper"
	"github.com/foxtailwharf/foxtailwharf/wire"
)

// lifetime returns how long the entry gets reports after its last notice.
func (e entry) lifetime() time.Duration {
	if e.isStandby {
		return standbyTTL
	}
	return entryTTL
}

// listInterval returns the time between two reports with the list of the entries, or its digest, to an entry.
func listInterval(isNear bool) time.Duration {
	if isNear {
		return entriesInterval
	}
	return farEntriesInterval
}

// handleNotice processes a datagram from an entry: either the prompt tokens of a call that it sent
// to the engine, or its view of the fleet.
func (p *Provisioner) handleNotice(from netip.AddrPort, stamp delayestimator.Stamp, data []byte) {
	arrived := p.c.Clock()
	n, err := decodeNotice(data)
	if err != nil {
		p.c.Log.Debug("agent: ignored an invalid notice", zap.Stringer("From", from), zap.Error(err))
		return
	}
	now := time.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.delayestimator.Observe(now, from.Addr(), stamp, arrived)
	if n.PlacedTokens > 0 {
		p.estimator.AddCall(now, n.PlacedTokens)
		p.reporter.signal()
		return
	}
	p.estimator.SetRate(now, float64(n.ReadPace))
	p.noteEntry(now, from, n)
	if origin, err := netip.ParseAddrPort(n.Origin); err == nil {
		p.c.Origin.SetAddress(origin)
		p.originRegion = p.c.Settings.Regions[n.OriginDomain]
		p.originRate = n.OriginRate
	}
	p.updateReleases(n, arrived)
	if n.Digest == p.digest || (n.ListRevision <= p.revision && p.digest != "") {
		return
	}
	if len(n.Domains) > 0 {
		p.updateAgents(n)
	} else {
		p.askForAgents(now, from)
	}
}

// noteEntry records an entry that has sent a notice. One that is new, on standby or no longer so gets a report at once.
// p.mu must be held.
func (p *Provisioner) noteEntry(now time.Time, from netip.AddrPort, n wire.FleetNotice) {
	e, isKnown := p.entries[from]
	if n.IsStandby || !isKnown || e.isStandby {
		e.isDue = true
		p.reporter.signal()
	}
	e.lastNotice, e.domain, e.linkDelay = now, n.Domain, time.Duration(n.ReportDelayMillis)*time.Millisecond
	e.isStandby, e.heldDigest = n.IsStandby, n.EntriesDigest
	p.entries[from] = e
}

// entryList is the list of the entries that this agent hears, as entries get it.
type entryList struct {
	domains []wire.FleetDomain
	digest  string
	builtAt time.Time
}

// entryListTTL is how long a list is used before it is built anew.
const entryListTTL = 500 * time.Millisecond

// listedEntries returns the list of the entries that this agent hears.
func (p *Provisioner) listedEntries(now time.Time) entryList {
	p.mu.Lock()
	defer p.mu.Unlock()
	if now.Sub(p.entryList.builtAt) < entryListTTL {
		return p.entryList
	}
	byDomain := make(map[string][]string)
	for address, e := range p.entries {
		byDomain[e.domain] = append(byDomain[e.domain], address.String())
	}
	domains := grouper.List(byDomain)
	p.entryList = entryList{domains: domains, digest: grouper.Digest(domains), builtAt: now}
	return p.entryList
}

// noteListed records that entries have been sent the list of the entries, or its digest.
func (p *Provisioner) noteListed(now time.Time, to []netip.AddrPort) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, address := range to {
		if e, isKnown := p.entries[address]; isKnown {
			e.listedAt = now
			p.entries[address] = e
		}
	}
}

const (
	// askInterval is the time between two questions for the list of agents.
	askInterval = 250 * time.Millisecond
	// farAskDelay is how long an agent without a list waits for an entry of its own failure domain to ask before
	// it asks another one.
	farAskDelay = 600 * time.Millisecond
)

// askForAgents asks an entry for the list of agents, unless another one has just been asked, or entries nearer
// to this agent can be expected to have it. p.mu must be held.
func (p *Provisioner) askForAgents(now time.Time, of netip.AddrPort) {
	if p.firstNotice.IsZero() {
		p.firstNotice = now
	}
	isNear := p.entries[of].domain == p.c.Settings.FailureDomain
	mayAsk := isNear || (p.digest == "" && now.Sub(p.firstNotice) >= farAskDelay)
	if !mayAsk || now.Sub(p.askedAt) < askInterval {
		return
	}
	p.askedAt, p.asked = now, of
	p.reporter.signal()
}

// takeAsked returns the entry to ask for the list of agents, once; the zero address for none.
func (p *Provisioner) takeAsked() (asked netip.AddrPort) {
	p.mu.Lock()
	defer p.mu.Unlock()
	asked, p.asked = p.asked, netip.AddrPort{}
	return asked
}

// addReleases adds the releases to a report, unless the time of the newest is unknown here. p.mu must
// be held.
func (p *Provisioner) addReleases(report *wire.FleetReport) {
	now := p.c.Clock()
	named := p.timekeeper.Named(now, p.model)
	if len(named) == 0 || named[len(named)-1].IsGuess {
		return
	}
	messages := timekeeper.ToWire(now, "", named)
	newest := messages[len(messages)-1]
	report.Model, report.Release, report.ReleaseAgeMillis = p.model, newest.Version, newest.AgeMillis
	report.Earlier, report.HasEarlier = messages[:len(messages)-1], true
}

// updateReleases notes the releases in a notice. p.mu must be held.
func (p *Provisioner) updateReleases(n wire.FleetNotice, arrived time.Duration) {
	if n.Model == "" || n.Release == 0 {
		return
	}
	p.model = n.Model
	before, _ := p.timekeeper.Newest(n.Model)
	newest := wire.NamedRelease{Version: n.Release, AgeMillis: n.AgeMillis, IsGuess: n.IsGuess}
	p.timekeeper.Merge(arrived, n.Model, timekeeper.FromList(arrived, newest, n.Earlier, n.HasEarlier))
	if n.Release > before.Version {
		p.c.Log.Info("agent: new release wanted", zap.String("Model", n.Model), zap.Int64("Version", n.Release),
			zap.Int64("AgeMillis", n.AgeMillis), zap.Bool("IsGuess", n.IsGuess))
	}
}

// updateAgents replaces the list of agents. p.mu must be held.
func (p *Provisioner) updateAgents(n wire.FleetNotice) {
	p.digest, p.revision = n.Digest, n.ListRevision
	p.agents, p.candidates, p.domain = nil, nil, nil
	candidates := make(map[string]bool)
	for _, machine := range grouper.Candidates(n.Domains) {
		candidates[machine] = true
	}
	for _, domain := range n.Domains {
		for _, text := range domain.Members {
			machine, err := netip.ParseAddr(text)
			if err != nil {
				p.c.Log.Warn("agent: ignored an invalid machine address in the list of agents", zap.String("Machine", text))
				continue
			}
			agent := p.instance(machine, domain.Name)
			p.agents = append(p.agents, agent)
			if candidates[text] {
				p.candidates = append(p.candidates, agent)
			}
			if domain.Name == p.c.Settings.FailureDomain {
				p.domain = append(p.domain, text)
			}
		}
	}
	p.c.Log.Info("agent: list of agents changed", zap.Int("Agents", len(p.agents)))
}
