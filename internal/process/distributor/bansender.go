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
	"github.com/foxtailwharf/foxtailwharf/internal/process/sleeper"
	"github.com/foxtailwharf/foxtailwharf/internal/request/isolator"
	"github.com/foxtailwharf/foxtailwharf/internal/request/quarantiner"
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
	// maxWarnBans is the number of bans in one warning. Resets of many connections look like
	// many crashes, and each warning goes to all entries.
	maxWarnBans = 16
)

// banSender sends this entry's new bans to the other entries.
type banSender struct {
	d    *Distributor
	done chan struct{}
	// deciding holds the other entries that decide, and role what this one does, as of updatedAt. All bans
	// are sent at the same time.
	deciding  []netip.AddrPort
	role      isolator.Role
	updatedAt time.Time
}

func (s *banSender) run(ctx context.Context) {
	defer close(s.done)
	for sleeper.Sleep(ctx, warnInterval) {
		if time.Since(s.updatedAt) >= resendInterval {
			s.updatedAt = time.Now()
			s.deciding, s.role = s.d.decidingEntries()
			s.resendBans(ctx)
		}
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

// shareBans sends new bans to all other entries and waits until they have them, so that the same request
// does not crash further upstreams through another entry meanwhile.
func (d *Distributor) shareBans(ctx context.Context) {
	bans := quarantiner.ToWire(d.forwarder.TakeUnsentBans(maxWarnBans))
	if len(bans) == 0 {
		return
	}
	warnings := make(map[netip.AddrPort]wire.FleetWarning)
	for _, to := range d.otherEntries() {
		warnings[to] = wire.FleetWarning{Bans: bans}
	}
	d.warn(ctx, warnings)
}

// shareEvidence sends the other entries what this one has found out about parts of prompts that crash
// engines. Proofs and bans that calls have met are many and go only to the entries that decide, unless proofs
// change a ban.
func (s *banSender) shareEvidence(ctx context.Context) {
	evidence := s.d.forwarder.Isolate(s.role)
	warning := isolator.ToWire(evidence)
	met := quarantiner.ToWire(s.d.forwarder.TakeUnsentMet())
	warnings := make(map[netip.AddrPort]wire.FleetWarning)
	if len(warning.Proofs)+len(evidence.Met)+len(met) > 0 {
		receivers := s.deciding
		if evidence.IsLifting {
			receivers = s.d.otherEntries()
		}
		withMet := warning
		withMet.Bans = met
		withMet.PartBans = append(withMet.PartBans, isolator.BansToWire(evidence.Met)...)
		for _, to := range receivers {
			warnings[to] = withMet
		}
	}
	if len(warning.Crashes)+len(warning.PartBans) > 0 {
		rest := wire.FleetWarning{Crashes: warning.Crashes, PartBans: warning.PartBans}
		for _, to := range s.d.otherEntries() {
			if _, isDeciding := warnings[to]; !isDeciding {
				warnings[to] = rest
			}
		}
	}
	if len(warnings) > 0 {
		s.d.warn(ctx, warnings)
	}
}

// resendBans sends all bans that are in force to all other entries, if this entry is one that decides.
func (s *banSender) resendBans(ctx context.Context) {
	if s.role == isolator.RoleNone {
		return
	}
	f := s.d.forwarder
	warning := wire.FleetWarning{Bans: quarantiner.ToWire(f.Bans(maxWarnBans)), PartBans: isolator.BansToWire(f.PartBans())}
	if len(warning.Bans)+len(warning.PartBans) == 0 {
		return
	}
	warnings := make(map[netip.AddrPort]wire.FleetWarning)
	for _, to := range s.d.otherEntries() {
		warnings[to] = warning
	}
	s.d.warn(ctx, warnings)
}

// decidersPerDomain is the number of entries of a failure domain that decide on bans of parts of prompts.
// Each domain has its own, for when it is cut off, and more than one, since one may have ended or stand
// still.
const decidersPerDomain = 2

// decidingEntries returns the other entries that decide, and the role of this one. All entries with the same
// list agree.
func (d *Distributor) decidingEntries() (others []netip.AddrPort, role isolator.Role) {
	self := d.c.Settings.PeerAddress(d.c.Settings.Address)
	byDomain := map[string][]netip.AddrPort{d.c.Settings.FailureDomain: {self}}
	d.mu.Lock()
	for address, e := range d.entries {
		byDomain[e.domain] = append(byDomain[e.domain], address)
	}
	d.mu.Unlock()
	byRank := func(a, b netip.AddrPort) int { return cmp.Compare(decidingRank(b), decidingRank(a)) }
	for _, entries := range byDomain {
		slices.SortFunc(entries, byRank)
		others = append(others, entries[:min(decidersPerDomain, len(entries))]...)
	}
	switch {
	case slices.MinFunc(others, byRank) == self:
		role = isolator.RoleTries
	case slices.Contains(others, self):
		role = isolator.RoleDecides
	}
	return slices.DeleteFunc(others, func(address netip.AddrPort) bool { return address == self }), role
}

// decidingRank orders the entries of a failure domain identically in all processes.
func decidingRank(entry netip.AddrPort) uint64 {
	return foxtailwharf.RendezvousScore("decides on bans", entry.String())
}

// handleWarn records the bans and the evidence of another entry.
func (d *Distributor) handleWarn(_ context.Context, warning wire.FleetWarning) (wire.FleetWarning, error) {
	for _, ban := range quarantiner.FromWire(warning.Bans) {
		d.forwarder.MergeBan(ban)
	}
	d.forwarder.MergeEvidence(isolator.FromWire(warning))
	for _, l := range warning.Limits {
		d.learnLimit(limitFromWire(l))
	}
	return wire.FleetWarning{}, nil
}
