// Package gossiper spreads what processes have to know of each other: instances,
// documents, usage and bans. Each process asks a few peers for what it lacks
// (pull anti-entropy), and tells them its own record with the question.
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
	"github.com/foxtailwharf/foxtailwharf/internal/process/keeper"
	"github.com/foxtailwharf/foxtailwharf/internal/process/pauser"
	"github.com/foxtailwharf/foxtailwharf/internal/process/tracker"
	"github.com/foxtailwharf/foxtailwharf/wire"
)

// The methods of the peer protocol.
const (
	MethodExchange = "Exchange"
	MethodPing     = "Ping"
)

// Constants of the exchange.
const (
	// entryFanOut is the number of entries that an entry asks in each interval.
	entryFanOut = 3
	// agentFanOut is the number of entries that an agent announces itself to.
	agentFanOut = 2
	// observers is the number of entries that probe an instance which has gone silent.
	observers = 3
	// announceFanOut bounds the entries told at once that an agent is leaving.
	announceFanOut = 16
	// pageSize is the number of records in one reply: a slow link makes progress page
	// by page instead of timing out on the whole.
	pageSize = 50
	// listInterval is the time between two readings of the platform's list.
	listInterval = 5 * time.Second
	// goneChance is how often, one in so many, a peer found gone is asked again.
	goneChance = 4
)

// Ledger is what entries share beside instances and documents.
type Ledger interface {
	Usage() []wire.Usage
	HearUsage(peer string, usage []wire.Usage)
	Bans() []wire.Quarantine
	HearBans(bans []wire.Quarantine)
}

// Config holds the settings of a Gossiper.
type Config struct {
	Self     foxtailwharf.Instance
	Client   *messenger.Client
	Keeper   *keeper.Keeper
	Lister   foxtailwharf.InstanceLister
	Ledger   Ledger // entries only
	Load     func() foxtailwharf.Load
	HearLoad func(incarnation string, load foxtailwharf.Load) // entries only
	// Generation returns the newest generation of the memory of keys; agents only.
	Generation func() uint64
	Seeds      []netip.AddrPort
	Interval   time.Duration
	Tracker    tracker.Config
	Random     *rand.Rand
	Log        *zap.Logger
}

// Gossiper holds a process's view of the others and its own record.
type Gossiper struct {
	c    Config
	done chan struct{}

	mu      sync.Mutex
	self    foxtailwharf.Instance
	tracker *tracker.Tracker
	cursors map[netip.AddrPort]cursor
	hasMore bool                    // a peer's last reply was a full page
	listed  []foxtailwharf.Instance // the platform's list as last read
}

// cursor says up to which change a peer's members are known.
type cursor struct {
	epoch string
	since uint64
}

// New returns a gossiper that has not started.
func New(c Config) *Gossiper {
	c.Self.Sequence = 1
	g := &Gossiper{
		c:       c,
		done:    make(chan struct{}),
		self:    c.Self,
		tracker: tracker.New(c.Tracker),
		cursors: make(map[netip.AddrPort]cursor),
	}
	g.tracker.HearDirect(time.Now(), g.self)
	return g
}

// Start begins the exchange; it ends with the context, after which Done is closed.
func (g *Gossiper) Start(ctx context.Context) {
	list := &listReader{g: g, done: make(chan struct{})}
	probe := &prober{g: g, done: make(chan struct{})}
	go list.run(ctx)
	go probe.run(ctx)
	go g.run(ctx, list.done, probe.done)
}

// Done is closed when all duties have ended.
func (g *Gossiper) Done() <-chan struct{} {
	return g.done
}

// Register makes a server answer the peer protocol.
func (g *Gossiper) Register(s *messenger.Server) {
	messenger.Register(s, MethodExchange, g.exchange)
	messenger.Register(s, MethodPing, g.ping)
}

// run asks peers in each interval.
func (g *Gossiper) run(ctx context.Context, parts ...chan struct{}) {
	defer close(g.done)
	for {
		g.ask(ctx, g.peers())
		if g.isBehind() {
			continue
		}
		pause := g.c.Interval*3/4 + time.Duration(g.c.Random.Int64N(int64(g.c.Interval)/2))
		if !pauser.Sleep(ctx, pause) {
			break
		}
	}
	for _, part := range parts {
		<-part
	}
}

// Self returns the process's own record.
func (g *Gossiper) Self() foxtailwharf.Instance {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.self
}

