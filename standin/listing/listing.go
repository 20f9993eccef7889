// Package listing runs a fleet whose upstreams the platform lists, entries, agents and
// stand-ins for everything around them, inside one process on a network in memory.
package listing

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"github.com/foxtailwharf/foxtailwharf"
	"github.com/foxtailwharf/foxtailwharf/internal/process/distributor"
	"github.com/foxtailwharf/foxtailwharf/internal/process/provisioner"
	"github.com/foxtailwharf/foxtailwharf/standin"
)

// Constants of the fleet.
const (
	domains     = 3
	peersPort   = 7700
	callersPort = 8080
	readyPort   = 8081
	enginePort  = 8090
	model       = "m"
	// Service is the name of the engines' service, Key a caller's key.
	Service = "llm"
	Key     = "k1"
)

// Config holds the sizes of a fleet.
type Config struct {
	Entries int
	Engines int
	Slots   int
	Events  int // of each answer
	// Running is told each call that begins to run.
	Running func(call, engine string, weights int64)
}

// Fleet is a running fleet.
type Fleet struct {
	c       Config
	Store   *standin.FleetStore
	Origin  *Origin
	fabric  *standin.Fabric
	started time.Time
	Entries []*Entry
	Engines []*Engine
}

// Entry is one entry with its machine.
type Entry struct {
	Name     string
	f        *Fleet
	n        int
	host     *standin.Host
	process  *distributor.Distributor
	isKilled bool
	stopping context.CancelFunc
}

// Engine is one engine with its agent and machine.
type Engine struct {
	*standin.SlotEngine
	ID       string
	f        *Fleet
	n        int
	host     *standin.Host
	server   *standin.Server
	agent    *provisioner.Provisioner
	stopping context.CancelFunc
}

// New builds a fleet that has not started.
func New(c Config) *Fleet {
	return &Fleet{
		c:       c,
		Store:   standin.NewFleetStore(),
		Origin:  &Origin{digests: make(map[string][]byte)},
		fabric:  standin.NewFabric(time.Millisecond, 0),
		started: time.Now(),
	}
}

func domain(n int) string {
	return fmt.Sprintf("d%d", n%domains)
}

func machine(kind, n int) netip.Addr {
	return netip.AddrFrom4([4]byte{10, 1, byte(kind), byte(n + 1)})
}

// Kinds of machine in an address.
const (
	kindEntry = iota
	kindEngine
)

func (f *Fleet) settings(kind, n int, name string) foxtailwharf.FleetSettings {
	s := foxtailwharf.FleetSettings{
		Name: name, FailureDomain: domain(n), Region: domain(n), Address: machine(kind, n),
		Ports: []uint16{peersPort, peersPort + 9}, Store: netip.MustParseAddrPort("10.1.9.9:80"),
		Regions: map[string]string{"d0": "d0", "d1": "d1", "d2": "d2"},
		Seeds:   []netip.AddrPort{netip.AddrPortFrom(machine(kindEntry, 0), peersPort)},
	}
	s.Defaults()
	return s
}

// Clock is the time since the fleet's start; no machine of it is ever suspended.
func (f *Fleet) clock() time.Duration {
	return time.Since(f.started)
}

// Start starts all, with engines that hold version 1 in all but the last empty ones.
func (f *Fleet) Start(ctx context.Context, empty int) error {
	f.Store.Configure(f.Configuration(1, Key))
	for n := range f.c.Entries {
		f.Entries = append(f.Entries, &Entry{Name: fmt.Sprintf("entry-%d", n), f: f, n: n})
		if err := f.Entries[n].Start(ctx); err != nil {
			return err
		}
	}
	for n := range f.c.Engines {
		if _, err := f.AddEngine(ctx, n < f.c.Engines-empty); err != nil {
			return err
		}
	}
	return nil
}

