package forwarder_test

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/foxtailwharf/foxtailwharf/internal/process/sleeper"
	"github.com/foxtailwharf/foxtailwharf/standin"
)

// endedHandler is a forwarder that reports the end of each call.
type endedHandler struct {
	b     *bench
	ended chan time.Time
}

func (h *endedHandler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	defer func() { h.ended <- time.Now() }()
	h.b.forwarder.ServeHTTP(w, r)
}

// slowBody sends a byte of a request body now and then until the connection is closed.
type slowBody struct {
	conn net.Conn
	ctx  context.Context //nolint:containedctx // ends the goroutine with the test.
}

func (s *slowBody) run() {
	for sleeper.Sleep(s.ctx, 500*time.Millisecond) {
		if _, err := s.conn.Write([]byte("x")); err != nil {
			return
		}
	}
}

// TestSlowCallers checks that a call ends although its caller sends its body a byte at a time, or does
// not read its answer, and that nothing of it stays behind at the entry.
func TestSlowCallers(t *testing.T) {
	tests := []struct {
		name, path string
		bodyBytes  int
	}{
		{"body without end", "/look/1", 1 << 20},
		{"stream that is not read", "/chat/1", 1},
		{"answer that is not read", "/look/1", 1},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			run(t, func(b *bench) {
				h := &endedHandler{b: b, ended: make(chan time.Time, 1)}
				b.serve(address(9), h)
				b.upstream(2, text(http.StatusOK, strings.Repeat(strings.Repeat("x", 999)+"\n\n", 4<<10)))
				b.checkSlowCaller(h, tt.path, tt.bodyBytes)
			})
		})
	}
}

// slowCallBound is the route's timeout and the time that a write may take, with room to spare.
const slowCallBound = 60 * time.Second

// checkSlowCaller checks that the call of a caller who sends a byte now and then and reads nothing ends.
func (b *bench) checkSlowCaller(h *endedHandler, path string, bodyBytes int) {
	conn, err := b.network.Dial(b.t.Context(), address(9))
	if err != nil {
		b.t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(b.t.Context())
	defer cancel()
	_, _ = fmt.Fprintf(conn, "POST %s HTTP/1.1\r\nHost: h\r\n%s: slow\r\n%s: k1\r\nContent-Length: %d\r\n\r\nx", path, standin.HeaderCall, standin.HeaderKey, bodyBytes)
	go (&slowBody{conn: conn, ctx: ctx}).run()
	select {
	case <-h.ended:
	case <-time.After(slowCallBound):
		b.t.Errorf("the call has not ended after %s", slowCallBound)
	}
	cancel()
	_ = conn.Close()
	time.Sleep(time.Second)
}
