// Package fleet puts entries, agents and stand-ins together inside one process,
// for the demo, the measurements and the tests.
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

// Constants of a fleet.
const (
	secret       = "stand-in secret of thirty-two characters"
	stopLimit    = 10 * time.Second
	storeTimeout = time.Second
)

// Domain is a failure domain.
type Domain struct {
	Name   string
	Region string
}

// Service is a service of the fleet and what stands behind it.
type Service struct {
	Name      string
	Document  string
	PerDomain int // agents in each failure domain
	Upstream  func(n int) http.Handler
}

// Config holds the settings of a Fleet.
type Config struct {
	// Network returns the network of a process of the fleet or of a stand-in.
	Network func(name string, d Domain) foxtailwharf.Network
	// Address returns an address for a process to listen on.
	Address   func() netip.AddrPort
	Callers   netip.AddrPort // of the first entry; the zero value for any
	Domains   []Domain
	Entries   int // in each failure domain
	Agreement string
	Services  []Service
	// ChangeEntry and ChangeAgent change settings before the start.
	ChangeEntry func(n int, s *foxtailwharf.EntrySettings)
	ChangeAgent func(n int, s *foxtailwharf.AgentSettings)
	Platform    *standin.Platform
	Origin      *standin.Origin
	Interval    time.Duration
	Log         *zap.Logger
}

// Entry is an entry of the fleet.
type Entry struct {
	*receiver.Receiver
	Name     string
	Network  foxtailwharf.Network
	Domain   Domain
	settings foxtailwharf.EntrySettings
}

// Agent is an agent of the fleet and its upstream.
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

// Fleet is a small fleet.
type Fleet struct {
	c        Config
	Entries  []*Entry
	Agents   []*Agent
	servers  []*standin.Server
	platform netip.AddrPort
	origin   netip.AddrPort
	outside  foxtailwharf.Network // of stand-ins and operators
}

// New returns a fleet that has not started.
func New(c Config) *Fleet {
	return &Fleet{c: c, outside: c.Network("outside", c.Domains[0])}
}

// Start starts stand-ins, writes the documents, and starts entries and agents.
func (f *Fleet) Start(ctx context.Context) (err error) {
	if f.platform, err = f.serve(ctx, f.c.Platform); err != nil {
		return err
	}
	if f.origin, err = f.serveAt(ctx, f.c.Network("origin", f.c.Domains[0]), f.c.Origin); err != nil {
		return err
	}
	if err = f.applyAll(ctx); err != nil {
		return err
	}
	for n := range f.c.Entries * len(f.c.Domains) {
		if err = f.startEntry(ctx, n); err != nil {
			return err
		}
	}
	f.List(nil)
	for _, s := range f.c.Services {
		for n := range s.PerDomain * len(f.c.Domains) {
			if err = f.startAgent(ctx, s, n); err != nil {
				return err
			}
		}
	}
	f.List(nil)
	return nil
}

func (f *Fleet) serve(ctx context.Context, handler http.Handler) (netip.AddrPort, error) {
	return f.serveAt(ctx, f.outside, handler)
}

// serveAt starts a stand-in.
func (f *Fleet) serveAt(ctx context.Context, network foxtailwharf.Network, handler http.Handler) (netip.AddrPort, error) {
	server, err := standin.Serve(ctx, network, f.c.Address(), handler)
	if err != nil {
		return netip.AddrPort{}, err
	}
	f.servers = append(f.servers, server)
	return server.Address(), nil
}

func (f *Fleet) applyAll(ctx context.Context) error {
	texts := []string{f.c.Agreement}
	for _, s := range f.c.Services {
		texts = append(texts, s.Document)
	}
	for _, text := range texts {
		if _, err := f.Apply(ctx, "fleet", text); err != nil {
			return err
		}
	}
	return nil
}

// Apply writes a document as an operator.
func (f *Fleet) Apply(ctx context.Context, writer, text string) (foxtailwharf.Document, error) {
	store := f.Store()
	defer store.Close()
	return editor.New(editor.Config{Store: store, Writer: writer}).Apply(ctx, []byte(text))
}

// Store returns a client of the platform.
func (f *Fleet) Store() *storer.Platform {
	return storer.New(storer.Config{Network: f.outside, Address: f.platform, Timeout: storeTimeout})
}

// Platform returns the address of the platform's object API.
func (f *Fleet) Platform() netip.AddrPort {
	return f.platform
}

// ReplaceEntry ends an entry's process at once and starts a new one in its place, with
// nothing kept.
func (f *Fleet) ReplaceEntry(ctx context.Context, e *Entry) error {
	e.Close()
	return f.startReceiver(ctx, e)
}

// List sets the platform's instance list to the entries; leaving names the
// instances that it marks as leaving.
func (f *Fleet) List(leaving map[string]bool) {
	var rows []storer.ListedInstance
	for _, e := range f.Entries {
		self := e.Status().Self
		rows = append(rows, row(self, leaving))
	}
	for _, a := range f.Agents {
		rows = append(rows, row(a.Status().Self, leaving))
	}
	f.c.Platform.SetList(rows)
}

func row(i foxtailwharf.Instance, leaving map[string]bool) storer.ListedInstance {
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

func (f *Fleet) common(name string, d Domain) foxtailwharf.Common {
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
		Common:       f.common(e.Name, e.Domain),
		Callers:      f.c.Address(),
		TicketSecret: secret,
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
		Seed:     foxtailwharf.Score(e.Name, "seed"),
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
		Common:   f.common(a.Name, a.Domain),
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
		Seed:     foxtailwharf.Score(a.Name, "seed"),
	})
	return a.Start(ctx)
}

// Replace ends an agent's process at once and starts a new one in its slot, with
// nothing kept.
func (f *Fleet) Replace(ctx context.Context, a *Agent) error {
	a.Close()
	return f.startWorker(ctx, a)
}

// AgentsOf returns the agents of a service.
func (f *Fleet) AgentsOf(service string) (agents []*Agent) {
	for _, a := range f.Agents {
		if a.Service == service {
			agents = append(agents, a)
		}
	}
	return agents
}

// IsReady reports whether all agents serve what their documents ask for, and every
// entry knows all agents.
func (f *Fleet) IsReady() bool {
	serving := make(map[string]string)
	for _, a := range f.Agents {
		self := a.Status().Self
		if !a.ServesWantedVersion() {
			return false
		}
		serving[self.Incarnation] = self.Version
	}
	for _, e := range f.Entries {
		status := e.Status()
		known := 0
		for _, i := range status.Agents {
			if version, isOurs := serving[i.Incarnation]; isOurs && version == i.Version {
				known++
			}
		}
		if known < len(f.Agents) || len(status.Entries) < len(f.Entries) {
			return false
		}
	}
	return true
}

// Stop ends the fleet gracefully, entries first.
func (f *Fleet) Stop() {
	ctx, cancel := context.WithTimeout(context.Background(), stopLimit)
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

// stopper stops one process.
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
		s.log.Warn("fleet: A process did not stop in time.", zap.Error(err))
	}
}
