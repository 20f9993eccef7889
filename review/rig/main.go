// Command rig runs the scripts of the review. Each subcommand is one case: it starts the programs of the deploy file as
// separate processes on loopback addresses, before stand-ins for the platform's store, the runners, the origin of weights
// and the clients, and checks one rule. It exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not
// run.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

const (
	exitHeld   = 0
	exitBroken = 1
	exitFailed = 2
	// runLimit ends a case that hangs.
	runLimit = 115 * time.Second
)

// cases holds the function of each case, which returns whether the rule was broken.
var cases = map[string]func(r *rig) (isBroken bool, err error){
	"restore":  runRestore,
	"manifest": runManifest,
	"endless":  runEndless,
	"bodies":   runBodies,
	"popular":  runPopular,
	"stop":     runStop,
}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: rig CASE DIRECTORY, in the root of the repository; TROUBLE=0 leaves out the disruption")
		os.Exit(exitFailed)
	}
	os.Exit(playCase(cases[os.Args[1]], os.Args[2]))
}

// playCase runs a case and ends all of its processes.
func playCase(play func(r *rig) (bool, error), dir string) int {
	r, err := newRig(dir)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	}
	defer r.close()
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, os.Interrupt, syscall.SIGTERM)
	ended := make(chan int, 1)
	c := &caseRun{r: r, play: play, ended: ended}
	go c.run()
	select {
	case code := <-ended:
		return code
	case s := <-signals:
		r.log("the case was ended by a signal: %s", s)
		return exitFailed
	case <-time.After(runLimit):
		r.log("the case has not ended after %s", runLimit)
		return exitFailed
	}
}

// caseRun plays one case.
type caseRun struct {
	r     *rig
	play  func(r *rig) (bool, error)
	ended chan int
}

func (c *caseRun) run() {
	isBroken, err := c.play(c.r)
	switch {
	case err != nil:
		c.r.log("the case could not run: %v", err)
		c.ended <- exitFailed
	case isBroken:
		c.r.log("RULE BROKEN")
		c.ended <- exitBroken
	default:
		c.r.log("rule held")
		c.ended <- exitHeld
	}
}
