package balancer

import (
	"net/netip"
	"slices"
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

// statement is what a run of an upstream has said of itself. It is kept while the upstream is not
// listed, because a list may lack the upstream for a time.
type statement struct {
	isLeaving bool // to this entry
	pause     pause
	limit     *limit    // for all entries; nil for none
	at        time.Time // of the newest change
}

func (s *statement) isEmpty() bool {
	return !s.isLeaving && s.pause.said.IsZero() && s.limit == nil
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
	s := b.statementOf(sentTo)
	if reply.IsLeaving {
		c.IsLeaving = !s.isLeaving
		s.isLeaving = true // final for the run
	}
	if reply.RetryAfter > 0 {
		c.Pause = b.handlePause(now, sentTo, reply.RetryAfter)
	}
	c.HasLimit = b.handleLimit(now, sentTo, sentAt, reply)
	c.IsReturning = reply.IsAuthentic && !reply.IsNotRun && s.pause.countAnswer(sentAt)
	if c != (Change{}) {
		s.at = now
	}
	return c
}

// statementOf returns the statement of a run, which it adds if there is none.
func (b *Balancer) statementOf(u foxtailwharf.Upstream) *statement {
	r := runOf(u)
	s := b.statements[r]
	if s == nil {
		s = &statement{}
		b.statements[r] = s
	}
	return s
}

// updateStatement sets the statement of an upstream to that of its present run. Answers do not tell the run: a pause
// that was named after the start of that run is its own, though calls were still sent to the run before it.
func (b *Balancer) updateStatement(u *upstream) {
	current, last := u.current(), u.statement
	u.statement = b.statementOf(current)
	if last == nil || last == u.statement || last.pause.namedAt.Before(current.Born) || !last.pause.said.After(u.pause.said) {
		return
	}
	u.pause = last.pause
	b.pauses[runOf(current)] = u.statement
}

// forgetStatements drops empty statements of upstreams that are not listed, and the oldest of the others if
// they are too many.
func (b *Balancer) forgetStatements() {
	var unlisted []run
	for r, s := range b.statements {
		if u := b.byID[r.id]; u != nil && u.statement == s {
			continue
		}
		if s.isEmpty() {
			delete(b.statements, r)
			continue
		}
		unlisted = append(unlisted, r)
	}
	if len(unlisted) <= maxStatements {
		return
	}
	slices.SortFunc(unlisted, func(x, y run) int { return b.statements[x].at.Compare(b.statements[y].at) })
	for _, r := range unlisted[:len(unlisted)-maxStatements] {
		delete(b.statements, r)
		delete(b.pauses, r)
	}
}

// Leaving returns the number of listed upstreams that have said that they are leaving.
func (b *Balancer) Leaving() (count int) {
	for _, u := range b.byID {
		if u.isLeaving {
			count++
		}
	}
	return count
}

// AreLeaving reports whether all upstreams of a service have said that they are leaving, or are listed
// as draining.
func (b *Balancer) AreLeaving(service string) bool {
	isLeaving := false
	for _, u := range b.byService[service] {
		switch {
		case u.isLeaving:
			isLeaving = true
		case !u.IsDraining && !u.isReplaced():
			return false
		}
	}
	return isLeaving
}
