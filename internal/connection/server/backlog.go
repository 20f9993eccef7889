package server

import (
	"net"
	"os"
	"time"

	"github.com/pkg/errors"
)

const (
	// emptyTime is how long no connection must have waited so that the listener can be closed.
	emptyTime = 10 * time.Millisecond
	// maxRounds bounds how often a process that had no time to look for connections does so once more.
	maxRounds = 3
)

// deadlineListener is a listener whose Accept can be given a deadline.
type deadlineListener interface {
	net.Listener
	SetDeadline(t time.Time) error
}

// backlog is a listener that can be ended once all established connections are accepted. The end of a listener resets those that wait.
type backlog struct {
	deadlineListener
	deadline chan time.Time // of Accept, once the listener is to end
}

// end makes Accept return all connections that wait, and then net.ErrClosed.
func (b *backlog) end() error {
	deadline := time.Now().Add(emptyTime)
	if err := b.SetDeadline(deadline); err != nil {
		return errors.Wrap(err, "backlog.end")
	}
	b.deadline <- deadline
	return nil
}

// Accept waits for a connection.
func (b *backlog) Accept() (net.Conn, error) {
	started := time.Now()
	for range maxRounds {
		c, err := b.deadlineListener.Accept()
		if !errors.Is(err, os.ErrDeadlineExceeded) {
			return c, err
		}
		deadline := <-b.deadline
		if started.Before(deadline) {
			break
		}
		// Accept has looked for no connection after its deadline.
		started = time.Now()
		deadline = started.Add(emptyTime)
		b.deadline <- deadline
		if err := b.SetDeadline(deadline); err != nil {
			break
		}
	}
	return nil, net.ErrClosed
}
