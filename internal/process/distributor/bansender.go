package distributor

import (
	"cmp"
	"context"
	"net/netip"
	"slices"
	"time"

	"go.uber.org/zap"

	"github.com/foxtailwharf/foxtailwharf"
	"github.com/foxtailwharf/foxtailwharf/internal/connection/messenger"
	"github.com/foxtailwharf/foxtailwharf/internal/process/meter"
	"github.com/foxtailwharf/foxtailwharf/internal/process/sleeper"
	"github.com/foxtailwharf/foxtailwharf/internal/request/isolator"
	"github.com/foxtailwharf/foxtailwharf/wire"
)

// methodWarn is the RPC method with which entries share bans of requests that crash upstreams.
const methodWarn = "Warn"

// Timing and size of warnings.
const (
	// warnInterval is the time between two rounds of warnings. An entry that has not received a
	// ban may keep sending the request to upstreams; the users allow three seconds for that.
	warnInterval = 100 * time.Millisecond
	// resendInterval is the time between two rounds in which the deciding entries send all bans, for
	// entries that have started anew or were cut off.
	resendInterval = time.Second
	// warnTimeout limits the wait for other entries to receive a warning.
	warnTimeout = 150 * time.Millisecond
)

// banSender sends this entry's new bans to the other entries.
type banSender struct {
	d    *Distributor
	done chan struct{}
	// roles are as of updatedAt. All bans are sent at the same time.
	roles     entryRoles
	updatedAt time.Time
	known     uint64 // place of the newest entry at the last interval, in the order in which this entry heard of the others
}

func (s *banSender) run(ctx context.Context) {
	defer close(s.done)
	for sleeper.Sleep(ctx, warnInterval) {
		if time.Since(s.updatedAt) >= resendInterval {
			s.updatedAt = time.Now()
			s.roles = s.d.rolesOfEntries()
			s.known = 0
		}
		s.resendBans(ctx, s.newEntries())
		s.d.shareBans(ctx)
		s.shareEvidence(ctx)
	}
}

func (s *banSender) ended() <-chan struct{} {
	return s.done
}

// warningRequest is one warning to one entry.
type warningRequest struct {
	d       *Distributor
	to      netip.AddrPort
	warning wire.FleetWarning
	done    chan struct{}
}

func (r *warningRequest) run(ctx context.Context) {
	defer close(r.done)
	if _, err := messenger.Call[wire.FleetWarning](ctx, r.d.client, r.to, methodWarn, r.warning); err != nil {
		r.d.c.Log.Debug("entry: another entry did not receive a warning", zap.Stringer("Entry", r.to), zap.Error(err))
	}
}

// warn sends each of the entries its warning and waits until they have them, for warnTimeout at the most.
func (d *Distributor) warn(ctx context.Context, warnings map[netip.AddrPort]wire.FleetWarning) {
	ctx, cancel := context.WithTimeout(ctx, warnTimeout)
	defer cancel()
	d.meter.Add(meter.CounterWarnings, int64(len(warnings)))
	var requests []*warningRequest
	for to, warning := range warnings {
		r := &warningRequest{d: d, to: to, warning: warning, done: make(chan struct{})}
		requests = append(requests, r)
		go r.run(ctx)
	}
	for _, r := range requests {
		<-r.done
	}
}

// Warnings returns how many warnings this entry has sent to others.
func (d *Distributor) Warnings() int64 {
	return d.meter.Counter(meter.CounterWarnings)
}

// shareBans tells all other entries of requests that have crashed several upstreams, and waits until they know, so that
// such a request does not crash further upstreams through another entry meanwhile. A single crash is no reason to
// hurry.
func (d *Distributor) shareBans(ctx context.Context) {
	warning := isolator.ToWire(d.forwarder.TakeUrgent())
	if len(warning.Breaks) == 0 {
		return
	}
	warnings := make(map[netip.AddrPort]wire.FleetWarning)
	for _, to := range d.otherEntries() {
		warnings[to] = warning
	}
	d.warn(ctx, warnings)
}

