// Package messenger carries control messages between the system's own processes:
// JSON-RPC 2.0 on connections that begin as an HTTP upgrade, so that a process
// has one address for all that its peers send.
package messenger

import (
	"bufio"
	"context"
	"encoding/json"
	"io"
	"log"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/sourcegraph/jsonrpc2"

	"github.com/foxtailwharf/foxtailwharf"
)

const (
	// Path is where a peer's HTTP server takes upgrades.
	Path     = "/control"
	protocol = "jsonrpc2"
	// callTimeout bounds a call whose context has no nearer deadline.
	callTimeout = 2 * time.Second
)

// quiet drops the library's own log lines: a connection that ends shows in the
// errors of its calls.
var quiet = log.New(io.Discard, "", 0)

// Server answers control messages.
type Server struct {
	mu      sync.Mutex
	methods map[string]method
	open    map[*jsonrpc2.Conn]bool
	isShut  bool
}

type method func(ctx context.Context, params json.RawMessage) (any, error)

// NewServer returns a server without methods.
func NewServer() *Server {
	return &Server{methods: make(map[string]method), open: make(map[*jsonrpc2.Conn]bool)}
}

// Register makes a server answer a method. It must be called before the server
// is used.
func Register[Q, A any](s *Server, name string, answer func(ctx context.Context, question Q) (A, error)) {
	s.methods[name] = func(ctx context.Context, params json.RawMessage) (any, error) {
		var question Q
		if err := json.Unmarshal(params, &question); err != nil {
			return nil, &jsonrpc2.Error{Code: jsonrpc2.CodeInvalidParams, Message: err.Error()}
		}
		return answer(ctx, question)
	}
}

// ServeHTTP upgrades a connection and answers its messages until it ends.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.Header.Get("Upgrade") != protocol {
		http.Error(w, "an upgrade to "+protocol+" is needed", http.StatusUpgradeRequired)
		return
	}
	conn, buffer, err := http.NewResponseController(w).Hijack()
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	if _, err := io.WriteString(conn, "HTTP/1.1 101 Switching Protocols\r\nConnection: Upgrade\r\nUpgrade: "+protocol+"\r\n\r\n"); err != nil {
		_ = conn.Close()
		return
	}
	stream := jsonrpc2.NewBufferedStream(&bufferedConn{Conn: conn, reader: buffer.Reader}, jsonrpc2.VarintObjectCodec{})
	handler := jsonrpc2.AsyncHandler(jsonrpc2.HandlerWithError(s.handle).SuppressErrClosed())
	s.keep(jsonrpc2.NewConn(context.Background(), stream, handler, jsonrpc2.SetLogger(quiet)))
}

// keep holds a connection until it ends.
func (s *Server) keep(conn *jsonrpc2.Conn) {
	s.mu.Lock()
	if s.isShut {
		s.mu.Unlock()
		_ = conn.Close()
		return
	}
	s.open[conn] = true
	s.mu.Unlock()
	<-conn.DisconnectNotify()
	s.mu.Lock()
	delete(s.open, conn)
	s.mu.Unlock()
}

// Close ends all connections.
func (s *Server) Close() {
	s.mu.Lock()
	s.isShut = true
	open := s.open
	s.open = make(map[*jsonrpc2.Conn]bool)
	s.mu.Unlock()
	for conn := range open {
		_ = conn.Close()
	}
}

func (s *Server) handle(ctx context.Context, _ *jsonrpc2.Conn, request *jsonrpc2.Request) (any, error) {
	answer, isKnown := s.methods[request.Method]
	if !isKnown {
		return nil, &jsonrpc2.Error{Code: jsonrpc2.CodeMethodNotFound, Message: "unknown method " + request.Method}
	}
	if request.Params == nil {
		return nil, &jsonrpc2.Error{Code: jsonrpc2.CodeInvalidParams, Message: "parameters are missing"}
	}
	return answer(ctx, *request.Params)
}

// bufferedConn reads what the HTTP server had already buffered first.
type bufferedConn struct {
	net.Conn
	reader *bufio.Reader
}

// Read reads from the buffer and then from the connection.
func (c *bufferedConn) Read(p []byte) (int, error) {
	return c.reader.Read(p)
}

