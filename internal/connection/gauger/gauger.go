// Package gauger estimates from the times in datagrams how long they wait in queues on their
// way. Each datagram bears its sender's clock at its sending; the clocks of two machines
// differ by an unknown but steady amount, so that the shortest difference seen from a sender
// lately is taken for a way without queues, and what goes beyond it is the wait. It answers
// links that are full or have become narrow: calls that queue before them come late, whoever
// sends them. It does no I/O and holds no clock.
package gauger

import (
	"net/netip"
	"slices"
	"time"
)

// Constants of gauging.
const (
	// span is how long a shortest difference counts, in halves: the last one and this one.
	span = 5 * time.Second
	// samples is the number of datagrams whose shortest wait counts.
	samples = 3
	// recent is how long a datagram says something about the queues of now.
	recent = 1200 * time.Millisecond
)

// Gauger estimates the waits of datagrams from many senders.
type Gauger struct {
	senders map[netip.Addr]*sender
}

// sender is what is known of the datagrams of one machine.
type sender struct {
	last    time.Duration // shortest difference of the span before
	this    time.Duration // and of this span
	began   time.Time     // this span
	hasLast bool
	delays  [samples]time.Duration // of the last datagrams
	count   int                    // of datagrams
	heardAt time.Time
}

// delay returns the shortest of the last waits: a process that was late to read is not a full
// link.
func (s *sender) delay() time.Duration {
	return slices.Min(s.delays[:min(s.count, samples)])
}

// New returns a gauger that has heard nothing.
func New() *Gauger {
	return &Gauger{senders: make(map[netip.Addr]*sender)}
}

// Note takes in a datagram that was sent at a time of the sender's clock and arrived at a time
// of the own. It returns how long the sender's last ones waited at the least.
func (g *Gauger) Note(now time.Time, from netip.Addr, sent, arrived time.Duration) time.Duration {
	difference := arrived - sent
	s, isKnown := g.senders[from]
	if !isKnown {
		s = &sender{this: difference, began: now}
		g.senders[from] = s
	}
	if now.Sub(s.began) > span {
		s.last, s.hasLast = s.this, now.Sub(s.began) <= 2*span
		s.this, s.began = difference, now
	}
	s.this = min(s.this, difference)
	base := s.this
	if s.hasLast {
		base = min(base, s.last)
	}
	s.delays[s.count%samples] = difference - base
	s.count++
	s.heardAt = now
	return s.delay()
}

// Delay returns how long a sender's last datagrams waited; false where it is too old to tell.
func (g *Gauger) Delay(now time.Time, from netip.Addr) (time.Duration, bool) {
	s, isKnown := g.senders[from]
	if !isKnown || now.Sub(s.heardAt) > recent {
		return 0, false
	}
	return s.delay(), true
}

// Least returns the shortest wait of all senders' last datagrams: it is that of the own link,
// since not all senders' links are full. It is 0 where nothing was heard lately.
func (g *Gauger) Least(now time.Time) (least time.Duration) {
	isFirst := true
	for from, s := range g.senders {
		if now.Sub(s.heardAt) > 2*span {
			delete(g.senders, from)
			continue
		}
		delay, isKnown := g.Delay(now, from)
		if isKnown && (isFirst || delay < least) {
			least, isFirst = delay, false
		}
	}
	return least
}
