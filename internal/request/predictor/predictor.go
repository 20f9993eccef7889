// Package predictor predicts how long calls take at their upstreams, and until when a call that waits may still be
// sent. It learns from calls that were answered; one that was not shows nothing about how long an answer takes. The
// package does no I/O and reads no clock.
package predictor

import (
	"slices"
	"time"
)

const (
	// maxSamples is the number of recent answers that are kept of a kind of calls.
	maxSamples = 64
	// minSamples is the number of answers below which each missing one counts as the expected duration, so that
	// a few odd answers decide nothing.
	minSamples = 10
	// onceQuantile is the part of the calls that may run once which are answered in the time that is left for
	// them: the caller of one that is not must not send it again.
	onceQuantile = 0.95
	// repeatableQuantile is the same for calls that may run again. A slim chance is better than none for them.
	repeatableQuantile = 0.1
	// lengthQuantile is the part of the calls that end within the length of their kind.
	lengthQuantile = 0.9
	// maxReserve bounds the time left for the call, as a fraction of its whole time, so that calls with a short
	// limit of their own, and those of a service that has become faster, are sent where there is room.
	maxReserve = 0.75
)

// Kind is a kind of calls that take about the same time.
type Kind struct {
	Route   string
	Service string
}

// Call is a call that waits for an upstream.
type Call struct {
	Kind         Kind
	IsRepeatable bool
	Arrived      time.Time
	Deadline     time.Time
	Expected     time.Duration // how long it takes, as far as its route tells
}

// Predictor holds how long recent calls have taken. It is not safe for concurrent use.
type Predictor struct {
	samples map[Kind]*samples
}

// samples are the durations of the last answers of a kind, in a ring.
type samples struct {
	durations []time.Duration
	next      int // to be replaced once the ring is full
}

// New returns a predictor that has seen no answers.
func New() *Predictor {
	return &Predictor{samples: make(map[Kind]*samples)}
}

// Keep forgets the kinds that are not in a list.
func (p *Predictor) Keep(kinds map[Kind]bool) {
	for k := range p.samples {
		if !kinds[k] {
			delete(p.samples, k)
		}
	}
}

// Answered records how long a call took at its upstream, from its start there to the end of the answer.
func (p *Predictor) Answered(k Kind, duration time.Duration) {
	s := p.samples[k]
	if s == nil {
		s = &samples{}
		p.samples[k] = s
	}
	if len(s.durations) < maxSamples {
		s.durations = append(s.durations, duration)
		return
	}
	s.durations[s.next] = duration
	s.next = (s.next + 1) % maxSamples
}

// LatestStart returns until when a call may be sent: later it is not likely to be answered before its deadline.
func (p *Predictor) LatestStart(c Call) time.Time {
	quantile := onceQuantile
	if c.IsRepeatable {
		quantile = repeatableQuantile
	}
	longest := time.Duration(float64(c.Deadline.Sub(c.Arrived)) * maxReserve)
	return c.Deadline.Add(-min(p.duration(c.Kind, quantile, c.Expected), longest))
}

// Length returns how long most calls of a kind take; isKnown is false before the first answer.
func (p *Predictor) Length(k Kind) (length time.Duration, isKnown bool) {
	s := p.samples[k]
	if s == nil {
		return 0, false
	}
	return quantileOf(slices.Clone(s.durations), lengthQuantile), true
}

// duration returns the duration within which a part of the calls of a kind is answered.
func (p *Predictor) duration(k Kind, quantile float64, expected time.Duration) time.Duration {
	sorted := make([]time.Duration, 0, maxSamples)
	if s := p.samples[k]; s != nil {
		sorted = append(sorted, s.durations...)
	}
	for len(sorted) < minSamples {
		sorted = append(sorted, expected)
	}
	return quantileOf(sorted, quantile)
}

// quantileOf sorts durations and returns one of them.
func quantileOf(durations []time.Duration, quantile float64) time.Duration {
	slices.Sort(durations)
	return durations[int(quantile*float64(len(durations)-1))]
}
