package isolator

import (
	"slices"
	"strings"
	"time"
)

const (
	// maxTrialPause is the longest pause between two trials of a ban.
	maxTrialPause = 4 * time.Hour
	// maxEarlyTrials is the number of early trials of a ban. A second one runs only if the first one shows nothing.
	maxEarlyTrials = 2
	// earlyTrialPause is the time from the newest crash to the first early trial, and between two: engines that have
	// crashed are back.
	earlyTrialPause = 10 * time.Second
	// renewalFraction is the fraction of a ban's length that must be over before a call under it renews it. The
	// other entries are told of each renewal.
	renewalFraction = 0.25
)

// ban is a ban of the calls that have all of some parts: those that the evidence could not tell apart. One may be a
// whole request.
type ban struct {
	parts     []string  // sorted
	until     time.Time // later while calls under the ban come; bounded if one of the parts is a request
	crashedAt time.Time // newest crash that is held against the parts
	// trialAt is when a call may run in spite of the ban, as a trial whether the parts still crash engines,
	// and trialPause the time until the trial after it.
	trialAt    time.Time
	trialPause time.Duration
	// earlyTrials is how many trials may still run soon, since the crashes may have had one other cause. A request has no
	// other trials: one that crashes engines may reach few of them.
	earlyTrials int
}

// key identifies a ban by its parts.
func (b *ban) key() string {
	return strings.Join(b.parts, " ")
}

// Covers reports whether a call with these parts is banned.
func (b Ban) Covers(parts []string) bool {
	return containsAll(parts, b.Parts)
}

// covers is Covers of a ban in force.
func (b *ban) covers(parts []string) bool {
	return containsAll(parts, b.parts)
}

func containsAll(list, wanted []string) bool {
	return !slices.ContainsFunc(wanted, func(part string) bool { return !slices.Contains(list, part) })
}

// renew makes the ban count from a crash.
func (b *ban) renew(at time.Time, length time.Duration) {
	if !at.After(b.crashedAt) {
		return
	}
	b.crashedAt = at
	b.prolong(at.Add(length))
	if next := at.Add(earlyTrialPause); b.earlyTrials > 0 && next.After(b.trialAt) {
		b.trialAt = next
	}
}

// prolong makes the ban last until a time at least, within its limit.
func (b *ban) prolong(until time.Time) {
	if latest := b.crashedAt.Add(maxRequestBan); b.hasRequest() && until.After(latest) {
		until = latest
	}
	if until.After(b.until) {
		b.until = until
	}
}

func (b *ban) hasRequest() bool {
	return slices.ContainsFunc(b.parts, IsRequest)
}

// mayTry reports whether a call may run as a trial.
func (b *ban) mayTry(now time.Time) bool {
	return !now.Before(b.trialAt) && (b.earlyTrials > 0 || !b.hasRequest())
}

// recordTrial records that a call runs in spite of the ban. The pauses between trials grow, but for early ones.
func (b *ban) recordTrial(now time.Time) {
	if b.earlyTrials > 0 {
		b.trialAt = now.Add(earlyTrialPause)
		return
	}
	b.trialPause = min(2*b.trialPause, maxTrialPause)
	b.trialAt = now.Add(b.trialPause)
}

// setEarlyTrials sets the number of early trials that are left, if that is less than before because one has just run.
func (b *ban) setEarlyTrials(now time.Time, count int, length time.Duration) {
	if count >= b.earlyTrials {
		return
	}
	b.earlyTrials, b.trialAt = count, now.Add(earlyTrialPause)
	if count == 0 {
		b.trialAt = b.crashedAt.Add(length)
	}
}

// report returns the ban as it is sent to other entries.
func (b *ban) report(now time.Time) Ban {
	return Ban{Parts: b.parts, Age: now.Sub(b.crashedAt), Remaining: b.until.Sub(now), EarlyTrials: b.earlyTrials}
}

// covering returns a ban that covers a call with these parts; nil if there is none.
func (i *Isolator) covering(parts []string) *ban {
	for _, b := range i.bans {
		if b.covers(parts) {
			return b
		}
	}
	return nil
}

