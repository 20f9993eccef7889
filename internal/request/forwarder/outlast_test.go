package forwarder_test

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/foxtailwharf/foxtailwharf"
	"github.com/foxtailwharf/foxtailwharf/internal/request/collector"
	"github.com/foxtailwharf/foxtailwharf/standin"
)

const (
	// shutdownLength is how long the shutdowns of these tests last.
	shutdownLength = 8 * time.Second
	// answerMargin is how long before the end of a shutdown the last answers are written at the latest.
	answerMargin = 400 * time.Millisecond
)

// leave begins a shutdown after a time.
func (b *bench) leave(after time.Duration) {
	time.AfterFunc(after, func() {
		ctx, cancel := context.WithTimeout(b.t.Context(), shutdownLength)
		b.t.Cleanup(cancel)
		b.forwarder.Leave(ctx)
	})
}

// limit sets the caller's own limit.
func limit(length time.Duration) func(r *http.Request) {
	return func(r *http.Request) {
		r.Header.Set(standin.HeaderTimeout, strconv.FormatInt(length.Milliseconds(), 10))
	}
}

// checkNotRun checks that a call was refused as not run, and that its caller learns to go elsewhere at once.
func (b *bench) checkNotRun(name string, a answer, took, within time.Duration) {
	b.t.Helper()
	if a.status != http.StatusServiceUnavailable || b.ran(a) != 0 || took > within {
		b.t.Errorf("%s: have %d %q, %v after %d runs and %s, want 503 without one within %s", name, a.status, a.body, a.err, b.ran(a), took, within)
		return
	}
	after, err := strconv.ParseFloat(a.header.Get("Retry-After"), 64)
	if err != nil || after > 0.1 || !a.isClosing {
		b.t.Errorf("%s: Retry-After %q, the connection closes: %t; want at once and closed", name, a.header.Get("Retry-After"), a.isClosing)
	}
}

// TestCallThatMayOutlastShutdownIsNotRun guards against answers that are cut at the end of a shutdown though the call was
// sent after its notice.
func TestCallThatMayOutlastShutdownIsNotRun(t *testing.T) {
	tests := []struct {
		name   string
		sentAt time.Duration // after the begin of the shutdown
		limit  time.Duration // of the caller; 0 for that of the route
		isRun  bool
	}{
		{"limit of the route, in the notice", noticeLength - 50*time.Millisecond, 0, true},
		{"limit of the route", noticeLength, 0, false},
		{"limit of the route, late", 4 * time.Second, 0, false},
		{"own limit, long", 5 * time.Second, 4300 * time.Millisecond, false},
		{"own limit, short", 5 * time.Second, 2500 * time.Millisecond, true},
		{"own limit, short and late", 7 * time.Second, 2500 * time.Millisecond, false},
	}
	for _, path := range []string{"/tale/1", "/chat/1", "/book/1", "/look/1"} {
		for _, tt := range tests {
			t.Run(tt.name+path, func(t *testing.T) {
				run(t, func(b *bench) {
					b.upstream(2, events(1, 3, false))
					b.leave(0)
					time.Sleep(tt.sentAt)
					var change func(r *http.Request)
					if tt.limit > 0 {
						change = limit(tt.limit)
					}
					sentAt := time.Now()
					a := b.call(path, change)
					if !tt.isRun {
						b.checkNotRun(tt.name, a, time.Since(sentAt), 10*time.Millisecond)
					} else if a.status != http.StatusOK || a.err != nil || b.ran(a) != 1 {
						t.Errorf("have %d, %v after %d runs, want a whole answer", a.status, a.err, b.ran(a))
					}
				})
			})
		}
	}
}

// TestWaitingCallsAtShutdown guards against calls that are sent to an upstream after the notice of a shutdown since they
// were admitted before, and cut at its end.
func TestWaitingCallsAtShutdown(t *testing.T) {
	const silence = 1600 * time.Millisecond
	tests := []struct {
		name  string
		limit time.Duration
		isRun bool
	}{
		{"may outlast the shutdown", 20 * time.Second, false},
		{"ends before the shutdown", 5 * time.Second, true},
	}
	for _, path := range []string{"/tale/1", "/chat/1", "/book/1", "/look/1"} {
		for _, tt := range tests {
			t.Run(tt.name+path, func(t *testing.T) {
				run(t, func(b *bench) {
					b.setTimeouts(time.Minute)
					b.serveEngines(2)
					b.leave(0)
					time.Sleep(noticeLength - time.Second)
					reports := b.report(func(elapsed time.Duration) foxtailwharf.UpstreamLoad {
						return foxtailwharf.UpstreamLoad{IsDown: elapsed < silence, IsSilent: elapsed < silence, Weights: 1}
					})
					defer reports.close()
					time.Sleep(50 * time.Millisecond)
					sentAt := time.Now()
					a := b.call(path, limit(tt.limit))
					if !tt.isRun {
						b.checkNotRun(tt.name, a, time.Since(sentAt), time.Second+10*time.Millisecond)
					} else if a.status != http.StatusOK || a.err != nil || b.ran(a) != 1 {
						t.Errorf("have %d, %v after %d runs, want a whole answer", a.status, a.err, b.ran(a))
					}
				})
			})
		}
	}
}

// lateBody is a request body that is whole only after a time.
type lateBody struct {
	delay  time.Duration
	isSent bool
}

// Read waits once, and then returns the body.
func (s *lateBody) Read(p []byte) (int, error) {
	if s.isSent {
		return 0, io.EOF
	}
	s.isSent = true
	time.Sleep(s.delay)
	return copy(p, "body"), nil
}

// TestBodyArrivesDuringShutdown guards against a call that is sent to an upstream late in a shutdown since the head of its
// request had arrived before.
func TestBodyArrivesDuringShutdown(t *testing.T) {
	run(t, func(b *bench) {
		b.setTimeouts(time.Minute)
		b.upstream(2, beginThenSilent)
		b.leave(0)
		time.Sleep(time.Second)
		sentAt := time.Now()
		a := b.call("/tale/1", func(r *http.Request) { r.Body = io.NopCloser(&lateBody{delay: 3 * time.Second}) })
		b.checkNotRun("body during a shutdown", a, time.Since(sentAt), 3100*time.Millisecond)
	})
}

// TestAnswersBegunBeforeShutdown guards against answers that end before they have to: those of calls that were sent before the
// shutdown have its whole time.
func TestAnswersBegunBeforeShutdown(t *testing.T) {
	for _, path := range []string{"/tale/1", "/chat/1", "/book/1", "/look/1"} {
		run(t, func(b *bench) {
			b.setTimeouts(time.Minute)
			const length = time.Second + shutdownLength - answerMargin - 300*time.Millisecond
			b.upstream(2, func(w http.ResponseWriter, _ *http.Request) {
				w.Header().Set("Content-Type", "text/event-stream")
				for begun, n := time.Now(), 1; time.Since(begun) < length; n++ {
					_, _ = fmt.Fprintf(w, "id: %d\ndata: %s\n\n", n, strings.Repeat("x", collector.ProgressBytes))
					_ = http.NewResponseController(w).Flush()
					time.Sleep(100 * time.Millisecond)
				}
			})
			b.leave(time.Second)
			if a := b.call(path, limit(20*time.Second)); a.status != http.StatusOK || a.err != nil {
				t.Errorf("%s: have %d, %v, want a whole answer", path, a.status, a.err)
			}
			synctest.Wait()
		})
	}
}
