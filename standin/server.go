// Package standin holds small stand-ins for what the platform brings: its object
// API and instance list, an origin of weights, a model engine, a plain service and
// a network in memory. Each has switches for its faults. They serve the demo, the
// measurements and the tests.
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

// Server serves a stand-in at an address.
type Server struct {
	server   *http.Server
	listener net.Listener
	done     chan struct{}
}

// Serve starts a stand-in.
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
	// Serve always returns an error; Close is the only cause.
	_ = s.server.Serve(s.listener)
}

// Address returns where the stand-in listens.
func (s *Server) Address() netip.AddrPort {
	address, err := netip.ParseAddrPort(s.listener.Addr().String())
	if err != nil {
		return netip.AddrPort{}
	}
	return address
}

// Close ends the stand-in and all its connections, as a crash does.
func (s *Server) Close() {
	_ = s.server.Close()
	<-s.done
}