// BanRemaining returns how much longer a call with these parts is banned; 0 if it is not.
func (i *Isolator) BanRemaining(now time.Time, parts []string) (remaining time.Duration) {
	for _, b := range i.bans {
		if b.covers(parts) {
			remaining = max(remaining, b.until.Sub(now))
		}
	}
	return remaining
}

// Meet records that a call with these parts has come. A ban lasts as long as calls under it come. It returns
// how much longer the call is banned, 0 if it is not, and whether it may run nevertheless, once and as a
// trial.
func (i *Isolator) Meet(now time.Time, parts []string) (remaining time.Duration, isTrial bool) {
	isTrial = i.role == RoleTries
	for key, b := range i.bans {
		if !b.covers(parts) || !b.until.After(now) {
			continue
		}
		isTrial = isTrial && b.mayTry(now)
		if until := now.Add(i.c.BanTime); until.Sub(b.until).Seconds() > renewalFraction*i.c.BanTime.Seconds() {
			before := b.until
			b.prolong(until)
			i.unsent.met[key] = i.unsent.met[key] || b.until.After(before)
		}
	}
	if remaining = i.BanRemaining(now, parts); remaining == 0 || !isTrial {
		return remaining, false
	}
	for _, b := range i.bans {
		if b.covers(parts) {
			b.recordTrial(now)
		}
	}
	return remaining, true
}

// RecordTrial records that a call with these parts, which runs as a trial, is sent to an engine. The other entries are
// told, so that none of them repeats it.
func (i *Isolator) RecordTrial(now time.Time, parts []string) {
	for key, b := range i.bans {
		if b.earlyTrials > 0 && b.covers(parts) {
			b.setEarlyTrials(now, b.earlyTrials-1, i.c.BanTime)
			i.unsent.bans[key] = true
		}
	}
}

// RecordTrialCrash records that an engine crashed under a trial: there are no further early ones.
func (i *Isolator) RecordTrialCrash(now time.Time, parts []string) {
	for key, b := range i.bans {
		if b.earlyTrials > 0 && b.covers(parts) {
			b.setEarlyTrials(now, 0, i.c.BanTime)
			i.unsent.bans[key] = true
		}
	}
}

// addBan adds a ban in place of those that it covers, and drops what is held against other parts for the
// crashes that it explains. Other requests that were in flight there may crash engines as well.
func (i *Isolator) addBan(parts []string, until, crashedAt time.Time, earlyTrials int) *ban {
	for key, other := range i.bans {
		if containsAll(other.parts, parts) {
			delete(i.bans, key)
		}
	}
	b := &ban{parts: parts, crashedAt: crashedAt, trialAt: crashedAt.Add(i.c.BanTime), trialPause: i.c.BanTime, earlyTrials: earlyTrials}
	if earlyTrials > 0 {
		b.trialAt = crashedAt.Add(earlyTrialPause)
	}
	b.prolong(until)
	i.bans[b.key()] = b
	for upstream, c := range i.crashes {
		if !c.hasAll(parts) {
			continue
		}
		c.isExplained = true
		for _, suspect := range sortedKeys(c.suspects) {
			if !slices.Contains(parts, suspect) && !IsRequest(suspect) {
				i.forget(suspect, upstream)
			}
		}
	}
	return b
}

func (c *crash) hasAll(parts []string) bool {
	return !slices.ContainsFunc(parts, func(part string) bool { return !c.suspects[part] })
}

// shrinkBans removes a part that was sound at a time from the bans for crashes before. A ban without parts
// ends. It reports whether any ban has changed.
func (i *Isolator) shrinkBans(soundAt time.Time, part string) (isChanged bool) {
	for key, b := range i.bans {
		if !slices.Contains(b.parts, part) || b.crashedAt.After(soundAt) {
			continue
		}
		isChanged = true
		delete(i.bans, key)
		rest := slices.DeleteFunc(slices.Clone(b.parts), func(other string) bool { return other == part })
		if len(rest) == 0 {
			continue
		}
		if kept := i.addBan(rest, b.until, b.crashedAt, b.earlyTrials); b.earlyTrials > 0 {
			kept.trialAt = b.trialAt
		}
	}
	return isChanged
}
