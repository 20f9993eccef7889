package main

import (
	"context"
	"os"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"github.com/foxtailwharf/foxtailwharf/internal/connection/dialer"
	"github.com/foxtailwharf/foxtailwharf/internal/process/catcher"
	"github.com/foxtailwharf/foxtailwharf/internal/process/checker"
	"github.com/foxtailwharf/foxtailwharf/internal/process/receiver"
)

type entryCommand struct {
	Settings string `arg:"" type:"existingfile" help:"The entry's settings, a YAML file."`
}

// Help returns the detailed help of the command, which kong prints with --help.
func (c *entryCommand) Help() string {
	return `An entry accepts callers' requests over HTTP, checks keys and caps, and relays each
request to an agent. SIGTERM shuts it down gracefully: its health check fails first, it
accepts requests for the time of Notice, then finishes those in progress.`
}

// Run runs the entry until ctx is done, and then shuts it down gracefully.
func (c *entryCommand) Run(ctx context.Context, log *zap.Logger, h catcher.Hangups) error {
	text, err := os.ReadFile(c.Settings)
	if err != nil {
		return errors.Wrap(err, "entry")
	}
	settings, err := checker.EntrySettings(text)
	if err != nil {
		return withFileName(c.Settings, err)
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
	return runUntilHangup(ctx, r, settings.Common.Drain+settings.Notice, h)
}

// daemon is an entry or agent. Stop shuts it down gracefully until its context is done.
type daemon interface {
	Start(ctx context.Context) error
	Stop(ctx context.Context) error
}

// newSeed returns the seed of a process, taken from the clock so that processes differ.
func newSeed() uint64 {
	return uint64(time.Now().UnixNano())
}

// runUntilHangup is runUntilDone for a daemon that reads its settings only once: SIGHUP shuts it down
// gracefully, too. Without that the signal would end it at once, with all requests in progress.
func runUntilHangup(ctx context.Context, d daemon, limit time.Duration, h catcher.Hangups) error {
	if err := d.Start(context.WithoutCancel(ctx)); err != nil {
		return err
	}
	select {
	case <-h:
	case <-ctx.Done():
	}
	return shutDown(ctx, d, limit)
}

// runUntilDone runs a daemon until ctx is done, and then shuts it down gracefully within the time
// limit.
func runUntilDone(ctx context.Context, d daemon, limit time.Duration) error {
	if err := d.Start(context.WithoutCancel(ctx)); err != nil {
		return err
	}
	<-ctx.Done()
	return shutDown(ctx, d, limit)
}

// shutDown shuts a daemon down gracefully within the time limit.
func shutDown(ctx context.Context, d daemon, limit time.Duration) error {
	stopContext, cancel := context.WithTimeout(context.WithoutCancel(ctx), limit)
	defer cancel()
	return d.Stop(stopContext)
}
