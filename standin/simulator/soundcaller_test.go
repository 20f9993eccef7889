package simulator_test

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/foxtailwharf/foxtailwharf"
	"github.com/foxtailwharf/foxtailwharf/internal/request/refuser"
	"github.com/foxtailwharf/foxtailwharf/standin"
	"github.com/foxtailwharf/foxtailwharf/standin/simulator"
)

// soundCall is a request that was sent to an entry, and what its caller got.
type soundCall struct {
	id       string
	route    soundRoute
	entry    string
	limit    time.Duration
	isKept   bool // sent on a connection that has carried a call before
	isLeft   bool // the caller has left
	begunAt  time.Time
	sentAt   time.Time // of the last byte; zero if it was not sent whole
	endedAt  time.Time
	status   int  // 0 without a head
	isWhole  bool // the answer, or the refusal, came to its end
	isClosed bool // the answer says that the connection ends with it
	events   int  // of a stream
	isWrong  bool // the answer is not that of the call
	retryIn  time.Duration
	reason   foxtailwharf.Reason // of a refusal
	err      error
}

// soundCaller sends one call after the other, most of them on a connection that it keeps.
type soundCaller struct {
	d      *soundDay
	random *rand.Rand
	name   string
	calls  int
	entry  *simulator.Entry
	conn   net.Conn // nil for none
	reader *bufio.Reader
	idleAt time.Time // when the last answer ended
}

// loop sends calls until the end of the day.
func (c *soundCaller) loop() {
	defer c.disconnect()
	for time.Now().Before(c.d.endsAt) {
		time.Sleep(c.d.pause(c.random))
		call := c.send(soundRoutes()[c.random.IntN(len(soundRoutes()))])
		if call != nil && call.status == http.StatusServiceUnavailable && call.retryIn > 0 && call.retryIn < time.Second {
			c.disconnect()
			time.Sleep(call.retryIn)
			c.send(call.route)
		}
	}
}

func (c *soundCaller) disconnect() {
	if c.conn != nil {
		_ = c.conn.Close()
		c.conn = nil
	}
}

// connect connects to an entry in rotation, unless the connection may be used once more.
func (c *soundCaller) connect() (isKept, isConnected bool) {
	if c.conn != nil && (!c.isOpen() || time.Since(c.idleAt) > c.d.idleLimit()*4/5 || c.random.IntN(12) == 0) {
		c.disconnect()
	}
	if c.conn != nil {
		return true, true
	}
	if c.entry = c.d.pick(c.random); c.entry == nil {
		return false, false
	}
	conn, err := c.d.h.CallerHost().Dial(c.d.h.t.Context(), c.entry.Callers())
	if err != nil {
		return false, false
	}
	c.conn, c.reader = conn, bufio.NewReader(conn)
	return false, true
}

// isOpen reports whether the entry has not closed the connection.
func (c *soundCaller) isOpen() bool {
	if c.conn.SetReadDeadline(time.Now().Add(time.Microsecond)) != nil {
		return false
	}
	_, err := c.reader.Peek(1)
	timeout, isTimeout := err.(net.Error) //nolint:errorlint // The connection is not wrapped.
	return isTimeout && timeout.Timeout()
}

// send sends one call and waits for its answer. It returns nil if no entry takes the connection.
func (c *soundCaller) send(route soundRoute) *soundCall {
	isKept, isConnected := c.connect()
	if !isConnected {
		return nil
	}
	c.calls++
	call := &soundCall{
		id: fmt.Sprintf("%s-%s-%d", route.name, c.name, c.calls), route: route, entry: c.entry.Name, limit: route.limit, isKept: isKept, begunAt: time.Now(),
	}
	if c.random.IntN(4) == 0 {
		call.limit = time.Duration(1000+c.random.IntN(9000)) * time.Millisecond
	}
	c.d.begin(call)
	conn := c.conn
	if c.random.Float64() < c.d.leavers() {
		leave := time.AfterFunc(time.Duration(c.random.IntN(3000))*time.Millisecond, func() {
			c.d.leave(call)
			_ = conn.Close()
		})
		defer leave.Stop()
	}
	if err := c.write(call); err != nil {
		call.err = err
	} else {
		call.sentAt = time.Now()
	}
	c.read(call)
	call.endedAt, c.idleAt = time.Now(), time.Now()
	if !call.isWhole || call.isClosed || call.sentAt.IsZero() {
		c.disconnect()
	}
	return call
}

