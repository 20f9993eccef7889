package discarder_test

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"go.uber.org/zap"

	"github.com/foxtailwharf/foxtailwharf/internal/connection/discarder"
	"github.com/foxtailwharf/foxtailwharf/internal/process/sleeper"
	"github.com/foxtailwharf/foxtailwharf/standin"
)

const (
	limit   = 1 << 20
	timeout = 20 * time.Second
	refusal = "no\n"
)

// bench serves refusals of requests whose body is not read.
type bench struct {
	t         *testing.T
	discarder *discarder.Discarder
	server    *standin.Server
	network   *standin.Host
	ended     chan time.Duration // of each request, from its start
	requests  atomic.Int64
	hasFailed bool // the body, before the answer
}

var address = netip.MustParseAddrPort("10.0.0.1:80")

func newBench(t *testing.T) *bench {
	b := &bench{
		t: t, discarder: discarder.New(discarder.Config{Log: zap.NewNop()}),
		network: standin.NewMemoryNetwork(time.Millisecond, 0).Host("d", "r", 0), ended: make(chan time.Duration, 2),
	}
	var err error
	if b.server, err = standin.Serve(t.Context(), b.network, address, b); err != nil {
		t.Fatal(err)
	}
	return b
}

func (b *bench) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	b.requests.Add(1)
	started := time.Now()
	b.discarder.Answer(w, r, discarder.Bounds{Bytes: limit, Until: started.Add(timeout), HasFailed: b.hasFailed}, func() {
		w.Header().Set("Content-Length", "3")
		w.WriteHeader(http.StatusNotFound)
		_, _ = io.WriteString(w, refusal)
	})
	b.ended <- time.Since(started)
}

// sender sends the same bytes again and again, until the connection or the context ends.
type sender struct {
	conn  net.Conn
	ctx   context.Context //nolint:containedctx // ends the goroutine with the test.
	data  string
	pause time.Duration
	done  chan struct{}
}

func (s *sender) run() {
	defer close(s.done)
	for sleeper.Sleep(s.ctx, s.pause) {
		if _, err := io.WriteString(s.conn, s.data); err != nil {
			return
		}
	}
}

// TestDiscardIsBounded checks when a request ends whose caller sends on without end, or not at all,
// that its answer is sent at once, and that no other request is read from what the caller sends.
func TestDiscardIsBounded(t *testing.T) {
	const chunk = "8\r\nGET / \r\n\r\n"
	tests := []struct {
		name, header, data string
		pause              time.Duration
		leaveAfter         time.Duration
		want               time.Duration
	}{
		{"a chunk now and then", "Transfer-Encoding: chunked", chunk, time.Second, timeout, timeout},
		{"a byte now and then", "Content-Length: 100000", "x", time.Second, timeout, timeout},
		{"nothing more", "Content-Length: 100000", "x", time.Hour, timeout, timeout},
		{"chunks without end", "Transfer-Encoding: chunked", strings.Repeat(chunk, 8<<10), time.Millisecond, timeout, 100 * time.Millisecond},
		{"a huge body", "Content-Length: 1099511627776", strings.Repeat("x", 64<<10), time.Millisecond, timeout, 100 * time.Millisecond},
		{"a chunk that is malformed", "Transfer-Encoding: chunked", "GET / HTTP/1.1\r\n\r\n", time.Millisecond, timeout, 100 * time.Millisecond},
		{"shutdown during the body", "Transfer-Encoding: chunked", chunk, time.Second, 5 * time.Second, 7 * time.Second},
		{"shutdown before", "Content-Length: 100000", "x", time.Second, 0, 2 * time.Second},
		{"a caller that waits to be told to continue", "Expect: 100-continue\r\nContent-Length: 100000", "x", time.Hour, timeout, time.Second},
		{"shutdown before the body", "Expect: 100-continue\r\nContent-Length: 100000", "x", 900 * time.Millisecond, 500 * time.Millisecond, 2500 * time.Millisecond},
		{"a caller that does not wait for it", "Expect: 100-continue\r\nContent-Length: 100000", "x", 900 * time.Millisecond, timeout, timeout},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			run(t, func(b *bench) {
				if tt.leaveAfter == 0 {
					b.discarder.Leave()
				}
				time.AfterFunc(tt.leaveAfter, b.discarder.Leave)
				b.check(tt.header, tt.data, tt.pause, tt.want)
			})
		})
	}
}

// TestFailedBodyIsBounded checks the same for bodies whose reading has failed before the answer.
func TestFailedBodyIsBounded(t *testing.T) {
	tests := []struct {
		name, data string
		pause      time.Duration
		leaveAfter time.Duration
		want       time.Duration
	}{
		{"a byte now and then", "x", time.Second, timeout, timeout},
		{"nothing more", "x", time.Hour, timeout, timeout},
		{"bytes without end", strings.Repeat("x", 64<<10), time.Millisecond, timeout, 100 * time.Millisecond},
		{"another request", "GET / HTTP/1.1\r\nHost: h\r\n\r\n", time.Second, timeout, timeout},
		{"shutdown", "x", time.Second, 5 * time.Second, 7 * time.Second},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			run(t, func(b *bench) {
				b.hasFailed = true
				time.AfterFunc(tt.leaveAfter, b.discarder.Leave)
				b.check("Content-Length: 100000", tt.data, tt.pause, tt.want)
			})
		})
	}
}

// run runs a case with fake time.
func run(t *testing.T, check func(b *bench)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		b := newBench(t)
		defer b.server.Close()
		check(b)
	})
}

// check checks how long a request takes, and that no other one is read from what its caller sends.
func (b *bench) check(header, data string, pause, want time.Duration) {
	took := b.send(header, data, pause)
	if took > want || took < want-time.Second {
		b.t.Errorf("the request took %s, want %s", took, want)
	}
	if n := b.requests.Load(); n != 1 {
		b.t.Errorf("%d requests were read, want 1", n)
	}
}

// send sends a request whose body has no end. It reads to the end of the connection, and returns how long
// the request took.
func (b *bench) send(header, data string, pause time.Duration) time.Duration {
	conn, err := b.network.Dial(b.t.Context(), address)
	if err != nil {
		b.t.Fatal(err)
	}
	defer func() { _ = conn.Close() }()
	if _, err := io.WriteString(conn, "POST / HTTP/1.1\r\nHost: h\r\n"+header+"\r\n\r\n"); err != nil {
		b.t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(b.t.Context())
	s := &sender{conn: conn, ctx: ctx, data: data, pause: pause, done: make(chan struct{})}
	go s.run()
	started := time.Now()
	answer := make([]byte, 4096)
	n, err := conn.Read(answer)
	if err != nil || time.Since(started) > 10*time.Millisecond || !strings.HasSuffix(string(answer[:n]), refusal) {
		b.t.Errorf("have %q, error %v after %s; want the whole answer at once", answer[:n], err, time.Since(started))
	}
	took := <-b.ended
	if rest, _ := io.ReadAll(conn); len(rest) > 0 {
		b.t.Errorf("have %q after the answer, want the end of the connection", rest)
	}
	cancel()
	<-s.done
	return took
}
