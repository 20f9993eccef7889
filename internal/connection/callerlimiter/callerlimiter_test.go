package callerlimiter_test

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"os"
	"runtime"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/foxtailwharf/foxtailwharf"
)

// limits are the limits of most tests.
var limits = foxtailwharf.CallLimits{HeaderBytes: 500, HeaderTimeout: 2 * time.Second, IdleTimeout: 5 * time.Second}

// TestPipelinedRequests guards against heads that are counted together with a request before them.
func TestPipelinedRequests(t *testing.T) {
	const tooLong = "too large"
	tests := []struct {
		name, sent string
		want       []string // bodies of the answers
	}{
		{"without bodies", get("/1", 500) + get("/2", 500) + get("/3", 500), []string{"/1 0", "/2 0", "/3 0"}},
		{"bodies with a length", post("/1", 7000) + get("/2", 500) + post("/3", 3) + post("/4", 0), []string{"/1 7000", "/2 0", "/3 3", "/4 0"}},
		{"chunked bodies", chunked("/1", 7000) + get("/2", 500) + chunked("/3", 1) + get("/4", 60), []string{"/1 7000", "/2 0", "/3 1", "/4 0"}},
		{"long head after one without body", get("/1", 500) + get("/2", 501), []string{"/1 0", tooLong}},
		{"long head after a body", post("/1", 5000) + get("/2", 501), []string{"/1 5000", tooLong}},
		{"empty line before a head", post("/1", 3) + "\r\n" + get("/2", 500), []string{"/1 3", "/2 0"}},
		{"first head is too long", get("/1", 501) + get("/2", 60), []string{tooLong}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			b := newTCPBench(t)
			b.set(limits)
			c := b.connect()
			c.send(tt.sent)
			for _, want := range tt.want {
				status := http.StatusOK
				if want == tooLong {
					status = http.StatusRequestHeaderFieldsTooLarge
				}
				c.check(status, want)
			}
			if tt.want[len(tt.want)-1] == tooLong {
				c.checkEnd(5 * time.Second)
			}
		})
	}
}

// TestSplitHeads guards against heads whose end is not found because it arrives in parts.
func TestSplitHeads(t *testing.T) {
	runFake(t, func(b *bench) {
		b.set(limits)
		request := post("/1", 3)
		for i := range request {
			c := b.connect()
			c.send(request[:i])
			time.Sleep(10 * time.Millisecond)
			c.send(request[i:] + get("/2", 500))
			c.check(http.StatusOK, "/1 3")
			c.check(http.StatusOK, "/2 0")
			_ = c.Close()
		}
		b.checkClosed("HeaderTimeout", 0)
	})
}

// endless sends bytes of a head until its connection ends.
type endless struct {
	c     *caller
	part  string
	pause time.Duration
}

func (e *endless) run() {
	e.c.t.Helper()
	for start := time.Now(); time.Since(start) < 20*time.Second; time.Sleep(e.pause) {
		if _, err := e.c.Write([]byte(e.part)); err != nil {
			return
		}
	}
	e.c.t.Error("an endless head is still read after 20 s")
}

// TestEndlessHeads guards against heads without end that are read on, or whose senders get no answer.
func TestEndlessHeads(t *testing.T) {
	tests := []struct {
		name, start, part string
		pause             time.Duration
		want              int
	}{
		{"one field, at once", "GET / HTTP/1.1\r\nX: ", strings.Repeat("x", 16<<10), 0, http.StatusRequestHeaderFieldsTooLarge},
		{"one field, in parts", "GET / HTTP/1.1\r\nX: ", "xxxxxxxxxx", time.Millisecond, http.StatusRequestHeaderFieldsTooLarge},
		{"request line", "GET /", strings.Repeat("x", 100), time.Millisecond, http.StatusRequestHeaderFieldsTooLarge},
		{"many fields", "GET / HTTP/1.1\r\n", "X: 1\r\n", time.Millisecond, http.StatusRequestHeaderFieldsTooLarge},
		{"a byte now and then", "GET / HTTP/1.1\r\nX: ", "x", 50 * time.Millisecond, http.StatusRequestTimeout},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			b := newTCPBench(t)
			b.set(limits)
			c := b.connect()
			c.send(tt.start)
			var sender sync.WaitGroup
			sender.Go((&endless{c: c, part: tt.part, pause: tt.pause}).run)
			c.check(tt.want, "the request header")
			other := b.connect()
			other.send(get("/other", 0))
			other.check(http.StatusOK, "/other")
			sender.Wait()
		})
	}
}

// TestOneRefusal guards against a second answer after a refusal, from net/http to a head that has ended
// within a line.
func TestOneRefusal(t *testing.T) {
	runFake(t, func(b *bench) {
		b.set(limits)
		c := b.connect()
		var sender sync.WaitGroup
		sender.Go((&endless{c: c, part: strings.Repeat("x", 16<<10)}).run)
		c.check(http.StatusRequestHeaderFieldsTooLarge, "too large")
		c.checkEnd(5 * time.Second)
		sender.Wait()
		b.checkClosed("HeaderBytes", 1)
	})
}

