// Package gauger estimates from datagrams how long traffic waits in queues on its way. Each
// datagram bears its sender's clock at its sending; the clocks of two machines differ by an
// unknown but steady amount, so that the shortest difference seen from a sender lately is taken
// for a way without queues, and what goes beyond it is the wait. Full queues drop datagrams, so
// those that are missing count as having waited long. It answers links that are full or have
// become narrow: calls that queue before them come late, whoever sends them. It does no I/O and
// holds no clock.
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
	// recent is how long a datagram says something about the queues of now.
	recent = time.Second
	// lostWait stands in for the wait of a datagram that is missing.
	lostWait = 60 * time.Millisecond
	// maxSamples bounds the datagrams of one sender that are remembered.
	maxSamples = 32
	// maxGap bounds the datagrams that one gap in a sender's numbers tells of.
	maxGap = 8
	// ownPart and commonPart are the quantiles that count: a few datagrams that are late or
	// lost by chance are no full link.
	ownPart    = 0.75
	commonPart = 0.5
	// commonInterval is how long a wait that all senders have in common is not worked out anew.
	commonInterval = 100 * time.Millisecond
)

// Gauger estimates the waits of datagrams from many senders.
type Gauger struct {
	senders  map[netip.Addr]*sender
	common   time.Duration
	commonAt time.Time
}

// sender is what is known of the datagrams of one machine.
type sender struct {
	last     time.Duration // shortest difference of the span before
	this     time.Duration // and of this span
	began    time.Time     // this span
	hasLast  bool
	sequence int64 // of the last datagram
	samples  []sample
	heardAt  time.Time
}

// sample is the wait of one datagram.
type sample struct {
	at   time.Time
	wait time.Duration
}

// New returns a gauger that has heard nothing.
func New() *Gauger {
	return &Gauger{senders: make(map[netip.Addr]*sender)}
}

// Stamp is what a datagram says of its sending.
type Stamp struct {
	Sequence int64         // grows by one with each datagram to this receiver
	Sent     time.Duration // by the sender's clock
}

// Observe takes in a datagram that arrived at a time of the own clock.
func (g *Gauger) Observe(now time.Time, from netip.Addr, stamp Stamp, arrived time.Duration) {
	difference := arrived - stamp.Sent
	s, isKnown := g.senders[from]
	if !isKnown {
		s = &sender{this: difference, began: now, sequence: stamp.Sequence - 1}
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
	s.noteGap(now, stamp.Sequence)
	s.add(sample{at: now, wait: difference - base})
	s.heardAt = now
}

// noteGap counts the datagrams that are missing before this one. A sender that started anew
// counts from the beginning.
func (s *sender) noteGap(now time.Time, sequence int64) {
	missing := min(sequence-s.sequence-1, maxGap)
	for range missing {
		s.add(sample{at: now, wait: lostWait})
	}
	s.sequence = sequence
}

func (s *sender) add(one sample) {
	if len(s.samples) >= maxSamples {
		s.samples = slices.Delete(s.samples, 0, 1)
	}
	s.samples = append(s.samples, one)
}

// waits appends the waits of the datagrams that still say something.
func (s *sender) waits(now time.Time, list []time.Duration) []time.Duration {
	for _, one := range s.samples {
		if now.Sub(one.at) <= recent {
			list = append(list, one.wait)
		}
	}
	return list
}

// Delay returns how long a sender's datagrams wait; false where none came lately.
func (g *Gauger) Delay(now time.Time, from netip.Addr) (time.Duration, bool) {
	s, isKnown := g.senders[from]
	if !isKnown {
		return 0, false
	}
	waits := s.waits(now, nil)
	return quantile(waits, ownPart), len(waits) > 0
}

// Common returns the wait that the datagrams of all senders have in common, which is that on
// the own link. It is 0 where nothing was heard lately.
func (g *Gauger) Common(now time.Time) time.Duration {
	if now.Sub(g.commonAt) < commonInterval {
		return g.common
	}
	var waits []time.Duration
	for from, s := range g.senders {
		if now.Sub(s.heardAt) > 2*span {
			delete(g.senders, from)
			continue
		}
		waits = s.waits(now, waits)
	}
	g.common, g.commonAt = quantile(waits, commonPart), now
	return g.common
}

func quantile(waits []time.Duration, part float64) time.Duration {
	if len(waits) == 0 {
		return 0
	}
	slices.Sort(waits)
	return waits[int(part*float64(len(waits)-1))]
}
