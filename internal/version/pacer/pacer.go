// Package pacer limits the rate of weight transfers so that live traffic takes precedence: a token
// bucket of bytes whose rate is reduced while the time to first token of requests is above its
// target. It does no I/O and reads no clock.
package pacer

import "time"

const (
	// reducedFraction is the fraction of the rate that transfers keep while requests are slow.
	reducedFraction = 0.25
	// reductionDuration is how long one slow response reduces the rate.
	reductionDuration = 2 * time.Second
	// unlimitedRate is the rate, in bytes per second, that is reduced while requests are slow if no
	// limit is set.
	unlimitedRate = 64 << 20
)

// Pacer is a token bucket without a burst. It is not safe for concurrent use.
type Pacer struct {
	rate         float64   // bytes per second; 0 for no limit
	next         time.Time // when the bytes reserved so far are sent
	reducedUntil time.Time // until when the rate is reduced
}

// New returns a pacer with a rate in bytes per second; 0 for no limit.
func New(rate int64) *Pacer {
	return &Pacer{rate: float64(rate)}
}

// SetRate changes the rate in bytes per second; 0 for no limit. Earlier reservations stay.
func (p *Pacer) SetRate(rate int64) {
	p.rate = float64(rate)
}

// ReduceRate reduces the rate for two seconds, after the first token of a request came later than
// its target.
func (p *Pacer) ReduceRate(now time.Time) {
	p.reducedUntil = now.Add(reductionDuration)
}

// IsRateReduced reports whether the rate is reduced now because requests are slow.
func (p *Pacer) IsRateReduced(now time.Time) bool {
	return p.reducedUntil.After(now)
}

// Reserve reserves a number of bytes and returns how long to wait before sending them.
func (p *Pacer) Reserve(now time.Time, bytes int) time.Duration {
	rate := p.rate
	if p.IsRateReduced(now) {
		if rate == 0 {
			rate = unlimitedRate
		}
		rate *= reducedFraction
	}
	if rate == 0 {
		return 0
	}
	if p.next.Before(now) {
		p.next = now
	}
	wait := p.next.Sub(now)
	p.next = p.next.Add(time.Duration(float64(bytes) / rate * float64(time.Second)))
	return wait
}
