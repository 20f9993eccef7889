// Package finisher ends the requests that are in progress at the end of a graceful shutdown, in time for their callers
// to get an answer.
package finisher

import (
	"context"
	"sync"
	"time"

	"github.com/pkg/errors"
)

// ErrEnding is the cause with which requests are cancelled at the end of a shutdown.
var ErrEnding = errors.New("the process is shutting down")

// answerTime is how long before the end of a shutdown requests are cancelled, so that their answers are sent before the
// server closes the connections. net/http looks each half second whether all requests have ended.
const answerTime = 700 * time.Millisecond

// Finisher holds the end of a shutdown. It is safe for concurrent use.
type Finisher struct {
	ending context.Context // done at the end
	end    context.CancelFunc

	mu     sync.Mutex
	endsAt time.Time // zero without a shutdown
}

// New returns a finisher without a shutdown.
func New() *Finisher {
	f := &Finisher{}
	f.ending, f.end = context.WithCancel(context.Background())
	return f
}

// Begin begins a shutdown that lasts until the deadline of ctx. Without a deadline nothing ends.
func (f *Finisher) Begin(ctx context.Context) {
	deadline, hasDeadline := ctx.Deadline()
	if !hasDeadline {
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.endsAt = deadline.Add(-answerTime)
	time.AfterFunc(time.Until(f.endsAt), f.end)
}

// Bound returns the deadline of a request, or the end of the shutdown if that is earlier.
func (f *Finisher) Bound(deadline time.Time) time.Time {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !f.endsAt.IsZero() && f.endsAt.Before(deadline) {
		return f.endsAt
	}
	return deadline
}

// Bind calls cancel with ErrEnding at the end of the shutdown, unless the returned function is called before.
func (f *Finisher) Bind(cancel context.CancelCauseFunc) (unbind func() bool) {
	return context.AfterFunc(f.ending, func() { cancel(ErrEnding) })
}
