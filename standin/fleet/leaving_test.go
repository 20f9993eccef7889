package fleet_test

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/foxtailwharf/foxtailwharf"
	"github.com/foxtailwharf/foxtailwharf/standin"
	"github.com/foxtailwharf/foxtailwharf/standin/fleet"
	"github.com/foxtailwharf/foxtailwharf/wire"
)

// loadGenerator sends requests through all entries, in turn, until end is called. Every response
// must be complete.
type loadGenerator struct {
	b       *bench
	callers sync.WaitGroup
	quit    chan struct{}
	skipped map[int]time.Time // time from which an entry gets no new requests

	mu   sync.Mutex
	sent int
}

const loadInterval = 20 * time.Millisecond

func (b *bench) startLoad() *loadGenerator {
	l := &loadGenerator{b: b, quit: make(chan struct{}), skipped: make(map[int]time.Time)}
	l.callers.Go(l.run)
	return l
}

func (l *loadGenerator) run() {
	for {
		select {
		case <-l.quit:
			return
		case <-time.After(loadInterval):
		}
		l.mu.Lock()
		n := l.sent
		l.sent++
		entry := n % len(l.b.f.Entries)
		_, isSkipped := l.skipped[entry]
		l.mu.Unlock()
		if !isSkipped {
			l.callers.Go(func() { l.send(n, entry) })
		}
	}
}

func (l *loadGenerator) send(n, entry int) {
	body := streamRequest(fmt.Sprint("load ", n), 6)
	a := l.b.via(entry).chat(body)
	if a.err != nil || a.body != wantStreamOf(body, a.version, 6) {
		l.b.t.Errorf("request %d through entry %d was interrupted: status %d, error %v, body %s", n, entry, a.status, a.err, a.body)
	}
}

// skip sends no new requests to an entry, as the load balancer does once the health check of the
// entry fails.
func (l *loadGenerator) skip(entry int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.skipped[entry] = time.Now()
}

func (l *loadGenerator) end() {
	close(l.quit)
	l.callers.Wait()
}

// countRunsSince returns the number of requests that an engine began after a time.
func countRunsSince(e *standin.Engine, since time.Time) (count int) {
	for _, r := range e.Runs() {
		if r.At.After(since) {
			count++
		}
	}
	return count
}

// TestStopUnderLoad stops agents and an entry under load. No response may be interrupted, no agent
// may begin a request once it is leaving, and 3 s later no entry may still send attempts to it. The
// platform's instance list lags by 10 s, so entries must not depend on it.
func TestStopUnderLoad(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		b := newBench(t, benchConfig{assistants: 3, change: func(c *fleet.Config) {
			c.Platform.SetFaults(standin.PlatformFaults{ListLag: 10 * time.Second})
		}})
		l := b.startLoad()
		l.startLongStreams()
		time.Sleep(time.Second)
		leaving := b.f.AgentsOf("assistant")[:2]
		l.startReservations()
		time.Sleep(200 * time.Millisecond)
		reserving := b.f.AgentsOf("reservations")[0]
		var stops sync.WaitGroup
		stops.Go(func() { stopWithin(t, reserving.Name, reserving.Stop) })
		for _, a := range leaving {
			stops.Go(func() { stopWithin(t, a.Name, a.Stop) })
		}
		synctest.Wait()
		leavingSince := time.Now()
		for _, a := range leaving {
			b.expectRefusal(a)
		}
		time.Sleep(3 * time.Second)
		retriesBefore := b.retryCount()
		time.Sleep(3 * time.Second)
		for _, a := range leaving {
			if got := countRunsSince(engineOf(t, a), leavingSince); got > 0 {
				t.Errorf("%s began %d requests after it had started to leave", a.Name, got)
			}
		}
		if got := b.retryCount(); got != retriesBefore {
			t.Errorf("entries still sent attempts to leaving agents after 3 s: %d retries", got-retriesBefore)
		}
		l.skip(0)
		stops.Go(func() { stopWithin(t, "entry-0", b.f.Entries[0].Stop) })
		time.Sleep(2 * time.Second)
		l.end()
		stops.Wait()
		for _, a := range append(leaving, reserving) {
			if err := b.f.ReplaceAgent(t.Context(), a); err != nil {
				t.Fatal(err)
			}
		}
		b.f.Entries = b.f.Entries[1:]
		b.stop()
	})
}

