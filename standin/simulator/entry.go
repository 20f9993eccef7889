package simulator

import (
	"context"
	"net/netip"
	"slices"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"github.com/foxtailwharf/foxtailwharf"
	"github.com/foxtailwharf/foxtailwharf/internal/process/distributor"
	"github.com/foxtailwharf/foxtailwharf/standin"
)

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

// Start starts the entry on a new machine, also after Kill.
func (e *Entry) Start(ctx context.Context) error {
	e.isKilled = false
	e.host = e.f.network.Host(e.f.failureDomain(e.index), e.f.failureDomain(e.index), e.f.c.Links.Entry)
	e.process = distributor.New(distributor.Config{
		Settings: e.settings(), Store: &linkedStore{FleetStore: e.f.Store.View(e.Name), f: e.f, host: e.host}, Dialect: standin.Dialect{}, Network: e.host, PacketListener: e.host,
		Clock: e.f.clock, Log: e.f.c.EntryLog.With(zap.String("Entry", e.Name)), Seed: uint64(e.index) + 1,
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

// IsListed reports whether the entry lists an upstream.
func (e *Entry) IsListed(id string) bool {
	return slices.ContainsFunc(e.process.View().Upstreams, func(u foxtailwharf.Upstream) bool { return u.ID == id })
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

// Warnings returns how many warnings the entry has sent to others since it started.
func (e *Entry) Warnings() int64 {
	return e.process.Warnings()
}

// Ready returns the address of the readiness check.
func (e *Entry) Ready() netip.AddrPort {
	return e.settings().Ready
}

// Callers returns the address that callers connect to.
func (e *Entry) Callers() netip.AddrPort {
	return e.settings().Callers
}
