// Package distributor runs an entry of a fleet that the platform lists. The entry follows the
// platform's store, exchanges messages with agents and other entries, and forwards callers'
// requests directly to upstreams.
package distributor

import (
	"context"
	"math/rand/v2"
	"net/http"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"github.com/foxtailwharf/foxtailwharf"
	"github.com/foxtailwharf/foxtailwharf/internal/connection/callerlimiter"
	"github.com/foxtailwharf/foxtailwharf/internal/connection/delayestimator"
	"github.com/foxtailwharf/foxtailwharf/internal/connection/messenger"
	"github.com/foxtailwharf/foxtailwharf/internal/connection/notifier"
	"github.com/foxtailwharf/foxtailwharf/internal/connection/requester"
	"github.com/foxtailwharf/foxtailwharf/internal/connection/server"
	"github.com/foxtailwharf/foxtailwharf/internal/process/delegator"
	"github.com/foxtailwharf/foxtailwharf/internal/process/follower"
	"github.com/foxtailwharf/foxtailwharf/internal/process/meter"
	"github.com/foxtailwharf/foxtailwharf/internal/process/sleeper"
	"github.com/foxtailwharf/foxtailwharf/internal/request/assigner"
	"github.com/foxtailwharf/foxtailwharf/internal/request/balancer"
	"github.com/foxtailwharf/foxtailwharf/internal/request/forwarder"
	"github.com/foxtailwharf/foxtailwharf/internal/request/retrylimiter"
	"github.com/foxtailwharf/foxtailwharf/internal/version/timekeeper"
)

// Margins, timeouts and limits of an entry.
const (
	// proofMargin is subtracted from the time within which a revoked key must stop working.
	proofMargin = 300 * time.Millisecond
	// bodiesFraction is the inverse of the part of the process's memory that the bodies of callers' requests may take.
	bodiesFraction = 4
	// switchMargin is subtracted from the deadline after which no call may start on old
	// weights, because a call may wait in the engine's queue.
	switchMargin = 800 * time.Millisecond
	// dueMargin is subtracted from the same deadline to get the time at which calls that have
	// not started on old weights are taken back.
	dueMargin = 200 * time.Millisecond
	// drainDelay is how long a stopping entry keeps accepting connections. The load balancer in
	// front of the entries checks once a second and stops sending after two failed checks.
	drainDelay = 2500 * time.Millisecond
)

// Config holds the dependencies and settings of a Distributor. Seed seeds the random numbers and
// also identifies the process to other entries.
type Config struct {
	Settings       foxtailwharf.FleetSettings
	Store          foxtailwharf.FleetStore
	Dialect        foxtailwharf.CallDialect
	Network        foxtailwharf.Network
	PacketListener notifier.PacketListener
	Clock          follower.Clock
	Log            *zap.Logger
	Seed           uint64
}

