// Package catcher catches SIGHUP from the start of the process, before main runs: it imports little, so that
// Go initialises it before most other packages.
package catcher

import (
	"os"
	"os/signal"
	"syscall"
)

// hangups is filled from the initialisation of the package on.
var hangups = catch()

// Hangups receives SIGHUP. One that has arrived before the process is ready for it stays in the channel.
type Hangups chan os.Signal

// catch begins to catch SIGHUP.
func catch() Hangups {
	h := make(Hangups, 1)
	signal.Notify(h, syscall.SIGHUP)
	return h
}

// Caught returns the channel of this process.
func Caught() Hangups {
	return hangups
}

// Release gives SIGHUP its default effect again, to end the process, also if it has arrived already.
func (h Hangups) Release() {
	signal.Reset(syscall.SIGHUP)
	select {
	case <-h:
		// A process may always send itself a signal.
		_ = syscall.Kill(os.Getpid(), syscall.SIGHUP)
	default:
	}
}
