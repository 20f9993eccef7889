// Package isolator finds the part of prompts that crashes engines, among calls of which no two are
// alike. When an engine crashes, the parts of all calls that had not begun to be answered there are
// suspects. A call that begins proves that its parts are sound, since a bad part crashes each engine
// before it writes anything. What is left after several crashes is banned. Entries exchange crashes,
// proofs and bans, with ages instead of times. The package does no I/O and reads no clock.
package isolator

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

const (
	// settleTime is how long a crash waits for proofs before it counts.
	settleTime = 300 * time.Millisecond
	// crashGap is the time after a crash within which further ones count as the same: a failure of many
	// engines at once has another cause than a call.
	crashGap = 150 * time.Millisecond
	// likelyCrashes is the number of crashes at which a part that was never seen to be sound is likely to
	// be bad.
	likelyCrashes = 2
	// crashesToBan is the number of crashes at which a part is banned, if the part is among the
	// suspects of at least minCoverage of all crashes since its first. At certainCrashes it is banned
	// whatever other engines crash.
	crashesToBan   = 3
	minCoverage    = 0.5
	certainCrashes = 5
	// maxCrashes bounds the crashes that are remembered, and maxParts the suspects of each.
	maxCrashes = 1000
	maxParts   = 256
)

// Config holds the settings of an Isolator. Defaults replaces zero values.
type Config struct {
	BanTime  time.Duration // length of a ban
	Lifetime time.Duration // how long a crash counts
}

// Defaults sets the fields that are zero.
func (c *Config) Defaults() {
	if c.BanTime == 0 {
		c.BanTime = 10 * time.Minute
	}
	if c.Lifetime == 0 {
		c.Lifetime = 10 * time.Minute
	}
}

// Isolator holds the suspects and bans of one entry. It is not safe for concurrent use.
type Isolator struct {
	c        Config
	crashes  map[string]*crash          // by incarnation of the engine
	suspects map[string]map[string]bool // incarnations that crashed under a part, by part
	begun    recentTimes                // when a call with a part last began to be answered
	bans     map[string]*ban            // by part
	unsent   unsent
}

// crash is a crash of an engine and its suspects.
type crash struct {
	at    time.Time
	own   map[string]bool // suspects among this entry's own calls
	depth map[string]int  // place of each suspect in its prompt
}

// ban is a ban of a part.
type ban struct {
	until     time.Time
	crashedAt time.Time // newest crash that is held against the part
}

// unsent is what TakeUnsent has not returned.
type unsent struct {
	crashes map[string]bool // by incarnation
	proofs  map[string]bool // by part
	bans    map[string]bool // by part
}

// New returns an isolator without suspects. Zero fields of the configuration get their defaults.
func New(c Config) *Isolator {
	c.Defaults()
	return &Isolator{
		c:        c,
		crashes:  make(map[string]*crash),
		suspects: make(map[string]map[string]bool),
		bans:     make(map[string]*ban),
		unsent:   unsent{crashes: make(map[string]bool), proofs: make(map[string]bool), bans: make(map[string]bool)},
	}
}

// RecordCrash records that an engine crashed while a call with these parts, in the order of the prompt,
// had not begun to be answered. The parameter upstream must be different for each incarnation.
func (i *Isolator) RecordCrash(at time.Time, upstream string, parts []string) {
	if i.hasBanned(parts) {
		i.renewBans(at, parts)
		return
	}
	c := i.addCrash(at, upstream)
	if c == nil {
		return
	}
	for depth, part := range parts {
		if i.addSuspect(c, upstream, Suspect{Part: part, Depth: depth}) {
			c.own[part] = true
		}
	}
	i.unsent.crashes[upstream] = true
}

// addCrash returns the crash of an engine, which it adds if it is not known. It returns nil if too many
// crashes are remembered.
func (i *Isolator) addCrash(at time.Time, upstream string) *crash {
	c := i.crashes[upstream]
	if c == nil {
		if len(i.crashes) >= maxCrashes {
			return nil
		}
		c = &crash{at: at, own: make(map[string]bool), depth: make(map[string]int)}
		i.crashes[upstream] = c
	}
	if at.Before(c.at) {
		c.at = at
	}
	return c
}

// addSuspect adds a part to the suspects of a crash. It returns false for a part that a later call has
// proved sound, and if the crash has too many suspects.
func (i *Isolator) addSuspect(c *crash, upstream string, s Suspect) bool {
	if len(c.depth) >= maxParts || i.begun.last(s.Part).After(c.at) {
		return false
	}
	c.depth[s.Part] = max(c.depth[s.Part], s.Depth)
	if i.suspects[s.Part] == nil {
		i.suspects[s.Part] = make(map[string]bool)
	}
	i.suspects[s.Part][upstream] = true
	return true
}

// RecordBegin records that a call with these parts began to be answered, which clears them.
func (i *Isolator) RecordBegin(now time.Time, parts []string) {
	for _, part := range parts {
		if i.suspects[part] != nil || i.bans[part] != nil {
			i.unsent.proofs[part] = true
		}
		i.clear(now, part)
	}
}

// clear removes what is held against a part for crashes before a time at which it was sound.
func (i *Isolator) clear(soundAt time.Time, part string) {
	i.begun.set(part, soundAt)
	for upstream := range i.suspects[part] {
		if c := i.crashes[upstream]; c == nil || !c.at.After(soundAt) {
			i.forget(part, upstream)
		}
	}
	if b := i.bans[part]; b != nil && !b.crashedAt.After(soundAt) {
		delete(i.bans, part)
	}
}

