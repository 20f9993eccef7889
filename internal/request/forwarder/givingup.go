package forwarder

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"github.com/foxtailwharf/foxtailwharf/internal/request/splitter"
)

// hear records that data of the answer has arrived. It returns false if the attempt has been given up before.
func (a *attempt) hear() bool {
	a.heardAt.Store(int64(time.Since(a.x.started)))
	return a.arbiter.Hear()
}

// hearEvent is hear for an event of a stream, which shows no progress without data.
func (a *attempt) hearEvent(e splitter.Event) bool {
	if e.HasData {
		return a.hear()
	}
	return a.arbiter.Hear()
}

// hearHead records that the head of a buffered answer has arrived: the upstream has run the call. It returns false if the attempt
// or the call has been given up before.
func (a *attempt) hearHead() bool {
	return a.arbiter.Hear() && a.x.progress.arbiter.Hear()
}

// giveUp cancels the attempt and returns true, unless more than a number of parts of its answer have arrived.
func (a *attempt) giveUp(parts int64, cause error) bool {
	if !a.arbiter.GiveUp(parts) {
		return false
	}
	a.cancel(cause)
	return true
}

// giveUp cancels the call and returns true, unless its answer has begun.
func (x *exchange) giveUp(cause error) bool {
	if !x.progress.arbiter.GiveUp(0) {
		return false
	}
	x.cancel(cause)
	return true
}

// awaitGivenUp waits for the cancellation of an attempt that has been given up, or whose call has, and returns its cause.
func (a *attempt) awaitGivenUp() error {
	<-a.ctx.Done()
	return errors.Wrap(context.Cause(a.ctx), "attempt given up")
}
