// Package distributor is an entry of a fleet that the platform lists: it follows the
// store, hears the agents and the other entries, and forwards callers' requests
// straight to upstreams.
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
	"github.com/foxtailwharf/foxtailwharf/internal/connection/exchanger"
	"github.com/foxtailwharf/foxtailwharf/internal/connection/gauger"
	"github.com/foxtailwharf/foxtailwharf/internal/connection/messenger"
	"github.com/foxtailwharf/foxtailwharf/internal/connection/notifier"
	"github.com/foxtailwharf/foxtailwharf/internal/connection/server"
	"github.com/foxtailwharf/foxtailwharf/internal/process/follower"
	"github.com/foxtailwharf/foxtailwharf/internal/process/pauser"
	"github.com/foxtailwharf/foxtailwharf/internal/process/recorder"
	"github.com/foxtailwharf/foxtailwharf/internal/process/relier"
	"github.com/foxtailwharf/foxtailwharf/internal/request/assigner"
	"github.com/foxtailwharf/foxtailwharf/internal/request/balancer"
	"github.com/foxtailwharf/foxtailwharf/internal/request/forwarder"
	"github.com/foxtailwharf/foxtailwharf/internal/request/rationer"
)

// Constants of an entry.
const (
	// proofMargin is kept from the time within which a key must stop working.
	proofMargin = 300 * time.Millisecond
	// switchMargin is kept from the time after which no call may begin on old weights:
	// a call may wait in the engine's queue.
	switchMargin = 800 * time.Millisecond
	// dueMargin is kept from the same time before calls that have not begun are taken back.
	dueMargin = 200 * time.Millisecond
	// idleTime is how long a caller's connection may be idle, and headTime how long its
	// head may take; both are above what the operators allow callers.
	idleTime = time.Minute
	headTime = 10 * time.Second
	// headBytes bounds the head of a caller's request.
	headBytes = 64 << 10
	// tidyInterval is the time between two clean-ups of idle connections.
	tidyInterval = time.Second
	// noticeTime is how long a leaving entry goes on taking connections, so that the
	// balancer, which asks once a second and counts two misses, sends no more.
	noticeTime = 2500 * time.Millisecond
)

// Config holds the settings of a Distributor.
type Config struct {
	Settings foxtailwharf.FleetSettings
	Store    foxtailwharf.FleetStore
	Dialect  foxtailwharf.CallDialect
	Network  foxtailwharf.Network
	Packets  notifier.Packets
	Clock    follower.Clock
	Log      *zap.Logger
	Seed     uint64
}

// Distributor is one entry.
type Distributor struct {
	c         Config
	follower  *follower.Follower
	assigner  *assigner.Assigner
	exchanger *exchanger.Exchanger
	forwarder *forwarder.Forwarder
	recorder  *recorder.Recorder
	notifier  *notifier.Notifier
	messages  *messenger.Server
	client    *messenger.Client
	servers   []*server.Server
	duties    []duty
	cancel    context.CancelFunc
	isLeaving atomic.Bool
	news      chan struct{} // holds one: agents should be told soon

	mu    sync.Mutex
	peers *rand.Rand         // draws the entries to ask
	named map[string][]named // by model, the newest last
	// hasReleases says that the store's releases were read once.
	hasReleases bool
	agents      []foxtailwharf.Upstream // of all engines
	chosen      []foxtailwharf.Upstream // those with which this entry exchanges messages
	lists       map[netip.Addr]heldList // that each agent has
	gauger      *gauger.Gauger          // of the agents' reports
	fullLinks   map[netip.Addr]bool     // machines whose links are full, for the log
	entries     map[netip.AddrPort]otherEntry
	relier      *relier.Relier
	meetBy      time.Time // until when the store waits for word of the other entries

	packing sync.Mutex
	packed  packedDocument // the configuration as it was last sent to another entry
}

// duty is a part of the entry that runs beside the others.
type duty interface {
	run(ctx context.Context)
	ended() <-chan struct{}
}

