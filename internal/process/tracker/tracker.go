// Package tracker keeps a process's view of the instances. Peers exchange records only when they
// change. Within one incarnation the record with the highest sequence wins; at the same sequence
// gone wins over live, and leaving is never reverted. An instance that is wrongly considered gone
// refutes it with a higher sequence. The package does no I/O and reads no clock.
package tracker

import (
	"cmp"
	"slices"
	"time"

	"github.com/foxtailwharf/foxtailwharf"
)

// Config holds the settings of a Tracker. Fields that are 0 get defaults.
type Config struct {
	// SilenceTimeout is how long an instance may be silent before it is probed; default 5 s.
	SilenceTimeout time.Duration
	// GoneTTL is how long a gone incarnation is remembered, so that a late record cannot make it
	// live again; default 10 min.
	GoneTTL time.Duration
	// ListLag is how long an instance may be missing from the platform's list before it counts
	// as gone; default 1 min.
	ListLag time.Duration
}

// Defaults sets the fields that are 0 to their defaults.
func (c *Config) Defaults() {
	if c.SilenceTimeout == 0 {
		c.SilenceTimeout = 5 * time.Second
	}
	if c.GoneTTL == 0 {
		c.GoneTTL = 10 * time.Minute
	}
	if c.ListLag == 0 {
		c.ListLag = time.Minute
	}
}

// Tracker is a process's view of the instances. It is not safe for concurrent use.
type Tracker struct {
	c        Config
	records  map[string]*record                            // by incarnation
	sequence uint64                                        // number of the latest change
	leaving  map[string]bool                               // names of instances that the platform's list marks as leaving
	live     map[foxtailwharf.Role][]foxtailwharf.Instance // cached results of Live; cleared by each change
}

type record struct {
	instance   foxtailwharf.Instance
	changed    uint64    // number of the latest change of the record
	lastDirect time.Time // when the instance itself was last heard from
	listed     time.Time // when the platform's list last held it; zero for never
	goneAt     time.Time // when it was found gone, or a peer reported so; zero for neither
}

// New returns a tracker without any records.
func New(c Config) *Tracker {
	c.Defaults()
	return &Tracker{c: c, records: make(map[string]*record), live: make(map[foxtailwharf.Role][]foxtailwharf.Instance)}
}

// ApplyRelayed merges a record that a peer passed on.
func (t *Tracker) ApplyRelayed(now time.Time, i foxtailwharf.Instance) {
	r, isKnown := t.records[i.Incarnation]
	if !isKnown {
		t.insert(now, i)
		return
	}
	isRecentlyHeard := !r.lastDirect.IsZero() && now.Sub(r.lastDirect) < t.c.SilenceTimeout
	if i.IsGone && i.Sequence == r.instance.Sequence && isRecentlyHeard && !r.instance.IsGone {
		// The instance is live and has to refute this. ApplyDirect reports so for its next record,
		// and the answer to that includes the gone record.
		r.goneAt = now
		return
	}
	t.merge(now, r, i)
}

// ApplyDirect merges a record that comes from the instance itself. It returns true if others
// consider the instance gone, which it then has to refute.
func (t *Tracker) ApplyDirect(now time.Time, i foxtailwharf.Instance) (mustRefute bool) {
	r, isKnown := t.records[i.Incarnation]
	if !isKnown {
		r = t.insert(now, i)
	} else {
		t.merge(now, r, i)
	}
	r.lastDirect = now
	t.retireOthers(now, i)
	return !r.goneAt.IsZero() && !i.IsGone
}

func (t *Tracker) insert(now time.Time, i foxtailwharf.Instance) *record {
	r := &record{instance: i}
	t.recordChange(r)
	if i.IsGone {
		r.goneAt = now
	}
	t.records[i.Incarnation] = r
	return r
}

// merge replaces the known record if the new one is newer.
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
		r.goneAt = time.Time{}
		if i.IsGone {
			r.goneAt = now
		}
	}
	r.instance.IsLeaving = isLeaving
	t.recordChange(r)
}

func (t *Tracker) recordChange(r *record) {
	clear(t.live)
	t.sequence++
	r.changed = t.sequence
}

// retireOthers marks the other incarnations of the same name as gone: only one process runs under a
// name at a time, so that a new incarnation means that the old one has ended.
func (t *Tracker) retireOthers(now time.Time, live foxtailwharf.Instance) {
	for _, r := range t.records {
		if r.instance.Name == live.Name && r.instance.Incarnation != live.Incarnation {
			t.markGone(now, r)
		}
	}
}

// MarkLost marks an incarnation as gone because it did not answer a probe, or because another
// incarnation answers at its address.
func (t *Tracker) MarkLost(now time.Time, incarnation string) {
	if r, isKnown := t.records[incarnation]; isKnown {
		t.markGone(now, r)
	}
}

