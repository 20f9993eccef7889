package simulator_test

import (
	"flag"
	"syscall"
	"testing"
	"time"

	"github.com/foxtailwharf/foxtailwharf/standin/simulator"
)

// isMeasuring makes measurements run.
var isMeasuring = flag.Bool("measure", false, "run measurements")

// processorTime returns the processor time that this process has used.
func processorTime(t *testing.T) time.Duration {
	t.Helper()
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		t.Fatal(err)
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// TestLargeFleetCost measures the processor time of a fleet of 149 entries and 265 engines in five
// failure domains, per second of fake time, idle and under load. Callers and engines are part of
// it.
func TestLargeFleetCost(t *testing.T) {
	if !*isMeasuring {
		t.Skip("measurement; run it with -measure")
	}
	const span = 4 * time.Second
	run(t, simulator.Config{Entries: 149, Engines: 265, Slots: 8, Events: 14, Domains: 5}, 0, func(h *harness) {
		phases := []struct {
			name string
			rate float64 // calls a second of each route
		}{{"idle", 0}, {"two thirds of capacity", 300}, {"beyond capacity", 700}}
		for _, p := range phases {
			if p.rate > 0 {
				h.load("answer", p.rate, span, 607)
				h.load("chat", p.rate, span, 787)
				h.load("summary", p.rate, span, 1290)
			}
			before, bytesBefore := processorTime(t), h.RegionTraffic()
			time.Sleep(span)
			t.Logf("%s: %.2f s of processor time and %d KB between regions, a second", p.name,
				(processorTime(t)-before).Seconds()/span.Seconds(), (h.RegionTraffic()-bytesBefore)>>10/int64(span/time.Second))
			time.Sleep(time.Second)
		}
	})
}
