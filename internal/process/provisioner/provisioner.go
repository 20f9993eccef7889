// Package provisioner is an agent of a fleet that the platform lists. It brings the
// engine on its machine to the weights that the entries name, sharing chunks with the
// other agents, and tells the entries the engine's load. It needs nothing from the
// store: what it must know the entries tell it.
package provisioner

import (
	"context"
	"math/rand/v2"
	"net/http"
	"net/netip"
	"strconv"
	"sync"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"github.com/foxtailwharf/foxtailwharf"
	"github.com/foxtailwharf/foxtailwharf/internal/connection/gauger"
	"github.com/foxtailwharf/foxtailwharf/internal/connection/messenger"
	"github.com/foxtailwharf/foxtailwharf/internal/connection/notifier"
	"github.com/foxtailwharf/foxtailwharf/internal/connection/server"
	"github.com/foxtailwharf/foxtailwharf/internal/process/pauser"
	"github.com/foxtailwharf/foxtailwharf/internal/process/recorder"
	"github.com/foxtailwharf/foxtailwharf/internal/request/estimator"
	"github.com/foxtailwharf/foxtailwharf/internal/version/fetcher"
	"github.com/foxtailwharf/foxtailwharf/internal/version/holder"
	"github.com/foxtailwharf/foxtailwharf/internal/version/sourcer"
	"github.com/foxtailwharf/foxtailwharf/internal/version/throttler"
	"github.com/foxtailwharf/foxtailwharf/internal/version/uploader"
)

// Constants of an agent.
const (
	// uploadPart is the part of the machine's link that uploads may take: the rest is for
	// the engine's streams.
	uploadPart = 0.88
	// uploads is the number of chunks that are uploaded at a time.
	uploads = 4
	// downloads is the number of chunks that are fetched at a time: more would queue on a
	// narrow link before the engine's calls.
	downloads = 6
	// blockBytes is how much of a chunk is sent at once: calls on a narrow link wait for no
	// more.
	blockBytes = 8 << 10
	// noticeFresh is how long an entry's word on the agent's reports counts.
	noticeFresh = 1500 * time.Millisecond
	// neighbours is the number of agents with which chunks are exchanged.
	neighbours = 16
	// patience, sponsorWait and stall are the times of the fetcher, for chunks that take
	// some hundredths of a second each.
	patience    = 700 * time.Millisecond
	sponsorWait = 2 * time.Second
	stall       = 1200 * time.Millisecond
	// pathReleases is where agents give each other manifests by version.
	pathReleases = "/releases/"
	bitsPerByte  = 8
)

// Config holds the settings of a Provisioner.
type Config struct {
	Settings foxtailwharf.FleetSettings
	Slot     foxtailwharf.ChunkSlot
	Origin   Origin
	Network  foxtailwharf.Network
	Packets  notifier.Packets
	// Clock is that of the machine; it also counts while the machine is suspended.
	Clock func() time.Duration
	Log   *zap.Logger
	Seed  uint64
}

// Origin is the origin of weights, whose address the entries tell.
type Origin interface {
	foxtailwharf.ReleaseOrigin
	SetAddress(address netip.AddrPort)
	// Learn takes in a manifest that was read elsewhere.
	Learn(release foxtailwharf.Release, manifest foxtailwharf.Manifest)
}

// Provisioner is one agent.
type Provisioner struct {
	c         Config
	holder    *holder.Holder
	uploader  *uploader.Uploader
	fetcher   *fetcher.Fetcher
	messages  *messenger.Server
	client    *messenger.Client
	http      *http.Client
	notifier  *notifier.Notifier
	recorder  *recorder.Recorder
	server    *server.Server
	metrics   *server.Server       // nil where the settings do not ask for it
	throttler *throttler.Throttler // under mu
	gauger    *gauger.Gauger       // of the entries' notices; under mu
	reporter  *reporter
	installer *install
	cancel    context.CancelFunc

	mu           sync.Mutex
	notice       notice
	agents       []foxtailwharf.Instance
	digest       string   // of the list of agents
	revision     uint64   // of the store, that of the list
	domain       []string // machines of the own failure domain
	entries      map[netip.AddrPort]entry
	originRegion string
	originRate   int64 // in bytes a second; 0 where it is not known
	load         foxtailwharf.UpstreamLoad
	estimator    estimator.Estimator             // of what the engine has to read
	digests      map[foxtailwharf.Release]string // of manifests
}

// entry is an entry that has sent a notice.
type entry struct {
	heard  time.Time
	domain string        // failure domain
	delay  time.Duration // of the agent's reports there
}

