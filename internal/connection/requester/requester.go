// Package requester is an HTTP/1.1 client for upstreams with its own connection pool. Unlike the
// standard library's transport it never sends a request twice, and its errors say whether any part
// of the request can have reached the upstream.
package requester

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"net/netip"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"github.com/foxtailwharf/foxtailwharf"
	"github.com/foxtailwharf/foxtailwharf/internal/connection/headlimiter"
)

const (
	// defaultIdleTimeout applies if the upstream does not send a Keep-Alive timeout.
	defaultIdleTimeout = 2 * time.Second
	// idleTimeoutMargin is subtracted from the upstream's Keep-Alive timeout. Without it the
	// upstream could close a connection on which a request has just been sent.
	idleTimeoutMargin = 500 * time.Millisecond
	maxIdlePerPeer    = 16
	connectTimeout    = 400 * time.Millisecond
	readBufferBytes   = 4 << 10
	// maxInlineBodyBytes is the size of the largest body that is written before the response is
	// read. An upstream may respond before it has read a longer body.
	maxInlineBodyBytes = 16 << 10
)

// Error is returned for a request that got no response or an incomplete one.
type Error struct {
	// IsUnsent is true if no part of the request can have reached the upstream.
	IsUnsent bool
	// IsBroken is true if no connection could be opened, the connection failed or the response is
	// malformed. It is false if the request was canceled, or timed out on an open connection.
	IsBroken bool
	// IsUnconnected is true if no connection was opened in time, and none was refused either.
	IsUnconnected bool
	Err           error
}

