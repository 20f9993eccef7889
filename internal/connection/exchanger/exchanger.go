// Package exchanger sends calls to upstreams over HTTP/1.1 connections of its own
// pool. Unlike the standard library's transport it never sends a call twice, and it
// says of each failure whether anything of the call can have reached the upstream.
package exchanger

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"github.com/foxtailwharf/foxtailwharf"
)

// Constants of connections to upstreams.
const (
	// defaultIdle is how long a connection is kept where the upstream does not say.
	defaultIdle = 2 * time.Second
	// idleMargin is kept from the upstream's own idle time, so that it does not close a
	// connection on which a call has just been sent.
	idleMargin = 500 * time.Millisecond
	// maxIdle bounds the idle connections to one upstream.
	maxIdle = 16
	// connectTime bounds the opening of a connection.
	connectTime = 400 * time.Millisecond
	// bufferBytes is the size of a connection's read buffer.
	bufferBytes = 4 << 10
	// inlineBytes is the largest body that is written before the answer is read; an
	// upstream may answer before it has read a longer one.
	inlineBytes = 16 << 10
)

// Error is a call that got no answer, or whose answer broke off.
type Error struct {
	// IsUnsent says that nothing of the call can have reached the upstream.
	IsUnsent bool
	// IsBroken says that the upstream ended the connection.
	IsBroken bool
	Err      error
}

