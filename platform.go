package foxtailwharf

import (
	"context"
	"io"
	"net"
	"net/netip"

	"github.com/pkg/errors"
)

// Errors of the object API. After ErrUnavailable, it is unknown whether a write took effect.
var (
	ErrNotFound    = errors.New("object not found")
	ErrConflict    = errors.New("object was changed by another writer")
	ErrUnavailable = errors.New("object API unavailable")
)

// Object is a versioned value in the platform's object API.
type Object struct {
	Kind    string
	Name    string
	Version uint64 // assigned by the store; increases with each write
	Value   []byte
}

// ObjectStore is the platform's object API, a key-value store with optimistic concurrency control.
type ObjectStore interface {
	Get(ctx context.Context, kind, name string) (Object, error)
	// Create returns ErrConflict if the object already exists.
	Create(ctx context.Context, o Object) (Object, error)
	// Update returns ErrConflict unless the stored version is o.Version.
	Update(ctx context.Context, o Object) (Object, error)
	// Changes waits for objects of a kind to be written after a version. It returns them and the
	// version up to which they are complete. If there is no change within the store's time limit, it
	// returns no objects.
	Changes(ctx context.Context, kind string, after uint64) ([]Object, uint64, error)
}

// InstanceLister reads the platform's list of instances, which may be out of date.
type InstanceLister interface {
	Instances(ctx context.Context) ([]Instance, error)
}

// Origin is the source of weights, which agents download and then share with each other.
type Origin interface {
	Manifest(ctx context.Context, digest string) ([]byte, error)
	// Chunk returns the data of a chunk without verifying it against the digest.
	Chunk(ctx context.Context, digest string) (io.ReadCloser, error)
}

// EngineReport is the state that an engine reports about itself. It may be out of date.
type EngineReport struct {
	Version string
	Running int
}

// EngineCall is a request to an upstream.
type EngineCall struct {
	Method       string
	Path         string
	ContentType  string
	Accept       string
	Body         []byte
	ResumeAfter  string // ID of the last stream event that the caller has
	CallerKey    string // forwarded as Idempotency-Key if not empty
	IsAtMostOnce bool   // must not be retried by any layer, nor by the HTTP client
}

// EngineAnswer is an upstream's response. The body ends with io.EOF only if the response is
// complete.
type EngineAnswer struct {
	Status      int
	ContentType string
	Version     string // version that answered, according to the engine
	Body        io.ReadCloser
}

// Engine is an upstream: a model engine or a plain service.
type Engine interface {
	// Stage sends complete weights to the engine, which keeps serving its current version.
	Stage(ctx context.Context, version string, size int64, weights io.Reader) error
	// Activate makes the engine serve a staged version. The fencing token lets the engine refuse
	// outdated orders.
	Activate(ctx context.Context, fence uint64, version, role string) error
	Report(ctx context.Context) (EngineReport, error)
	Do(ctx context.Context, call EngineCall) (EngineAnswer, error)
}

// Network opens connections and listeners. Tests replace it with a fake.
type Network interface {
	Listen(ctx context.Context, address netip.AddrPort) (net.Listener, error)
	Dial(ctx context.Context, address netip.AddrPort) (net.Conn, error)
}

// EngineError is the error of a call to an upstream that got no complete response.
type EngineError struct {
	IsNotRun bool // the call was certainly not sent
	IsDead   bool // the upstream closed or reset the connection, as it does when it crashes
	Err      error
}

// Error returns the message of the cause.
func (e *EngineError) Error() string {
	return e.Err.Error()
}

// Unwrap returns the cause, for errors.Is and errors.As.
func (e *EngineError) Unwrap() error {
	return e.Err
}