// Update changes the process's own record, so that all learn of it.
func (g *Gossiper) Update(change func(self *foxtailwharf.Instance)) {
	g.mu.Lock()
	defer g.mu.Unlock()
	change(&g.self)
	g.self.Sequence++
	g.tracker.HearDirect(time.Now(), g.self)
}

// Bind puts the address of a listener into the own record, where the settings
// left the port to the system.
func (g *Gossiper) Bind(bound net.Addr) {
	if g.Self().Address.Port() != 0 {
		return
	}
	if address, err := netip.ParseAddrPort(bound.String()); err == nil {
		g.Update(func(self *foxtailwharf.Instance) { self.Address = address })
	}
}

// Announce tells entries of the own record at once.
func (g *Gossiper) Announce(ctx context.Context) {
	entries := g.Live(foxtailwharf.RoleEntry)
	g.ask(ctx, addresses(tracker.Observers(entries, g.Self(), announceFanOut)))
}

// Warn tells the entries of the own failure domain at once what is held against a
// request, and waits until they know or the context ends.
func (g *Gossiper) Warn(ctx context.Context) {
	entries := g.Live(foxtailwharf.RoleEntry)
	self := g.Self()
	near := slices.DeleteFunc(slices.Clone(entries), func(i foxtailwharf.Instance) bool {
		return i.FailureDomain != self.FailureDomain || i.Incarnation == self.Incarnation
	})
	g.ask(ctx, addresses(near[:min(len(near), announceFanOut)]))
}

// Live returns the instances of a role that are not gone. The slice is shared and
// must not be changed.
func (g *Gossiper) Live(role foxtailwharf.Role) []foxtailwharf.Instance {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.tracker.Live(role)
}

// Find returns the record of an incarnation.
func (g *Gossiper) Find(incarnation string) (foxtailwharf.Instance, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.tracker.Find(incarnation)
}

// Lost tells that an incarnation is no longer at its address.
func (g *Gossiper) Lost(incarnation string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.tracker.Lost(time.Now(), incarnation)
}

// EntryCount returns the number of entries of the fleet, those included that are
// cut off or not yet known to be gone.
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

// peers chooses whom to ask in this interval.
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
	if strangers := g.strangers(); len(strangers) > 0 && g.c.Random.IntN(goneChance) == 0 {
		peers = append(peers, strangers[g.c.Random.IntN(len(strangers))])
	}
	return peers
}

// others leaves out the process itself.
func (g *Gossiper) others(instances []foxtailwharf.Instance) (others []foxtailwharf.Instance) {
	for _, i := range instances {
		if i.Incarnation != g.self.Incarnation {
			others = append(others, i)
		}
	}
	return others
}

// bootstrap returns addresses to ask while no entry is known.
func (g *Gossiper) bootstrap() []netip.AddrPort {
	candidates := append(g.strangers(), g.c.Seeds...)
	g.c.Random.Shuffle(len(candidates), func(i, j int) { candidates[i], candidates[j] = candidates[j], candidates[i] })
	return candidates[:min(entryFanOut, len(candidates))]
}

// strangers returns the addresses of entries that were found gone, or that stand
// in the platform's list and are not known.
func (g *Gossiper) strangers() (strangers []netip.AddrPort) {
	known := make(map[netip.AddrPort]bool)
	for _, i := range g.tracker.Live(foxtailwharf.RoleEntry) {
		known[i.Address] = true
	}
	known[g.self.Address] = true
	candidates := append(g.tracker.Gone(foxtailwharf.RoleEntry), g.listed...)
	for _, i := range candidates {
		if i.Role == foxtailwharf.RoleEntry && !known[i.Address] {
			known[i.Address] = true
			strangers = append(strangers, i.Address)
		}
	}
	return strangers
}

func addresses(instances []foxtailwharf.Instance) []netip.AddrPort {
	list := make([]netip.AddrPort, 0, len(instances))
	for _, i := range instances {
		list = append(list, i.Address)
	}
	return list
}

// ask exchanges with several peers at once and waits for all.
func (g *Gossiper) ask(ctx context.Context, peers []netip.AddrPort) {
	finished := make(chan struct{}, len(peers))
	for _, peer := range peers {
		a := &asker{g: g, peer: peer, finished: finished}
		go a.run(ctx)
	}
	for range peers {
		<-finished
	}
}