// notice is what the entries have told.
type notice struct {
	release foxtailwharf.Release
	named   time.Time // when the release was first heard of anywhere
	isGuess bool      // that moment is not known
}

// New builds an agent that has not started.
func New(c Config) *Provisioner {
	p := &Provisioner{
		c:        c,
		holder:   holder.New(),
		messages: messenger.NewServer(),
		client:   messenger.NewClient(c.Network),
		http:     sourcer.Client(c.Network),
		recorder: recorder.New(),
		entries:  make(map[netip.AddrPort]entry),
		digests:  make(map[foxtailwharf.Release]string),
		gauger:   gauger.New(),
	}
	rate := int64(c.Settings.LinkMegabits * 1e6 / bitsPerByte * uploadPart)
	p.throttler = throttler.New(throttler.Config{Downloads: downloads, Rate: rate})
	p.uploader = uploader.New(uploader.Config{Holder: p.holder, Uploads: uploads, Rate: rate, Block: blockBytes})
	p.fetcher = fetcher.New(fetcher.Config{
		Self:         p.self,
		Holders:      p.holders,
		Holder:       p.holder,
		Client:       p.client,
		HTTP:         p.http,
		Origin:       c.Origin,
		Policy:       foxtailwharf.FetchSwarm,
		OriginRegion: p.region,
		OriginRate:   p.rate,
		Neighbours:   neighbours,
		Downloads:    downloads,
		Patience:     patience,
		Wait:         sponsorWait,
		Stall:        stall,
		Allowed:      p.allowedDownloads,
		Random:       rand.New(rand.NewPCG(c.Seed, foxtailwharf.Score(c.Settings.Name, "fetcher"))),
		Log:          c.Log,
	})
	p.reporter = &reporter{p: p, done: make(chan struct{}), wake: make(chan struct{}, 1)}
	p.installer = &install{p: p, done: make(chan struct{})}
	return p
}

// allowedDownloads returns how many chunks may be fetched at a time.
func (p *Provisioner) allowedDownloads() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.throttler.Downloads()
}

// throttle makes the transfers of weights follow the waits on the machine's link. It returns
// the wait of what is sent to the machine. The caller holds the lock.
func (p *Provisioner) throttle(now time.Time) time.Duration {
	down := p.gauger.Common(now)
	p.throttler.Note(now, down, p.reportDelay(now))
	p.uploader.SetRate(p.throttler.Rate())
	return down
}

// reportDelay returns the wait of what the machine sends: the least that an entry sees, since
// the links of others may be full.
func (p *Provisioner) reportDelay(now time.Time) (least time.Duration) {
	isFirst := true
	for _, e := range p.entries {
		if now.Sub(e.heard) < noticeFresh && (isFirst || e.delay < least) {
			least, isFirst = e.delay, false
		}
	}
	return least
}

// self is this agent as the others know it: by the machine.
func (p *Provisioner) self() foxtailwharf.Instance {
	return p.instance(p.c.Settings.Address, p.c.Settings.FailureDomain)
}

func (p *Provisioner) instance(machine netip.Addr, domain string) foxtailwharf.Instance {
	return foxtailwharf.Instance{
		Name:          machine.String(),
		Incarnation:   machine.String(),
		Role:          foxtailwharf.RoleAgent,
		Address:       p.c.Settings.Peers(machine),
		FailureDomain: domain,
		Region:        p.c.Settings.Regions[domain],
	}
}

// holders returns the agents that should have the version.
func (p *Provisioner) holders() []foxtailwharf.Instance {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.agents
}

// region returns the origin's region.
func (p *Provisioner) region() string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.originRegion
}

// rate returns what the origin sends, in bytes a second.
func (p *Provisioner) rate() int64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.originRate
}

// Start listens and begins all duties. They end with Stop, or at once with the context.
func (p *Provisioner) Start(ctx context.Context) error {
	s := p.c.Settings
	ctx, p.cancel = context.WithCancel(ctx)
	socket, err := p.c.Packets.ListenPacket(ctx, s.Peers(s.Address))
	if err != nil {
		return errors.Wrap(err, "Provisioner.Start")
	}
	p.notifier = notifier.New(notifier.Config{Socket: socket, Clock: p.c.Clock, Heard: p.hearNotice, Log: p.c.Log})
	listener, err := p.c.Network.Listen(ctx, s.Peers(s.Address))
	if err != nil {
		_ = socket.Close()
		return errors.Wrap(err, "Provisioner.Start")
	}
	h := &http.Server{Handler: p.mux(), ReadHeaderTimeout: stall, ErrorLog: zap.NewStdLog(p.c.Log)}
	p.server = server.Start(listener, h, p.c.Log)
	if err := p.serveMetrics(ctx); err != nil {
		return errors.Wrap(err, "Provisioner.Start")
	}
	p.notifier.Start()
	p.fetcher.Start(ctx)
	go p.reporter.run(ctx)
	go p.installer.run(ctx)
	p.c.Log.Info("agent: Started.", zap.String("Name", s.Name), zap.Stringer("Upstream", s.Upstream))
	return nil
}

