package server

import (
	"net"
	"os"
	"time"

	"github.com/pkg/errors"

	"github.com/foxtailwharf/foxtailwharf/internal/connection/lastlooker"
)

// deadlineListener is a listener whose Accept can be given a deadline.
type deadlineListener interface {
	net.Listener
	SetDeadline(t time.Time) error
}

// backlog is a listener that can be ended once all established connections are accepted. The end of a listener resets those that wait.
type backlog struct {
	deadlineListener
	looker lastlooker.Looker // belongs to the goroutine that accepts
}

// end makes Accept return all connections that wait, and then net.ErrClosed.
func (b *backlog) end() error {
	return errors.Wrap(b.SetDeadline(time.Now()), "backlog.end")
}

// Accept waits for a connection.
func (b *backlog) Accept() (net.Conn, error) {
	for {
		began := time.Now()
		c, err := b.deadlineListener.Accept()
		if !errors.Is(err, os.ErrDeadlineExceeded) {
			return c, err
		}
		if !b.looker.Next(began, time.Now()) {
			return nil, net.ErrClosed
		}
		if err := b.SetDeadline(b.looker.End()); err != nil {
			return nil, net.ErrClosed
		}
	}
}
