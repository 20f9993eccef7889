package callerlimiter

import (
	"bytes"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"github.com/foxtailwharf/foxtailwharf/internal/connection/lastlooker"
	"github.com/foxtailwharf/foxtailwharf/internal/process/meter"
)

// errRefused means that the head of a request was answered with a refusal.
var errRefused = errors.New("head of the request is refused")

const (
	// interimHead begins the head of an interim response, which is no answer.
	interimHead = "HTTP/1.1 1"
	// closedArriving and closedUnanswered are the labels of connections that are closed with a request which the handler
	// does not have yet, and with one which it has and which was read whole.
	closedArriving   = "Arriving"
	closedUnanswered = "Unanswered"
)

// conn is a caller's connection. net/http reads from it one goroutine at a time. A read returns no
// bytes beyond the end of a head or of a body, so that the next head is counted from its first byte.
type conn struct {
	net.Conn
	limiter *Limiter

	accepted time.Time

	mu        sync.Mutex
	hasServed bool // an answer was written
	phase     Phase
	since     time.Time         // start of the phase
	looker    lastlooker.Looker // of the phase, once its time is over
	lookedAt  time.Time         // when the last read of the inner connection began
	head      headScanner
	bodyBytes int64 // left to read of the request that is served; below 0 if its body is chunked
	chunks    chunkScanner
	pending   []byte    // received and not returned yet
	requested time.Time // read deadline that net/http has set
	applied   time.Time // read deadline of the inner connection
	readEnd   ReadEnd   // of the phase

	isRefused  atomic.Bool // the head is answered; nothing more is read or written
	isArriving atomic.Bool // a part of a head was read, and neither has the handler the request nor was a byte written since
	isOwed     atomic.Bool // the handler has a request, and no byte of an answer was written since
	isLost     atomic.Bool // the caller has ended the connection, or it has failed
}

// Read reads from the connection. An idle connection ends with a timeout; a head that is too slow or
// too long is answered before the read fails.
func (c *conn) Read(p []byte) (int, error) {
	for !c.isRefused.Load() {
		n, err := c.receive(p)
		if n > 0 {
			return c.received(p[:n])
		}
		if !errors.Is(err, os.ErrDeadlineExceeded) {
			c.recordError(err)
			c.endRead(err)
			return 0, err
		}
		isOver, expired := c.checkDeadline()
		if !isOver {
			continue
		}
		c.endRead(err)
		switch expired {
		case PhaseIdle:
			if c.limiter.drainedAt.Load() != nil {
				break
			}
			c.limiter.c.Meter.Increment(meter.CounterCallersClosed + "Idle")
		case PhaseHead:
			c.refuse(headTimeout)
		}
		return 0, err
	}
	return 0, errRefused
}

// Write writes to the connection. It fails after a refusal, since net/http answers a head that has
// ended within a line, too.
func (c *conn) Write(p []byte) (int, error) {
	if c.isRefused.Load() {
		return 0, errRefused
	}
	n, err := c.Conn.Write(p)
	if n > 0 && !bytes.HasPrefix(p, []byte(interimHead)) {
		c.isArriving.Store(false)
		c.isOwed.Store(false)
	}
	if err != nil && !errors.Is(err, os.ErrDeadlineExceeded) {
		c.recordError(err)
	}
	return n, err
}

// recordError records an error that is no timeout. One after Close tells nothing of the caller.
func (c *conn) recordError(err error) {
	if !errors.Is(err, net.ErrClosed) {
		c.isLost.Store(true)
	}
}

// receive reads pending bytes or else from the inner connection.
func (c *conn) receive(p []byte) (int, error) {
	c.mu.Lock()
	if c.phase == PhaseServing && c.bodyBytes > 0 {
		p = p[:min(int64(len(p)), c.bodyBytes)]
	}
	n := copy(p, c.pending)
	c.pending = c.pending[n:]
	c.lookedAt = time.Now()
	c.mu.Unlock()
	if n > 0 || len(p) == 0 {
		return n, nil
	}
	return c.Conn.Read(p)
}

// received accounts for bytes and returns how many of them the reader gets.
func (c *conn) received(p []byte) (int, error) {
	n, isTooLong := c.account(p)
	if !isTooLong {
		return n, nil
	}
	c.refuse(headTooLong)
	return 0, errRefused
}

func (c *conn) account(p []byte) (n int, isTooLong bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.phase == PhaseServing && c.bodyBytes > 0 {
		c.bodyBytes = max(c.bodyBytes-int64(len(p)), 0)
		return len(p), false
	}
	if c.phase == PhaseServing && c.bodyBytes < 0 {
		n, isEnd := c.chunks.scan(p)
		c.putBack(p[n:])
		if isEnd {
			c.bodyBytes = 0
		}
		return n, false
	}
	n, isEnd := c.head.scan(p)
	c.putBack(p[n:])
	if c.phase == PhaseIdle && c.head.bytes > 0 {
		c.isArriving.Store(true)
		c.enter(PhaseHead)
	}
	if c.phase == PhaseHead && c.head.bytes > c.limiter.limits.Load().At(time.Now()).HeaderBytes {
		return 0, true
	}
	if isEnd {
		c.head, c.bodyBytes = headScanner{}, 0
		c.isArriving.Store(true)
		c.enter(PhaseServing)
	}
	return n, false
}