func (t *Tracker) markGone(now time.Time, r *record) {
	if r.instance.IsGone {
		return
	}
	r.instance.IsGone = true
	r.goneAt = now
	t.recordChange(r)
}

// ApplyList applies the platform's list, which lags behind and serves only as a hint. Instances that
// it marks as leaving get no new work while it does, and instances that are missing from it for
// ListLag and are silent count as gone.
func (t *Tracker) ApplyList(now time.Time, instances []foxtailwharf.Instance) {
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
		// Instances that were never in the list are unaffected by their absence.
		isUnlisted := !r.listed.IsZero() && now.Sub(r.listed) > t.c.ListLag
		isSilent := now.Sub(r.lastDirect) > t.c.SilenceTimeout
		if isUnlisted && isSilent {
			t.markGone(now, r)
		}
	}
}

// Silent returns the live instances that used to announce themselves to this process and have been
// silent for SilenceTimeout. They have to be probed.
func (t *Tracker) Silent(now time.Time) []foxtailwharf.Instance {
	return t.collect(func(r *record) bool {
		return !r.instance.IsGone && !r.lastDirect.IsZero() && now.Sub(r.lastDirect) > t.c.SilenceTimeout
	})
}

// Expire deletes incarnations that have been gone for GoneTTL.
func (t *Tracker) Expire(now time.Time) {
	for incarnation, r := range t.records {
		if r.instance.IsGone && now.Sub(r.goneAt) > t.c.GoneTTL {
			delete(t.records, incarnation)
		}
	}
}

// Sequence returns the number of the latest change.
func (t *Tracker) Sequence() uint64 {
	return t.sequence
}

// Since returns up to limit matching records that changed after the change numbered since,
// including gone ones, oldest changes first. It also returns the number of the change up to which
// the result is complete.
func (t *Tracker) Since(since uint64, limit int, matches func(i foxtailwharf.Instance) bool) ([]foxtailwharf.Instance, uint64) {
	var changed []*record
	for _, r := range t.records {
		if r.changed > since && matches(r.instance) {
			changed = append(changed, r)
		}
	}
	slices.SortFunc(changed, func(a, b *record) int { return cmp.Compare(a.changed, b.changed) })
	upTo := t.sequence
	if len(changed) > limit {
		changed = changed[:limit]
		upTo = changed[limit-1].changed
	}
	instances := make([]foxtailwharf.Instance, 0, len(changed))
	for _, r := range changed {
		instances = append(instances, r.instance)
	}
	return instances, upTo
}

// Live returns the instances of a role that are not gone. IsLeaving is set if the instance or the
// platform's list says so. The slice is shared and must not be changed.
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

// Gone returns the remembered instances of a role that are gone without having been leaving.
func (t *Tracker) Gone(role foxtailwharf.Role) []foxtailwharf.Instance {
	return t.collect(func(r *record) bool {
		return r.instance.Role == role && r.instance.IsGone && !r.instance.IsLeaving
	})
}

// Find returns the record of an incarnation; false if it is not known.
func (t *Tracker) Find(incarnation string) (foxtailwharf.Instance, bool) {
	r, isKnown := t.records[incarnation]
	if !isKnown {
		return foxtailwharf.Instance{}, false
	}
	return r.instance, true
}

// collect returns the matching records, sorted by name and incarnation.
func (t *Tracker) collect(matches func(r *record) bool) (instances []foxtailwharf.Instance) {
	for _, r := range t.records {
		if matches(r) {
			instances = append(instances, r.instance)
		}
	}
	slices.SortFunc(instances, func(a, b foxtailwharf.Instance) int {
		return cmp.Or(cmp.Compare(a.Name, b.Name), cmp.Compare(a.Incarnation, b.Incarnation))
	})
	return instances
}

// Observers returns the entries that an instance announces itself to, or that probe it, up to count:
// those with the highest rendezvous scores in its own failure domain, then those of other domains if
// there are too few. The instance may be an entry too.
func Observers(entries []foxtailwharf.Instance, instance foxtailwharf.Instance, count int) []foxtailwharf.Instance {
	candidates := slices.DeleteFunc(slices.Clone(entries), func(e foxtailwharf.Instance) bool { return e.IsLeaving || e.IsGone })
	slices.SortFunc(candidates, func(a, b foxtailwharf.Instance) int {
		isNearA := a.FailureDomain == instance.FailureDomain
		isNearB := b.FailureDomain == instance.FailureDomain
		if isNearA != isNearB {
			if isNearA {
				return -1
			}
			return 1
		}
		return cmp.Compare(foxtailwharf.RendezvousScore(instance.Name, b.Name), foxtailwharf.RendezvousScore(instance.Name, a.Name))
	})
	return candidates[:min(count, len(candidates))]
}
