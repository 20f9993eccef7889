package callerlimiter_test

import (
	"net"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/foxtailwharf/foxtailwharf"
)

// pausedListener accepts connections of a process that has no time for a while.
type pausedListener struct {
	net.Listener
	until atomic.Pointer[time.Time] // nil before the process has no time
	pause time.Duration             // between the setting of a deadline and the next read, from then on
}

func (l *pausedListener) Accept() (net.Conn, error) {
	inner, err := l.Listener.Accept()
	return &pausedConn{Conn: inner, l: l}, err
}

// pausedConn is a connection of such a process. Like the network stack's, its deadlines go before what has arrived.
type pausedConn struct {
	net.Conn
	l        *pausedListener
	mu       sync.Mutex
	deadline time.Time
	arrived  []byte
}

func (c *pausedConn) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.deadline = t
	return c.Conn.SetReadDeadline(t)
}

func (c *pausedConn) isOver() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return !c.deadline.IsZero() && !time.Now().Before(c.deadline)
}

func (c *pausedConn) Read(p []byte) (int, error) {
	if c.l.until.Load() != nil {
		time.Sleep(c.l.pause)
	}
	if c.isOver() {
		return 0, os.ErrDeadlineExceeded
	}
	if len(c.arrived) == 0 {
		n, err := c.Conn.Read(p)
		if n == 0 {
			return n, err
		}
		c.arrived = append(c.arrived, p[:n]...)
	}
	if until := c.l.until.Load(); until != nil {
		time.Sleep(time.Until(*until))
		if c.isOver() {
			return 0, os.ErrDeadlineExceeded
		}
	}
	n := copy(p, c.arrived)
	c.arrived = c.arrived[n:]
	return n, nil
}

// TestRequestWaitsWhileProcessHasNoTime guards against connections that are closed with a whole request that waits in them, since the
// process had no time to read it before the connection's time was over, nor for a moment after it.
func TestRequestWaitsWhileProcessHasNoTime(t *testing.T) {
	tests := []struct {
		name  string
		pause time.Duration
	}{
		{"once", 0},
		{"twice", 15 * time.Millisecond},
		{"twice, for long", 300 * time.Millisecond},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			inner, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			l := &pausedListener{Listener: inner, pause: tt.pause}
			b := &bench{t: t, dial: func() (net.Conn, error) { return net.Dial("tcp", inner.Addr().String()) }}
			b.start(l)
			defer b.server.Close()
			b.set(foxtailwharf.CallLimits{IdleTimeout: time.Second})
			time.Sleep(2 * time.Second)
			c := b.connect()
			c.send(get("/1", 0))
			c.check(http.StatusOK, "/1")
			time.Sleep(500 * time.Millisecond)
			until := time.Now().Add(time.Second)
			l.until.Store(&until)
			c.send(get("/2", 0))
			c.check(http.StatusOK, "/2")
		})
	}
}
