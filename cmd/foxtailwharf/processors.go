package main

import (
	"os"
	"runtime"
)

// fleetProcessors is the number of processors on which an entry or an agent of a large fleet runs at a time.
// Both are idle most of the time. With more, each message would also wake a thread on another processor.
const fleetProcessors = 1

// limitProcessors bounds the number of processors on which this process runs its code at a time, unless
// GOMAXPROCS is set in the environment.
func limitProcessors(count int) {
	if os.Getenv("GOMAXPROCS") == "" {
		runtime.GOMAXPROCS(count)
	}
}
