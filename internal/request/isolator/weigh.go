package isolator

import (
	"slices"
	"time"
)

const (
	// crashGap is the time after a crash within which further ones are not apart from it: a failure of
	// many engines at once has another cause than a call.
	crashGap = 150 * time.Millisecond
	// requestGap is the same for crashes under a request: one that is tried again does not reach another engine and
	// crash it within that time.
	requestGap = 40 * time.Millisecond
	// requestWindow is the time before the first crash under a request, and after the last one, in which crashes under
	// others tell of another cause: few requests are in flight on several of many engines that fail one by one.
	requestWindow = time.Second
	// minCoverage is the fraction of all crashes meanwhile of which a suspect must be one to be banned after
	// CrashesToBan crashes apart from each other.
	minCoverage = 0.5
	// certainCrashes is the number of crashes that isolate a suspect whatever other engines crash: a sound call seldom
	// runs on one engine after the other that fails before it has begun. Crashes at once do, if it is a suspect of
	// burstCoverage of them.
	certainCrashes = 5
	burstCoverage  = 0.9
	// commonTime is the time within which crashes may have one cause in common that no call is to blame for. A request
	// that many callers send is in flight on most engines then.
	commonTime = time.Second
	// crashesToRefine is the number of crashes under a part of a ban, of calls that the ban does not
	// cover, at which the part is banned by itself.
	crashesToRefine = 2
)

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
		b := i.addBan(i.inseparable(best), now.Add(i.c.BanTime), best.last, best.earlyTrials())
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
		case suspect == c.suspect || !i.isInAll(suspect, c.suspect):
		case IsRequest(suspect):
			requests = append(requests, suspect)
		case !i.hasBegun(suspect) || c.hasBegun:
			suspects = append(suspects, suspect)
		}
	}
	suspects = append(suspects, c.suspect)
	if len(requests) == 1 && !IsRequest(c.suspect) {
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

// candidate is a suspect that the evidence may isolate.
type candidate struct {
	suspect  string
	crashes  int
	hasBegun bool
	first    time.Time
	last     time.Time
}

// earlyTrials returns the number of early trials of a ban of the candidate.
func (c candidate) earlyTrials() int {
	if c.last.Sub(c.first) > commonTime {
		return 0
	}
	return maxEarlyTrials
}

// isolate returns the suspect that the evidence isolates best.
func (i *Isolator) isolate(now time.Time) (best candidate, isFound bool) {
	for suspect := range i.suspects {
		c, isCandidate := i.candidate(now, suspect)
		if isCandidate && (!isFound || isBetter(c, best)) {
			best, isFound = c, true
		}
	}
	return best, isFound
}

// candidate returns what is held against a suspect; false if that is too little for a ban.
func (i *Isolator) candidate(now time.Time, suspect string) (c candidate, isCandidate bool) {
	if len(i.suspects[suspect]) < i.c.CrashesToBan {
		return c, false
	}
	c = candidate{suspect: suspect, hasBegun: i.hasBegun(suspect)}
	isRequest := IsRequest(suspect)
	var times crashTimes
	isNew, unexplained := true, 0
	for upstream := range i.suspects[suspect] {
		crashed := i.crashes[upstream]
		if !crashed.isSettled(now, isRequest) {
			continue
		}
		times.add(crashed, suspect)
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
	c.crashes, c.first, c.last = len(times.all), times.all[0], times.last()
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
	apart, coverage := countApart(times.early, gap(c.suspect)), i.coverage(c.suspect, times)
	isCovered := apart >= i.c.CrashesToBan && coverage >= minCoverage
	switch {
	case c.hasBegun:
		return c.crashes >= certainCrashes && isCovered
	case isCovered || apart >= certainCrashes:
		return true
	default:
		// Copies of one request crash engines at once.
		return (IsRequest(c.suspect) || c.crashes >= certainCrashes) && coverage >= burstCoverage
	}
}

// coverage returns the fraction of all crashes meanwhile of which a suspect is one.
func (i *Isolator) coverage(suspect string, times crashTimes) float64 {
	return float64(len(times.all)) / float64(max(i.crashesAround(times.all[0], times.last(), suspect), 1))
}

// crashesAround returns the number of crashes in a period and around it, but for those that another suspect may explain:
// one that is banned, or another request under which several engines have crashed.
func (i *Isolator) crashesAround(from, to time.Time, suspect string) (count int) {
	around := crashGap
	if IsRequest(suspect) {
		around = requestWindow
	}
	from, to = from.Add(-around), to.Add(around)
	for _, c := range i.crashes {
		at := c.when(IsRequest(suspect))
		isOther := c.isExplained || (IsRequest(suspect) && i.hasLikelyRequest(c))
		if !at.Before(from) && !at.After(to) && (c.suspects[suspect] || !isOther) {
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
		return a.suspect < b.suspect
	}
}
