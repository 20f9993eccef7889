// Package isolator finds the part of prompts that crashes engines, among calls of which no two are
// alike. When an engine crashes, the parts of all calls that had not begun to be answered there are
// suspects. A call that begins proves that its parts are sound, since a bad part crashes each engine
// before it writes anything. What is left after several crashes is banned. Entries exchange crashes,
// proofs and bans, with ages instead of times. The package does no I/O and reads no clock.
package isolator

import (
	"maps"
	"slices"
	"time"
)

const (
	// settleTime is how long a crash waits for proofs, from when it was heard of, before it counts.
	settleTime = 300 * time.Millisecond
	// crashGap is the time after a crash within which further ones are not apart from it: a failure of
	// many engines at once has another cause than a call.
	crashGap = 150 * time.Millisecond
	// likelyCrashes is the number of crashes at which a part that was never seen to be sound is likely to
	// be bad.
	likelyCrashes = 2
	// crashesToBan is the number of crashes, apart from each other, at which a part that was never seen
	// to be sound is banned, if it is a suspect of minCoverage of all crashes meanwhile.
	crashesToBan = 3
	minCoverage  = 0.5
	// certainCrashes is the number of crashes that isolate a part whatever other engines crash. Crashes at
	// once do, if the part is a suspect of burstCoverage of them.
	certainCrashes = 5
	burstCoverage  = 0.9
	// crashesToRefine is the number of crashes under a part of a ban, of calls that the ban does not
	// cover, at which the part is banned by itself.
	crashesToRefine = 2
	// crashSends is how often a crash is sent to the other entries, since a message may be lost.
	crashSends = 3
	// maxCrashes bounds the crashes that are remembered, and maxParts the suspects of each.
	maxCrashes = 1000
	maxParts   = 256
)

// Config holds the settings of an Isolator. Defaults replaces zero values.
type Config struct {
	BanTime  time.Duration // length of a ban, from the newest crash or call under it
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

// Role is what an entry does about the evidence, besides telling the others.
type Role int

// Roles of entries.
const (
	RoleNone    Role = iota
	RoleDecides      // decides on bans
	RoleTries        // decides on bans and, alone, lets calls run as trials whether a ban is still needed
)

// Isolator holds the suspects and bans of one entry. It is not safe for concurrent use.
type Isolator struct {
	c        Config
	role     Role
	crashes  map[string]*crash          // by incarnation of the engine
	suspects map[string]map[string]bool // incarnations that crashed under a part, by part
	begun    recentTimes                // when a call with a part last began to be answered
	bans     map[string]*ban            // by key
	unsent   unsent
}

// crash is a crash of an engine and its suspects.
type crash struct {
	at          time.Time
	heardAt     time.Time       // when this entry first heard of it
	own         map[string]bool // suspects among this entry's own calls
	suspects    map[string]bool
	isExplained bool // a ban covers it; its suspects are those of the ban
}

// unsent is what TakeUnsent has not returned.
type unsent struct {
	crashes map[string]int  // how often each is still to be sent, by incarnation
	proofs  map[string]bool // by part
	bans    map[string]bool // by key
	met     map[string]bool // bans that calls have met, by key
	// relayed holds the crashes of which the entries that do not decide have not been told all suspects, by
	// incarnation.
	relayed map[string]bool
	// isLifting is set if a proof changes a ban, which all entries have to hear.
	isLifting bool
}

// New returns an isolator without suspects. Zero fields of the configuration get their defaults.
func New(c Config) *Isolator {
	c.Defaults()
	return &Isolator{
		c:        c,
		crashes:  make(map[string]*crash),
		suspects: make(map[string]map[string]bool),
		bans:     make(map[string]*ban),
		unsent:   unsent{crashes: make(map[string]int), proofs: make(map[string]bool), bans: make(map[string]bool), met: make(map[string]bool), relayed: make(map[string]bool)},
	}
}

// SetRole sets what this entry does about the evidence.
func (i *Isolator) SetRole(role Role) {
	i.role = role
}

// RecordCrash records that an engine crashed while a call with these parts had not begun to be answered.
// Without parts it records the crash alone. The parameter upstream must be different for each
// incarnation.
func (i *Isolator) RecordCrash(now, at time.Time, upstream string, parts []string) {
	if b := i.covering(parts); b != nil {
		b.renew(at, i.c.BanTime)
		return
	}
	c := i.addCrash(now, at, upstream)
	for _, part := range parts {
		if i.addSuspect(c, upstream, part) {
			c.own[part] = true
		}
	}
	i.unsent.relayed[upstream] = true
	i.unsent.crashes[upstream] = crashSends
}

// HasCrash reports whether an incarnation of an engine is known to have crashed.
func (i *Isolator) HasCrash(upstream string) bool {
	return i.crashes[upstream] != nil
}

// addCrash returns the crash of an engine, which it adds if it is not known. The oldest crash is dropped
// if there are too many.
func (i *Isolator) addCrash(now, at time.Time, upstream string) *crash {
	c := i.crashes[upstream]
	if c == nil {
		if len(i.crashes) >= maxCrashes {
			i.dropOldest()
		}
		i.unsent.relayed[upstream] = true
		c = &crash{at: at, heardAt: now, own: make(map[string]bool), suspects: make(map[string]bool)}
		i.crashes[upstream] = c
	}
	if at.Before(c.at) {
		c.at = at
	}
	return c
}

func (i *Isolator) dropOldest() {
	oldest := ""
	for upstream, c := range i.crashes {
		if oldest == "" || c.at.Before(i.crashes[oldest].at) {
			oldest = upstream
		}
	}
	i.dropCrash(oldest)
}

// addSuspect adds a part to the suspects of a crash. It returns false if a ban explains the crash, if a
// later call has proved the part sound, which the others may not know, and if there are too many suspects.
func (i *Isolator) addSuspect(c *crash, upstream, part string) bool {
	if c.isExplained || len(c.suspects) >= maxParts {
		return false
	}
	if i.begun.last(part).After(c.at) {
		i.unsent.proofs[part] = true
		return false
	}
	if !c.suspects[part] {
		i.unsent.relayed[upstream] = true
	}
	c.suspects[part] = true
	if i.suspects[part] == nil {
		i.suspects[part] = make(map[string]bool)
	}
	i.suspects[part][upstream] = true
	return true
}

// RecordBegin records that a call with these parts began to be answered, which clears them.
func (i *Isolator) RecordBegin(now time.Time, parts []string) {
	for _, part := range parts {
		if i.suspects[part] != nil {
			i.unsent.proofs[part] = true
		}
		i.clear(now, part)
	}
}

// clear removes what is held against a part for crashes before a time at which it was sound.
func (i *Isolator) clear(soundAt time.Time, part string) {
	i.begun.set(part, soundAt)
	for upstream := range i.suspects[part] {
		if !i.crashes[upstream].at.After(soundAt) {
			i.forget(part, upstream)
		}
	}
	if i.shrinkBans(soundAt, part) {
		i.unsent.proofs[part] = true
		i.unsent.isLifting = true
	}
}

// forget removes one crash from what is held against a part.
func (i *Isolator) forget(part, upstream string) {
	if c := i.crashes[upstream]; c != nil {
		delete(c.suspects, part)
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
		return len(i.suspects[part]) >= likelyCrashes && !i.hasBegun(part)
	})
}