// forget removes one crash from what is held against a part.
func (i *Isolator) forget(part, upstream string) {
	if c := i.crashes[upstream]; c != nil {
		delete(c.depth, part)
		delete(c.own, part)
	}
	delete(i.suspects[part], upstream)
	if len(i.suspects[part]) == 0 {
		delete(i.suspects, part)
	}
}

// IsSuspect reports whether an engine crashed under a part that has not been proved sound since.
func (i *Isolator) IsSuspect(part string) bool {
	return i.suspects[part] != nil
}

// IsLikelyBad reports whether a call with these parts is likely to crash another engine: several have
// crashed under one of the parts, which was never seen to be sound.
func (i *Isolator) IsLikelyBad(parts []string) bool {
	return slices.ContainsFunc(parts, func(part string) bool {
		return len(i.suspects[part]) >= likelyCrashes && i.begun.last(part).IsZero()
	})
}

// Decide bans the parts that the evidence isolates. It returns the new bans. A ban explains all crashes
// under its part, which are then no longer held against the other parts of the same calls.
func (i *Isolator) Decide(now time.Time) (banned []Ban) {
	i.expire(now)
	for {
		best, isFound := i.isolate(now)
		if !isFound {
			return banned
		}
		i.bans[best.part] = &ban{until: now.Add(i.c.BanTime), crashedAt: best.last}
		i.unsent.bans[best.part] = true
		banned = append(banned, i.ban(now, best.part))
		i.explain(best.part)
	}
}

// explain drops the crashes under a banned part.
func (i *Isolator) explain(part string) {
	for upstream := range maps.Clone(i.suspects[part]) {
		i.dropCrash(upstream)
	}
}

func (i *Isolator) dropCrash(upstream string) {
	if c := i.crashes[upstream]; c != nil {
		for part := range maps.Clone(c.depth) {
			i.forget(part, upstream)
		}
	}
	delete(i.crashes, upstream)
	delete(i.unsent.crashes, upstream)
}

// candidate is a part that the evidence may isolate.
type candidate struct {
	part     string
	crashes  int // crashes at once count as one
	hasBegun bool
	depth    int
	last     time.Time
}

// isolate returns the part that the evidence isolates best.
func (i *Isolator) isolate(now time.Time) (best candidate, isFound bool) {
	for part, upstreams := range i.suspects {
		c, isCandidate := i.candidate(now, part, upstreams)
		if isCandidate && (!isFound || isBetter(c, best)) {
			best, isFound = c, true
		}
	}
	return best, isFound
}

// candidate returns what is held against a part; false if that is too little for a ban.
func (i *Isolator) candidate(now time.Time, part string, upstreams map[string]bool) (c candidate, isCandidate bool) {
	c = candidate{part: part, hasBegun: !i.begun.last(part).IsZero()}
	var times []time.Time
	for upstream := range upstreams {
		if crashed := i.crashes[upstream]; now.Sub(crashed.at) >= settleTime {
			times = append(times, crashed.at)
			c.depth = max(c.depth, crashed.depth[part])
		}
	}
	if len(times) < crashesToBan {
		return c, false
	}
	slices.SortFunc(times, time.Time.Compare)
	c.crashes, c.last = countApart(times), times[len(times)-1]
	coverage := float64(len(times)) / float64(max(i.crashesBetween(times[0], c.last), 1))
	return c, c.crashes >= certainCrashes || (c.crashes >= crashesToBan && coverage >= minCoverage)
}

// crashesBetween returns the number of crashes in a period, its ends included.
func (i *Isolator) crashesBetween(from, to time.Time) (count int) {
	for _, c := range i.crashes {
		if !c.at.Before(from) && !c.at.After(to) {
			count++
		}
	}
	return count
}

// countApart counts sorted times, those within crashGap of the first as one.
func countApart(times []time.Time) (count int) {
	var first time.Time
	for _, at := range times {
		if count == 0 || at.Sub(first) > crashGap {
			first = at
			count++
		}
	}
	return count
}

// isBetter reports whether the evidence against a is better than that against b: more crashes, then
// a part that was never seen to be sound, then the more specific one, which is deeper in the prompt. If
// the ban of that is wrong, the crashes go on and isolate the other one.
func isBetter(a, b candidate) bool {
	switch {
	case a.crashes != b.crashes:
		return a.crashes > b.crashes
	case a.hasBegun != b.hasBegun:
		return b.hasBegun
	case a.depth != b.depth:
		return a.depth > b.depth
	default:
		return a.part < b.part
	}
}

// expire removes crashes and bans that are too old.
func (i *Isolator) expire(now time.Time) {
	for upstream, c := range i.crashes {
		if now.Sub(c.at) > i.c.Lifetime {
			i.dropCrash(upstream)
		}
	}
	maps.DeleteFunc(i.bans, func(_ string, b *ban) bool { return !b.until.After(now) })
}

// BanRemaining returns how much longer a call with these parts is banned; 0 if it is not.
func (i *Isolator) BanRemaining(now time.Time, parts []string) (remaining time.Duration) {
	for _, part := range parts {
		if b := i.bans[part]; b != nil {
			remaining = max(remaining, b.until.Sub(now))
		}
	}
	return remaining
}

func (i *Isolator) hasBanned(parts []string) bool {
	return slices.ContainsFunc(parts, func(part string) bool { return i.bans[part] != nil })
}

// renewBans makes the bans of parts count from a crash.
func (i *Isolator) renewBans(at time.Time, parts []string) {
	for _, part := range parts {
		if b := i.bans[part]; b != nil && at.After(b.crashedAt) {
			b.crashedAt, b.until = at, at.Add(i.c.BanTime)
		}
	}
}

// sortedKeys returns the keys of a set in order.
func sortedKeys(set map[string]bool) []string {
	return slices.SortedFunc(maps.Keys(set), cmp.Compare)
}
