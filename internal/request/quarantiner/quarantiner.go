// Package quarantiner finds requests that crash the upstreams that run them. A
// request in flight on an upstream that dies becomes a suspect; deaths of two
// different upstreams bar it for a stated time; a whole answer clears it. Deaths
// of many upstreams at once are a failure of another kind and no evidence. It
// does no I/O and holds no clock.
package quarantiner

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// Config holds the settings of a Quarantiner.
type Config struct {
	Time        time.Duration // for which a request is barred
	Memory      time.Duration // for which a single death is remembered
	Window      time.Duration // within which deaths count as one failure
	MaxDead     int           // deaths of upstreams in Window from which on they are no evidence
	MaxSuspects int           // suspects remembered at the most
	DeathsToBar int           // upstreams that a request takes down before it is barred
}

// Defaults fills in the fields that were left out.
func (c *Config) Defaults() {
	if c.Time == 0 {
		c.Time = 10 * time.Minute
	}
	if c.Memory == 0 {
		c.Memory = 10 * time.Minute
	}
	if c.Window == 0 {
		c.Window = 2 * time.Second
	}
	if c.MaxDead == 0 {
		c.MaxDead = 3
	}
	if c.MaxSuspects == 0 {
		c.MaxSuspects = 10_000
	}
	if c.DeathsToBar == 0 {
		c.DeathsToBar = defaultDeathsToBar
	}
}

// defaultDeathsToBar is the number of upstreams that a request takes down before it is
// barred, where the settings do not say.
const defaultDeathsToBar = 2

// Quarantiner is the ledger of suspects at one entry.
type Quarantiner struct {
	c        Config
	suspects map[string]*suspect
	barred   map[string]time.Time // until when, by request digest
	deaths   []death
	untold   map[string]bool // requests whose deaths seen here the others have not heard of
}

type suspect struct {
	upstreams map[string]time.Time // when each died, by incarnation
}

type death struct {
	upstream string
	at       time.Time
	digests  []string
}

// New returns an empty ledger.
func New(c Config) *Quarantiner {
	c.Defaults()
	return &Quarantiner{c: c, suspects: make(map[string]*suspect), barred: make(map[string]time.Time), untold: make(map[string]bool)}
}

// Died notes that an upstream died with a request in flight. upstream names one
// life of the upstream.
func (q *Quarantiner) Died(now time.Time, upstream, digest string) {
	q.expire(now)
	q.noteDeath(now, upstream, digest)
	if q.isCommonFailure(digest) {
		q.retract()
		return
	}
	q.blame(now, upstream, digest)
	q.untold[digest] = true
	if len(q.DiedOn(digest)) >= q.c.DeathsToBar {
		q.barred[digest] = now.Add(q.c.Time)
	}
}

// blame counts a death against a request.
func (q *Quarantiner) blame(at time.Time, upstream, digest string) {
	s, isKnown := q.suspects[digest]
	if !isKnown {
		if len(q.suspects) >= q.c.MaxSuspects {
			return
		}
		s = &suspect{upstreams: make(map[string]time.Time)}
		q.suspects[digest] = s
	}
	if _, isCounted := s.upstreams[upstream]; isCounted {
		return
	}
	s.upstreams[upstream] = at
}

func (q *Quarantiner) noteDeath(now time.Time, upstream, digest string) {
	i := slices.IndexFunc(q.deaths, func(d death) bool { return d.upstream == upstream })
	if i < 0 {
		q.deaths = append(q.deaths, death{upstream: upstream, at: now, digests: []string{digest}})
		return
	}
	if !slices.Contains(q.deaths[i].digests, digest) {
		q.deaths[i].digests = append(q.deaths[i].digests, digest)
	}
}

// isCommonFailure reports whether so many upstreams died at once without the
// request that it cannot be the cause.
func (q *Quarantiner) isCommonFailure(digest string) bool {
	others := 0
	for _, d := range q.deaths {
		if !slices.Contains(d.digests, digest) {
			others++
		}
	}
	return others >= q.c.MaxDead-1 && len(q.deaths) >= q.c.MaxDead
}

// retract takes back the evidence of the deaths in the window.
func (q *Quarantiner) retract() {
	for _, d := range q.deaths {
		for _, digest := range d.digests {
			q.retractOne(d.upstream, digest)
		}
	}
}

func (q *Quarantiner) retractOne(upstream, digest string) {
	s, isKnown := q.suspects[digest]
	if !isKnown {
		return
	}
	delete(s.upstreams, upstream)
	if len(s.upstreams) < q.c.DeathsToBar {
		delete(q.barred, digest)
	}
	if len(s.upstreams) == 0 {
		delete(q.suspects, digest)
	}
}

