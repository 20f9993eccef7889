package forwarder_test

import (
	"fmt"
	"net/http"
	"runtime"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/foxtailwharf/foxtailwharf"
	"github.com/foxtailwharf/foxtailwharf/internal/request/balancer"
	"github.com/foxtailwharf/foxtailwharf/internal/request/isolator"
	"github.com/foxtailwharf/foxtailwharf/standin"
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

// TestBegunAtBan guards against streams that are cut because they began at the moment when a ban ends the calls that have not.
func TestBegunAtBan(t *testing.T) {
	const at, delay, runs = 1050 * time.Millisecond, time.Millisecond, 200
	logHook = func(message string) {
		if strings.HasPrefix(message, "quarantine: calls") {
			for range 2000 {
				runtime.Gosched()
			}
		}
	}
	defer func() { logHook = nil }()
	cut := 0
	for range runs {
		run(t, func(b *bench) {
			b.serveEngine()
			started := time.Now()
			b.upstream(2, func(w http.ResponseWriter, r *http.Request) {
				sayNothing(r, time.Until(started.Add(at-delay)))
				_, _ = fmt.Fprint(w, "id: 1\ndata: x\n\n")
				_ = http.NewResponseController(w).Flush()
				sayNothing(r, 100*time.Millisecond)
				_, _ = fmt.Fprint(w, "id: 2\ndata: x\n\n")
			})
			b.view.Upstreams[0].Weights = 1
			b.update()
			time.AfterFunc(at, func() {
				b.forwarder.MergeEvidence(isolator.Evidence{Bans: []isolator.Ban{
					{Parts: []string{"other"}, Remaining: time.Minute}, {Parts: []string{"bad"}, Remaining: time.Minute},
				}})
			})
			a := b.call("/tale/1", func(r *http.Request) { r.Header.Set(standin.HeaderPromptParts, "first,bad") })
			if have := strings.Join(ids(a.body), " "); a.status == http.StatusOK && (a.err != nil || have != "1 2") {
				cut++
				t.Logf("have events %s, %v, want 1 and 2 or a refusal", have, a.err)
			}
		})
	}
	if cut > 0 {
		t.Errorf("%d of %d streams were cut after they had begun", cut, runs)
	}
}

// serveEngine makes the upstreams engines of a model.
func (b *bench) serveEngine() {
	b.view.Configuration.Services["s"] = foxtailwharf.CallService{Name: "s", Engine: &foxtailwharf.EngineModel{Model: "m", Slots: 8}}
}

// TestChecksGoOnAfterStartDeadline guards against attempts whose upstream is not checked any more, once they have begun at the
// moment when calls on replaced weights are cancelled.
func TestChecksGoOnAfterStartDeadline(t *testing.T) {
	run(t, func(b *bench) {
		b.serveEngine()
		started := time.Now()
		isSecond := false
		beginLate := func(w http.ResponseWriter, r *http.Request) {
			b.mu.Lock()
			isFirst := !isSecond
			isSecond = true
			b.mu.Unlock()
			if !isFirst {
				_, _ = fmt.Fprint(w, "id: 1\n\n")
				_ = http.NewResponseController(w).Flush()
			}
			silently(w, r)
		}
		report := func(born time.Time) {
			for m := 2; m <= 3; m++ {
				b.assigner.Update(func(x *balancer.Balancer) {
					x.Report(time.Now(), address(m).Addr(), foxtailwharf.UpstreamLoad{Weights: 1, Born: born})
				})
			}
		}
		b.upstream(2, beginLate)
		b.upstream(3, beginLate)
		for i := range b.view.Upstreams {
			b.view.Upstreams[i].Weights, b.view.Upstreams[i].Born = 1, started
		}
		b.update()
		report(started)
		deadline := time.Now().Add(1800 * time.Millisecond)
		b.assigner.Update(func(x *balancer.Balancer) { x.SetRelease("s", 2, deadline, deadline) })
		time.AfterFunc(2*time.Second, func() { report(started.Add(time.Second)) })
		if a := b.call("/chat/1", nil); time.Since(started) > 2200*time.Millisecond {
			t.Errorf("have %d, %v after %s, want the end of the restarted upstream's call within 2.2s", a.status, a.err, time.Since(started))
		}
	})
}

// beginAt sends an event at a time, and another one soon after.
func beginAt(at time.Time) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Content-Type", "text/event-stream")
		w.WriteHeader(http.StatusOK)
		_ = http.NewResponseController(w).Flush()
		sayNothing(r, time.Until(at))
		for n := 1; n <= 2; n++ {
			_, _ = fmt.Fprintf(w, "id: %d\ndata: x\n\n", n)
			_ = http.NewResponseController(w).Flush()
			sayNothing(r, 50*time.Millisecond)
		}
	}
}

// TestBegunAtEndOfShutdown guards against streams that are cut because they began at the moment when a shutdown ends the calls that
// have not.
func TestBegunAtEndOfShutdown(t *testing.T) {
	const delay, runs, callers = time.Millisecond, 40, 64
	cut := 0
	for range runs {
		run(t, func(b *bench) {
			b.setTimeouts(2 * shutdownLength)
			b.upstream(2, beginAt(b.started.Add(shutdownLength-answerMargin-delay)))
			b.leave(0)
			var calls sync.WaitGroup
			answers := make([]answer, callers)
			time.Sleep(time.Millisecond)
			for i := range answers {
				calls.Go(func() { answers[i] = b.call("/tale/1", limit(shutdownLength)) })
			}
			calls.Wait()
			for _, a := range answers {
				if have := strings.Join(ids(a.body), " "); a.status == http.StatusOK && (a.err != nil || have != "1 2") {
					cut++
				}
			}
		})
	}
	if cut > 0 {
		t.Errorf("%d of %d streams were cut after they had begun", cut, runs*callers)
	}
}