// Distributor is one entry. Use New to create it, then Start and Stop.
type Distributor struct {
	c         Config
	follower  *follower.Follower
	applied   follower.View // the last view put into effect
	assigner  *assigner.Assigner
	requester *requester.Requester
	forwarder *forwarder.Forwarder
	meter     *meter.Meter
	notifier  *notifier.Notifier
	messages  *messenger.Server
	client    *messenger.Client
	servers   server.Group
	tasks     []task
	cancel    context.CancelFunc
	limits    *limitKeeper
	callers   *callerlimiter.Limiter
	isLeaving atomic.Bool
	notifyNow chan struct{} // capacity 1; makes the next notices to agents due

	mu         sync.Mutex
	peerRandom *rand.Rand // selects the entries to query
	timekeeper *timekeeper.Timekeeper
	// lastProof is the time of the last proof of the configuration, and catchUpUntil ends the time
	// after a gap between two proofs.
	lastProof, catchUpUntil time.Duration
	// hasReleases is set once the releases have been read from the store.
	hasReleases    bool
	agents         []foxtailwharf.Upstream        // upstreams with an engine, of all services
	published      map[string]publishedList       // the same by service, as the agents get it
	chosen         []foxtailwharf.Upstream        // agents with which this entry exchanges messages
	lists          map[netip.Addr]agentList       // list that each agent last reported
	lackingSince   map[netip.Addr]time.Time       // since when agents lack the list of agents
	reported       map[netip.Addr]reportedEntries // entries that each agent last listed
	farNotices     farNotices
	delayestimator *delayestimator.DelayEstimator // delays of the agents' reports
	fullLinks      map[netip.Addr]bool            // machines whose links are saturated, for the log
	entries        map[netip.AddrPort]otherEntry
	entrySequence  uint64    // of the entry last heard of for the first time
	expiredAt      time.Time // last search for entries that nobody lists any more
	delegator      *delegator.Delegator
	meetDeadline   time.Time // until then the first store read waits for other entries

	// The configuration and the whole list of upstreams as last sent to another entry.
	packedConfiguration, packedList packedDocument

	farWantedUntil atomic.Int64 // Unix time in nanoseconds; until then agents of other domains report continuously
}

// task is a background loop of the entry. It ends with its context.
type task interface {
	run(ctx context.Context)
	ended() <-chan struct{}
}

// New returns an entry that has not started and holds no listeners yet.
func New(c Config) *Distributor {
	d := &Distributor{
		c:              c,
		meter:          meter.New(),
		messages:       messenger.NewServer(),
		client:         messenger.NewClient(c.Network),
		timekeeper:     timekeeper.New(timekeeper.Config{Switch: c.Settings.Switch}),
		lists:          make(map[netip.Addr]agentList),
		lackingSince:   make(map[netip.Addr]time.Time),
		reported:       make(map[netip.Addr]reportedEntries),
		delayestimator: delayestimator.New(),
		fullLinks:      make(map[netip.Addr]bool),
		notifyNow:      make(chan struct{}, 1),
		entries:        make(map[netip.AddrPort]otherEntry),
		delegator:      delegator.New(delegator.Config{Self: c.Settings.PeerAddress(c.Settings.Address), Started: time.Now()}),
	}
	if len(c.Settings.Seeds) > 0 {
		d.meetDeadline = time.Now().Add(meetWait)
	}
	d.peerRandom = d.random("peers")
	d.limits = newLimitKeeper(d)
	d.assigner = assigner.New(balancer.New(balancer.Config{
		FailureDomain: c.Settings.FailureDomain, Random: d.random("balancer"), OnAsk: d.limits.wakeUp, OnLack: d.wantFarReports,
	}))
	d.callers = callerlimiter.New(callerlimiter.Config{Meter: d.meter, Log: c.Log})
	d.requester = requester.New(requester.Config{Network: c.Network})
	d.forwarder = forwarder.New(forwarder.Config{
		Dialect:             c.Dialect,
		Assigner:            d.assigner,
		Requester:           d.requester,
		Meter:               d.meter,
		Clock:               c.Clock,
		MaxConfigurationAge: c.Settings.KeyLife - proofMargin,
		Notice:              drainDelay,
		MaxBodiesBytes:      int(c.Settings.Memory() / bodiesFraction),
		RetryBudget:         retrylimiter.Config{Ratio: c.Settings.RepeatRatio * retryShare, Window: c.Settings.RepeatWindow, Extra: d.retryExtra(1)},
		NotifyAgent:         d.notifyCall,
		ShareBans:           d.shareBans,
		Random:              d.random("calls"),
		Log:                 c.Log,
	})
	d.follower = follower.New(follower.Config{
		Store:       c.Store,
		Clock:       c.Clock,
		OnChange:    d.applyView,
		IsDelegated: d.isDelegated,
		Process:     c.Seed,
		Log:         c.Log,
	})
	return d
}

