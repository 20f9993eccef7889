package distributor

import (
	"context"
	"net/netip"
	"slices"
	"time"

	"go.uber.org/zap"

	"github.com/foxtailwharf/foxtailwharf/internal/connection/messenger"
	"github.com/foxtailwharf/foxtailwharf/internal/process/follower"
	"github.com/foxtailwharf/foxtailwharf/internal/process/grouper"
	"github.com/foxtailwharf/foxtailwharf/internal/process/sleeper"
	"github.com/foxtailwharf/foxtailwharf/wire"
)

// methodMeet is the RPC method with which a starting entry announces itself to another entry.
const methodMeet = "Meet"

// Timing of the discovery of other entries at the start.
const (
	// meetWait is how long a starting process waits to hear from other entries before it reads
	// the store, unless one of them has a configuration already. After a power failure all entries
	// start together, the first answers name few of them, and if each read the store, the reads
	// would fill the links to the store's region.
	meetWait = 250 * time.Millisecond
	// meetInterval is the time between two rounds of discovery, and meetRounds their number.
	// Later rounds find entries that start a little later.
	meetInterval = 150 * time.Millisecond
	meetRounds   = 8
	// seekInterval replaces meetInterval after these rounds, while too few processes have answered.
	seekInterval = time.Second
	// meetOthers is how many other entries are asked in a round while no seed has answered, and enoughOthers how many
	// answers take the place of that of a seed: some of them may have started as lately as this one.
	meetOthers   = 2
	enoughOthers = 6
	// meetTimeout limits one request.
	meetTimeout = 400 * time.Millisecond
)

// discovery announces the entry to the seeds at its start and learns the entries that they know, and what has left. If
// no seed answers, it asks other entries of which it has heard.
type discovery struct {
	d        *Distributor
	meetings map[netip.AddrPort]meeting // by address of the process that has answered
	done     chan struct{}
}

// meeting is how far a process has told the entries that it knows.
type meeting struct {
	process, sequence uint64
}

func (m *discovery) run(ctx context.Context) {
	defer close(m.done)
	for round := 1; round <= meetRounds || !m.hasEnough(); round++ {
		m.ask(ctx, m.targets())
		interval := meetInterval
		if round >= meetRounds {
			interval = seekInterval
		}
		if !sleeper.Sleep(ctx, interval) {
			return
		}
	}
}

// targets returns the processes to ask in the next round.
func (m *discovery) targets() (targets []netip.AddrPort) {
	for _, address := range m.d.c.Settings.Seeds {
		targets = append(targets, m.d.c.Settings.PeerAddress(address.Addr()))
	}
	if m.hasSeed() {
		return targets
	}
	others := slices.DeleteFunc(m.d.otherEntries(), func(a netip.AddrPort) bool {
		_, isKnown := m.meetings[a]
		return isKnown || slices.Contains(targets, a)
	})
	slices.SortFunc(others, netip.AddrPort.Compare)
	m.d.shuffle(others)
	return append(targets, others[:min(meetOthers, len(others))]...)
}

// hasSeed reports whether a seed has answered.
func (m *discovery) hasSeed() bool {
	return slices.ContainsFunc(m.d.c.Settings.Seeds, func(seed netip.AddrPort) bool {
		_, isKnown := m.meetings[m.d.c.Settings.PeerAddress(seed.Addr())]
		return isKnown
	})
}

// hasEnough reports whether a seed has answered, or enough other entries.
func (m *discovery) hasEnough() bool {
	return m.hasSeed() || len(m.meetings) >= enoughOthers
}

// ask meets processes at the same time.
func (m *discovery) ask(ctx context.Context, targets []netip.AddrPort) {
	var requests []*meetRequest
	for _, address := range targets {
		g := &meetRequest{d: m.d, address: address, meeting: m.meetings[address], done: make(chan struct{})}
		requests = append(requests, g)
		go g.run(ctx)
	}
	for _, g := range requests {
		<-g.done
		if g.meeting.process != 0 {
			m.meetings[g.address] = g.meeting
		}
	}
}

// meetRequest is one request to one process.
type meetRequest struct {
	d       *Distributor
	address netip.AddrPort
	meeting meeting // with the process, before the request and after it
	done    chan struct{}
}

func (g *meetRequest) run(ctx context.Context) {
	defer close(g.done)
	g.meeting = g.d.meet(ctx, g.address, g.meeting)
}

func (m *discovery) ended() <-chan struct{} {
	return m.done
}

// meet announces this entry to a seed and records the entries that the seed has heard of since the last meeting. It
// returns how far the seed has told them. A seed that does not answer is ignored, since it may no longer exist.
func (d *Distributor) meet(ctx context.Context, seed netip.AddrPort, last meeting) meeting {
	self := d.c.Settings.PeerAddress(d.c.Settings.Address)
	if seed == self {
		return last
	}
	ctx, cancel := context.WithTimeout(ctx, meetTimeout)
	defer cancel()
	known, err := messenger.Call[wire.FleetMeeting](ctx, d.client, seed, methodMeet, wire.FleetMeeting{
		Entries: []wire.FleetDomain{{Name: d.c.Settings.FailureDomain, Members: []string{self.String()}}},
		Process: last.process, Sequence: last.sequence,
	})
	if err != nil {
		d.c.Log.Debug("entry: seed does not answer", zap.Stringer("Seed", seed), zap.Error(err))
		return last
	}
	d.handleEntries(entriesOf(known.Entries))
	d.learnLeft(known.Left)
	d.follower.RequireVersion(known.Version)
	if known.IsSettled {
		d.mu.Lock()
		d.meetDeadline = time.Time{}
		d.mu.Unlock()
	}
	return meeting{process: known.Process, sequence: known.Sequence}
}

// learnLeft records the upstreams that are leaving or have left, as another entry knows them.
func (d *Distributor) learnLeft(left []wire.FleetRun) {
	runs := make([]follower.Run, 0, len(left))
	for _, r := range left {
		runs = append(runs, follower.Run{ID: r.Upstream, Born: time.UnixMilli(r.BornMillis), IsListed: r.IsListed})
	}
	d.follower.Learn(runs)
}

// leftToWire returns the upstreams that are leaving or have left.
func (d *Distributor) leftToWire() (left []wire.FleetRun) {
	for _, r := range d.follower.Left() {
		left = append(left, wire.FleetRun{Upstream: r.ID, BornMillis: r.Born.UnixMilli(), IsListed: r.IsListed})
	}
	return left
}

// handleMeet records a starting entry and answers with the entries that this one has heard of since its last answer.
// The first answer names the upstreams that have left as well.
func (d *Distributor) handleMeet(_ context.Context, m wire.FleetMeeting) (wire.FleetMeeting, error) {
	d.handleEntries(entriesOf(m.Entries))
	version := d.follower.View().Version()
	answer := wire.FleetMeeting{IsSettled: version > 0, Process: d.c.Seed, Version: version}
	byDomain := make(map[string][]string)
	after := m.Sequence
	if m.Process != d.c.Seed {
		after = 0
		byDomain[d.c.Settings.FailureDomain] = []string{d.c.Settings.PeerAddress(d.c.Settings.Address).String()}
		answer.Left = d.leftToWire()
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	for address, e := range d.entries {
		if e.sequence > after {
			byDomain[e.domain] = append(byDomain[e.domain], address.String())
		}
	}
	answer.Entries, answer.Sequence = grouper.List(byDomain), d.entrySequence
	return answer, nil
}