// Error describes the failure.
func (e *Error) Error() string {
	return e.Err.Error()
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error {
	return e.Err
}

// Request is a call with the fields towards the upstream.
type Request struct {
	Address netip.AddrPort
	// Peer names the upstream's process: connections are reused for the same only.
	Peer   string
	Method string
	Target string
	Host   string
	Header http.Header
	Body   []byte
	// IsFresh asks for a new connection.
	IsFresh bool
}

// Config holds the settings of an Exchanger.
type Config struct {
	Network foxtailwharf.Network
}

// Exchanger is the pool of connections to all upstreams.
type Exchanger struct {
	c Config

	mu     sync.Mutex
	idle   map[string][]*connection // by peer, the longest idle first
	isShut bool
}

// connection is one connection that is idle or serves one call.
type connection struct {
	net.Conn
	reader  *bufio.Reader
	expires time.Time
}

// New returns an exchanger without connections.
func New(c Config) *Exchanger {
	return &Exchanger{c: c, idle: make(map[string][]*connection)}
}

// Answer is the answer to a call. It must be closed.
type Answer struct {
	Status int
	Header http.Header

	x        *Exchanger
	conn     *connection
	peer     string
	body     io.ReadCloser
	stop     func() bool
	written  chan error // of the body; nil where it was written before
	isKept   bool
	isEnded  bool
	isFailed bool
}

// Do sends a call and reads the head of its answer. The context also bounds the reading
// of the body.
func (x *Exchanger) Do(ctx context.Context, r Request) (*Answer, error) {
	conn, err := x.conn(ctx, r)
	if err != nil {
		return nil, &Error{IsUnsent: true, IsBroken: !errors.Is(err, context.Canceled), Err: err}
	}
	a := &Answer{x: x, conn: conn, peer: r.Peer}
	a.stop = context.AfterFunc(ctx, func() { _ = conn.SetDeadline(time.Unix(1, 0)) })
	if err := a.send(r); err != nil {
		a.isFailed = true
		a.Close()
		return nil, err
	}
	response, err := readHead(conn.reader, r.Method) //nolint:bodyclose // Answer.Close ends the connection under the body.
	if err != nil {
		a.isFailed = true
		a.Close()
		return nil, broken(err)
	}
	a.Status = response.StatusCode
	a.Header = response.Header
	a.body = response.Body
	a.isKept = !response.Close
	conn.expires = time.Now().Add(idleTime(response.Header))
	return a, nil
}

// broken describes a connection that failed after the call was sent.
func broken(err error) *Error {
	var timeout net.Error
	isTimeout := errors.As(err, &timeout) && timeout.Timeout()
	return &Error{IsBroken: !isTimeout, Err: err}
}

// send writes the call; a long body is written while the answer is read.
func (a *Answer) send(r Request) error {
	var head bytes.Buffer
	head.WriteString(r.Method + " " + r.Target + " HTTP/1.1\r\nHost: " + r.Host + "\r\n")
	if len(r.Body) > 0 || (r.Method != http.MethodGet && r.Method != http.MethodHead) {
		head.WriteString("Content-Length: " + strconv.Itoa(len(r.Body)) + "\r\n")
	}
	if err := r.Header.Write(&head); err != nil {
		return &Error{IsUnsent: true, Err: err}
	}
	head.WriteString("\r\n")
	if len(r.Body) <= inlineBytes {
		head.Write(r.Body)
	}
	if n, err := a.conn.Write(head.Bytes()); err != nil {
		e := broken(err)
		e.IsUnsent = n == 0
		return e
	}
	if len(r.Body) > inlineBytes {
		a.written = make(chan error, 1)
		w := &bodyWriter{to: a.conn, body: r.Body, written: a.written}
		go w.run()
	}
	return nil
}

// bodyWriter writes a long body.
type bodyWriter struct {
	to      net.Conn
	body    []byte
	written chan error
}

func (w *bodyWriter) run() {
	_, err := w.to.Write(w.body)
	w.written <- err
}

// readHead reads the head of the final answer.
func readHead(reader *bufio.Reader, method string) (*http.Response, error) {
	for {
		response, err := http.ReadResponse(reader, &http.Request{Method: method})
		if err != nil {
			return nil, err
		}
		if response.StatusCode >= http.StatusOK || response.StatusCode == http.StatusSwitchingProtocols {
			return response, nil
		}
	}
}

// Read reads the body. io.EOF means that it is whole.
func (a *Answer) Read(p []byte) (int, error) {
	n, err := a.body.Read(p)
	switch {
	case err == nil:
	case errors.Is(err, io.EOF):
		a.isEnded = true
	default:
		a.isFailed = true
		return n, broken(err)
	}
	return n, err
}

// Close ends the call. The connection is kept if the answer is whole and nothing
// follows it; otherwise it is closed, which makes the upstream stop.
func (a *Answer) Close() {
	isInTime := a.stop()
	isWritten := true
	if a.written != nil {
		select {
		case err := <-a.written:
			isWritten = err == nil
		default:
			isWritten = false
		}
	}
	isClean := a.isEnded && !a.isFailed && a.isKept && isWritten && isInTime
	if isClean && a.conn.reader.Buffered() == 0 {
		a.x.put(a.peer, a.conn)
		return
	}
	_ = a.conn.Close()
}

// idleTime returns how long a connection may be kept after an answer.
func idleTime(header http.Header) time.Duration {
	for part := range strings.SplitSeq(header.Get("Keep-Alive"), ",") {
		text, isTimeout := strings.CutPrefix(strings.TrimSpace(part), "timeout=")
		if seconds, err := strconv.Atoi(text); isTimeout && err == nil {
			return max(time.Duration(seconds)*time.Second-idleMargin, 0)
		}
	}
	return defaultIdle
}

// conn returns an idle connection on which nothing has arrived, or opens one.
func (x *Exchanger) conn(ctx context.Context, r Request) (*connection, error) {
	for !r.IsFresh {
		c := x.take(r.Peer)
		if c == nil {
			break
		}
		if c.isQuiet() && time.Now().Before(c.expires) {
			return c, nil
		}
		_ = c.Close()
	}
	ctx, cancel := context.WithTimeout(ctx, connectTime)
	defer cancel()
	opened, err := x.c.Network.Dial(ctx, r.Address)
	if err != nil {
		return nil, errors.Wrap(err, "Exchanger.conn")
	}
	return &connection{Conn: opened, reader: bufio.NewReaderSize(opened, bufferBytes)}, nil
}

// take returns the connection that was used last.
func (x *Exchanger) take(peer string) *connection {
	x.mu.Lock()
	defer x.mu.Unlock()
	list := x.idle[peer]
	if len(list) == 0 {
		return nil
	}
	c := list[len(list)-1]
	x.idle[peer] = list[:len(list)-1]
	return c
}

func (x *Exchanger) put(peer string, c *connection) {
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.isShut || len(x.idle[peer]) >= maxIdle {
		_ = c.Close()
		return
	}
	x.idle[peer] = append(x.idle[peer], c)
}

// Forget closes the idle connections to peers that are no longer there, and those that
// have expired.
func (x *Exchanger) Forget(isThere func(peer string) bool) {
	now := time.Now()
	x.mu.Lock()
	defer x.mu.Unlock()
	for peer, list := range x.idle {
		kept := list[:0]
		for _, c := range list {
			if isThere(peer) && now.Before(c.expires) {
				kept = append(kept, c)
				continue
			}
			_ = c.Close()
		}
		x.idle[peer] = kept
		if len(kept) == 0 {
			delete(x.idle, peer)
		}
	}
}

// CloseIdle closes the idle connections; no more are kept.
func (x *Exchanger) CloseIdle() {
	x.mu.Lock()
	x.isShut = true
	x.mu.Unlock()
	x.Forget(func(string) bool { return false })
}

// isQuiet reports whether the connection is open and nothing has arrived on it since
// the last answer: neither its end nor bytes that belong to no call.
func (c *connection) isQuiet() bool {
	source, isSystem := c.Conn.(syscall.Conn)
	if !isSystem {
		return true
	}
	raw, err := source.SyscallConn()
	if err != nil {
		return false
	}
	isQuiet := false
	err = raw.Read(func(fd uintptr) bool {
		var one [1]byte
		n, err := syscall.Read(int(fd), one[:])
		isQuiet = n < 0 && (errors.Is(err, syscall.EAGAIN) || errors.Is(err, syscall.EWOULDBLOCK))
		return true
	})
	return err == nil && isQuiet
}
