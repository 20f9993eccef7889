// Package throttler keeps transfers of weights below an engine's calls on the same link: the
// number of chunks that are fetched at a time and the rate of uploads follow the waits that
// datagrams see there. It answers machines whose links are small beside the weights, and those
// that have become narrow. It does no I/O and holds no clock.
package throttler

import "time"

// Constants of throttling.
const (
	// highDelay is the wait on a link from which on transfers yield. Datagrams are dropped where
	// calls would wait for tenths of a second, so that the longest waits are not seen.
	highDelay = 30 * time.Millisecond
	// lowDelay is the wait below which they take more.
	lowDelay = 12 * time.Millisecond
	// step is the time between two changes: a word of the other end takes about as long.
	step = 150 * time.Millisecond
	// lessFactor and moreFactor are the changes of the rate of uploads.
	lessFactor = 0.6
	moreFactor = 1.15
	// leastPart is the part of the rate that is left in the worst case, so that weights arrive
	// at all.
	leastPart = 0.04
)

// Config holds the settings of a Throttler.
type Config struct {
	Downloads int   // chunks fetched at a time while there is no wait
	Rate      int64 // of uploads in bytes a second while there is no wait
}

// Throttler holds the limits of one machine.
type Throttler struct {
	c         Config
	downloads int
	rate      float64
	changed   time.Time
}

// New returns a throttler that allows all.
func New(c Config) *Throttler {
	return &Throttler{c: c, downloads: c.Downloads, rate: float64(c.Rate)}
}

// Note takes in the waits on the way to the machine and from it.
func (t *Throttler) Note(now time.Time, down, up time.Duration) {
	if now.Sub(t.changed) < step {
		return
	}
	t.changed = now
	switch {
	case down > highDelay:
		t.downloads = max(t.downloads/2, 1)
	case down < lowDelay:
		t.downloads = min(t.downloads+1, t.c.Downloads)
	}
	switch {
	case up > highDelay:
		t.rate = max(t.rate*lessFactor, float64(t.c.Rate)*leastPart)
	case up < lowDelay:
		t.rate = min(t.rate*moreFactor, float64(t.c.Rate))
	}
}

// Downloads returns the number of chunks that may be fetched at a time.
func (t *Throttler) Downloads() int {
	return t.downloads
}

// Rate returns the rate of uploads in bytes a second.
func (t *Throttler) Rate() int64 {
	return int64(t.rate)
}
