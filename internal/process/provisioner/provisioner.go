// Package provisioner is the agent of a fleet that the platform lists. It loads the weights that
// the entries name onto the engine of its machine, shares chunks with the other agents, and
// reports the engine's load to the entries. It does not read the platform's store: the entries
// send it what it needs to know.
package provisioner

import (
	"context"
	"math/rand/v2"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"github.com/foxtailwharf/foxtailwharf"
	"github.com/foxtailwharf/foxtailwharf/internal/connection/delayestimator"
	"github.com/foxtailwharf/foxtailwharf/internal/connection/messenger"
	"github.com/foxtailwharf/foxtailwharf/internal/connection/notifier"
	"github.com/foxtailwharf/foxtailwharf/internal/connection/server"
	"github.com/foxtailwharf/foxtailwharf/internal/process/meter"
	"github.com/foxtailwharf/foxtailwharf/internal/request/estimator"
	"github.com/foxtailwharf/foxtailwharf/internal/version/downloader"
	"github.com/foxtailwharf/foxtailwharf/internal/version/fetcher"
	"github.com/foxtailwharf/foxtailwharf/internal/version/holder"
	"github.com/foxtailwharf/foxtailwharf/internal/version/throttler"
	"github.com/foxtailwharf/foxtailwharf/internal/version/timekeeper"
	"github.com/foxtailwharf/foxtailwharf/internal/version/uploader"
)

const (
	// uploadFraction is the fraction of the machine's link that uploads may use; the rest is for
	// the engine's streams.
	uploadFraction = 0.88
	// concurrentUploads is the number of chunks uploaded at a time.
	concurrentUploads = 4
	// concurrentDownloads is the number of chunks fetched at a time. More would queue ahead of the
	// engine's calls on a narrow link.
	concurrentDownloads = 6
	// uploadBlockBytes is the size of one write of a chunk. Calls on a narrow link wait for at
	// most one such block.
	uploadBlockBytes = 8 << 10
	// delayTTL is how long the delay that an entry measured for the agent's reports is used.
	delayTTL = 1500 * time.Millisecond
	// neighbours is the number of agents with which chunks are exchanged.
	neighbours = 16
	// takeoverTimeout, longPollTimeout and stallTimeout are timeouts of the fetcher for chunks that
	// take some hundredths of a second each: time without progress before the next agent is asked,
	// time for which an agent is asked to hold a request, and time without a byte before a
	// download is abandoned.
	takeoverTimeout = 700 * time.Millisecond
	longPollTimeout = 2 * time.Second
	stallTimeout    = 1200 * time.Millisecond
	// pathReleases is the path below which agents serve manifests to each other, by model and
	// version.
	pathReleases = "/releases/"
	bitsPerByte  = 8
)

// Config holds the settings and dependencies of a Provisioner.
type Config struct {
	Settings       foxtailwharf.FleetSettings
	Slot           foxtailwharf.ChunkEngine
	Origin         Origin
	Network        foxtailwharf.Network
	PacketListener notifier.PacketListener
	// Clock returns the machine's monotonic time, including time during which the machine is
	// suspended.
	Clock func() time.Duration
	Log   *zap.Logger
	Seed  uint64
}

// Origin serves the weights of releases. The entries announce its address.
type Origin interface {
	foxtailwharf.ReleaseOrigin
	SetAddress(address netip.AddrPort)
	// Learn adds a manifest that was read from another agent, so that its chunks can be fetched.
	Learn(release foxtailwharf.Release, manifest foxtailwharf.Manifest)
}

// Provisioner is one agent. Stop must not be called before Start has succeeded.
type Provisioner struct {
	c              Config
	holder         *holder.Holder
	uploader       *uploader.Uploader
	fetcher        *fetcher.Fetcher
	messages       *messenger.Server
	client         *messenger.Client
	http           *http.Client
	notifier       *notifier.Notifier
	meter          *meter.Meter
	servers        server.Group
	throttler      *throttler.Throttler           // guarded by mu
	delayestimator *delayestimator.DelayEstimator // delays of the entries' notices; guarded by mu
	reporter       *reporter
	installer      *installLoop
	cancel         context.CancelFunc

	mu              sync.Mutex
	model           string // that the engine serves, as the entries say
	timekeeper      *timekeeper.Timekeeper
	agents          []foxtailwharf.Instance
	candidates      []foxtailwharf.Instance // those of agents that all agents know
	digest          string                  // digest of agents as the entries sent it
	revision        uint64                  // revision of the store at which agents was read
	domain          []string                // machines of this agent's failure domain
	firstNotice     time.Time
	entryList       entryList
	askedAt         time.Time      // last question for the list of agents
	asked           netip.AddrPort // entry that is still to be asked; zero for none
	entries         map[netip.AddrPort]entry
	originRegion    string
	originRate      int64 // in bytes per second; 0 if unknown
	load            foxtailwharf.UpstreamLoad
	loadsAt         time.Time                       // when the engine is to load other weights; zero if it is not to
	estimator       estimator.Estimator             // of the prompt tokens left to read
	manifestDigests map[foxtailwharf.Release]string // digests of manifests that were read
}

