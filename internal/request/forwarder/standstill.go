package forwarder

import "time"

const (
	// maxPulse is the longest time between two pulses of a process that has not stood still.
	maxPulse = time.Second
	// backlogTime is how long after a standstill a process still finds what has come meanwhile.
	backlogTime = time.Second
)

// standstill tells how long news may have waited because the process stood still: it was stopped, or its machine
// was suspended. News does not say when it came.
type standstill struct {
	lastPulse time.Time
	length    time.Duration // of the last standstill
	endedAt   time.Time
}

// pulse records that the process runs.
func (s *standstill) pulse(now time.Time) {
	if gap := now.Sub(s.lastPulse); !s.lastPulse.IsZero() && gap > maxPulse {
		s.length, s.endedAt = gap, now
	}
	s.lastPulse = now
}

// waited returns how long what the process finds now may have waited.
func (s *standstill) waited(now time.Time) time.Duration {
	if s.lastPulse.IsZero() {
		return 0
	}
	if gap := now.Sub(s.lastPulse); gap > maxPulse {
		return gap
	}
	if since := now.Sub(s.endedAt); s.length > 0 && since < backlogTime {
		return s.length + since
	}
	return 0
}
