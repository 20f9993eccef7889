package runner

import (
	"context"
	"time"
)

// patienceTick is the unit in which the time of a keyed call is counted.
const patienceTick = time.Second

// patience ends a keyed call after its time. It counts the ticks of a clock instead
// of setting a deadline: while the process is frozen there are none, so that after
// the thaw an answer which has come meanwhile is still read.
type patience struct {
	ticks  int
	cancel context.CancelCauseFunc
	quit   chan struct{}
	done   chan struct{}
}

// startPatience returns a context that ends after the time, and a function that
// must be called at the end of the call.
func startPatience(ctx context.Context, limit time.Duration) (context.Context, func()) {
	ctx, cancel := context.WithCancelCause(ctx)
	p := &patience{
		ticks:  int(limit/patienceTick) + 1,
		cancel: cancel,
		quit:   make(chan struct{}),
		done:   make(chan struct{}),
	}
	go p.run()
	return ctx, p.stop
}

func (p *patience) run() {
	defer close(p.done)
	ticker := time.NewTicker(patienceTick)
	defer ticker.Stop()
	for range p.ticks {
		select {
		case <-ticker.C:
		case <-p.quit:
			return
		}
	}
	p.cancel(context.DeadlineExceeded)
	<-p.quit
}

func (p *patience) stop() {
	close(p.quit)
	<-p.done
	p.cancel(nil)
}
