//go:build !race

package simulator_test

// isRaceDetected is described in race_test.go.
const isRaceDetected = false
