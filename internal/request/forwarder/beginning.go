package forwarder

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
)

// States of a beginning.
const (
	beginningOpen int32 = iota
	beginningMade
	beginningGivenUp
)

// beginning decides once whether an attempt begins to be answered or is given up before that. It is safe for concurrent use.
type beginning struct {
	state atomic.Int32
}

// begin records that the answer begins. It returns false if the attempt has been given up.
func (b *beginning) begin() bool {
	return b.state.CompareAndSwap(beginningOpen, beginningMade) || b.isMade()
}

// giveUp returns false if the answer has begun.
func (b *beginning) giveUp() bool {
	return b.state.CompareAndSwap(beginningOpen, beginningGivenUp)
}

// isMade reports whether the answer has begun.
func (b *beginning) isMade() bool {
	return b.state.Load() == beginningMade
}

// hear records that data of the answer has arrived. It returns false if the attempt has been given up before.
func (a *attempt) hear() bool {
	a.heardAt.Store(int64(time.Since(a.x.started)))
	return a.beginning.begin()
}

// giveUp cancels the attempt and returns true, unless it has begun to be answered.
func (a *attempt) giveUp(cause error) bool {
	if !a.beginning.giveUp() {
		return false
	}
	a.cancel(cause)
	return true
}

// awaitGivenUp waits for the cancellation of an attempt that has been given up, and returns its cause.
func awaitGivenUp(ctx context.Context) error {
	<-ctx.Done()
	return errors.Wrap(context.Cause(ctx), "attempt given up")
}