// Error returns the message of the cause.
func (e *Error) Error() string {
	return e.Err.Error()
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error {
	return e.Err
}

// Request is an HTTP request to an upstream. Host and Content-Length are sent in addition to Header.
type Request struct {
	Address netip.AddrPort
	// Peer identifies the upstream's process. A connection is reused only for the same Peer.
	Peer   string
	Method string
	Target string
	Host   string
	Header http.Header
	Body   []byte
	// NeedsNewConnection forces a new connection.
	NeedsNewConnection bool
}

// Config holds the dependencies of a Requester.
type Config struct {
	Network foxtailwharf.Network
}

// Requester holds the connection pool for all upstreams. It is safe for concurrent use.
type Requester struct {
	c Config

	mu       sync.Mutex
	idle     map[string][]*connection // by peer, the longest idle first
	isClosed bool
}

// connection is idle or serves one request.
type connection struct {
	*headlimiter.Conn
	reader  *bufio.Reader // reads from the connection itself
	expires time.Time     // when it may no longer be reused
}

// New returns a requester with an empty pool.
func New(c Config) *Requester {
	return &Requester{c: c, idle: make(map[string][]*connection)}
}

// Response is the response to a request. Reading it reads the body. The caller must close it.
type Response struct {
	Status int
	Header http.Header
	// IsDelimited is set if a length or chunks tell where the body ends. Otherwise it ends with the
	// connection, also if the upstream has broken it off.
	IsDelimited bool

	x           *Requester
	conn        *connection
	peer        string
	body        io.Reader
	stop        func() bool // detaches the context; false if the context has ended
	bodyWritten chan error  // result of writing the request body; nil if it was written inline
	isKeepAlive bool
	isComplete  bool // the response body was read to its end
	isFailed    bool
}

// Do sends a request and reads the status and header of its response. The context also bounds the
// reading of the body. The error is always an *Error.
func (x *Requester) Do(ctx context.Context, r Request) (*Response, error) {
	conn, err := x.conn(ctx, r)
	if err != nil {
		return nil, &Error{IsUnsent: true, IsBroken: !errors.Is(err, context.Canceled), IsUnconnected: ctx.Err() == nil && isTimeout(err), Err: err}
	}
	a := &Response{x: x, conn: conn, peer: r.Peer}
	a.stop = context.AfterFunc(ctx, func() { _ = conn.SetDeadline(time.Unix(1, 0)) })
	if err := a.send(r); err != nil {
		a.isFailed = true
		a.Close()
		return nil, err
	}
	response, err := conn.ReadResponse(conn.reader, &http.Request{Method: r.Method}) //nolint:bodyclose // Response.Close closes or reuses the connection.
	if err == nil && isTorn(response) {
		err = errTorn
	}
	if err != nil {
		a.isFailed = true
		a.Close()
		return nil, connectionError(err)
	}
	a.Status = response.StatusCode
	a.Header = response.Header
	a.IsDelimited = response.ContentLength >= 0 || len(response.TransferEncoding) > 0
	a.body = response.Body
	a.isKeepAlive = !response.Close
	conn.expires = time.Now().Add(idleTimeout(response.Header))
	return a, nil
}

// errTorn means that the head of a response goes on with the head of another one.
var errTorn = errors.New("another status line inside the head of a response")

var statusLine = regexp.MustCompile(`HTTP/1\.[01] [0-9]{3}( |$)`)

// isTorn reports whether a head has a status line inside: the peer has stopped in the middle of one head
// and written another, and the first status and fields do not belong to the response.
func isTorn(response *http.Response) bool {
	if statusLine.MatchString(response.Status) {
		return true
	}
	for _, values := range response.Header {
		if slices.ContainsFunc(values, statusLine.MatchString) {
			return true
		}
	}
	return false
}

// connectionError returns the error for a connection that failed during or after sending.
func connectionError(err error) *Error {
	return &Error{IsBroken: !isTimeout(err), Err: err}
}

func isTimeout(err error) bool {
	var timeout net.Error
	return errors.As(err, &timeout) && timeout.Timeout()
}

// send writes the request. A body longer than maxInlineBodyBytes is written while the response is
// read.
func (a *Response) send(r Request) error {
	var head bytes.Buffer
	head.WriteString(r.Method + " " + r.Target + " HTTP/1.1\r\nHost: " + r.Host + "\r\n")
	if len(r.Body) > 0 || (r.Method != http.MethodGet && r.Method != http.MethodHead) {
		head.WriteString("Content-Length: " + strconv.Itoa(len(r.Body)) + "\r\n")
	}
	if err := r.Header.Write(&head); err != nil {
		return &Error{IsUnsent: true, Err: err}
	}
	head.WriteString("\r\n")
	if len(r.Body) <= maxInlineBodyBytes {
		head.Write(r.Body)
	}
	if n, err := a.conn.Write(head.Bytes()); err != nil {
		e := connectionError(err)
		e.IsUnsent = n == 0
		return e
	}
	if len(r.Body) > maxInlineBodyBytes {
		a.bodyWritten = make(chan error, 1)
		w := &bodyWriter{to: a.conn, body: r.Body, bodyWritten: a.bodyWritten}
		go w.run()
	}
	return nil
}

// bodyWriter writes a body in the background and sends the result to bodyWritten.
type bodyWriter struct {
	to          net.Conn
	body        []byte
	bodyWritten chan error
}

func (w *bodyWriter) run() {
	_, err := w.to.Write(w.body)
	w.bodyWritten <- err
}

// Read reads the body. It returns io.EOF only if the body is complete; other errors are of type
// *Error.
func (a *Response) Read(p []byte) (int, error) {
	n, err := a.body.Read(p)
	switch {
	case err == nil:
	case errors.Is(err, io.EOF):
		a.isComplete = true
	default:
		a.isFailed = true
		return n, connectionError(err)
	}
	return n, err
}

// AwaitBody blocks until a part of the body has arrived, or its end. The errors are those of Read.
func (a *Response) AwaitBody() error {
	body := bufio.NewReader(a.body)
	a.body = body
	if _, err := body.Peek(1); err != nil && !errors.Is(err, io.EOF) {
		a.isFailed = true
		return connectionError(err)
	}
	return nil
}

// Close ends the request. The connection is reused if both bodies are complete and nothing follows
// the response; otherwise it is closed, which tells the upstream to stop.
func (a *Response) Close() {
	isContextActive := a.stop()
	isBodyWritten := true
	if a.bodyWritten != nil {
		select {
		case err := <-a.bodyWritten:
			isBodyWritten = err == nil
		default:
			isBodyWritten = false
		}
	}
	canReuse := a.isComplete && !a.isFailed && a.isKeepAlive && isBodyWritten && isContextActive
	if canReuse && a.conn.reader.Buffered() == 0 {
		a.x.putIdle(a.peer, a.conn)
		return
	}
	_ = a.conn.Close()
}

// idleTimeout returns how long a connection may stay idle after a response with the given header.
func idleTimeout(header http.Header) time.Duration {
	for part := range strings.SplitSeq(header.Get("Keep-Alive"), ",") {
		text, isTimeout := strings.CutPrefix(strings.TrimSpace(part), "timeout=")
		if seconds, err := strconv.Atoi(text); isTimeout && err == nil {
			return max(time.Duration(seconds)*time.Second-idleTimeoutMargin, 0)
		}
	}
	return defaultIdleTimeout
}

// conn returns a reusable idle connection, or opens one.
func (x *Requester) conn(ctx context.Context, r Request) (*connection, error) {
	for !r.NeedsNewConnection {
		c := x.takeIdle(r.Peer)
		if c == nil {
			break
		}
		if c.isReusable() && time.Now().Before(c.expires) {
			return c, nil
		}
		_ = c.Close()
	}
	ctx, cancel := context.WithTimeout(ctx, connectTimeout)
	defer cancel()
	opened, err := x.c.Network.Dial(ctx, r.Address)
	if err != nil {
		return nil, errors.Wrap(err, "Requester.conn")
	}
	c := &connection{Conn: &headlimiter.Conn{Conn: opened}}
	c.reader = bufio.NewReaderSize(c, readBufferBytes)
	return c, nil
}

// takeIdle removes and returns the connection that was used last, or nil if there is none.
func (x *Requester) takeIdle(peer string) *connection {
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

// putIdle returns a connection to the pool, or closes it if the pool is full or closed.
func (x *Requester) putIdle(peer string, c *connection) {
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.isClosed || len(x.idle[peer]) >= maxIdlePerPeer {
		_ = c.Close()
		return
	}
	x.idle[peer] = append(x.idle[peer], c)
}

// CloseStale closes idle connections that have expired or whose peer no longer exists.
func (x *Requester) CloseStale(exists func(peer string) bool) {
	now := time.Now()
	x.mu.Lock()
	defer x.mu.Unlock()
	for peer, list := range x.idle {
		kept := list[:0]
		for _, c := range list {
			if exists(peer) && now.Before(c.expires) {
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

// CloseIdle closes the idle connections. Connections in use are closed when their Response is
// closed.
func (x *Requester) CloseIdle() {
	x.mu.Lock()
	x.isClosed = true
	x.mu.Unlock()
	x.CloseStale(func(string) bool { return false })
}

// isReusable reports whether the connection is still open and has received nothing since the last
// response; such bytes would belong to no request. Connections that do not expose their socket,
// such as TLS, pass unchecked.
func (c *connection) isReusable() bool {
	socket, hasSocket := c.Conn.Conn.(syscall.Conn)
	if !hasSocket {
		return true
	}
	raw, err := socket.SyscallConn()
	if err != nil {
		return false
	}
	isReusable := false
	err = raw.Read(func(fd uintptr) bool {
		var buffer [1]byte
		n, err := syscall.Read(int(fd), buffer[:])
		isReusable = n < 0 && (errors.Is(err, syscall.EAGAIN) || errors.Is(err, syscall.EWOULDBLOCK))
		return true
	})
	return err == nil && isReusable
}
