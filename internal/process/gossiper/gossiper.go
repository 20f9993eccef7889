// Package gossiper spreads the state that processes share: instances, documents, usage and bans.
// In each interval a process requests what it lacks from a few peers (pull anti-entropy). The
// request also carries its own record.
package gossiper

import (
	"context"
	"math/rand/v2"
	"net"
	"net/netip"
	"slices"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/foxtailwharf/foxtailwharf"
	"github.com/foxtailwharf/foxtailwharf/internal/connection/messenger"
	"github.com/foxtailwharf/foxtailwharf/internal/process/registrar"
	"github.com/foxtailwharf/foxtailwharf/internal/process/sleeper"
	"github.com/foxtailwharf/foxtailwharf/internal/process/tracker"
	"github.com/foxtailwharf/foxtailwharf/wire"
)

// Methods of the peer protocol.
const (
	MethodExchange = "Exchange"
	MethodPing     = "Ping"
)

// Fan-outs, limits and intervals of the exchange.
const (
	// entryFanOut is the number of entries that an entry sends requests to in each interval.
	entryFanOut = 3
	// agentFanOut is the number of entries that an agent sends requests to in each interval.
	agentFanOut = 2
	// observerCount is the number of entries that probe a silent instance.
	observerCount = 3
	// announceFanOut limits the number of entries that Announce and ShareBans send requests to, for
	// example when an agent is leaving.
	announceFanOut = 16
	// pageSize is the maximum number of records in one reply. A slow link then makes progress page by
	// page, where one large reply would time out.
	pageSize = 50
	// listInterval is the time between two reads of the platform's list of instances.
	listInterval = 5 * time.Second
	// goneRetryOdds gives the probability, one in goneRetryOdds for each interval, with which an
	// entry also sends a request to an entry that it considers gone or does not know yet.
	goneRetryOdds = 4
)

// SharedState holds the usage and bans that entries share in addition to instances and documents.
type SharedState interface {
	Usage() []wire.Usage
	MergeUsage(peer string, usage []wire.Usage)
	// Evidence returns what is held against requests that crash upstreams, and the bans.
	Evidence() wire.FleetWarning
	MergeEvidence(w wire.FleetWarning)
}

// Config holds the dependencies and settings of a Gossiper.
type Config struct {
	Self        foxtailwharf.Instance
	Client      *messenger.Client
	Registrar   *registrar.Registrar
	Lister      foxtailwharf.InstanceLister
	SharedState SharedState // nil for agents
	Load        func() foxtailwharf.Load
	UpdateLoad  func(incarnation string, load foxtailwharf.Load) // called with each agent's load; nil for agents
	// Generation returns the current generation of the stored keys; nil for entries.
	Generation func() uint64
	Seeds      []netip.AddrPort
	Interval   time.Duration
	Tracker    tracker.Config
	Random     *rand.Rand
	Log        *zap.Logger
}

// Gossiper holds a process's view of the other instances and its own record. It is safe for
// concurrent use.
type Gossiper struct {
	c    Config
	done chan struct{}

	mu      sync.Mutex
	self    foxtailwharf.Instance
	tracker *tracker.Tracker
	cursors map[netip.AddrPort]cursor
	hasMore bool                    // a peer has sent a full page since the last check
	listed  []foxtailwharf.Instance // the platform's list as last read
}

// cursor is the position up to which a peer's member changes are known.
type cursor struct {
	epoch string
	since uint64
}

// New returns a gossiper that knows only its own instance and has not started.
func New(c Config) *Gossiper {
	c.Self.Sequence = 1
	g := &Gossiper{
		c:       c,
		done:    make(chan struct{}),
		self:    c.Self,
		tracker: tracker.New(c.Tracker),
		cursors: make(map[netip.AddrPort]cursor),
	}
	g.tracker.ApplyDirect(time.Now(), g.self)
	return g
}

// Start starts the exchange, the reads of the platform's list and the probes. They end with ctx,
// after which Done is closed.
func (g *Gossiper) Start(ctx context.Context) {
	list := &listReader{g: g, done: make(chan struct{})}
	probe := &prober{g: g, done: make(chan struct{})}
	go list.run(ctx)
	go probe.run(ctx)
	go g.run(ctx, list.done, probe.done)
}

// Done returns a channel that is closed when all background tasks have ended.
func (g *Gossiper) Done() <-chan struct{} {
	return g.done
}

// Register adds the methods of the peer protocol to a server.
func (g *Gossiper) Register(s *messenger.Server) {
	messenger.Register(s, MethodExchange, g.handleExchange)
	messenger.Register(s, MethodPing, g.handlePing)
}

// run exchanges with peers in each interval, and again at once while a peer has more records.
func (g *Gossiper) run(ctx context.Context, tasks ...chan struct{}) {
	defer close(g.done)
	for {
		g.exchangeAll(ctx, g.peers())
		if g.isBehind() {
			continue
		}
		pause := g.c.Interval*3/4 + time.Duration(g.c.Random.Int64N(int64(g.c.Interval)/2))
		if !sleeper.Sleep(ctx, pause) {
			break
		}
	}
	for _, task := range tasks {
		<-task
	}
}

// Self returns a copy of this process's record.
func (g *Gossiper) Self() foxtailwharf.Instance {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.self
}

// Update changes this process's record and raises its sequence, so that the change spreads.
func (g *Gossiper) Update(change func(self *foxtailwharf.Instance)) {
	g.mu.Lock()
	defer g.mu.Unlock()
	change(&g.self)
	g.self.Sequence++
	g.tracker.ApplyDirect(time.Now(), g.self)
}

