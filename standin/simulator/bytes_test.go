package simulator_test

import (
	"testing"
	"time"

	"github.com/foxtailwharf/foxtailwharf/internal/connection/notifier"
	"github.com/foxtailwharf/foxtailwharf/standin/simulator"
)

// messageKinds are the kinds of datagrams in the metrics.
var messageKinds = []string{"Notice", "Agents", "Call", "FirstNotice", "Report", "Ask", "Entries", "Digest", "FirstReport"}

// sentBytes returns the bytes of all datagrams sent so far, by kind.
func (h *harness) sentBytes() map[notifier.Kind]int64 {
	sent := make(map[notifier.Kind]int64)
	for _, name := range messageKinds {
		for _, isFar := range []bool{false, true} {
			kind := notifier.Kind{Name: name, IsFar: isFar}
			sent[kind] = h.Counter(kind.Counter())
		}
	}
	return sent
}

// maxRegionGrowth is how many times as much may go between regions at 300 own machines as at 30.
const maxRegionGrowth = 10

// TestBytesBetweenRegions guards against messages between regions that grow faster than the fleet, and with the fleet
// the messages of each process, at 30 and 300 own machines under the same calls.
func TestBytesBetweenRegions(t *testing.T) {
	t.Parallel()
	halves := []int{15, 150}
	switch {
	case isRaceDetected:
		halves = []int{15, 50}
	case *isMeasuring:
		halves = []int{15, 50, 150}
	}
	largest := halves[len(halves)-1]
	sent := make(map[int]float64)
	for _, half := range halves {
		run(t, simulator.Config{Entries: half, Engines: half, Slots: 8, Events: 14, Domains: 5}, 0, func(h *harness) {
			h.logSent("first 3 s", 3*time.Second, make(map[notifier.Kind]int64))
			h.logBytes(0)
			sent[half] = h.logBytes(10)
		})
	}
	growth := sent[largest] / sent[15]
	t.Logf("%.1f times as much at %d machines as at 30", growth, 2*largest)
	if growth > maxRegionGrowth {
		t.Errorf("%.1f times as much between regions at %d machines as at 30, want at most %d", growth, 2*largest, maxRegionGrowth)
	}
}

// logBytes logs what goes between regions at a rate of calls a second of each route, and returns the bytes a second of
// all datagrams in it.
func (h *harness) logBytes(rate float64) float64 {
	const span = 8 * time.Second
	if rate > 0 {
		h.load("answer", rate, span, 607)
		h.load("chat", rate, span, 787)
		h.load("summary", rate, span, 1290)
	}
	before, connections, datagrams := h.sentBytes(), h.RegionTraffic(), h.RegionDatagrams()
	time.Sleep(span)
	perSecond := float64(h.RegionDatagrams()-datagrams) / span.Seconds()
	h.t.Logf("%d entries, %.0f calls a second: %.1f KB/s on connections and %.1f KB/s of datagrams between regions", len(h.Entries), 3*rate,
		float64(h.RegionTraffic()-connections)/1024/span.Seconds(), perSecond/1024)
	h.logSent("", span, before)
	h.callers.Wait()
	return perSecond
}

// logSent logs the bytes sent since before, over a span, by kind.
func (h *harness) logSent(when string, span time.Duration, before map[notifier.Kind]int64) {
	for kind, bytes := range h.sentBytes() {
		if bytes > before[kind] {
			h.t.Logf("  %s %s: %.1f KB/s", when, kind.Counter(), float64(bytes-before[kind])/1024/span.Seconds())
		}
	}
}
