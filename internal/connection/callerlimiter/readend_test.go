package callerlimiter_test

import (
	"errors"
	"io"
	"net/http"
	"os"
	"sync/atomic"
	"testing"
	"time"

	"github.com/foxtailwharf/foxtailwharf/internal/connection/callerlimiter"
)

// TestReadEnd guards against a request whose caller has left and one that a deadline of its own connection cancels that
// look alike.
func TestReadEnd(t *testing.T) {
	tests := []struct {
		name        string
		sent        string
		hasDeadline bool // the handler sets a read deadline and does not take it back
		leaves      bool
		want        error
	}{
		{name: "caller leaves", sent: post("/1", 3), leaves: true, want: io.EOF},
		{name: "caller leaves, later request", sent: post("/0", 3) + post("/1", 3), leaves: true, want: io.EOF},
		{name: "deadline of the handler", sent: get("/1", 60), hasDeadline: true, want: os.ErrDeadlineExceeded},
		{name: "deadline of the handler, later request", sent: post("/0", 3) + get("/1", 60), hasDeadline: true, want: os.ErrDeadlineExceeded},
		{name: "none", sent: post("/0", 3) + post("/1", 3)},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			runFake(t, func(b *bench) {
				var last atomic.Pointer[callerlimiter.ReadEnd]
				b.handle = func(w http.ResponseWriter, r *http.Request) {
					ended := awaitEnd(w, r, tt.hasDeadline)
					last.Store(&ended)
				}
				c := b.connect()
				c.send(tt.sent)
				time.Sleep(time.Second)
				if tt.leaves {
					_ = c.Close()
				}
				time.Sleep(5 * time.Second)
				ended := last.Load()
				if !errors.Is(ended.Err, tt.want) || (tt.want != nil && ended.Phase != callerlimiter.PhaseServing) {
					t.Errorf("the last read ended with %v in phase %s, want %v while the request was served", ended.Err, ended.Phase, tt.want)
				}
				if tt.hasDeadline != !ended.Deadline.IsZero() {
					t.Errorf("the deadline of the reader was %s, want one: %t", ended.Deadline, tt.hasDeadline)
				}
				_ = c.Close()
			})
		})
	}
}

// awaitEnd reads a request whose path is not "/0", waits for its end, and returns how the last read has ended.
func awaitEnd(w http.ResponseWriter, r *http.Request, hasDeadline bool) (ended callerlimiter.ReadEnd) {
	if r.URL.Path == "/0" {
		return ended
	}
	_, _ = io.Copy(io.Discard, r.Body)
	if hasDeadline {
		_ = http.NewResponseController(w).SetReadDeadline(time.Now().Add(time.Second))
	}
	select {
	case <-r.Context().Done():
	case <-time.After(3 * time.Second):
	}
	return callerlimiter.ConnectionOf(r.Context()).LastReadEnd()
}
