// Package receiver is the entry of a fleet whose processes exchange their state by gossip: it
// accepts callers' requests, authenticates them, enforces the agreement's limits, and relays them
// to agents. Package distributor is the entry of a fleet that the platform lists.
package receiver

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"github.com/foxtailwharf/foxtailwharf"
	"github.com/foxtailwharf/foxtailwharf/internal/connection/callerlimiter"
	"github.com/foxtailwharf/foxtailwharf/internal/connection/dialer"
	"github.com/foxtailwharf/foxtailwharf/internal/connection/discarder"
	"github.com/foxtailwharf/foxtailwharf/internal/connection/finisher"
	"github.com/foxtailwharf/foxtailwharf/internal/connection/messenger"
	"github.com/foxtailwharf/foxtailwharf/internal/connection/server"
	"github.com/foxtailwharf/foxtailwharf/internal/process/gossiper"
	"github.com/foxtailwharf/foxtailwharf/internal/process/meter"
	"github.com/foxtailwharf/foxtailwharf/internal/process/registrar"
	"github.com/foxtailwharf/foxtailwharf/internal/process/sleeper"
	"github.com/foxtailwharf/foxtailwharf/internal/process/storer"
	"github.com/foxtailwharf/foxtailwharf/internal/process/watcher"
	"github.com/foxtailwharf/foxtailwharf/internal/request/admitter"
	"github.com/foxtailwharf/foxtailwharf/internal/request/budgeter"
	"github.com/foxtailwharf/foxtailwharf/internal/request/claimer"
	"github.com/foxtailwharf/foxtailwharf/internal/request/isolator"
	"github.com/foxtailwharf/foxtailwharf/internal/request/relayer"
	"github.com/foxtailwharf/foxtailwharf/internal/request/router"
	"github.com/foxtailwharf/foxtailwharf/internal/request/ticketer"
)

const (
	retryRatio      = 0.1
	retryBaseDelay  = 20 * time.Millisecond
	maxRetryDelay   = time.Second
	usageTTL        = 5 * time.Second
	cleanupInterval = 10 * time.Second
	bodyReadTimeout = 30 * time.Second
)

// Config holds the settings and dependencies of a Receiver.
type Config struct {
	Settings foxtailwharf.EntrySettings
	Network  foxtailwharf.Network // to other entries and to agents
	Platform foxtailwharf.Network // to the platform
	Callers  foxtailwharf.Network // for callers
	Log      *zap.Logger
	// Seed of the process's random number generators.
	Seed uint64
}

// Receiver is one entry.
type Receiver struct {
	c           Config
	registrar   *registrar.Registrar
	gossiper    *gossiper.Gossiper
	watcher     *watcher.Watcher
	relayer     *relayer.Relayer
	ticketer    *ticketer.Ticketer
	platform    *storer.Platform
	client      *messenger.Client
	messages    *messenger.Server
	discarder   *discarder.Discarder
	finisher    *finisher.Finisher
	limiter     *callerlimiter.Limiter
	meter       *meter.Meter
	servers     []*server.Server
	cancel      context.CancelFunc
	cleanupDone chan struct{}
	isLeaving   atomic.Bool
	callers     net.Addr

	mu       sync.Mutex
	admitter *admitter.Admitter
}

// New builds an entry. It does nothing until Start.
func New(c Config) *Receiver {
	s := c.Settings
	r := &Receiver{
		c:           c,
		registrar:   registrar.New(),
		meter:       meter.New(),
		client:      messenger.NewClient(c.Network),
		messages:    messenger.NewServer(),
		discarder:   discarder.New(discarder.Config{Log: c.Log}),
		finisher:    finisher.New(),
		platform:    storer.New(storer.Config{Network: c.Platform, Address: s.Common.Platform, Timeout: s.Common.PlatformTimeout}),
		ticketer:    ticketer.New(s.TicketSecret),
		admitter:    admitter.New(admitter.Config{UsageTTL: usageTTL}),
		cleanupDone: make(chan struct{}),
	}
	r.limiter = callerlimiter.New(callerlimiter.Config{Meter: r.meter, Log: c.Log})
	r.gossiper = r.newGossiper()
	r.relayer = r.newRelayer()
	r.watcher = watcher.New(watcher.Config{
		Store:     r.platform,
		Registrar: r.registrar,
		Self:      r.gossiper.Self(),
		Entries:   func() []foxtailwharf.Instance { return r.gossiper.Live(foxtailwharf.RoleEntry) },
		Log:       c.Log,
	})
	return r
}

