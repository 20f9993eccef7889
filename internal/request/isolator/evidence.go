package isolator

import (
	"cmp"
	"maps"
	"slices"
	"strings"
	"time"
)

// Crash is a crash of an engine as an entry tells it to others, with the suspects among its own calls:
// the parts of those that had not begun to be answered.
type Crash struct {
	Upstream string // incarnation
	Age      time.Duration
	Parts    []string
}

// Proof says that a call with a part began to be answered.
type Proof struct {
	Part string
	Age  time.Duration
}

// Ban is a ban of the calls that have all of some parts.
type Ban struct {
	Parts     []string      // sorted
	Age       time.Duration // since the newest crash that is held against the parts
	Remaining time.Duration
}

// Evidence is what entries tell each other. Bans concern all entries; crashes and proofs those that decide, unless
// a proof changes a ban.
type Evidence struct {
	Crashes   []Crash
	Relayed   []Crash // all that is known of crashes; from an entry that decides, for those that do not
	Proofs    []Proof
	Bans      []Ban
	Met       []Ban // bans that calls have met; the entries that decide tell the others
	IsLifting bool  // a proof changes a ban
}

// Older returns evidence that has waited for a time since its ages were told.
func (e Evidence) Older(waited time.Duration) Evidence {
	e.Crashes, e.Proofs, e.Bans = slices.Clone(e.Crashes), slices.Clone(e.Proofs), slices.Clone(e.Bans)
	for n := range e.Crashes {
		e.Crashes[n].Age += waited
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
	for _, upstream := range slices.Sorted(maps.Keys(i.unsent.crashes)) {
		if c := i.crashes[upstream]; c != nil {
			e.Crashes = append(e.Crashes, Crash{Upstream: upstream, Age: now.Sub(c.at), Parts: sortedKeys(c.own)})
		}
		if i.unsent.crashes[upstream]--; i.unsent.crashes[upstream] == 0 {
			delete(i.unsent.crashes, upstream)
		}
	}
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
	clear(i.unsent.proofs)
	clear(i.unsent.bans)
	clear(i.unsent.met)
	clear(i.unsent.relayed)
	i.unsent.isLifting = false
	return e
}

// relayed returns the crashes of which there is news.
func (i *Isolator) relayed(now time.Time) (crashes []Crash) {
	for _, upstream := range sortedKeys(i.unsent.relayed) {
		if c := i.crashes[upstream]; c != nil {
			crashes = append(crashes, Crash{Upstream: upstream, Age: now.Sub(c.at), Parts: sortedKeys(c.suspects)})
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
		return false
	}
	i.addBan(parts, until, crashedAt)
	return true
}
