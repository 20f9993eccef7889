// Package isolator finds what crashes upstreams: a request that is sent again and again, or a part of prompts
// among calls of which no two are alike. When an upstream ends, all requests in flight there are suspects, and the
// parts of those calls that had not begun to be answered. A call that begins proves that its parts are sound,
// since a bad part crashes each engine before it writes anything; a complete answer proves the request sound.
// What is left after several crashes is banned. A ban for crashes that may have had one other cause is tried early. Entries exchange crashes, proofs and bans, with ages instead of
// times, since each of them sees a part of the calls in flight only. The package does no I/O and reads no clock.
package isolator

import (
	"maps"
	"slices"
	"time"
)

const (
	// likelyCrashes is the number of crashes at which a part that was never seen to be sound is likely to
	// be bad.
	likelyCrashes = 2
	// defaultCrashesToBan is the default of Config.CrashesToBan.
	defaultCrashesToBan = 3
	// crashSends is how often a crash is sent to the other entries, since a message may be lost.
	crashSends = 3
)

// Config holds the settings of an Isolator. Defaults replaces zero values.
type Config struct {
	BanTime      time.Duration // length of a ban, from the newest crash or call under it
	Lifetime     time.Duration // how long a crash counts
	CrashesToBan int           // crashes, apart from each other, at which a suspect that was never sound is banned
}

// Defaults sets the fields that are zero.
func (c *Config) Defaults() {
	if c.BanTime == 0 {
		c.BanTime = 10 * time.Minute
	}
	if c.Lifetime == 0 {
		c.Lifetime = 10 * time.Minute
	}
	if c.CrashesToBan == 0 {
		c.CrashesToBan = defaultCrashesToBan
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
	suspects map[string]map[string]bool // incarnations that crashed under a suspect, by suspect
	begun    recentTimes                // when a call with a part last began to be answered, or a suspected request was complete
	bans     map[string]*ban            // by key
	unsent   unsent
}

// unsent is what TakeUnsent has not returned.
type unsent struct {
	crashes map[string]int  // how often each is still to be sent, by incarnation
	breaks  map[string]int  // the same of connections that broke with requests in flight
	urgent  map[string]bool // requests of whose crashes all entries have to hear
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
		unsent:   unsent{crashes: make(map[string]int), breaks: make(map[string]int), urgent: make(map[string]bool), proofs: make(map[string]bool), bans: make(map[string]bool), met: make(map[string]bool), relayed: make(map[string]bool)},
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
	c := i.crashes[upstream]
	return c != nil && !c.at.IsZero()
}

// addSuspect adds a part to the suspects of a crash. It returns false if a ban explains the crash, if a
// later call has proved the part sound, which the others may not know, and if there are too many suspects.
func (i *Isolator) addSuspect(c *crash, upstream, part string) bool {
	if c.isExplained || len(c.suspects) >= maxParts {
		return false
	}
	if i.begun.last(part).After(c.when(IsRequest(part))) {
		i.unsent.proofs[part] = true
		return false
	}
	if !c.suspects[part] && !IsRequest(part) {
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
		if !i.crashes[upstream].when(IsRequest(part)).After(soundAt) {
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
		delete(c.begun, part)
	}
	delete(i.suspects[part], upstream)
	if len(i.suspects[part]) == 0 {
		delete(i.suspects, part)
	}
}

// IsSuspect reports whether an engine crashed under a request or a part that has not been proved sound since.
func (i *Isolator) IsSuspect(suspect string) bool {
	return i.suspects[suspect] != nil
}

// IsLikelyBad reports whether a call with these parts is likely to crash another engine: several have
// crashed under one of the parts, which was never seen to be sound.
func (i *Isolator) IsLikelyBad(parts []string) bool {
	return slices.ContainsFunc(parts, func(part string) bool {
		return len(i.suspects[part]) >= likelyCrashes && !i.hasBegun(part)
	})
}

// hasBegun reports whether a part was ever seen to be sound. What is held against a request has come after its last
// complete answer.
func (i *Isolator) hasBegun(part string) bool {
	return !IsRequest(part) && !i.begun.last(part).IsZero()
}

// expire removes crashes and bans that are too old.
func (i *Isolator) expire(now time.Time) {
	for upstream, c := range i.crashes {
		if now.Sub(c.newest()) > i.c.Lifetime {
			i.dropCrash(upstream)
		}
	}
	maps.DeleteFunc(i.bans, func(_ string, b *ban) bool { return !b.until.After(now) })
}
