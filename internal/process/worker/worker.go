// Package worker is the agent: the process in the slot beside one upstream. It is
// the only one that gives its upstream orders or work.
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
	"github.com/foxtailwharf/foxtailwharf/internal/process/keeper"
	"github.com/foxtailwharf/foxtailwharf/internal/process/placer"
	"github.com/foxtailwharf/foxtailwharf/internal/process/recorder"
	"github.com/foxtailwharf/foxtailwharf/internal/process/storer"
	"github.com/foxtailwharf/foxtailwharf/internal/request/deduplicator"
	"github.com/foxtailwharf/foxtailwharf/internal/request/dispatcher"
	"github.com/foxtailwharf/foxtailwharf/internal/request/runner"
	"github.com/foxtailwharf/foxtailwharf/internal/request/scheduler"
	"github.com/foxtailwharf/foxtailwharf/internal/version/fetcher"
	"github.com/foxtailwharf/foxtailwharf/internal/version/holder"
	"github.com/foxtailwharf/foxtailwharf/internal/version/loader"
	"github.com/foxtailwharf/foxtailwharf/internal/version/sourcer"
	"github.com/foxtailwharf/foxtailwharf/internal/version/uploader"
)

// Constants of an agent.
const (
	maxBodyBytes    = 256 << 20
	maxAnswerBytes  = 16 << 20
	storedAnswers   = 256 << 20 // bytes of answers kept for repeats
	keysPerRound    = 1000
	keyRoundTime    = 10 * time.Minute
	patience        = 8 * time.Second
	sponsorWait     = 30 * time.Second
	stallTime       = 5 * time.Second
	shutdownTimeout = 2 * time.Second
	announceTimeout = 500 * time.Millisecond
)

// Config holds the settings of a Worker.
type Config struct {
	Settings foxtailwharf.AgentSettings
	Network  foxtailwharf.Network // towards peers
	Platform foxtailwharf.Network // towards the platform and the origin
	Upstream foxtailwharf.Network // towards the upstream
	Log      *zap.Logger
	// Seed of the process's random choices.
	Seed uint64
}

// Worker is one agent.
type Worker struct {
	c          Config
	keeper     *keeper.Keeper
	gossiper   *gossiper.Gossiper
	dispatcher *dispatcher.Dispatcher
	runner     *runner.Runner
	holder     *holder.Holder
	uploader   *uploader.Uploader
	fetcher    *fetcher.Fetcher
	loader     *loader.Loader
	platform   *storer.Platform
	engine     *driver.Driver
	client     *messenger.Client
	messages   *messenger.Server
	recorder   *recorder.Recorder
	http       *http.Client // towards other agents
	origin     *http.Client
	server     *http.Server
	listener   net.Listener
	placer     placer.Placer
	cancel     context.CancelFunc
	done       chan struct{}
	configured chan struct{}
}

// New builds an agent that has not started.
func New(c Config) *Worker {
	s := c.Settings
	w := &Worker{
		c:          c,
		keeper:     keeper.New(),
		holder:     holder.New(),
		recorder:   recorder.New(),
		client:     messenger.NewClient(c.Network),
		messages:   messenger.NewServer(),
		http:       sourcer.Client(c.Network),
		origin:     sourcer.Client(c.Platform),
		platform:   storer.New(storer.Config{Network: c.Platform, Address: s.Common.Platform, Timeout: s.Common.PlatformTimeout}),
		engine:     driver.New(driver.Config{Network: c.Upstream, Upstream: s.Upstream}),
		done:       make(chan struct{}),
		configured: make(chan struct{}),
	}
	w.dispatcher = dispatcher.New(w.schedulerConfig(&foxtailwharf.Service{Slots: 1, Queue: 1}))
	w.uploader = uploader.New(uploader.Config{Holder: w.holder, Uploads: s.Uploads, Rate: s.UploadRate})
	w.gossiper = w.newGossiper()
	w.fetcher = w.newFetcher()
	w.runner = runner.New(runner.Config{
		Engine:         w.engine,
		Dispatcher:     w.dispatcher,
		Memory:         memoryConfig(s.Keys),
		Self:           w.gossiper.Self,
		First:          w.noteFirst,
		Doubt:          w.doubt,
		Recorder:       w.recorder,
		MaxBodyBytes:   maxBodyBytes,
		MaxAnswerBytes: maxAnswerBytes,
	})
	w.loader = loader.New(loader.Config{
		Instance:   s.Common.Name,
		Store:      w.platform,
		Engine:     w.engine,
		Dispatcher: w.dispatcher,
		Fetcher:    w.fetcher,
		Holder:     w.holder,
		Wanted:     w.wanted,
		Serving:    w.serving,
		Log:        c.Log,
	})
	w.server = dialer.Server(w.mux())
	return w
}

func memoryConfig(keys int) deduplicator.Config {
	return deduplicator.Config{
		Keys:           keys,
		KeysPerRound:   max(min(keysPerRound, keys/10), 1),
		RoundTime:      keyRoundTime,
		MaxAnswerBytes: storedAnswers,
	}
}

func (w *Worker) random() *rand.Rand {
	return rand.New(rand.NewPCG(w.c.Seed, foxtailwharf.Score(w.c.Settings.Common.Name, "random")))
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
		Keeper:     w.keeper,
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
		Self:       w.gossiper.Self,
		Holders:    w.holders,
		Holder:     w.holder,
		Client:     w.client,
		HTTP:       w.http,
		Origin:     sourcer.New(w.origin, s.Origin),
		Policy:     s.Fetching,
		Neighbours: s.Neighbours,
		Patience:   patience,
		Wait:       sponsorWait,
		Stall:      stallTime,
		Allowed:    w.allowedDownloads,
		Random:     w.random(),
		Log:        w.c.Log,
	})
}

