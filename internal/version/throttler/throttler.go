// Package throttler limits transfers of weights so that an engine's calls take precedence on the
// same link: the number of concurrent chunk downloads and the rate of uploads follow the queueing
// delay that datagrams see on the link. This is for machines whose links are slow relative to the
// size of the weights, and for links whose bandwidth drops. The package does no I/O and reads no
// clock.
package throttler

import "time"

const (
	// highDelay is the queueing delay above which the limits are lowered. It must be well below
	// tenths of a second: links drop datagrams at such delays, so these are never measured.
	highDelay = 30 * time.Millisecond
	// lowDelay is the queueing delay below which the limits are raised.
	lowDelay = 12 * time.Millisecond
	// updateInterval is the shortest time between two changes of the limits. A report from the
	// other end takes about as long.
	updateInterval = 150 * time.Millisecond
	// decreaseFactor and increaseFactor change the rate of uploads.
	decreaseFactor = 0.6
	increaseFactor = 1.15
	// minRateFraction is the fraction of the rate that is kept in the worst case, so that weights
	// still arrive.
	minRateFraction = 0.04
)

// Config holds the settings of a Throttler.
type Config struct {
	Downloads int   // maximum of chunks fetched at a time
	Rate      int64 // maximum rate of uploads in bytes per second
}

// Throttler holds the current limits of one machine. It is not safe for concurrent use.
type Throttler struct {
	c         Config
	downloads int
	rate      float64
	changed   time.Time
}

// New returns a throttler whose limits are at their maximum.
func New(c Config) *Throttler {
	return &Throttler{c: c, downloads: c.Downloads, rate: float64(c.Rate)}
}

// Update updates the limits by the queueing delays on the link to the machine (down) and from it
// (up). It ignores all calls within 150 ms of the last one that it accepted.
func (t *Throttler) Update(now time.Time, down, up time.Duration) {
	if now.Sub(t.changed) < updateInterval {
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
		t.rate = max(t.rate*decreaseFactor, float64(t.c.Rate)*minRateFraction)
	case up < lowDelay:
		t.rate = min(t.rate*increaseFactor, float64(t.c.Rate))
	}
}

// Downloads returns the number of chunks that may be fetched at a time, at least 1.
func (t *Throttler) Downloads() int {
	return t.downloads
}

// Rate returns the permitted rate of uploads in bytes per second.
func (t *Throttler) Rate() int64 {
	return int64(t.rate)
}