// putBack keeps bytes that the reader does not get yet. The lock must be held.
func (c *conn) putBack(p []byte) {
	c.pending = append(append([]byte(nil), p...), c.pending...)
}

// enter starts a phase. The lock must be held.
func (c *conn) enter(p Phase) {
	c.phase, c.since, c.readEnd = p, time.Now(), ReadEnd{}
	c.looker = lastlooker.Looker{}
	c.apply()
}

// begin notes that a request with a body of a length is served; below 0 if the body is chunked.
func (c *conn) begin(bodyBytes int64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.phase != PhaseServing {
		c.head = headScanner{}
		c.enter(PhaseServing)
	}
	c.isArriving.Store(false)
	c.isOwed.Store(true)
	c.bodyBytes, c.chunks = bodyBytes, chunkScanner{}
}

// answered notes that an answer is written. The next request may have begun to arrive.
func (c *conn) answered() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.bodyBytes, c.hasServed = 0, true
	if c.head.bytes > 0 || len(bytes.TrimLeft(c.pending, "\r\n")) > 0 {
		c.isArriving.Store(true)
		c.enter(PhaseHead)
		return
	}
	c.enter(PhaseIdle)
}

// renew applies limits that have changed.
func (c *conn) renew() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.looker = lastlooker.Looker{}
	c.apply()
}

// checkDeadline is called when a read has timed out. It reports whether the read is over, and which
// phase's time is; PhaseServing means that the deadline of net/http is.
func (c *conn) checkDeadline() (isOver bool, expired Phase) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	if isPast(c.requested, now) {
		return true, PhaseServing
	}
	if !isPast(c.limitDeadline(), now) {
		c.apply()
		return false, c.phase
	}
	if c.looker.Next(c.lookedAt, now) {
		c.apply()
		return false, c.phase
	}
	return true, c.phase
}

func isPast(deadline, now time.Time) bool {
	return !deadline.IsZero() && !now.Before(deadline)
}

// limitDeadline returns when the time of the phase is over; zero for never. The lock must be held.
func (c *conn) limitDeadline() time.Time {
	if end := c.looker.End(); !end.IsZero() {
		return end
	}
	if deadline := c.drainDeadline(); c.phase == PhaseIdle && !deadline.IsZero() {
		return deadline
	}
	return c.limiter.limits.Load().Deadline(c.phase, c.since)
}

// apply sets the earlier of the deadlines of net/http and of the phase. The lock must be held.
func (c *conn) apply() {
	deadline := c.limitDeadline()
	if deadline.IsZero() || (!c.requested.IsZero() && c.requested.Before(deadline)) {
		deadline = c.requested
	}
	if c.isRefused.Load() || deadline.Equal(c.applied) {
		return
	}
	c.applied = deadline
	// It fails only on a closed connection, where reads fail too.
	_ = c.Conn.SetReadDeadline(deadline)
}

// SetReadDeadline sets the deadline of reads for the reader. The limits apply besides.
func (c *conn) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.requested = t
	c.apply()
	return nil
}

// SetDeadline sets the deadline of reads and writes.
func (c *conn) SetDeadline(t time.Time) error {
	if err := c.SetReadDeadline(t); err != nil {
		return err
	}
	return c.SetWriteDeadline(t)
}

// CloseWrite closes the writing side if the inner connection can.
func (c *conn) CloseWrite() error {
	if inner, canClose := c.Conn.(interface{ CloseWrite() error }); canClose {
		return inner.CloseWrite()
	}
	return nil
}

// isBodyRead reports whether no body is left to read of the request that is served.
func (c *conn) isBodyRead() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.bodyBytes == 0
}

// Close closes the connection. A request that has begun to arrive, or that the handler has, and that has no byte of an
// answer is counted and logged, unless its caller has left. In a shutdown net/http closes connections whose request has
// just arrived, and does not serve it.
func (c *conn) Close() error {
	c.limiter.remove(c)
	isArriving, isOwed := c.isArriving.Swap(false), c.isOwed.Swap(false)
	switch {
	case c.isLost.Load() || c.isRefused.Load():
	case isArriving:
		c.recordClosed(closedArriving)
	case isOwed && c.isBodyRead():
		c.recordClosed(closedUnanswered)
	}
	return c.Conn.Close()
}

func (c *conn) recordClosed(label string) {
	c.limiter.c.Meter.Increment(meter.CounterCallersClosed + label)
	ended := Connection{c: c}.LastReadEnd()
	c.limiter.c.Log.Info("callers: connection closed without an answer", zap.String("Request", label), zap.Stringer("Caller", c.RemoteAddr()),
		zap.NamedError("ReadError", ended.Err), zap.Stringer("ReadPhase", ended.Phase))
}