// serveMetrics serves the metrics as text where the settings ask for it.
func (p *Provisioner) serveMetrics(ctx context.Context) error {
	if !p.c.Settings.Metrics.IsValid() {
		return nil
	}
	listener, err := p.c.Network.Listen(ctx, p.c.Settings.Metrics)
	if err != nil {
		return err
	}
	load := func(value func(foxtailwharf.UpstreamLoad) int64) func() int64 {
		return func() int64 {
			p.mu.Lock()
			defer p.mu.Unlock()
			return value(p.load)
		}
	}
	p.recorder.Gauge("Weights", load(func(l foxtailwharf.UpstreamLoad) int64 { return l.Weights }))
	p.recorder.Gauge("Running", load(func(l foxtailwharf.UpstreamLoad) int64 { return int64(l.Running) }))
	p.recorder.Gauge("Queued", load(func(l foxtailwharf.UpstreamLoad) int64 { return int64(l.Queued) }))
	p.recorder.Gauge("OriginBytesDrawn", p.fetcher.Drawn)
	p.recorder.Gauge("BytesUploaded", p.uploader.Sent)
	mux := http.NewServeMux()
	mux.HandleFunc("GET /metrics", p.recorder.ServeText)
	p.metrics = server.Start(listener, &http.Server{Handler: mux, ReadHeaderTimeout: stall, ErrorLog: zap.NewStdLog(p.c.Log)}, p.c.Log)
	return nil
}

func (p *Provisioner) mux() http.Handler {
	p.fetcher.Register(p.messages)
	mux := http.NewServeMux()
	mux.Handle("GET "+messenger.Path, p.messages)
	mux.Handle("GET /metrics", p.recorder)
	mux.HandleFunc("GET "+sourcer.PathManifests, p.uploader.ServeManifest)
	mux.HandleFunc("GET "+sourcer.PathChunks, p.uploader.ServeChunk)
	mux.HandleFunc("GET "+pathReleases+"{Model}/{Version}", p.serveRelease)
	return mux
}

// manifestHold is how long a question for a manifest that is being read is held, and
// manifestPoll the time between two looks.
const (
	manifestHold = 400 * time.Millisecond
	manifestPoll = 10 * time.Millisecond
)

// serveRelease answers with the manifest of a release, after a while if it is on its way.
func (p *Provisioner) serveRelease(w http.ResponseWriter, r *http.Request) {
	version, err := strconv.ParseInt(r.PathValue("Version"), 10, 64)
	if err != nil {
		http.Error(w, "the version must be a number", http.StatusBadRequest)
		return
	}
	release := foxtailwharf.Release{Model: r.PathValue("Model"), Version: version}
	text, isHeld := p.manifest(release)
	for until := time.Now().Add(manifestHold); !isHeld && time.Now().Before(until) && pauser.Sleep(r.Context(), manifestPoll); {
		text, isHeld = p.manifest(release)
	}
	if !isHeld {
		http.NotFound(w, r)
		return
	}
	if _, err := w.Write(text); err != nil {
		p.c.Log.Debug("agent: A manifest was not sent.", zap.Error(err))
	}
}

// manifest returns the manifest of a release where it is held.
func (p *Provisioner) manifest(release foxtailwharf.Release) ([]byte, bool) {
	p.mu.Lock()
	digest, isKnown := p.digests[release]
	p.mu.Unlock()
	if !isKnown {
		return nil, false
	}
	return p.holder.Manifest(digest)
}

// Stop ends all duties. The engine goes on by itself.
func (p *Provisioner) Stop(ctx context.Context) error {
	p.c.Log.Info("agent: Stopping.")
	p.cancel()
	err := p.server.Shutdown(ctx)
	if p.metrics != nil {
		if shutErr := p.metrics.Shutdown(ctx); shutErr != nil && err == nil {
			err = shutErr
		}
	}
	p.messages.Close()
	p.client.Close()
	p.notifier.Close()
	<-p.fetcher.Done()
	<-p.reporter.done
	<-p.installer.done
	p.c.Log.Info("agent: Stopped.", zap.Error(err))
	return errors.Wrap(err, "Provisioner.Stop")
}
