package balancer

import (
	"time"

	"github.com/foxtailwharf/foxtailwharf"
)

const (
	// maxPause bounds the time for which an upstream is believed to want no calls. One that means
	// minutes is left alone; one that names hours by mistake is tried again.
	maxPause = 5 * time.Minute
	// pauseTolerance is by how much the end of a pause may differ between the responses that name it.
	pauseTolerance = 100 * time.Millisecond
	// returnFraction is the part of a pause over which the entries return after it.
	returnFraction  = 0.25
	minReturnSpread = 50 * time.Millisecond
	maxReturnSpread = time.Second
	// returnInterval is how long an answer holds up the next call after a pause.
	returnInterval = 250 * time.Millisecond
	// callsPerAnswer is how many calls may be sent after a pause for each that is answered, and
	// returnCalls how many in all until the pause is forgotten.
	callsPerAnswer = 2
	returnCalls    = 16
	// pauseMemory is how long after its end a pause is forgotten in any case.
	pauseMemory = 10 * time.Second
)

// pause is a time for which a run of an upstream wants no calls of this entry, and the return of the
// calls after it: one at first, then more with each answer.
type pause struct {
	namedAt time.Time // when the upstream has last named it
	said    time.Time // end of the time for which the upstream wants no calls; zero for no pause
	until   time.Time // no call is sent before: a random time after said
	sent    int       // calls sent since until
	allowed int       // calls that may be sent since until before one is answered
	nextAt  time.Time // from then on one more call may be sent
}

// end returns when the next call may be sent; zero for at once.
func (p *pause) end(now time.Time) time.Time {
	switch {
	case now.Before(p.until):
		return p.until
	case p.sent >= p.allowed && now.Before(p.nextAt):
		return p.nextAt
	default:
		return time.Time{}
	}
}

// countSent counts a call that is sent.
func (p *pause) countSent(now time.Time) {
	if p.said.IsZero() || now.Before(p.until) {
		return
	}
	p.sent++
	p.nextAt = now.Add(returnInterval)
}

// countAnswer allows more calls after an answer to one that was sent at a time. It reports whether it does.
func (p *pause) countAnswer(sentAt time.Time) bool {
	if p.said.IsZero() || sentAt.Before(p.until) {
		return false
	}
	p.allowed += callsPerAnswer
	if p.allowed > returnCalls {
		*p = pause{}
	}
	return true
}

// handlePause records that a run wants no calls for a time. The latest end counts: a shorter time in a
// later response takes back no earlier one. It returns the length of the pause if it was not known.
func (b *Balancer) handlePause(now time.Time, sentTo foxtailwharf.Upstream, retryAfter time.Duration) time.Duration {
	length := min(retryAfter, maxPause)
	s := b.statementOf(sentTo)
	said := now.Add(length)
	later := said.Sub(s.pause.said)
	switch {
	case !s.pause.said.IsZero() && later <= 0:
		return 0
	case s.pause.said.After(now) && later <= pauseTolerance:
		s.pause.namedAt, s.pause.said, s.pause.until = now, said, s.pause.until.Add(later)
		return 0
	}
	spread := min(max(time.Duration(returnFraction*float64(length)), minReturnSpread), maxReturnSpread)
	s.pause = pause{namedAt: now, said: said, until: said.Add(b.randomPart(spread)), allowed: 1}
	b.pauses[runOf(sentTo)] = s
	return length
}

// randomPart returns a random part of a duration.
func (b *Balancer) randomPart(d time.Duration) time.Duration {
	return time.Duration(b.c.Random.Float64() * float64(d))
}

// Paused returns the number of listed upstreams that want no calls at present.
func (b *Balancer) Paused(now time.Time) (count int) {
	for _, u := range b.byID {
		if now.Before(u.pause.until) {
			count++
		}
	}
	return count
}

// IsPaused reports whether the run to which a call was sent wants no calls at present.
func (b *Balancer) IsPaused(now time.Time, sentTo foxtailwharf.Upstream) bool {
	s := b.statements[runOf(sentTo)]
	return s != nil && now.Before(s.pause.until)
}

// NextReturn returns when the next call may be sent to the first upstream that has a pause; zero if there is
// none. It forgets the pauses that have ended.
func (b *Balancer) NextReturn(now time.Time) (next time.Time) {
	for r, s := range b.pauses {
		if now.Sub(s.pause.until) > pauseMemory {
			s.pause = pause{}
		}
		if s.pause.said.IsZero() {
			delete(b.pauses, r)
			continue
		}
		next = earliest(next, s.pause.end(now))
	}
	return next
}

// earliest returns the earlier of two times of which zero ones do not count.
func earliest(a, b time.Time) time.Time {
	if a.IsZero() || (!b.IsZero() && b.Before(a)) {
		return b
	}
	return a
}

// latest returns the later of two times.
func latest(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}

// FirstReturn returns when the first of the upstreams that could take a call but for their pauses may get
// one; zero if there is none.
func (b *Balancer) FirstReturn(now time.Time, req Requirements) time.Time {
	return b.newPicker(now, &req).firstReturn
}

// RetryAfter returns when the caller of a call that cannot be served before an upstream returns should come
// back: then, plus a random time. This keeps within the third of the time left that callers wait, if the return does.
func (b *Balancer) RetryAfter(now, firstReturn, deadline time.Time) time.Duration {
	wait := firstReturn.Sub(now)
	spread := min(max(time.Duration(returnFraction*float64(wait)), minReturnSpread), maxReturnSpread)
	if third := deadline.Sub(now) / 3; wait < third {
		spread = min(spread, third-wait)
	}
	return wait + b.randomPart(spread)
}
