// Package simulator runs a whole fleet whose upstreams are on the platform's list inside one
// process: entries, agents and fakes of all other systems, connected by an in-memory network.
package simulator

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

// Layout of the fleet.
const (
	defaultDomains = 3
	hostsPerSubnet = 250
	peersPort      = 7700
	callersPort    = 8080
	readyPort      = 8081
	enginePort     = 8090
	model          = "m"
	// Service is the name of the engines' service, Key the key of a caller.
	Service = "llm"
	Key     = "k1"
)

// Config holds the size of a fleet.
type Config struct {
	Entries int
	Engines int
	Slots   int
	Events  int // number of events in each response
	// Domains is the number of failure domains, each in a region of its own; 0 means three.
	Domains int
	// OnStart is called when a call begins to run on an engine.
	OnStart func(call, engine string, weights int64)
}

// Fleet is a fleet under test.
type Fleet struct {
	c         Config
	Store     *standin.FleetStore
	Origin    *Origin
	network   *standin.MemoryNetwork
	createdAt time.Time
	Entries   []*Entry
	Engines   []*Engine
}

// Entry is an entry process and its machine.
type Entry struct {
	Name     string
	f        *Fleet
	index    int
	host     *standin.Host
	process  *distributor.Distributor
	isKilled bool
	cancel   context.CancelFunc
}

// Engine is an engine, its agent and their machine.
type Engine struct {
	*standin.SlotEngine
	ID     string
	f      *Fleet
	index  int
	host   *standin.Host
	server *standin.Server
	agent  *provisioner.Provisioner
	cancel context.CancelFunc
}

// New returns a fleet; Start starts it.
func New(c Config) *Fleet {
	if c.Domains == 0 {
		c.Domains = defaultDomains
	}
	return &Fleet{
		c:         c,
		Store:     standin.NewFleetStore(),
		Origin:    &Origin{chunks: make(map[string][]byte)},
		network:   standin.NewMemoryNetwork(time.Millisecond, 0),
		createdAt: time.Now(),
	}
}

// failureDomain returns the failure domain of a machine, which is also the name of its region.
func (f *Fleet) failureDomain(index int) string {
	return fmt.Sprintf("d%d", index%f.c.Domains)
}

// regions returns the region of each failure domain.
func (f *Fleet) regions() map[string]string {
	regions := make(map[string]string)
	for index := range f.c.Domains {
		regions[f.failureDomain(index)] = f.failureDomain(index)
	}
	return regions
}

func machineAddress(kind, index int) netip.Addr {
	return netip.AddrFrom4([4]byte{10, byte(1 + kind), byte(index / hostsPerSubnet), byte(index%hostsPerSubnet + 1)})
}

// Kinds of machine, which are a part of its address.
const (
	kindEntry = iota
	kindEngine
)

func (f *Fleet) settings(kind, index int, name string) foxtailwharf.FleetSettings {
	s := foxtailwharf.FleetSettings{
		Name: name, FailureDomain: f.failureDomain(index), Region: f.failureDomain(index), Address: machineAddress(kind, index),
		Ports: []uint16{peersPort, peersPort + 9}, Store: netip.MustParseAddrPort("10.9.9.9:80"),
		Regions: f.regions(),
		Seeds:   []netip.AddrPort{netip.AddrPortFrom(machineAddress(kindEntry, 0), peersPort)},
	}
	s.Defaults()
	return s
}

// clock returns the time since the fleet was created. It serves as the monotonic clock of all
// machines, since none of them is ever suspended.
func (f *Fleet) clock() time.Duration {
	return time.Since(f.createdAt)
}

// Start starts all entries and engines. The last emptyEngines engines have no weights, the others
// hold version 1.
func (f *Fleet) Start(ctx context.Context, emptyEngines int) error {
	f.Store.PutConfiguration(f.Configuration(1, Key))
	for index := range f.c.Entries {
		f.Entries = append(f.Entries, &Entry{Name: fmt.Sprintf("entry-%d", index), f: f, index: index})
		if err := f.Entries[index].Start(ctx); err != nil {
			return err
		}
	}
	for index := range f.c.Engines {
		if _, err := f.AddEngine(ctx, index < f.c.Engines-emptyEngines); err != nil {
			return err
		}
	}
	return nil
}