func (r *Receiver) random(purpose string) *rand.Rand {
	return rand.New(rand.NewPCG(r.c.Seed, foxtailwharf.RendezvousScore(r.c.Settings.Common.Name, purpose)))
}

func (r *Receiver) newGossiper() *gossiper.Gossiper {
	s := r.c.Settings.Common
	return gossiper.New(gossiper.Config{
		Self: foxtailwharf.Instance{
			Name:          s.Name,
			Incarnation:   foxtailwharf.NewID(),
			Role:          foxtailwharf.RoleEntry,
			Address:       s.Peers,
			FailureDomain: s.FailureDomain,
			Region:        s.Region,
		},
		Client:      r.client,
		Registrar:   r.registrar,
		Lister:      r.platform,
		SharedState: &sharedState{r: r},
		UpdateLoad:  func(incarnation string, load foxtailwharf.Load) { r.relayer.UpdateLoad(incarnation, load) },
		Seeds:       s.Seeds,
		Interval:    s.Interval,
		Random:      r.random("gossip"),
		Log:         r.c.Log,
	})
}

func (r *Receiver) newRelayer() *relayer.Relayer {
	s := r.c.Settings
	return relayer.New(relayer.Config{
		Network: r.c.Network,
		Members: r.gossiper,
		Router: router.Config{
			Policy:        s.Routing,
			FailureDomain: s.Common.FailureDomain,
			Random:        r.random("router"),
		},
		Budget: budgeter.Config{
			Ratio:     retryRatio,
			BaseDelay: retryBaseDelay,
			MaxDelay:  maxRetryDelay,
			Random:    r.random("retries"),
		},
		Claimer:        claimer.New(claimer.Config{Store: r.platform}),
		Meter:          r.meter,
		MaxAnswerBytes: s.MaxAnswerBytes,
		Log:            r.c.Log,
	})
}

// Start listens and starts all background work, which ends with Stop or Close. The end of the context
// ends all of it at once except for the servers.
func (r *Receiver) Start(ctx context.Context) error {
	peers, err := r.c.Network.Listen(ctx, r.c.Settings.Common.Peers)
	if err != nil {
		return errors.Wrap(err, "Receiver.Start")
	}
	callers, err := r.c.Callers.Listen(ctx, r.c.Settings.Callers)
	if err != nil {
		_ = peers.Close()
		return errors.Wrap(err, "Receiver.Start")
	}
	r.gossiper.Bind(peers.Addr())
	r.callers = callers.Addr()
	ctx, r.cancel = context.WithCancel(ctx)
	r.serveCallers(callers)
	r.servePeers(peers)
	r.gossiper.Start(ctx)
	r.watcher.Start(ctx)
	cleaner := &cleaner{r: r}
	go cleaner.run(ctx)
	r.c.Log.Info("entry: started", zap.String("Name", r.c.Settings.Common.Name), zap.Stringer("Callers", callers.Addr()), zap.Stringer("Peers", peers.Addr()))
	return nil
}

func (r *Receiver) serveCallers(listener net.Listener) {
	h := dialer.Server(r.closeIfLeaving(r.callersMux()))
	r.start(server.Config{Listener: r.limiter.Limit(h, listener), HTTP: h, Drain: r.limiter.Drain, Log: r.c.Log})
}

func (r *Receiver) servePeers(listener net.Listener) {
	r.start(server.Config{Listener: listener, HTTP: dialer.Server(r.peersMux()), Log: r.c.Log})
}

