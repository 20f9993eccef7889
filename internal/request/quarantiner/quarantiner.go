// Package quarantiner detects requests that crash the upstreams that run them. A request in
// flight on an upstream that dies becomes a suspect. Crashes of several different upstreams ban
// it for a limited time, and a complete answer clears it. Many upstreams dying at once have
// another cause, and are not counted as evidence. The package does no I/O and reads no clock.
package quarantiner

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// Config holds the settings of a Quarantiner. Defaults replaces zero values.
type Config struct {
	Time               time.Duration // length of a ban, from its beginning or from when the request came last
	MaxTime            time.Duration // length of a ban from the newest crash, at the most
	SuspectLifetime    time.Duration // how long a crash counts against a request
	MassFailureWindow  time.Duration // crashes within it count as simultaneous
	MassFailureCrashes int           // simultaneous crashes at which none counts as evidence
	MaxSuspects        int           // limit of the suspects, and of bans heard from others
	CrashesToBan       int           // number of crashed upstreams at which a request is banned
}

// Defaults sets the fields that are zero.
func (c *Config) Defaults() {
	if c.Time == 0 {
		c.Time = 10 * time.Minute
	}
	if c.MaxTime == 0 {
		c.MaxTime = time.Hour
	}
	if c.SuspectLifetime == 0 {
		c.SuspectLifetime = 10 * time.Minute
	}
	if c.MassFailureWindow == 0 {
		c.MassFailureWindow = 2 * time.Second
	}
	if c.MassFailureCrashes == 0 {
		c.MassFailureCrashes = 3
	}
	if c.MaxSuspects == 0 {
		c.MaxSuspects = 10_000
	}
	if c.CrashesToBan == 0 {
		c.CrashesToBan = defaultCrashesToBan
	}
}

// defaultCrashesToBan is the default of Config.CrashesToBan.
const defaultCrashesToBan = 2

// Quarantiner holds the suspects and bans of one entry. It is not safe for concurrent use.
type Quarantiner struct {
	c         Config
	suspects  map[string]*suspect
	bans      map[string]*ban // by request digest
	crashes   []crash
	unsent    map[string]bool // digests with crashes seen here that TakeUnsentBans has not returned
	unsentMet map[string]bool // digests of renewed bans that TakeUnsentMet has not returned
}

// ban is a ban of a request.
type ban struct {
	until     time.Time
	crashedAt time.Time // newest crash
}

type suspect struct {
	upstreams map[string]time.Time // time of each crash, by incarnation
}

type crash struct {
	upstream string
	at       time.Time
	digests  []string
}

// New returns a quarantiner without suspects. Zero fields of the configuration get their
// defaults.
func New(c Config) *Quarantiner {
	c.Defaults()
	return &Quarantiner{c: c, suspects: make(map[string]*suspect), bans: make(map[string]*ban), unsent: make(map[string]bool), unsentMet: make(map[string]bool)}
}

// Verdict is what follows from a crash for the request that was in flight.
type Verdict struct {
	Crashes       int  // that count against the request
	Recent        int  // crashes of any upstreams that count as simultaneous
	IsMassFailure bool // none of these counts as evidence
	IsBanned      bool
}

// RecordCrash records that an upstream died with a request in flight. The parameter upstream
// must be different for each incarnation.
func (q *Quarantiner) RecordCrash(now time.Time, upstream, digest string) Verdict {
	q.expire(now)
	q.recordCrash(now, upstream, digest)
	if q.isMassFailure(digest) {
		q.retract()
		return q.verdict(digest, true)
	}
	q.addEvidence(now, upstream, digest)
	q.unsent[digest] = true
	if len(q.CrashedUpstreams(digest)) >= q.c.CrashesToBan {
		q.bans[digest] = &ban{until: now.Add(q.c.Time), crashedAt: now}
	}
	return q.verdict(digest, false)
}

func (q *Quarantiner) verdict(digest string, isMassFailure bool) Verdict {
	return Verdict{Crashes: len(q.CrashedUpstreams(digest)), Recent: len(q.crashes), IsMassFailure: isMassFailure, IsBanned: q.bans[digest] != nil}
}

