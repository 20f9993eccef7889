// Command foxtailwharf runs the parts of the system and edits its documents.
package main

import (
	"context"
	"os"
	"os/signal"
	"strings"
	"syscall"

	"github.com/alecthomas/kong"

	"github.com/foxtailwharf/foxtailwharf/internal/process/logger"
)

const description = `foxtailwharf shares one fleet of model instances among the members of an agreement.

It brings the right model version to enough instances, takes live requests to
instances that can answer them, and gives every member its agreed share. To look
around, run "foxtailwharf demo".`

// cli lists the commands.
type cli struct {
	Entry  entryCommand  `cmd:"" help:"Run an entry: take callers' requests and relay them to agents."`
	Fleet  fleetCommand  `cmd:"" help:"Run an entry or an agent on a platform that lists upstreams and keeps the configuration."`
	Agent  agentCommand  `cmd:"" help:"Run an agent beside one upstream: queue and run requests, fetch and load weights."`
	Check  checkCommand  `cmd:"" help:"Check a settings file or a document and print every fault with line and column."`
	Apply  applyCommand  `cmd:"" help:"Write a document to the platform's store. A lost race changes nothing and shows who won."`
	Get    getCommand    `cmd:"" help:"Print a document as it stands, with its revision."`
	Delete deleteCommand `cmd:"" help:"Delete a document, leaving a tombstone that no old revision can undo."`
	Status statusCommand `cmd:"" help:"Print which revision of a document is in force and what is wrong with it."`
	Demo   demoCommand   `cmd:"" help:"Run a whole small fleet inside this process on loopback, and print requests to try."`
	Load   loadCommand   `cmd:"" help:"Send open-loop load to an entry on loopback and print what came back."`

	Verbose bool `short:"v" help:"Log more."`
}

func main() {
	var c cli
	parser := kong.Parse(&c, kong.Name("foxtailwharf"), kong.Description(description), kong.UsageOnError())
	// The context ends at the first signal; a second one changes nothing, since the
	// stop under way has its own limit.
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	parser.BindTo(ctx, (*context.Context)(nil))
	log := logger.New(logger.Config{Out: logStream(parser.Command()), IsVerbose: c.Verbose})
	err := parser.Run(log.Logger)
	log.Close()
	parser.FatalIfErrorf(err)
}

// logStream returns where a command logs: daemons on standard output, as the operators ask,
// and commands for a person on standard error, beside what they print.
func logStream(command string) *os.File {
	name, _, _ := strings.Cut(command, " ")
	switch name {
	case "entry", "agent", "fleet":
		return os.Stdout
	default:
		return os.Stderr
	}
}