// Answered clears a request that got a whole answer.
func (q *Quarantiner) Answered(digest string) {
	delete(q.suspects, digest)
	delete(q.barred, digest)
}

// IsSuspect reports whether a request was in flight on an upstream that died.
func (q *Quarantiner) IsSuspect(digest string) bool {
	_, isKnown := q.suspects[digest]
	return isKnown
}

// DiedOn returns the upstreams that died with a request in flight: it is tried on
// others.
func (q *Quarantiner) DiedOn(digest string) []string {
	s, isKnown := q.suspects[digest]
	if !isKnown {
		return nil
	}
	return slices.Sorted(maps.Keys(s.upstreams))
}

// Barred returns for how long a request is still barred, and 0 for one that is not.
func (q *Quarantiner) Barred(now time.Time, digest string) time.Duration {
	return max(q.barred[digest].Sub(now), 0)
}

// Ban is what is held against a request.
type Ban struct {
	Digest    string
	Upstreams []string      // that died with it
	Age       time.Duration // of the newest death
	Remaining time.Duration // for which it is barred; 0 for a mere suspect
}

// Bans returns what is held against requests, by digest.
func (q *Quarantiner) Bans(now time.Time) (bans []Ban) {
	q.expire(now)
	digests := slices.Collect(maps.Keys(q.suspects))
	for digest := range q.barred {
		if !q.IsSuspect(digest) {
			digests = append(digests, digest)
		}
	}
	slices.Sort(digests)
	for _, digest := range digests {
		bans = append(bans, q.ban(now, digest))
	}
	return bans
}

// age returns the time since the newest death with a request.
func (q *Quarantiner) age(now time.Time, digest string) time.Duration {
	age := q.c.Memory
	if s, isKnown := q.suspects[digest]; isKnown {
		for _, at := range s.upstreams {
			age = min(age, now.Sub(at))
		}
	}
	return age
}

// News returns what was seen here, still holds and was not returned before: of at most limit
// requests, those with the most deaths first.
func (q *Quarantiner) News(now time.Time, limit int) (bans []Ban) {
	q.expire(now)
	maps.DeleteFunc(q.untold, func(digest string, _ bool) bool { return !q.IsSuspect(digest) })
	for digest := range q.untold {
		bans = append(bans, q.ban(now, digest))
	}
	slices.SortFunc(bans, func(a, b Ban) int {
		return cmp.Or(cmp.Compare(len(b.Upstreams), len(a.Upstreams)), cmp.Compare(a.Digest, b.Digest))
	})
	bans = bans[:min(limit, len(bans))]
	for _, ban := range bans {
		delete(q.untold, ban.Digest)
	}
	return bans
}

// ban describes what is held against a request.
func (q *Quarantiner) ban(now time.Time, digest string) Ban {
	return Ban{Digest: digest, Upstreams: q.DiedOn(digest), Age: q.age(now, digest), Remaining: q.Barred(now, digest)}
}

// Hear takes in what another entry holds against a request. Ages and the time that
// remains are passed on, so that no two clocks are compared and everything ends
// everywhere.
func (q *Quarantiner) Hear(now time.Time, ban Ban) {
	if ban.Age < q.c.Memory {
		for _, upstream := range ban.Upstreams {
			q.blame(now.Add(-ban.Age), upstream, ban.Digest)
		}
	}
	if len(ban.Upstreams) < q.c.DeathsToBar && len(q.DiedOn(ban.Digest)) >= q.c.DeathsToBar && q.barred[ban.Digest].IsZero() {
		// Each entry saw one of the deaths.
		q.barred[ban.Digest] = now.Add(q.c.Time)
	}
	remaining := min(ban.Remaining, q.c.Time)
	until := now.Add(remaining)
	if remaining > 0 && len(q.barred) < q.c.MaxSuspects && until.After(q.barred[ban.Digest]) {
		q.barred[ban.Digest] = until
	}
}

// expire forgets what is past its time.
func (q *Quarantiner) expire(now time.Time) {
	maps.DeleteFunc(q.barred, func(_ string, until time.Time) bool { return !until.After(now) })
	for digest, s := range q.suspects {
		maps.DeleteFunc(s.upstreams, func(_ string, at time.Time) bool { return now.Sub(at) > q.c.Memory })
		if len(s.upstreams) == 0 {
			delete(q.suspects, digest)
		}
	}
	q.deaths = slices.DeleteFunc(q.deaths, func(d death) bool { return now.Sub(d.at) > q.c.Window })
}
