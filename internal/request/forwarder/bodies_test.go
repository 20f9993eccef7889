package forwarder_test

import (
	"io"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"
)

// bodyLoad is callers that send bodies of the largest size at once.
type bodyLoad struct {
	b               *bench
	isChunked       bool
	body            string
	served, refused atomic.Int64
}

// change makes a request one with a large body.
func (l *bodyLoad) change(r *http.Request) {
	r.Body = io.NopCloser(strings.NewReader(l.body))
	if !l.isChunked {
		r.ContentLength = int64(len(l.body))
	}
}

// call sends one call, which has to be served or refused as not run.
func (l *bodyLoad) call() {
	switch a := l.b.call("/look/large", l.change); {
	case a.status == http.StatusOK:
		l.served.Add(1)
	case a.status == http.StatusServiceUnavailable && a.header.Get("Retry-After") != "" && l.b.ran(a) == 0:
		l.refused.Add(1)
	default:
		l.b.t.Errorf("chunked %t: have %d, %v after %d runs", l.isChunked, a.status, a.err, l.b.ran(a))
	}
}

// TestBodiesTogetherAreBounded guards against an entry that exceeds its memory, and loses all calls that it holds, when many callers
// send bodies of the largest size at once. Calls with small bodies are served beside them.
func TestBodiesTogetherAreBounded(t *testing.T) {
	const (
		bodyBytes = 4 << 20
		count     = 4 * benchBodiesBytes / bodyBytes
		most      = int64(benchBodiesBytes / (bodyBytes - 64<<10))
	)
	for _, isChunked := range []bool{false, true} {
		run(t, func(b *bench) {
			b.view.Configuration.Limits.BodyBytes = bodyBytes
			b.upstream(2, func(w http.ResponseWriter, _ *http.Request) {
				time.Sleep(time.Second)
				_, _ = io.WriteString(w, "ok")
			})
			l := &bodyLoad{b: b, isChunked: isChunked, body: strings.Repeat("x", bodyBytes)}
			var calls sync.WaitGroup
			for range count {
				calls.Go(l.call)
			}
			time.Sleep(500 * time.Millisecond)
			if a := b.call("/look/small", nil); a.status != http.StatusOK {
				t.Errorf("chunked %t: have %d for a small body beside large ones, want 200", isChunked, a.status)
			}
			calls.Wait()
			if served := l.served.Load(); served < 2 || served > most || l.refused.Load() != count-served {
				t.Errorf("chunked %t: %d served, %d refused; want %d served at the most and the others refused", isChunked, served, l.refused.Load(), most)
			}
			if a := b.call("/look/large", l.change); a.status != http.StatusOK {
				t.Errorf("chunked %t: have %d for a large body once the others are gone, want 200", isChunked, a.status)
			}
		})
	}
}