// New builds an entry that has not started.
func New(c Config) *Distributor {
	d := &Distributor{
		c:         c,
		recorder:  recorder.New(),
		messages:  messenger.NewServer(),
		client:    messenger.NewClient(c.Network),
		named:     make(map[string][]named),
		lists:     make(map[netip.Addr]heldList),
		gauger:    gauger.New(),
		fullLinks: make(map[netip.Addr]bool),
		news:      make(chan struct{}, 1),
		entries:   make(map[netip.AddrPort]otherEntry),
		relier:    relier.New(relier.Config{Self: c.Settings.Peers(c.Settings.Address), Started: time.Now()}),
	}
	if len(c.Settings.Seeds) > 0 {
		d.meetBy = time.Now().Add(meetTime)
	}
	d.peers = d.random("peers")
	d.assigner = assigner.New(balancer.New(balancer.Config{FailureDomain: c.Settings.FailureDomain, Random: d.random("balancer")}))
	d.exchanger = exchanger.New(exchanger.Config{Network: c.Network})
	d.forwarder = forwarder.New(forwarder.Config{
		Dialect:   c.Dialect,
		Assigner:  d.assigner,
		Exchanger: d.exchanger,
		Recorder:  d.recorder,
		Clock:     c.Clock,
		ProofLife: c.Settings.KeyLife - proofMargin,
		Ration:    rationer.Config{Ratio: c.Settings.RepeatRatio * repeatPart, Window: c.Settings.RepeatWindow, Extra: d.repeatExtra(1)},
		Placed:    d.placed,
		Warn:      d.warn,
		Random:    d.random("calls"),
		Log:       c.Log,
	})
	d.follower = follower.New(follower.Config{
		Store:      c.Store,
		Clock:      c.Clock,
		Changed:    d.changed,
		IsRelieved: d.isRelieved,
		Process:    c.Seed,
		Log:        c.Log,
	})
	return d
}

func (d *Distributor) random(purpose string) *rand.Rand {
	return rand.New(rand.NewPCG(d.c.Seed, foxtailwharf.Score(d.c.Settings.Name, purpose)))
}

// shuffle puts entries in random order.
func (d *Distributor) shuffle(entries []netip.AddrPort) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.peers.Shuffle(len(entries), func(i, j int) { entries[i], entries[j] = entries[j], entries[i] })
}

// Constants of the budget of repeats, which all entries share.
const (
	// repeatPart is the part of the allowed repeats that entries use.
	repeatPart = 0.7
	// fewestEntries is assumed while an entry has not heard of others.
	fewestEntries = 8
)

// repeatExtra returns this entry's part of the repeats that are allowed on top.
func (d *Distributor) repeatExtra(entries int) float64 {
	return d.c.Settings.RepeatExtra * repeatPart / float64(max(entries, fewestEntries))
}

// Start listens and begins all duties. They end with Stop, or at once with the context.
func (d *Distributor) Start(ctx context.Context) error {
	s := d.c.Settings
	ctx, d.cancel = context.WithCancel(ctx)
	socket, err := d.c.Packets.ListenPacket(ctx, s.Peers(s.Address))
	if err != nil {
		return errors.Wrap(err, "Distributor.Start")
	}
	d.notifier = notifier.New(notifier.Config{Socket: socket, Clock: d.c.Clock, Heard: d.hearReport, Log: d.c.Log})
	messenger.Register(d.messages, methodVouch, d.vouch)
	messenger.Register(d.messages, methodWarn, d.hearWarning)
	messenger.Register(d.messages, methodMeet, d.hearMeeting)
	listeners := []listening{
		{s.Peers(s.Address), d.peersMux()},
		{s.Ready, http.HandlerFunc(d.serveReady)},
		{s.Callers, d.forwarder},
	}
	if s.Metrics.IsValid() {
		listeners = append(listeners, listening{s.Metrics, d.metricsMux()})
	}
	for _, l := range listeners {
		if err := d.serve(ctx, l.address, l.handler); err != nil {
			return errors.Wrap(err, "Distributor.Start")
		}
	}
	d.notifier.Start()
	d.follower.Start(ctx)
	d.duties = []duty{
		&tidier{d: d, done: make(chan struct{})},
		&caller{d: d, done: make(chan struct{})},
		&asker{d: d, done: make(chan struct{})},
		&warner{d: d, done: make(chan struct{})},
		&relying{d: d, done: make(chan struct{})},
		&meeting{d: d, done: make(chan struct{})},
	}
	for _, duty := range d.duties {
		go duty.run(ctx)
	}
	d.c.Log.Info("entry: Started.", zap.String("Name", s.Name), zap.Stringer("Callers", s.Callers))
	return nil
}

