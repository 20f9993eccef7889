// Package tracker keeps a process's view of the instances. Records spread by
// exchange between peers and only when they change: of one incarnation the
// highest sequence wins, at the same sequence gone wins over live, and leaving is
// never taken back. An instance that was wrongly found gone refutes it by a
// higher sequence. The package does no I/O and holds no clock.
package tracker

import (
	"cmp"
	"slices"
	"time"

	"github.com/foxtailwharf/foxtailwharf"
)

// Config holds the settings of a Tracker.
type Config struct {
	// Silence is how long an instance may say nothing before it is probed.
	Silence time.Duration
	// Memory is how long a gone incarnation is remembered, so that a late message
	// cannot bring it back.
	Memory time.Duration
	// ListLag is how long an instance may be missing from the platform's list
	// before it counts as gone.
	ListLag time.Duration
}

// Defaults fills in the fields that were left out.
func (c *Config) Defaults() {
	if c.Silence == 0 {
		c.Silence = 5 * time.Second
	}
	if c.Memory == 0 {
		c.Memory = 10 * time.Minute
	}
	if c.ListLag == 0 {
		c.ListLag = time.Minute
	}
}

// Tracker is a process's view of the instances.
type Tracker struct {
	c        Config
	records  map[string]*record                            // by incarnation
	sequence uint64                                        // number of the newest change
	leaving  map[string]bool                               // names that the platform's list says are leaving
	live     map[foxtailwharf.Role][]foxtailwharf.Instance // as Live last returned; emptied by each change
}

type record struct {
	instance foxtailwharf.Instance
	changed  uint64    // number of the change that last touched the record
	direct   time.Time // when the instance itself was last heard
	listed   time.Time // when it last stood in the platform's list; zero if it never did
	gone     time.Time // when it was found gone
}

// New returns an empty view.
func New(c Config) *Tracker {
	c.Defaults()
	return &Tracker{c: c, records: make(map[string]*record), live: make(map[foxtailwharf.Role][]foxtailwharf.Instance)}
}

// Hear takes in a record that a peer passed on.
func (t *Tracker) Hear(now time.Time, i foxtailwharf.Instance) {
	r, isKnown := t.records[i.Incarnation]
	if !isKnown {
		t.insert(now, i)
		return
	}
	isRecentlyHeard := !r.direct.IsZero() && now.Sub(r.direct) < t.c.Silence
	if i.IsGone && i.Sequence == r.instance.Sequence && isRecentlyHeard && !r.instance.IsGone {
		// The instance is live, so it has to refute this: its next announcement is
		// answered with the gone record.
		r.gone = now
		return
	}
	t.merge(now, r, i)
}

// HearDirect takes in a record from the instance itself. It returns true if
// others hold the instance for gone, which it has to refute.
func (t *Tracker) HearDirect(now time.Time, i foxtailwharf.Instance) (mustRefute bool) {
	r, isKnown := t.records[i.Incarnation]
	if !isKnown {
		r = t.insert(now, i)
	} else {
		t.merge(now, r, i)
	}
	r.direct = now
	t.retireOthers(now, i)
	return !r.gone.IsZero() && !i.IsGone
}

func (t *Tracker) insert(now time.Time, i foxtailwharf.Instance) *record {
	r := &record{instance: i}
	t.touch(r)
	if i.IsGone {
		r.gone = now
	}
	t.records[i.Incarnation] = r
	return r
}

// merge takes in a record if it is newer than the known one.
func (t *Tracker) merge(now time.Time, r *record, i foxtailwharf.Instance) {
	isLeaving := r.instance.IsLeaving || i.IsLeaving
	isNewer := i.Sequence > r.instance.Sequence
	isSame := i.Sequence == r.instance.Sequence
	turnsGone := isSame && i.IsGone && !r.instance.IsGone
	if !isNewer && !turnsGone && isLeaving == r.instance.IsLeaving {
		return
	}
	if isNewer || turnsGone {
		r.instance = i
		r.gone = time.Time{}
		if i.IsGone {
			r.gone = now
		}
	}
	r.instance.IsLeaving = isLeaving
	t.touch(r)
}

func (t *Tracker) touch(r *record) {
	clear(t.live)
	t.sequence++
	r.changed = t.sequence
}

// retireOthers marks other incarnations of the same name as gone: an instance
// has one slot, so a new incarnation in it means that the old one has ended.
func (t *Tracker) retireOthers(now time.Time, live foxtailwharf.Instance) {
	for _, r := range t.records {
		if r.instance.Name == live.Name && r.instance.Incarnation != live.Incarnation {
			t.markGone(now, r)
		}
	}
}

// Lost marks an incarnation as gone: it was probed and did not answer, or its
// address answers as another.
func (t *Tracker) Lost(now time.Time, incarnation string) {
	if r, isKnown := t.records[incarnation]; isKnown {
		t.markGone(now, r)
	}
}

func (t *Tracker) markGone(now time.Time, r *record) {
	if r.instance.IsGone {
		return
	}
	r.instance.IsGone = true
	r.gone = now
	t.touch(r)
}

