package requester_test

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/pkg/errors"

	"github.com/foxtailwharf/foxtailwharf/internal/connection/dialer"
	"github.com/foxtailwharf/foxtailwharf/internal/connection/requester"
)

// peer is an upstream whose responses are written by the test.
type peer struct {
	listener net.Listener
	opened   atomic.Int64 // connections
	requests atomic.Int64
}

// newPeer starts a peer that calls respond for each request. The connection stays open if respond
// returns true.
func newPeer(t *testing.T, respond func(p *peer, conn net.Conn, r *http.Request) bool) *peer {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	p := &peer{listener: listener}
	t.Cleanup(func() { _ = listener.Close() })
	go p.run(respond)
	return p
}

func (p *peer) run(respond func(p *peer, conn net.Conn, r *http.Request) bool) {
	for {
		conn, err := p.listener.Accept()
		if err != nil {
			return
		}
		p.opened.Add(1)
		go p.serve(conn, respond)
	}
}

func (p *peer) serve(conn net.Conn, respond func(p *peer, conn net.Conn, r *http.Request) bool) {
	defer func() { _ = conn.Close() }()
	reader := bufio.NewReader(conn)
	for {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		p.requests.Add(1)
		if !respond(p, conn, r) {
			return
		}
	}
}

func (p *peer) address() netip.AddrPort {
	return netip.MustParseAddrPort(p.listener.Addr().String())
}

func (p *peer) request(method string, body []byte) requester.Request {
	return requester.Request{Address: p.address(), Peer: "p", Method: method, Target: "/a//b?c=%2f", Host: "h.example", Header: http.Header{}, Body: body}
}

func newRequester() *requester.Requester {
	return requester.New(requester.Config{Network: &dialer.TCP{}})
}

// writeOK reads the request body and writes a complete response.
func writeOK(_ *peer, conn net.Conn, r *http.Request) bool {
	_, _ = io.Copy(io.Discard, r.Body)
	_, err := io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
	return err == nil
}

// call sends a request and returns the body of the response.
func call(ctx context.Context, x *requester.Requester, r requester.Request) (string, error) {
	a, err := x.Do(ctx, r)
	if err != nil {
		return "", err
	}
	defer a.Close()
	body, err := io.ReadAll(a)
	return string(body), err
}

func TestReuse(t *testing.T) {
	p := newPeer(t, writeOK)
	x := newRequester()
	for range 3 {
		if body, err := call(t.Context(), x, p.request(http.MethodPost, []byte("x"))); err != nil || body != "ok" {
			t.Fatalf("have %q, %v", body, err)
		}
	}
	if have := p.opened.Load(); have != 1 {
		t.Errorf("%d connections for 3 requests, want 1", have)
	}
}

func TestTargetAsSent(t *testing.T) {
	targets := make(chan string, 1)
	p := newPeer(t, func(p *peer, conn net.Conn, r *http.Request) bool {
		targets <- r.Method + " " + r.RequestURI + " " + r.Host
		return writeOK(p, conn, r)
	})
	if _, err := call(t.Context(), newRequester(), p.request(http.MethodGet, nil)); err != nil {
		t.Fatal(err)
	}
	if have, want := <-targets, "GET /a//b?c=%2f h.example"; have != want {
		t.Errorf("have %q, want %q", have, want)
	}
}

// TestNoResend has the upstream close a reused connection without a response. The standard
// library's transport sends an idempotent request again in this case.
func TestNoResend(t *testing.T) {
	p := newPeer(t, func(p *peer, conn net.Conn, r *http.Request) bool {
		return p.requests.Load() == 1 && writeOK(p, conn, r)
	})
	x := newRequester()
	if _, err := call(t.Context(), x, p.request(http.MethodGet, nil)); err != nil {
		t.Fatal(err)
	}
	_, err := call(t.Context(), x, p.request(http.MethodGet, nil))
	var failure *requester.Error
	if !errors.As(err, &failure) || failure.IsUnsent || !failure.IsBroken {
		t.Errorf("have %v, want a broken connection and a request that may have run", err)
	}
	if have := p.requests.Load(); have != 2 {
		t.Errorf("upstream received %d requests, want 2", have)
	}
}

func TestUnsent(t *testing.T) {
	p := newPeer(t, writeOK)
	_ = p.listener.Close()
	_, err := call(t.Context(), newRequester(), p.request(http.MethodPost, nil))
	var failure *requester.Error
	if !errors.As(err, &failure) || !failure.IsUnsent {
		t.Errorf("have %v, want an unsent request", err)
	}
}

