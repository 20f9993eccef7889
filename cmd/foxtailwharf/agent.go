package main

import (
	"context"
	"os"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"github.com/foxtailwharf/foxtailwharf"
	"github.com/foxtailwharf/foxtailwharf/internal/connection/dialer"
	"github.com/foxtailwharf/foxtailwharf/internal/process/catcher"
	"github.com/foxtailwharf/foxtailwharf/internal/process/checker"
	"github.com/foxtailwharf/foxtailwharf/internal/process/worker"
)

type agentCommand struct {
	Settings string `arg:"" type:"existingfile" help:"The agent's settings, a YAML file."`
}

// Help returns the detailed help of the command, which kong prints with --help.
func (c *agentCommand) Help() string {
	return `An agent runs beside one upstream and is the only process that sends it requests or
orders. It queues requests, runs them within the upstream's limit, stores the keys of
at-most-once calls, downloads weights and loads them. SIGTERM shuts it down gracefully:
it refuses new requests at once and finishes running ones.`
}

// Run runs the agent until ctx is done, and then shuts it down gracefully.
func (c *agentCommand) Run(ctx context.Context, log *zap.Logger, h catcher.Hangups) error {
	text, err := os.ReadFile(c.Settings)
	if err != nil {
		return errors.Wrap(err, "agent")
	}
	settings, err := checker.AgentSettings(text)
	if err != nil {
		return withFileName(c.Settings, err)
	}
	network, err := dialer.New(settings.Common.TLS)
	if err != nil {
		return err
	}
	platform, err := dialer.New(settings.Common.PlatformTLS)
	if err != nil {
		return err
	}
	// No TLS is needed, since the upstream is on the same machine.
	upstream, err := dialer.New(foxtailwharf.TLS{})
	if err != nil {
		return err
	}
	w := worker.New(worker.Config{
		Settings: settings,
		Network:  network,
		Platform: platform,
		Upstream: upstream,
		Log:      log,
		Seed:     newSeed(),
	})
	return runUntilHangup(ctx, w, settings.Common.Drain, h)
}