func (d *Distributor) random(purpose string) *rand.Rand {
	return rand.New(rand.NewPCG(d.c.Seed, foxtailwharf.RendezvousScore(d.c.Settings.Name, purpose)))
}

// shuffle puts entries into random order.
func (d *Distributor) shuffle(entries []netip.AddrPort) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.peerRandom.Shuffle(len(entries), func(i, j int) { entries[i], entries[j] = entries[j], entries[i] })
}

// Shares of the retry budget, which all entries have in common. The settings call retries repeats.
const (
	// retryShare is the fraction of the allowed retries that entries use.
	retryShare = 0.7
	// minEntries is the number of entries assumed while an entry knows fewer.
	minEntries = 8
)

// retryExtra returns this entry's share of the retries allowed beyond the ratio.
func (d *Distributor) retryExtra(entries int) float64 {
	return d.c.Settings.RepeatExtra * retryShare / float64(max(entries, minEntries))
}

// Start opens the listeners and starts all background work, which ends with Stop. The end of ctx
// ends all of it at once except for the servers and the notifier. If a listener fails, nothing is left
// open.
func (d *Distributor) Start(ctx context.Context) error {
	s := d.c.Settings
	ctx, d.cancel = context.WithCancel(ctx)
	socket, err := d.c.PacketListener.ListenPacket(ctx, s.PeerAddress(s.Address))
	if err != nil {
		return errors.Wrap(err, "Distributor.Start")
	}
	d.notifier = notifier.New(notifier.Config{
		Socket: socket, Clock: d.c.Clock, OnMessage: d.handleReport, Log: d.c.Log,
		OnSent: func(kind notifier.Kind, bytes int) { d.meter.Add(kind.Counter(), int64(bytes)) },
	})
	messenger.Register(d.messages, methodVouch, d.handleVouch)
	messenger.Register(d.messages, methodWarn, d.handleWarn)
	messenger.Register(d.messages, methodMeet, d.handleMeet)
	messenger.Register(d.messages, methodPermit, d.limits.handlePermit)
	listeners := []endpoint{
		{address: s.PeerAddress(s.Address), handler: d.peersMux()},
		{address: s.Ready, handler: http.HandlerFunc(d.serveReady)},
		{address: s.Callers, handler: d.forwarder, limiter: d.callers},
	}
	if s.Metrics.IsValid() {
		listeners = append(listeners, endpoint{address: s.Metrics, handler: d.metricsMux()})
	}
	for _, l := range listeners {
		if err := d.serve(ctx, l); err != nil {
			_ = socket.Close()
			d.servers.Close()
			return errors.Wrap(err, "Distributor.Start")
		}
	}
	d.notifier.Start()
	d.follower.Start(ctx)
	d.tasks = []task{
		&idleCloser{d: d, done: make(chan struct{})},
		&agentNotifier{d: d, done: make(chan struct{})},
		&peerPoller{d: d, done: make(chan struct{})},
		&banSender{d: d, done: make(chan struct{})},
		&sourcePoller{d: d, done: make(chan struct{})},
		&discovery{d: d, meetings: make(map[netip.AddrPort]meeting), done: make(chan struct{})},
		d.limits,
	}
	for _, task := range d.tasks {
		go task.run(ctx)
	}
	d.c.Log.Info("entry: started", zap.String("Name", s.Name), zap.Stringer("Callers", s.Callers))
	return nil
}

// endpoint is a listen address and its handler, with a limiter of its own if the configuration
// limits its clients.
type endpoint struct {
	address netip.AddrPort
	handler http.Handler
	limiter *callerlimiter.Limiter
}