// TestConnectionsNotReused checks responses after which the connection must not be reused.
func TestConnectionsNotReused(t *testing.T) {
	tests := []struct{ name, response string }{
		{"connection close", "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nConnection: close\r\n\r\nok"},
		{"second response", "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nokHTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nno"},
		{"zero idle timeout", "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nKeep-Alive: timeout=0\r\n\r\nok"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			p := newPeer(t, func(_ *peer, conn net.Conn, r *http.Request) bool {
				_, err := io.WriteString(conn, tt.response)
				return err == nil
			})
			x := newRequester()
			for range 2 {
				if body, err := call(t.Context(), x, p.request(http.MethodPost, nil)); err != nil || body != "ok" {
					t.Fatalf("have %q, %v", body, err)
				}
			}
			if have := p.opened.Load(); have != 2 {
				t.Errorf("%d connections, want 2", have)
			}
		})
	}
}

// TestUnsolicitedBytes has the upstream write a second response to an idle connection. It must not
// be taken for the response to the next request.
func TestUnsolicitedBytes(t *testing.T) {
	sent := make(chan struct{}, 2)
	p := newPeer(t, func(p *peer, conn net.Conn, r *http.Request) bool {
		if !writeOK(p, conn, r) {
			return false
		}
		if p.requests.Load() == 1 {
			time.AfterFunc(30*time.Millisecond, func() {
				_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nbad")
				sent <- struct{}{}
			})
		}
		return true
	})
	x := newRequester()
	if _, err := call(t.Context(), x, p.request(http.MethodPost, nil)); err != nil {
		t.Fatal(err)
	}
	<-sent
	time.Sleep(30 * time.Millisecond)
	if body, err := call(t.Context(), x, p.request(http.MethodPost, nil)); err != nil || body != "ok" {
		t.Errorf("have %q, %v, want the response to the second request", body, err)
	}
}

// TestEarlyResponse has the upstream respond before it has read a long body. The connection must not
// be reused, as the upstream would read the next request as part of the body.
func TestEarlyResponse(t *testing.T) {
	release := make(chan struct{})
	p := newPeer(t, func(_ *peer, conn net.Conn, r *http.Request) bool {
		_, _ = io.WriteString(conn, "HTTP/1.1 413 Too Large\r\nContent-Length: 2\r\n\r\nno")
		<-release
		return false
	})
	x := newRequester()
	body := bytes.Repeat([]byte("x"), 8<<20)
	a, err := x.Do(t.Context(), p.request(http.MethodPost, body))
	if err != nil || a.Status != http.StatusRequestEntityTooLarge {
		t.Fatalf("have %v, %v", a, err)
	}
	if _, err := io.ReadAll(a); err != nil {
		t.Fatal(err)
	}
	a.Close()
	close(release)
	if _, err := call(t.Context(), x, p.request(http.MethodGet, nil)); err == nil && p.opened.Load() == 1 {
		t.Error("connection with an incompletely sent body was reused")
	}
}

// TestIncompleteResponses checks that truncated and malformed responses are errors.
func TestIncompleteResponses(t *testing.T) {
	for _, response := range []string{
		"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nok",
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n",
		"garbage\r\n\r\n",
		"",
	} {
		p := newPeer(t, func(_ *peer, conn net.Conn, _ *http.Request) bool {
			_, _ = io.WriteString(conn, response)
			return false
		})
		body, err := call(t.Context(), newRequester(), p.request(http.MethodPost, nil))
		if err == nil {
			t.Errorf("%q: have %q and no error", response, body)
		}
	}
}

// TestCancel checks that canceling a request closes the connection to the upstream.
func TestCancel(t *testing.T) {
	closed := make(chan struct{})
	p := newPeer(t, func(_ *peer, conn net.Conn, _ *http.Request) bool {
		_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nok")
		_, _ = conn.Read(make([]byte, 1))
		close(closed)
		return false
	})
	ctx, cancel := context.WithCancel(t.Context())
	time.AfterFunc(30*time.Millisecond, cancel)
	if _, err := call(ctx, newRequester(), p.request(http.MethodPost, nil)); err == nil || strings.Contains(err.Error(), "EOF") {
		t.Errorf("have %v, want a timeout", err)
	}
	<-closed
}
