package isolator

import (
	"cmp"
	"slices"
	"time"
)

// Crash is a crash of an engine as an entry tells it to others, with the suspects among its own calls.
type Crash struct {
	Upstream string // incarnation
	Age      time.Duration
	Suspects []Suspect
}

// Suspect is a part of a call that had not begun when its engine crashed.
type Suspect struct {
	Part  string
	Depth int // place in the prompt, 0 for the first part
}

// Proof says that a call with a part began to be answered.
type Proof struct {
	Part string
	Age  time.Duration
}

// Ban is a ban of a part.
type Ban struct {
	Part      string
	Age       time.Duration // since the newest crash that is held against the part
	Remaining time.Duration
}

// Evidence is what entries tell each other. Crashes and bans concern all entries, proofs only those
// that decide.
type Evidence struct {
	Crashes []Crash
	Proofs  []Proof
	Bans    []Ban
}

// TakeUnsent returns what this entry has found itself and not returned before.
func (i *Isolator) TakeUnsent(now time.Time) (e Evidence) {
	for _, upstream := range sortedKeys(i.unsent.crashes) {
		if c := i.crashes[upstream]; c != nil {
			e.Crashes = append(e.Crashes, Crash{Upstream: upstream, Age: now.Sub(c.at), Suspects: c.ownSuspects()})
		}
	}
	for _, part := range sortedKeys(i.unsent.proofs) {
		if at := i.begun.last(part); !at.IsZero() {
			e.Proofs = append(e.Proofs, Proof{Part: part, Age: now.Sub(at)})
		}
	}
	for _, part := range sortedKeys(i.unsent.bans) {
		if i.bans[part] != nil {
			e.Bans = append(e.Bans, i.ban(now, part))
		}
	}
	clear(i.unsent.crashes)
	clear(i.unsent.proofs)
	clear(i.unsent.bans)
	return e
}

// ownSuspects returns the suspects among this entry's own calls, sorted by part.
func (c *crash) ownSuspects() (suspects []Suspect) {
	for _, part := range sortedKeys(c.own) {
		suspects = append(suspects, Suspect{Part: part, Depth: c.depth[part]})
	}
	return suspects
}

// Bans returns all bans, sorted by part.
func (i *Isolator) Bans(now time.Time) (bans []Ban) {
	i.expire(now)
	for part := range i.bans {
		bans = append(bans, i.ban(now, part))
	}
	slices.SortFunc(bans, func(a, b Ban) int { return cmp.Compare(a.Part, b.Part) })
	return bans
}

func (i *Isolator) ban(now time.Time, part string) Ban {
	b := i.bans[part]
	return Ban{Part: part, Age: now.Sub(b.crashedAt), Remaining: b.until.Sub(now)}
}

// sameCrash is how much the time of a crash may differ between two entries, because of the time that
// messages take. Entries that took each other's differences for news would renew their bans for ever.
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

// mergeCrash adds a crash that another entry has seen. One under a banned part is explained by the ban.
func (i *Isolator) mergeCrash(now time.Time, c Crash) {
	if slices.ContainsFunc(c.Suspects, func(s Suspect) bool { return i.bans[s.Part] != nil }) {
		return
	}
	known := i.addCrash(now.Add(-c.Age), c.Upstream)
	if known == nil {
		return
	}
	for _, s := range c.Suspects {
		i.addSuspect(known, c.Upstream, s)
	}
}

// mergeBan adds a ban of another entry and reports whether it is new here. If a later call has proved
// the part sound, the others are told so instead.
func (i *Isolator) mergeBan(now time.Time, b Ban) bool {
	crashedAt := now.Add(-b.Age)
	if i.begun.last(b.Part).After(crashedAt) {
		i.unsent.proofs[b.Part] = true
		return false
	}
	if known := i.bans[b.Part]; known != nil {
		if crashedAt.Sub(known.crashedAt) > sameCrash {
			known.crashedAt, known.until = crashedAt, crashedAt.Add(i.c.BanTime)
		}
		return false
	}
	if b.Remaining <= 0 {
		return false
	}
	i.bans[b.Part] = &ban{until: now.Add(min(b.Remaining, i.c.BanTime)), crashedAt: crashedAt}
	i.explain(b.Part)
	return true
}