func (i *Isolator) hasBegun(part string) bool {
	return !i.begun.last(part).IsZero()
}

// Decide bans what the evidence isolates: the parts that it cannot tell apart, and with them only calls
// that have them all. It returns the new bans. A ban explains all crashes under its parts, which are then
// no longer held against the other parts of the same calls.
func (i *Isolator) Decide(now time.Time) (banned []Ban) {
	i.expire(now)
	for {
		best, isFound := i.isolate(now)
		if !isFound {
			return banned
		}
		b := i.addBan(i.inseparable(best), now.Add(i.c.BanTime), best.last)
		i.unsent.bans[b.key()] = true
		banned = append(banned, b.report(now))
	}
}

// inseparable returns a candidate with all parts that are suspects of the same crashes. Parts that were
// seen to be sound are left out, unless the candidate itself was.
func (i *Isolator) inseparable(c candidate) (parts []string) {
	for part, upstreams := range i.suspects {
		if i.hasBegun(part) && !c.hasBegun {
			continue
		}
		isSame := true
		for upstream := range i.suspects[c.part] {
			isSame = isSame && upstreams[upstream]
		}
		if isSame {
			parts = append(parts, part)
		}
	}
	slices.Sort(parts)
	return parts
}

func (i *Isolator) dropCrash(upstream string) {
	if c := i.crashes[upstream]; c != nil {
		for part := range maps.Clone(c.suspects) {
			i.forget(part, upstream)
		}
	}
	delete(i.crashes, upstream)
	delete(i.unsent.crashes, upstream)
	delete(i.unsent.relayed, upstream)
}

// candidate is a part that the evidence may isolate.
type candidate struct {
	part     string
	crashes  int
	hasBegun bool
	last     time.Time
}

// isolate returns the part that the evidence isolates best.
func (i *Isolator) isolate(now time.Time) (best candidate, isFound bool) {
	for part := range i.suspects {
		c, isCandidate := i.candidate(now, part)
		if isCandidate && (!isFound || isBetter(c, best)) {
			best, isFound = c, true
		}
	}
	return best, isFound
}

// candidate returns what is held against a part; false if that is too little for a ban.
func (i *Isolator) candidate(now time.Time, part string) (c candidate, isCandidate bool) {
	c = candidate{part: part, hasBegun: i.hasBegun(part)}
	var times []time.Time
	isNew, unexplained := true, 0
	for upstream := range i.suspects[part] {
		crashed := i.crashes[upstream]
		if now.Sub(crashed.heardAt) < settleTime {
			continue
		}
		times = append(times, crashed.at)
		if crashed.isExplained {
			isNew = false
		} else {
			unexplained++
		}
	}
	if len(times) < crashesToBan || unexplained == 0 || (!isNew && unexplained < crashesToRefine) {
		return c, false
	}
	slices.SortFunc(times, time.Time.Compare)
	c.crashes, c.last = len(times), times[len(times)-1]
	apart := countApart(times)
	coverage := float64(c.crashes) / float64(max(i.crashesAround(times[0], c.last, part), 1))
	if c.hasBegun {
		return c, c.crashes >= certainCrashes && apart >= crashesToBan && coverage >= minCoverage
	}
	return c, (apart >= crashesToBan && coverage >= minCoverage) || apart >= certainCrashes ||
		(c.crashes >= certainCrashes && coverage >= burstCoverage)
}

// crashesAround returns the number of crashes in a period and at once with its ends, but for those that
// the ban of another part explains.
func (i *Isolator) crashesAround(from, to time.Time, part string) (count int) {
	from, to = from.Add(-crashGap), to.Add(crashGap)
	for _, c := range i.crashes {
		if !c.at.Before(from) && !c.at.After(to) && (!c.isExplained || c.suspects[part]) {
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

// isBetter reports whether the evidence against a is better than that against b: a part that was never
// seen to be sound first, then more crashes.
func isBetter(a, b candidate) bool {
	switch {
	case a.hasBegun != b.hasBegun:
		return b.hasBegun
	case a.crashes != b.crashes:
		return a.crashes > b.crashes
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
