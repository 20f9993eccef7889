package driver_test

import (
	"bufio"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/foxtailwharf/foxtailwharf/internal/connection/driver"
	"github.com/foxtailwharf/foxtailwharf/standin"
)

// endlessEngine answers each request with a beginning and a part without end, until the connection closes.
type endlessEngine struct {
	listener    net.Listener
	begin, part string
	sent        int
	done        chan struct{}
}

func (e *endlessEngine) run() {
	defer close(e.done)
	for {
		conn, err := e.listener.Accept()
		if err != nil {
			return
		}
		e.serve(conn)
	}
}

func (e *endlessEngine) serve(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	if _, err := http.ReadRequest(bufio.NewReader(conn)); err != nil {
		return
	}
	_, err := conn.Write([]byte(e.begin))
	for part := []byte(strings.Repeat(e.part, 4096/len(e.part))); err == nil; e.sent += len(part) {
		_, err = conn.Write(part)
	}
}

// TestEndlessReport has an engine report its state without end, in each part of a response. The agent must
// give the response up after a bounded number of bytes, and within the time of a report.
func TestEndlessReport(t *testing.T) {
	const head, chunked = "HTTP/1.1 200 OK\r\n", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
	const maxSent, maxTime = 2 << 20, time.Second
	tests := []struct{ name, begin, part string }{
		{"status line", "HTTP/1.1 200 ", "x"},
		{"header line", head + "X: ", "x"},
		{"header fields", head, "X: y\r\n"},
		{"informational heads", "", "HTTP/1.1 103 Early Hints\r\nX: y\r\n\r\n"},
		{"body without a length", head + "\r\n", " "},
		{"body of a huge length", head + "Content-Length: 1099511627776\r\n\r\n", " "},
		{"string of the report", head + "\r\n{\"Version\":\"", "x"},
		{"chunks", chunked, "4\r\n    \r\n"},
		{"chunk extension", chunked + "4;", "x"},
		{"body of a refusal", "HTTP/1.1 503 Busy\r\n\r\n", "x"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				host := standin.NewMemoryNetwork(time.Millisecond, 0).Host("d", "r", 0)
				address := netip.MustParseAddrPort("127.0.0.1:1")
				listener, err := host.Listen(t.Context(), address)
				if err != nil {
					t.Fatal(err)
				}
				e := &endlessEngine{listener: listener, begin: tt.begin, part: tt.part, done: make(chan struct{})}
				go e.run()
				d := driver.New(driver.Config{Network: host, Upstream: address})
				started := time.Now()
				report, err := d.Report(t.Context())
				if took := time.Since(started); err == nil || report.Version != "" || took > maxTime {
					t.Errorf("report %+v, error %v after %s; want an error within %s", report, err, took, maxTime)
				}
				d.Close()
				if err := listener.Close(); err != nil {
					t.Error(err)
				}
				<-e.done
				if e.sent > maxSent {
					t.Errorf("%d bytes were read, want %d at the most", e.sent, maxSent)
				}
				time.Sleep(time.Minute)
			})
		})
	}
}