// slowHeadsMemory bounds what 200 slow heads take.
const slowHeadsMemory = 16 << 20

// TestManySlowHeads guards against slow heads that keep other callers waiting or fill the memory.
func TestManySlowHeads(t *testing.T) {
	b := newTCPBench(t)
	b.set(foxtailwharf.CallLimits{HeaderTimeout: 2 * time.Second})
	var before, during runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	var slow sync.WaitGroup
	for range 200 {
		c := b.connect()
		c.send("POST / HTTP/1.1\r\nX: " + strings.Repeat("x", 8<<10))
		slow.Go((&endless{c: c, part: "x", pause: 100 * time.Millisecond}).run)
		slow.Go(func() { c.check(http.StatusRequestTimeout, "in time") })
	}
	other, slowest := b.connect(), time.Duration(0)
	for range 50 {
		started := time.Now()
		other.send(post("/other", 10))
		other.check(http.StatusOK, "/other 10")
		slowest = max(slowest, time.Since(started))
	}
	runtime.GC()
	runtime.ReadMemStats(&during)
	slow.Wait()
	grown := int64(during.HeapInuse) - int64(before.HeapInuse)
	t.Logf("slowest of 50 calls beside 200 slow heads: %s; heap grew by %d KB with both ends", slowest, grown>>10)
	if slowest > time.Second || grown > slowHeadsMemory {
		t.Errorf("slowest call %s, want at most 1s; heap grew by %d, want at most %d", slowest, grown, slowHeadsMemory)
	}
	b.checkClosed("HeaderTimeout", 200)
}

// TestRequestAtIdleDeadline guards against an idle connection that is closed although the first bytes
// of a request have arrived in time.
func TestRequestAtIdleDeadline(t *testing.T) {
	for _, early := range []time.Duration{0, time.Nanosecond, time.Millisecond} {
		runFake(t, func(b *bench) {
			b.set(limits)
			c := b.connect()
			c.send(get("/1", 0))
			c.check(http.StatusOK, "/1")
			// The answer took a latency to arrive, and the request takes another one.
			time.Sleep(limits.IdleTimeout - 2*latency - early)
			c.send(get("/2", 0))
			c.check(http.StatusOK, "/2")
			c.checkEnd(limits.IdleTimeout + time.Second)
			b.checkClosed("Idle", 1)
		})
	}
}

// TestConnectionWithoutRequest guards against connections that stay open without a first request, or
// are closed sooner than others that are idle.
func TestConnectionWithoutRequest(t *testing.T) {
	runFake(t, func(b *bench) {
		b.set(limits)
		first, second := b.connect(), b.connect()
		time.Sleep(limits.IdleTimeout * 4 / 5)
		first.send(get("/1", 0))
		first.check(http.StatusOK, "/1")
		second.checkEnd(limits.IdleTimeout/5 + time.Second)
		b.checkClosed("Idle", 1)
	})
}

// TestEmptyLineAfterBody guards against an idle connection that is answered 408, because its last request
// had an empty line after the body, as some callers send it.
func TestEmptyLineAfterBody(t *testing.T) {
	runFake(t, func(b *bench) {
		b.set(limits)
		c := b.connect()
		c.send(post("/1", 3) + "\r\n")
		c.check(http.StatusOK, "/1 3")
		time.Sleep(limits.IdleTimeout * 4 / 5)
		c.send(get("/2", 500))
		c.check(http.StatusOK, "/2 0")
	})
}

// TestServedRequestsHaveNoLimit guards against limits that apply while a request is served.
func TestServedRequestsHaveNoLimit(t *testing.T) {
	runFake(t, func(b *bench) {
		b.set(limits)
		b.handle = func(_ http.ResponseWriter, r *http.Request) {
			if r.URL.Path == "/slow" {
				time.Sleep(3 * limits.IdleTimeout)
			}
		}
		c := b.connect()
		c.send("POST /body HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n\r\n")
		for range 3 {
			time.Sleep(limits.IdleTimeout)
			c.send("b")
		}
		c.check(http.StatusOK, "/body 3")
		c.send(get("/slow", 0))
		time.Sleep(limits.IdleTimeout)
		b.limiter.Set(foxtailwharf.CallLimits{IdleTimeout: time.Second, HeaderTimeout: time.Second})
		c.check(http.StatusOK, "/slow")
		c.send(get("/next", 0))
		c.check(http.StatusOK, "/next")
	})
}