// HearList takes in the platform's list, which lags. It is a hint only: names it
// says are leaving get no new work while it says so, and instances long missing
// from it that say nothing themselves count as gone.
func (t *Tracker) HearList(now time.Time, instances []foxtailwharf.Instance) {
	clear(t.live)
	t.leaving = make(map[string]bool)
	listed := make(map[string]bool, len(instances))
	for _, i := range instances {
		listed[i.Name] = true
		if i.IsLeaving {
			t.leaving[i.Name] = true
		}
	}
	for _, r := range t.records {
		if listed[r.instance.Name] {
			r.listed = now
		}
		// The list says nothing of instances that it never held.
		isUnlisted := !r.listed.IsZero() && now.Sub(r.listed) > t.c.ListLag
		isSilent := now.Sub(r.direct) > t.c.Silence
		if isUnlisted && isSilent {
			t.markGone(now, r)
		}
	}
}

// Silent returns the live instances that used to announce themselves here and
// have said nothing for the time of Silence: they have to be probed.
func (t *Tracker) Silent(now time.Time) []foxtailwharf.Instance {
	return t.collect(func(r *record) bool {
		return !r.instance.IsGone && !r.direct.IsZero() && now.Sub(r.direct) > t.c.Silence
	})
}

// Expire forgets incarnations that have long been gone.
func (t *Tracker) Expire(now time.Time) {
	for incarnation, r := range t.records {
		if r.instance.IsGone && now.Sub(r.gone) > t.c.Memory {
			delete(t.records, incarnation)
		}
	}
}

// Sequence returns the number of the newest change.
func (t *Tracker) Sequence() uint64 {
	return t.sequence
}

// Since returns the records changed after a number that fit, gone ones included, at
// most so many, the oldest changes first. It also returns the number up to which
// they are complete.
func (t *Tracker) Since(number uint64, most int, fits func(i foxtailwharf.Instance) bool) ([]foxtailwharf.Instance, uint64) {
	var changed []*record
	for _, r := range t.records {
		if r.changed > number && fits(r.instance) {
			changed = append(changed, r)
		}
	}
	slices.SortFunc(changed, func(a, b *record) int { return cmp.Compare(a.changed, b.changed) })
	upTo := t.sequence
	if len(changed) > most {
		changed = changed[:most]
		upTo = changed[most-1].changed
	}
	instances := make([]foxtailwharf.Instance, 0, len(changed))
	for _, r := range changed {
		instances = append(instances, r.instance)
	}
	return instances, upTo
}

// Live returns the instances of a role that are not gone. Those that are leaving,
// by their own word or the platform's, are marked so. The slice is shared and must
// not be changed.
func (t *Tracker) Live(role foxtailwharf.Role) []foxtailwharf.Instance {
	if live, isKnown := t.live[role]; isKnown {
		return live
	}
	instances := t.collect(func(r *record) bool { return r.instance.Role == role && !r.instance.IsGone })
	for n := range instances {
		instances[n].IsLeaving = instances[n].IsLeaving || t.leaving[instances[n].Name]
	}
	t.live[role] = instances
	return instances
}

// Gone returns the instances of a role that were found gone and are remembered.
func (t *Tracker) Gone(role foxtailwharf.Role) []foxtailwharf.Instance {
	return t.collect(func(r *record) bool {
		return r.instance.Role == role && r.instance.IsGone && !r.instance.IsLeaving
	})
}

// Find returns the record of an incarnation.
func (t *Tracker) Find(incarnation string) (foxtailwharf.Instance, bool) {
	r, isKnown := t.records[incarnation]
	if !isKnown {
		return foxtailwharf.Instance{}, false
	}
	return r.instance, true
}

// collect returns the records that fit, in order of name.
func (t *Tracker) collect(fits func(r *record) bool) (instances []foxtailwharf.Instance) {
	for _, r := range t.records {
		if fits(r) {
			instances = append(instances, r.instance)
		}
	}
	slices.SortFunc(instances, func(a, b foxtailwharf.Instance) int {
		return cmp.Or(cmp.Compare(a.Name, b.Name), cmp.Compare(a.Incarnation, b.Incarnation))
	})
	return instances
}

// Observers returns the entries to which an agent announces itself: the highest
// by rendezvous score in its own failure domain, and others where it has too few.
func Observers(entries []foxtailwharf.Instance, agent foxtailwharf.Instance, count int) []foxtailwharf.Instance {
	candidates := slices.DeleteFunc(slices.Clone(entries), func(e foxtailwharf.Instance) bool { return e.IsLeaving || e.IsGone })
	slices.SortFunc(candidates, func(a, b foxtailwharf.Instance) int {
		isNearA := a.FailureDomain == agent.FailureDomain
		isNearB := b.FailureDomain == agent.FailureDomain
		if isNearA != isNearB {
			if isNearA {
				return -1
			}
			return 1
		}
		return cmp.Compare(foxtailwharf.Score(agent.Name, b.Name), foxtailwharf.Score(agent.Name, a.Name))
	})
	return candidates[:min(count, len(candidates))]
}
