package balancer

import (
	"slices"
	"time"

	"github.com/foxtailwharf/foxtailwharf"
)

// limit is what this entry knows of the limit that an upstream has named for all processes together.
// Calls are sent there only with permits of the entry that keeps it.
type limit struct {
	perSecond float64
	namedAt   time.Time // newest response that names it
	learnedAt time.Time // a response to an earlier call does not lift it
	permits   []time.Time
	unused    int       // permits that have expired
	batch     int       // permits that the next request asks for, beyond one
	retryAt   time.Time // no permit is granted before
	isWanted  bool      // a call would have been sent with a permit
	isPatient bool      // the call could not go elsewhere
	isAsking  bool
	isUntold  bool // the entry that keeps the limit may not know it
}

// How long a call waits for a permit: briefly if it can go elsewhere, and longer if it cannot.
const (
	shortWait = 20 * time.Millisecond
	longWait  = time.Second
)

// MaxBatch is the most permits that one request asks for. Requests ask for more each time that all permits were
// used, and for fewer when some were not.
const MaxBatch = 8

// within returns how long the call that wants a permit can wait for it.
func (l *limit) within() time.Duration {
	if l.isPatient {
		return longWait
	}
	return shortWait
}

// hasPermit drops expired permits and reports whether one is left.
func (l *limit) hasPermit(now time.Time) bool {
	held := len(l.permits)
	l.permits = slices.DeleteFunc(l.permits, func(until time.Time) bool { return now.After(until) })
	if expired := held - len(l.permits); expired > 0 {
		l.unused += expired
		l.batch /= 2
	}
	return len(l.permits) > 0
}

// usePermit spends the oldest permit.
func (l *limit) usePermit(now time.Time) {
	if !l.hasPermit(now) {
		return
	}
	if l.permits = l.permits[1:]; len(l.permits) == 0 {
		l.batch = min(2*l.batch+1, MaxBatch-1)
	}
}

// Limited returns the number of upstreams that have named a limit.
func (b *Balancer) Limited() (count int) {
	for _, u := range b.byID {
		if u.limit != nil {
			count++
		}
	}
	return count
}

// Ask is a request to the entry that keeps the limit of an upstream.
type Ask struct {
	Upstream foxtailwharf.Upstream
	Request  foxtailwharf.PermitRequest
}

// handleLimit records whether a response to a call that was sent at a time names a limit. It reports
// whether this entry knew otherwise.
func (b *Balancer) handleLimit(now time.Time, sentTo foxtailwharf.Upstream, sentAt time.Time, reply foxtailwharf.Reply) (isNew bool) {
	s := b.statementOf(sentTo)
	switch {
	case reply.HasLimit && (reply.IsAuthentic || reply.IsNotRun):
		return b.name(now, s, reply.Limit, now, true)
	case !reply.HasLimit && reply.IsAuthentic && !reply.IsNotRun && s.limit != nil && sentAt.After(s.limit.learnedAt):
		s.limit = nil
		if u := b.byID[sentTo.ID]; u != nil && u.statement == s {
			b.lifted = append(b.lifted, liftedLimit{upstream: u.Upstream, at: now})
			b.announceAsks()
		}
		return true
	default:
		return false
	}
}

// liftedLimit is a limit of which the entry that keeps it has to be told that it is lifted.
type liftedLimit struct {
	upstream foxtailwharf.Upstream
	at       time.Time
}

// name sets the limit of an upstream. It reports whether the limit has changed.
func (b *Balancer) name(now time.Time, s *statement, perSecond float64, namedAt time.Time, isUntold bool) (isNew bool) {
	if s.limit == nil {
		s.limit = &limit{learnedAt: now}
		isNew = true
	}
	l := s.limit
	if namedAt.Before(l.namedAt) {
		return false
	}
	isNew = isNew || l.perSecond != perSecond
	l.perSecond, l.namedAt = perSecond, namedAt
	if isNew && isUntold {
		l.isUntold = true
		b.announceAsks()
	}
	return isNew
}

