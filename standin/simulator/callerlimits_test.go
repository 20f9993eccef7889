package simulator_test

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/foxtailwharf/foxtailwharf"
	"github.com/foxtailwharf/foxtailwharf/standin"
	"github.com/foxtailwharf/foxtailwharf/standin/simulator"
)

// limitsBound is the time within which a change of the limits has to apply.
const limitsBound = 2 * time.Second

// callerConn is a connection of a caller who writes requests byte by byte.
type callerConn struct {
	net.Conn
	t      *testing.T
	reader *bufio.Reader
	calls  int
}

// connect connects to an entry.
func (h *harness) connect(entry *simulator.Entry) *callerConn {
	h.t.Helper()
	inner, err := h.CallerHost().Dial(h.t.Context(), entry.Callers())
	if err != nil {
		h.t.Fatal(err)
	}
	return &callerConn{Conn: inner, t: h.t, reader: bufio.NewReader(inner)}
}

// head returns a request head of a size in bytes; 0 for one without padding.
func (c *callerConn) head(size, bodyBytes int) string {
	c.calls++
	head := fmt.Sprintf("POST /chat/1 HTTP/1.1\r\nHost: h\r\n%s: %p-%d\r\n%s: %s\r\nContent-Length: %d\r\nX-Padding: ",
		standin.HeaderCall, c, c.calls, standin.HeaderKey, simulator.Key, bodyBytes)
	return head + strings.Repeat("x", max(size-len(head)-4, 0)) + "\r\n\r\n"
}

func (c *callerConn) send(text string) {
	c.t.Helper()
	if _, err := c.Write([]byte(text)); err != nil {
		c.t.Errorf("write: %v", err)
	}
}

// call sends a request with a head and a body of some size and returns the status of the answer.
func (c *callerConn) call(headBytes, bodyBytes int) int {
	c.t.Helper()
	c.send(c.head(headBytes, bodyBytes) + strings.Repeat("x", bodyBytes))
	return c.answer()
}

// answer reads an answer and returns its status; 0 if the connection ends instead.
func (c *callerConn) answer() int {
	c.t.Helper()
	response, err := http.ReadResponse(c.reader, nil)
	if err != nil {
		return 0
	}
	defer func() { _ = response.Body.Close() }()
	if _, err := io.Copy(io.Discard, response.Body); err != nil {
		c.t.Errorf("the answer with status %d ends early: %v", response.StatusCode, err)
	}
	return response.StatusCode
}

// openFor returns how long the connection stays open from now on, if it sends nothing; at most a time.
func (c *callerConn) openFor(limit time.Duration) time.Duration {
	c.t.Helper()
	started := time.Now()
	if err := c.SetReadDeadline(started.Add(limit)); err != nil {
		c.t.Error(err)
	}
	if _, err := c.reader.ReadByte(); err == nil || errors.Is(err, net.ErrClosed) {
		c.t.Errorf("read: %v, want the end of the connection", err)
	}
	if err := c.SetReadDeadline(time.Time{}); err != nil {
		c.t.Error(err)
	}
	return time.Since(started)
}

// limit puts limits for callers in force, and returns before they are.
func (h *harness) limit(version int64, limits foxtailwharf.CallLimits) {
	c := h.Configuration(version, simulator.Key)
	c.Limits = limits
	h.Store.PutConfiguration(c)
}

// callerLimits are the limits of the tests. The limits before them are the largest ones.
var callerLimits = foxtailwharf.CallLimits{HeaderBytes: 600, BodyBytes: 100, HeaderTimeout: time.Second, IdleTimeout: 4 * time.Second}

// runLimited runs a scenario with a caller who was connected before callerLimits applied.
func runLimited(t *testing.T, scenario func(h *harness, c *callerConn)) {
	t.Helper()
	run(t, simulator.Config{Entries: 1, Engines: 2, Slots: 8, Events: 3}, 0, func(h *harness) {
		c := h.connect(h.Entries[0])
		c.check(0, 1, http.StatusOK)
		h.limit(2, callerLimits)
		time.Sleep(limitsBound)
		scenario(h, c)
		if err := c.Close(); err != nil {
			t.Error(err)
		}
	})
}

// check sends a request with a head and a body of some size, and checks the status of the answer.
func (c *callerConn) check(headBytes, bodyBytes, want int) {
	c.t.Helper()
	if status := c.call(headBytes, bodyBytes); status != want {
		c.t.Errorf("status %d for a head of %d bytes and a body of %d, want %d", status, headBytes, bodyBytes, want)
	}
}

