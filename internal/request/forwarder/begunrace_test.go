package forwarder_test

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/foxtailwharf/foxtailwharf"
	"github.com/foxtailwharf/foxtailwharf/internal/request/balancer"
)

// TestBegunAtStartDeadline guards against streams that are cut because they began at the moment when calls on replaced weights are
// cancelled.
func TestBegunAtStartDeadline(t *testing.T) {
	const deadline, delay, runs = 1050 * time.Millisecond, time.Millisecond, 300
	cut := 0
	for range runs {
		run(t, func(b *bench) {
			b.view.Configuration.Services["s"] = foxtailwharf.CallService{Name: "s", Engine: &foxtailwharf.EngineModel{Model: "m", Slots: 8}}
			released := time.Now()
			b.upstream(2, func(w http.ResponseWriter, r *http.Request) {
				sayNothing(r, time.Until(released.Add(deadline-delay)))
				for n := 1; n <= 6; n++ {
					_, _ = fmt.Fprintf(w, "id: %d\ndata: x\n\n", n)
					_ = http.NewResponseController(w).Flush()
				}
				sayNothing(r, 100*time.Millisecond)
				_, _ = fmt.Fprint(w, "id: 7\ndata: x\n\n")
			})
			b.view.Upstreams[0].Weights = 1
			b.update()
			b.assigner.Update(func(x *balancer.Balancer) { x.SetRelease("s", 2, released.Add(deadline), released.Add(deadline)) })
			a := b.call("/tale/1", nil)
			if have := strings.Join(ids(a.body), " "); have != "" && (a.err != nil || have != "1 2 3 4 5 6 7") {
				cut++
				t.Logf("have %d with events %s, %v, want 1 to 7 or none", a.status, have, a.err)
			}
		})
	}
	if cut > 0 {
		t.Errorf("%d of %d streams were cut after they had begun", cut, runs)
	}
}
