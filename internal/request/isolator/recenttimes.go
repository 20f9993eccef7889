package isolator

import "time"

// maxRecent is the number of parts after which recentTimes forgets those that were not seen since the
// last time that it forgot any.
const maxRecent = 10_000

// recentTimes remembers a time for each of the parts seen most recently.
type recentTimes struct {
	current, previous map[string]time.Time
}

// set records a time for a part, unless a later one is known.
func (r *recentTimes) set(part string, at time.Time) {
	if known := r.last(part); known.After(at) {
		at = known
	}
	if r.current == nil || len(r.current) >= maxRecent {
		r.previous, r.current = r.current, make(map[string]time.Time)
	}
	r.current[part] = at
}

// last returns the time of a part; zero if it is not remembered.
func (r *recentTimes) last(part string) time.Time {
	if at, isKnown := r.current[part]; isKnown {
		return at
	}
	return r.previous[part]
}
