package main

import (
	"os"
	"runtime/debug"
)

// heapFraction is the part of a process's memory that the Go runtime may use before it collects garbage more often. The
// rest is left for what it does not count, such as the program itself and the buffers of connections.
const heapFraction = 0.7

// limitMemory makes the Go runtime collect garbage more often as this process comes near its memory, in bytes, unless
// GOMEMLIMIT is set in the environment.
func limitMemory(memory int64) {
	if os.Getenv("GOMEMLIMIT") == "" {
		debug.SetMemoryLimit(int64(float64(memory) * heapFraction))
	}
}
