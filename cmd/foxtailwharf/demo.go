package main

import (
	"context"
	"fmt"
	"time"

	"go.uber.org/zap"

	"github.com/foxtailwharf/foxtailwharf/standin/fleet"
)

type demoCommand struct {
	For     time.Duration `help:"Stop after this time; 0 runs until Ctrl-C."`
	Callers string        `default:"127.0.0.1:8470" help:"IP:port to listen on for callers."`
}

// Help returns the detailed help of the command, which kong prints with --help.
func (c *demoCommand) Help() string {
	return `Starts three failure domains on loopback: entries, agents, and stand-ins for the
platform, the origin of weights, the model engines and the plain services. It distributes
a model to all agents, shows time and traffic, and prints a request for each rank.`
}

// Run runs the demo until ctx is done or the time set with --for is over.
func (c *demoCommand) Run(ctx context.Context, log *zap.Logger) error {
	if c.For > 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, c.For)
		defer cancel()
	}
	f, err := fleet.NewDemo(c.Callers, log.WithOptions(zap.IncreaseLevel(zap.WarnLevel)))
	if err != nil {
		return err
	}
	if err := f.Start(context.WithoutCancel(ctx)); err != nil {
		return err
	}
	defer f.Stop()
	if !c.waitForModel(ctx, f) {
		return nil
	}
	fmt.Printf("platform: %s (try: foxtailwharf get --platform %[1]s assistant)\n", f.Platform())
	fmt.Println("ready")
	for _, line := range f.ExampleCommands() {
		fmt.Println(line)
	}
	<-ctx.Done()
	fmt.Println("stopping")
	return nil
}

const progressInterval = 250 * time.Millisecond

// waitForModel prints progress until the model is on all agents. It returns false if ctx is done
// first.
func (c *demoCommand) waitForModel(ctx context.Context, f *fleet.Demo) bool {
	started := time.Now()
	ticker := time.NewTicker(progressInterval)
	defer ticker.Stop()
	for {
		p := f.Progress()
		if p.IsReady {
			fmt.Printf("model: on %d agents in %.1f s, %.2f copies downloaded from the origin, largest upload %.2f copies\n",
				p.Agents, time.Since(started).Seconds(), p.OriginCopies, p.LargestUpload)
			return true
		}
		fmt.Printf("model: %d of %d chunks on %d agents\n", p.Chunks, p.TotalChunks, p.Agents)
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return false
		}
	}
}