// entry is an entry that has sent a notice.
type entry struct {
	lastNotice time.Time
	domain     string
	linkDelay  time.Duration // delay of this agent's reports, as measured by the entry
	isStandby  bool          // wants one report for each notice
	isDue      bool          // has to get a report now
	listedAt   time.Time     // when it last got the entries or their digest
	heldDigest string        // of the list of entries that it has from this agent
}

// wantedRelease is the release that the entries want engines to serve.
type wantedRelease struct {
	release foxtailwharf.Release
	// namedAt is when an entry first heard of the release, or the time after which the engine has to
	// switch less the time for a switch, if that time is unknown.
	namedAt time.Time
}

// New builds an agent. It does nothing until Start.
func New(c Config) *Provisioner {
	p := &Provisioner{
		c:               c,
		holder:          holder.New(),
		messages:        messenger.NewServer(),
		client:          messenger.NewClient(c.Network),
		http:            downloader.Client(c.Network),
		meter:           meter.New(),
		entries:         make(map[netip.AddrPort]entry),
		manifestDigests: make(map[foxtailwharf.Release]string),
		delayestimator:  delayestimator.New(),
		timekeeper:      timekeeper.New(timekeeper.Config{Switch: c.Settings.Switch}),
	}
	rate := int64(c.Settings.LinkMegabits * 1e6 / bitsPerByte * uploadFraction)
	p.throttler = throttler.New(throttler.Config{Downloads: concurrentDownloads, Rate: rate})
	p.uploader = uploader.New(uploader.Config{Holder: p.holder, Uploads: concurrentUploads, Rate: rate, BlockBytes: uploadBlockBytes})
	p.fetcher = fetcher.New(fetcher.Config{
		Self:            p.self,
		Holders:         p.holders,
		Owners:          p.owners,
		Holder:          p.holder,
		Client:          p.client,
		HTTP:            p.http,
		Origin:          c.Origin,
		Policy:          foxtailwharf.FetchSwarm,
		OriginRegion:    p.region,
		OriginRate:      p.rate,
		Neighbours:      neighbours,
		Downloads:       concurrentDownloads,
		TakeoverTimeout: takeoverTimeout,
		LongPollTimeout: longPollTimeout,
		StallTimeout:    stallTimeout,
		DownloadLimit:   p.allowedDownloads,
		Random:          rand.New(rand.NewPCG(c.Seed, foxtailwharf.RendezvousScore(c.Settings.Name, "fetcher"))),
		Log:             c.Log,
	})
	p.reporter = &reporter{p: p, done: make(chan struct{}), wake: make(chan struct{}, 1)}
	p.installer = &installLoop{p: p, done: make(chan struct{})}
	return p
}

// wanted returns the newest release; its version is 0 if there is none. p.mu must be held.
func (p *Provisioner) wanted() (w wantedRelease) {
	newest, isNamed := p.timekeeper.Newest(p.model)
	if !isNamed {
		return w
	}
	return wantedRelease{release: newest.Release(p.model), namedAt: p.localTime(p.timekeeper.Due(newest) - p.c.Settings.Switch)}
}

// localTime returns a time of the clock that also advances while the machine is suspended, so that the
// result must not be kept.
func (p *Provisioner) localTime(at time.Duration) time.Time {
	return time.Now().Add(at - p.c.Clock())
}

func (p *Provisioner) allowedDownloads() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.throttler.Downloads()
}

// adjustTransfers adapts the transfers of weights to the queueing delays on the machine's link and
// returns the delay of incoming traffic. p.mu must be held.
func (p *Provisioner) adjustTransfers(now time.Time) time.Duration {
	down := p.delayestimator.LocalDelay(now)
	p.throttler.Update(now, down, p.reportDelay(now))
	p.uploader.SetRate(p.throttler.Rate())
	return down
}

