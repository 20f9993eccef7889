// Package rationer bounds repeats: calls that are sent to a further upstream draw on a
// budget for each service that is a part of the calls of a sliding window. It answers
// failures of many upstreams at once, in which repeats would add to the load. It does
// no I/O and holds no clock.
package rationer

import "time"

// parts is the number of steps in which the window slides.
const parts = 10

// Config holds the settings of a Rationer.
type Config struct {
	Ratio  float64       // repeats for each first call
	Window time.Duration // over which both are counted
	Extra  float64       // repeats on top of that in a window
}

// Rationer is the budget of one entry.
type Rationer struct {
	c        Config
	started  time.Time
	services map[string]*window
}

// window counts by steps, the newest first.
type window struct {
	first   [parts]float64
	repeats [parts]float64
	step    int64
}

// New returns a rationer that has counted nothing.
func New(c Config, now time.Time) *Rationer {
	return &Rationer{c: c, started: now, services: make(map[string]*window)}
}

// SetExtra changes the part of Extra that this entry has.
func (r *Rationer) SetExtra(extra float64) {
	r.c.Extra = extra
}

// First counts a call.
func (r *Rationer) First(now time.Time, service string) {
	r.window(now, service).first[0]++
}

// Repeat counts a repeat if the budget allows it.
func (r *Rationer) Repeat(now time.Time, service string) bool {
	w := r.window(now, service)
	var first, repeats float64
	for i := range parts {
		first += w.first[i]
		repeats += w.repeats[i]
	}
	if repeats+1 > first*r.c.Ratio+r.c.Extra {
		return false
	}
	w.repeats[0]++
	return true
}

// window returns a service's counts, slid to now.
func (r *Rationer) window(now time.Time, service string) *window {
	step := int64(now.Sub(r.started) / (r.c.Window / parts))
	w, isKnown := r.services[service]
	if !isKnown {
		w = &window{step: step}
		r.services[service] = w
	}
	for ; w.step < step; w.step++ {
		if step-w.step > parts {
			*w = window{step: step}
			return w
		}
		copy(w.first[1:], w.first[:parts-1])
		copy(w.repeats[1:], w.repeats[:parts-1])
		w.first[0], w.repeats[0] = 0, 0
	}
	return w
}
