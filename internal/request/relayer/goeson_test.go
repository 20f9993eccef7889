package relayer_test

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/foxtailwharf/foxtailwharf/internal/request/relayer"
	"github.com/foxtailwharf/foxtailwharf/internal/request/runner"
)

// TestStreamBeginsAsItsAgentIsSilent guards against streams that are cut because their first event came when the timer of the silence fired.
func TestStreamBeginsAsItsAgentIsSilent(t *testing.T) {
	const requests, runs = 32, 60
	cut, twice := 0, 0
	for range runs {
		synctest.Test(t, func(t *testing.T) {
			b := newBench(t)
			first := &slowStream{agent: agent{isStream: true, fault: withoutIDs}, begin: make(chan struct{})}
			second := &slowStream{agent: agent{isStream: true, fault: withoutIDs}, begin: make(chan struct{})}
			b.add(&first.agent, first)
			b.add(&second.agent, second)
			// The request takes a millisecond on its way, and so do the head and the first event, which comes at the end of the ten seconds.
			time.AfterFunc(10*time.Second+time.Millisecond, func() { close(first.begin); close(second.begin) })
			var callers sync.WaitGroup
			var mu sync.Mutex
			for range requests {
				callers.Go(func() {
					out := httptest.NewRecorder()
					_, isAborted := b.relay(out, relayer.Request{})
					mu.Lock()
					defer mu.Unlock()
					if isAborted || (out.Body.Len() > 0 && strings.Count(out.Body.String(), "data: ") != 3) {
						cut++
					}
				})
			}
			callers.Wait()
			b.close()
			if n := first.calls + second.calls; n > requests {
				twice += n - requests
			}
		})
	}
	t.Logf("%d retries", twice)
	if cut > 0 {
		t.Errorf("%d of %d streams were cut after they had begun", cut, requests*runs)
	}
}

// pausingStream sends its first event once begin is closed and the others after a pause. A second call is broken off.
type pausingStream struct {
	agent
	begin chan struct{}
	pause time.Duration
	calls *atomic.Int64
}

func (s *pausingStream) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if s.calls.Add(1) > 1 {
		panic(http.ErrAbortHandler)
	}
	recorded := httptest.NewRecorder()
	s.agent.ServeHTTP(recorded, r)
	w.Header().Set("Trailer", runner.TrailerEnd)
	w.Header().Set(runner.HeaderAnswer, recorded.Header().Get(runner.HeaderAnswer))
	w.WriteHeader(http.StatusOK)
	_ = http.NewResponseController(w).Flush()
	<-s.begin
	first, rest, _ := strings.Cut(recorded.Body.String(), "\n\n")
	_, _ = w.Write([]byte(first + "\n\n"))
	_ = http.NewResponseController(w).Flush()
	time.Sleep(s.pause)
	_, _ = w.Write([]byte(rest))
	w.Header().Set(runner.TrailerEnd, recorded.Header().Get(runner.TrailerEnd))
}

// TestStreamThatWentOnMayPause guards against streams that are cut after three seconds of silence instead of ten, because they began while
// another agent was picked.
func TestStreamThatWentOnMayPause(t *testing.T) {
	for _, isHooked := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			b := newBench(t)
			var calls atomic.Int64
			begin := make(chan struct{})
			first := &pausingStream{agent: agent{isStream: true}, begin: begin, pause: 5 * time.Second, calls: &calls}
			second := &pausingStream{agent: agent{isStream: true}, begin: begin, pause: 5 * time.Second, calls: &calls}
			b.add(&first.agent, first)
			b.add(&second.agent, second)
			out := &notifyingCaller{ResponseRecorder: httptest.NewRecorder(), got: make(chan struct{})}
			sent, looks := time.Now(), 0
			if !isHooked {
				time.AfterFunc(9*time.Second, func() { close(begin) })
			}
			b.members.look = func() {
				if time.Since(sent) < time.Second || !isHooked {
					return
				}
				if looks++; looks == 2 {
					close(begin)
					<-out.got
				}
			}
			refusal, isAborted := b.relay(out, relayer.Request{})
			took := time.Since(sent)
			b.close()
			if refusal != nil || isAborted || strings.Count(out.Body.String(), "data: ") != 3 || calls.Load() != 1 {
				t.Errorf("begins while another is picked %t: have %q after %s and %d calls, %v, aborted %t, want the whole stream of one call", isHooked, out.Body.String(), took, calls.Load(), refusal, isAborted)
			}
		})
	}
}
