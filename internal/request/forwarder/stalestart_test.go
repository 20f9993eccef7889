package forwarder_test

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/foxtailwharf/foxtailwharf"
	"github.com/foxtailwharf/foxtailwharf/internal/request/balancer"
)

// TestStaleStartEndsCalls guards against sound streams that are cut since the record by which they were sent, of another
// writer or from an older copy of the store, told another start of the process.
func TestStaleStartEndsCalls(t *testing.T) {
	const interval, events = 50 * time.Millisecond, 30
	born := time.UnixMilli(1_000_000)
	tests := []struct {
		name   string
		listed time.Time // start in the record by which the call is sent
		learn  func(b *bench)
	}{
		{"no start, its agent tells it", time.UnixMilli(0), func(b *bench) { b.reportStart(born) }},
		{"no start, its record tells it", time.UnixMilli(0), func(b *bench) { b.list(born) }},
		{"an earlier start, its agent tells it", born.Add(-time.Minute), func(b *bench) { b.reportStart(born) }},
		{"an earlier start, its record tells it", born.Add(-time.Minute), func(b *bench) { b.list(born) }},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			run(t, func(b *bench) {
				b.upstream(2, func(w http.ResponseWriter, r *http.Request) {
					for n := range events {
						sayNothing(r, interval)
						_, _ = fmt.Fprintf(w, "id: %d\ndata: x\n\n", n+1)
						_ = http.NewResponseController(w).Flush()
					}
				})
				b.list(tt.listed)
				time.AfterFunc(10*interval, func() { tt.learn(b) })
				if a := b.call("/tale/1", nil); a.err != nil || strings.Count(a.body, "data:") != events {
					t.Errorf("have %d, %d events, %v; want %d events", a.status, strings.Count(a.body, "data:"), a.err, events)
				}
			})
		})
	}
}

// list lists upstream 2 with a start of its process.
func (b *bench) list(born time.Time) {
	u := upstreamAt(2)
	u.Born = born
	b.view.Upstreams = []foxtailwharf.Upstream{u}
	b.update()
}

// reportStart passes on a report of the agent of upstream 2.
func (b *bench) reportStart(born time.Time) {
	b.assigner.Update(func(x *balancer.Balancer) {
		x.Report(time.Now(), address(2).Addr(), foxtailwharf.UpstreamLoad{Born: born})
	})
}

// TestRestoredRecordEndsCalls guards against sound streams that are cut since the store came back with the record of a run
// that the agent had reported in its time.
func TestRestoredRecordEndsCalls(t *testing.T) {
	const interval, events = 50 * time.Millisecond, 30
	born := time.UnixMilli(1_000_000)
	before := born.Add(-time.Minute)
	run(t, func(b *bench) {
		b.upstream(2, func(w http.ResponseWriter, r *http.Request) {
			for n := range events {
				sayNothing(r, interval)
				_, _ = fmt.Fprintf(w, "id: %d\ndata: x\n\n", n+1)
				_ = http.NewResponseController(w).Flush()
			}
		})
		for _, run := range []time.Time{before, born} {
			b.list(run)
			b.reportStart(run)
		}
		time.Sleep(time.Second)
		b.list(before)
		time.AfterFunc(10*interval, func() { b.reportStart(born) })
		if a := b.call("/tale/1", nil); a.err != nil || strings.Count(a.body, "data:") != events {
			t.Errorf("have %d, %d events, %v; want %d events", a.status, strings.Count(a.body, "data:"), a.err, events)
		}
	})
}

// TestCallsEndWithLapsedRun guards against calls that stay with a run which has ended, since its record had lapsed before
// the next one.
func TestCallsEndWithLapsedRun(t *testing.T) {
	for _, path := range []string{"/book/1", "/look/1"} {
		run(t, func(b *bench) {
			born := time.UnixMilli(1_000_000)
			b.upstream(2, silently)
			b.list(born)
			b.reportStart(born)
			started := time.Now()
			time.AfterFunc(300*time.Millisecond, func() {
				b.view.Upstreams = nil
				b.update()
			})
			time.AfterFunc(700*time.Millisecond, func() {
				b.list(born.Add(time.Minute))
				b.reportStart(born.Add(time.Minute))
			})
			if a := b.call(path, nil); a.status != http.StatusBadGateway || time.Since(started) > time.Second {
				t.Errorf("%s: have %d after %s, want 502 within 1s", path, a.status, time.Since(started))
			}
		})
	}
}
