package forwarder_test

import (
	"io"
	"net/http"
	"testing"
	"time"
)

// commentsOnly sends comments of a stream and nothing else until the call ends.
func commentsOnly(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("Content-Type", "text/event-stream")
	for r.Context().Err() == nil {
		_, _ = io.WriteString(w, ": still there\n\n")
		_ = http.NewResponseController(w).Flush()
		sayNothing(r, 100*time.Millisecond)
	}
}

// fromStart streams the events 1 to 6, whatever the call asks for.
func fromStart(w http.ResponseWriter, r *http.Request) {
	r.Header.Del("Last-Event-Id")
	events(1, 6, false)(w, r)
}

// afterComments streams a few comments and then the events 1 to 6.
func afterComments(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("Content-Type", "text/event-stream")
	for range 3 {
		_, _ = io.WriteString(w, ": loading\n\n")
		_ = http.NewResponseController(w).Flush()
		sayNothing(r, 100*time.Millisecond)
	}
	events(1, 6, false)(w, r)
}

// emptyStream is a stream that ends without an event and without a length.
func emptyStream(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "text/event-stream")
	w.Header().Set("Connection", "close")
	w.Header().Set("Transfer-Encoding", "identity")
}

// TestSecondHasNotBegun guards against a silent upstream that is given up for one whose stream has not begun, or
// cannot continue what the caller has.
func TestSecondHasNotBegun(t *testing.T) {
	tests := []struct {
		name           string
		silent, second func(w http.ResponseWriter, r *http.Request)
	}{
		{"comments", silentStream(4, silence), commentsOnly},
		{"comments before the first event", silentStream(1, silence), commentsOnly},
		{"starts again", silentStream(4, silence), fromStart},
		{"ends without an event", silentStream(1, silence), emptyStream},
		{"ends without a further event", silentStream(4, silence), emptyStream},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			run(t, func(b *bench) {
				b.upstream(2, tt.silent)
				time.AfterFunc(100*time.Millisecond, func() { b.upstream(3, tt.second) })
				if a := b.call("/chat/1", nil); a.err != nil || a.status != http.StatusOK || whole(a) != "1 2 3 4 5 6" {
					t.Errorf("have %d %q, %v, want the whole stream of the upstream that went on", a.status, a.body, a.err)
				}
			})
		})
	}
}

// TestCommentsBeforeSecondBegins checks that the comments of an upstream that takes over reach the caller.
func TestCommentsBeforeSecondBegins(t *testing.T) {
	const want = ": loading\n\n: loading\n\n: loading\n\nid: 1\ndata: x\n\nid: 2\ndata: x\n\n"
	run(t, func(b *bench) {
		b.upstream(2, silently)
		time.AfterFunc(100*time.Millisecond, func() { b.upstream(3, afterComments) })
		a := b.call("/chat/1", nil)
		if a.err != nil || len(a.body) < len(want) || a.body[:len(want)] != want || whole(a) != "1 2 3 4 5 6" {
			t.Errorf("have %q, %v, want %q and the rest of the stream", a.body, a.err, want)
		}
	})
}

// TestErrorOfSecondIsForwarded guards against a server error that is lost, since it came while the first upstream
// was silent, and that upstream sends no answer after it.
func TestErrorOfSecondIsForwarded(t *testing.T) {
	bad := text(http.StatusInternalServerError, "bad")
	tests := []struct {
		name   string
		first  func(w http.ResponseWriter, r *http.Request)
		second func(w http.ResponseWriter, r *http.Request)
		status int
		body   string
	}{
		{"the first one breaks off", after(silence, breakOff), bad, http.StatusInternalServerError, "bad"},
		{"the first one is silent for good", silently, bad, http.StatusInternalServerError, "bad"},
		{"the first one fails", after(silence, text(http.StatusInternalServerError, "worse")), bad, http.StatusInternalServerError, "worse"},
		{"the first one goes on", after(silence, text(http.StatusOK, "ok")), bad, http.StatusOK, "ok"},
		{"the error breaks off", silently, breakOff, http.StatusBadGateway, ""},
		{"a status that means not run", silently, text(http.StatusServiceUnavailable, "busy"), http.StatusBadGateway, ""},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			run(t, func(b *bench) {
				b.upstream(2, tt.first)
				time.AfterFunc(100*time.Millisecond, func() { b.upstream(3, tt.second) })
				a := b.call("/look/1", nil)
				if a.status != tt.status || (tt.body != "" && a.body != tt.body) || b.ran(a) != 2 {
					t.Errorf("have %d %q after %d runs, want %d %q after 2", a.status, a.body, b.ran(a), tt.status, tt.body)
				}
			})
		})
	}
}
