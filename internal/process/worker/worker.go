// Package worker is the agent, the process that runs beside one upstream, of a fleet whose
// processes exchange their state by gossip. Only the agent sends requests and load orders to its
// upstream. Package provisioner is the agent of a fleet that the platform lists.
package worker

import (
	"context"
	"math"
	"math/rand/v2"
	"net"
	"net/http"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"github.com/foxtailwharf/foxtailwharf"
	"github.com/foxtailwharf/foxtailwharf/internal/connection/dialer"
	"github.com/foxtailwharf/foxtailwharf/internal/connection/driver"
	"github.com/foxtailwharf/foxtailwharf/internal/connection/messenger"
	"github.com/foxtailwharf/foxtailwharf/internal/process/gossiper"
	"github.com/foxtailwharf/foxtailwharf/internal/process/meter"
	"github.com/foxtailwharf/foxtailwharf/internal/process/placer"
	"github.com/foxtailwharf/foxtailwharf/internal/process/registrar"
	"github.com/foxtailwharf/foxtailwharf/internal/process/storer"
	"github.com/foxtailwharf/foxtailwharf/internal/request/deduplicator"
	"github.com/foxtailwharf/foxtailwharf/internal/request/dispatcher"
	"github.com/foxtailwharf/foxtailwharf/internal/request/runner"
	"github.com/foxtailwharf/foxtailwharf/internal/request/scheduler"
	"github.com/foxtailwharf/foxtailwharf/internal/version/downloader"
	"github.com/foxtailwharf/foxtailwharf/internal/version/fetcher"
	"github.com/foxtailwharf/foxtailwharf/internal/version/holder"
	"github.com/foxtailwharf/foxtailwharf/internal/version/loader"
	"github.com/foxtailwharf/foxtailwharf/internal/version/uploader"
)

const (
	maxBodyBytes      = 256 << 20
	maxAnswerBytes    = 16 << 20
	storedAnswerBytes = 256 << 20 // answers kept for repeated calls
	keysPerGeneration = 1000
	keyGenerationTime = 10 * time.Minute
	takeoverTimeout   = 8 * time.Second
	longPollTimeout   = 30 * time.Second
	stallTimeout      = 5 * time.Second
	shutdownTimeout   = 2 * time.Second
	announceTimeout   = 500 * time.Millisecond
)

// Config holds the settings and dependencies of a Worker.
type Config struct {
	Settings foxtailwharf.AgentSettings
	Network  foxtailwharf.Network // to entries and other agents
	Platform foxtailwharf.Network // to the platform and the origin of weights
	Upstream foxtailwharf.Network // to the upstream
	Log      *zap.Logger
	// Seed of the process's random number generators.
	Seed uint64
}

// Worker is one agent.
type Worker struct {
	c              Config
	registrar      *registrar.Registrar
	gossiper       *gossiper.Gossiper
	dispatcher     *dispatcher.Dispatcher
	runner         *runner.Runner
	holder         *holder.Holder
	uploader       *uploader.Uploader
	fetcher        *fetcher.Fetcher
	loader         *loader.Loader
	platform       *storer.Platform
	engine         *driver.Driver
	client         *messenger.Client
	messages       *messenger.Server
	meter          *meter.Meter
	http           *http.Client // to other agents
	origin         *http.Client
	server         *http.Server
	listener       net.Listener
	placer         placer.Placer
	cancel         context.CancelFunc
	done           chan struct{}
	configurerDone chan struct{}
}

// New builds an agent. It does nothing until Start.
func New(c Config) *Worker {
	s := c.Settings
	w := &Worker{
		c:              c,
		registrar:      registrar.New(),
		holder:         holder.New(),
		meter:          meter.New(),
		client:         messenger.NewClient(c.Network),
		messages:       messenger.NewServer(),
		http:           downloader.Client(c.Network),
		origin:         downloader.Client(c.Platform),
		platform:       storer.New(storer.Config{Network: c.Platform, Address: s.Common.Platform, Timeout: s.Common.PlatformTimeout}),
		engine:         driver.New(driver.Config{Network: c.Upstream, Upstream: s.Upstream}),
		done:           make(chan struct{}),
		configurerDone: make(chan struct{}),
	}
	w.dispatcher = dispatcher.New(w.schedulerConfig(&foxtailwharf.Service{Slots: 1, Queue: 1}))
	w.uploader = uploader.New(uploader.Config{Holder: w.holder, Uploads: s.Uploads, Rate: s.UploadRate})
	w.gossiper = w.newGossiper()
	w.fetcher = w.newFetcher()
	w.runner = runner.New(runner.Config{
		Engine:            w.engine,
		Dispatcher:        w.dispatcher,
		Deduplicator:      deduplicatorConfig(s.Keys),
		Self:              w.gossiper.Self,
		OnFirstOutput:     w.checkFirstToken,
		OnUpstreamSuspect: w.suspectUpstream,
		Meter:             w.meter,
		MaxBodyBytes:      maxBodyBytes,
		MaxAnswerBytes:    maxAnswerBytes,
	})
	w.loader = loader.New(loader.Config{
		Instance:   s.Common.Name,
		Store:      w.platform,
		Engine:     w.engine,
		Dispatcher: w.dispatcher,
		Fetcher:    w.fetcher,
		Holder:     w.holder,
		Wanted:     w.wanted,
		OnServing:  w.announceVersion,
		Log:        c.Log,
	})
	w.server = dialer.Server(w.mux())
	return w
}