// shareEvidence sends the other entries what this one has found out about requests and parts of prompts that crash
// upstreams. Most concerns the entries that decide. They tell those of their failure domain all that they have heard of
// crashes, so that these can prove parts sound; that is one message for what many entries have seen.
func (s *banSender) shareEvidence(ctx context.Context) {
	evidence := s.d.forwarder.Isolate(s.roles.own)
	warning := isolator.ToWire(evidence)
	warnings := make(map[netip.AddrPort]wire.FleetWarning)
	if len(warning.PartBans) > 0 || evidence.IsLifting {
		rest := wire.FleetWarning{PartBans: warning.PartBans}
		if evidence.IsLifting {
			rest.Proofs = warning.Proofs
		}
		for _, to := range s.d.otherEntries() {
			warnings[to] = rest
		}
	}
	if len(evidence.Relayed) > 0 {
		for _, to := range s.roles.following {
			w := warnings[to]
			w.Crashes = isolator.ToWire(isolator.Evidence{Crashes: evidence.Relayed}).Crashes
			warnings[to] = w
		}
	}
	warning.PartBans = append(warning.PartBans, isolator.BansToWire(evidence.Met)...)
	if len(warning.Crashes)+len(warning.Breaks)+len(warning.Proofs)+len(warning.PartBans) > 0 {
		for _, to := range s.roles.deciding {
			warnings[to] = warning
		}
	}
	if len(warnings) > 0 {
		s.d.warn(ctx, warnings)
	}
}

// newEntries returns the other entries that were not known at the last interval.
func (s *banSender) newEntries() (list []netip.AddrPort) {
	s.d.mu.Lock()
	defer s.d.mu.Unlock()
	before := s.known
	s.known = s.d.entrySequence
	if s.known == before {
		return nil
	}
	for address, e := range s.d.entries {
		if e.sequence > before {
			list = append(list, address)
		}
	}
	return list
}

// resendBans sends all bans that are in force to some entries, if this entry is one that decides.
func (s *banSender) resendBans(ctx context.Context, to []netip.AddrPort) {
	if s.roles.own == isolator.RoleNone || len(to) == 0 {
		return
	}
	warning := wire.FleetWarning{PartBans: isolator.BansToWire(s.d.forwarder.Bans())}
	if len(warning.PartBans) == 0 {
		return
	}
	warnings := make(map[netip.AddrPort]wire.FleetWarning)
	for _, entry := range to {
		warnings[entry] = warning
	}
	s.d.warn(ctx, warnings)
}

// decidersPerDomain is the number of entries of a failure domain that decide on bans.
// Each domain has its own, for when it is cut off, and more than one, since one may have ended or stand
// still.
const decidersPerDomain = 2

// entryRoles says who decides on bans.
type entryRoles struct {
	own       isolator.Role
	deciding  []netip.AddrPort // other entries that decide
	following []netip.AddrPort // entries of this failure domain that do not decide
}

// rolesOfEntries returns who decides on bans. All entries with the same list agree.
func (d *Distributor) rolesOfEntries() (r entryRoles) {
	self := d.c.Settings.PeerAddress(d.c.Settings.Address)
	byDomain := map[string][]rankedEntry{d.c.Settings.FailureDomain: {rank(self)}}
	d.mu.Lock()
	for address, e := range d.entries {
		byDomain[e.domain] = append(byDomain[e.domain], rank(address))
	}
	d.mu.Unlock()
	var first rankedEntry
	for domain, entries := range byDomain {
		slices.SortFunc(entries, rankedEntry.compare)
		count := min(decidersPerDomain, len(entries))
		for _, e := range entries[:count] {
			r.deciding = append(r.deciding, e.address)
		}
		if !first.address.IsValid() || entries[0].compare(first) < 0 {
			first = entries[0]
		}
		if domain == d.c.Settings.FailureDomain {
			r.following = addressesWithout(entries[count:], self)
		}
	}
	isSelf := func(address netip.AddrPort) bool { return address == self }
	switch {
	case isSelf(first.address):
		r.own = isolator.RoleTries
	case slices.ContainsFunc(r.deciding, isSelf):
		r.own = isolator.RoleDecides
	}
	r.deciding = slices.DeleteFunc(r.deciding, isSelf)
	return r
}

// rankedEntry is an entry with its rank in its failure domain, identical in all processes. The one with the highest
// score is the first.
type rankedEntry struct {
	address netip.AddrPort
	score   uint64
}

func rank(entry netip.AddrPort) rankedEntry {
	return rankedEntry{address: entry, score: foxtailwharf.RendezvousScore("decides on bans", entry.String())}
}

func (e rankedEntry) compare(other rankedEntry) int {
	return cmp.Compare(other.score, e.score)
}

// addressesWithout returns the addresses of entries, but for one.
func addressesWithout(entries []rankedEntry, left netip.AddrPort) (list []netip.AddrPort) {
	for _, e := range entries {
		if e.address != left {
			list = append(list, e.address)
		}
	}
	return list
}

// handleWarn records the bans and the evidence of another entry.
func (d *Distributor) handleWarn(_ context.Context, warning wire.FleetWarning) (wire.FleetWarning, error) {
	d.forwarder.MergeEvidence(isolator.FromWire(warning))
	for _, l := range warning.Limits {
		d.learnLimit(limitFromWire(l))
	}
	return wire.FleetWarning{}, nil
}
