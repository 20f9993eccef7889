// Package lastlooker decides whether a read or an accept that has timed out has looked for what had arrived before.
package lastlooker

import "time"

const (
	// firstWait is how long the first look lasts, and each further one factor times as long.
	firstWait = 10 * time.Millisecond
	factor    = 8
	maxLooks  = 3
	// latePart is the part of its length by which a look may end late.
	latePart = 4
)

// Looker takes the last looks after a deadline, which goes before what has arrived: a call that begins after its deadline does not
// look, nor may one that returns late, because the process had no time. The zero value has taken no look. It is not safe for
// concurrent use.
type Looker struct {
	end   time.Time
	wait  time.Duration
	count int
}

// End returns the deadline of the look that is under way; zero if there is none.
func (l *Looker) End() time.Time {
	return l.end
}

// Next is called when a call that began at a time has timed out. It begins another look and returns true, unless the last one has
// looked, or too many have not.
func (l *Looker) Next(began, now time.Time) bool {
	if l.count == maxLooks || l.hasLooked(began, now) {
		return false
	}
	l.wait = max(firstWait, l.wait*factor)
	l.end = now.Add(l.wait)
	l.count++
	return true
}

func (l *Looker) hasLooked(began, now time.Time) bool {
	return !l.end.IsZero() && began.Before(l.end) && now.Before(l.end.Add(l.wait/latePart))
}
