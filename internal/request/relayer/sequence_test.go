package relayer_test

import (
	"net/http/httptest"
	"testing"
	"testing/synctest"

	"github.com/foxtailwharf/foxtailwharf"
	"github.com/foxtailwharf/foxtailwharf/internal/request/relayer"
	"github.com/foxtailwharf/foxtailwharf/wire"
)

// TestWrongSequenceIsNoCrash has agents send a stream with an event twice or left out, and others break
// off. Only the latter is evidence that the request crashes upstreams.
func TestWrongSequenceIsNoCrash(t *testing.T) {
	crash := agent{isStream: true, isAborted: true, fault: func(_ *wire.Answer, b *string, _ *wire.End) { *b = (*b)[:3] }}
	twice := agent{isStream: true, fault: func(_ *wire.Answer, b *string, _ *wire.End) { *b = (*b)[:15] + *b }}
	gap := agent{isStream: true, fault: func(_ *wire.Answer, b *string, _ *wire.End) { *b = (*b)[:15] + (*b)[30:] }}
	tests := []struct {
		name   string
		agents [2]agent
		want   int // upstreams that the request is known to have crashed
	}{
		{"an event twice", [2]agent{twice, twice}, 0},
		{"an event left out", [2]agent{gap, gap}, 0},
		{"a crash and a gap", [2]agent{crash, gap}, 1},
		{"two crashes", [2]agent{crash, crash}, 2},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				b := newBench(t, &tt.agents[0], &tt.agents[1])
				defer b.close()
				if refusal, isAborted := b.relay(httptest.NewRecorder(), relayer.Request{}); !isAborted && refusal == nil {
					t.Error("the caller got a response that looks whole")
				}
				have := 0
				for _, ban := range b.relayer.Suspicions() {
					have += len(ban.Upstreams)
				}
				if have != tt.want {
					t.Errorf("the request counts as the cause of %d crashes, want %d", have, tt.want)
				}
				refusal, _ := b.relay(httptest.NewRecorder(), relayer.Request{})
				isBanned := refusal != nil && refusal.Reason == foxtailwharf.ReasonQuarantined
				if isBanned != (tt.want == 2) {
					t.Errorf("banned: %t after %d crashes", isBanned, tt.want)
				}
			})
		})
	}
}