// addEvidence counts a crash against a request, once for each incarnation.
func (q *Quarantiner) addEvidence(at time.Time, upstream, digest string) {
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

func (q *Quarantiner) recordCrash(now time.Time, upstream, digest string) {
	i := slices.IndexFunc(q.crashes, func(d crash) bool { return d.upstream == upstream })
	if i < 0 {
		q.crashes = append(q.crashes, crash{upstream: upstream, at: now, digests: []string{digest}})
		return
	}
	if !slices.Contains(q.crashes[i].digests, digest) {
		q.crashes[i].digests = append(q.crashes[i].digests, digest)
	}
}

// isMassFailure reports whether so many other upstreams died at the same time without the request
// in flight that it cannot be the cause.
func (q *Quarantiner) isMassFailure(digest string) bool {
	others := 0
	for _, d := range q.crashes {
		if !slices.Contains(d.digests, digest) {
			others++
		}
	}
	return others >= q.c.MassFailureCrashes-1 && len(q.crashes) >= q.c.MassFailureCrashes
}

// retract removes the evidence of all crashes within MassFailureWindow.
func (q *Quarantiner) retract() {
	for _, d := range q.crashes {
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
	if len(s.upstreams) < q.c.CrashesToBan {
		delete(q.bans, digest)
	}
	if len(s.upstreams) == 0 {
		delete(q.suspects, digest)
	}
}

// Clear removes the evidence against a request that got a complete answer.
func (q *Quarantiner) Clear(digest string) {
	delete(q.suspects, digest)
	delete(q.bans, digest)
}

// IsSuspect reports whether a request was in flight on an upstream that died.
func (q *Quarantiner) IsSuspect(digest string) bool {
	_, isKnown := q.suspects[digest]
	return isKnown
}

// CrashedUpstreams returns the incarnations that died with a request in flight, sorted, so that
// it can be retried on others.
func (q *Quarantiner) CrashedUpstreams(digest string) []string {
	s, isKnown := q.suspects[digest]
	if !isKnown {
		return nil
	}
	return slices.Sorted(maps.Keys(s.upstreams))
}

// BanRemaining returns how much longer a request is banned; 0 if it is not.
func (q *Quarantiner) BanRemaining(now time.Time, digest string) time.Duration {
	if b := q.bans[digest]; b != nil {
		return max(b.until.Sub(now), 0)
	}
	return 0
}

// renewalFraction is the fraction of a ban's length that must be over before the request renews it. The other
// entries are told of each renewal.
const renewalFraction = 0.25

// Meet records that a request has come and returns how much longer it is banned; 0 if it is not. A ban lasts
// as long as the request comes, but MaxTime at the most.
func (q *Quarantiner) Meet(now time.Time, digest string) time.Duration {
	if q.BanRemaining(now, digest) == 0 {
		return 0
	}
	b := q.bans[digest]
	if until := q.bounded(now.Add(q.c.Time), b.crashedAt); until.Sub(b.until).Seconds() > renewalFraction*q.c.Time.Seconds() {
		b.until = until
		q.unsentMet[digest] = true
	}
	return b.until.Sub(now)
}

// bounded returns the end of a ban, or the latest end that is allowed after a crash if that is earlier.
func (q *Quarantiner) bounded(until, crashedAt time.Time) time.Time {
	if latest := crashedAt.Add(q.c.MaxTime); latest.Before(until) {
		return latest
	}
	return until
}

// TakeUnsentMet returns the bans that requests have renewed at this entry and that were not returned before.
func (q *Quarantiner) TakeUnsentMet(now time.Time) (bans []Ban) {
	for _, digest := range slices.Sorted(maps.Keys(q.unsentMet)) {
		if q.bans[digest] != nil {
			bans = append(bans, q.ban(now, digest))
		}
	}
	clear(q.unsentMet)
	return bans
}

// Ban is the evidence against a request and the ban that follows from it, if any.
type Ban struct {
	Digest    string
	Upstreams []string      // incarnations that died with the request in flight
	Age       time.Duration // since the newest crash
	Remaining time.Duration // of the ban; 0 for a suspect that is not banned
}

// Bans returns the evidence against all suspected and banned requests, sorted by digest.
func (q *Quarantiner) Bans(now time.Time) (bans []Ban) {
	q.expire(now)
	digests := slices.Collect(maps.Keys(q.suspects))
	for digest := range q.bans {
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

// age returns the time since the newest crash of a request. If there is no evidence left, it is at least
// SuspectLifetime.
func (q *Quarantiner) age(now time.Time, digest string) time.Duration {
	age := q.c.SuspectLifetime
	if b := q.bans[digest]; b != nil {
		age = max(age, now.Sub(b.crashedAt))
	}
	if s, isKnown := q.suspects[digest]; isKnown {
		for _, at := range s.upstreams {
			age = min(age, now.Sub(at))
		}
	}
	return age
}

// TakeUnsentBans returns evidence that this entry has found itself, that is still valid and that
// was not returned before. It returns at most limit requests, those with the most crashes first.
func (q *Quarantiner) TakeUnsentBans(now time.Time, limit int) (bans []Ban) {
	q.expire(now)
	maps.DeleteFunc(q.unsent, func(digest string, _ bool) bool { return !q.IsSuspect(digest) })
	for digest := range q.unsent {
		bans = append(bans, q.ban(now, digest))
	}
	slices.SortFunc(bans, func(a, b Ban) int {
		return cmp.Or(cmp.Compare(len(b.Upstreams), len(a.Upstreams)), cmp.Compare(a.Digest, b.Digest))
	})
	bans = bans[:min(limit, len(bans))]
	for _, ban := range bans {
		delete(q.unsent, ban.Digest)
	}
	return bans
}

// ban returns the evidence against a request.
func (q *Quarantiner) ban(now time.Time, digest string) Ban {
	return Ban{Digest: digest, Upstreams: q.CrashedUpstreams(digest), Age: q.age(now, digest), Remaining: q.BanRemaining(now, digest)}
}

// sameBan is how much the end of a ban or the time of a crash may differ between two entries, because of the time that messages
// take. Entries that took each other's differences for news would renew their bans for ever.
const sameBan = time.Second

// Merge merges the evidence of another entry. Entries exchange ages and remaining times instead of
// timestamps, so that clocks are never compared and everything expires at all entries.
func (q *Quarantiner) Merge(now time.Time, ban Ban) {
	if ban.Age < q.c.SuspectLifetime {
		for _, upstream := range ban.Upstreams {
			q.addEvidence(now.Add(-ban.Age), upstream, ban.Digest)
		}
	}
	crashedAt := now.Add(-ban.Age)
	if len(ban.Upstreams) < q.c.CrashesToBan && len(q.CrashedUpstreams(ban.Digest)) >= q.c.CrashesToBan && q.bans[ban.Digest] == nil {
		// The entries saw different crashes, each too few for a ban. The others may not know of all.
		q.unsent[ban.Digest] = true
		q.mergeBan(ban.Digest, now.Add(q.c.Time), crashedAt)
	}
	if ban.Remaining > 0 && len(q.bans) < q.c.MaxSuspects {
		q.mergeBan(ban.Digest, now.Add(min(ban.Remaining, q.c.Time)), crashedAt)
	}
}

// mergeBan adds a ban or lets one end later.
func (q *Quarantiner) mergeBan(digest string, until, crashedAt time.Time) {
	b, isKnown := q.bans[digest]
	if !isKnown {
		b = &ban{crashedAt: crashedAt}
		q.bans[digest] = b
	}
	if crashedAt.Sub(b.crashedAt) > sameBan {
		b.crashedAt = crashedAt
	}
	if until = q.bounded(until, b.crashedAt); until.Sub(b.until) > sameBan {
		b.until = until
	}
}

// expire removes bans, suspects and crashes that are too old.
func (q *Quarantiner) expire(now time.Time) {
	maps.DeleteFunc(q.bans, func(_ string, b *ban) bool { return !b.until.After(now) })
	for digest, s := range q.suspects {
		maps.DeleteFunc(s.upstreams, func(_ string, at time.Time) bool { return now.Sub(at) > q.c.SuspectLifetime })
		if len(s.upstreams) == 0 {
			delete(q.suspects, digest)
		}
	}
	q.crashes = slices.DeleteFunc(q.crashes, func(d crash) bool { return now.Sub(d.at) > q.c.MassFailureWindow })
}
