// Package pacer keeps transfers of weights below live traffic: a token bucket of
// bytes, slowed while requests' first-token times are above their target. It does
// no I/O and holds no clock.
package pacer

import "time"

// Constants of pacing.
const (
	// pressedPart is the part of the rate that transfers keep while requests are slow.
	pressedPart = 0.25
	// pressureTime is how long one slow answer counts.
	pressureTime = 2 * time.Second
	// unpacedRate stands in for no limit while requests are slow, in bytes a second.
	unpacedRate = 64 << 20
)

// Pacer is a bucket without a burst: each reservation says how long to wait.
type Pacer struct {
	rate    float64 // bytes a second; 0 for no limit
	next    time.Time
	pressed time.Time // until when transfers are slowed
}

// New returns a pacer of so many bytes a second, 0 for no limit.
func New(rate int64) *Pacer {
	return &Pacer{rate: float64(rate)}
}

// SetRate changes the rate, in bytes a second; 0 for no limit.
func (p *Pacer) SetRate(rate int64) {
	p.rate = float64(rate)
}

// Press notes that a request's first token came later than its target.
func (p *Pacer) Press(now time.Time) {
	p.pressed = now.Add(pressureTime)
}

// IsPressed reports whether requests are slow now.
func (p *Pacer) IsPressed(now time.Time) bool {
	return p.pressed.After(now)
}

// Reserve takes bytes and returns how long to wait before they are sent.
func (p *Pacer) Reserve(now time.Time, bytes int) time.Duration {
	rate := p.rate
	if p.IsPressed(now) {
		if rate == 0 {
			rate = unpacedRate
		}
		rate *= pressedPart
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
