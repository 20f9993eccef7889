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

// TestLargeFleetCost measures a fleet of 149 entries and 265 engines in five failure domains, idle
// and under load: the processor time per second of fake time, with callers and engines in it, and
// what callers get.
func TestLargeFleetCost(t *testing.T) {
	if !*isMeasuring {
		t.Skip("measurement; run it with -measure")
	}
	const span = 4 * time.Second
	run(t, simulator.Config{Entries: 149, Engines: 265, Slots: 8, Events: 14, Domains: 5}, 0, func(h *harness) {
		phases := []struct {
			name string
			rate float64 // calls a second of each route
		}{{"idle", 0}, {"two thirds of capacity", 300}, {"near capacity", 550}, {"beyond capacity", 800}}
		for _, p := range phases {
			if p.rate > 0 {
				h.load("answer", p.rate, span, 607)
				h.load("chat", p.rate, span, 787)
				h.load("summary", p.rate, span, 1290)
			}
			before, trafficBefore, datagramsBefore := processorTime(t), h.RegionTraffic(), h.RegionDatagrams()
			time.Sleep(span)
			t.Logf("%s, a second: %.2f s of processor time; between regions %d KB on connections and %d KB of datagrams", p.name,
				(processorTime(t)-before).Seconds()/span.Seconds(), (h.RegionTraffic()-trafficBefore)>>10/int64(span/time.Second),
				(h.RegionDatagrams()-datagramsBefore)>>10/int64(span/time.Second))
			h.callers.Wait()
			for _, route := range []string{"chat", "answer", "summary"} {
				onTime, served := h.onTime(route, 600*time.Millisecond)
				t.Logf("  %s: on time %.3f, served %.3f", route, onTime, served)
			}
			h.forgetResults()
		}
	})
}

// forgetResults drops the results of the calls so far.
func (h *harness) forgetResults() {
	h.mu.Lock()
	defer h.mu.Unlock()
	clear(h.results)
}
