// Package server runs an HTTP server in the background and waits for its end on shutdown.
package server

import (
	"context"
	"net"
	"net/http"
	"sync/atomic"

	"github.com/pkg/errors"
	"go.uber.org/zap"
)

// Config holds the parts of a Server.
type Config struct {
	Listener net.Listener
	HTTP     *http.Server
	// Drain ends the connections at a shutdown and returns when there are none, or with an error once its context ends. Without
	// it net/http does that, which drops the requests that arrive meanwhile.
	Drain func(ctx context.Context) error
	Log   *zap.Logger
}

// Server is an HTTP server that runs on one listener.
type Server struct {
	c          Config
	backlog    *backlog // nil if the listener has no deadlines
	isStopping atomic.Bool
	done       chan struct{}
}

// Start serves in the background until Shutdown or Close is called, which also close the listener.
// If the listener fails, the error is only logged.
func Start(c Config) *Server {
	s := &Server{c: c, done: make(chan struct{})}
	if inner, hasDeadline := c.Listener.(deadlineListener); hasDeadline && c.Drain != nil {
		s.backlog = &backlog{deadlineListener: inner}
		s.c.Listener = s.backlog
	}
	go s.run()
	return s
}

func (s *Server) run() {
	defer close(s.done)
	if err := s.c.HTTP.Serve(s.c.Listener); !errors.Is(err, http.ErrServerClosed) && !s.isStopping.Load() {
		s.c.Log.Error("server: stopped accepting connections after an error", zap.Stringer("Address", s.c.Listener.Addr()), zap.Error(err))
	}
}

// drain stops accepting connections and drains those that are open.
func (s *Server) drain(ctx context.Context) {
	s.isStopping.Store(true)
	s.empty(ctx)
	if err := s.c.Listener.Close(); err != nil {
		s.c.Log.Warn("server: listener cannot be closed", zap.Error(err))
	}
	<-s.done
	if err := s.c.Drain(ctx); err != nil {
		s.c.Log.Warn("server: connections are open at the end of the shutdown", zap.Error(err))
	}
}

// empty accepts the connections that wait.
func (s *Server) empty(ctx context.Context) {
	if s.backlog == nil {
		return
	}
	if err := s.backlog.end(); err != nil {
		s.c.Log.Debug("server: connections that wait are not accepted", zap.Error(err))
		return
	}
	select {
	case <-s.done:
	case <-ctx.Done():
	}
}

// Shutdown stops accepting connections and waits for the requests in progress. If the context ends
// first, it closes their connections and returns an error.
func (s *Server) Shutdown(ctx context.Context) error {
	if s.c.Drain != nil {
		s.drain(ctx)
	}
	err := s.c.HTTP.Shutdown(ctx)
	if err != nil {
		// net/http looks each half second whether all requests have ended, and not at the end of the context.
		err = s.c.HTTP.Shutdown(ctx)
	}
	if err != nil {
		_ = s.c.HTTP.Close()
	}
	<-s.done
	return errors.Wrap(err, "Server.Shutdown")
}

// Close closes the listener and all connections without waiting for the requests in progress.
func (s *Server) Close() {
	_ = s.c.HTTP.Close()
	<-s.done
}
