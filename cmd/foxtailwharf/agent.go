package main

import (
	"context"
	"os"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"github.com/foxtailwharf/foxtailwharf"
	"github.com/foxtailwharf/foxtailwharf/internal/connection/dialer"
	"github.com/foxtailwharf/foxtailwharf/internal/process/checker"
	"github.com/foxtailwharf/foxtailwharf/internal/process/worker"
)

type agentCommand struct {
	Settings string `arg:"" type:"existingfile" help:"The agent's settings, a YAML file."`
}

// Help explains the command to a person.
func (c *agentCommand) Help() string {
	return `An agent sits beside one upstream and is the only process that gives it work or
orders. It queues requests, runs them within the upstream's limit, remembers keys
of at-most-once calls, fetches weights and loads them. SIGTERM stops it gracefully:
new requests are refused at once, running ones finish.`
}

// Run runs the agent until the context ends.
func (c *agentCommand) Run(ctx context.Context, log *zap.Logger) error {
	text, err := os.ReadFile(c.Settings)
	if err != nil {
		return errors.Wrap(err, "agent")
	}
	settings, err := checker.AgentSettings(text)
	if err != nil {
		return inFile(c.Settings, err)
	}
	network, err := dialer.New(settings.Common.TLS)
	if err != nil {
		return err
	}
	platform, err := dialer.New(settings.Common.PlatformTLS)
	if err != nil {
		return err
	}
	// The upstream is on the same machine.
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
	return runUntilDone(ctx, w, settings.Common.Drain)
}