// LearnLimit takes over a limit, or its end, that another entry has announced. It reports whether this
// entry knew otherwise.
func (b *Balancer) LearnLimit(now time.Time, named foxtailwharf.NamedLimit) (isNew bool) {
	u := b.byID[named.Upstream]
	if u == nil || u.Born.UnixMilli() != named.Born.UnixMilli() {
		return false
	}
	at := now.Add(-named.Age)
	if !named.IsLifted {
		return b.name(now, u.statement, named.PerSecond, at, false)
	}
	if u.limit == nil || at.Before(u.limit.namedAt) {
		return false
	}
	u.limit = nil
	return true
}

// TakeAsks returns the requests that are due. Each has to be answered with HandlePermit.
func (b *Balancer) TakeAsks(now time.Time) (asks []Ask) {
	if !b.hasAsks {
		return nil
	}
	b.hasAsks = false
	for _, l := range b.lifted {
		asks = append(asks, Ask{Upstream: l.upstream, Request: foxtailwharf.PermitRequest{Limit: foxtailwharf.NamedLimit{
			Upstream: l.upstream.ID, Born: l.upstream.Born, IsLifted: true, Age: now.Sub(l.at),
		}}})
	}
	b.lifted = nil
	for _, u := range b.byID {
		l := u.limit
		if l == nil || l.isAsking || (!l.isUntold && !l.isWanted) {
			continue
		}
		request := foxtailwharf.PermitRequest{
			Limit:    foxtailwharf.NamedLimit{Upstream: u.ID, Born: u.Born, PerSecond: l.perSecond, Age: now.Sub(l.namedAt)},
			IsWanted: l.isWanted, Calls: 1 + l.batch, Within: l.within(), Unused: l.unused,
		}
		l.isAsking, l.isWanted, l.isPatient, l.isUntold, l.unused = true, false, false, false, 0
		asks = append(asks, Ask{Upstream: u.current(), Request: request})
	}
	return asks
}

// HandlePermit records the answer to a request. A granted permit has to be valid from now on.
func (b *Balancer) HandlePermit(now time.Time, asked foxtailwharf.Upstream, p foxtailwharf.Permit) {
	s := b.statements[runOf(asked)]
	if s == nil || s.limit == nil {
		return
	}
	l := s.limit
	l.isAsking, l.isWanted, l.isPatient = false, false, false
	if l.isUntold {
		b.announceAsks()
	}
	switch {
	case p.IsLifted:
		s.limit = nil
	case p.IsGranted:
		for range max(p.Calls, 1) {
			l.permits = append(l.permits, now.Add(foxtailwharf.PermitLife))
		}
	case p.RetryIn > 0:
		l.retryAt = now.Add(p.RetryIn)
	}
}

// AskFor makes a request for a permit due if the call would rather be sent to an upstream that has named
// a limit. It returns the ID of the upstream; empty if there is none or a request is under way already.
func (b *Balancer) AskFor(now time.Time, req Requirements) string {
	if !slices.ContainsFunc(b.byService[req.Service], func(u *upstream) bool { return u.limit != nil }) {
		return ""
	}
	p := b.newPicker(now, &req)
	_, in, _ := p.result()
	if !p.wouldPreferLimited(in) || !b.wantPermit(p.best[limited].limit, in == limited) {
		return ""
	}
	return p.best[limited].ID
}

// wantPermit makes a request for a permit due, unless one is or is under way.
func (b *Balancer) wantPermit(l *limit, isPatient bool) (isNew bool) {
	l.isPatient = l.isPatient || isPatient
	if l.isWanted || l.isAsking {
		return false
	}
	l.isWanted = true
	b.announceAsks()
	return true
}

// announceAsks makes known that TakeAsks has requests.
func (b *Balancer) announceAsks() {
	b.hasAsks = true
	if b.c.OnAsk != nil {
		b.c.OnAsk()
	}
}

// IsLimited reports whether no upstream can take a call because of the limits that upstreams have
// named alone: this entry has no permit, and the entries that keep the limits have just refused one.
func (b *Balancer) IsLimited(now time.Time, req Requirements) (isLimited bool) {
	p := picker{b: b, now: now, req: &req, oldestAllowed: b.oldestAllowed(now, req.Service)}
	for _, u := range b.byService[req.Service] {
		if age := u.reportAge(now); !p.isEligible(u, age) || !u.isReady(age) || !u.pause.end(now).IsZero() {
			continue
		}
		if u.limit == nil || !u.limit.retryAt.After(now) || u.limit.hasPermit(now) {
			return false
		}
		isLimited = true
	}
	return isLimited
}
