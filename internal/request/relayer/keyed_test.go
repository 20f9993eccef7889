package relayer_test

import (
	"fmt"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/synctest"

	"github.com/foxtailwharf/foxtailwharf/internal/request/relayer"
	"github.com/foxtailwharf/foxtailwharf/wire"
)

// TestKeyedStreamBreaksOff has the connection to the only agent that may run a call break off at each
// byte of the stream that it replays, and replay it whole to the repeat. The caller must get each event once.
func TestKeyedStreamBreaksOff(t *testing.T) {
	streams := map[string]string{
		"numbered":   whole,
		"unnumbered": strings.NewReplacer("id: 1\n", "", "id: 2\n", "", "id: 3\n", "").Replace(whole),
	}
	for name, stream := range streams {
		for cut := range len(stream) {
			t.Run(fmt.Sprint(name, " cut at ", cut), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					a := &agent{isStream: true, isAborted: true}
					a.fault = func(_ *wire.Answer, body *string, _ *wire.End) {
						*body = stream
						if a.isAborted = a.calls == 1; a.isAborted {
							*body = stream[:cut]
						}
					}
					b := newBench(t, a)
					defer b.close()
					i := b.members.list[0]
					ticket := &wire.Ticket{ID: "t", Instance: i.Name, Address: i.Address.String(), Incarnation: i.Incarnation, Service: "s"}
					out := httptest.NewRecorder()
					refusal, isAborted := b.relay(out, relayer.Request{Ticket: ticket})
					if isAborted || refusal != nil || out.Body.String() != stream {
						t.Errorf("aborted %t, refusal %v, response %q; want %q", isAborted, refusal, out.Body.String(), stream)
					}
					if a.calls != 2 {
						t.Errorf("the agent was called %d times, want 2", a.calls)
					}
				})
			})
		}
	}
}
