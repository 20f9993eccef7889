// Package fleet runs a whole fleet in one process: entries, agents, and stand-ins for the platform,
// the origin of weights and the upstreams. The demo, the measurements and the tests use it.
package fleet

import (
	"context"
	"fmt"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/foxtailwharf/foxtailwharf"
	"github.com/foxtailwharf/foxtailwharf/internal/process/editor"
	"github.com/foxtailwharf/foxtailwharf/internal/process/receiver"
	"github.com/foxtailwharf/foxtailwharf/internal/process/storer"
	"github.com/foxtailwharf/foxtailwharf/internal/process/worker"
	"github.com/foxtailwharf/foxtailwharf/standin"
)

const (
	ticketSecret = "stand-in secret of thirty-two characters"
	stopTimeout  = 10 * time.Second
	storeTimeout = time.Second
)

// Domain is a failure domain and the region that contains it.
type Domain struct {
	Name   string
	Region string
}

// Service is a service of the fleet with its agents and upstreams.
type Service struct {
	Name            string
	Document        string // the service's document, in YAML
	AgentsPerDomain int
	// Upstream returns the handler of the upstream beside the service's n-th agent, from 0.
	Upstream func(n int) http.Handler
}

// Config holds the settings of a Fleet.
type Config struct {
	// Network returns the network that a process of the fleet or a stand-in uses.
	Network func(name string, d Domain) foxtailwharf.Network
	// Address returns a listen address that is not in use yet, or one with port 0 for any free port.
	Address func() netip.AddrPort
	// Callers is the address on which the first entry listens for callers. If it is the zero
	// value, Address provides it, as for the other entries.
	Callers   netip.AddrPort
	Domains   []Domain
	Entries   int    // in each failure domain
	Agreement string // the agreement document, in YAML
	Services  []Service
	// ChangeEntry and ChangeAgent, if set, modify the settings of a process before it starts.
	// Entries are numbered from 0, agents from 0 within their service.
	ChangeEntry func(n int, s *foxtailwharf.EntrySettings)
	ChangeAgent func(n int, s *foxtailwharf.AgentSettings)
	Platform    *standin.Platform
	Origin      *standin.Origin
	Interval    time.Duration
	Log         *zap.Logger
}

// Entry is an entry process of the fleet. Its Receiver changes when the entry is replaced.
type Entry struct {
	*receiver.Receiver
	Name     string
	Network  foxtailwharf.Network
	Domain   Domain
	settings foxtailwharf.EntrySettings
}

// Agent is an agent process of the fleet and its upstream. Its Worker changes when the agent is
// replaced; the upstream stays.
type Agent struct {
	*worker.Worker
	Name     string
	Service  string
	Network  foxtailwharf.Network
	Domain   Domain
	Upstream http.Handler
	server   *standin.Server
	settings foxtailwharf.AgentSettings
}

// Fleet holds the processes and stand-ins of one fleet. After Start they run until Stop.
type Fleet struct {
	c        Config
	Entries  []*Entry
	Agents   []*Agent
	servers  []*standin.Server
	platform netip.AddrPort
	origin   netip.AddrPort
	external foxtailwharf.Network // of the platform and of operators
}

// New returns a fleet that has not started. The configuration needs at least one failure domain.
func New(c Config) *Fleet {
	return &Fleet{c: c, external: c.Network("outside", c.Domains[0])}
}

// Start starts the stand-ins, writes the documents, and starts entries and agents. It does not wait
// until the fleet is ready, and stops nothing on an error.
func (f *Fleet) Start(ctx context.Context) (err error) {
	if f.platform, err = f.serve(ctx, f.c.Platform); err != nil {
		return err
	}
	if f.origin, err = f.serveOn(ctx, f.c.Network("origin", f.c.Domains[0]), f.c.Origin); err != nil {
		return err
	}
	if err = f.applyDocuments(ctx); err != nil {
		return err
	}
	for n := range f.c.Entries * len(f.c.Domains) {
		if err = f.startEntry(ctx, n); err != nil {
			return err
		}
	}
	f.SetInstanceList(nil)
	for _, s := range f.c.Services {
		for n := range s.AgentsPerDomain * len(f.c.Domains) {
			if err = f.startAgent(ctx, s, n); err != nil {
				return err
			}
		}
	}
	f.SetInstanceList(nil)
	return nil
}

