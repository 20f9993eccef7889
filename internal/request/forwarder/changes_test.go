package forwarder_test

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"go.uber.org/zap/zaptest/observer"
	"pgregory.net/rapid"

	"github.com/foxtailwharf/foxtailwharf"
	"github.com/foxtailwharf/foxtailwharf/internal/process/meter"
	"github.com/foxtailwharf/foxtailwharf/internal/request/explainer"
)

// shutdownGrace is the time for the shutdown of a scenario.
const shutdownGrace = 8 * time.Second

// limitChange is a change of the limits at a time from the start of a scenario.
type limitChange struct {
	after  time.Duration
	limits foxtailwharf.CallLimits
}

// callPlan is one request of a caller.
type callPlan struct {
	idle       int           // time before it, in percent of the limit that the caller knows
	lag        time.Duration // how old the caller's knowledge of the limits is
	head       int           // size of the head, in percent of that limit; 0 for the smallest one
	body       int           // size of the body, in percent of that limit; 0 for no body
	isChunked  bool
	isRefused  bool // its key is not known
	isStream   bool
	work       time.Duration // of the upstream
	patience   time.Duration // of the caller
	headPauses []time.Duration
	bodyPauses []time.Duration
	// tail is the size of the last part of the body; 0 for one that is as long as the others.
	tail int
	// endsNear is how long after the patience of the caller the body ends; 0 for anywhere.
	endsNear time.Duration
	// begins is how many bytes of the next request the caller sends before it reads the answer.
	begins int
}

// scenario is a plan of changes beside callers.
type scenario struct {
	first   foxtailwharf.CallLimits
	changes []limitChange
	drain   time.Duration // begin of a shutdown; 0 for none
	callers [][]callPlan
}

// millis draws a duration in whole milliseconds.
func millis(t *rapid.T, from, to int, label string) time.Duration {
	return time.Duration(rapid.IntRange(from, to).Draw(t, label)) * time.Millisecond
}

func drawLimits(t *rapid.T) foxtailwharf.CallLimits {
	return foxtailwharf.CallLimits{
		HeaderBytes:   rapid.SampledFrom([]int{600, 1200, 3000}).Draw(t, "HeaderBytes"),
		BodyBytes:     rapid.SampledFrom([]int64{500, 5000, 100_000}).Draw(t, "BodyBytes"),
		HeaderTimeout: rapid.SampledFrom([]time.Duration{time.Second, 2 * time.Second, 5 * time.Second}).Draw(t, "HeaderTimeout"),
		IdleTimeout:   rapid.SampledFrom([]time.Duration{1500 * time.Millisecond, 4 * time.Second, 10 * time.Second}).Draw(t, "IdleTimeout"),
	}
}

func drawPauses(t *rapid.T, label string) (pauses []time.Duration) {
	for range rapid.IntRange(0, 3).Draw(t, label+"Count") {
		pauses = append(pauses, millis(t, 0, 900, label))
	}
	return pauses
}

func drawCall(t *rapid.T) callPlan {
	return callPlan{
		idle: rapid.SampledFrom([]int{0, 5, 50, 80, 80, 80, 99, 100, 110}).Draw(t, "idle"), lag: millis(t, 0, 2000, "lag"),
		head: rapid.SampledFrom([]int{0, 0, 50, 100, 101}).Draw(t, "head"), body: rapid.SampledFrom([]int{0, 1, 50, 100, 101}).Draw(t, "body"),
		isChunked: rapid.Bool().Draw(t, "isChunked"), isRefused: rapid.IntRange(0, 4).Draw(t, "isRefused") == 0, isStream: rapid.Bool().Draw(t, "isStream"),
		work: millis(t, 0, 1000, "work"), patience: rapid.SampledFrom([]time.Duration{700 * time.Millisecond, 5 * time.Second}).Draw(t, "patience"),
		headPauses: drawPauses(t, "headPause"), bodyPauses: drawPauses(t, "bodyPause"), begins: rapid.SampledFrom([]int{0, 0, 0, 0, 1, len(beginOfHead)}).Draw(t, "begins"),
		tail:     rapid.SampledFrom([]int{0, 0, 1, 2, 3, 5}).Draw(t, "tail"),
		endsNear: rapid.SampledFrom([]time.Duration{0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, -2 * time.Millisecond, -time.Millisecond, -time.Nanosecond, time.Nanosecond, time.Millisecond}).Draw(t, "endsNear"),
	}
}

func drawScenario(t *rapid.T) (s scenario) {
	s.first = drawLimits(t)
	after := time.Duration(0)
	for range rapid.IntRange(0, 8).Draw(t, "changes") {
		after += rapid.SampledFrom([]time.Duration{50, 300, 400, 700, 1500, 4000}).Draw(t, "pause")*time.Millisecond + millis(t, 0, 99, "shift")
		s.changes = append(s.changes, limitChange{after: after, limits: drawLimits(t)})
	}
	if rapid.IntRange(0, 2).Draw(t, "hasDrain") == 0 {
		s.drain = millis(t, 500, 15000, "drain")
	}
	for range rapid.IntRange(1, 4).Draw(t, "callers") {
		s.callers = append(s.callers, rapid.SliceOfN(rapid.Custom(drawCall), 1, 5).Draw(t, "calls"))
	}
	return s
}