func (w *Worker) mux() *http.ServeMux {
	w.gossiper.Register(w.messages)
	w.fetcher.Register(w.messages)
	mux := http.NewServeMux()
	mux.Handle("POST "+runner.Path, w.runner)
	mux.Handle("GET "+messenger.Path, w.messages)
	mux.HandleFunc("GET "+sourcer.PathManifests, w.uploader.ServeManifest)
	mux.HandleFunc("GET "+sourcer.PathChunks, w.uploader.ServeChunk)
	mux.Handle("GET /metrics", w.recorder)
	mux.HandleFunc("GET /healthz", func(http.ResponseWriter, *http.Request) {})
	mux.HandleFunc("GET /readyz", w.serveReady)
	mux.HandleFunc("GET /statusz", w.serveStatus)
	return mux
}

// schedulerConfig returns the gate's settings for a service document.
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

// weights returns the shares along the path to a caller; 1 where the agreement
// does not know it.
func (w *Worker) weights(identity foxtailwharf.Identity) scheduler.Weights {
	grant, isKnown := w.keeper.GrantOf(identity)
	if !isKnown {
		return scheduler.Weights{Member: 1, Account: 1, Caller: 1}
	}
	return scheduler.Weights{Member: grant.Member.Weight, Account: grant.Account.Weight, Caller: grant.Caller.Weight}
}

// pressedDownloads is the number of chunks fetched at a time while requests are slow.
const pressedDownloads = 1

// allowedDownloads returns how many chunks may be fetched at a time.
func (w *Worker) allowedDownloads() int {
	if w.uploader.IsPressed() {
		return pressedDownloads
	}
	return math.MaxInt
}

// Start listens and begins all duties. They end with Stop, or at once with the
// context.
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
	w.c.Log.Info("agent: Started.", zap.String("Name", w.c.Settings.Common.Name), zap.Stringer("Peers", w.listener.Addr()))
	return nil
}

// run serves peers until the server is shut.
func (w *Worker) run() {
	defer close(w.done)
	if err := w.server.Serve(w.listener); !errors.Is(err, http.ErrServerClosed) {
		w.c.Log.Error("agent: The server ended.", zap.Error(err))
	}
}

// configurer keeps the gate's settings on the service document.
type configurer struct {
	w *Worker
}

func (c *configurer) run(ctx context.Context) {
	defer close(c.w.configured)
	var applied *foxtailwharf.Service
	for {
		changed := c.w.keeper.Changed()
		if s, isKnown := c.w.keeper.Service(c.w.c.Settings.Service); isKnown && s != applied {
			applied = s
			c.w.dispatcher.Configure(c.w.schedulerConfig(s))
			if s.Upstream == foxtailwharf.UpstreamPlain {
				c.w.dispatcher.Release("")
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
	if s, isKnown := w.keeper.Service(w.c.Settings.Service); isKnown {
		replicas = s.Replicas
	}
	return placer.Chosen(w.c.Settings.Service, replicas, w.gossiper.Live(foxtailwharf.RoleAgent))
}

// wanted returns what the engine should serve by the documents and the placement.
func (w *Worker) wanted() loader.Wanted {
	s, isKnown := w.keeper.Service(w.c.Settings.Service)
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

// doubt holds requests back after an engine seemed to die, until the loader has
// looked at it. A plain service reports nothing, so its requests go on.
func (w *Worker) doubt() {
	s, isKnown := w.keeper.Service(w.c.Settings.Service)
	if isKnown && s.Upstream == foxtailwharf.UpstreamModel {
		w.dispatcher.Pause()
		w.loader.Wake()
	}
}

// serving tells the others which version the upstream serves.
func (w *Worker) serving(version string) {
	w.gossiper.Update(func(self *foxtailwharf.Instance) { self.Version = version })
	ctx, cancel := context.WithTimeout(context.Background(), announceTimeout)
	defer cancel()
	w.gossiper.Announce(ctx)
}

// noteFirst slows transfers of weights while first answers are late.
func (w *Worker) noteFirst(rank foxtailwharf.Rank, elapsed time.Duration) {
	s, isKnown := w.keeper.Service(w.c.Settings.Service)
	if isKnown && elapsed > s.Target(rank) {
		w.uploader.Press()
	}
}

// Stop leaves gracefully: new requests are refused at once, entries are told,
// running requests finish, then all duties end. It returns an error if the
// context ended before the last request did.
func (w *Worker) Stop(ctx context.Context) error {
	w.c.Log.Info("agent: Leaving.")
	w.dispatcher.Leave()
	w.gossiper.Update(func(self *foxtailwharf.Instance) { self.IsLeaving = true })
	w.gossiper.Announce(ctx)
	err := w.dispatcher.WaitIdle(ctx)
	if answerErr := w.runner.WaitAnswered(ctx); err == nil {
		err = answerErr
	}
	// What is left are transfers of weights, which go on elsewhere, and connections
	// without a request, of which the server gives new ones five seconds.
	shutting, cancel := context.WithTimeout(ctx, shutdownTimeout)
	defer cancel()
	if shutErr := w.server.Shutdown(shutting); shutErr != nil {
		w.c.Log.Info("agent: Transfers of weights were handed over.", zap.Error(shutErr))
	}
	w.Close()
	return err
}

// Close ends all duties at once.
func (w *Worker) Close() {
	w.cancel()
	_ = w.server.Close()
	w.messages.Close()
	w.client.Close()
	<-w.done
	<-w.gossiper.Done()
	<-w.fetcher.Done()
	<-w.loader.Done()
	<-w.configured
	w.engine.Close()
	w.platform.Close()
	w.http.CloseIdleConnections()
	w.origin.CloseIdleConnections()
	w.c.Log.Info("agent: Stopped.")
}
