package fleet_test

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/foxtailwharf/foxtailwharf"
	"github.com/foxtailwharf/foxtailwharf/standin"
	"github.com/foxtailwharf/foxtailwharf/standin/fleet"
)

// TestStreamsAtEndOfEntrysGrace guards against streams that are cut at the end of an entry's graceful shutdown although
// they would still have ended in it, and against a process that takes them for requests in progress.
func TestStreamsAtEndOfEntrysGrace(t *testing.T) {
	t.Parallel()
	const (
		grace     = 5 * time.Second
		lastBytes = 250 * time.Millisecond
		interval  = 20 * time.Millisecond
	)
	for _, left := range []time.Duration{-2 * time.Second, 300 * time.Millisecond, 600 * time.Millisecond, 2 * time.Second} {
		t.Run(fmt.Sprintf("until %s before the end", left), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				b := newBench(t, benchConfig{
					engine: standin.EngineConfig{TimeToFirstToken: interval, TokenInterval: interval, ChecksFence: true},
					change: func(c *fleet.Config) { c.ChangeEntry = setNotice },
				})
				stopAt := time.Now().Add(2 * time.Second)
				var callers sync.WaitGroup
				for n, offset := range []time.Duration{-time.Second, -100 * time.Millisecond, 0} {
					callers.Go(func() {
						time.Sleep(time.Until(stopAt.Add(offset)))
						tokens := int((grace - left - offset) / interval)
						a := b.chat(fmt.Sprintf(`{"model":"assistant","user":"u%d","stream":true,"max_tokens":%d,"messages":[]}`, n, tokens))
						isWhole := a.err == nil && strings.Count(a.body, "id: ") == tokens
						if ended := time.Since(stopAt); !isWhole && (left > lastBytes || ended < grace-lastBytes) {
							t.Errorf("a stream that began %s after the signal was cut %s after it: status %d, error %v", offset, ended, a.status, a.err)
						}
					})
				}
				time.Sleep(time.Until(stopAt))
				ctx, cancel := context.WithTimeout(t.Context(), grace)
				defer cancel()
				if err := b.f.Entries[0].Stop(ctx); err != nil {
					t.Errorf("the entry stopped with requests in progress: %v", err)
				}
				callers.Wait()
				b.stop()
			})
		})
	}
}

// entryNotice is the Notice of the entries of these tests.
const entryNotice = 500 * time.Millisecond

func setNotice(_ int, s *foxtailwharf.EntrySettings) {
	s.Notice = entryNotice
}

// TestRequestAfterNoticeIsNotRun guards against requests on kept connections that an entry takes late in its shutdown and cuts
// at its end, and against answers that do not tell their callers to use another connection.
func TestRequestAfterNoticeIsNotRun(t *testing.T) {
	t.Parallel()
	const (
		grace    = 5 * time.Second
		interval = 20 * time.Millisecond
	)
	synctest.Test(t, func(t *testing.T) {
		b := newBench(t, benchConfig{
			engine: standin.EngineConfig{TimeToFirstToken: interval, TokenInterval: interval, ChecksFence: true},
			change: func(c *fleet.Config) { c.ChangeEntry = setNotice },
		})
		ask := func(kept *bench, name string, length time.Duration) answer {
			return kept.chat(fmt.Sprintf(`{"model":"assistant","user":%q,"stream":true,"max_tokens":%d,"messages":[]}`, name, int(length/interval)))
		}
		stopAt := time.Now().Add(2 * time.Second)
		var callers sync.WaitGroup
		for n, lead := range []time.Duration{time.Second, 300 * time.Millisecond} {
			callers.Go(func() {
				time.Sleep(time.Until(stopAt.Add(-lead)))
				kept := b.onOneConnection()
				first := ask(kept, fmt.Sprint("first", n), lead+2*time.Second)
				if first.err != nil || first.status != http.StatusOK {
					t.Errorf("a stream that began %s before the signal has status %d, %v, want a whole one", lead, first.status, first.err)
				}
				second := ask(kept, fmt.Sprint("second", n), 4*time.Second)
				if second.status != http.StatusServiceUnavailable || !strings.Contains(second.body, `"NotRun":true`) || !second.isClosing {
					t.Errorf("the next request on its connection, %s after the signal, has status %d, %v, closing %t; want 503, not run and closing",
						time.Since(stopAt), second.status, second.err, second.isClosing)
				}
			})
		}
		time.Sleep(time.Until(stopAt))
		ctx, cancel := context.WithTimeout(t.Context(), grace)
		defer cancel()
		if err := b.f.Entries[0].Stop(ctx); err != nil {
			t.Errorf("the entry stopped with requests in progress: %v", err)
		}
		callers.Wait()
		b.stop()
	})
}

// TestAnswerDuringShutdownClosesConnection guards against answers that were asked for before a shutdown and begin during it, and
// do not tell their callers to use another connection.
func TestAnswerDuringShutdownClosesConnection(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		b := newBench(t, benchConfig{
			engine: standin.EngineConfig{TimeToFirstToken: time.Second, TokenInterval: time.Millisecond, ChecksFence: true},
			change: func(c *fleet.Config) { c.ChangeEntry = setNotice },
		})
		var callers sync.WaitGroup
		for _, isStream := range []bool{false, true} {
			callers.Go(func() {
				a := b.onOneConnection().chat(fmt.Sprintf(`{"model":"assistant","user":"u","stream":%t,"max_tokens":3,"messages":[]}`, isStream))
				if a.err != nil || a.status != http.StatusOK || !a.isClosing {
					t.Errorf("stream %t: have status %d, %v, closing %t; want a whole answer that closes its connection", isStream, a.status, a.err, a.isClosing)
				}
			})
		}
		time.Sleep(500 * time.Millisecond)
		stopWithin(t, "entry-0", b.f.Entries[0].Stop)
		callers.Wait()
		b.stop()
	})
}