// Client sends control messages and keeps one connection to each peer.
type Client struct {
	network foxtailwharf.Network
	mu      sync.Mutex
	conns   map[netip.AddrPort]*jsonrpc2.Conn
}

// NewClient returns a client without connections.
func NewClient(network foxtailwharf.Network) *Client {
	return &Client{network: network, conns: make(map[netip.AddrPort]*jsonrpc2.Conn)}
}

// Call asks a peer and waits for its answer.
func Call[A any](ctx context.Context, c *Client, peer netip.AddrPort, name string, question any) (answer A, err error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	var conn *jsonrpc2.Conn
	if conn, err = c.conn(ctx, peer); err != nil {
		return answer, errors.Wrap(err, "messenger.Call")
	}
	if err = conn.Call(ctx, name, question, &answer); err != nil {
		var remote *jsonrpc2.Error
		if !errors.As(err, &remote) {
			c.drop(peer, conn)
		}
		return answer, errors.Wrapf(err, "messenger.Call: %s to %s", name, peer)
	}
	return answer, nil
}

// conn returns the open connection to a peer, or opens one.
func (c *Client) conn(ctx context.Context, peer netip.AddrPort) (*jsonrpc2.Conn, error) {
	c.mu.Lock()
	conn, isOpen := c.conns[peer]
	c.mu.Unlock()
	if isOpen {
		select {
		case <-conn.DisconnectNotify():
			c.drop(peer, conn)
		default:
			return conn, nil
		}
	}
	opened, err := c.open(ctx, peer)
	if err != nil {
		return nil, err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if other, isOpen := c.conns[peer]; isOpen {
		_ = opened.Close()
		return other, nil
	}
	c.conns[peer] = opened
	return opened, nil
}

// open dials a peer and upgrades the connection.
func (c *Client) open(ctx context.Context, peer netip.AddrPort) (*jsonrpc2.Conn, error) {
	conn, err := c.network.Dial(ctx, peer)
	if err != nil {
		return nil, err
	}
	if deadline, hasDeadline := ctx.Deadline(); hasDeadline {
		_ = conn.SetDeadline(deadline)
	}
	reader, err := upgrade(ctx, conn, peer)
	if err != nil {
		_ = conn.Close()
		return nil, err
	}
	_ = conn.SetDeadline(time.Time{})
	stream := jsonrpc2.NewBufferedStream(&bufferedConn{Conn: conn, reader: reader}, jsonrpc2.VarintObjectCodec{})
	return jsonrpc2.NewConn(context.Background(), stream, jsonrpc2.HandlerWithError(refuseCalls), jsonrpc2.SetLogger(quiet)), nil
}

func upgrade(ctx context.Context, conn net.Conn, peer netip.AddrPort) (*bufio.Reader, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+peer.String()+Path, nil)
	if err != nil {
		return nil, err
	}
	request.Header.Set("Connection", "Upgrade")
	request.Header.Set("Upgrade", protocol)
	if err := request.Write(conn); err != nil {
		return nil, err
	}
	reader := bufio.NewReader(conn)
	response, err := http.ReadResponse(reader, request)
	if err != nil {
		return nil, err
	}
	// A 101 has no body.
	_ = response.Body.Close()
	if response.StatusCode != http.StatusSwitchingProtocols {
		return nil, errors.Errorf("peer %s refused the upgrade with status %d", peer, response.StatusCode)
	}
	return reader, nil
}

// refuseCalls answers calls on a client's connection: there are none.
func refuseCalls(context.Context, *jsonrpc2.Conn, *jsonrpc2.Request) (any, error) {
	return nil, &jsonrpc2.Error{Code: jsonrpc2.CodeMethodNotFound, Message: "a client answers no calls"}
}

func (c *Client) drop(peer netip.AddrPort, conn *jsonrpc2.Conn) {
	c.mu.Lock()
	if c.conns[peer] == conn {
		delete(c.conns, peer)
	}
	c.mu.Unlock()
	_ = conn.Close()
}

// Close ends all connections.
func (c *Client) Close() {
	c.mu.Lock()
	conns := c.conns
	c.conns = make(map[netip.AddrPort]*jsonrpc2.Conn)
	c.mu.Unlock()
	for _, conn := range conns {
		_ = conn.Close()
	}
}