func deduplicatorConfig(keys int) deduplicator.Config {
	return deduplicator.Config{
		Keys:              keys,
		KeysPerGeneration: max(min(keysPerGeneration, keys/10), 1),
		GenerationTime:    keyGenerationTime,
		MaxAnswerBytes:    storedAnswerBytes,
	}
}

func (w *Worker) random() *rand.Rand {
	return rand.New(rand.NewPCG(w.c.Seed, foxtailwharf.RendezvousScore(w.c.Settings.Common.Name, "random")))
}

func (w *Worker) newGossiper() *gossiper.Gossiper {
	s := w.c.Settings
	return gossiper.New(gossiper.Config{
		Self: foxtailwharf.Instance{
			Name:          s.Common.Name,
			Incarnation:   foxtailwharf.NewID(),
			Role:          foxtailwharf.RoleAgent,
			Address:       s.Common.Peers,
			FailureDomain: s.Common.FailureDomain,
			Region:        s.Common.Region,
			Service:       s.Service,
			Generation:    1,
		},
		Client:     w.client,
		Registrar:  w.registrar,
		Lister:     w.platform,
		Load:       w.dispatcher.Load,
		Generation: func() uint64 { return w.runner.Generation() },
		Seeds:      s.Common.Seeds,
		Interval:   2 * s.Common.Interval,
		Random:     w.random(),
		Log:        w.c.Log,
	})
}

func (w *Worker) newFetcher() *fetcher.Fetcher {
	s := w.c.Settings
	return fetcher.New(fetcher.Config{
		Self:            w.gossiper.Self,
		Holders:         w.holders,
		Holder:          w.holder,
		Client:          w.client,
		HTTP:            w.http,
		Origin:          downloader.New(w.origin, s.Origin),
		Policy:          s.Fetching,
		Neighbours:      s.Neighbours,
		TakeoverTimeout: takeoverTimeout,
		LongPollTimeout: longPollTimeout,
		StallTimeout:    stallTimeout,
		DownloadLimit:   w.allowedDownloads,
		Random:          w.random(),
		Log:             w.c.Log,
	})
}

func (w *Worker) mux() *http.ServeMux {
	w.gossiper.Register(w.messages)
	w.fetcher.Register(w.messages)
	mux := http.NewServeMux()
	mux.Handle("POST "+runner.Path, w.runner)
	mux.Handle("GET "+messenger.Path, w.messages)
	mux.HandleFunc("GET "+downloader.PathManifests, w.uploader.ServeManifest)
	mux.HandleFunc("GET "+downloader.PathChunks, w.uploader.ServeChunk)
	mux.Handle("GET /metrics", w.meter)
	mux.HandleFunc("GET /healthz", func(http.ResponseWriter, *http.Request) {})
	mux.HandleFunc("GET /readyz", w.serveReady)
	mux.HandleFunc("GET /statusz", w.serveStatus)
	return mux
}

// schedulerConfig returns the scheduler's settings for a service document.
func (w *Worker) schedulerConfig(s *foxtailwharf.Service) scheduler.Config {
	return scheduler.Config{
		Policy:      w.c.Settings.Queueing,
		Slots:       s.Slots,
		UrgentSlots: s.UrgentSlots,
		BurstSlots:  s.BurstSlots,
		Queue:       s.Queue,
		Floors:      s.Floors,
		Weight:      w.weights,
	}
}

// weights returns the scheduling weights of a caller and of its account and member; all are 1 if
// the agreement does not name the caller.
func (w *Worker) weights(identity foxtailwharf.Identity) scheduler.Weights {
	grant, isKnown := w.registrar.GrantByIdentity(identity)
	if !isKnown {
		return scheduler.Weights{Member: 1, Account: 1, Caller: 1}
	}
	return scheduler.Weights{Member: grant.Member.Weight, Account: grant.Account.Weight, Caller: grant.Caller.Weight}
}

// slowedDownloads is the number of chunks fetched at a time while first tokens are late.
const slowedDownloads = 1

// allowedDownloads returns how many chunks may be fetched at a time.
func (w *Worker) allowedDownloads() int {
	if w.uploader.IsRateReduced() {
		return slowedDownloads
	}
	return math.MaxInt
}

// Start listens and starts all background work, which ends with Stop or Close. The end of the
// context ends all of it at once except for the server.
func (w *Worker) Start(ctx context.Context) (err error) {
	if w.listener, err = w.c.Network.Listen(ctx, w.c.Settings.Common.Peers); err != nil {
		return errors.Wrap(err, "Worker.Start")
	}
	w.gossiper.Bind(w.listener.Addr())
	ctx, w.cancel = context.WithCancel(ctx)
	go w.run()
	w.gossiper.Start(ctx)
	w.fetcher.Start(ctx)
	configurer := &configurer{w: w}
	go configurer.run(ctx)
	w.loader.Start(ctx)
	w.c.Log.Info("agent: started", zap.String("Name", w.c.Settings.Common.Name), zap.Stringer("Peers", w.listener.Addr()))
	return nil
}

