// Package balancer chooses the upstream for a call among those that the platform
// lists. It answers the load of many entries that share few upstreams: each entry
// knows its own calls exactly, and those of the others by the agents' reports, which
// are a few tenths of a second old. Of the places that a report shows free an entry
// takes its part, drawn at random where the part is below one, and the places that its
// own calls leave; so that not all entries send to the same free place. It does no I/O
// and holds no clock.
package balancer

import (
	"cmp"
	"math"
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"

	"github.com/foxtailwharf/foxtailwharf"
)

// Constants of the choice.
const (
	// reportLife is how long a report says something about the calls of other entries.
	reportLife = 600 * time.Millisecond
	// downLife is how long a report that an upstream is down, or loads, is believed
	// without another one.
	downLife = 1500 * time.Millisecond
	// faultsToEject is the number of faults in a row after which an upstream is left out.
	faultsToEject = 3
	// ejectTime is how long it is left out at first; it doubles with each fault after.
	ejectTime = 500 * time.Millisecond
	// maxEjectTime bounds the doubling, so that an upstream which is back is tried soon.
	maxEjectTime = 2 * time.Second
	// farCost is what another failure domain counts, in calls in flight: traffic between
	// domains is scarce, and the reports from there are older.
	farCost = 8
	// partFactor makes the parts that entries take of free places add up to less than all:
	// calls that were sent since the report are not in it.
	partFactor = 0.7
	// blindFactor is the same for the places of an upstream that has not reported lately.
	blindFactor = 1.2
	// delayStep is the wait on an upstream's link that counts as much as one call in flight.
	delayStep = 20 * time.Millisecond
	// readingStep is the time of reading that counts as much as one call in flight.
	readingStep = 10 * time.Millisecond
	// hearTime is how long an agent takes to hear of a call and to tell: one that was sent
	// before is in its report.
	hearTime = 25 * time.Millisecond
	// maxEjectedPart is the part of a service's upstreams that may be left out at once:
	// faults of more than that are not the upstreams' own.
	maxEjectedPart = 0.5
)

// FullLink is the wait on an upstream's link from which on it gets calls only where no other
// does: they and their end would arrive late. A free link lets reports wait for a few
// milliseconds, a full one drops them soon after this.
const FullLink = 45 * time.Millisecond

// Config holds the settings of a Balancer.
type Config struct {
	FailureDomain string
	Random        *rand.Rand
}

// Want describes a call that needs an upstream.
type Want struct {
	Service string
	// Exclude names upstreams not to be chosen, by ID.
	Exclude map[string]bool
	// IsModel says that the upstream must hold weights.
	IsModel bool
	// Weights is the only version that may answer; 0 for any that is in force.
	Weights int64
	// Room is how many calls more than its slots, or less, an upstream may hold.
	Room float64
	// Tokens is the length of the call's prompt, and ReadPace what an upstream reads of prompts
	// in a second; 0 where it is not known.
	Tokens   int
	ReadPace float64
	// MaxReading is how long an upstream may still read the prompts that it has; 0 for any time.
	MaxReading time.Duration
	// IsAlone says that no other call waits at this entry: then others do not wait for the same
	// free place elsewhere either, and the entry may take any.
	IsAlone bool
}

// Balancer holds what one entry knows of the upstreams.
type Balancer struct {
	c         Config
	byID      map[string]*upstream
	byService map[string][]*upstream
	byMachine map[netip.Addr]*upstream
	releases  map[string][]release // by service, the newest last
	entries   int                  // that share the upstreams
	chosen    map[string]bool      // engines whose agents report to this entry, by ID; nil for all
}

// release is a version that was named for a service.
type release struct {
	version int64
	// mustAt is when older versions stop getting calls, and dueAt when a call that has not
	// begun on them must not begin any more.
	mustAt time.Time
	dueAt  time.Time
}

// upstream is one instance with what is known of its load.
type upstream struct {
	foxtailwharf.Upstream
	own          int // calls of this entry in flight
	load         foxtailwharf.UpstreamLoad
	reportedAt   time.Time // zero before the first report
	others       float64   // calls of other entries at the report
	sent         int       // own calls sent since the report, less those that ended
	draw         float64   // random, new with each report
	placed       []placement
	faults       int // in a row
	ejections    int
	ejectedUntil time.Time
	notRunUntil  time.Time
}

