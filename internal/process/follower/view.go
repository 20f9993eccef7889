package follower

import (
	"slices"
	"time"

	"github.com/foxtailwharf/foxtailwharf"
)

// View is the known state of the store. It is shared and must not be changed.
type View struct {
	Configuration *foxtailwharf.Configuration // nil before the first read
	Upstreams     []foxtailwharf.Upstream     // sorted by ID
	Releases      []foxtailwharf.Release      // of each model in ascending order of version
	// ConfiguredAt is the latest time, by the clock, at which the configuration was certainly
	// the newest. It is valid only if HasProof is set.
	ConfiguredAt time.Duration
	HasProof     bool
	Revisions    Revisions
	// Sequence is incremented by each change of the list in this process.
	Sequence uint64
	// ProvesFrom is when answers of the store prove again that the configuration is the newest, by the clock; zero
	// if the store has not come back from an older copy.
	ProvesFrom time.Duration
	// IsLost is set while the store does not answer this process about configurations.
	IsLost      bool
	HasReleases bool // the releases have been read at least once
}

// Version returns the version of the configuration, or 0 if there is none.
func (v View) Version() int64 {
	if v.Configuration == nil {
		return 0
	}
	return v.Configuration.Version
}

// IsSame reports whether two views of one process have the same configuration, upstreams and
// releases. Their proofs and revisions may differ.
func (v View) IsSame(other View) bool {
	return v.Configuration == other.Configuration && v.Sequence == other.Sequence &&
		v.HasReleases == other.HasReleases && slices.Equal(v.Releases, other.Releases)
}

// Revisions holds the store revision up to which each subject is complete; 0 before its first
// read. Lists are compared by revision and not by age: a watch that has just been started knows
// less than one that has just been answered.
type Revisions struct {
	Configuration uint64
	Upstreams     uint64
	Releases      uint64
}

// of returns a pointer to the revision of a subject.
func (r *Revisions) of(subject foxtailwharf.FleetSubject) *uint64 {
	switch subject {
	case foxtailwharf.SubjectConfiguration:
		return &r.Configuration
	case foxtailwharf.SubjectUpstreams:
		return &r.Upstreams
	default:
		return &r.Releases
	}
}

// Position is a position in one process's sequence of list changes.
type Position struct {
	Process  uint64 // identifies the process, drawn at its start; 0 for no position
	Sequence uint64
}

// PeerState is the state of the store as another entry reports it.
type PeerState struct {
	Configuration *foxtailwharf.Configuration // nil if this entry already has it
	// Version is the version of the other entry's configuration. If HasProof is set, it was
	// certainly the newest at ConfiguredAt, by the local clock.
	Version      int64
	ConfiguredAt time.Duration
	HasProof     bool
	ProvesFrom   time.Duration // as View.ProvesFrom, by the local clock
	// If HasList is set, Upstreams and Gone hold the whole list (IsWhole) or the changes since
	// the position named in the query.
	HasList   bool
	IsWhole   bool
	Upstreams []foxtailwharf.Upstream
	Gone      []string
	// Expiring holds the listed upstreams that are in a grace period at the other entry, which ends
	// after ExpiringFor at the latest.
	Expiring    []string
	ExpiringFor time.Duration
	Releases    []foxtailwharf.Release
	Revisions   Revisions
	// Position is the other entry's position after these changes.
	Position Position
	// IsFromSource is set if the state replaces a read of the store. Its list then counts even
	// at an unchanged revision, since the end of a grace period removes upstreams without a new one.
	IsFromSource bool
}
