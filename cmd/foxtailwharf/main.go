// Command foxtailwharf runs entries and agents, edits documents and generates load.
package main

import (
	"context"
	"os"
	"os/signal"
	"strings"
	"syscall"

	"github.com/alecthomas/kong"

	"github.com/foxtailwharf/foxtailwharf/internal/process/catcher"
	"github.com/foxtailwharf/foxtailwharf/internal/process/logger"
)

const description = `foxtailwharf shares one fleet of model instances among the members of an agreement.

It loads the required model version on enough instances, routes live requests to
instances that can answer them, and gives every member its agreed share. To try it
out, run "foxtailwharf demo".`

// cli defines the commands and global flags. kong derives their names from the field names.
type cli struct {
	Entry  entryCommand  `cmd:"" help:"Run an entry: accept callers' requests and relay them to agents."`
	Fleet  fleetCommand  `cmd:"" help:"Run an entry or an agent on a platform that lists upstreams and stores the configuration."`
	Agent  agentCommand  `cmd:"" help:"Run an agent beside one upstream: queue and run requests, download and load weights."`
	Check  checkCommand  `cmd:"" help:"Validate a settings file or a document and print every error with line and column."`
	Apply  applyCommand  `cmd:"" help:"Write a document to the platform's store. On a conflict, print the other write and change nothing."`
	Get    getCommand    `cmd:"" help:"Print the current text of a document and its revision."`
	Delete deleteCommand `cmd:"" help:"Delete a document, leaving a tombstone so that older revisions cannot restore it."`
	Status statusCommand `cmd:"" help:"Print which revision of a document is in force and its errors."`
	Demo   demoCommand   `cmd:"" help:"Run a small fleet inside this process on loopback, and print requests to try."`
	Load   loadCommand   `cmd:"" help:"Send open-loop load to an entry on loopback and print the results."`

	Verbose bool `short:"v" help:"Log more details."`
}

func main() {
	// The first signal cancels the context. A second one has no effect, since the shutdown in
	// progress has its own time limit. This comes first, since a signal before it ends the process.
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	var c cli
	parser := kong.Parse(&c, kong.Name("foxtailwharf"), kong.Description(description), kong.UsageOnError())
	parser.BindTo(ctx, (*context.Context)(nil))
	hangups := catcher.Caught()
	parser.Bind(hangups)
	isDaemon := isDaemon(parser.Command())
	if !isDaemon {
		hangups.Release()
	}
	log := logger.New(logger.Config{Out: logStream(isDaemon), IsVerbose: c.Verbose})
	err := parser.Run(log.Logger)
	log.Close()
	parser.FatalIfErrorf(err)
}

// isDaemon reports whether a command runs an entry or an agent.
func isDaemon(command string) bool {
	name, _, _ := strings.Cut(command, " ")
	return name == "entry" || name == "agent" || name == "fleet"
}

// logStream returns the stream that a command logs to: daemons log to standard output, as the
// platform's operators require; other commands log to standard error, since they print results to
// standard output.
func logStream(isDaemon bool) *os.File {
	if isDaemon {
		return os.Stdout
	}
	return os.Stderr
}
