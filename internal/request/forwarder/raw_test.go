package forwarder_test

import (
	"net"
	"sync"
)

// rawUpstream is an upstream whose connections a function serves byte by byte. The function owns the
// connection and must close it.
type rawUpstream struct {
	listener net.Listener
	serve    func(conn net.Conn)
	done     sync.WaitGroup
}

// raw adds an upstream whose connections are served by a function.
func (b *bench) raw(n int, serve func(conn net.Conn)) *rawUpstream {
	listener, err := b.network.Listen(b.t.Context(), address(n))
	if err != nil {
		b.t.Fatal(err)
	}
	u := &rawUpstream{listener: listener, serve: serve}
	u.done.Go(u.run)
	b.view.Upstreams = append(b.view.Upstreams, upstreamAt(n))
	b.update()
	return u
}

func (u *rawUpstream) run() {
	for {
		conn, err := u.listener.Accept()
		if err != nil {
			return
		}
		u.done.Go(func() { u.serve(conn) })
	}
}

// close waits until all connections are closed.
func (u *rawUpstream) close() {
	_ = u.listener.Close()
	u.done.Wait()
}