// Configuration returns a configuration with these keys.
func (f *Fleet) Configuration(version int64, keys ...string) foxtailwharf.Configuration {
	c := foxtailwharf.Configuration{
		Version: version,
		Services: map[string]foxtailwharf.CallService{
			Service: {Name: Service, Engine: &foxtailwharf.EngineModel{Model: model, Slots: f.c.Slots, ReadRate: 20_000}},
			"src":   {Name: "src", Origin: netip.MustParseAddrPort("10.1.9.8:80"), OriginDomain: "d0"},
		},
		Keys: make(map[string]foxtailwharf.CallAccount),
	}
	for priority, name := range []string{"chat", "answer", "summary"} {
		goal := 400 * time.Millisecond
		if name == "summary" {
			goal = time.Second
		}
		c.Routes = append(c.Routes, foxtailwharf.CallRoute{
			Name: name, Host: "h", Prefix: "/" + name + "/", Kind: foxtailwharf.CallStream, Timeout: 6 * time.Second, Goal: goal,
			Gap: 400 * time.Millisecond, Priority: priority, Attempts: 2, IsResumable: true,
			Targets: []foxtailwharf.CallTarget{{Service: Service, Weight: 1}},
		})
	}
	for _, key := range keys {
		c.Keys[key] = foxtailwharf.CallAccount{Name: "a-" + key}
	}
	return c
}

// Start starts the entry on a machine that is new each time.
func (e *Entry) Start(ctx context.Context) error {
	e.isKilled = false
	e.host = e.f.fabric.Host(domain(e.n), domain(e.n), 0)
	e.process = distributor.New(distributor.Config{
		Settings: e.settings(), Store: e.f.Store.View(e.Name), Dialect: standin.Dialect{}, Network: e.host, Packets: e.host,
		Clock: e.f.clock, Log: zap.NewNop(), Seed: uint64(e.n) + 1,
	})
	ctx, e.stopping = context.WithCancel(ctx)
	return errors.Wrap(e.process.Start(ctx), "Entry.Start")
}

func (e *Entry) settings() foxtailwharf.FleetSettings {
	s := e.f.settings(kindEntry, e.n, e.Name)
	s.Callers = netip.AddrPortFrom(s.Address, callersPort)
	s.Ready = netip.AddrPortFrom(s.Address, readyPort)
	return s
}

// Kill ends the entry's machine at once.
func (e *Entry) Kill() {
	e.isKilled = true
	e.host.Kill()
	e.stopping()
}

// IsKilled reports whether the entry's machine has ended.
func (e *Entry) IsKilled() bool {
	return e.isKilled
}

// IsDraining reports whether the entry knows that an upstream leaves.
func (e *Entry) IsDraining(id string) bool {
	for _, u := range e.process.View().Upstreams {
		if u.ID == id {
			return u.IsDraining
		}
	}
	return false
}

// Stop stops the entry gracefully.
func (e *Entry) Stop(ctx context.Context) error {
	defer e.stopping()
	return e.process.Stop(ctx)
}

// Version returns the version of the configuration in force.
func (e *Entry) Version() int64 {
	return e.process.View().Version()
}

// Callers returns where callers connect.
func (e *Entry) Callers() netip.AddrPort {
	return e.settings().Callers
}

// AddEngine starts an engine with its agent, and lists it.
func (f *Fleet) AddEngine(ctx context.Context, hasWeights bool) (*Engine, error) {
	n := len(f.Engines)
	e := &Engine{ID: fmt.Sprintf("engine-%d", n), f: f, n: n}
	config := standin.SlotEngineConfig{ID: e.ID, Slots: f.c.Slots, Events: f.c.Events, Manifest: standin.TestManifest, Running: f.c.Running}
	if hasWeights {
		config.Weights = 1
		config.Staged = make(map[int][]byte)
		for number := range standin.TestChunks {
			config.Staged[number] = standin.TestChunk(1, number)
		}
	}
	e.SlotEngine = standin.NewSlotEngine(config)
	f.Engines = append(f.Engines, e)
	e.host = f.fabric.Host(domain(n), domain(n), 0)
	var err error
	if e.server, err = standin.Serve(ctx, e.host, e.address(), e.SlotEngine); err != nil {
		return nil, errors.Wrap(err, "Fleet.AddEngine")
	}
	if err := e.StartAgent(ctx); err != nil {
		return nil, err
	}
	e.List()
	return e, nil
}

func (e *Engine) address() netip.AddrPort {
	return netip.AddrPortFrom(machine(kindEngine, e.n), enginePort)
}

// List writes the engine's entry of the platform's list.
func (e *Engine) List() {
	e.f.Store.List(e.entry())
}

// Drain writes there that the engine leaves.
func (e *Engine) Drain() {
	u := e.entry()
	u.IsDraining = true
	e.f.Store.List(u)
}

func (e *Engine) entry() foxtailwharf.Upstream {
	u := e.Upstream()
	u.Service, u.Address, u.FailureDomain = Service, e.address(), domain(e.n)
	return u
}

