package runner

import (
	"context"
	"time"
)

// timeoutTick is the unit in which the timeout of a call with a key is counted.
const timeoutTick = time.Second

// callTimeout cancels a call with a key after its timeout. It counts ticks instead of setting a
// deadline: a suspended process gets no ticks, so a response that arrived during the suspension
// is still read afterwards.
type callTimeout struct {
	ticks  int
	cancel context.CancelCauseFunc
	quit   chan struct{}
	done   chan struct{}
}

// startCallTimeout returns a context that is cancelled after the timeout, and a function that
// must be called at the end of the call.
func startCallTimeout(ctx context.Context, limit time.Duration) (context.Context, func()) {
	ctx, cancel := context.WithCancelCause(ctx)
	t := &callTimeout{
		ticks:  int(limit/timeoutTick) + 1,
		cancel: cancel,
		quit:   make(chan struct{}),
		done:   make(chan struct{}),
	}
	go t.run()
	return ctx, t.stop
}

func (t *callTimeout) run() {
	defer close(t.done)
	ticker := time.NewTicker(timeoutTick)
	defer ticker.Stop()
	for range t.ticks {
		select {
		case <-ticker.C:
		case <-t.quit:
			return
		}
	}
	t.cancel(context.DeadlineExceeded)
	<-t.quit
}

func (t *callTimeout) stop() {
	close(t.quit)
	<-t.done
	t.cancel(nil)
}
