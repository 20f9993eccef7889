package forwarder_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"

	"github.com/foxtailwharf/foxtailwharf"
	"github.com/foxtailwharf/foxtailwharf/standin"
)

// answerLimit is longer than any call of a plan may take.
const answerLimit = time.Minute

// benchLatency is the latency of the network of a bench.
const benchLatency = time.Millisecond

// plannedCaller makes the calls of a plan on one connection after the other.
type plannedCaller struct {
	r      *scenarioRun
	number int
	calls  []callPlan

	conn   net.Conn // nil without a connection
	reader *bufio.Reader
	isKept bool      // the connection has had an answer
	idleAt time.Time // when the connection became idle
	begun  int       // bytes of the next head that were sent, which are pipelined
	// mayEnd is set if the entry may have given up the rest of a body that was refused.
	mayEnd bool
}

// sentCall is what a caller has sent of a call.
type sentCall struct {
	plan       callPlan
	id         string
	bodyBytes  int
	firstAt    time.Time // arrival of the first byte
	headParts  []sentPart
	isHeadDone bool
	lastAt     time.Time // arrival of the last byte, or the end of the attempt to send it
	isWhole    bool
}

// sentPart is the bytes of a head that have arrived at a time.
type sentPart struct {
	bytes int
	at    time.Time
}

func (c *plannedCaller) run() {
	for n, plan := range c.calls {
		c.wait(plan)
		if c.conn == nil && !c.connect() {
			return
		}
		c.call(n, plan)
	}
	c.drop()
}

// known returns the limits that the caller of a call knows.
func (c *plannedCaller) known(plan callPlan) foxtailwharf.CallLimits {
	h, _ := c.r.limitsSoFar()
	return h.at(time.Now().Add(-plan.lag))
}

// wait waits for a part of the time that a connection may be idle, or that a head which has begun may take.
func (c *plannedCaller) wait(plan callPlan) {
	limit := c.known(plan).IdleTimeout
	if c.begun > 0 {
		limit = c.known(plan).HeaderTimeout
	}
	time.Sleep(limit * time.Duration(plan.idle) / 100)
}

func (c *plannedCaller) connect() bool {
	conn, err := c.r.network.Dial(c.r.t.Context(), address(1))
	if err != nil {
		if _, drainAt := c.r.limitsSoFar(); drainAt.IsZero() {
			c.r.fault("caller %d: %v", c.number, err)
		}
		return false
	}
	c.conn, c.reader, c.isKept, c.idleAt, c.begun, c.mayEnd = conn, bufio.NewReader(conn), false, time.Now(), 0, false
	return true
}

func (c *plannedCaller) drop() {
	if c.conn != nil {
		_ = c.conn.Close()
		c.conn = nil
	}
	c.begun = 0
}

// text returns the head and the body of a call.
func (c *plannedCaller) text(s *sentCall) (head, body string) {
	path, key, known := "/look/", "k1", c.known(s.plan)
	if s.plan.isStream {
		path = "/tale/"
	}
	if s.plan.isRefused {
		key = "unknown"
	}
	s.bodyBytes = int(known.BodyBytes) * s.plan.body / 100
	length := fmt.Sprintf("Content-Length: %d", s.bodyBytes)
	body = strings.Repeat("b", s.bodyBytes)
	if s.plan.isChunked && s.bodyBytes > 0 {
		length = "Transfer-Encoding: chunked"
		body = fmt.Sprintf("%x\r\n%s\r\n0\r\n\r\n", s.bodyBytes, body)
	}
	head = fmt.Sprintf("POST %s%d HTTP/1.1\r\nHost: h\r\n%s: %s\r\n%s: %s\r\n%s: %d\r\n%s\r\nX-Padding: ", path, s.plan.work.Milliseconds(),
		standin.HeaderCall, s.id, standin.HeaderKey, key, standin.HeaderTimeout, s.plan.patience.Milliseconds(), length)
	return head + strings.Repeat("x", max(known.HeaderBytes*s.plan.head/100-len(head)-4, 0)) + "\r\n\r\n", body
}

// split cuts a text into one part more than there are pauses.
func split(text string, pauses []time.Duration) (parts []string) {
	size := max(len(text)/(len(pauses)+1), 1)
	for range pauses {
		n := min(size, len(text))
		parts, text = append(parts, text[:n]), text[n:]
	}
	return append(parts, text)
}

// shorten moves all but some last bytes of the last part to the part before it.
func shorten(parts []string, tail int) []string {
	last := len(parts) - 1
	if moved := len(parts[last]) - tail; tail > 0 && moved > 0 && last > 0 {
		parts[last-1], parts[last] = parts[last-1]+parts[last][:moved], parts[last][moved:]
	}
	return parts
}

// call makes a call and checks its outcome.
func (c *plannedCaller) call(n int, plan callPlan) {
	s := &sentCall{plan: plan, id: fmt.Sprintf("c%d-%d", c.number, n)}
	done := make(chan struct{})
	go c.send(c.conn, s, done)
	_ = c.conn.SetReadDeadline(time.Now().Add(answerLimit))
	response, err := http.ReadResponse(c.reader, nil)
	if err == nil {
		_, err = io.Copy(io.Discard, response.Body)
		_ = response.Body.Close()
	}
	answeredAt := time.Now().Add(-benchLatency)
	if err != nil {
		// A caller that is still sending finds its connection closed.
		_ = c.conn.Close()
	}
	<-done
	c.check(s, response, err, answeredAt)
	h, _ := c.r.limitsSoFar()
	c.mayEnd = c.mayEnd || s.mayBeGivenUp(h)
	c.isKept, c.idleAt = true, latest(answeredAt, s.lastAt)
	if err != nil || response.Close {
		c.drop()
	}
}

// send sends a call, and the first bytes of the next one.
func (c *plannedCaller) send(conn net.Conn, s *sentCall, done chan struct{}) {
	defer close(done)
	head, body := c.text(s)
	sent := 0
	skip := c.begun
	s.firstAt = time.Now().Add(benchLatency)
	if skip > 0 {
		s.firstAt = latest(c.idleAt, s.firstAt.Add(-time.Hour))
	}
	c.begun = 0
	for i, part := range split(head[skip:], s.plan.headPauses) {
		if i > 0 {
			time.Sleep(s.plan.headPauses[i-1])
		}
		if _, err := conn.Write([]byte(part)); err != nil {
			return
		}
		sent += len(part)
		s.lastAt = time.Now().Add(benchLatency)
		s.headParts = append(s.headParts, sentPart{bytes: skip + sent, at: s.lastAt})
	}
	s.isHeadDone = true
	headAt := time.Now()
	parts := shorten(split(body, s.plan.bodyPauses), s.plan.tail)
	parts[len(parts)-1] += beginOfHead[:s.plan.begins]
	for i, part := range parts {
		if i > 0 && s.bodyBytes > 0 {
			time.Sleep(s.plan.bodyPauses[i-1])
		}
		if isLast := i == len(s.plan.bodyPauses); isLast && s.bodyBytes > 0 && s.plan.endsNear != 0 {
			time.Sleep(time.Until(headAt.Add(s.plan.patience + s.plan.endsNear)))
		}
		_, err := conn.Write([]byte(part))
		s.lastAt = time.Now().Add(benchLatency)
		if err != nil {
			return
		}
	}
	s.isWhole = true
	c.begun = s.plan.begins
}

// beginOfHead begins each head.
const beginOfHead = "POST /"

func latest(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
