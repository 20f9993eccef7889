package forwarder_test

import (
	"errors"
	"net/http"
	"os"
	"time"
)

// check checks the outcome of a call against the limits that applied.
func (c *plannedCaller) check(s *sentCall, response *http.Response, err error, answeredAt time.Time) {
	h, drainAt := c.r.limitsSoFar()
	isDrained := !drainAt.IsZero() && answeredAt.Add(edge).After(drainAt)
	status := 0
	if response != nil {
		status = response.StatusCode
	}
	c.r.count(http.StatusText(status))
	switch {
	case response != nil && err != nil && answeredAt.Add(edge).After(s.headAt().Add(s.plan.patience)):
		c.r.count("time of the caller is over")
	case response != nil && err != nil:
		c.wrong(s, status, "the answer breaks off: "+err.Error())
	case err != nil:
		c.checkUnanswered(s, h, drainAt, err)
	case status == http.StatusRequestHeaderFieldsTooLarge:
		if !h.mayBeTooLong(s) {
			c.wrong(s, status, "the head is within the limits")
		}
	case status == http.StatusRequestTimeout:
		if end := h.end(s.firstAt, requestGrace, headerTimeout); answeredAt.Add(edge).Before(end) {
			c.wrong(s, status, "the head could take until "+end.Sub(s.firstAt).String())
		}
	case status == http.StatusRequestEntityTooLarge:
		if int64(s.bodyBytes) <= h.largest(s.headAt(), -edge, bodyBytes) {
			c.wrong(s, status, "the body is within the limits")
		}
	case status == http.StatusUnauthorized && s.plan.isRefused:
		c.checkAllowed(s, h, status)
	case status == http.StatusOK && !s.plan.isRefused:
		c.checkAllowed(s, h, status)
		if int64(s.bodyBytes) > h.largest(s.headAt(), edge, bodyBytes) {
			c.wrong(s, status, "the body is over the limits")
		}
	case status == http.StatusServiceUnavailable || status == http.StatusGatewayTimeout:
		if !isDrained && s.lastAt.Sub(s.headAt())+s.plan.work < s.plan.patience-2*time.Second {
			c.wrong(s, status, "there was time for an answer")
		}
	default:
		c.wrong(s, status, "no such answer is due")
	}
}

// headAt returns when the end of the head arrived, or else its first byte.
func (s *sentCall) headAt() time.Time {
	if len(s.headParts) == 0 {
		return s.firstAt
	}
	return s.headParts[len(s.headParts)-1].at
}

// mayBeTooLong reports whether a head may have been longer than the limits when a part of it arrived.
func (h limitHistory) mayBeTooLong(s *sentCall) bool {
	for _, p := range s.headParts {
		if int64(p.bytes) > h.largest(p.at, -edge, headerBytes) {
			return true
		}
	}
	return false
}

// mayBeGivenUp reports whether the body took longer than the call had, or was longer than twice the limit.
func (s *sentCall) mayBeGivenUp(h limitHistory) bool {
	if !s.isHeadDone || s.bodyBytes == 0 {
		return false
	}
	return s.lastAt.Add(edge).After(s.headAt().Add(s.plan.patience)) || int64(s.bodyBytes) > 2*h.largest(s.headAt(), -edge, bodyBytes)
}

// checkAllowed checks a call that was not refused for the limits of its head.
func (c *plannedCaller) checkAllowed(s *sentCall, h limitHistory, status int) {
	for _, p := range s.headParts {
		if int64(p.bytes) > h.largest(p.at, edge, headerBytes) {
			c.wrong(s, status, "the head is over the limits")
		}
	}
	// A limit that grows at the last read of a connection keeps it.
	early := h.early(edge)
	if end := early.end(s.firstAt, requestGrace, headerTimeout); s.headAt().Add(-edge).After(end) {
		c.wrong(s, status, "the head took too long")
	}
	if c.isKept && s.firstAt != c.idleAt {
		if end := early.end(c.idleAt, idleGrace, idleTimeout); s.firstAt.Add(-edge).After(end) {
			c.wrong(s, status, "the connection was idle for too long")
		}
	}
}

// checkUnanswered checks a call whose connection ended without an answer: it was idle for too long, or the entry shut down.
func (c *plannedCaller) checkUnanswered(s *sentCall, h limitHistory, drainAt time.Time, err error) {
	if errors.Is(err, os.ErrDeadlineExceeded) {
		// The network of a bench keeps connections that wait to be accepted when a listener is closed.
		if drainAt.IsZero() || c.isKept || c.idleAt.Add(edge).Before(drainAt) {
			c.wrong(s, 0, "no answer, and the connection is open")
		}
		return
	}
	idleEnd := h.end(c.idleAt, idleGrace, idleTimeout)
	isIdle := s.firstAt.Add(edge).After(idleEnd)
	isDrained := !drainAt.IsZero() && s.firstAt.Add(edge).After(drainAt) && (c.isKept || s.firstAt.Add(edge).After(latest(drainAt, c.idleAt.Add(time.Second))))
	isOver := !drainAt.IsZero() && !s.isWhole && time.Now().Add(edge).After(drainAt.Add(shutdownGrace))
	if isIdle || isDrained || isOver || c.mayEnd {
		return
	}
	c.wrong(s, 0, "the connection ended without an answer ("+err.Error()+"), and could be idle until "+idleEnd.Sub(c.idleAt).String())
}

// wrong records an outcome that is wrong.
func (c *plannedCaller) wrong(s *sentCall, status int, why string) {
	h, drainAt := c.r.limitsSoFar()
	since := func(t time.Time) time.Duration { return t.Sub(h[0].from) }
	c.r.fault("call %s: status %d at %s, %s; first byte at %s, last at %s, idle since %s, whole %t, head %v, body %d bytes, limits %s, shutdown at %s",
		s.id, status, since(time.Now()), why, since(s.firstAt), since(s.lastAt), since(c.idleAt), s.isWhole, len(s.headParts), s.bodyBytes, h.describe(), since(drainAt))
}
