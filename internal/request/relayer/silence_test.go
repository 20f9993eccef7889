package relayer_test

import (
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/foxtailwharf/foxtailwharf/internal/request/relayer"
	"github.com/foxtailwharf/foxtailwharf/internal/request/runner"
)

// silentAgent is an agent that sends nothing for a while: no heartbeats before its answer, or no data after its
// first event.
type silentAgent struct {
	agent
	silence time.Duration
	isBegun bool // it is silent after the first event
}

func (a *silentAgent) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	// net/http detects that the connection has ended only once the body is read.
	_, _ = io.Copy(io.Discard, r.Body)
	recorded := httptest.NewRecorder()
	a.agent.ServeHTTP(recorded, r)
	w.Header().Set("Trailer", runner.TrailerEnd)
	w.Header().Set(runner.HeaderAnswer, recorded.Header().Get(runner.HeaderAnswer))
	body := recorded.Body.String()
	if a.isBegun {
		first, rest, _ := strings.Cut(body, "\n\n")
		_, _ = w.Write([]byte(first + "\n\n"))
		_ = http.NewResponseController(w).Flush()
		body = rest
	}
	select {
	case <-time.After(a.silence):
	case <-r.Context().Done():
		return
	}
	_, _ = w.Write([]byte(body))
	w.Header().Set(runner.TrailerEnd, recorded.Header().Get(runner.TrailerEnd))
}

// TestSilentAgent guards against agents that are given up for a silence, though no other one can take the request.
func TestSilentAgent(t *testing.T) {
	tests := []struct {
		name     string
		silences []time.Duration // of the agents; round robin begins with the second one
		isBegun  bool
		isStream bool
		isLost   bool // the fleet loses the agents after a second
		from, to time.Duration
		isWhole  bool
	}{
		{"silent before its answer", []time.Duration{8 * time.Second}, false, false, false, 8 * time.Second, 9 * time.Second, true},
		{"silent before a stream", []time.Duration{8 * time.Second}, false, true, false, 8 * time.Second, 9 * time.Second, true},
		{"silent in a stream", []time.Duration{15 * time.Second}, true, true, false, 15 * time.Second, 16 * time.Second, true},
		{"another one takes over", []time.Duration{0, time.Hour}, false, false, false, 3 * time.Second, 4 * time.Second, true},
		{"another one resumes the stream", []time.Duration{0, time.Hour}, true, true, false, 10 * time.Second, 11 * time.Second, true},
		{"silent for good", []time.Duration{time.Hour}, false, false, false, 30 * time.Second, 31 * time.Second, false},
		{"lost", []time.Duration{time.Hour}, false, false, true, 3 * time.Second, 4 * time.Second, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				b := newBench(t)
				var agents []*silentAgent
				for _, silence := range tt.silences {
					a := &silentAgent{silence: silence, isBegun: tt.isBegun, agent: agent{isStream: tt.isStream}}
					agents = append(agents, a)
					b.add(&a.agent, a)
				}
				if tt.isLost {
					time.AfterFunc(time.Second, func() { b.members.lose() })
				}
				isWhole, took := b.relayWhole()
				if isWhole != tt.isWhole || took < tt.from || took > tt.to {
					t.Errorf("whole %t after %s, want %t after %s to %s", isWhole, took, tt.isWhole, tt.from, tt.to)
				}
				checkCalledOnce(t, agents)
			})
		})
	}
}

func checkCalledOnce(t *testing.T, agents []*silentAgent) {
	t.Helper()
	for n, a := range agents {
		if a.calls != 1 {
			t.Errorf("agent %d was called %d times, want once", n, a.calls)
		}
	}
}

// relayWhole sends a request. It reports whether the caller got the whole answer, and after what time. It closes the bench.
func (b *bench) relayWhole() (isWhole bool, took time.Duration) {
	started := time.Now()
	out := httptest.NewRecorder()
	refusal, isAborted := b.relay(out, relayer.Request{})
	took = time.Since(started)
	b.close()
	b.t.Logf("refusal %v, aborted %t, %q", refusal, isAborted, out.Body.String())
	return refusal == nil && !isAborted && out.Body.String() == whole, took
}

// slowCaller takes a while to read its first event.
type slowCaller struct {
	*httptest.ResponseRecorder
	pause time.Duration
}

func (c *slowCaller) Write(p []byte) (int, error) {
	time.Sleep(c.pause)
	c.pause = 0
	return c.ResponseRecorder.Write(p)
}

// TestSlowCallerStallsNoAgent guards against a stream that is cut off and resumed, since its caller read slowly.
func TestSlowCallerStallsNoAgent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		a := &agent{isStream: true}
		b := newBench(t, a)
		c := &slowCaller{ResponseRecorder: httptest.NewRecorder(), pause: 20 * time.Second}
		refusal, isAborted := b.relay(c, relayer.Request{})
		b.close()
		if refusal != nil || isAborted || c.Body.String() != whole || a.calls != 1 {
			t.Errorf("have %q after %d calls, %v, aborted %t, want the whole stream of one call", c.Body.String(), a.calls, refusal, isAborted)
		}
	})
}
