package main

import (
	"context"
	"os"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"github.com/foxtailwharf/foxtailwharf"
	"github.com/foxtailwharf/foxtailwharf/internal/connection/dialer"
	"github.com/foxtailwharf/foxtailwharf/internal/connection/notifier"
	"github.com/foxtailwharf/foxtailwharf/internal/process/catcher"
	"github.com/foxtailwharf/foxtailwharf/internal/process/checker"
	"github.com/foxtailwharf/foxtailwharf/internal/process/clocker"
	"github.com/foxtailwharf/foxtailwharf/internal/process/distributor"
	"github.com/foxtailwharf/foxtailwharf/internal/process/provisioner"
	"github.com/foxtailwharf/foxtailwharf/platform"
)

// fleetCommand holds the subcommands for a fleet whose upstreams are listed by the platform.
type fleetCommand struct {
	Entry fleetEntryCommand `cmd:"" help:"Run an entry: watch the platform's store and forward callers' requests directly to upstreams."`
	Agent fleetAgentCommand `cmd:"" help:"Run an agent beside one engine: download and load its weights and report its load."`
}

// settingsFlag holds the flag that names the settings file.
type settingsFlag struct {
	Settings string `type:"existingfile" required:"" env:"FOXTAILWHARF_CONFIG" help:"The settings, a YAML file."`
}

// read parses and validates the settings file.
func (f settingsFlag) read() (s foxtailwharf.FleetSettings, err error) {
	var text []byte
	if text, err = os.ReadFile(f.Settings); err != nil {
		return s, errors.Wrap(err, "fleet")
	}
	if s, err = checker.FleetSettings(text); err != nil {
		return s, withFileName(f.Settings, err)
	}
	return s, nil
}

type fleetEntryCommand struct {
	settingsFlag
}

// Help returns the detailed help of the command, which kong prints with --help.
func (c *fleetEntryCommand) Help() string {
	return `The entry reads configuration, upstreams and releases from the platform's store and
selects the upstream of each call by itself. SIGTERM shuts it down gracefully. SIGHUP
reads the settings again and logs the errors in them, or else the settings before and
after; changes take effect at the next start.`
}

// Run runs the entry until ctx is done, and then shuts it down gracefully.
func (c *fleetEntryCommand) Run(ctx context.Context, log *zap.Logger, h catcher.Hangups) error {
	s, err := c.read()
	if err != nil {
		return err
	}
	network := &dialer.TCP{}
	d := distributor.New(distributor.Config{
		Settings:       s,
		Store:          platform.NewStore(platform.StoreConfig{Network: network, Address: s.Store, Log: log}),
		Dialect:        platform.Dialect{},
		Network:        network,
		PacketListener: notifier.UDP{},
		Clock:          clocker.Boot,
		Log:            log,
		Seed:           newSeed(),
	})
	return c.runFleet(ctx, d, s, log, h)
}

type fleetAgentCommand struct {
	settingsFlag
}

// Help returns the detailed help of the command, which kong prints with --help.
func (c *fleetAgentCommand) Help() string {
	return `The agent learns from the entries which weights its engine should load, exchanges their
chunks with the other agents, and orders the engine to load them. SIGTERM shuts it down;
the engine keeps running.`
}

// Run runs the agent until ctx is done, and then shuts it down gracefully.
func (c *fleetAgentCommand) Run(ctx context.Context, log *zap.Logger, h catcher.Hangups) error {
	s, err := c.read()
	if err != nil {
		return err
	}
	network := &dialer.TCP{}
	p := provisioner.New(provisioner.Config{
		Settings:       s,
		Slot:           platform.NewEngine(network, s.Upstream),
		Origin:         platform.NewOrigin(network),
		Network:        network,
		PacketListener: notifier.UDP{},
		Clock:          clocker.Boot,
		Log:            log,
		Seed:           newSeed(),
	})
	return c.runFleet(ctx, p, s, log, h)
}

// stopMargin is subtracted from the time limit of a graceful shutdown, since the platform kills the
// process at the limit.
const stopMargin = 300_000_000 // nanoseconds

// runFleet runs a daemon until ctx is done, and reads the settings again at each SIGHUP.
func (f settingsFlag) runFleet(ctx context.Context, d daemon, s foxtailwharf.FleetSettings, log *zap.Logger, h catcher.Hangups) error {
	limitProcessors(fleetProcessors)
	limitMemory(s.Memory())
	l := &settingsLogger{file: f, settings: s, log: log, hangups: h, done: make(chan struct{})}
	go l.run(ctx)
	err := runUntilDone(ctx, d, max(s.Drain-stopMargin, 0))
	<-l.done
	return err
}

// settingsLogger reads the settings at each SIGHUP and logs them. None of the settings can change
// while the process runs, so that changes take effect at the next start. During the shutdown SIGHUP
// has no effect.
type settingsLogger struct {
	file     settingsFlag
	settings foxtailwharf.FleetSettings
	log      *zap.Logger
	hangups  catcher.Hangups
	done     chan struct{}
}

func (l *settingsLogger) run(ctx context.Context) {
	defer close(l.done)
	for {
		select {
		case <-l.hangups:
			l.reload()
		case <-ctx.Done():
			// The signal stays caught, since it would end the process before the calls in progress.
			return
		}
	}
}

func (l *settingsLogger) reload() {
	s, err := l.file.read()
	if err != nil {
		l.log.Warn("settings: reading them again failed; keeping the last valid ones", zap.Error(err))
		return
	}
	l.log.Info("settings: read again; changes take effect at the next start", zap.Any("Before", l.settings), zap.Any("After", s))
	l.settings = s
}
