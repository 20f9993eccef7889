package callerlimiter

import (
	"context"
	"time"
)

// ReadEnd is how the last read of a caller's connection that returned no bytes has ended. While a request is served,
// net/http reads in the background, and cancels the context of the request after any error but a timeout of its own.
type ReadEnd struct {
	Err      error // nil if no read has failed since the phase began
	Phase    Phase // of the connection
	At       time.Time
	Deadline time.Time // of the reader in addition to the limits; zero for none
}

// Connection is the connection of a request. The zero value is one without limits, of which nothing is known.
type Connection struct {
	c *conn
}

// ConnectionOf returns the connection of a request from its context.
func ConnectionOf(ctx context.Context) Connection {
	c, _ := ctx.Value(connKey{}).(*conn)
	return Connection{c: c}
}

// LastReadEnd returns how the last read of the connection has ended.
func (c Connection) LastReadEnd() ReadEnd {
	if c.c == nil {
		return ReadEnd{}
	}
	c.c.mu.Lock()
	defer c.c.mu.Unlock()
	return c.c.readEnd
}

// endRead notes how a read without bytes ends.
func (c *conn) endRead(err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.readEnd = ReadEnd{Err: err, Phase: c.phase, At: time.Now(), Deadline: c.requested}
}
