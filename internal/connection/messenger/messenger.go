// Package messenger exchanges control messages between the processes of the system. It uses JSON-RPC
// 2.0 on connections that begin with an HTTP upgrade, so that a process needs only one address for
// all traffic from its peers.
package messenger

import (
	"bufio"
	"context"
	"encoding/binary"
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
	"github.com/foxtailwharf/foxtailwharf/internal/connection/headlimiter"
)

const (
	// Path is the HTTP path at which a Server is mounted and accepts upgrades.
	Path     = "/control"
	protocol = "jsonrpc2"
	// callTimeout limits calls whose context has no earlier deadline.
	callTimeout = 2 * time.Second
	// maxMessageBytes bounds one message. The largest holds a compressed configuration.
	maxMessageBytes = 16 << 20
)

// boundedCodec is the codec of the library with a bound on what it reads.
type boundedCodec struct {
	jsonrpc2.VarintObjectCodec
}

// ReadObject reads a message, which begins with its length.
func (boundedCodec) ReadObject(stream *bufio.Reader, message any) error {
	length, err := binary.ReadUvarint(stream)
	if err != nil {
		return err
	}
	if length > maxMessageBytes {
		return errors.Errorf("message of %d bytes is longer than %d", length, maxMessageBytes)
	}
	return json.NewDecoder(io.LimitReader(stream, int64(length))).Decode(message)
}

// discardLogger drops the log lines of the JSON-RPC library. The errors of the calls on a connection
// already show that it has ended.
var discardLogger = log.New(io.Discard, "", 0)

// Server handles control messages.
type Server struct {
	mu       sync.Mutex
	methods  map[string]method
	conns    map[*jsonrpc2.Conn]bool // open connections
	isClosed bool
}

type method func(ctx context.Context, params json.RawMessage) (any, error)

// NewServer returns a server without methods.
func NewServer() *Server {
	return &Server{methods: make(map[string]method), conns: make(map[*jsonrpc2.Conn]bool)}
}

// Register sets the handler of a method. It must be called before the server accepts connections.
func Register[P, R any](s *Server, name string, handle func(ctx context.Context, params P) (R, error)) {
	s.methods[name] = func(ctx context.Context, data json.RawMessage) (any, error) {
		var params P
		if err := json.Unmarshal(data, &params); err != nil {
			return nil, &jsonrpc2.Error{Code: jsonrpc2.CodeInvalidParams, Message: err.Error()}
		}
		return handle(ctx, params)
	}
}

// ServeHTTP upgrades a connection, and returns when it is closed.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.Header.Get("Upgrade") != protocol {
		http.Error(w, "upgrade to "+protocol+" required", http.StatusUpgradeRequired)
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
	stream := jsonrpc2.NewBufferedStream(&bufferedConn{Conn: conn, reader: buffer.Reader}, boundedCodec{})
	handler := jsonrpc2.AsyncHandler(jsonrpc2.HandlerWithError(s.handle).SuppressErrClosed())
	s.track(jsonrpc2.NewConn(context.Background(), stream, handler, jsonrpc2.SetLogger(discardLogger)))
}

// track registers a connection for Close, and returns when it is closed.
func (s *Server) track(conn *jsonrpc2.Conn) {
	s.mu.Lock()
	if s.isClosed {
		s.mu.Unlock()
		_ = conn.Close()
		return
	}
	s.conns[conn] = true
	s.mu.Unlock()
	<-conn.DisconnectNotify()
	s.mu.Lock()
	delete(s.conns, conn)
	s.mu.Unlock()
}

// Close closes all connections. Later ones are closed after the upgrade.
func (s *Server) Close() {
	s.mu.Lock()
	s.isClosed = true
	conns := s.conns
	s.conns = make(map[*jsonrpc2.Conn]bool)
	s.mu.Unlock()
	for conn := range conns {
		_ = conn.Close()
	}
}

func (s *Server) handle(ctx context.Context, _ *jsonrpc2.Conn, request *jsonrpc2.Request) (any, error) {
	handler, isKnown := s.methods[request.Method]
	if !isKnown {
		return nil, &jsonrpc2.Error{Code: jsonrpc2.CodeMethodNotFound, Message: "unknown method " + request.Method}
	}
	if request.Params == nil {
		return nil, &jsonrpc2.Error{Code: jsonrpc2.CodeInvalidParams, Message: "missing parameters"}
	}
	return handler(ctx, *request.Params)
}

