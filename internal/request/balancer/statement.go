package balancer

import (
	"net/netip"
	"time"

	"github.com/foxtailwharf/foxtailwharf"
)

// maxStatements bounds the statements that are kept of upstreams that are not listed.
const maxStatements = 4096

// run identifies a run of an upstream: it may start again under its ID, at its address.
type run struct {
	id         string
	address    netip.AddrPort
	bornMillis int64
}

func runOf(u foxtailwharf.Upstream) run {
	return run{id: u.ID, address: u.Address, bornMillis: u.Born.UnixMilli()}
}

// statement is what a run of an upstream has said of itself to this entry. It is kept while the
// upstream is not listed, because a list may lack the upstream for a time.
type statement struct {
	isLeaving bool
	pause     pause
	at        time.Time // of the newest change
}

// leaves reports whether a statement, which may be nil, says that the upstream is leaving.
func (s *statement) leaves() bool {
	return s != nil && s.isLeaving
}

// Change is what this entry did not know of an upstream before a response.
type Change struct {
	HasLimit  bool // a limit, or its end
	IsLeaving bool
	// Pause is how long the upstream wants no calls; 0 if that is known or it does not say so.
	Pause time.Duration
	// IsReturning is true if more calls may be sent after a pause.
	IsReturning bool
}

// HandleReply records what a response to a call that was sent to an upstream at a time says of the
// upstream. It is the only place that does.
func (b *Balancer) HandleReply(now time.Time, sentTo foxtailwharf.Upstream, sentAt time.Time, reply foxtailwharf.Reply) (c Change) {
	if reply.IsMisdirected {
		return c
	}
	if reply.IsLeaving {
		c.IsLeaving = b.handleLeaving(now, sentTo)
	}
	if reply.RetryAfter > 0 {
		c.Pause = b.handlePause(now, sentTo, reply.RetryAfter)
	}
	if u := b.state(sentTo); u != nil {
		c.HasLimit = b.handleLimit(now, u, sentAt, reply)
		c.IsReturning = u.statement != nil && reply.IsAuthentic && !reply.IsNotRun && u.statement.pause.countAnswer(sentAt)
	}
	return c
}

// state returns the state of the run of an upstream to which a call was sent; nil if that run is no
// longer listed.
func (b *Balancer) state(sentTo foxtailwharf.Upstream) *upstream {
	u := b.byID[sentTo.ID]
	if u == nil || runOf(u.current()) != runOf(sentTo) {
		return nil
	}
	return u
}

// statementOf returns the statement of a run, which it adds if there is none.
func (b *Balancer) statementOf(sentTo foxtailwharf.Upstream) *statement {
	r := runOf(sentTo)
	s := b.statements[r]
	if s == nil {
		s = &statement{}
		b.statements[r] = s
	}
	if u := b.state(sentTo); u != nil {
		u.statement = s
	}
	return s
}

// forgetStatements drops the oldest statements of upstreams that are not listed if they are too many.
func (b *Balancer) forgetStatements() {
	for len(b.statements) > len(b.byID)+maxStatements {
		var oldest run
		var found *statement
		for r, s := range b.statements {
			u := b.byID[r.id]
			isListed := u != nil && u.statement == s
			if !isListed && (found == nil || s.at.Before(found.at)) {
				oldest, found = r, s
			}
		}
		delete(b.statements, oldest)
		delete(b.pauses, oldest)
	}
}

// Leaving returns the number of listed upstreams that have said that they are leaving.
func (b *Balancer) Leaving() (count int) {
	for _, u := range b.byID {
		if u.statement.leaves() {
			count++
		}
	}
	return count
}

// handleLeaving records that a run is leaving. This is final for the run. It reports whether it was
// not known.
func (b *Balancer) handleLeaving(now time.Time, sentTo foxtailwharf.Upstream) (isNew bool) {
	s := b.statementOf(sentTo)
	if s.isLeaving {
		return false
	}
	s.isLeaving, s.at = true, now
	return true
}

// AreLeaving reports whether all upstreams of a service have said that they are leaving, or are listed
// as draining.
func (b *Balancer) AreLeaving(service string) bool {
	isLeaving := false
	for _, u := range b.byService[service] {
		switch {
		case u.statement.leaves():
			isLeaving = true
		case !u.IsDraining && !u.isReplaced:
			return false
		}
	}
	return isLeaving
}
