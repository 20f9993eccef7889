package isolator

import (
	"cmp"
	"maps"
	"slices"
	"strings"
	"time"
)

// Crash is a crash of an engine as an entry tells it to others, with the suspects among its own calls:
// the parts of those that had not begun to be answered, or the requests.
type Crash struct {
	Upstream string // incarnation
	Age      time.Duration
	Parts    []string
	Begun    []string // requests that had begun to be answered
}

// Proof says that a call with a part began to be answered, or a request was answered whole.
type Proof struct {
	Part string
	Age  time.Duration
}

// Ban is a ban of the calls that have all of some parts, one of which may be the request itself.
type Ban struct {
	Parts       []string      // sorted
	Age         time.Duration // since the newest crash that is held against the parts
	Remaining   time.Duration
	EarlyTrials int // that may still run
}

// Evidence is what entries tell each other. Bans concern all entries; crashes and proofs those that decide, unless
// a proof changes a ban.
type Evidence struct {
	Crashes   []Crash
	Breaks    []Crash // connections that broke with requests in flight, which are the suspects
	Relayed   []Crash // all that is known of crashes; from an entry that decides, for those that do not
	Proofs    []Proof
	Bans      []Ban
	Met       []Ban // bans that calls have met; the entries that decide tell the others
	IsLifting bool  // a proof changes a ban
}

// Older returns evidence that has waited for a time since its ages were told.
func (e Evidence) Older(waited time.Duration) Evidence {
	e.Crashes, e.Breaks, e.Proofs, e.Bans = slices.Clone(e.Crashes), slices.Clone(e.Breaks), slices.Clone(e.Proofs), slices.Clone(e.Bans)
	for n := range e.Crashes {
		e.Crashes[n].Age += waited
	}
	for n := range e.Breaks {
		e.Breaks[n].Age += waited
	}
	for n := range e.Proofs {
		e.Proofs[n].Age += waited
	}
	for n := range e.Bans {
		e.Bans[n].Age += waited
		e.Bans[n].Remaining -= waited
	}
	return e
}

// TakeUnsent returns what this entry has found itself and not returned before. It returns crashes
// several times.
func (i *Isolator) TakeUnsent(now time.Time) (e Evidence) {
	e.Crashes = i.takeCrashes(now, i.unsent.crashes, false)
	e.Breaks = i.takeCrashes(now, i.unsent.breaks, true)
	if i.role != RoleNone {
		e.Relayed = i.relayed(now)
	}
	for _, part := range sortedKeys(i.unsent.proofs) {
		if at := i.begun.last(part); !at.IsZero() {
			e.Proofs = append(e.Proofs, Proof{Part: part, Age: now.Sub(at)})
		}
	}
	e.Bans, e.Met = i.reports(now, i.unsent.bans), i.reports(now, i.unsent.met)
	e.IsLifting = i.unsent.isLifting
	i.unsent.clear()
	return e
}

// clear drops all but crashes that are still to be sent again, and urgent ones.
func (u *unsent) clear() {
	clear(u.proofs)
	clear(u.bans)
	clear(u.met)
	clear(u.relayed)
	u.isLifting = false
}

// takeCrashes returns the crashes that are still to be sent, each with those of this entry's own suspects that are
// requests, or with the others.
func (i *Isolator) takeCrashes(now time.Time, sends map[string]int, isRequest bool) (crashes []Crash) {
	for _, upstream := range slices.Sorted(maps.Keys(sends)) {
		if c := i.crashes[upstream]; c != nil {
			own := slices.DeleteFunc(sortedKeys(c.own), func(suspect string) bool { return IsRequest(suspect) != isRequest })
			if isRequest {
				crashes = append(crashes, c.reportBreak(now, upstream, own))
			} else {
				crashes = append(crashes, Crash{Upstream: upstream, Age: now.Sub(c.at), Parts: own})
			}
		}
		if sends[upstream]--; sends[upstream] == 0 {
			delete(sends, upstream)
		}
	}
	return crashes
}

// relayed returns the crashes of which there is news, with the parts of prompts that are suspects.
func (i *Isolator) relayed(now time.Time) (crashes []Crash) {
	for _, upstream := range sortedKeys(i.unsent.relayed) {
		if i.HasCrash(upstream) {
			c := i.crashes[upstream]
			crashes = append(crashes, Crash{Upstream: upstream, Age: now.Sub(c.at), Parts: slices.DeleteFunc(sortedKeys(c.suspects), IsRequest)})
		}
	}
	return crashes
}

// reports returns bans by their keys, as they are sent to other entries.
func (i *Isolator) reports(now time.Time, keys map[string]bool) (bans []Ban) {
	for _, key := range sortedKeys(keys) {
		if b := i.bans[key]; b != nil {
			bans = append(bans, b.report(now))
		}
	}
	return bans
}

// sortedKeys returns the keys of a set in order.
func sortedKeys(set map[string]bool) []string {
	return slices.Sorted(maps.Keys(set))
}

// Bans returns all bans, sorted by their parts.
func (i *Isolator) Bans(now time.Time) (bans []Ban) {
	i.expire(now)
	for _, b := range i.bans {
		bans = append(bans, b.report(now))
	}
	slices.SortFunc(bans, func(a, b Ban) int { return cmp.Compare(strings.Join(a.Parts, " "), strings.Join(b.Parts, " ")) })
	return bans
}

// sameCrash is how much the time of a crash or the end of a ban may differ between two entries, because of the
// time that messages take. Entries that took each other's differences for news would renew their bans for ever.
const sameCrash = time.Second

// Merge adds the evidence of another entry. It returns the bans that are new here.
func (i *Isolator) Merge(now time.Time, e Evidence) (banned []Ban) {
	for _, p := range e.Proofs {
		i.clear(now.Add(-p.Age), p.Part)
	}
	for _, b := range e.Bans {
		if i.mergeBan(now, b) {
			banned = append(banned, b)
		}
	}
	for _, c := range e.Crashes {
		i.mergeCrash(now, c)
	}
	i.mergeBreaks(now, e.Breaks)
	return banned
}

// mergeCrash adds a crash that another entry has seen. One under all parts of a ban is explained by it.
func (i *Isolator) mergeCrash(now time.Time, c Crash) {
	if len(c.Parts) > 0 && i.covering(c.Parts) != nil {
		return
	}
	known := i.addCrash(now, now.Add(-c.Age), c.Upstream)
	for _, part := range c.Parts {
		i.addSuspect(known, c.Upstream, part)
	}
}

// mergeBan adds a ban of another entry and reports whether it is new here. It leaves out parts that a
// later call has proved sound, and the others are told so.
func (i *Isolator) mergeBan(now time.Time, b Ban) bool {
	crashedAt := now.Add(-b.Age)
	parts := slices.DeleteFunc(slices.Clone(b.Parts), func(part string) bool {
		isSound := i.begun.last(part).After(crashedAt)
		if isSound {
			i.unsent.proofs[part] = true
			i.unsent.isLifting = true
		}
		return isSound
	})
	if len(parts) == 0 || b.Remaining <= 0 {
		return false
	}
	until := now.Add(min(b.Remaining, i.c.BanTime))
	if known := i.covering(parts); known != nil {
		if crashedAt.Sub(known.crashedAt) > sameCrash {
			known.renew(crashedAt, i.c.BanTime)
		}
		if until.Sub(known.until) > sameCrash {
			known.prolong(until)
		}
		known.setEarlyTrials(now, b.EarlyTrials, i.c.BanTime)
		return false
	}
	i.addBan(parts, until, crashedAt, b.EarlyTrials)
	return true
}
