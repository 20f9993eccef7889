// Package server runs an HTTP server on a listener as a part with an end of its own.
package server

import (
	"context"
	"net"
	"net/http"

	"github.com/pkg/errors"
	"go.uber.org/zap"
)

// Server serves one listener.
type Server struct {
	http     *http.Server
	listener net.Listener
	log      *zap.Logger
	done     chan struct{}
}

// Start begins to serve; it ends with Shutdown or Close.
func Start(listener net.Listener, h *http.Server, log *zap.Logger) *Server {
	s := &Server{http: h, listener: listener, log: log, done: make(chan struct{})}
	go s.run()
	return s
}

func (s *Server) run() {
	defer close(s.done)
	if err := s.http.Serve(s.listener); !errors.Is(err, http.ErrServerClosed) {
		s.log.Error("server: It ended.", zap.Stringer("Address", s.listener.Addr()), zap.Error(err))
	}
}

// Shutdown takes no more connections and waits for requests in progress until the context
// ends; then it cuts them and returns an error.
func (s *Server) Shutdown(ctx context.Context) error {
	err := s.http.Shutdown(ctx)
	if err != nil {
		_ = s.http.Close()
	}
	<-s.done
	return errors.Wrap(err, "Server.Shutdown")
}

// Close cuts all connections.
func (s *Server) Close() {
	_ = s.http.Close()
	<-s.done
}
