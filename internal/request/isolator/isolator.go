// Package isolator finds what crashes upstreams: a request that is sent again and again, or a part of prompts
// among calls of which no two are alike. When an upstream ends, all requests in flight there are suspects, and the
// parts of those calls that had not begun to be answered. A call that begins proves that its parts are sound,
// since a bad part crashes each engine before it writes anything; a complete answer proves the request sound.
// What is left after several crashes is banned. Entries exchange crashes, proofs and bans, with ages instead of
// times, since each of them sees a part of the calls in flight only. The package does no I/O and reads no clock.
package isolator

import (
	"maps"
	"slices"
	"time"
)

const (
	// settleTime is how long a crash waits for proofs, from when it was heard of, before it counts.
	settleTime = 300 * time.Millisecond
	// unconfirmedTime is how long broken connections wait for word that the engine has ended before they count as a
	// crash under the requests that were in flight. Plain services have no agents that would tell.
	unconfirmedTime = 600 * time.Millisecond
	// crashGap is the time after a crash within which further ones are not apart from it: a failure of
	// many engines at once has another cause than a call.
	crashGap = 150 * time.Millisecond
	// requestGap is the same for crashes under a request: one that is tried again does not reach another engine and
	// crash it within that time.
	requestGap = 40 * time.Millisecond
	// requestWindow is the time before the first crash under a request, and after the last one, in which crashes under
	// others tell of another cause: few requests are in flight on several of many engines that fail one by one.
	requestWindow = time.Second
	// likelyCrashes is the number of crashes at which a part that was never seen to be sound is likely to
	// be bad.
	likelyCrashes = 2
	// defaultCrashesToBan is the default of Config.CrashesToBan.
	defaultCrashesToBan = 3
	// minCoverage is the fraction of all crashes meanwhile of which a suspect must be one to be banned after
	// CrashesToBan crashes apart from each other.
	minCoverage = 0.5
	// certainCrashes is the number of crashes that isolate a suspect whatever other engines crash: a sound call seldom
	// runs on one engine after the other that fails before it has begun. Crashes at once do, if it is a suspect of
	// burstCoverage of them.
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

// inseparable returns a candidate with all suspects of the same crashes. Parts that were seen to be sound are left
// out, unless the candidate itself was. Since a call is one request only, so are others than the candidate, and
// several.
func (i *Isolator) inseparable(c candidate) (suspects []string) {
	var requests []string
	for suspect := range i.suspects {
		switch {
		case suspect == c.part || !i.isInAll(suspect, c.part):
		case IsRequest(suspect):
			requests = append(requests, suspect)
		case !i.hasBegun(suspect) || c.hasBegun:
			suspects = append(suspects, suspect)
		}
	}
	suspects = append(suspects, c.part)
	if len(requests) == 1 && !IsRequest(c.part) {
		suspects = append(suspects, requests[0])
	}
	slices.Sort(suspects)
	return suspects
}

// isInAll reports whether a suspect is one of all crashes of which another one is.
func (i *Isolator) isInAll(suspect, other string) bool {
	for upstream := range i.suspects[other] {
		if !i.suspects[suspect][upstream] {
			return false
		}
	}
	return true
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

// candidate is a suspect that the evidence may isolate.
type candidate struct {
	part     string
	crashes  int
	hasBegun bool
	last     time.Time
}

// isolate returns the suspect that the evidence isolates best.
func (i *Isolator) isolate(now time.Time) (best candidate, isFound bool) {
	for part := range i.suspects {
		c, isCandidate := i.candidate(now, part)
		if isCandidate && (!isFound || isBetter(c, best)) {
			best, isFound = c, true
		}
	}
	return best, isFound
}

// candidate returns what is held against a suspect; false if that is too little for a ban.
func (i *Isolator) candidate(now time.Time, part string) (c candidate, isCandidate bool) {
	c = candidate{part: part, hasBegun: i.hasBegun(part)}
	isRequest := IsRequest(part)
	var times crashTimes
	isNew, unexplained := true, 0
	for upstream := range i.suspects[part] {
		crashed := i.crashes[upstream]
		if !crashed.isSettled(now, isRequest) {
			continue
		}
		times.add(crashed, part)
		if crashed.isExplained {
			isNew = false
		} else {
			unexplained++
		}
	}
	if len(times.all) < i.c.CrashesToBan || unexplained == 0 || (!isNew && unexplained < crashesToRefine) {
		return c, false
	}
	times.sort()
	c.crashes, c.last = len(times.all), times.last()
	return c, i.isIsolated(c, times)
}

// crashTimes are the times of the crashes under a suspect.
type crashTimes struct {
	all   []time.Time
	early []time.Time // of those at which no call with the suspect had begun to be answered
}

func (t *crashTimes) add(c *crash, suspect string) {
	at := c.when(IsRequest(suspect))
	t.all = append(t.all, at)
	if !c.begun[suspect] {
		t.early = append(t.early, at)
	}
}

func (t *crashTimes) sort() {
	slices.SortFunc(t.all, time.Time.Compare)
	slices.SortFunc(t.early, time.Time.Compare)
}

func (t *crashTimes) last() time.Time {
	return t.all[len(t.all)-1]
}

// isIsolated reports whether crashes are enough for a ban.
func (i *Isolator) isIsolated(c candidate, times crashTimes) bool {
	apart, coverage := countApart(times.early, gap(c.part)), i.coverage(c.part, times)
	isCovered := apart >= i.c.CrashesToBan && coverage >= minCoverage
	switch {
	case c.hasBegun:
		return c.crashes >= certainCrashes && isCovered
	case isCovered || apart >= certainCrashes:
		return true
	default:
		// Copies of one request crash engines at once.
		return (IsRequest(c.part) || c.crashes >= certainCrashes) && coverage >= burstCoverage
	}
}

// coverage returns the fraction of all crashes meanwhile of which a suspect is one.
func (i *Isolator) coverage(part string, times crashTimes) float64 {
	return float64(len(times.all)) / float64(max(i.crashesAround(times.all[0], times.last(), part), 1))
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

// crashesAround returns the number of crashes in a period and around it, but for those that another suspect may explain:
// one that is banned, or another request under which several engines have crashed.
func (i *Isolator) crashesAround(from, to time.Time, part string) (count int) {
	around := crashGap
	if IsRequest(part) {
		around = requestWindow
	}
	from, to = from.Add(-around), to.Add(around)
	for _, c := range i.crashes {
		at := c.when(IsRequest(part))
		isOther := c.isExplained || (IsRequest(part) && i.hasLikelyRequest(c))
		if !at.Before(from) && !at.After(to) && (c.suspects[part] || !isOther) {
			count++
		}
	}
	return count
}

// gap returns the time after a crash within which further ones are not apart from it, for a suspect.
func gap(suspect string) time.Duration {
	if IsRequest(suspect) {
		return requestGap
	}
	return crashGap
}

// countApart counts sorted times, those within a gap of the first as one.
func countApart(times []time.Time, gap time.Duration) (count int) {
	var first time.Time
	for _, at := range times {
		if count == 0 || at.Sub(first) > gap {
			first = at
			count++
		}
	}
	return count
}

// isBetter reports whether the evidence against a is better than that against b: a suspect that was never
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
		if now.Sub(c.newest()) > i.c.Lifetime {
			i.dropCrash(upstream)
		}
	}
	maps.DeleteFunc(i.bans, func(_ string, b *ban) bool { return !b.until.After(now) })
}
