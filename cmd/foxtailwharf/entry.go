package main

import (
	"context"
	"os"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"github.com/foxtailwharf/foxtailwharf/internal/connection/dialer"
	"github.com/foxtailwharf/foxtailwharf/internal/process/checker"
	"github.com/foxtailwharf/foxtailwharf/internal/process/receiver"
)

type entryCommand struct {
	Settings string `arg:"" type:"existingfile" help:"The entry's settings, a YAML file."`
}

// Help explains the command to a person.
func (c *entryCommand) Help() string {
	return `An entry takes callers' requests over HTTP, checks keys and caps, and relays each
request to an agent. SIGTERM stops it gracefully: its health check fails first, it
takes requests for the time of Notice, then finishes those in progress.`
}

// Run runs the entry until the context ends.
func (c *entryCommand) Run(ctx context.Context, log *zap.Logger) error {
	text, err := os.ReadFile(c.Settings)
	if err != nil {
		return errors.Wrap(err, "entry")
	}
	settings, err := checker.EntrySettings(text)
	if err != nil {
		return inFile(c.Settings, err)
	}
	peers, err := dialer.New(settings.Common.TLS)
	if err != nil {
		return err
	}
	callers, err := dialer.New(settings.CallersTLS)
	if err != nil {
		return err
	}
	platform, err := dialer.New(settings.Common.PlatformTLS)
	if err != nil {
		return err
	}
	r := receiver.New(receiver.Config{Settings: settings, Network: peers, Platform: platform, Callers: callers, Log: log, Seed: newSeed()})
	return runUntilDone(ctx, r, settings.Common.Drain+settings.Notice)
}

// daemon is a role that starts and stops.
type daemon interface {
	Start(ctx context.Context) error
	Stop(ctx context.Context) error
}

// newSeed returns a seed that differs between processes.
func newSeed() uint64 {
	return uint64(time.Now().UnixNano())
}

// runUntilDone runs a daemon until the context ends, and then stops it gracefully
// within the limit.
func runUntilDone(ctx context.Context, d daemon, limit time.Duration) error {
	if err := d.Start(context.WithoutCancel(ctx)); err != nil {
		return err
	}
	<-ctx.Done()
	stopping, cancel := context.WithTimeout(context.WithoutCancel(ctx), limit)
	defer cancel()
	return d.Stop(stopping)
}
