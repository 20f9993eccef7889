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

const (
	// answerTime is how long before the end of a shutdown requests are cancelled that have not begun to be answered, so that
	// their answers are sent before the server closes the connections.
	answerTime = 400 * time.Millisecond
	// lastBytesTime is the same for streams, of which only the last bytes are still to be sent.
	lastBytesTime = 200 * time.Millisecond
)

// Finisher holds the end of a shutdown. It is safe for concurrent use.
type Finisher struct {
	noticed context.Context // done when callers use other processes
	notice  context.CancelFunc
	ending  context.Context // done when requests have to be answered
	end     context.CancelFunc
	cutting context.Context // done when streams have to end
	cut     context.CancelFunc

	mu     sync.Mutex
	stopAt time.Time // zero without a shutdown
}

// New returns a finisher without a shutdown.
func New() *Finisher {
	f := &Finisher{}
	f.noticed, f.notice = context.WithCancel(context.Background())
	f.ending, f.end = context.WithCancel(context.Background())
	f.cutting, f.cut = context.WithCancel(context.Background())
	return f
}

// Begin begins a shutdown that lasts until the deadline of ctx. Without a deadline nothing ends. During the notice, callers do
// not know of it yet.
func (f *Finisher) Begin(ctx context.Context, notice time.Duration) {
	deadline, hasDeadline := ctx.Deadline()
	if !hasDeadline {
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.stopAt = deadline
	time.AfterFunc(time.Until(deadline)-answerTime, f.end)
	time.AfterFunc(time.Until(deadline)-lastBytesTime, f.cut)
	time.AfterFunc(notice, f.notice)
}

// MayOutlast reports whether a shutdown, of which callers know, ends before a request with a deadline has to. Such a request is
// not begun any more.
func (f *Finisher) MayOutlast(deadline time.Time) bool {
	return f.IsNoticeOver() && f.Bound(deadline).Before(deadline)
}

// IsNoticeOver reports whether a shutdown has lasted for its notice.
func (f *Finisher) IsNoticeOver() bool {
	return f.noticed.Err() != nil
}

// Wait returns a context for a request with a deadline that waits to be begun. It is cancelled with ErrEnding once
// MayOutlast is true. The returned function releases it.
func (f *Finisher) Wait(ctx context.Context, deadline time.Time) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancelCause(ctx)
	unbind := context.AfterFunc(f.noticed, func() {
		if f.MayOutlast(deadline) {
			cancel(ErrEnding)
		}
	})
	return ctx, func() {
		unbind()
		cancel(nil)
	}
}

// Bound returns the deadline of a request, or the end of the shutdown for it if that is earlier.
func (f *Finisher) Bound(deadline time.Time) time.Time {
	return f.bound(deadline, answerTime)
}

// BoundStream is Bound for a request that is answered with a stream, which may begin until requests have to be answered.
func (f *Finisher) BoundStream(deadline time.Time) time.Time {
	if f.ending.Err() != nil {
		return f.bound(deadline, answerTime)
	}
	return f.bound(deadline, lastBytesTime)
}

func (f *Finisher) bound(deadline time.Time, margin time.Duration) time.Time {
	f.mu.Lock()
	defer f.mu.Unlock()
	if end := f.stopAt.Add(-margin); !f.stopAt.IsZero() && end.Before(deadline) {
		return end
	}
	return deadline
}

// Bind calls cancel with ErrEnding at the end of the shutdown, unless the returned function is called before.
func (f *Finisher) Bind(cancel context.CancelCauseFunc) (unbind func() bool) {
	return context.AfterFunc(f.ending, func() { cancel(ErrEnding) })
}

// BindStream is Bind for a request that is answered with a stream. giveUp has to cancel it unless the stream has begun, which goes
// on for as long as its last bytes can still be sent.
func (f *Finisher) BindStream(cancel, giveUp func(cause error)) (unbind func() bool) {
	unbindEnd := context.AfterFunc(f.ending, func() { giveUp(ErrEnding) })
	unbindCut := context.AfterFunc(f.cutting, func() { cancel(ErrEnding) })
	return func() bool {
		isEndUnbound := unbindEnd()
		return unbindCut() && isEndUnbound
	}
}