func (d *Distributor) serve(ctx context.Context, e endpoint) error {
	listener, err := d.c.Network.Listen(ctx, e.address)
	if err != nil {
		return err
	}
	h := &http.Server{
		Handler: e.handler, ErrorLog: zap.NewStdLog(d.c.Log), ReadHeaderTimeout: foxtailwharf.MaxHeaderTimeout,
		IdleTimeout: foxtailwharf.MaxIdleTimeout, MaxHeaderBytes: foxtailwharf.MaxHeaderBytes,
	}
	c := server.Config{Listener: listener, HTTP: h, Log: d.c.Log}
	if e.limiter != nil {
		c.Listener, c.Drain = e.limiter.Limit(h, listener), e.limiter.Drain
	}
	d.servers.Add(server.Start(c))
	return nil
}

func (d *Distributor) peersMux() http.Handler {
	mux := http.NewServeMux()
	mux.Handle("GET "+messenger.Path, d.messages)
	mux.Handle("GET /metrics", d.meter)
	return mux
}

// metricsMux serves the metrics in text format.
func (d *Distributor) metricsMux() http.Handler {
	d.meter.Gauge("Waiting", func() int64 { return int64(d.assigner.Waiting()) })
	d.meter.Gauge("ConfigurationVersion", func() int64 { return d.follower.View().Version() })
	d.meter.Gauge("ProofAgeMillis", func() int64 {
		v := d.follower.View()
		if !v.HasProof {
			return -1
		}
		return (d.c.Clock() - v.ConfiguredAt).Milliseconds()
	})
	d.meter.Gauge("Upstreams", func() int64 { return int64(len(d.follower.View().Upstreams)) })
	d.meter.Gauge("LimitedUpstreams", func() int64 { return int64(d.assigner.Limited()) })
	d.meter.Gauge("LeavingUpstreams", func() int64 { return int64(d.assigner.Leaving()) })
	d.meter.Gauge("PausedUpstreams", func() int64 { return int64(d.assigner.Paused()) })
	d.meter.Gauge("OtherEntries", func() int64 { return int64(len(d.otherEntries())) })
	mux := http.NewServeMux()
	mux.HandleFunc("GET /metrics", d.meter.ServeText)
	return mux
}

// serveReady answers the readiness check of the load balancer, which reads only the status.
func (d *Distributor) serveReady(w http.ResponseWriter, _ *http.Request) {
	if d.isLeaving.Load() || !d.forwarder.IsReady() {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

// applyView puts a new view of the store into effect. Most views differ only in the proof of the
// configuration. The follower calls it one view at a time.
func (d *Distributor) applyView(v follower.View) {
	isSame := v.IsSame(d.applied)
	d.applied = v
	d.recordProof(v)
	if isSame {
		d.forwarder.SetView(v)
		return
	}
	d.updateFromView(v)
	if v.Configuration != nil {
		d.callers.Set(v.Configuration.Limits)
	}
	d.forwarder.SetView(v)
	d.assigner.Update(func(b *balancer.Balancer) {
		b.Set(v.Upstreams)
		b.SetSubset(d.chosenAgents())
		d.setReleases(b, v.Configuration)
	})
}

// Counter returns the value of a counter of the metrics.
func (d *Distributor) Counter(name string) int64 {
	return d.meter.Counter(name)
}

// View returns the entry's current view of the store. It must not be changed.
func (d *Distributor) View() follower.View {
	return d.follower.View()
}

// Stop shuts down gracefully: the readiness check fails first, calls are still accepted for
// drainDelay so that the load balancer notices, and then calls in progress are finished. ctx
// bounds the wait; calls that are in progress at its end are answered before.
func (d *Distributor) Stop(ctx context.Context) error {
	d.c.Log.Info("entry: stopping")
	d.isLeaving.Store(true)
	d.forwarder.Leave(ctx)
	sleeper.Sleep(ctx, drainDelay)
	err := errors.Wrap(d.servers.Shutdown(ctx), "Distributor.Stop")
	d.cancel()
	d.messages.Close()
	d.client.Close()
	d.requester.CloseIdle()
	d.notifier.Close()
	d.follower.Wait()
	for _, task := range d.tasks {
		<-task.ended()
	}
	d.c.Log.Info("entry: stopped", zap.Error(err))
	return err
}
