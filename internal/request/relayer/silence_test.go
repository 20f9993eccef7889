package relayer_test

import (
	"net/http/httptest"
	"testing"
	"testing/synctest"
	"time"

	"github.com/foxtailwharf/foxtailwharf/internal/request/relayer"
)

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
		defer b.close()
		c := &slowCaller{ResponseRecorder: httptest.NewRecorder(), pause: 20 * time.Second}
		refusal, isAborted := b.relay(c, relayer.Request{})
		if refusal != nil || isAborted || c.Body.String() != whole || a.calls != 1 {
			t.Errorf("have %q after %d calls, %v, aborted %t, want the whole stream of one call", c.Body.String(), a.calls, refusal, isAborted)
		}
	})
}