// TestCallersSizesAreLimited guards against limits of sizes that do not apply, or not to connections
// that are open already.
func TestCallersSizesAreLimited(t *testing.T) {
	t.Parallel()
	tests := []struct {
		name                 string
		headBytes, bodyBytes int
		want                 int
	}{
		{"largest head", callerLimits.HeaderBytes, 1, http.StatusOK},
		{"head too large", callerLimits.HeaderBytes + 1, 1, http.StatusRequestHeaderFieldsTooLarge},
		{"head above the bound", foxtailwharf.MaxHeaderBytes + 1, 1, http.StatusRequestHeaderFieldsTooLarge},
		{"largest body", 0, int(callerLimits.BodyBytes), http.StatusOK},
		{"body too large", 0, int(callerLimits.BodyBytes) + 1, http.StatusRequestEntityTooLarge},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			runLimited(t, func(_ *harness, c *callerConn) { c.check(tt.headBytes, tt.bodyBytes, tt.want) })
		})
	}
}

// TestCallersIdleTimeIsLimited guards against a limit of idle time that does not apply to open
// connections.
func TestCallersIdleTimeIsLimited(t *testing.T) {
	t.Parallel()
	runLimited(t, func(_ *harness, c *callerConn) {
		c.check(0, 1, http.StatusOK)
		if open := c.openFor(time.Minute); open < callerLimits.IdleTimeout || open > callerLimits.IdleTimeout+time.Second {
			t.Errorf("an idle connection was open for %s, want %s", open, callerLimits.IdleTimeout)
		}
	})
}

// TestCallersHeadTimeIsLimited guards against a limit of the time of a head that does not apply to
// open connections.
func TestCallersHeadTimeIsLimited(t *testing.T) {
	t.Parallel()
	runLimited(t, func(_ *harness, c *callerConn) {
		c.send("POST /chat/1 ")
		started := time.Now()
		status, elapsed := c.answer(), time.Since(started)
		if status != http.StatusRequestTimeout || elapsed < callerLimits.HeaderTimeout || elapsed > 2*callerLimits.HeaderTimeout {
			t.Errorf("status %d after %s, want 408 after %s", status, elapsed, callerLimits.HeaderTimeout)
		}
		if open := c.openFor(time.Minute); open > 2*time.Second {
			t.Errorf("the connection was open for %s after the refusal", open)
		}
	})
}

// idleChange is a change of the limit of idle time beside a connection on which a request is sent
// after four fifths of a limit.
type idleChange struct {
	name          string
	before, after time.Duration
	idle          time.Duration // from an answer to the next request
	changeAt      time.Duration // after the answer
}

// TestIdleCallersBesideChange guards against connections that are closed although they were idle for
// no more than four fifths of a limit that a caller may know.
func TestIdleCallersBesideChange(t *testing.T) {
	t.Parallel()
	const short, long = 3 * time.Second, 15 * time.Second
	tests := []idleChange{
		{"long before, shrinking", long, short, long * 4 / 5, long*4/5 + time.Second},
		{"just before, shrinking", long, short, long * 4 / 5, long*4/5 - 10*time.Millisecond},
		{"known for half a second, shrinking", long, short, long * 4 / 5, long*4/5 - 500*time.Millisecond},
		{"after, shrinking", long, short, short * 4 / 5, 0},
		{"midway, shrinking", long, short, short * 4 / 5, time.Second},
		{"before, growing", short, long, short * 4 / 5, short},
		{"around, growing", short, long, long * 4 / 5, short * 4 / 5},
		{"after, growing", short, long, long * 4 / 5, 0},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			run(t, simulator.Config{Entries: 1, Engines: 2, Slots: 8, Events: 3}, 0, tt.check)
		})
	}
}

func (i idleChange) check(h *harness) {
	h.limit(2, foxtailwharf.CallLimits{IdleTimeout: i.before})
	time.Sleep(limitsBound)
	c := h.connect(h.Entries[0])
	c.check(0, 1, http.StatusOK)
	h.callers.Go(func() {
		time.Sleep(i.changeAt)
		h.limit(3, foxtailwharf.CallLimits{IdleTimeout: i.after})
	})
	time.Sleep(i.idle)
	c.check(0, 1, http.StatusOK)
	h.callers.Wait()
	time.Sleep(limitsBound)
	// The bound on the far side holds, too.
	if open := c.openFor(time.Minute); open > i.after {
		h.t.Errorf("open for %s after the change and its bound, want at most %s", open, i.after)
	}
	if err := c.Close(); err != nil {
		h.t.Error(err)
	}
}
