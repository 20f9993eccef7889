// Package balancer chooses an upstream for a call among those that the platform lists. Many
// entries share few upstreams. Each entry knows its own calls exactly, and those of the other
// entries only from the agents' reports, which are a few tenths of a second old. So that not all
// entries send to the same free slot, an entry uses only its share of the free slots of a report,
// rounded at random where the share is not a whole number, plus the slots that its own calls have
// freed since. The package does no I/O and reads no clock.
package balancer

import (
	"cmp"
	"maps"
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"

	"github.com/foxtailwharf/foxtailwharf"
)

// maxReleases bounds the releases kept for a service. Each has its own times, and many may be
// published within the time of one switch.
const maxReleases = 64

// Config holds the settings of a Balancer. FailureDomain is the entry's own.
type Config struct {
	FailureDomain string
	Random        *rand.Rand
	// OnAsk is called when TakeAsks has requests to the entries that keep limits. It must not block.
	OnAsk func()
	// OnLack is called when a call for a model service has found no capacity; nil for nothing. It must not block.
	OnLack func()
}

// Balancer holds what one entry knows of the upstreams. It is not safe for concurrent use.
type Balancer struct {
	c         Config
	byID      map[string]*upstream
	byService map[string][]*upstream
	byMachine map[netip.Addr][]*upstream
	reported  map[netip.Addr]netip.AddrPort // address of the upstream that the agent on a machine reports
	// reportedRuns holds the runs that agents have reported, by the ID of the upstream, also while it is not listed.
	reportedRuns map[string]knownRun
	releases     map[string][]release // by service, in ascending order of version
	entries      int                  // that share the upstreams, this one included
	reporting    map[string]bool      // engines whose agents report here, by ID; nil for all
	lifted       []liftedLimit        // for TakeAsks
	hasAsks      bool                 // TakeAsks may have requests
	statements   map[run]*statement   // of all listed upstreams, and of others that have said something
	pauses       map[run]*statement   // those that have a pause
}

// release is a version of a service's weights and when it replaces older ones.
type release struct {
	version int64
	// cutoffAt is when older versions stop getting calls. A call that was sent to an older
	// version before must have begun by startDeadline.
	cutoffAt      time.Time
	startDeadline time.Time
}

// New returns a balancer without upstreams.
func New(c Config) *Balancer {
	return &Balancer{
		c:            c,
		byID:         make(map[string]*upstream),
		byService:    make(map[string][]*upstream),
		byMachine:    make(map[netip.Addr][]*upstream),
		reported:     make(map[netip.Addr]netip.AddrPort),
		reportedRuns: make(map[string]knownRun),
		releases:     make(map[string][]release),
		entries:      1,
		statements:   make(map[run]*statement),
		pauses:       make(map[run]*statement),
	}
}

// SetSubset sets the engines whose agents report to this entry. Other engines get calls only if
// none of these is eligible.
func (b *Balancer) SetSubset(reporting []foxtailwharf.Upstream) {
	b.reporting = make(map[string]bool, len(reporting))
	for _, u := range reporting {
		b.reporting[u.ID] = true
	}
	for id, u := range b.byID {
		u.isReporting = b.reporting[id]
	}
}

// SetEntries sets the number of entries that share the upstreams.
func (b *Balancer) SetEntries(count int) {
	b.entries = max(count, 1)
}

