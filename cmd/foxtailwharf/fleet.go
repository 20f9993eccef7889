package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"github.com/foxtailwharf/foxtailwharf"
	"github.com/foxtailwharf/foxtailwharf/internal/connection/dialer"
	"github.com/foxtailwharf/foxtailwharf/internal/connection/notifier"
	"github.com/foxtailwharf/foxtailwharf/internal/process/checker"
	"github.com/foxtailwharf/foxtailwharf/internal/process/clocker"
	"github.com/foxtailwharf/foxtailwharf/internal/process/distributor"
	"github.com/foxtailwharf/foxtailwharf/internal/process/provisioner"
	"github.com/foxtailwharf/foxtailwharf/platform"
)

// fleetCommand holds the daemons of a fleet whose upstreams the platform lists.
type fleetCommand struct {
	Entry fleetEntryCommand `cmd:"" help:"Run an entry: follow the platform's store and forward callers' requests straight to upstreams."`
	Agent fleetAgentCommand `cmd:"" help:"Run an agent beside one engine: bring its weights and tell its load."`
}

// fleetFile names the settings.
type fleetFile struct {
	Settings string `type:"existingfile" required:"" env:"FOXTAILWHARF_CONFIG" help:"The settings, a YAML file."`
}

// read reads the settings.
func (f fleetFile) read() (s foxtailwharf.FleetSettings, err error) {
	var text []byte
	if text, err = os.ReadFile(f.Settings); err != nil {
		return s, errors.Wrap(err, "fleet")
	}
	if s, err = checker.FleetSettings(text); err != nil {
		return s, inFile(f.Settings, err)
	}
	return s, nil
}

type fleetEntryCommand struct {
	fleetFile
}

// Help explains the command to a person.
func (c *fleetEntryCommand) Help() string {
	return `The entry reads configuration, upstreams and releases from the platform's store and
decides by itself where each call goes. SIGTERM stops it gracefully; SIGHUP reads the
settings again and logs what is wrong with them or has changed.`
}

// Run runs the entry until the context ends.
func (c *fleetEntryCommand) Run(ctx context.Context, log *zap.Logger) error {
	s, err := c.read()
	if err != nil {
		return err
	}
	network := &dialer.TCP{}
	d := distributor.New(distributor.Config{
		Settings: s,
		Store:    platform.NewStore(platform.StoreConfig{Network: network, Address: s.Store, Log: log}),
		Dialect:  platform.Dialect{},
		Network:  network,
		Packets:  notifier.UDP{},
		Clock:    clocker.Boot,
		Log:      log,
		Seed:     newSeed(),
	})
	return c.runFleet(ctx, d, s, log)
}

type fleetAgentCommand struct {
	fleetFile
}

// Help explains the command to a person.
func (c *fleetAgentCommand) Help() string {
	return `The agent hears from the entries which weights its engine should hold, shares their
chunks with the other agents, and orders the engine to load them. SIGTERM stops it; the
engine goes on.`
}

// Run runs the agent until the context ends.
func (c *fleetAgentCommand) Run(ctx context.Context, log *zap.Logger) error {
	s, err := c.read()
	if err != nil {
		return err
	}
	network := &dialer.TCP{}
	p := provisioner.New(provisioner.Config{
		Settings: s,
		Slot:     platform.NewEngine(network, s.Upstream),
		Origin:   platform.NewOrigin(network),
		Network:  network,
		Packets:  notifier.UDP{},
		Clock:    clocker.Boot,
		Log:      log,
		Seed:     newSeed(),
	})
	return c.runFleet(ctx, p, s, log)
}

// stopMargin is kept from the limit of a graceful stop, after which the platform kills.
const stopMargin = 300_000_000 // ns

// runFleet runs a daemon until the context ends, and reads the settings again at SIGHUP.
func (f fleetFile) runFleet(ctx context.Context, d daemon, s foxtailwharf.FleetSettings, log *zap.Logger) error {
	r := &reloader{file: f, settings: s, log: log, hups: make(chan os.Signal, 1), done: make(chan struct{})}
	signal.Notify(r.hups, syscall.SIGHUP)
	go r.run(ctx)
	err := runUntilDone(ctx, d, max(s.Drain-stopMargin, 0))
	<-r.done
	return err
}

// reloader reads the settings at each SIGHUP. What a running process could change is not
// among them, so a change takes effect at the next start and is logged.
type reloader struct {
	file     fleetFile
	settings foxtailwharf.FleetSettings
	log      *zap.Logger
	hups     chan os.Signal
	done     chan struct{}
}

func (r *reloader) run(ctx context.Context) {
	defer close(r.done)
	for {
		select {
		case <-r.hups:
			r.reload()
		case <-ctx.Done():
			signal.Stop(r.hups)
			return
		}
	}
}

func (r *reloader) reload() {
	s, err := r.file.read()
	if err != nil {
		r.log.Warn("settings: They cannot be read; the last good ones stay.", zap.Error(err))
		return
	}
	r.log.Info("settings: They were read again.", zap.Any("Before", r.settings), zap.Any("After", s))
	r.settings = s
}