// run serves requests of peers until the server is closed.
func (w *Worker) run() {
	defer close(w.done)
	if err := w.server.Serve(w.listener); !errors.Is(err, http.ErrServerClosed) {
		w.c.Log.Error("agent: peer server failed", zap.Error(err))
	}
}

// configurer applies changes of the service document to the scheduler.
type configurer struct {
	w *Worker
}

func (c *configurer) run(ctx context.Context) {
	defer close(c.w.configurerDone)
	var applied *foxtailwharf.Service
	for {
		changed := c.w.registrar.Changed()
		if s, isKnown := c.w.registrar.Service(c.w.c.Settings.Service); isKnown && s != applied {
			applied = s
			c.w.dispatcher.Configure(c.w.schedulerConfig(s))
			if s.Upstream == foxtailwharf.UpstreamPlain {
				c.w.dispatcher.Resume("")
			}
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return
		}
	}
}

// holders returns the agents that should hold the service's version.
func (w *Worker) holders() []foxtailwharf.Instance {
	replicas := 0
	if s, isKnown := w.registrar.Service(w.c.Settings.Service); isKnown {
		replicas = s.Replicas
	}
	return placer.Chosen(w.c.Settings.Service, replicas, w.gossiper.Live(foxtailwharf.RoleAgent))
}

// wanted returns the version and role that the engine should serve according to the service
// document and the placement; zero for none.
func (w *Worker) wanted() loader.Wanted {
	s, isKnown := w.registrar.Service(w.c.Settings.Service)
	if !isKnown || s.Upstream == foxtailwharf.UpstreamPlain {
		return loader.Wanted{}
	}
	isChosen := false
	for _, i := range w.holders() {
		isChosen = isChosen || i.Name == w.c.Settings.Common.Name
	}
	if !w.placer.Decide(time.Now(), isChosen) {
		return loader.Wanted{}
	}
	return loader.Wanted{Version: s.Version, Role: s.Role}
}

// suspectUpstream holds requests back after an engine seems to have died, until the loader has
// checked it. A plain service reports no state, so its requests continue.
func (w *Worker) suspectUpstream() {
	s, isKnown := w.registrar.Service(w.c.Settings.Service)
	if isKnown && s.Upstream == foxtailwharf.UpstreamModel {
		w.dispatcher.Pause()
		w.loader.Wake()
	}
}

// announceVersion tells the peers which version the upstream serves.
func (w *Worker) announceVersion(version string) {
	w.gossiper.Update(func(self *foxtailwharf.Instance) { self.Version = version })
	ctx, cancel := context.WithTimeout(context.Background(), announceTimeout)
	defer cancel()
	w.gossiper.Announce(ctx)
}

// checkFirstToken slows down transfers of weights if the first token of an answer came later than
// the service's target.
func (w *Worker) checkFirstToken(rank foxtailwharf.Rank, elapsed time.Duration) {
	s, isKnown := w.registrar.Service(w.c.Settings.Service)
	if isKnown && elapsed > s.Target(rank) {
		w.uploader.ReduceRate()
	}
}

// Stop shuts down gracefully: new requests are refused at once, entries are told, and running
// requests finish before all background work ends. It returns an error if the context ends before
// the last request has finished.
func (w *Worker) Stop(ctx context.Context) error {
	w.c.Log.Info("agent: shutting down")
	w.dispatcher.Leave()
	w.gossiper.Update(func(self *foxtailwharf.Instance) { self.IsLeaving = true })
	w.gossiper.Announce(ctx)
	err := w.dispatcher.WaitIdle(ctx)
	if answerErr := w.runner.WaitAnswered(ctx); err == nil {
		err = answerErr
	}
	// Only transfers of weights, which their readers continue with other agents, and connections
	// without a request remain. Shutdown waits 5 seconds for new connections of the latter kind,
	// hence the shorter timeout.
	shutdownCtx, cancel := context.WithTimeout(ctx, shutdownTimeout)
	defer cancel()
	if shutErr := w.server.Shutdown(shutdownCtx); shutErr != nil {
		w.c.Log.Info("agent: closing transfers of weights and idle connections that are still open", zap.Error(shutErr))
	}
	w.Close()
	return err
}

// Close ends all background work at once, without waiting for running requests.
func (w *Worker) Close() {
	w.cancel()
	_ = w.server.Close()
	w.messages.Close()
	w.client.Close()
	<-w.done
	<-w.gossiper.Done()
	<-w.fetcher.Done()
	<-w.loader.Done()
	<-w.configurerDone
	w.engine.Close()
	w.platform.Close()
	w.http.CloseIdleConnections()
	w.origin.CloseIdleConnections()
	w.c.Log.Info("agent: stopped")
}