// SetRelease adds a version of a service's weights, with the time from which on older versions
// get no calls, and the time by which calls sent to an older version must have begun. Setting a
// version again replaces its times.
func (b *Balancer) SetRelease(service string, version int64, cutoffAt, startDeadline time.Time) {
	list := b.releases[service]
	for i := range list {
		if list[i].version == version {
			list[i].cutoffAt, list[i].startDeadline = cutoffAt, startDeadline
			return
		}
	}
	list = append(list, release{version: version, cutoffAt: cutoffAt, startDeadline: startDeadline})
	slices.SortFunc(list, func(a, b release) int { return cmp.Compare(a.version, b.version) })
	if len(list) > maxReleases {
		// The oldest release is dropped, and the next one inherits its times if they are earlier.
		list[1].cutoffAt, list[1].startDeadline = earlier(list[0].cutoffAt, list[1].cutoffAt), earlier(list[0].startDeadline, list[1].startDeadline)
		list = slices.Delete(list, 0, 1)
	}
	b.releases[service] = list
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

// oldestAllowed returns the oldest version of a service's weights that may get calls.
func (b *Balancer) oldestAllowed(now time.Time, service string) (version int64) {
	for _, r := range b.releases[service] {
		if !now.Before(r.cutoffAt) {
			version = r.version
		}
	}
	return version
}

// StartDeadline returns when a call at an upstream must have begun, because a newer version
// replaces the weights that the upstream holds. It is zero if no newer version is known. Of an upstream
// that is no longer listed, the weights are those with which it was listed.
func (b *Balancer) StartDeadline(now time.Time, sentTo foxtailwharf.Upstream) (deadline time.Time) {
	held := sentTo.Weights
	if u := b.byID[sentTo.ID]; u != nil {
		held = u.weights(u.reportAge(now))
	}
	for _, r := range b.releases[sentTo.Service] {
		if r.version > held && (deadline.IsZero() || r.startDeadline.Before(deadline)) {
			deadline = r.startDeadline
		}
	}
	return deadline
}

// Set replaces the list of upstreams. The state of those that remain is kept; an upstream that
// has been restarted or has another address starts without state.
func (b *Balancer) Set(list []foxtailwharf.Upstream) {
	byID := make(map[string]*upstream, len(list))
	youngest := make(map[netip.AddrPort]*upstream, len(list))
	b.byService = make(map[string][]*upstream)
	b.byMachine = make(map[netip.Addr][]*upstream, len(list))
	for _, listed := range list {
		known := b.byID[listed.ID]
		u := known
		if known == nil || !known.Born.Equal(listed.Born) || known.Address != listed.Address {
			u = &upstream{}
		}
		u.Upstream = listed
		if known != nil && known.Address == listed.Address {
			u.statement = known.statement
		}
		b.updateStatement(u)
		u.isReporting = b.reporting == nil || b.reporting[listed.ID]
		u.isFar = listed.FailureDomain != b.c.FailureDomain
		u.hasRival = false
		byID[listed.ID] = u
		b.byService[listed.Service] = append(b.byService[listed.Service], u)
		youngest[listed.Address] = markRivals(youngest[listed.Address], u)
		b.byMachine[listed.Address.Addr()] = append(b.byMachine[listed.Address.Addr()], u)
	}
	for _, u := range byID {
		u.isOlder = youngest[u.Address].Born.After(u.Born)
	}
	b.byID = byID
	maps.DeleteFunc(b.reported, func(machine netip.Addr, _ netip.AddrPort) bool { return b.byMachine[machine] == nil })
	b.forgetRuns()
	b.forgetStatements()
}

// Report updates the load of the upstream on a machine from its agent's report, and of others that are listed at
// its address: the report tells which of them runs there.
func (b *Balancer) Report(now time.Time, machine netip.Addr, load foxtailwharf.UpstreamLoad) {
	address := b.reportedAddress(machine, load.Born)
	for _, u := range b.byMachine[machine] {
		if u.Address == address {
			b.report(now, u, load)
		}
	}
}

// report updates the load of an upstream.
func (b *Balancer) report(now time.Time, u *upstream, load foxtailwharf.UpstreamLoad) {
	isOtherRun := !load.Born.Equal(u.load.Born)
	u.load = load
	b.recordRun(now, u)
	if isOtherRun {
		b.updateStatement(u)
	}
	u.recordDown(now, isOtherRun)
	u.reportedAt = now
	u.othersInFlight = max(float64(load.Running+load.Queued-u.ownInFlight), 0)
	u.sentSinceReport = 0
	u.shareRounding = b.c.Random.Float64()
	u.unreported = slices.DeleteFunc(u.unreported, func(p sentPrompt) bool { return now.Sub(p.at) > reportLag })
}

// Sent records that a call was sent to an upstream. The number of tokens is the length of its
// prompt; 0 if unknown.
func (b *Balancer) Sent(now time.Time, id string, tokens int) {
	u := b.byID[id]
	if u == nil {
		return
	}
	u.ownInFlight++
	u.sentSinceReport++
	if u.limit != nil {
		u.limit.usePermit(now)
	}
	u.pause.countSent(now)
	if tokens > 0 {
		u.unreported = append(u.unreported, sentPrompt{at: now, tokens: tokens})
	}
}

// Result is how a call at an upstream ended.
type Result int

// Results of a call at an upstream.
const (
	Answered  Result = iota // complete answer with any status
	Failed                  // connection broken, or a server error of the upstream
	NotRun                  // the upstream refused the call, usually because no slot was free
	Moved                   // another upstream, or one with other weights, is at the address
	Abandoned               // caller gone, deadline passed, or weights replaced before the answer began
	Stalled                 // no data arrived in time
	Unreached               // it took no connection in time
)

// fullBackoff is how long an upstream that refused a call gets no calls.
const fullBackoff = 30 * time.Millisecond

// stalledBackoff is how long an upstream that sent no data in time is ejected: its link is narrow
// or it is gone, and calls queued towards it would arrive after their callers have left.
const stalledBackoff = 1500 * time.Millisecond

// movedBackoff is how long an upstream is ejected if another one answered at its address.
const movedBackoff = 300 * time.Millisecond

// Finished records the result of a call that was recorded with Sent.
func (b *Balancer) Finished(now time.Time, id string, result Result) {
	u := b.byID[id]
	if u == nil {
		return
	}
	u.ownInFlight = max(u.ownInFlight-1, 0)
	u.sentSinceReport--
	switch result {
	case Answered:
		u.consecutiveFaults, u.ejections = 0, 0
		u.unreachedAt = time.Time{}
	case Failed:
		u.recordFault(now)
	case Unreached:
		u.recordUnreached(now)
		u.recordFault(now)
	case NotRun:
		u.fullUntil = now.Add(fullBackoff)
	case Stalled:
		u.consecutiveFaults = faultsToEject
		u.ejectedUntil = now.Add(stalledBackoff)
	case Moved:
		u.movedUntil = now.Add(movedBackoff)
		u.ejectedUntil = u.movedUntil
	case Abandoned:
	}
}

// NeedsFar reports whether this entry may have to send calls to engines of other failure domains: less than a fraction
// of the slots of those in its own domain that report to it are free, or it has calls at others.
func (b *Balancer) NeedsFar(now time.Time, minFree float64) bool {
	slots, free := 0, 0
	for id := range b.reporting {
		u := b.byID[id]
		if u == nil {
			continue
		}
		if u.FailureDomain != b.c.FailureDomain {
			if u.ownInFlight > 0 {
				return true
			}
			continue
		}
		slots += u.Slots
		free += u.freeSlots(now)
	}
	return float64(free) < minFree*float64(slots) || slots == 0
}

// IsLoading reports whether a recent report says that the upstream is loading weights.
func (b *Balancer) IsLoading(now time.Time, id string) bool {
	u := b.byID[id]
	return u != nil && u.load.IsLoading && u.reportAge(now) < u.stateLifetime()
}