// listening is an address with what answers there.
type listening struct {
	address netip.AddrPort
	handler http.Handler
}

func (d *Distributor) serve(ctx context.Context, address netip.AddrPort, handler http.Handler) error {
	listener, err := d.c.Network.Listen(ctx, address)
	if err != nil {
		return err
	}
	h := &http.Server{Handler: handler, ReadHeaderTimeout: headTime, IdleTimeout: idleTime, MaxHeaderBytes: headBytes, ErrorLog: zap.NewStdLog(d.c.Log)}
	d.servers = append(d.servers, server.Start(listener, h, d.c.Log))
	return nil
}

func (d *Distributor) peersMux() http.Handler {
	mux := http.NewServeMux()
	mux.Handle("GET "+messenger.Path, d.messages)
	mux.Handle("GET /metrics", d.recorder)
	return mux
}

// metricsMux serves the metrics as text.
func (d *Distributor) metricsMux() http.Handler {
	d.recorder.Gauge("Waiting", func() int64 { return int64(d.assigner.Waiting()) })
	d.recorder.Gauge("ConfigurationVersion", func() int64 { return d.follower.View().Version() })
	d.recorder.Gauge("ProofAgeMillis", func() int64 {
		v := d.follower.View()
		if !v.HasProof {
			return -1
		}
		return (d.c.Clock() - v.ConfiguredAt).Milliseconds()
	})
	d.recorder.Gauge("Upstreams", func() int64 { return int64(len(d.follower.View().Upstreams)) })
	d.recorder.Gauge("OtherEntries", func() int64 { return int64(len(d.otherEntries())) })
	mux := http.NewServeMux()
	mux.HandleFunc("GET /metrics", d.recorder.ServeText)
	return mux
}

// serveReady answers the balancer, which reads the status alone.
func (d *Distributor) serveReady(w http.ResponseWriter, _ *http.Request) {
	if d.isLeaving.Load() || !d.forwarder.IsReady() {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

// changed puts a new view of the store in force.
func (d *Distributor) changed(v follower.View) {
	d.note(v)
	d.forwarder.SetView(v)
	d.assigner.Update(func(b *balancer.Balancer) {
		b.Set(v.Upstreams)
		b.SetChosen(d.chosenAgents())
		d.setReleases(b, v.Configuration)
	})
}

// View returns what the entry knows of the store.
func (d *Distributor) View() follower.View {
	return d.follower.View()
}

// tidier closes idle connections to upstreams that are gone.
type tidier struct {
	d    *Distributor
	done chan struct{}
}

func (t *tidier) run(ctx context.Context) {
	defer close(t.done)
	for pauser.Sleep(ctx, tidyInterval) {
		listed := make(map[string]bool)
		for _, u := range t.d.follower.View().Upstreams {
			listed[u.ID+"@"+u.Address.String()] = true
		}
		t.d.exchanger.Forget(func(peer string) bool { return listed[peer] })
	}
}

func (t *tidier) ended() <-chan struct{} {
	return t.done
}

// Stop stops gracefully: the health check fails first, callers' calls go on for the
// time that the balancer needs to notice, and then those in progress are finished. The
// context bounds it.
func (d *Distributor) Stop(ctx context.Context) error {
	d.c.Log.Info("entry: Stopping.")
	d.isLeaving.Store(true)
	d.forwarder.Leave()
	pauser.Sleep(ctx, noticeTime)
	var err error
	for i := len(d.servers) - 1; i >= 0; i-- {
		if shutErr := d.servers[i].Shutdown(ctx); shutErr != nil && err == nil {
			err = errors.Wrap(shutErr, "Distributor.Stop")
		}
	}
	d.cancel()
	d.messages.Close()
	d.client.Close()
	d.exchanger.Shut()
	d.notifier.Close()
	d.follower.Wait()
	for _, duty := range d.duties {
		<-duty.ended()
	}
	d.c.Log.Info("entry: Stopped.", zap.Error(err))
	return err
}