// write sends the head and the body, in one piece or in some.
func (c *soundCaller) write(call *soundCall) error {
	body := call.id + strings.Repeat("x", c.bodyBytes())
	isChunked := c.random.IntN(3) == 0
	length := fmt.Sprintf("Content-Length: %d", len(body))
	if isChunked {
		length = "Transfer-Encoding: chunked"
	}
	head := fmt.Sprintf("POST /%s/1 HTTP/1.1\r\nHost: h\r\n%s: %s\r\n%s: %s\r\n%s: %d\r\n%s: 100\r\n%s\r\n\r\n", call.route.name,
		standin.HeaderCall, call.id, standin.HeaderKey, simulator.Key, standin.HeaderTimeout, call.limit.Milliseconds(), standin.HeaderPromptTokens, length)
	parts := []string{body}
	if len(body) > 1 && c.random.IntN(3) == 0 {
		at := 1 + c.random.IntN(len(body)-1)
		parts = []string{body[:at], body[at:]}
	}
	text := head
	for n, part := range parts {
		if isChunked {
			part = fmt.Sprintf("%x\r\n%s\r\n", len(part), part)
		}
		if n == 0 {
			text += part
			continue
		}
		if _, err := io.WriteString(c.conn, text); err != nil {
			return err
		}
		time.Sleep(time.Duration(c.random.IntN(400)) * time.Millisecond)
		text = part
	}
	if isChunked {
		text += "0\r\n\r\n"
	}
	_, err := io.WriteString(c.conn, text)
	return err
}

func (c *soundCaller) bodyBytes() int {
	if c.random.IntN(10) == 0 {
		return c.random.IntN(60_000)
	}
	return c.random.IntN(500)
}

// lateAnswer is how long callers of the test wait for an answer beyond their limit, so that one that hangs is found.
const lateAnswer = 1500 * time.Millisecond

// read reads the answer.
func (c *soundCaller) read(call *soundCall) {
	if err := c.conn.SetReadDeadline(call.begunAt.Add(call.limit + lateAnswer)); err != nil {
		call.err = err
		return
	}
	response, err := http.ReadResponse(c.reader, nil)
	if err != nil {
		call.err = err
		return
	}
	defer func() { _ = response.Body.Close() }()
	call.status, call.isClosed = response.StatusCode, response.Close
	if seconds, err := strconv.ParseFloat(response.Header.Get("Retry-After"), 64); err == nil {
		call.retryIn = time.Duration(seconds * float64(time.Second))
	}
	text := &strings.Builder{}
	_, call.err = io.Copy(text, response.Body)
	call.isWhole = call.err == nil
	if call.status != http.StatusOK {
		var problem refuser.Problem
		if json.Unmarshal([]byte(text.String()), &problem) == nil {
			call.reason = foxtailwharf.Reason(problem.Reason)
		}
		return
	}
	call.check(text.String(), response.Header.Get(standin.HeaderCall))
}

// check counts the events of an answer and checks that it is the call's own.
func (call *soundCall) check(text, id string) {
	call.isWrong = id != call.id
	if call.route.service == "plain" {
		call.isWrong = call.isWrong || !strings.HasPrefix(text, call.id)
		return
	}
	for line := range strings.Lines(text) {
		data, isData := strings.CutPrefix(strings.TrimSuffix(line, "\n"), "data: ")
		if !isData {
			continue
		}
		call.events++
		if call.isWhole && data != fmt.Sprintf("%s %d", call.id, call.events) {
			call.isWrong = true
		}
	}
	call.isWrong = call.isWrong || (call.isWhole && call.events != soundEvents(call.id))
}

// soundEvents returns the number of events of the answer to a call.
func soundEvents(call string) int {
	return 4 + int(foxtailwharf.RendezvousScore("events", call)%36)
}