func (f *Fleet) serve(ctx context.Context, handler http.Handler) (netip.AddrPort, error) {
	return f.serveOn(ctx, f.external, handler)
}

// serveOn serves a stand-in on a network and returns its address.
func (f *Fleet) serveOn(ctx context.Context, network foxtailwharf.Network, handler http.Handler) (netip.AddrPort, error) {
	server, err := standin.Serve(ctx, network, f.c.Address(), handler)
	if err != nil {
		return netip.AddrPort{}, err
	}
	f.servers = append(f.servers, server)
	return server.Address(), nil
}

func (f *Fleet) applyDocuments(ctx context.Context) error {
	documents := []string{f.c.Agreement}
	for _, s := range f.c.Services {
		documents = append(documents, s.Document)
	}
	for _, document := range documents {
		if _, err := f.Apply(ctx, "fleet", document); err != nil {
			return err
		}
	}
	return nil
}

// Apply writes a document in YAML to the store, as an operator does.
func (f *Fleet) Apply(ctx context.Context, writer, document string) (foxtailwharf.Document, error) {
	store := f.Store()
	defer store.Close()
	return editor.New(editor.Config{Store: store, Writer: writer}).Apply(ctx, []byte(document))
}

// Store returns a new client of the platform's store. The caller closes it.
func (f *Fleet) Store() *storer.Platform {
	return storer.New(storer.Config{Network: f.external, Address: f.platform, Timeout: storeTimeout})
}

// Platform returns the address of the platform's object API. It is the zero value before
// Start.
func (f *Fleet) Platform() netip.AddrPort {
	return f.platform
}

// ReplaceEntry stops an entry at once, without draining, and starts a new one with the same
// settings and no state.
func (f *Fleet) ReplaceEntry(ctx context.Context, e *Entry) error {
	e.Close()
	return f.startReceiver(ctx, e)
}

// SetInstanceList sets the platform's instance list to the entries and agents. Instances whose
// names are true in leaving are marked as leaving.
func (f *Fleet) SetInstanceList(leaving map[string]bool) {
	var list []storer.ListedInstance
	for _, e := range f.Entries {
		self := e.Status().Self
		list = append(list, listedInstance(self, leaving))
	}
	for _, a := range f.Agents {
		list = append(list, listedInstance(a.Status().Self, leaving))
	}
	f.c.Platform.SetList(list)
}

func listedInstance(i foxtailwharf.Instance, leaving map[string]bool) storer.ListedInstance {
	return storer.ListedInstance{
		Name:          i.Name,
		Role:          string(i.Role),
		Address:       i.Address.String(),
		FailureDomain: i.FailureDomain,
		Region:        i.Region,
		Service:       i.Service,
		IsLeaving:     leaving[i.Name],
	}
}

func (f *Fleet) commonSettings(name string, d Domain) foxtailwharf.Common {
	return foxtailwharf.Common{
		Name:          name,
		FailureDomain: d.Name,
		Region:        d.Region,
		Peers:         f.c.Address(),
		Platform:      f.platform,
		Interval:      f.c.Interval,
	}
}

func (f *Fleet) startEntry(ctx context.Context, n int) error {
	e := &Entry{Name: fmt.Sprintf("entry-%d", n), Domain: f.c.Domains[n%len(f.c.Domains)]}
	e.Network = f.c.Network(e.Name, e.Domain)
	settings := foxtailwharf.EntrySettings{
		Common:       f.commonSettings(e.Name, e.Domain),
		Callers:      f.c.Address(),
		TicketSecret: ticketSecret,
		Notice:       time.Millisecond,
	}
	if n == 0 && f.c.Callers.IsValid() {
		settings.Callers = f.c.Callers
	}
	settings.Defaults()
	if f.c.ChangeEntry != nil {
		f.c.ChangeEntry(n, &settings)
	}
	e.settings = settings
	f.Entries = append(f.Entries, e)
	return f.startReceiver(ctx, e)
}