// scenarioRun is a scenario that is played.
type scenarioRun struct {
	*bench
	scenario

	mu       sync.Mutex
	history  limitHistory
	drainAt  time.Time // zero before
	faults   []string
	outcomes map[string]int
}

// TestLimitsThatChange guards against requests that get no answer, or are refused, beside changes of the limits and the begin of
// a shutdown, though they came within the limits.
func TestLimitsThatChange(t *testing.T) {
	outcomes := make(map[string]int)
	rapid.Check(t, func(rt *rapid.T) {
		s := drawScenario(rt)
		var faults []string
		synctest.Test(t, func(t *testing.T) {
			r := &scenarioRun{bench: newBench(t, newMemoryNetwork()), scenario: s, outcomes: outcomes}
			r.play()
			faults = r.faults
		})
		if len(faults) > 0 {
			rt.Fatalf("%s", strings.Join(faults, "\n"))
		}
	})
	t.Logf("outcomes: %v", outcomes)
}

// play plays the scenario and checks that no call was cut.
func (r *scenarioRun) play() {
	for n := 2; n <= 3; n++ {
		r.upstream(n, answerAfter)
	}
	r.set(r.first)
	time.Sleep(idleGrace + edge)
	done := make(chan struct{})
	go r.loop(done)
	var callers sync.WaitGroup
	for n, calls := range r.callers {
		callers.Go((&plannedCaller{r: r, number: n, calls: calls}).run)
	}
	callers.Wait()
	<-done
	r.checkRecords()
	r.close()
	time.Sleep(time.Minute)
}

// checkRecords checks that the entry has cut no call. The time of a caller may have been over, or that of a shutdown.
func (r *scenarioRun) checkRecords() {
	for _, cause := range []explainer.Cause{
		explainer.CauseCallerLeft, explainer.CauseUnknown, explainer.CauseUpstreamBroke, explainer.CauseUpstreamEnded, explainer.CauseUpstreamSilent, explainer.CauseShutdown,
	} {
		if count := r.meter.Counter(meter.CounterUnanswered + string(cause)); count != 0 {
			r.fault("%d calls without an answer by %s: %v", count, cause, r.endLines())
		}
	}
	if count := r.meter.Counter(meter.CounterCallersClosed + "Unanswered"); count != 0 {
		r.fault("%d connections closed with a call that was read whole", count)
	}
	if count := r.meter.Counter(meter.CounterCallersClosed + "Arriving"); count != 0 && r.drain == 0 {
		r.fault("%d connections closed with a request that has begun", count)
	}
}

// endLines returns the log lines with a cause.
func (r *scenarioRun) endLines() (lines []string) {
	for _, e := range r.logs.Filter(func(e observer.LoggedEntry) bool { return e.ContextMap()["Cause"] != nil }).All() {
		lines = append(lines, fmt.Sprint(e.Message, " ", e.ContextMap()))
	}
	return lines
}

// set puts limits into force.
func (r *scenarioRun) set(next foxtailwharf.CallLimits) {
	configuration := *r.view.Configuration
	configuration.Version++
	configuration.Limits = next
	r.view.Configuration = &configuration
	r.mu.Lock()
	r.history = r.history.change(next, time.Now())
	r.mu.Unlock()
	r.limiter.Set(next)
	r.update()
}

// loop makes the changes and the shutdown.
func (r *scenarioRun) loop(done chan struct{}) {
	defer close(done)
	var shutdown sync.WaitGroup
	defer shutdown.Wait()
	started := time.Now()
	if r.drain > 0 {
		shutdown.Go(func() {
			time.Sleep(r.drain)
			r.shutdown()
		})
	}
	for _, c := range r.changes {
		time.Sleep(time.Until(started.Add(c.after)))
		r.set(c.limits)
	}
}

// shutdown shuts the entry down.
func (r *scenarioRun) shutdown() {
	r.mu.Lock()
	r.drainAt = time.Now()
	r.mu.Unlock()
	ctx, cancel := context.WithTimeout(context.WithoutCancel(r.t.Context()), shutdownGrace)
	defer cancel()
	r.forwarder.Leave(ctx)
	// An error means that connections were open at the end, which the callers report.
	_ = r.entry.Shutdown(ctx)
}

func (r *scenarioRun) fault(format string, arguments ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.faults = append(r.faults, fmt.Sprintf(format, arguments...))
}

// count counts an outcome.
func (r *scenarioRun) count(outcome string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.outcomes[outcome]++
}

// limits returns the history so far, and the begin of the shutdown.
func (r *scenarioRun) limitsSoFar() (h limitHistory, drainAt time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.history, r.drainAt
}

// answerAfter answers after the milliseconds that the path ends with, in parts for a stream.
func answerAfter(w http.ResponseWriter, r *http.Request) {
	_, last, _ := strings.Cut(r.URL.Path[1:], "/")
	work, _ := strconv.Atoi(last)
	if !strings.HasPrefix(r.URL.Path, "/tale/") {
		time.Sleep(time.Duration(work) * time.Millisecond)
		_, _ = io.WriteString(w, "answer")
		return
	}
	w.Header().Set("Content-Type", "text/event-stream")
	for n := 1; n <= 4; n++ {
		time.Sleep(time.Duration(work) * time.Millisecond / 4)
		_, _ = fmt.Fprintf(w, "id: %d\ndata: x\n\n", n)
		_ = http.NewResponseController(w).Flush()
	}
}
