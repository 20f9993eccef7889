package forwarder_test

import (
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/foxtailwharf/foxtailwharf/standin"
)

// signaling returns an answer with a header field.
func signaling(name, value string, answer http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set(name, value)
		answer(w, r)
	}
}

// ofOtherCall returns an answer that bears the ID of another call.
func ofOtherCall(answer http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set(standin.HeaderCall, "another")
		answer(w, r)
	}
}

// arrivals counts the calls that reach an upstream.
type arrivals struct {
	count  atomic.Int64
	answer http.HandlerFunc
}

func (a *arrivals) serve(w http.ResponseWriter, r *http.Request) {
	a.count.Add(1)
	a.answer(w, r)
}

// TestLeavingGetsNoCalls guards against calls that reach an upstream after an answer of its own has
// said that it is leaving, while the list shows it as ready.
func TestLeavingGetsNoCalls(t *testing.T) {
	misdirected := func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusMisdirectedRequest) }
	tests := []struct {
		name, path string
		answer     http.HandlerFunc
		isLeaving  bool
	}{
		{"a success", "/look/1", text(http.StatusOK, "ok"), true},
		{"a refusal", "/book/1", refuse, true},
		{"a server error", "/look/1", text(http.StatusInternalServerError, "bad"), true},
		{"not found", "/book/1", text(http.StatusNotFound, "no"), true},
		{"a stream", "/chat/1", events(1, 3, false), true},
		{"a stream that breaks off", "/chat/1", events(1, 3, true), true},
		{"a head alone", "/look/1", func(w http.ResponseWriter, _ *http.Request) {
			_ = http.NewResponseController(w).Flush()
			panic(http.ErrAbortHandler)
		}, true},
		{"an answer to another call", "/look/1", ofOtherCall(text(http.StatusOK, "ok")), false},
		{"another upstream at the address", "/look/1", misdirected, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			run(t, func(b *bench) {
				leaving := &arrivals{answer: signaling(standin.HeaderLeaving, "1", tt.answer)}
				b.upstream(2, leaving.serve)
				b.call(tt.path, nil)
				sent := leaving.count.Load()
				b.upstream(3, events(1, 5, false))
				b.update() // as a list that shows it as ready
				time.Sleep(3 * time.Second)
				for range 20 {
					b.call("/chat/1", nil)
				}
				if have := leaving.count.Load() > sent; have == tt.isLeaving {
					t.Errorf("%d calls reach it after its word, want none: %t", leaving.count.Load()-sent, tt.isLeaving)
				}
			})
		})
	}
}

// TestLeavingRefusesAtOnce guards against calls that wait while all upstreams of their service are leaving.
func TestLeavingRefusesAtOnce(t *testing.T) {
	run(t, func(b *bench) {
		b.upstream(2, signaling(standin.HeaderLeaving, "1", events(1, 30, false)))
		stream := make(chan answer, 1)
		go func() { stream <- b.call("/chat/1", nil) }()
		time.Sleep(100 * time.Millisecond)
		started := time.Now()
		a := b.call("/look/1", nil)
		if took := time.Since(started); a.status != http.StatusServiceUnavailable || b.ran(a) != 0 || took > 50*time.Millisecond {
			t.Errorf("have %d after %s and %d attempts, want 503 at once", a.status, took, b.ran(a))
		}
		if s := <-stream; len(strings.Fields(strings.Join(ids(s.body), " "))) != 30 {
			t.Errorf("the stream ends after %d events, want that it goes on to its end", len(ids(s.body)))
		}
	})
}

// TestPausedGetsNoCalls guards against calls that reach an upstream within the time for which it wants none.
func TestPausedGetsNoCalls(t *testing.T) {
	const calls, interval = 100, 20 * time.Millisecond
	busy := text(http.StatusServiceUnavailable, "busy")
	tests := []struct {
		name, path, retryAfter string
		answer                 http.HandlerFunc
		isPaused               bool
	}{
		{"refused", "/book/1", "2.5", refuse, true},
		{"refused, a stream", "/chat/1", "3", refuse, true},
		{"it may have run", "/look/1", "3", busy, true},
		{"an hour", "/look/1", "3600", refuse, true},
		{"negative", "/look/1", "-3", refuse, false},
		{"no number", "/look/1", "soon", refuse, false},
		{"not a number", "/look/1", "NaN", refuse, false},
		{"endless", "/look/1", "inf", refuse, false},
		{"a date", "/look/1", "Fri, 04 Dec 2026 22:00:00 GMT", refuse, false},
		{"another status", "/look/1", "3", text(http.StatusInternalServerError, "bad"), false},
		{"an answer to another call", "/look/1", "3", ofOtherCall(refuse), false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			run(t, func(b *bench) {
				paused := &arrivals{answer: signaling(standin.HeaderRetryAfter, tt.retryAfter, tt.answer)}
				b.upstream(2, paused.serve)
				b.call(tt.path, nil)
				sent := paused.count.Load()
				b.upstream(3, events(1, 2, false))
				var callers sync.WaitGroup
				for range calls {
					time.Sleep(interval)
					callers.Go(func() { b.call("/chat/1", nil) })
				}
				callers.Wait()
				if have := paused.count.Load() == sent; have != tt.isPaused {
					t.Errorf("%d calls reach it, want none: %t", paused.count.Load()-sent, tt.isPaused)
				}
			})
		})
	}
}

// TestPauseOfAll checks that calls wait for a sole upstream that is back in time, and are refused at once by
// one that is not, with the time of its return.
func TestPauseOfAll(t *testing.T) {
	tests := []struct {
		name       string
		retryAfter string
		status     int
	}{
		{"back in time", "1.5", http.StatusOK},
		{"back too late", "20", http.StatusServiceUnavailable},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			run(t, func(b *bench) {
				said := time.Now()
				end := said.Add(1500 * time.Millisecond)
				b.upstream(2, func(w http.ResponseWriter, r *http.Request) {
					if !time.Now().Before(end) {
						text(http.StatusOK, "ok")(w, r)
						return
					}
					w.Header().Set(standin.HeaderRetryAfter, tt.retryAfter)
					refuse(w, r)
				})
				for n := range 2 {
					a := b.call("/book/1", nil)
					switch {
					case a.status != tt.status:
						t.Errorf("call %d: have %d, want %d", n, a.status, tt.status)
						return
					case tt.status != http.StatusOK:
						checkPauseRefusal(t, a, b.ran(a), 1-n, time.Since(said))
					}
				}
			})
		})
	}
}

// checkPauseRefusal checks the refusal of a call whose sole upstream wants nothing for 20 s.
func checkPauseRefusal(t *testing.T, a answer, runs, wantRuns int, after time.Duration) {
	t.Helper()
	seconds, err := strconv.ParseFloat(a.header.Get("Retry-After"), 64)
	if err != nil || seconds < 19 || seconds > 23 || runs != wantRuns || after > 100*time.Millisecond {
		t.Errorf("Retry-After %g after %s and %d attempts, want about 20 at once after %d", seconds, after, runs, wantRuns)
	}
}
