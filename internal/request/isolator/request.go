package isolator

import (
	"cmp"
	"maps"
	"slices"
	"strings"
	"time"
)

const (
	// requestPrefix distinguishes requests from parts of prompts, whose names have no comma.
	requestPrefix = "request,"
	// requestDigits is the number of digits of a request's digest that identify it.
	requestDigits = 16
	// holdTime is how long a request that has crashed CrashesToBan engines is refused before the evidence is weighed:
	// until it has settled and the entries that decide have told their ban.
	holdTime = time.Second
	// heldCrashes is the number of crashes, apart from each other, at which a request is held whatever other engines
	// crash.
	heldCrashes = certainCrashes - 1
	// maxRequestBan is the length of a ban of a request from its newest crash, at the most. Nothing proves that the
	// request has become sound.
	maxRequestBan = time.Hour
	// maxUrgent is the number of requests in one message that is sent at once.
	maxUrgent = 16
)

// Request returns the suspect that stands for a whole request with a digest.
func Request(digest string) string {
	return requestPrefix + digest[:min(requestDigits, len(digest))]
}

// IsRequest reports whether a suspect is a whole request.
func IsRequest(suspect string) bool {
	return strings.HasPrefix(suspect, requestPrefix)
}

// RecordBreak records that a connection to an upstream broke with a call in flight. Suspects are the request and the
// parts of its prompt; the request alone comes under suspicion. The parameter upstream must be different for each
// incarnation. A call that had begun to be answered is less likely to be the cause. It returns the number of crashes that
// are held against the request.
func (i *Isolator) RecordBreak(now, at time.Time, upstream string, suspects []string, hasBegun bool) (crashes int) {
	if b := i.covering(suspects); b != nil {
		b.renew(at, i.c.BanTime)
		return 0
	}
	c := i.addBreak(now, at, upstream)
	for _, request := range suspects {
		if !IsRequest(request) {
			continue
		}
		if i.addRequest(c, upstream, request, hasBegun) {
			c.own[request] = true
		}
		if crashes = len(i.suspects[request]); crashes > 1 {
			i.unsent.urgent[request] = true
		}
	}
	i.unsent.breaks[upstream] = crashSends
	return crashes
}

// addRequest adds a request to the suspects of a crash, as addSuspect does.
func (i *Isolator) addRequest(c *crash, upstream, request string, hasBegun bool) bool {
	isKnown := c.suspects[request]
	if !i.addSuspect(c, upstream, request) {
		return false
	}
	if !hasBegun {
		delete(c.begun, request)
	} else if !isKnown {
		c.begun[request] = true
	}
	return true
}

// addBreak returns what is known of the end of an engine, to which it adds that connections broke.
func (i *Isolator) addBreak(now, at time.Time, upstream string) *crash {
	c := i.record(upstream)
	if c.brokeAt.IsZero() {
		c.brokeHeardAt = now
	}
	if c.brokeAt.IsZero() || at.Before(c.brokeAt) {
		c.brokeAt = at
	}
	return c
}

// RecordComplete records that a request got a complete answer, which clears it.
func (i *Isolator) RecordComplete(now time.Time, request string) {
	if i.suspects[request] == nil && i.covering([]string{request}) == nil && !i.isBanned(request) {
		return
	}
	i.unsent.proofs[request] = true
	i.clear(now, request)
}

// isBanned reports whether any ban has a suspect.
func (i *Isolator) isBanned(suspect string) bool {
	for _, b := range i.bans {
		if slices.Contains(b.parts, suspect) {
			return true
		}
	}
	return false
}

// Held returns how much longer a request is refused because it has crashed several engines just now, and the evidence
// has not been weighed; 0 if it is not. One that is a suspect of few of the crashes meanwhile is not.
func (i *Isolator) Held(now time.Time, request string) time.Duration {
	upstreams := i.suspects[request]
	if len(upstreams) < i.c.CrashesToBan {
		return 0
	}
	var times crashTimes
	unexplained := 0
	for upstream := range upstreams {
		times.add(i.crashes[upstream], request)
		if !i.crashes[upstream].isExplained {
			unexplained++
		}
	}
	if unexplained < crashesToRefine {
		return 0
	}
	times.sort()
	coverage, early := i.coverage(request, times), len(times.early)
	isLikely := coverage >= burstCoverage || (early >= i.c.CrashesToBan && coverage >= minCoverage) || countApart(times.early, requestGap) >= heldCrashes
	if !isLikely {
		return 0
	}
	return max(holdTime-now.Sub(times.last()), 0)
}

