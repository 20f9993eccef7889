package relayer_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/foxtailwharf/foxtailwharf/internal/connection/finisher"
	"github.com/foxtailwharf/foxtailwharf/internal/request/arbiter"
	"github.com/foxtailwharf/foxtailwharf/internal/request/relayer"
	"github.com/foxtailwharf/foxtailwharf/internal/request/runner"
	"github.com/foxtailwharf/foxtailwharf/wire"
)

// withoutIDs makes a stream one that no other agent can resume.
func withoutIDs(_ *wire.Answer, body *string, _ *wire.End) {
	*body = "data: a\n\ndata: b\n\ndata: c\n\n"
}

// notifyingCaller tells once when it gets a part of the answer.
type notifyingCaller struct {
	*httptest.ResponseRecorder
	once sync.Once
	got  chan struct{}
}

func (c *notifyingCaller) Write(p []byte) (int, error) {
	defer c.once.Do(func() { close(c.got) })
	return c.ResponseRecorder.Write(p)
}

// TestStreamBeginsWhileAnotherAgentIsPicked guards against a stream that is cut, since its agent was taken for stalled when it began.
func TestStreamBeginsWhileAnotherAgentIsPicked(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBench(t)
		first := &slowStream{agent: agent{isStream: true, fault: withoutIDs}, begin: make(chan struct{})}
		second := &slowStream{agent: agent{isStream: true, fault: withoutIDs}, begin: make(chan struct{})}
		b.add(&first.agent, first)
		b.add(&second.agent, second)
		out := &notifyingCaller{ResponseRecorder: httptest.NewRecorder(), got: make(chan struct{})}
		sent, looks := time.Now(), 0
		b.members.look = func() {
			if time.Since(sent) < time.Second {
				return
			}
			// The first look is whether the fleet has lost the agent, the second one picks another agent.
			if looks++; looks == 2 {
				close(first.begin)
				close(second.begin)
				<-out.got
			}
		}
		refusal, isAborted := b.relay(out, relayer.Request{})
		b.close()
		if refusal != nil || isAborted || strings.Count(out.Body.String(), "data: ") != 3 || first.calls+second.calls != 1 {
			t.Errorf("have %q after %d calls, %v, aborted %t, want the whole stream of one call", out.Body.String(), first.calls+second.calls, refusal, isAborted)
		}
	})
}

// slowStream begins its stream once begin is closed, and ends it somewhat later.
type slowStream struct {
	agent
	begin chan struct{}
	mu    sync.Mutex // held while the agent builds its answer
}

func (s *slowStream) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	recorded := httptest.NewRecorder()
	s.mu.Lock()
	s.agent.ServeHTTP(recorded, r)
	s.mu.Unlock()
	w.Header().Set("Trailer", runner.TrailerEnd)
	w.Header().Set(runner.HeaderAnswer, recorded.Header().Get(runner.HeaderAnswer))
	w.WriteHeader(http.StatusOK)
	_ = http.NewResponseController(w).Flush()
	<-s.begin
	first, rest, _ := strings.Cut(recorded.Body.String(), "\n\n")
	_, _ = w.Write([]byte(first + "\n\n"))
	_ = http.NewResponseController(w).Flush()
	time.Sleep(50 * time.Millisecond)
	_, _ = w.Write([]byte(rest))
	w.Header().Set(runner.TrailerEnd, recorded.Header().Get(runner.TrailerEnd))
}

// TestStreamBeginsAsItIsGivenUp guards against streams that are cut because they began at the moment when a shutdown ends the requests
// that have not.
func TestStreamBeginsAsItIsGivenUp(t *testing.T) {
	const end, requests, runs = time.Second, 32, 40
	cut := 0
	for range runs {
		synctest.Test(t, func(t *testing.T) {
			b := newBench(t)
			a := &slowStream{agent: agent{isStream: true}, begin: make(chan struct{})}
			b.add(&a.agent, a)
			time.AfterFunc(end-time.Millisecond, func() { close(a.begin) })
			var callers sync.WaitGroup
			var mu sync.Mutex
			for range requests {
				callers.Go(func() {
					ctx, cancel := context.WithCancelCause(t.Context())
					defer cancel(nil)
					var answer arbiter.Arbiter
					time.AfterFunc(end, func() {
						if answer.GiveUp(0) {
							cancel(finisher.ErrEnding)
						}
					})
					out := httptest.NewRecorder()
					isAborted := b.relayOnce(ctx, out, relayer.Request{Deadline: time.Now().Add(requestTimeout), Arbiter: &answer})
					mu.Lock()
					defer mu.Unlock()
					if isAborted || (out.Body.Len() > 0 && out.Body.String() != whole) {
						cut++
					}
				})
			}
			callers.Wait()
			b.close()
		})
	}
	if cut > 0 {
		t.Errorf("%d of %d streams were cut after they had begun", cut, requests*runs)
	}
}

// relayOnce sends one request to the agents. It reports whether the caller's connection was aborted.
func (b *bench) relayOnce(ctx context.Context, out http.ResponseWriter, q relayer.Request) (isAborted bool) {
	q.Service, q.Method, q.Path = "s", http.MethodPost, "/"
	defer func() { isAborted = recover() != nil }()
	_, _ = b.relayer.Relay(ctx, out, q)
	return false
}
