package isolator

import (
	"maps"
	"time"
)

const (
	// settleTime is how long a crash waits for proofs, from when it was heard of, before it counts.
	settleTime = 300 * time.Millisecond
	// unconfirmedTime is how long broken connections wait for word that the engine has ended before they count as a
	// crash under the requests that were in flight. Plain services have no agents that would tell.
	unconfirmedTime = 600 * time.Millisecond
	// maxCrashes bounds the crashes that are remembered, and maxParts the suspects of each.
	maxCrashes = 1000
	maxParts   = 256
)

// crash is the end of an engine and its suspects. Broken connections alone, which only requests in flight are held
// against, may have another cause.
type crash struct {
	at           time.Time       // when it ended; zero if only connections have broken
	heardAt      time.Time       // when this entry first heard that it ended
	brokeAt      time.Time       // when connections to it broke with requests in flight; zero if none did
	brokeHeardAt time.Time       // when this entry first heard of that
	own          map[string]bool // suspects among this entry's own calls
	suspects     map[string]bool
	begun        map[string]bool // requests among the suspects that had begun to be answered
	isExplained  bool            // a ban covers it; its suspects are those of the ban
}

// addCrash returns the crash of an engine, which it adds if it is not known.
func (i *Isolator) addCrash(now, at time.Time, upstream string) *crash {
	c := i.record(upstream)
	if c.at.IsZero() {
		c.heardAt = now
		i.unsent.relayed[upstream] = true
	}
	if c.at.IsZero() || at.Before(c.at) {
		c.at = at
	}
	return c
}

// record returns what is known of the end of an engine. The oldest crash is dropped if there are too many.
func (i *Isolator) record(upstream string) *crash {
	c := i.crashes[upstream]
	if c == nil {
		if len(i.crashes) >= maxCrashes {
			i.dropOldest()
		}
		c = &crash{own: make(map[string]bool), suspects: make(map[string]bool), begun: make(map[string]bool)}
		i.crashes[upstream] = c
	}
	return c
}

func (i *Isolator) dropOldest() {
	oldest := ""
	for upstream, c := range i.crashes {
		if oldest == "" || c.newest().Before(i.crashes[oldest].newest()) {
			oldest = upstream
		}
	}
	i.dropCrash(oldest)
}

// newest returns when the engine ended, or when connections to it broke if that was later.
func (c *crash) newest() time.Time {
	if c.brokeAt.After(c.at) {
		return c.brokeAt
	}
	return c.at
}

// when returns the time of the crash for a kind of suspect. It is zero for parts of prompts if only connections
// have broken.
func (c *crash) when(isRequest bool) time.Time {
	if isRequest && !c.brokeAt.IsZero() {
		return c.brokeAt
	}
	return c.at
}

func (i *Isolator) dropCrash(upstream string) {
	if c := i.crashes[upstream]; c != nil {
		for part := range maps.Clone(c.suspects) {
			i.forget(part, upstream)
		}
	}
	delete(i.crashes, upstream)
	delete(i.unsent.crashes, upstream)
	delete(i.unsent.breaks, upstream)
	delete(i.unsent.relayed, upstream)
}

// isSettled reports whether a crash has waited for proofs, and one of which a request is a suspect also for word that
// the engine has ended, which makes the parts of its prompt suspects.
func (c *crash) isSettled(now time.Time, isRequest bool) bool {
	isConfirmed := !c.at.IsZero() && now.Sub(c.heardAt) >= settleTime
	if !isRequest {
		return isConfirmed
	}
	broken := now.Sub(c.brokeHeardAt)
	return (isConfirmed && broken >= settleTime) || broken >= unconfirmedTime
}