// bufferedConn reads from the buffer that was used for the HTTP messages, as that may already hold
// data that follows them.
type bufferedConn struct {
	net.Conn
	reader *bufio.Reader
}

// Read returns buffered data before data from the connection.
func (c *bufferedConn) Read(p []byte) (int, error) {
	return c.reader.Read(p)
}

// Client sends control messages and keeps one connection to each peer. It is safe for concurrent
// use.
type Client struct {
	network foxtailwharf.Network
	mu      sync.Mutex
	conns   map[netip.AddrPort]*jsonrpc2.Conn
}

// NewClient returns a client that connects to a peer on the first call.
func NewClient(network foxtailwharf.Network) *Client {
	return &Client{network: network, conns: make(map[netip.AddrPort]*jsonrpc2.Conn)}
}

// Call calls a method of a peer and waits for its result, for at most 2 s. An error other than one
// returned by the peer closes the connection.
func Call[R any](ctx context.Context, c *Client, peer netip.AddrPort, method string, params any) (result R, err error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	var conn *jsonrpc2.Conn
	if conn, err = c.conn(ctx, peer); err != nil {
		return result, errors.Wrap(err, "messenger.Call")
	}
	if err = conn.Call(ctx, method, params, &result); err != nil {
		var remote *jsonrpc2.Error
		if !errors.As(err, &remote) {
			c.drop(peer, conn)
		}
		return result, errors.Wrapf(err, "messenger.Call: %s to %s", method, peer)
	}
	return result, nil
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
	opened, err := c.dial(ctx, peer)
	if err != nil {
		return nil, err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if existing, isOpen := c.conns[peer]; isOpen {
		_ = opened.Close()
		return existing, nil
	}
	c.conns[peer] = opened
	return opened, nil
}

// dial connects to a peer and upgrades the connection.
func (c *Client) dial(ctx context.Context, peer netip.AddrPort) (*jsonrpc2.Conn, error) {
	conn, err := c.network.Dial(ctx, peer)
	if err != nil {
		return nil, err
	}
	if deadline, hasDeadline := ctx.Deadline(); hasDeadline {
		_ = conn.SetDeadline(deadline)
	}
	limited := &headlimiter.Conn{Conn: conn}
	reader, err := upgrade(ctx, limited, peer)
	if err != nil {
		_ = conn.Close()
		return nil, err
	}
	_ = conn.SetDeadline(time.Time{})
	stream := jsonrpc2.NewBufferedStream(&bufferedConn{Conn: limited, reader: reader}, boundedCodec{})
	return jsonrpc2.NewConn(context.Background(), stream, jsonrpc2.HandlerWithError(refuseCalls), jsonrpc2.SetLogger(discardLogger)), nil
}

func upgrade(ctx context.Context, conn *headlimiter.Conn, peer netip.AddrPort) (*bufio.Reader, error) {
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
	response, err := conn.ReadResponse(reader, request)
	if err != nil {
		return nil, err
	}
	// A 101 response has no body.
	_ = response.Body.Close()
	if response.StatusCode != http.StatusSwitchingProtocols {
		return nil, errors.Errorf("peer %s refused the upgrade with status %d", peer, response.StatusCode)
	}
	return reader, nil
}

// refuseCalls rejects calls from the server, which sends none.
func refuseCalls(context.Context, *jsonrpc2.Conn, *jsonrpc2.Request) (any, error) {
	return nil, &jsonrpc2.Error{Code: jsonrpc2.CodeMethodNotFound, Message: "clients do not accept calls"}
}

// drop closes a connection, so that the next call opens another one.
func (c *Client) drop(peer netip.AddrPort, conn *jsonrpc2.Conn) {
	c.mu.Lock()
	if c.conns[peer] == conn {
		delete(c.conns, peer)
	}
	c.mu.Unlock()
	_ = conn.Close()
}

// Close closes all connections. A later call opens a new one.
func (c *Client) Close() {
	c.mu.Lock()
	conns := c.conns
	c.conns = make(map[netip.AddrPort]*jsonrpc2.Conn)
	c.mu.Unlock()
	for _, conn := range conns {
		_ = conn.Close()
	}
}
