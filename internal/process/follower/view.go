package follower

import (
	"time"

	"github.com/foxtailwharf/foxtailwharf"
)

// View is what is known of the store. It must not be changed.
type View struct {
	Configuration *foxtailwharf.Configuration // nil before the first
	Upstreams     []foxtailwharf.Upstream     // by ID
	Releases      []foxtailwharf.Release
	// ConfiguredAt is the moment, by the clock, for which the configuration was surely the
	// newest. It counts where HasProof is set.
	ConfiguredAt time.Duration
	HasProof     bool
	Revisions    Revisions
	// Sequence grows with each change of the list in this process.
	Sequence uint64
	// IsLost says that the store does not tell this process of configurations.
	IsLost      bool
	HasReleases bool // the releases have been read
}

// Version returns the version of the configuration; 0 for none.
func (v View) Version() int64 {
	if v.Configuration == nil {
		return 0
	}
	return v.Configuration.Version
}

// Revisions are the store's revisions up to which each subject is complete; 0 before it was
// read. Two lists are told apart by them and not by their ages: a watch that has just been
// sent knows less than one that has just been answered.
type Revisions struct {
	Configuration uint64
	Upstreams     uint64
	Releases      uint64
}

// of returns the revision of a subject.
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

// Position is a place in the changes of the list in one process.
type Position struct {
	Process  uint64 // drawn at the start of the process; 0 for no position
	Sequence uint64
}

// Word is what another entry tells of the store.
type Word struct {
	Configuration *foxtailwharf.Configuration // nil where this entry has it
	// Version is that of the other entry's configuration, which was surely the newest at
	// ConfiguredAt, by the own clock, where HasProof is set.
	Version      int64
	ConfiguredAt time.Duration
	HasProof     bool
	// List holds the whole list where IsWhole is set, and otherwise what has changed since
	// the position that the question named. It counts where HasList is set.
	HasList   bool
	IsWhole   bool
	Upstreams []foxtailwharf.Upstream
	Gone      []string
	Releases  []foxtailwharf.Release
	Revisions Revisions
	// Position is that of the other entry after this word.
	Position Position
	// IsRelied says that the word stands in for the store's: a list counts also if it is of
	// the same revision, since lapsed entries end without one.
	IsRelied bool
}