// placement is a call that this entry sent, and the agent may not have heard of at its report.
type placement struct {
	at     time.Time
	tokens int
}

// New returns a balancer that knows no upstreams.
func New(c Config) *Balancer {
	return &Balancer{
		c:         c,
		byID:      make(map[string]*upstream),
		byService: make(map[string][]*upstream),
		byMachine: make(map[netip.Addr]*upstream),
		releases:  make(map[string][]release),
		entries:   1,
	}
}

// SetChosen tells which engines' agents report to this entry. It sends calls to others only
// where none of these takes any.
func (b *Balancer) SetChosen(chosen []foxtailwharf.Upstream) {
	b.chosen = make(map[string]bool, len(chosen))
	for _, u := range chosen {
		b.chosen[u.ID] = true
	}
}

// SetEntries tells how many entries share the upstreams.
func (b *Balancer) SetEntries(count int) {
	b.entries = max(count, 1)
}

// maxReleases is the number of releases of a service that are remembered: each is due by a
// time of its own, and many may be named within the time of one switch.
const maxReleases = 64

// SetRelease names a version of a service's weights, from when on no older one gets calls,
// and when none may begin on an older one. Naming it again changes the times.
func (b *Balancer) SetRelease(service string, version int64, mustAt, dueAt time.Time) {
	list := b.releases[service]
	for i := range list {
		if list[i].version == version {
			list[i].mustAt, list[i].dueAt = mustAt, dueAt
			return
		}
	}
	list = append(list, release{version: version, mustAt: mustAt, dueAt: dueAt})
	slices.SortFunc(list, func(a, b release) int { return cmp.Compare(a.version, b.version) })
	if len(list) > maxReleases {
		// The oldest is forgotten, and the one after it is due when that was.
		list[1].mustAt, list[1].dueAt = earlier(list[0].mustAt, list[1].mustAt), earlier(list[0].dueAt, list[1].dueAt)
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

// oldest returns the oldest version of a service's weights that may answer.
func (b *Balancer) oldest(now time.Time, service string) (version int64) {
	for _, r := range b.releases[service] {
		if !now.Before(r.mustAt) {
			version = r.version
		}
	}
	return version
}

// DueAt returns when a call at an upstream must have begun, because the weights that it
// holds are replaced; zero for never.
func (b *Balancer) DueAt(now time.Time, id string) time.Time {
	u := b.byID[id]
	if u == nil {
		return time.Time{}
	}
	held := u.weights(now)
	for _, r := range b.releases[u.Service] {
		if r.version > held {
			return r.dueAt
		}
	}
	return time.Time{}
}

// Set replaces the list. What is known of upstreams that stay is kept; a new start of
// a process is a new upstream.
func (b *Balancer) Set(list []foxtailwharf.Upstream) {
	byID := make(map[string]*upstream, len(list))
	b.byService = make(map[string][]*upstream)
	b.byMachine = make(map[netip.Addr]*upstream, len(list))
	for _, listed := range list {
		u := b.byID[listed.ID]
		if u == nil || !u.Born.Equal(listed.Born) || u.Address != listed.Address {
			u = &upstream{}
		}
		u.Upstream = listed
		byID[listed.ID] = u
		b.byService[listed.Service] = append(b.byService[listed.Service], u)
		b.byMachine[listed.Address.Addr()] = u
	}
	b.byID = byID
}

// Report takes in what an agent tells of the upstream on its machine.
func (b *Balancer) Report(now time.Time, machine netip.Addr, load foxtailwharf.UpstreamLoad) {
	u := b.byMachine[machine]
	if u == nil {
		return
	}
	u.load = load
	u.reportedAt = now
	u.others = max(float64(load.Running+load.Queued-u.own), 0)
	u.sent = 0
	u.draw = b.c.Random.Float64()
	u.placed = slices.DeleteFunc(u.placed, func(p placement) bool { return now.Sub(p.at) > hearTime })
}

// reading estimates how long the upstream still reads the prompts that it has.
func (u *upstream) reading(now time.Time, w Want) time.Duration {
	if w.ReadPace <= 0 {
		return 0
	}
	tokens := max(u.load.Reading-w.ReadPace*now.Sub(u.reportedAt).Seconds(), 0)
	if u.reportedAt.IsZero() || now.Sub(u.reportedAt) > reportLife {
		tokens = 0
	}
	for _, p := range u.placed {
		tokens += float64(p.tokens)
	}
	return time.Duration(tokens / w.ReadPace * max(u.load.Slowness, 1) * float64(time.Second))
}

// cost ranks an upstream for a call, in calls in flight; the least is best.
func (b *Balancer) cost(u *upstream, now time.Time, w Want) float64 {
	cost := u.occupied(now)*max(u.load.Slowness, 1) + b.c.Random.Float64()
	cost += float64(u.linkDelay(now)) / float64(delayStep)
	cost += float64(u.reading(now, w)) / float64(readingStep)
	if u.FailureDomain != b.c.FailureDomain {
		cost += farCost
	}
	return cost
}

// weights returns the version that an upstream holds by the newest word of it.
func (u *upstream) weights(now time.Time) int64 {
	if !u.reportedAt.IsZero() && now.Sub(u.reportedAt) < downLife {
		return u.load.Weights
	}
	return u.Weights
}

// linkDelay returns the wait on the upstream's link, 0 where nothing was heard lately.
func (u *upstream) linkDelay(now time.Time) time.Duration {
	if u.reportedAt.IsZero() || now.Sub(u.reportedAt) > downLife {
		return 0
	}
	return u.load.LinkDelay
}

// isBehindFullLink reports whether calls would wait on the upstream's link: reports do, or
// those of an agent that told before do not come.
func (u *upstream) isBehindFullLink(now time.Time) bool {
	if u.reportedAt.IsZero() {
		return false
	}
	return u.load.LinkDelay >= FullLink || now.Sub(u.reportedAt) > reportLife
}

// occupied estimates the calls at the upstream.
func (u *upstream) occupied(now time.Time) float64 {
	if u.reportedAt.IsZero() || now.Sub(u.reportedAt) > reportLife {
		return float64(u.own)
	}
	return float64(u.own) + u.others
}

// hasRoom reports whether this entry may take one more place.
func (b *Balancer) hasRoom(u *upstream, now time.Time, w Want) bool {
	slots := float64(u.Slots) + w.Room
	if u.notRunUntil.After(now) {
		return false
	}
	if u.reportedAt.IsZero() || now.Sub(u.reportedAt) > reportLife {
		return float64(u.own) < min(math.Ceil(slots/float64(b.entries)*blindFactor), slots)
	}
	free := slots - float64(u.load.Running+u.load.Queued)
	entries := b.entries
	if u.load.Listeners > 0 {
		entries = u.load.Listeners
	}
	if w.MaxReading > 0 && u.reading(now, w) > w.MaxReading {
		return false
	}
	if entries == 1 || w.IsAlone {
		return free-float64(max(u.sent, 0)) >= 1
	}
	part := min(partFactor/float64(entries), 1)
	return math.Floor(max(free, 0)*part+u.draw)-float64(u.sent) >= 1 && (free > 0 || u.sent < 0)
}

// takes reports whether the upstream may get the call at all.
func (b *Balancer) takes(u *upstream, now time.Time, w Want) bool {
	if u.IsDraining || w.Exclude[u.ID] {
		return false
	}
	if w.IsModel && !b.hasWeights(u, now, w) {
		return false
	}
	isReported := !u.reportedAt.IsZero() && now.Sub(u.reportedAt) < downLife
	return !isReported || (!u.load.IsDown && !u.load.IsLoading)
}

func (b *Balancer) hasWeights(u *upstream, now time.Time, w Want) bool {
	held := u.weights(now)
	if held == 0 || (w.Weights != 0 && held != w.Weights) {
		return false
	}
	return held >= b.oldest(now, w.Service)
}

// Pick returns the upstream with the most room. isKnown is false where no upstream of
// the service could take the call even if it had room.
func (b *Balancer) Pick(now time.Time, w Want) (chosen foxtailwharf.Upstream, isFound, isKnown bool) {
	candidates := b.candidates(now, w)
	if len(candidates) == 0 {
		return chosen, false, false
	}
	var best *upstream
	bestCost := 0.0
	for _, u := range candidates {
		if !b.hasRoom(u, now, w) {
			continue
		}
		cost := b.cost(u, now, w)
		if best == nil || cost < bestCost {
			best, bestCost = u, cost
		}
	}
	if best == nil {
		return chosen, false, true
	}
	return best.Upstream, true, true
}

// candidates returns the upstreams that may get the call. Those with many faults are
// left out while enough others remain, those behind full links while there are any others, and
// those whose agents do not report here while there are any that do.
func (b *Balancer) candidates(now time.Time, w Want) []*upstream {
	var sound, ejected, silent, delayed []*upstream
	for _, u := range b.byService[w.Service] {
		switch {
		case !b.takes(u, now, w):
		case w.IsModel && b.chosen != nil && !b.chosen[u.ID]:
			silent = append(silent, u)
		case u.isBehindFullLink(now):
			delayed = append(delayed, u)
		case u.ejectedUntil.After(now):
			ejected = append(ejected, u)
		default:
			sound = append(sound, u)
		}
	}
	switch {
	case len(sound)+len(ejected) > 0:
	case len(delayed) > 0:
		return delayed
	default:
		return silent
	}
	if len(sound) == 0 || float64(len(ejected)) > maxEjectedPart*float64(len(ejected)+len(sound)) {
		return append(sound, ejected...)
	}
	return sound
}

// Sent notes that a call with a prompt of so many tokens went to an upstream.
func (b *Balancer) Sent(now time.Time, id string, tokens int) {
	u := b.byID[id]
	if u == nil {
		return
	}
	u.own++
	u.sent++
	if tokens > 0 {
		u.placed = append(u.placed, placement{at: now, tokens: tokens})
	}
}

// Result is how a call at an upstream ended.
type Result int

// The results.
const (
	Answered  Result = iota // whole, whatever the status
	Failed                  // the upstream broke off, or answered with a fault of its own
	NotRun                  // the upstream had no room
	Moved                   // another upstream, or other weights, are at the address
	Abandoned               // the caller left, or the call's time ended
	Silent                  // nothing came in a time in which it should have
)

// fullTime is how long an upstream that had no room is passed over.
const fullTime = 30 * time.Millisecond

// silentTime is how long an upstream that said nothing is passed over: its link is narrow
// or it is gone, and calls that queue towards it would arrive after their callers left.
const silentTime = 1500 * time.Millisecond

// movedTime is how long an upstream that turned out to be another is passed over.
const movedTime = 300 * time.Millisecond

// Finished notes the end of a call.
func (b *Balancer) Finished(now time.Time, id string, result Result) {
	u := b.byID[id]
	if u == nil {
		return
	}
	u.own = max(u.own-1, 0)
	u.sent--
	switch result {
	case Answered:
		u.faults, u.ejections = 0, 0
	case Failed:
		u.fail(now)
	case NotRun:
		u.notRunUntil = now.Add(fullTime)
	case Silent:
		u.faults = faultsToEject
		u.ejectedUntil = now.Add(silentTime)
	case Moved:
		u.ejectedUntil = now.Add(movedTime)
	case Abandoned:
	}
}

func (u *upstream) fail(now time.Time) {
	u.faults++
	if u.faults < faultsToEject {
		return
	}
	u.ejectedUntil = now.Add(min(ejectTime<<min(u.ejections, 4), maxEjectTime))
	u.ejections++
}

// IsLoading reports whether an upstream is said to load weights.
func (b *Balancer) IsLoading(now time.Time, id string) bool {
	u := b.byID[id]
	return u != nil && u.load.IsLoading && now.Sub(u.reportedAt) < downLife
}

// IsLost reports whether an upstream is known to have ended or to be unreachable: it is
// no longer listed, has started anew since, or does not answer its agent.
func (b *Balancer) IsLost(now time.Time, id string, born time.Time) bool {
	u := b.byID[id]
	if u == nil {
		return false
	}
	if u.reportedAt.IsZero() || now.Sub(u.reportedAt) > reportLife {
		return false
	}
	return u.load.IsDown || (!u.load.Born.IsZero() && u.load.Born.After(born))
}