// reportDelay returns the queueing delay of outgoing traffic: the lowest that any entry measured
// recently, because the links of other entries may be full. p.mu must be held.
func (p *Provisioner) reportDelay(now time.Time) (least time.Duration) {
	isFirst := true
	for _, e := range p.entries {
		if now.Sub(e.lastNotice) < delayTTL && (isFirst || e.linkDelay < least) {
			least, isFirst = e.linkDelay, false
		}
	}
	return least
}

// self returns this agent as other agents know it; the machine address is its name and
// incarnation.
func (p *Provisioner) self() foxtailwharf.Instance {
	return p.instance(p.c.Settings.Address, p.c.Settings.FailureDomain)
}

func (p *Provisioner) instance(machine netip.Addr, domain string) foxtailwharf.Instance {
	return foxtailwharf.Instance{
		Name:          machine.String(),
		Incarnation:   machine.String(),
		Role:          foxtailwharf.RoleAgent,
		Address:       p.c.Settings.PeerAddress(machine),
		FailureDomain: domain,
		Region:        p.c.Settings.Regions[domain],
	}
}

// owners returns the agents that may bring chunks into their regions. The slice must not be changed.
func (p *Provisioner) owners() []foxtailwharf.Instance {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.candidates
}

// holders returns the agents that share weights, as far as this one knows them. The slice must not be changed.
func (p *Provisioner) holders() []foxtailwharf.Instance {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.agents
}

func (p *Provisioner) region() string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.originRegion
}

// rate returns the origin's sending rate in bytes per second; 0 if unknown.
func (p *Provisioner) rate() int64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.originRate
}

// Start listens and starts all background work, which ends with Stop. The end of the context ends all
// of it at once except for the servers and the notifier. If a listener fails, nothing is left open.
func (p *Provisioner) Start(ctx context.Context) error {
	s := p.c.Settings
	ctx, p.cancel = context.WithCancel(ctx)
	socket, err := p.c.PacketListener.ListenPacket(ctx, s.PeerAddress(s.Address))
	if err != nil {
		return errors.Wrap(err, "Provisioner.Start")
	}
	p.notifier = notifier.New(notifier.Config{
		Socket: socket, Clock: p.c.Clock, OnMessage: p.handleNotice, Log: p.c.Log,
		OnSent: func(kind notifier.Kind, bytes int) { p.meter.Add(kind.Counter(), int64(bytes)) },
	})
	if err = p.listen(ctx); err != nil {
		_ = socket.Close()
		p.servers.Close()
		return errors.Wrap(err, "Provisioner.Start")
	}
	p.notifier.Start()
	p.fetcher.Start(ctx)
	go p.reporter.run(ctx)
	go p.installer.run(ctx)
	p.c.Log.Info("agent: started", zap.String("Name", s.Name), zap.Stringer("Upstream", s.Upstream))
	return nil
}

// listen opens the listeners for other agents and, if the settings have an address for it, for metrics.
func (p *Provisioner) listen(ctx context.Context) error {
	s := p.c.Settings
	if err := p.serve(ctx, s.PeerAddress(s.Address), p.mux()); err != nil || !s.Metrics.IsValid() {
		return err
	}
	return p.serve(ctx, s.Metrics, p.metricsMux())
}

func (p *Provisioner) serve(ctx context.Context, address netip.AddrPort, handler http.Handler) error {
	listener, err := p.c.Network.Listen(ctx, address)
	if err != nil {
		return err
	}
	h := &http.Server{Handler: handler, ReadHeaderTimeout: stallTimeout, ErrorLog: zap.NewStdLog(p.c.Log)}
	p.servers.Add(server.Start(server.Config{Listener: listener, HTTP: h, Log: p.c.Log}))
	return nil
}

// Counter returns the value of a counter of the metrics.
func (p *Provisioner) Counter(name string) int64 {
	return p.meter.Counter(name)
}

// Stop ends all background work and waits for it. The engine keeps running.
func (p *Provisioner) Stop(ctx context.Context) error {
	p.c.Log.Info("agent: stopping")
	p.cancel()
	err := p.servers.Shutdown(ctx)
	p.messages.Close()
	p.client.Close()
	p.notifier.Close()
	<-p.fetcher.Done()
	<-p.reporter.done
	<-p.installer.done
	p.c.Log.Info("agent: stopped", zap.Error(err))
	return errors.Wrap(err, "Provisioner.Stop")
}