// startLongStreams begins streams that keep leaving agents running, so that the test can send them
// a request to refuse.
func (l *loadGenerator) startLongStreams() {
	for n := range 30 {
		l.callers.Go(func() {
			body := streamRequest(fmt.Sprint("long ", n), 400)
			if a := l.b.via(1 + n%5).chat(body); a.err != nil || a.body != wantStreamOf(body, a.version, 400) {
				l.b.t.Errorf("long stream %d was interrupted: status %d, error %v", n, a.status, a.err)
			}
		})
	}
}

// startReservations begins at-most-once calls, which cannot be repeated on another agent once they
// run.
func (l *loadGenerator) startReservations() {
	l.b.setServiceFaults(standin.ServiceFaults{Latency: time.Second})
	for n := range 6 {
		l.callers.Go(func() {
			body := fmt.Sprint("body ", n)
			l.b.check("a reservation during the stop", l.b.via(1+n%5).reserve(fmt.Sprint("key ", n), body), 200, "", false, body, 1)
		})
	}
}

// expectRefusal sends a request to a leaving agent, as an entry does that has not been told yet.
// The agent must refuse it as not run.
func (b *bench) expectRefusal(a *fleet.Agent) {
	b.t.Helper()
	attempt := wire.Attempt{AttemptID: "stray", Service: "assistant", Rank: "Chat", Method: http.MethodPost, Path: "/v1/chat/completions"}
	got := b.sendAttempt(a, attempt, "{}")
	if got.Refusal == nil || got.Refusal.Reason != string(foxtailwharf.ReasonLeaving) || !got.Refusal.NotRun {
		b.t.Errorf("%s answered a request while leaving with refusal %+v, want Leaving and not run", a.Name, got.Refusal)
	}
}

// stopWithin stops a process gracefully and expects that to take 30 s at most.
func stopWithin(t *testing.T, name string, stop func(ctx context.Context) error) {
	ctx, cancel := context.WithTimeout(context.Background(), 30*time.Second)
	defer cancel()
	if err := stop(ctx); err != nil {
		t.Errorf("%s: %v", name, err)
	}
}

// retryCount returns the number of retries by all entries.
func (b *bench) retryCount() (count int64) {
	for _, e := range b.f.Entries {
		count += e.Counter("Retried")
	}
	return count
}

// TestStopDuringSwitch stops an agent at several points of a version switch under load: no response
// may be interrupted.
func TestStopDuringSwitch(t *testing.T) {
	t.Parallel()
	for _, pause := range []time.Duration{0, 200 * time.Millisecond, 500 * time.Millisecond, 900 * time.Millisecond} {
		t.Run(pause.String(), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				b := newBench(t, benchConfig{})
				l := b.startLoad()
				b.applyVersion(1)
				time.Sleep(pause)
				a := b.f.AgentsOf("assistant")[0]
				stopWithin(t, a.Name, a.Stop)
				time.Sleep(3 * time.Second)
				l.end()
				if err := b.f.ReplaceAgent(t.Context(), a); err != nil {
					t.Fatal(err)
				}
				b.stop()
			})
		})
	}
}

