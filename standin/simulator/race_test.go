//go:build race

package simulator_test

// isRaceDetected is set where the race detector, which takes ten times the memory and the processor time, is part of the
// tests. Fleets of hundreds of processes are smaller there.
const isRaceDetected = true