func (r *Receiver) start(c server.Config) {
	r.servers = append(r.servers, server.Start(c))
}

// cleaner periodically drops state of agents that are gone, which bounds the memory of the entry.
type cleaner struct {
	r *Receiver
}

func (c *cleaner) run(ctx context.Context) {
	defer close(c.r.cleanupDone)
	for sleeper.Sleep(ctx, cleanupInterval) {
		c.r.relayer.Forget()
	}
}

func (r *Receiver) peersMux() http.Handler {
	r.gossiper.Register(r.messages)
	mux := http.NewServeMux()
	mux.Handle("GET "+messenger.Path, r.messages)
	mux.Handle("GET /metrics", r.meter)
	mux.HandleFunc("GET /statusz", r.serveStatus)
	mux.HandleFunc("GET /healthz", r.serveHealth)
	mux.HandleFunc("GET /readyz", r.serveReady)
	return mux
}

// serveHealth fails as soon as the entry begins to stop, so that the platform's load balancer
// sends no new callers.
func (r *Receiver) serveHealth(w http.ResponseWriter, _ *http.Request) {
	if r.isLeaving.Load() {
		http.Error(w, "leaving", http.StatusServiceUnavailable)
	}
}

func (r *Receiver) serveReady(w http.ResponseWriter, _ *http.Request) {
	if r.isLeaving.Load() || len(r.registrar.Statuses()) == 0 {
		http.Error(w, "not ready", http.StatusServiceUnavailable)
	}
}

// Callers returns the address on which callers connect. It is nil before Start.
func (r *Receiver) Callers() net.Addr {
	return r.callers
}

// Counter returns the current value of one of the entry's counters.
func (r *Receiver) Counter(name string) int64 {
	return r.meter.Counter(name)
}

// Status is an entry's view of the fleet, served as JSON under /statusz.
type Status struct {
	Self       foxtailwharf.Instance
	Documents  []registrar.Status
	Entries    []foxtailwharf.Instance
	Agents     []foxtailwharf.Instance
	Suspicions []isolator.Suspicion
}

// Status returns the entry's current view of the fleet.
func (r *Receiver) Status() Status {
	return Status{
		Self:       r.gossiper.Self(),
		Documents:  r.registrar.Statuses(),
		Entries:    r.gossiper.Live(foxtailwharf.RoleEntry),
		Agents:     r.gossiper.Live(foxtailwharf.RoleAgent),
		Suspicions: r.relayer.Suspicions(),
	}
}

func (r *Receiver) serveStatus(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "application/json")
	// The only error is that the reader has disconnected.
	_ = json.NewEncoder(w).Encode(r.Status())
}

// Stop shuts down gracefully: the health check fails at once, new requests are accepted for the
// Notice time so that the load balancer can react, and then requests in progress finish. Those that are in progress at
// the end of the context are answered before. It returns an error if the context ends before the last one has finished.
func (r *Receiver) Stop(ctx context.Context) error {
	r.c.Log.Info("entry: shutting down")
	r.isLeaving.Store(true)
	r.finisher.Begin(ctx, r.c.Settings.Notice)
	r.gossiper.Update(func(self *foxtailwharf.Instance) { self.IsLeaving = true })
	r.gossiper.Announce(ctx)
	sleeper.Sleep(ctx, r.c.Settings.Notice)
	r.discarder.Leave()
	err := r.servers[0].Shutdown(ctx)
	r.Close()
	return errors.Wrap(err, "Receiver.Stop")
}

// Close ends all background work at once, without waiting for requests in progress.
func (r *Receiver) Close() {
	r.cancel()
	for _, s := range r.servers {
		s.Close()
	}
	r.messages.Close()
	r.client.Close()
	<-r.gossiper.Done()
	<-r.watcher.Done()
	<-r.cleanupDone
	r.relayer.Close()
	r.platform.Close()
	r.c.Log.Info("entry: stopped")
}