func (f *Fleet) startReceiver(ctx context.Context, e *Entry) error {
	e.Receiver = receiver.New(receiver.Config{
		Settings: e.settings,
		Network:  e.Network,
		Platform: e.Network,
		Callers:  e.Network,
		Log:      f.c.Log.With(zap.String("Process", e.Name)),
		Seed:     foxtailwharf.RendezvousScore(e.Name, "seed"),
	})
	return e.Start(ctx)
}

func (f *Fleet) startAgent(ctx context.Context, s Service, n int) error {
	a := &Agent{
		Name:     fmt.Sprintf("%s-%d", s.Name, n),
		Service:  s.Name,
		Domain:   f.c.Domains[n%len(f.c.Domains)],
		Upstream: s.Upstream(n),
	}
	a.Network = f.c.Network(a.Name, a.Domain)
	var err error
	if a.server, err = standin.Serve(ctx, a.Network, f.c.Address(), a.Upstream); err != nil {
		return err
	}
	a.settings = foxtailwharf.AgentSettings{
		Common:   f.commonSettings(a.Name, a.Domain),
		Service:  s.Name,
		Upstream: a.server.Address(),
		Origin:   f.origin,
	}
	a.settings.Defaults()
	if f.c.ChangeAgent != nil {
		f.c.ChangeAgent(n, &a.settings)
	}
	f.Agents = append(f.Agents, a)
	return f.startWorker(ctx, a)
}

func (f *Fleet) startWorker(ctx context.Context, a *Agent) error {
	a.Worker = worker.New(worker.Config{
		Settings: a.settings,
		Network:  a.Network,
		Platform: a.Network,
		Upstream: a.Network,
		Log:      f.c.Log.With(zap.String("Process", a.Name)),
		Seed:     foxtailwharf.RendezvousScore(a.Name, "seed"),
	})
	return a.Start(ctx)
}

// ReplaceAgent stops an agent at once, without draining, and starts a new one with the same
// settings and no state.
func (f *Fleet) ReplaceAgent(ctx context.Context, a *Agent) error {
	a.Close()
	return f.startWorker(ctx, a)
}

// AgentsOf returns the agents of a service in the order of their start.
func (f *Fleet) AgentsOf(service string) (agents []*Agent) {
	for _, a := range f.Agents {
		if a.Service == service {
			agents = append(agents, a)
		}
	}
	return agents
}

// IsReady reports whether all agents serve the versions that their documents ask for, and every
// entry knows all entries and all agents with these versions.
func (f *Fleet) IsReady() bool {
	versions := make(map[string]string)
	for _, a := range f.Agents {
		self := a.Status().Self
		if !a.ServesWantedVersion() {
			return false
		}
		versions[self.Incarnation] = self.Version
	}
	for _, e := range f.Entries {
		status := e.Status()
		known := 0
		for _, i := range status.Agents {
			if version, isServing := versions[i.Incarnation]; isServing && version == i.Version {
				known++
			}
		}
		if known < len(f.Agents) || len(status.Entries) < len(f.Entries) {
			return false
		}
	}
	return true
}

// Stop shuts the fleet down gracefully: first the entries, then the agents, then the stand-ins.
func (f *Fleet) Stop() {
	ctx, cancel := context.WithTimeout(context.Background(), stopTimeout)
	defer cancel()
	var group sync.WaitGroup
	for _, e := range f.Entries {
		s := &stopper{group: &group, stop: e.Stop, log: f.c.Log}
		s.start(ctx)
	}
	group.Wait()
	for _, a := range f.Agents {
		s := &stopper{group: &group, stop: a.Stop, log: f.c.Log}
		s.start(ctx)
	}
	group.Wait()
	for _, a := range f.Agents {
		a.server.Close()
	}
	for _, server := range f.servers {
		server.Close()
	}
}

// stopper stops one process in the background.
type stopper struct {
	group *sync.WaitGroup
	stop  func(ctx context.Context) error
	log   *zap.Logger
}

func (s *stopper) start(ctx context.Context) {
	s.group.Add(1)
	go s.run(ctx)
}

func (s *stopper) run(ctx context.Context) {
	defer s.group.Done()
	if err := s.stop(ctx); err != nil {
		s.log.Warn("fleet: process did not stop in time", zap.Error(err))
	}
}
