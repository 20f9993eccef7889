// Package retrylimiter implements a retry budget: for each service, the retries in a sliding window
// are limited to a fraction of the calls in it plus a constant. This keeps retries from adding to
// the load when many upstreams fail at once. The package does no I/O and reads no clock.
package retrylimiter

import "time"

// steps is the number of steps in which the window slides.
const steps = 10

// Config holds the settings of a Limiter.
type Config struct {
	Ratio  float64       // retries allowed per call
	Window time.Duration // length of the sliding window in which calls and retries are counted
	Extra  float64       // retries allowed per window in addition to Ratio
}

// Limiter is the retry budget of one entry. It is not safe for concurrent use.
type Limiter struct {
	c        Config
	started  time.Time
	services map[string]*window
}

// window holds the counts of each step, the newest first. The newest step is not over, so that retries are
// counted for one step more: in any window there are no more of them and no fewer calls.
type window struct {
	calls   [steps]float64
	retries [steps + 1]float64
	step    int64
}

// New returns a budget with no calls and no retries. The steps of its window begin at now.
func New(c Config, now time.Time) *Limiter {
	return &Limiter{c: c, started: now, services: make(map[string]*window)}
}

// SetRetryExtra replaces Config.Extra by this entry's current share.
func (l *Limiter) SetRetryExtra(extra float64) {
	l.c.Extra = extra
}

// RecordCall counts the first attempt of a call.
func (l *Limiter) RecordCall(now time.Time, service string) {
	l.window(now, service).calls[0]++
}

// AllowRetry counts a retry and returns true, unless the budget is exhausted.
func (l *Limiter) AllowRetry(now time.Time, service string) bool {
	w := l.window(now, service)
	calls, retries := sum(w.calls[:]), sum(w.retries[:])
	if retries+1 > calls*l.c.Ratio+l.c.Extra {
		return false
	}
	w.retries[0]++
	return true
}

func sum(counts []float64) (total float64) {
	for _, count := range counts {
		total += count
	}
	return total
}

// ReturnRetry gives back a retry that was allowed at takenAt and not made. It no longer counts if it has left
// the window.
func (l *Limiter) ReturnRetry(now, takenAt time.Time, service string) {
	w := l.window(now, service)
	if age := w.step - l.step(takenAt); age <= steps {
		w.retries[age]--
	}
}

// step returns the number of the step of the window to which a time belongs.
func (l *Limiter) step(at time.Time) int64 {
	return int64(at.Sub(l.started) / (l.c.Window / steps))
}

// window returns the counts of a service after sliding its window to now.
func (l *Limiter) window(now time.Time, service string) *window {
	step := l.step(now)
	w, exists := l.services[service]
	if !exists {
		w = &window{step: step}
		l.services[service] = w
	}
	for ; w.step < step; w.step++ {
		if step-w.step > steps {
			*w = window{step: step}
			return w
		}
		copy(w.calls[1:], w.calls[:steps-1])
		copy(w.retries[1:], w.retries[:steps])
		w.calls[0], w.retries[0] = 0, 0
	}
	return w
}
