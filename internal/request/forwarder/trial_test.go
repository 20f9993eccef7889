package forwarder_test

import (
	"net/http"
	"testing"
	"time"

	"github.com/foxtailwharf/foxtailwharf"
	"github.com/foxtailwharf/foxtailwharf/internal/request/isolator"
)

// TestTrialIsSentOnce guards against a trial of a banned request that reaches several upstreams: what crashes them may reach
// few. The request comes each second for a minute.
func TestTrialIsSentOnce(t *testing.T) {
	const calls = 60
	tests := []struct {
		name    string
		answer  http.HandlerFunc
		arrived [2]int // at upstreams, the fewest and the most
	}{
		{"not run", refuse, [2]int{2, 2}},
		{"a server error", text(http.StatusInternalServerError, "no"), [2]int{2, 2}},
		{"no answer", silently, [2]int{2, 2}},
		{"a crash", breakOff, [2]int{1, 1}},
		{"a whole answer", text(http.StatusOK, "yes"), [2]int{45, calls}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			run(t, func(b *bench) {
				for n := 2; n < 6; n++ {
					b.upstream(n, tt.answer)
				}
				b.setAttempts(3)
				request := isolator.Request(foxtailwharf.Digest([]byte("s\na1\nPOST\n/look/1\nbody")))
				b.forwarder.MergeEvidence(isolator.Evidence{Bans: []isolator.Ban{{Parts: []string{request}, Remaining: 10 * time.Minute, EarlyTrials: 2}}})
				arrived := 0
				for range calls {
					b.weigh(isolator.RoleTries, time.Second)
					arrived += b.ran(b.call("/look/1", nil))
				}
				if arrived < tt.arrived[0] || arrived > tt.arrived[1] {
					t.Errorf("the request reached upstreams %d times, want %d to %d", arrived, tt.arrived[0], tt.arrived[1])
				}
			})
		})
	}
}
