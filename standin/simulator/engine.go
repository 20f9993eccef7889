package simulator

import (
	"context"
	"fmt"
	"net/netip"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"github.com/foxtailwharf/foxtailwharf"
	"github.com/foxtailwharf/foxtailwharf/internal/process/provisioner"
	"github.com/foxtailwharf/foxtailwharf/standin"
)

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

// AddEngine starts an engine with its agent and adds it to the platform's list.
func (f *Fleet) AddEngine(ctx context.Context, hasWeights bool) (*Engine, error) {
	index := len(f.Engines)
	e := &Engine{ID: fmt.Sprintf("engine-%d", index), f: f, index: index}
	engineConfig := standin.SlotEngineConfig{
		ID: e.ID, Slots: f.c.Slots, Events: f.c.Events, EventsOf: f.c.EventsOf, Manifest: standin.TestManifest, OnArrive: f.c.OnArrive, OnStart: f.c.OnStart,
		CrashingCalls: f.c.CrashingCalls, CrashingParts: f.c.CrashingParts, CrashRestart: crashRestart,
	}
	if hasWeights {
		engineConfig.Weights = 1
		engineConfig.Staged = make(map[int][]byte)
		for number := range standin.TestChunkCount {
			engineConfig.Staged[number] = standin.TestChunk(1, number)
		}
	}
	e.SlotEngine = standin.NewSlotEngine(engineConfig)
	f.Engines = append(f.Engines, e)
	e.host = f.network.Host(f.failureDomain(index), f.failureDomain(index), f.c.Links.Engine)
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

// PutUpstreamBorn writes a record to the platform's list that tells another start of the engine.
func (e *Engine) PutUpstreamBorn(born time.Time) {
	u := e.listedUpstream()
	u.Born = born
	e.f.Store.PutUpstream(u)
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
		Log: e.f.c.AgentLog.With(zap.String("Engine", e.ID)), Seed: uint64(e.index) + 100,
	})
	ctx, e.cancel = context.WithCancel(ctx)
	return errors.Wrap(e.agent.Start(ctx), "Engine.StartAgent")
}

// RestartAgent stops the agent and starts it again. The engine goes on.
func (e *Engine) RestartAgent(ctx context.Context) error {
	if err := e.agent.Stop(ctx); err != nil {
		return errors.Wrap(err, "Engine.RestartAgent")
	}
	e.cancel()
	return e.StartAgent(ctx)
}

// KillAgent ends the agent, which completes nothing. The engine goes on.
func (e *Engine) KillAgent(ctx context.Context) {
	ctx, cancel := context.WithCancel(ctx)
	cancel()
	// The error is that of the cancelled context.
	_ = e.agent.Stop(ctx)
	e.cancel()
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
	e.host = e.f.network.Host(e.f.failureDomain(e.index), e.f.failureDomain(e.index), e.f.c.Links.Engine)
	var err error
	if e.server, err = standin.Serve(ctx, e.host, e.address(), e.SlotEngine); err != nil {
		return errors.Wrap(err, "Engine.Restart")
	}
	return e.StartAgent(ctx)
}
