package forwarder_test

import (
	"bufio"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/foxtailwharf/foxtailwharf/standin"
)

// callSlowly sends a call whose caller reads nothing for a time, and checks that it gets all events.
func (b *bench) callSlowly(path string, pause time.Duration, events int) {
	b.t.Helper()
	conn, err := b.network.Dial(b.t.Context(), address(1))
	if err != nil {
		b.t.Fatal(err)
	}
	defer func() { _ = conn.Close() }()
	_, _ = fmt.Fprintf(conn, "POST %s HTTP/1.1\r\nHost: h\r\n%s: slow\r\n%s: k1\r\nContent-Length: 1\r\n\r\nx", path, standin.HeaderCall, standin.HeaderKey)
	time.Sleep(pause)
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		b.t.Fatal(err)
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	if have := strings.Count(string(body), "data:"); err != nil || have != events {
		b.t.Errorf("have %d of %d events, %v", have, events, err)
	}
}

// TestCommentToSlowCaller guards against streams that are given up as silent while a comment waits for their caller, and data behind it.
func TestCommentToSlowCaller(t *testing.T) {
	for _, tt := range []struct {
		comment string
		events  int
	}{{"", 200}, {": a comment\n\n", 200}, {": a comment\n\n", 5000}} {
		run(t, func(b *bench) {
			b.setTimeouts(20 * time.Second)
			b.upstream(2, func(w http.ResponseWriter, _ *http.Request) {
				_, _ = fmt.Fprintf(w, "id: 1\ndata: %s\n\n", strings.Repeat("x", 63<<10))
				_ = http.NewResponseController(w).Flush()
				for range 300 {
					_, _ = fmt.Fprint(w, tt.comment)
				}
				for n := 2; n <= tt.events; n++ {
					_, _ = fmt.Fprintf(w, "id: %d\ndata: z\n\n", n)
				}
			})
			b.callSlowly("/chat/1", 5*time.Second, tt.events)
		})
	}
}
