package forwarder_test

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"
)

// TestReportOfCallsOwnRun guards against streams that are cut because the agent's first report of a restart comes after the call that
// the restarted process already runs.
func TestReportOfCallsOwnRun(t *testing.T) {
	const interval, events = 50 * time.Millisecond, 30
	born := time.UnixMilli(1_000_000)
	later := born.Add(time.Minute)
	for _, isListed := range []bool{false, true} {
		t.Run(fmt.Sprintf("its record tells the new start before the call %t", isListed), func(t *testing.T) {
			run(t, func(b *bench) {
				b.upstream(2, func(w http.ResponseWriter, r *http.Request) {
					for n := range events {
						sayNothing(r, interval)
						_, _ = fmt.Fprintf(w, "id: %d\ndata: x\n\n", n+1)
						_ = http.NewResponseController(w).Flush()
					}
				})
				b.list(born)
				b.reportStart(born)
				time.Sleep(time.Second)
				if isListed {
					b.list(later)
				}
				time.AfterFunc(6*interval, func() { b.reportStart(later) })
				if a := b.call("/tale/1", nil); a.err != nil || strings.Count(a.body, "data:") != events {
					t.Errorf("have %d, %d events, %v; want %d events", a.status, strings.Count(a.body, "data:"), a.err, events)
				}
			})
		})
	}
}

// TestReportOfSilentCallsOwnRun is the same for a call that has no answer yet at the report.
func TestReportOfSilentCallsOwnRun(t *testing.T) {
	born := time.UnixMilli(1_000_000)
	run(t, func(b *bench) {
		b.upstream(2, func(w http.ResponseWriter, r *http.Request) {
			sayNothing(r, time.Second)
			text(http.StatusOK, "ok")(w, r)
		})
		b.list(born)
		b.reportStart(born)
		time.Sleep(time.Second)
		b.list(born.Add(time.Minute))
		time.AfterFunc(500*time.Millisecond, func() { b.reportStart(born.Add(time.Minute)) })
		if a := b.call("/book/1", nil); a.status != http.StatusOK || a.body != "ok" {
			t.Errorf("have %d %q, %v, want the answer", a.status, a.body, a.err)
		}
	})
}

// TestRestartAfterWholeAnswer guards against answers that are cut although their upstream has sent them whole, because it has restarted
// since and their caller reads slowly.
func TestRestartAfterWholeAnswer(t *testing.T) {
	const events = 110
	born := time.UnixMilli(1_000_000)
	run(t, func(b *bench) {
		b.upstream(2, func(w http.ResponseWriter, _ *http.Request) {
			for n := range events {
				_, _ = fmt.Fprintf(w, "id: %d\ndata: %s\n\n", n+1, strings.Repeat("x", 1000))
			}
		})
		b.list(born)
		b.reportStart(born)
		time.AfterFunc(700*time.Millisecond, func() {
			b.list(born.Add(time.Minute))
			b.reportStart(born.Add(time.Minute))
		})
		b.callSlowly("/tale/1", 1500*time.Millisecond, events)
	})
}
