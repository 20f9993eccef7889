// Package delegator decides whether an entry reads the platform's store itself or relies on a
// source, another entry of its failure domain that reads it for all of them. This matters in
// fleets of many entries: each call to the store has a cost, and a large document that many
// entries read at once fills the link to the store's region. There is no election. Each entry
// ranks the entries that it knows by rendezvous hashing, and for a while excludes a source that
// does not answer or has lost the store. Then the next in rank is the source, so that the load of
// the store stays the same while it turns some machines away. Two differing views cost only a few
// extra calls. The package does no I/O and reads no clock.
package delegator

import (
	"cmp"
	"maps"
	"net/netip"
	"slices"
	"time"

	"github.com/foxtailwharf/foxtailwharf"
)

// Timing of the decision.
const (
	// replyTTL is how long a reply replaces a read of the store. It is a little longer than the
	// time between two replies, since a change that nobody passes on has to be found within the
	// two seconds that the users allow.
	replyTTL = 1200 * time.Millisecond
	// maxProofAge is the age of a source's proof above which its reply does not count. A source
	// that the store answers has a proof of 2.4 s at the most.
	maxProofAge = 3 * time.Second
	// excludeTime is how long an entry is excluded as a source after it gave no valid reply.
	excludeTime = 3 * time.Second
	// relyingTime replaces excludeTime for a source that itself relies on another entry. It has
	// to read the store as soon as it learns that its own source has failed.
	relyingTime = 300 * time.Millisecond
	// maxSources is the number of entries, the first in rank, that others rely on. If all of them
	// fail, the cause may concern the whole failure domain, and each entry reads the store itself.
	maxSources = 4
	// startupTime is how long an entry that has just started waits for a source that has just
	// started, too, and still has to read the store.
	startupTime = 1500 * time.Millisecond
)

// Config holds the identity and the start time of an entry.
type Config struct {
	Self    netip.AddrPort
	Started time.Time
}

// Delegator holds the decision of one entry. It is not safe for concurrent use.
type Delegator struct {
	c         Config
	sources   []netip.AddrPort // the first known entries of the failure domain in rank, at most maxSources
	excluded  map[netip.AddrPort]time.Time
	lastReply time.Time // last valid reply of the source; zero for none since its last failure
}

// New returns a Delegator that knows no other entries, so that it has no source.
func New(c Config) *Delegator {
	return &Delegator{c: c, excluded: make(map[netip.AddrPort]time.Time)}
}

// Self returns the address of the entry that decides.
func (d *Delegator) Self() netip.AddrPort {
	return d.c.Self
}

// SetEntries sets the other known entries of the failure domain.
func (d *Delegator) SetEntries(others []netip.AddrPort) {
	ranks := map[netip.AddrPort]uint64{d.c.Self: rank(d.c.Self)}
	for _, other := range others {
		ranks[other] = rank(other)
	}
	ranked := slices.SortedFunc(maps.Keys(ranks), func(a, b netip.AddrPort) int { return cmp.Compare(ranks[b], ranks[a]) })
	d.sources = ranked[:min(len(ranked), maxSources)]
}

// rank orders the entries of a failure domain identically in all processes.
func rank(entry netip.AddrPort) uint64 {
	return foxtailwharf.RendezvousScore("store", entry.String())
}

// Source returns the entry to rely on, or false if this one has to read the store itself.
func (d *Delegator) Source(now time.Time) (netip.AddrPort, bool) {
	for _, source := range d.sources {
		if source == d.c.Self {
			break
		}
		if !d.excluded[source].After(now) {
			return source, true
		}
	}
	return netip.AddrPort{}, false
}

// Reply is what another entry reports of its access to the store.
type Reply struct {
	HasProof  bool
	Age       time.Duration // age of its proof
	IsRelying bool          // it relies on another entry itself
	IsLost    bool          // the store does not answer it
	IsNew     bool          // it has not read the store yet
	IsInDoubt bool          // the store proves nothing for a while, to no entry
}

// HandleReply records a reply of an entry and reports whether it replaces a read of the store.
func (d *Delegator) HandleReply(now time.Time, from netip.AddrPort, reply Reply) bool {
	if reply.IsNew && !reply.IsLost && d.isStarting(now) {
		return false
	}
	source, isRelying := d.Source(now)
	switch {
	case reply.IsRelying:
		d.exclude(now, from, relyingTime)
		return false
	case !reply.HasProof || (reply.Age > maxProofAge && !reply.IsInDoubt) || reply.IsLost:
		d.HandleFailure(now, from)
		return false
	case isRelying && from == source:
		d.lastReply = now
	}
	return true
}

// HandleFailure records that an entry gave no valid reply and excludes it as a source for a while.
func (d *Delegator) HandleFailure(now time.Time, from netip.AddrPort) {
	d.exclude(now, from, excludeTime)
}

// exclude excludes an entry as a source for some time.
func (d *Delegator) exclude(now time.Time, from netip.AddrPort, length time.Duration) {
	d.excluded[from] = now.Add(length)
	d.lastReply = time.Time{}
	for other, until := range d.excluded {
		if !until.After(now) {
			delete(d.excluded, other)
		}
	}
}

// isStarting reports whether this entry started so recently that others may be starting, too.
func (d *Delegator) isStarting(now time.Time) bool {
	return now.Sub(d.c.Started) < startupTime
}

// IsDelegated reports whether another entry currently reads the store for this one.
func (d *Delegator) IsDelegated(now time.Time) bool {
	if _, isRelying := d.Source(now); !isRelying {
		return false
	}
	if d.lastReply.IsZero() {
		return d.isStarting(now)
	}
	return now.Sub(d.lastReply) < replyTTL
}
