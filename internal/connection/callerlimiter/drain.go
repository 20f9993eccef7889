package callerlimiter

import (
	"context"
	"time"

	"github.com/pkg/errors"
)

// firstRequestWait is how long a connection on which no request has begun stays open while connections are drained:
// its caller has just opened it for one.
const firstRequestWait = time.Second

// Drain ends all connections once they are idle, and returns when there are none. No request that has begun to arrive
// is dropped, as net/http does in a shutdown. It returns an error if ctx ends before. The listener has to be closed before.
func (l *Limiter) Drain(ctx context.Context) error {
	for _, c := range l.beginDrain() {
		c.renew()
	}
	select {
	case <-l.drained:
		return nil
	case <-ctx.Done():
		return errors.Wrap(ctx.Err(), "Limiter.Drain")
	}
}

// beginDrain returns the connections that are open.
func (l *Limiter) beginDrain() []*conn {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	l.drainedAt.Store(&now)
	l.endDrain()
	return l.open()
}

// endDrain ends Drain if no connection is open. The lock must be held.
func (l *Limiter) endDrain() {
	if len(l.conns) == 0 {
		l.end.Do(func() { close(l.drained) })
	}
}

// drainDeadline returns when an idle connection has to end; zero if connections are not drained. The lock must be held.
func (c *conn) drainDeadline() time.Time {
	drainedAt := c.limiter.drainedAt.Load()
	switch {
	case drainedAt == nil:
		return time.Time{}
	case c.hasServed:
		return *drainedAt
	default:
		return latest(*drainedAt, c.accepted.Add(firstRequestWait))
	}
}
