package exchanger_test

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
	"github.com/foxtailwharf/foxtailwharf/internal/connection/exchanger"
)

// peer is an upstream that answers each connection by a script.
type peer struct {
	listener net.Listener
	opened   atomic.Int64
	requests atomic.Int64
}

// newPeer serves connections, each request by answer, which reports whether the
// connection stays open.
func newPeer(t *testing.T, answer func(p *peer, conn net.Conn, r *http.Request) bool) *peer {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	p := &peer{listener: listener}
	t.Cleanup(func() { _ = listener.Close() })
	go p.run(answer)
	return p
}

func (p *peer) run(answer func(p *peer, conn net.Conn, r *http.Request) bool) {
	for {
		conn, err := p.listener.Accept()
		if err != nil {
			return
		}
		p.opened.Add(1)
		go p.serve(conn, answer)
	}
}

func (p *peer) serve(conn net.Conn, answer func(p *peer, conn net.Conn, r *http.Request) bool) {
	defer func() { _ = conn.Close() }()
	reader := bufio.NewReader(conn)
	for {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		p.requests.Add(1)
		if !answer(p, conn, r) {
			return
		}
	}
}

func (p *peer) address() netip.AddrPort {
	return netip.MustParseAddrPort(p.listener.Addr().String())
}

func (p *peer) request(method string, body []byte) exchanger.Request {
	return exchanger.Request{Address: p.address(), Peer: "p", Method: method, Target: "/a//b?c=%2f", Host: "h.example", Header: http.Header{}, Body: body}
}

func newExchanger() *exchanger.Exchanger {
	return exchanger.New(exchanger.Config{Network: &dialer.TCP{}})
}

func whole(_ *peer, conn net.Conn, r *http.Request) bool {
	_, _ = io.Copy(io.Discard, r.Body)
	_, err := io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
	return err == nil
}

// call makes one call and returns its body.
func call(ctx context.Context, x *exchanger.Exchanger, r exchanger.Request) (string, error) {
	a, err := x.Do(ctx, r)
	if err != nil {
		return "", err
	}
	defer a.Close()
	body, err := io.ReadAll(a)
	return string(body), err
}

func TestReuse(t *testing.T) {
	p := newPeer(t, whole)
	x := newExchanger()
	for range 3 {
		if body, err := call(t.Context(), x, p.request(http.MethodPost, []byte("x"))); err != nil || body != "ok" {
			t.Fatalf("have %q, %v", body, err)
		}
	}
	if have := p.opened.Load(); have != 1 {
		t.Errorf("%d connections for three calls, want 1", have)
	}
}

func TestTargetAsSent(t *testing.T) {
	targets := make(chan string, 1)
	p := newPeer(t, func(p *peer, conn net.Conn, r *http.Request) bool {
		targets <- r.Method + " " + r.RequestURI + " " + r.Host
		return whole(p, conn, r)
	})
	if _, err := call(t.Context(), newExchanger(), p.request(http.MethodGet, nil)); err != nil {
		t.Fatal(err)
	}
	if have, want := <-targets, "GET /a//b?c=%2f h.example"; have != want {
		t.Errorf("have %q, want %q", have, want)
	}
}

// TestNeverTwice breaks off a call on a connection that was used before: the standard
// library's transport would send a repeatable one again.
func TestNeverTwice(t *testing.T) {
	p := newPeer(t, func(p *peer, conn net.Conn, r *http.Request) bool {
		return p.requests.Load() == 1 && whole(p, conn, r)
	})
	x := newExchanger()
	if _, err := call(t.Context(), x, p.request(http.MethodGet, nil)); err != nil {
		t.Fatal(err)
	}
	_, err := call(t.Context(), x, p.request(http.MethodGet, nil))
	var failure *exchanger.Error
	if !errors.As(err, &failure) || failure.IsUnsent || !failure.IsBroken {
		t.Errorf("have %v, want a broken call that may have run", err)
	}
	if have := p.requests.Load(); have != 2 {
		t.Errorf("the upstream got %d requests, want 2", have)
	}
}

func TestUnsent(t *testing.T) {
	p := newPeer(t, whole)
	_ = p.listener.Close()
	_, err := call(t.Context(), newExchanger(), p.request(http.MethodPost, nil))
	var failure *exchanger.Error
	if !errors.As(err, &failure) || !failure.IsUnsent {
		t.Errorf("have %v, want a call that was not sent", err)
	}
}

// TestConnectionsNotReused lists answers after which a connection must not be used again.
func TestConnectionsNotReused(t *testing.T) {
	tests := []struct{ name, answer string }{
		{"closing", "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nConnection: close\r\n\r\nok"},
		{"a second answer", "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nokHTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nno"},
		{"no idle time", "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nKeep-Alive: timeout=0\r\n\r\nok"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			p := newPeer(t, func(_ *peer, conn net.Conn, r *http.Request) bool {
				_, err := io.WriteString(conn, tt.answer)
				return err == nil
			})
			x := newExchanger()
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

// TestLateBytes has bytes arrive on an idle connection, which belong to no call.
func TestLateBytes(t *testing.T) {
	sent := make(chan struct{}, 2)
	p := newPeer(t, func(p *peer, conn net.Conn, r *http.Request) bool {
		if !whole(p, conn, r) {
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
	x := newExchanger()
	if _, err := call(t.Context(), x, p.request(http.MethodPost, nil)); err != nil {
		t.Fatal(err)
	}
	<-sent
	time.Sleep(30 * time.Millisecond)
	if body, err := call(t.Context(), x, p.request(http.MethodPost, nil)); err != nil || body != "ok" {
		t.Errorf("have %q, %v, want the call's own answer", body, err)
	}
}

// TestEarlyAnswer has the upstream answer a long body before it has read it, and read on:
// what follows the body's part must not be another call.
func TestEarlyAnswer(t *testing.T) {
	release := make(chan struct{})
	p := newPeer(t, func(_ *peer, conn net.Conn, r *http.Request) bool {
		_, _ = io.WriteString(conn, "HTTP/1.1 413 Too Large\r\nContent-Length: 2\r\n\r\nno")
		<-release
		return false
	})
	x := newExchanger()
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
		t.Error("a connection with an unfinished body was used again")
	}
}

// TestBrokenAnswers lists answers that are not whole.
func TestBrokenAnswers(t *testing.T) {
	for _, answer := range []string{
		"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nok",
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n",
		"garbage\r\n\r\n",
		"",
	} {
		p := newPeer(t, func(_ *peer, conn net.Conn, _ *http.Request) bool {
			_, _ = io.WriteString(conn, answer)
			return false
		})
		body, err := call(t.Context(), newExchanger(), p.request(http.MethodPost, nil))
		if err == nil {
			t.Errorf("%q: have %q as a whole answer", answer, body)
		}
	}
}

// TestCancel checks that the upstream sees the end of a call that is given up.
func TestCancel(t *testing.T) {
	gone := make(chan struct{})
	p := newPeer(t, func(_ *peer, conn net.Conn, _ *http.Request) bool {
		_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nok")
		_, _ = conn.Read(make([]byte, 1))
		close(gone)
		return false
	})
	ctx, cancel := context.WithCancel(t.Context())
	time.AfterFunc(30*time.Millisecond, cancel)
	if _, err := call(ctx, newExchanger(), p.request(http.MethodPost, nil)); err == nil || strings.Contains(err.Error(), "EOF") {
		t.Errorf("have %v, want the end of the call's time", err)
	}
	<-gone
}
