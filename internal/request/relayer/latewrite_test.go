package relayer_test

import (
	"bufio"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/foxtailwharf/foxtailwharf"
	"github.com/foxtailwharf/foxtailwharf/internal/connection/dialer"
	"github.com/foxtailwharf/foxtailwharf/internal/request/refuser"
	"github.com/foxtailwharf/foxtailwharf/internal/request/relayer"
	"github.com/foxtailwharf/foxtailwharf/internal/request/runner"
	"github.com/foxtailwharf/foxtailwharf/wire"
)

// lateEnd sends its events at once and the end of the stream after a pause.
type lateEnd struct {
	agent
	pause time.Duration
}

func (s *lateEnd) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	recorded := httptest.NewRecorder()
	s.agent.ServeHTTP(recorded, r)
	w.Header().Set("Trailer", runner.TrailerEnd)
	w.Header().Set(runner.HeaderAnswer, recorded.Header().Get(runner.HeaderAnswer))
	_, _ = w.Write(recorded.Body.Bytes())
	_ = http.NewResponseController(w).Flush()
	time.Sleep(s.pause)
	w.Header().Set(runner.TrailerEnd, recorded.Header().Get(runner.TrailerEnd))
}

// TestLateWrites guards against refusals and ends of streams that meet the write deadline of the part before.
func TestLateWrites(t *testing.T) {
	tests := []struct {
		name         string
		pause, after time.Duration
	}{
		{"end of a stream soon", time.Second, 0},
		{"end of a stream 35s after its last event", 35 * time.Second, 0},
		{"refusal 35s after the last answer", 0, 35 * time.Second},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				b := newBench(t)
				a := &lateEnd{agent: agent{isStream: true}, pause: tt.pause}
				b.add(&a.agent, a)
				address := netip.MustParseAddrPort("127.0.0.1:99")
				h := dialer.Server(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
					q := relayer.Request{Service: "s", Method: http.MethodPost, Path: "/", Deadline: time.Now().Add(2 * time.Minute)}
					if _, refusal := b.relayer.Relay(r.Context(), w, q); refusal != nil {
						refuser.Write(w, refusal)
					}
				}))
				listener, err := b.host.Listen(t.Context(), address)
				if err != nil {
					t.Fatal(err)
				}
				go func() { _ = h.Serve(listener) }()
				defer func() { _ = h.Close(); b.close() }()
				conn, err := b.host.Dial(t.Context(), address)
				if err != nil {
					t.Fatal(err)
				}
				defer func() { _ = conn.Close() }()
				reader := bufio.NewReader(conn)
				ask := func() (int, string, error) {
					_, _ = fmt.Fprint(conn, "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 0\r\n\r\n")
					response, err := http.ReadResponse(reader, nil)
					if err != nil {
						return 0, "", err
					}
					body, err := io.ReadAll(response.Body)
					return response.StatusCode, string(body), err
				}
				if status, body, err := ask(); err != nil || status != http.StatusOK || body != whole {
					t.Fatalf("have %d %q, %v, want the whole stream", status, body, err)
				}
				if tt.after == 0 {
					return
				}
				time.Sleep(tt.after)
				a.agent.fault = func(a *wire.Answer, b *string, _ *wire.End) {
					a.Refusal, *b = &wire.Refusal{Reason: string(foxtailwharf.ReasonQueueFull), NotRun: true}, ""
				}
				if status, body, err := ask(); err != nil || !strings.Contains(body, "QueueFull") {
					t.Errorf("have %d %q, %v, want a refusal", status, body, err)
				}
			})
		})
	}
}
