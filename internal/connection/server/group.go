package server

import (
	"context"
	"slices"
)

// Group is the servers of one process. They shut down in the reverse order of their start.
type Group struct {
	servers []*Server
}

// Add adds a server that has been started.
func (g *Group) Add(s *Server) {
	g.servers = append(g.servers, s)
}

// Shutdown shuts down all servers, one after the other, and returns the first error.
func (g *Group) Shutdown(ctx context.Context) (err error) {
	for _, s := range slices.Backward(g.servers) {
		if shutErr := s.Shutdown(ctx); shutErr != nil && err == nil {
			err = shutErr
		}
	}
	return err
}

// Close closes all servers without waiting for the requests in progress.
func (g *Group) Close() {
	for _, s := range slices.Backward(g.servers) {
		s.Close()
	}
}
