package simulator_test

import (
	"testing"
	"time"

	"github.com/foxtailwharf/foxtailwharf/internal/connection/notifier"
	"github.com/foxtailwharf/foxtailwharf/standin/simulator"
)

// messageKinds are the kinds of datagrams in the metrics.
var messageKinds = []string{"Notice", "Agents", "Call", "FirstNotice", "Report", "Ask", "Entries", "FirstReport"}

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

// TestBytesBetweenRegions measures what goes between regions at 30, 100 and 300 own machines under the same
// calls, by kind of message.
func TestBytesBetweenRegions(t *testing.T) {
	if !*isMeasuring {
		t.Skip("measurement; run it with -measure")
	}
	const span = 8 * time.Second
	for _, half := range []int{15, 50, 150} {
		run(t, simulator.Config{Entries: half, Engines: half, Slots: 8, Events: 14, Domains: 5}, 0, func(h *harness) {
			started := h.sentBytes()
			for _, rate := range []float64{0, 10} {
				if rate > 0 {
					h.load("answer", rate, span, 607)
					h.load("chat", rate, span, 787)
					h.load("summary", rate, span, 1290)
				}
				before, connections, datagrams := h.sentBytes(), h.RegionTraffic(), h.RegionDatagrams()
				time.Sleep(span)
				t.Logf("%d entries and agents, %.0f calls a second: %.1f KB/s on connections and %.1f KB/s of datagrams between regions", half, 3*rate,
					float64(h.RegionTraffic()-connections)/1024/span.Seconds(), float64(h.RegionDatagrams()-datagrams)/1024/span.Seconds())
				for kind, bytes := range h.sentBytes() {
					if bytes > before[kind] {
						t.Logf("  %s: %.1f KB/s", kind.Counter(), float64(bytes-before[kind])/1024/span.Seconds())
					}
				}
				h.callers.Wait()
			}
			for kind, bytes := range started {
				t.Logf("  in the first 3 s, %s: %.1f KB", kind.Counter(), float64(bytes)/1024)
			}
		})
	}
}
