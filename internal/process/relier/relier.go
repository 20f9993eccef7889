// Package relier decides whether an entry asks the platform's store itself or relies on
// another entry of its failure domain, which asks for all of them. It answers fleets of many
// entries: each call to the store has a price, and a large document that many read at once
// fills the link to the store's region. Nobody is elected: each entry ranks the entries that
// it knows, and one whose word stays out is passed over, so that two views that differ cost a
// few calls and no more. It does no I/O and holds no clock.
package relier

import (
	"net/netip"
	"time"

	"github.com/foxtailwharf/foxtailwharf"
)

// Constants of relying.
const (
	// wordLife is how long a word stands in for the store's: a little longer than the time
	// between two words, since a change that nobody tells has to be found within the users'
	// two seconds.
	wordLife = 1200 * time.Millisecond
	// maxAge is the age of the other entry's proof from which on its word no longer counts:
	// the store's answers bring one of 2.4 s at the most.
	maxAge = 3 * time.Second
	// passTime is how long an entry that gave no good word is passed over.
	passTime = 3 * time.Second
	// startTime is how long an entry that has just started waits for another one that has
	// just started, too, and reads the store for all.
	startTime = 1500 * time.Millisecond
)

// Config holds the settings of a Relier.
type Config struct {
	Self    netip.AddrPort
	Started time.Time
}

// Relier is the decision of one entry.
type Relier struct {
	c       Config
	first   netip.AddrPort // of all entries of the failure domain, by rank
	passed  map[netip.AddrPort]time.Time
	heardAt time.Time // the last good word
}

// New returns a relier that knows no other entries.
func New(c Config) *Relier {
	return &Relier{c: c, first: c.Self, passed: make(map[netip.AddrPort]time.Time)}
}

// Self returns the entry whose decision this is.
func (r *Relier) Self() netip.AddrPort {
	return r.c.Self
}

// SetEntries tells the other entries of the failure domain.
func (r *Relier) SetEntries(others []netip.AddrPort) {
	r.first = r.c.Self
	for _, other := range others {
		if rank(other) > rank(r.first) {
			r.first = other
		}
	}
}

// rank orders the entries of a failure domain in the same way in all processes.
func rank(entry netip.AddrPort) uint64 {
	return foxtailwharf.Score("store", entry.String())
}

// Source returns the entry to rely on, or false where this one has to ask the store itself.
func (r *Relier) Source(now time.Time) (netip.AddrPort, bool) {
	if r.first == r.c.Self || r.passed[r.first].After(now) {
		return netip.AddrPort{}, false
	}
	return r.first, true
}

// Word is what an entry said.
type Word struct {
	HasProof  bool
	Age       time.Duration // of its proof
	IsRelying bool          // it does not ask the store itself
	IsLost    bool          // the store does not answer it
	IsNew     bool          // it has not read the store yet
}

// Heard notes a word of an entry, and reports whether it stands in for the store's.
func (r *Relier) Heard(now time.Time, from netip.AddrPort, w Word) bool {
	if w.IsNew && !w.IsLost && r.isStarting(now) {
		return false
	}
	if !w.HasProof || w.Age > maxAge || w.IsRelying || w.IsLost {
		r.Failed(now, from)
		return false
	}
	if from == r.first {
		r.heardAt = now
	}
	return true
}

// Failed notes that an entry gave no good word.
func (r *Relier) Failed(now time.Time, from netip.AddrPort) {
	r.passed[from] = now.Add(passTime)
	r.heardAt = time.Time{}
	for other, until := range r.passed {
		if !until.After(now) {
			delete(r.passed, other)
		}
	}
}

// isStarting reports whether this entry has started so lately that others may have, too.
func (r *Relier) isStarting(now time.Time) bool {
	return now.Sub(r.c.Started) < startTime
}

// IsRelieved reports whether this entry need not ask the store.
func (r *Relier) IsRelieved(now time.Time) bool {
	if _, isRelying := r.Source(now); !isRelying {
		return false
	}
	if r.heardAt.IsZero() {
		return r.isStarting(now)
	}
	return now.Sub(r.heardAt) < wordLife
}