// Bind sets the address in this process's record to that of a listener, if the settings leave the
// port to the operating system.
func (g *Gossiper) Bind(bound net.Addr) {
	if g.Self().Address.Port() != 0 {
		return
	}
	if address, err := netip.ParseAddrPort(bound.String()); err == nil {
		g.Update(func(self *foxtailwharf.Instance) { self.Address = address })
	}
}

// Announce sends this process's record to entries at once, without waiting for the next interval.
func (g *Gossiper) Announce(ctx context.Context) {
	entries := g.Live(foxtailwharf.RoleEntry)
	g.exchangeAll(ctx, addresses(tracker.Observers(entries, g.Self(), announceFanOut)))
}

// ShareBans sends this process's bans at once to the entries of its failure domain and to those of the
// others, at most announceFanOut of each. It returns when they have answered or ctx ends.
func (g *Gossiper) ShareBans(ctx context.Context) {
	self := g.Self()
	var near, far []foxtailwharf.Instance
	for _, i := range g.Live(foxtailwharf.RoleEntry) {
		switch {
		case i.Incarnation == self.Incarnation:
		case i.FailureDomain == self.FailureDomain:
			near = append(near, i)
		default:
			far = append(far, i)
		}
	}
	near = near[:min(len(near), announceFanOut)]
	g.exchangeAll(ctx, addresses(slices.Concat(near, tracker.Observers(far, self, announceFanOut))))
}

// Live returns the instances of a role that are not gone. The slice is shared and must not be
// changed.
func (g *Gossiper) Live(role foxtailwharf.Role) []foxtailwharf.Instance {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.tracker.Live(role)
}

// Find returns the record of an incarnation; false if it is not known.
func (g *Gossiper) Find(incarnation string) (foxtailwharf.Instance, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.tracker.Find(incarnation)
}

// MarkLost records that an incarnation no longer runs at its address.
func (g *Gossiper) MarkLost(incarnation string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.tracker.MarkLost(time.Now(), incarnation)
}

// EntryCount returns the number of entries of the fleet. It includes entries that are partitioned
// or not yet known to be gone.
func (g *Gossiper) EntryCount() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	listed := 0
	for _, i := range g.listed {
		if i.Role == foxtailwharf.RoleEntry && !i.IsLeaving {
			listed++
		}
	}
	return max(listed, len(g.tracker.Live(foxtailwharf.RoleEntry)))
}

// peers selects the peers for this interval.
func (g *Gossiper) peers() []netip.AddrPort {
	g.mu.Lock()
	defer g.mu.Unlock()
	entries := g.others(g.tracker.Live(foxtailwharf.RoleEntry))
	if len(entries) == 0 {
		return g.bootstrap()
	}
	if g.self.Role == foxtailwharf.RoleAgent {
		return addresses(tracker.Observers(entries, g.self, agentFanOut))
	}
	g.c.Random.Shuffle(len(entries), func(i, j int) { entries[i], entries[j] = entries[j], entries[i] })
	peers := addresses(entries[:min(entryFanOut, len(entries))])
	if unknownEntries := g.unknownEntries(); len(unknownEntries) > 0 && g.c.Random.IntN(goneRetryOdds) == 0 {
		peers = append(peers, unknownEntries[g.c.Random.IntN(len(unknownEntries))])
	}
	return peers
}

// others returns the instances without this process's own.
func (g *Gossiper) others(instances []foxtailwharf.Instance) (others []foxtailwharf.Instance) {
	for _, i := range instances {
		if i.Incarnation != g.self.Incarnation {
			others = append(others, i)
		}
	}
	return others
}

// bootstrap returns addresses to try while no other entry is known.
func (g *Gossiper) bootstrap() []netip.AddrPort {
	candidates := append(g.unknownEntries(), g.c.Seeds...)
	g.c.Random.Shuffle(len(candidates), func(i, j int) { candidates[i], candidates[j] = candidates[j], candidates[i] })
	return candidates[:min(entryFanOut, len(candidates))]
}

// unknownEntries returns the addresses of entries that are gone, or that are in the platform's list
// but not known as live.
func (g *Gossiper) unknownEntries() (unknownEntries []netip.AddrPort) {
	known := make(map[netip.AddrPort]bool)
	for _, i := range g.tracker.Live(foxtailwharf.RoleEntry) {
		known[i.Address] = true
	}
	known[g.self.Address] = true
	candidates := append(g.tracker.Gone(foxtailwharf.RoleEntry), g.listed...)
	for _, i := range candidates {
		if i.Role == foxtailwharf.RoleEntry && !known[i.Address] {
			known[i.Address] = true
			unknownEntries = append(unknownEntries, i.Address)
		}
	}
	return unknownEntries
}

func addresses(instances []foxtailwharf.Instance) []netip.AddrPort {
	list := make([]netip.AddrPort, 0, len(instances))
	for _, i := range instances {
		list = append(list, i.Address)
	}
	return list
}

// exchangeAll exchanges with several peers in parallel and waits for all of them.
func (g *Gossiper) exchangeAll(ctx context.Context, peers []netip.AddrPort) {
	finished := make(chan struct{}, len(peers))
	for _, peer := range peers {
		e := &peerExchange{g: g, peer: peer, finished: finished}
		go e.run(ctx)
	}
	for range peers {
		<-finished
	}
}
