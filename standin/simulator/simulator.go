// Package simulator runs a whole fleet whose upstreams are on the platform's list inside one
// process: entries, agents and fakes of all other systems, connected by an in-memory network.
package simulator

import (
	"bytes"
	"context"
	"fmt"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"github.com/foxtailwharf/foxtailwharf"
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
	crashRestart   = 3500 * time.Millisecond
	model          = "m"
	plainService   = "plain"
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
	// EventsOf returns the number of events in the response to a call; nil for Events in all.
	EventsOf func(call string) int
	// Domains is the number of failure domains, each in a region of its own; 0 means three.
	Domains int
	// Links are the rates of the network; nil for no limits.
	Links *Links
	// Plain is the number of upstreams of a plain service on the platform's list. They have no machines.
	Plain int
	// OnArrive is called when a call reaches an engine, and OnStart when it begins to run there.
	OnArrive func(call, engine string)
	OnStart  func(call, engine string, weights int64)
	// CrashingCalls are calls, and CrashingParts parts of prompts, that crash the engines.
	CrashingCalls []string
	CrashingParts []string
	// AgentLog is the log of all agents, and EntryLog that of all entries; nil for none.
	AgentLog *zap.Logger
	EntryLog *zap.Logger
}

// Links are rates of the network, in bytes per second in each direction, and of the platform's store, in calls
// per second.
type Links struct {
	Entry, Engine, Region, Store int64
	StoreReads                   int
}

// Fleet is a fleet under test.
type Fleet struct {
	c         Config
	storeHost *standin.Host
	Store     *standin.FleetStore
	Origin    *Origin
	network   *standin.MemoryNetwork
	createdAt time.Time
	Entries   []*Entry
	Engines   []*Engine

	mu         sync.Mutex
	readsSince time.Time // start of the second in which reads are counted
	reads      int       // calls to the store in it
}

// New returns a fleet; Start starts it.
func New(c Config) *Fleet {
	if c.Domains == 0 {
		c.Domains = defaultDomains
	}
	if c.AgentLog == nil {
		c.AgentLog = zap.NewNop()
	}
	if c.EntryLog == nil {
		c.EntryLog = zap.NewNop()
	}
	if c.Links == nil {
		c.Links = &Links{}
	}
	f := &Fleet{
		c:         c,
		Store:     standin.NewFleetStore(),
		Origin:    &Origin{chunks: make(map[string][]byte), addresses: make(map[netip.AddrPort]bool)},
		network:   standin.NewMemoryNetwork(time.Millisecond, c.Links.Region),
		createdAt: time.Now(),
	}
	f.storeHost = f.network.Host(f.failureDomain(0), f.failureDomain(0), c.Links.Store)
	return f
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
	kindPlain
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
	for index := range f.c.Plain {
		f.Store.PutUpstream(f.plainUpstream(index))
	}
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

// PlainAddress returns the address of an upstream of the plain service, which tests may serve.
func (f *Fleet) PlainAddress(index int) netip.AddrPort {
	return netip.AddrPortFrom(machineAddress(kindPlain, index), enginePort)
}

// plainUpstream returns an upstream of the plain service.
func (f *Fleet) plainUpstream(index int) foxtailwharf.Upstream {
	return foxtailwharf.Upstream{
		ID: fmt.Sprintf("plain-%d", index), Service: plainService, FailureDomain: f.failureDomain(index), Slots: f.c.Slots,
		Address: f.PlainAddress(index), Born: f.createdAt,
	}
}

// Configuration returns a configuration that accepts the given keys.
func (f *Fleet) Configuration(version int64, keys ...string) foxtailwharf.Configuration {
	c := foxtailwharf.Configuration{
		Version: version,
		Services: map[string]foxtailwharf.CallService{
			Service:      {Name: Service, Engine: &foxtailwharf.EngineModel{Model: model, Slots: f.c.Slots, ReadRate: 20_000}},
			plainService: {Name: plainService},
			"src":        {Name: "src", Origin: netip.MustParseAddrPort("10.9.9.8:80"), OriginDomain: "d0"},
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

// SetDomainAway cuts a failure domain off from all others, or connects it again. Callers still reach
// it.
func (f *Fleet) SetDomainAway(domain int, isAway bool) {
	for other := range f.c.Domains {
		if other != domain {
			f.network.SetPartitioned(f.failureDomain(domain), f.failureDomain(other), isAway)
		}
	}
}

// CallerHost returns a new machine for callers, outside the fleet's failure domains.
func (f *Fleet) CallerHost() *standin.Host {
	return f.network.Host("callers", "callers", 0)
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

// Counter returns the sum of a counter of the metrics over all running processes.
func (f *Fleet) Counter(name string) (sum int64) {
	for _, e := range f.Entries {
		sum += e.process.Counter(name)
	}
	for _, e := range f.Engines {
		sum += e.agent.Counter(name)
	}
	return sum
}
