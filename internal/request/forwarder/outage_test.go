package forwarder_test

import (
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"
	"time"
)

// TestReturnsInOutage plays callers that come steadily while no upstream can take their calls for
// five seconds, and that come back once, when they are told to. Those that come so shortly before
// the end that they may still return after it are served.
func TestReturnsInOutage(t *testing.T) {
	const outage, interval = 5 * time.Second, 25 * time.Millisecond
	const returnable = 1300 * time.Millisecond // before the end of the outage
	run(t, func(b *bench) {
		b.update()
		begin := time.Now()
		var callers sync.WaitGroup
		var came, served, tooLate atomic.Int64
		for range int(outage / interval) {
			callers.Go(func() {
				isReturnable := outage-time.Since(begin) <= returnable
				a, isLong := b.callTwice("/look/1")
				if isLong {
					tooLate.Add(1)
				}
				if isReturnable {
					came.Add(1)
				}
				if isReturnable && a.status == http.StatusOK {
					served.Add(1)
				}
			})
			time.Sleep(interval)
		}
		b.upstream(2, text(http.StatusOK, "ok"))
		callers.Wait()
		t.Logf("%d of %d callers that came shortly before the end were served", served.Load(), came.Load())
		if served.Load() < came.Load()*9/10 {
			t.Errorf("%d of %d callers that came shortly before the end were served, want nine in ten", served.Load(), came.Load())
		}
		if tooLate.Load() > 0 {
			t.Errorf("%d callers were told to come back after over a third of their time", tooLate.Load())
		}
	})
}

// callTwice makes a call, and again after its Retry-After if it was refused. isLong is true if that
// is missing or longer than callers accept.
func (b *bench) callTwice(path string) (a answer, isLong bool) {
	const third = 2 // seconds of the six that the route allows
	a = b.call(path, nil)
	if a.status != http.StatusServiceUnavailable {
		return a, false
	}
	seconds, err := strconv.ParseFloat(a.header.Get("Retry-After"), 64)
	time.Sleep(time.Duration(seconds * float64(time.Second)))
	return b.call(path, nil), err != nil || seconds > third
}