// StartAgent starts the agent beside the engine.
func (e *Engine) StartAgent(ctx context.Context) error {
	s := e.f.settings(kindEngine, e.n, fmt.Sprintf("agent-%d", e.n))
	s.Upstream, s.Service = e.address(), Service
	e.agent = provisioner.New(provisioner.Config{
		Settings: s, Slot: e.SlotEngine, Origin: e.f.Origin, Network: e.host, Packets: e.host, Clock: e.f.clock,
		Log: zap.NewNop(), Seed: uint64(e.n) + 100,
	})
	ctx, e.stopping = context.WithCancel(ctx)
	return errors.Wrap(e.agent.Start(ctx), "Engine.StartAgent")
}

// LosePower ends the engine, what is staged and the agent; start again with Return.
func (e *Engine) LosePower(pause time.Duration) {
	e.Crash(pause, true)
	e.host.Kill()
	e.stopping()
}

// Return starts machine, server and agent again.
func (e *Engine) Return(ctx context.Context) error {
	e.server.Close()
	e.host = e.f.fabric.Host(domain(e.n), domain(e.n), 0)
	var err error
	if e.server, err = standin.Serve(ctx, e.host, e.address(), e.SlotEngine); err != nil {
		return errors.Wrap(err, "Engine.Return")
	}
	return e.StartAgent(ctx)
}

// Stop ends the fleet.
func (f *Fleet) Stop() {
	for _, e := range f.Entries {
		e.Kill()
	}
	for _, e := range f.Engines {
		e.Crash(time.Millisecond, false)
		e.host.Kill()
		e.stopping()
		e.server.Close()
	}
}

// RegionTraffic returns the bytes of all connections between regions.
func (f *Fleet) RegionTraffic() (bytes int64) {
	for from := range domains {
		for to := range domains {
			bytes += f.fabric.RegionTraffic(domain(from), domain(to))
		}
	}
	return bytes
}

// Caller returns a machine for callers.
func (f *Fleet) Caller() *standin.Host {
	return f.fabric.Host("callers", "callers", 0)
}

// Origin is the origin of weights, in memory.
type Origin struct {
	mu      sync.Mutex
	digests map[string][]byte
	sent    int64
	asked   int // times for a manifest
	isDown  bool
}

// Asked returns how often a manifest was asked for.
func (o *Origin) Asked() int {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.asked
}

// SetDown makes the origin fail, or answer again.
func (o *Origin) SetDown(isDown bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.isDown = isDown
}

// Sent returns the bytes of chunks that were drawn.
func (o *Origin) Sent() int64 {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.sent
}

// SetAddress is of no use here.
func (o *Origin) SetAddress(netip.AddrPort) {}

// Learn takes in where the chunks of a release are.
func (o *Origin) Learn(release foxtailwharf.Release, m foxtailwharf.Manifest) {
	o.mu.Lock()
	defer o.mu.Unlock()
	for number, chunk := range m.Chunks {
		o.digests[chunk.Digest] = standin.TestChunk(release.Version, number)
	}
}

// ReleaseManifest returns the manifest of a release.
func (o *Origin) ReleaseManifest(_ context.Context, release foxtailwharf.Release) ([]byte, error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.isDown {
		return nil, errors.New("the origin is down")
	}
	o.asked++
	return json.Marshal(standin.TestManifest(release.Version))
}

// Manifest is not asked for by digest.
func (o *Origin) Manifest(context.Context, string) ([]byte, error) {
	return nil, errors.New("manifests are known by version")
}

// Chunk returns a chunk.
func (o *Origin) Chunk(_ context.Context, digest string) (io.ReadCloser, error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	data, isKnown := o.digests[digest]
	if o.isDown || !isKnown {
		return nil, errors.New("the origin has no such chunk")
	}
	o.sent += int64(len(data))
	return io.NopCloser(bytes.NewReader(data)), nil
}

// Request returns a call as a caller sends it.
func Request(ctx context.Context, to netip.AddrPort, route, id, key string, promptTokens int) (*http.Request, error) {
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+to.String()+"/"+route+"/1", bytes.NewReader([]byte(id)))
	if err != nil {
		return nil, errors.Wrap(err, "listing.Request")
	}
	r.Host = "h"
	r.Header.Set(standin.FieldCall, id)
	r.Header.Set(standin.FieldKey, key)
	r.Header.Set(standin.FieldTokens, fmt.Sprint(promptTokens))
	return r, nil
}
