package callerlimiter

import (
	"fmt"
	"io"
	"net/http"
	"time"

	"go.uber.org/zap"

	"github.com/foxtailwharf/foxtailwharf/internal/process/meter"
)

// Limits of what is still read after a refusal. A connection that is closed with bytes unread is
// reset, which can take the answer away from the caller.
const (
	lingerTimeout = time.Second
	lingerBytes   = 256 << 10
)

// refusal is the answer to a head that breaks a limit. Such a request has not run.
type refusal struct {
	status int
	text   string
	limit  string // as in the metrics
}

// Refusals of heads. Callers may send a request again after status 408, but not after 431.
var (
	headTimeout = refusal{http.StatusRequestTimeout, "the request header did not arrive in time", "HeaderTimeout"}
	headTooLong = refusal{http.StatusRequestHeaderFieldsTooLarge, "the request header is too large", "HeaderBytes"}
)

// refuse writes the answer, and reads on for a bounded time so that it reaches a caller who is still
// sending. The caller closes the connection.
func (c *conn) refuse(r refusal) {
	c.limiter.c.Meter.Increment(meter.CounterCallersClosed + r.limit)
	c.limiter.c.Log.Info("callers: request header refused", zap.String("Limit", r.limit), zap.Stringer("Caller", c.RemoteAddr()))
	deadline := time.Now().Add(lingerTimeout)
	c.isRefused.Store(true)
	if err := c.Conn.SetDeadline(deadline); err != nil {
		return
	}
	_, err := fmt.Fprintf(c.Conn, "HTTP/1.1 %d %s\r\nContent-Type: text/plain; charset=utf-8\r\nConnection: close\r\nContent-Length: %d\r\n\r\n%s",
		r.status, http.StatusText(r.status), len(r.text), r.text)
	if err != nil || c.CloseWrite() != nil {
		return
	}
	// An error means that the caller is gone or the time is over, after which the connection is closed.
	_, _ = io.CopyN(io.Discard, c.Conn, lingerBytes)
}