// hasLikelyRequest reports whether a crash has a request among its suspects under which several engines have crashed
// before it had begun to be answered.
func (i *Isolator) hasLikelyRequest(c *crash) bool {
	for suspect := range c.suspects {
		if !IsRequest(suspect) || len(i.suspects[suspect]) < i.c.CrashesToBan {
			continue
		}
		early := 0
		for upstream := range i.suspects[suspect] {
			if !i.crashes[upstream].begun[suspect] {
				early++
			}
		}
		if early >= i.c.CrashesToBan {
			return true
		}
	}
	return false
}

// CrashedUpstreams returns the incarnations that ended with a request in flight, sorted, so that it can be retried on
// others.
func (i *Isolator) CrashedUpstreams(request string) []string {
	return sortedKeys(i.suspects[request])
}

// TakeUrgent returns the crashes under requests that have crashed several engines, for all entries. Those under which
// most have come first.
func (i *Isolator) TakeUrgent(now time.Time) (e Evidence) {
	requests := sortedKeys(i.unsent.urgent)
	slices.SortStableFunc(requests, func(a, b string) int { return cmp.Compare(len(i.suspects[b]), len(i.suspects[a])) })
	byUpstream := make(map[string][]string)
	for _, request := range requests[:min(maxUrgent, len(requests))] {
		delete(i.unsent.urgent, request)
		for upstream := range i.suspects[request] {
			byUpstream[upstream] = append(byUpstream[upstream], request)
		}
	}
	for _, upstream := range slices.Sorted(maps.Keys(byUpstream)) {
		e.Breaks = append(e.Breaks, i.crashes[upstream].reportBreak(now, upstream, byUpstream[upstream]))
	}
	return e
}

// reportBreak returns the crash of an engine as it is sent to other entries, with some of its suspected requests.
func (c *crash) reportBreak(now time.Time, upstream string, requests []string) Crash {
	b := Crash{Upstream: upstream, Age: now.Sub(c.when(true))}
	for _, request := range requests {
		if c.begun[request] {
			b.Begun = append(b.Begun, request)
		} else {
			b.Parts = append(b.Parts, request)
		}
	}
	return b
}

// mergeBreaks adds what another entry has seen of the ends of engines. If that makes several crashes under a request, of
// which no entry has told all, all entries have to hear of it.
func (i *Isolator) mergeBreaks(now time.Time, breaks []Crash) {
	told := make(map[string]int)
	for _, b := range breaks {
		if len(b.Parts) > 0 && i.covering(b.Parts) != nil {
			continue
		}
		known := i.addBreak(now, now.Add(-b.Age), b.Upstream)
		for _, request := range slices.Concat(b.Parts, b.Begun) {
			told[request]++
			before := len(i.suspects[request])
			i.addRequest(known, b.Upstream, request, slices.Contains(b.Begun, request))
			if before < i.c.CrashesToBan && len(i.suspects[request]) >= i.c.CrashesToBan && i.role != RoleNone {
				i.unsent.urgent[request] = true
			}
		}
	}
	for request, count := range told {
		if count >= i.c.CrashesToBan {
			delete(i.unsent.urgent, request)
		}
	}
}

// Suspicion is what is held against a request or a part of prompts, and the ban that follows from it, if any.
type Suspicion struct {
	Suspects  []string      // several if the evidence cannot tell them apart
	Upstreams []string      // incarnations that crashed
	Remaining time.Duration // of the ban; 0 for what is not banned
}

// Suspicions returns what is held against all suspects, and all bans.
func (i *Isolator) Suspicions(now time.Time) (all []Suspicion) {
	i.expire(now)
	for _, suspect := range slices.Sorted(maps.Keys(i.suspects)) {
		if !i.isBanned(suspect) {
			all = append(all, Suspicion{Suspects: []string{suspect}, Upstreams: i.CrashedUpstreams(suspect)})
		}
	}
	for _, b := range i.Bans(now) {
		s := Suspicion{Suspects: b.Parts, Remaining: b.Remaining}
		for _, suspect := range b.Parts {
			s.Upstreams = append(s.Upstreams, i.CrashedUpstreams(suspect)...)
		}
		slices.Sort(s.Upstreams)
		s.Upstreams = slices.Compact(s.Upstreams)
		all = append(all, s)
	}
	return all
}

// All returns all evidence against requests, and all bans, for entries that exchange everything.
func (i *Isolator) All(now time.Time) (e Evidence) {
	i.expire(now)
	for _, upstream := range slices.Sorted(maps.Keys(i.crashes)) {
		c := i.crashes[upstream]
		requests := slices.DeleteFunc(sortedKeys(c.suspects), func(suspect string) bool { return !IsRequest(suspect) })
		if len(requests) > 0 {
			e.Breaks = append(e.Breaks, c.reportBreak(now, upstream, requests))
		}
	}
	e.Bans = i.Bans(now)
	i.unsent.clear()
	return e
}
