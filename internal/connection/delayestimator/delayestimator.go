// Package delayestimator estimates queueing delays on network paths from the one-way delays of
// datagrams. Each datagram carries the time at which it was sent, by its sender's clock. The clocks
// of two machines differ by an unknown but constant offset, so the smallest recent difference
// between arrival and sending is the base delay of a path with empty queues, and the excess over it
// is the queueing delay. Full queues drop datagrams, so a missing datagram counts as a long delay.
// The estimate detects links that are congested or have lost bandwidth; calls over such a link are
// late, whoever sends them. The package does no I/O and reads no clock.
package delayestimator

import (
	"net/netip"
	"slices"
	"time"
)

const (
	// baseWindow is the length of a window of base delays. The base delay is the minimum of the
	// current window and the one before.
	baseWindow = 5 * time.Second
	// sampleLifetime is how long a datagram counts towards the current queueing delay.
	sampleLifetime = time.Second
	// lossDelay is the queueing delay that a missing datagram counts as.
	lossDelay = 60 * time.Millisecond
	// maxSamples limits the samples kept for each sender.
	maxSamples = 32
	// maxGap limits the missing datagrams that are counted for one gap in the sequence numbers.
	maxGap = 8
	// maxReordering is the number of sequence numbers by which a datagram may be overtaken.
	maxReordering = 16
	// senderQuantile and localQuantile are the quantiles of the samples that are reported. A few
	// datagrams that are late or lost by chance do not indicate a congested link.
	senderQuantile = 0.75
	localQuantile  = 0.5
	// localInterval is how long LocalDelay returns a cached value.
	localInterval = 100 * time.Millisecond
)

// DelayEstimator estimates the queueing delays of datagrams from many senders. It is not safe for
// concurrent use.
type DelayEstimator struct {
	senders map[netip.Addr]*sender
	start   time.Time     // of the first datagram; times of samples count from it
	local   time.Duration // cached result of LocalDelay
	localAt time.Time
	buffer  []time.Duration // reused for the delays of which a quantile is taken
}

// sender is the state of one machine that sends datagrams.
type sender struct {
	previousMin   time.Duration // smallest difference in the previous window
	currentMin    time.Duration // smallest difference in the current window
	windowStart   time.Time     // of the current window
	hasPrevious   bool
	sequence      int64    // highest of the datagrams
	samples       []sample // in the order of their times
	lastArrivalAt time.Time
}

// sample is the queueing delay of one datagram.
type sample struct {
	at       time.Duration
	delay    time.Duration
	sequence int64
	isLoss   bool
}

// New returns an estimator without samples.
func New() *DelayEstimator {
	return &DelayEstimator{senders: make(map[netip.Addr]*sender)}
}

// Stamp identifies a datagram and says when it was sent.
type Stamp struct {
	Sequence int64         // increases by one with each datagram to the same receiver
	Sent     time.Duration // by the sender's clock
}

// Observe records a datagram. arrived is the time of arrival by the receiver's clock, whose zero
// need not match that of the sender's clock.
func (e *DelayEstimator) Observe(now time.Time, from netip.Addr, stamp Stamp, arrived time.Duration) {
	difference := arrived - stamp.Sent
	if e.start.IsZero() {
		e.start = now
	}
	s, isKnown := e.senders[from]
	if !isKnown {
		s = &sender{currentMin: difference, windowStart: now, sequence: stamp.Sequence - 1}
		e.senders[from] = s
	}
	if now.Sub(s.windowStart) > baseWindow {
		s.previousMin, s.hasPrevious = s.currentMin, now.Sub(s.windowStart) <= 2*baseWindow
		s.currentMin, s.windowStart = difference, now
	}
	s.currentMin = min(s.currentMin, difference)
	base := s.currentMin
	if s.hasPrevious {
		base = min(base, s.previousMin)
	}
	at := now.Sub(e.start)
	s.recordGap(at, stamp.Sequence)
	s.add(sample{at: at, delay: difference - base, sequence: stamp.Sequence})
	s.lastArrivalAt = now
}

// recordGap records the datagrams that are missing before this one. One that was overtaken is no longer
// missing. A sequence number far below the highest is taken for a restart of the sender.
func (s *sender) recordGap(at time.Duration, sequence int64) {
	if sequence <= s.sequence && sequence > s.sequence-maxReordering {
		s.samples = slices.DeleteFunc(s.samples, func(entry sample) bool { return entry.isLoss && entry.sequence == sequence })
		return
	}
	for missing := max(s.sequence+1, sequence-maxGap); missing < sequence; missing++ {
		s.add(sample{at: at, delay: lossDelay, sequence: missing, isLoss: true})
	}
	s.sequence = sequence
}

func (s *sender) add(newest sample) {
	if len(s.samples) >= maxSamples {
		s.samples = slices.Delete(s.samples, 0, 1)
	}
	s.samples = append(s.samples, newest)
}

// delays appends the delays of the samples that have not expired at a time to list, the newest first.
func (s *sender) delays(at time.Duration, list []time.Duration) []time.Duration {
	for _, entry := range slices.Backward(s.samples) {
		if at-entry.at > sampleLifetime {
			break
		}
		list = append(list, entry.delay)
	}
	return list
}

// SenderDelay returns the queueing delay of datagrams from a sender, or false if there are no
// recent ones.
func (e *DelayEstimator) SenderDelay(now time.Time, from netip.Addr) (time.Duration, bool) {
	s, isKnown := e.senders[from]
	if !isKnown {
		return 0, false
	}
	e.buffer = s.delays(now.Sub(e.start), e.buffer[:0])
	return quantile(e.buffer, senderQuantile), len(e.buffer) > 0
}

// LocalDelay returns the queueing delay that the datagrams of all senders share, which is that of
// this machine's own link. It is 0 if there are no recent datagrams.
func (e *DelayEstimator) LocalDelay(now time.Time) time.Duration {
	if now.Sub(e.localAt) < localInterval {
		return e.local
	}
	e.buffer = e.buffer[:0]
	for from, s := range e.senders {
		if now.Sub(s.lastArrivalAt) > 2*baseWindow {
			delete(e.senders, from)
			continue
		}
		e.buffer = s.delays(now.Sub(e.start), e.buffer)
	}
	e.local, e.localAt = quantile(e.buffer, localQuantile), now
	return e.local
}

func quantile(delays []time.Duration, q float64) time.Duration {
	if len(delays) == 0 {
		return 0
	}
	slices.Sort(delays)
	return delays[int(q*float64(len(delays)-1))]
}
