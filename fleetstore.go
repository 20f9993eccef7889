package foxtailwharf

import (
	"context"
	"time"

	"github.com/pkg/errors"
)

// ErrHistoryGone means that the changes since a revision are no longer to be had, so
// that everything has to be read anew.
var ErrHistoryGone = errors.New("history of the store is gone")

// FleetSubject is one of the things that the platform's store tells of a fleet.
type FleetSubject string

// The subjects.
const (
	SubjectConfiguration FleetSubject = "Configuration"
	SubjectUpstreams     FleetSubject = "Upstreams"
	SubjectReleases      FleetSubject = "Releases"
)

// FleetPage is the state of a subject, or what has changed in it.
type FleetPage struct {
	// Revision of the store up to which the page is complete.
	Revision      uint64
	Configuration *Configuration // nil where there is none or it has not changed
	Upstreams     []Upstream
	Gone          []string // IDs of upstreams that were removed or can no longer be read
	Releases      []Release
}

// FleetStore reads the platform's store. What cannot be read in it is left out, with
// a log line.
type FleetStore interface {
	// Read returns all of a subject.
	Read(ctx context.Context, subject FleetSubject) (FleetPage, error)
	// Follow returns the changes after a revision, as soon as there are any and after
	// wait at the latest. It fails with ErrHistoryGone if they are no longer known.
	Follow(ctx context.Context, subject FleetSubject, after uint64, wait time.Duration) (FleetPage, error)
}

// EngineState is what a model engine says of itself.
type EngineState struct {
	Born     time.Time
	Weights  int64 // version held whole; 0 for none
	IsBusy   bool  // an order is in progress
	Sequence int64 // number of orders accepted
	Running  int
	Queued   int
	// Slowness is how many times as long as usual the engine takes; 0 where it does not say.
	Slowness float64
}

// ChunkEngine is a model engine that loads weights from chunks laid beside it.
type ChunkEngine interface {
	State(ctx context.Context, model string) (EngineState, error)
	// Staged returns the numbers of the chunks that lie there, of whatever version.
	Staged(ctx context.Context, model string) ([]int, error)
	StagedChunk(ctx context.Context, model string, number int) ([]byte, error)
	Stage(ctx context.Context, model string, number int, data []byte) error
	// Load orders the engine to load what lies there, after what it runs, or at once with
	// isCut, which ends what it runs. The order is refused unless the engine has accepted
	// exactly sequence orders before.
	Load(ctx context.Context, release Release, sequence int64, isCut bool) error
}

// ReleaseOrigin tells the manifests of releases, and gives their chunks.
type ReleaseOrigin interface {
	Origin
	// ReleaseManifest returns a manifest as the system writes it.
	ReleaseManifest(ctx context.Context, release Release) ([]byte, error)
}