// TestLeavingAfterRestart restarts all entries, one after another, while an agent is leaving: no
// entry, old or new, may send it work. The new ones start with no state.
func TestLeavingAfterRestart(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		b := newBench(t, benchConfig{assistants: 3})
		leaving := b.f.AgentsOf("assistant")[0]
		var stops sync.WaitGroup
		// A call with a key keeps the agent running even when its sender is gone.
		stops.Go(func() {
			b.sendAttempt(leaving, wire.Attempt{
				AttemptID: "long", Service: "assistant", Rank: "Chat", Method: http.MethodPost, Path: "/v1/chat/completions",
				Key: "key", Generation: 1, TimeoutMillis: 60_000,
			}, `{"max_tokens":1000}`)
		})
		time.Sleep(100 * time.Millisecond)
		stops.Go(func() { stopWithin(t, leaving.Name, leaving.Stop) })
		synctest.Wait()
		leavingSince := time.Now()
		for _, e := range b.f.Entries {
			if err := b.f.ReplaceEntry(t.Context(), e); err != nil {
				t.Fatal(err)
			}
			time.Sleep(500 * time.Millisecond)
		}
		time.Sleep(3 * time.Second)
		retriesBefore := b.retryCount()
		l := b.startLoad()
		time.Sleep(3 * time.Second)
		l.end()
		if got := b.retryCount(); got != retriesBefore {
			t.Errorf("new entries sent attempts to the leaving agent: %d retries", got-retriesBefore)
		}
		if status := leaving.Status(); status.Load.Running == 0 {
			t.Error("the agent has already stopped, so the run proves nothing")
		}
		stops.Wait()
		if got := countRunsSince(engineOf(t, leaving), leavingSince); got > 0 {
			t.Errorf("%s began %d requests after it had started to leave", leaving.Name, got)
		}
		if err := b.f.ReplaceAgent(t.Context(), leaving); err != nil {
			t.Fatal(err)
		}
		b.stop()
	})
}

// TestListedAsLeaving marks an instance as leaving in the platform's instance list alone, without
// telling its agent: 6 s later no entry may send it new requests.
func TestListedAsLeaving(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		b := newBench(t, benchConfig{})
		a := b.f.AgentsOf("assistant")[0]
		b.f.SetInstanceList(map[string]bool{a.Name: true})
		time.Sleep(6 * time.Second)
		since := time.Now()
		l := b.startLoad()
		time.Sleep(2 * time.Second)
		l.end()
		if got := countRunsSince(engineOf(t, a), since); got > 0 {
			t.Errorf("%s got %d requests", a.Name, got)
		}
		b.stop()
	})
}

// TestCrashingRequest repeats a request that crashes every engine that runs it, through entries of
// two failure domains. It may crash two engines at most, then every entry must refuse it as
// quarantined and not run. Requests on the same engines must get complete responses.
func TestCrashingRequest(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		b := newBench(t, benchConfig{assistants: 3, engine: standin.EngineConfig{
			TimeToFirstToken: 50 * time.Millisecond, TokenInterval: 20 * time.Millisecond, RestartDelay: time.Second,
		}})
		l := b.startLoad()
		request := `{"model":"assistant","user":"crasher","messages":[{"role":"user","content":"` + standin.MarkCrash + `"}]}`
		for n := range 12 {
			a := b.via(n % 2 * 3).chat(request)
			if n > 0 && n < 3 {
				continue
			}
			if reason, isNotRun := problemOf(a); n >= 3 && (reason != string(foxtailwharf.ReasonQuarantined) || !isNotRun || a.status != http.StatusUnprocessableEntity) {
				t.Errorf("send %d: got status %d, %s, not run %t; want 422, Quarantined, not run", n, a.status, reason, isNotRun)
			}
			time.Sleep(time.Second)
		}
		for n := range b.f.Entries {
			if reason, _ := problemOf(b.via(n).chat(request)); reason != string(foxtailwharf.ReasonQuarantined) {
				t.Errorf("entry %d does not enforce the ban: %s", n, reason)
			}
		}
		l.end()
		crashes := 0
		for _, a := range b.f.AgentsOf("assistant") {
			crashes += engineOf(t, a).Crashes()
		}
		if crashes > 2 {
			t.Errorf("the request crashed %d engines", crashes)
		}
		b.stop()
	})
}

// TestDomainFailure crashes all engines of a failure domain at the same time under load: no request
// may be banned for that.
func TestDomainFailure(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		b := newBench(t, benchConfig{assistants: 4})
		l := b.startLoad()
		for range 3 {
			time.Sleep(time.Second)
			for _, a := range b.f.AgentsOf("assistant") {
				if a.Domain.Name == "luzon" {
					engineOf(t, a).Crash()
				}
			}
		}
		time.Sleep(time.Second)
		l.end()
		for _, e := range b.f.Entries {
			for _, ban := range e.Status().Suspicions {
				if ban.Remaining > 0 {
					t.Errorf("%s bans a request after crashes of %d upstreams", e.Name, len(ban.Upstreams))
				}
			}
		}
		b.stop()
	})
}