// TestHandlerDeadline guards against a handler's read deadline that is lost or outlives its request.
func TestHandlerDeadline(t *testing.T) {
	runFake(t, func(b *bench) {
		b.set(limits)
		b.handle = func(w http.ResponseWriter, r *http.Request) {
			controller := http.NewResponseController(w)
			if err := controller.SetReadDeadline(time.Now().Add(time.Second)); err != nil {
				b.t.Error(err)
			}
			if r.URL.Path == "/stalled" {
				started := time.Now()
				_, err := r.Body.Read(make([]byte, 1))
				if elapsed := time.Since(started); !errors.Is(err, os.ErrDeadlineExceeded) || elapsed != time.Second {
					b.t.Errorf("the read ended after %s with %v, want a timeout after 1s", elapsed, err)
				}
			}
		}
		c := b.connect()
		for range 3 {
			c.send(post("/1", 3))
			c.check(http.StatusOK, "/1 3")
			time.Sleep(limits.IdleTimeout * 4 / 5)
		}
		c.send("POST /stalled HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n\r\n")
		c.check(http.StatusBadRequest, "")
	})
}

// TestHeadBesideChange guards against heads that are refused although a caller may know a longer limit.
func TestHeadBesideChange(t *testing.T) {
	tests := []struct {
		name                   string
		before, after, elapsed time.Duration // of the head
		want                   int
	}{
		{"grows", time.Second, 4 * time.Second, 3500 * time.Millisecond, http.StatusOK},
		{"shrinks, within the grace period", 4 * time.Second, time.Second, 1400 * time.Millisecond, http.StatusOK},
		{"shrinks", 4 * time.Second, time.Second, 2 * time.Second, http.StatusRequestTimeout},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			runFake(t, func(b *bench) {
				b.set(foxtailwharf.CallLimits{HeaderTimeout: tt.before})
				c := b.connect()
				head := get("/1", 0)
				c.send(head[:10])
				time.Sleep(500 * time.Millisecond)
				b.limiter.Set(foxtailwharf.CallLimits{HeaderTimeout: tt.after})
				time.Sleep(tt.elapsed - 500*time.Millisecond)
				c.send(head[10:])
				c.check(tt.want, "")
			})
		})
	}
}

// TestReuseBesideChange guards against connections that are closed as idle, or as a request comes, while callers may still
// know a longer limit.
func TestReuseBesideChange(t *testing.T) {
	const bound = 2 * time.Second // within which callers learn the limits
	for _, sinceChange := range []time.Duration{0, 500 * time.Millisecond, 1100 * time.Millisecond, 1900 * time.Millisecond} {
		for _, others := range []int{0, 1, 5} {
			t.Run(fmt.Sprintf("%s after the first of %d changes", sinceChange, others+1), func(t *testing.T) {
				runFake(t, func(b *bench) {
					b.set(foxtailwharf.CallLimits{IdleTimeout: 10 * time.Second})
					time.Sleep(bound)
					c := b.connect()
					c.send(get("/1", 0))
					c.check(http.StatusOK, "/1")
					time.Sleep(8*time.Second - sinceChange)
					for i := range others + 1 {
						b.limiter.Set(foxtailwharf.CallLimits{IdleTimeout: time.Duration(i+1) * time.Second, HeaderBytes: 1000})
					}
					time.Sleep(sinceChange)
					c.send(get("/2", 0))
					c.check(http.StatusOK, "/2")
				})
			})
		}
	}
}

// TestCallerDisconnects guards against requests of callers who are gone that go on.
func TestCallerDisconnects(t *testing.T) {
	b := newTCPBench(t)
	b.set(limits)
	ended := make(chan struct{}, 1)
	b.handle = func(_ http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/abandoned" {
			<-r.Context().Done()
			ended <- struct{}{}
		}
	}
	c := b.connect()
	c.send(post("/1", 3))
	c.check(http.StatusOK, "/1 3")
	c.send(get("/abandoned", 0))
	for b.served.Load() < 2 {
		time.Sleep(time.Millisecond)
	}
	if err := c.Close(); err != nil {
		t.Fatal(err)
	}
	select {
	case <-ended:
	case <-time.After(5 * time.Second):
		t.Error("the request goes on 5 s after its caller has gone")
	}
}

// TestShutdown guards against a graceful stop that waits for idle connections, or cuts off a request.
func TestShutdown(t *testing.T) {
	b := newTCPBench(t)
	b.set(limits)
	release := make(chan struct{})
	b.handle = func(_ http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/slow" {
			<-release
		}
	}
	idle, slow := b.connect(), b.connect()
	idle.send(get("/1", 0))
	idle.check(http.StatusOK, "/1")
	slow.send(get("/slow", 0))
	for b.served.Load() < 2 {
		time.Sleep(time.Millisecond)
	}
	stopped := make(chan error, 1)
	var stopper sync.WaitGroup
	stopper.Go(func() {
		ctx, cancel := context.WithTimeout(context.WithoutCancel(t.Context()), 10*time.Second)
		defer cancel()
		stopped <- b.server.Shutdown(ctx)
	})
	idle.checkEnd(5 * time.Second)
	close(release)
	slow.check(http.StatusOK, "/slow")
	stopper.Wait()
	if err := <-stopped; err != nil {
		t.Error(err)
	}
}