// Configuration returns a configuration that accepts the given keys.
func (f *Fleet) Configuration(version int64, keys ...string) foxtailwharf.Configuration {
	c := foxtailwharf.Configuration{
		Version: version,
		Services: map[string]foxtailwharf.CallService{
			Service: {Name: Service, Engine: &foxtailwharf.EngineModel{Model: model, Slots: f.c.Slots, ReadRate: 20_000}},
			"src":   {Name: "src", Origin: netip.MustParseAddrPort("10.9.9.8:80"), OriginDomain: "d0"},
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

// Start starts the entry on a new machine, also after Kill.
func (e *Entry) Start(ctx context.Context) error {
	e.isKilled = false
	e.host = e.f.network.Host(e.f.failureDomain(e.index), e.f.failureDomain(e.index), 0)
	e.process = distributor.New(distributor.Config{
		Settings: e.settings(), Store: e.f.Store.View(e.Name), Dialect: standin.Dialect{}, Network: e.host, PacketListener: e.host,
		Clock: e.f.clock, Log: zap.NewNop(), Seed: uint64(e.index) + 1,
	})
	ctx, e.cancel = context.WithCancel(ctx)
	return errors.Wrap(e.process.Start(ctx), "Entry.Start")
}

func (e *Entry) settings() foxtailwharf.FleetSettings {
	s := e.f.settings(kindEntry, e.index, e.Name)
	s.Callers = netip.AddrPortFrom(s.Address, callersPort)
	s.Ready = netip.AddrPortFrom(s.Address, readyPort)
	return s
}

// Kill stops the entry's machine without a graceful stop.
func (e *Entry) Kill() {
	e.isKilled = true
	e.host.Kill()
	e.cancel()
}

// IsKilled reports whether the entry is killed and has not been started again.
func (e *Entry) IsKilled() bool {
	return e.isKilled
}

// IsDraining reports whether the entry knows that an upstream is draining.
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
	defer e.cancel()
	return e.process.Stop(ctx)
}

// Version returns the version of the configuration in force.
func (e *Entry) Version() int64 {
	return e.process.View().Version()
}

// Callers returns the address that callers connect to.
func (e *Entry) Callers() netip.AddrPort {
	return e.settings().Callers
}

// AddEngine starts an engine with its agent and adds it to the platform's list.
func (f *Fleet) AddEngine(ctx context.Context, hasWeights bool) (*Engine, error) {
	index := len(f.Engines)
	e := &Engine{ID: fmt.Sprintf("engine-%d", index), f: f, index: index}
	engineConfig := standin.SlotEngineConfig{ID: e.ID, Slots: f.c.Slots, Events: f.c.Events, Manifest: standin.TestManifest, OnStart: f.c.OnStart}
	if hasWeights {
		engineConfig.Weights = 1
		engineConfig.Staged = make(map[int][]byte)
		for number := range standin.TestChunkCount {
			engineConfig.Staged[number] = standin.TestChunk(1, number)
		}
	}
	e.SlotEngine = standin.NewSlotEngine(engineConfig)
	f.Engines = append(f.Engines, e)
	e.host = f.network.Host(f.failureDomain(index), f.failureDomain(index), 0)
	var err error
	if e.server, err = standin.Serve(ctx, e.host, e.address(), e.SlotEngine); err != nil {
		return nil, errors.Wrap(err, "Fleet.AddEngine")
	}
	if err := e.StartAgent(ctx); err != nil {
		return nil, err
	}
	e.PutUpstream()
	return e, nil
}

func (e *Engine) address() netip.AddrPort {
	return netip.AddrPortFrom(machineAddress(kindEngine, e.index), enginePort)
}

// PutUpstream writes the engine's current state to the platform's list.
func (e *Engine) PutUpstream() {
	e.f.Store.PutUpstream(e.listedUpstream())
}

// Drain marks the engine as draining in the platform's list.
func (e *Engine) Drain() {
	u := e.listedUpstream()
	u.IsDraining = true
	e.f.Store.PutUpstream(u)
}

func (e *Engine) listedUpstream() foxtailwharf.Upstream {
	u := e.Upstream()
	u.Service, u.Address, u.FailureDomain = Service, e.address(), e.f.failureDomain(e.index)
	return u
}

// StartAgent starts the agent on the engine's machine.
func (e *Engine) StartAgent(ctx context.Context) error {
	s := e.f.settings(kindEngine, e.index, fmt.Sprintf("agent-%d", e.index))
	s.Upstream, s.Service = e.address(), Service
	e.agent = provisioner.New(provisioner.Config{
		Settings: s, Slot: e.SlotEngine, Origin: e.f.Origin, Network: e.host, PacketListener: e.host, Clock: e.f.clock,
		Log: zap.NewNop(), Seed: uint64(e.index) + 100,
	})
	ctx, e.cancel = context.WithCancel(ctx)
	return errors.Wrap(e.agent.Start(ctx), "Engine.StartAgent")
}

// LosePower stops the engine, its machine and the agent, and discards all staged chunks. The engine
// starts again after restartDelay, machine and agent with Restart.
func (e *Engine) LosePower(restartDelay time.Duration) {
	e.Crash(restartDelay, true)
	e.host.Kill()
	e.cancel()
}

// Restart starts the agent and serves the engine on a new machine, after LosePower.
func (e *Engine) Restart(ctx context.Context) error {
	e.server.Close()
	e.host = e.f.network.Host(e.f.failureDomain(e.index), e.f.failureDomain(e.index), 0)
	var err error
	if e.server, err = standin.Serve(ctx, e.host, e.address(), e.SlotEngine); err != nil {
		return errors.Wrap(err, "Engine.Restart")
	}
	return e.StartAgent(ctx)
}

// Stop stops all machines, without a graceful stop.
func (f *Fleet) Stop() {
	for _, e := range f.Entries {
		e.Kill()
	}
	for _, e := range f.Engines {
		e.Crash(time.Millisecond, false)
		e.host.Kill()
		e.cancel()
		e.server.Close()
	}
}

// RegionDatagrams returns the bytes of all datagrams between regions, with their headers.
func (f *Fleet) RegionDatagrams() int64 {
	return f.network.RegionDatagrams()
}

// RegionTraffic returns the bytes that all connections carried between regions.
func (f *Fleet) RegionTraffic() (bytes int64) {
	for from := range f.c.Domains {
		for to := range f.c.Domains {
			bytes += f.network.RegionTraffic(f.failureDomain(from), f.failureDomain(to))
		}
	}
	return bytes
}

// CallerHost returns a new machine for callers, outside the fleet's failure domains.
func (f *Fleet) CallerHost() *standin.Host {
	return f.network.Host("callers", "callers", 0)
}

// Origin is an in-memory origin of weights for all agents.
type Origin struct {
	mu            sync.Mutex
	chunks        map[string][]byte
	sent          int64
	manifestReads int // number of manifests that were read
	isDown        bool
}

// ManifestReads returns how often a manifest was read.
func (o *Origin) ManifestReads() int {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.manifestReads
}

// SetDown makes the origin fail, or work again.
func (o *Origin) SetDown(isDown bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.isDown = isDown
}

// Sent returns the bytes of the chunks that were read.
func (o *Origin) Sent() int64 {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.sent
}

// SetAddress does nothing, since this origin has no address.
func (o *Origin) SetAddress(netip.AddrPort) {}

// Learn records the chunks of a release, which Chunk then finds by their digests.
func (o *Origin) Learn(release foxtailwharf.Release, m foxtailwharf.Manifest) {
	o.mu.Lock()
	defer o.mu.Unlock()
	for number, chunk := range m.Chunks {
		o.chunks[chunk.Digest] = standin.TestChunk(release.Version, number)
	}
}

// ReleaseManifest returns the manifest of a release. It fails while the origin is down.
func (o *Origin) ReleaseManifest(_ context.Context, release foxtailwharf.Release) ([]byte, error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.isDown {
		return nil, errors.New("origin is down")
	}
	o.manifestReads++
	return json.Marshal(standin.TestManifest(release.Version))
}

// Manifest fails always, since this origin knows manifests by version only.
func (o *Origin) Manifest(context.Context, string) ([]byte, error) {
	return nil, errors.New("origin knows manifests by version only")
}

// Chunk returns the data of a chunk of a release that Learn has recorded.
func (o *Origin) Chunk(_ context.Context, digest string) (io.ReadCloser, error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	data, isKnown := o.chunks[digest]
	if o.isDown || !isKnown {
		return nil, errors.New("origin is down or does not have the chunk")
	}
	o.sent += int64(len(data))
	return io.NopCloser(bytes.NewReader(data)), nil
}

// NewRequest returns a caller's request to an entry. Its body is the ID of the call.
func NewRequest(ctx context.Context, to netip.AddrPort, route, id, key string, promptTokens int) (*http.Request, error) {
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+to.String()+"/"+route+"/1", bytes.NewReader([]byte(id)))
	if err != nil {
		return nil, errors.Wrap(err, "simulator.NewRequest")
	}
	r.Host = "h"
	r.Header.Set(standin.HeaderCall, id)
	r.Header.Set(standin.HeaderKey, key)
	r.Header.Set(standin.HeaderPromptTokens, fmt.Sprint(promptTokens))
	return r, nil
}
