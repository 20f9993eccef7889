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

// TestBodiesTogetherAreBounded guards against an entry that exceeds its memory, and loses all calls that it holds, when many callers
// send bodies of the largest size at once. Calls with small bodies are served beside them.
func TestBodiesTogetherAreBounded(t *testing.T) {
	const (
		bodyBytes = 4 << 20
		count     = 4 * benchBodiesBytes / bodyBytes
	)
	for _, isChunked := range []bool{false, true} {
		run(t, func(b *bench) {
			b.view.Configuration.Limits.BodyBytes = bodyBytes
			b.upstream(2, func(w http.ResponseWriter, _ *http.Request) {
				time.Sleep(time.Second)
				_, _ = io.WriteString(w, "ok")
			})
			body := strings.Repeat("x", bodyBytes)
			send := func(r *http.Request) {
				r.Body = io.NopCloser(strings.NewReader(body))
				if !isChunked {
					r.ContentLength = bodyBytes
				}
			}
			var served, refused atomic.Int64
			var calls sync.WaitGroup
			for range count {
				calls.Go(func() {
					switch a := b.call("/look/large", send); {
					case a.status == http.StatusOK:
						served.Add(1)
					case a.status == http.StatusServiceUnavailable && a.header.Get("Retry-After") != "" && b.ran(a) == 0:
						refused.Add(1)
					default:
						t.Errorf("chunked %t: have %d, %v after %d runs", isChunked, a.status, a.err, b.ran(a))
					}
				})
			}
			time.Sleep(500 * time.Millisecond)
			if a := b.call("/look/small", nil); a.status != http.StatusOK {
				t.Errorf("chunked %t: have %d for a small body beside large ones, want 200", isChunked, a.status)
			}
			calls.Wait()
			most := int64(benchBodiesBytes / (bodyBytes - 64<<10))
			if served.Load() < 2 || served.Load() > most || refused.Load() != count-served.Load() {
				t.Errorf("chunked %t: %d served, %d refused; want %d served at the most and the others refused", isChunked, served.Load(), refused.Load(), most)
			}
			if a := b.call("/look/large", send); a.status != http.StatusOK {
				t.Errorf("chunked %t: have %d for a large body once the others are gone, want 200", isChunked, a.status)
			}
		})
	}
}
