// Package standin holds small fakes of the systems around a fleet: the platform's object API and
// instance list, an origin of weights, a model engine, a plain service and an in-memory network.
// They can inject faults. The demo, the benchmarks and the tests use them.
package standin

import (
	"context"
	"net"
	"net/http"
	"net/netip"

	"github.com/pkg/errors"

	"github.com/foxtailwharf/foxtailwharf"
	"github.com/foxtailwharf/foxtailwharf/internal/connection/dialer"
)

// Server serves a fake over HTTP at one address.
type Server struct {
	server   *http.Server
	listener net.Listener
	done     chan struct{}
}

// Serve listens at the address and serves the handler until Close.
func Serve(ctx context.Context, network foxtailwharf.Network, address netip.AddrPort, handler http.Handler) (*Server, error) {
	listener, err := network.Listen(ctx, address)
	if err != nil {
		return nil, errors.Wrap(err, "standin.Serve")
	}
	s := &Server{server: dialer.Server(handler), listener: listener, done: make(chan struct{})}
	go s.run()
	return s, nil
}

func (s *Server) run() {
	defer close(s.done)
	// Serve always returns an error, and Close is its only cause.
	_ = s.server.Serve(s.listener)
}

// Address returns the address of the listener, or a zero AddrPort if that is not an IP address and
// a port.
func (s *Server) Address() netip.AddrPort {
	address, err := netip.ParseAddrPort(s.listener.Addr().String())
	if err != nil {
		return netip.AddrPort{}
	}
	return address
}

// Close closes the listener and aborts all connections, as a crash does.
func (s *Server) Close() {
	_ = s.server.Close()
	<-s.done
}
