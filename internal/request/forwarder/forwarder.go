// Package forwarder serves callers at an entry whose upstreams are listed by the platform. It
// matches a call to its route and client account, has an upstream assigned, sends the call
// directly to that upstream, and forwards the answer.
package forwarder

import (
	"cmp"
	"context"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"github.com/foxtailwharf/foxtailwharf"
	"github.com/foxtailwharf/foxtailwharf/internal/connection/callerlimiter"
	"github.com/foxtailwharf/foxtailwharf/internal/connection/discarder"
	"github.com/foxtailwharf/foxtailwharf/internal/connection/finisher"
	"github.com/foxtailwharf/foxtailwharf/internal/connection/requester"
	"github.com/foxtailwharf/foxtailwharf/internal/process/follower"
	"github.com/foxtailwharf/foxtailwharf/internal/process/meter"
	"github.com/foxtailwharf/foxtailwharf/internal/request/assigner"
	"github.com/foxtailwharf/foxtailwharf/internal/request/collector"
	"github.com/foxtailwharf/foxtailwharf/internal/request/isolator"
	"github.com/foxtailwharf/foxtailwharf/internal/request/matcher"
	"github.com/foxtailwharf/foxtailwharf/internal/request/predictor"
	"github.com/foxtailwharf/foxtailwharf/internal/request/retrylimiter"
	"github.com/foxtailwharf/foxtailwharf/internal/request/returner"
)

// Config holds the settings of a Forwarder.
type Config struct {
	Dialect   foxtailwharf.CallDialect
	Assigner  *assigner.Assigner
	Requester *requester.Requester
	Meter     *meter.Meter
	Clock     follower.Clock
	// MaxConfigurationAge is how long the configuration is trusted after the last proof that it is the
	// newest. API keys are refused once it has passed.
	MaxConfigurationAge time.Duration
	// Notice is how long after the begin of a shutdown calls are taken that may outlast it, since callers do not know of it.
	Notice time.Duration
	// MaxBodiesBytes bounds the memory of all request bodies at once, beyond the unshared part of each.
	MaxBodiesBytes int
	RetryBudget    retrylimiter.Config
	// NotifyAgent tells the agent of an engine that a call is being sent there, with the length of
	// its prompt in tokens.
	NotifyAgent func(u foxtailwharf.Upstream, tokens int)
	// ShareBans sends the other entries the evidence that TakeUrgent returns, without
	// waiting for the next interval.
	ShareBans func(ctx context.Context)
	Random    *rand.Rand
	Log       *zap.Logger
}

// Forwarder answers the calls of one entry. It is safe for concurrent use.
type Forwarder struct {
	c         Config
	collector *collector.Collector // of answers
	bodies    *collector.Collector // of requests
	discarder *discarder.Discarder
	finisher  *finisher.Finisher
	state     atomic.Pointer[state]
	leaving   atomic.Bool

	mu         sync.Mutex
	retries    *retrylimiter.Limiter
	returner   *returner.Returner
	predictor  *predictor.Predictor
	isolator   *isolator.Isolator
	suspected  []suspectedCrash
	standstill standstill
	pending    map[*exchange]bool // calls with shared prompt parts that have not begun to be answered
	random     *rand.Rand
}

// state is a view of the store with the matcher for its routes, and the limits that apply to callers beside a
// change.
type state struct {
	follower.View
	matcher   *matcher.Matcher
	limits    callerlimiter.Limits
	changedAt time.Time // of the configuration
}

// Bounds on the answers and bodies that are read whole before they are forwarded. Together they stay well below
// the memory of a small instance.
const (
	maxAnswerBytes  = 8 << 20
	maxAnswersBytes = 24 << 20 // all answers at once, beyond the unshared part of each
	unsharedBytes   = 64 << 10 // of each answer or body
)

// New returns a forwarder that refuses all calls until SetView gives it a configuration.
func New(c Config) *Forwarder {
	return &Forwarder{
		c:         c,
		collector: collector.New(collector.Config{MaxAnswer: maxAnswerBytes, MaxTotal: maxAnswersBytes, Unshared: unsharedBytes}),
		bodies:    collector.New(collector.Config{MaxAnswer: int(foxtailwharf.MaxBodyBytes), MaxTotal: c.MaxBodiesBytes, Unshared: unsharedBytes}),
		discarder: discarder.New(discarder.Config{Log: c.Log}),
		finisher:  finisher.New(),
		retries:   retrylimiter.New(c.RetryBudget, time.Now()),
		isolator:  isolator.New(isolator.Config{}),
		pending:   make(map[*exchange]bool),
		returner:  returner.New(c.Random),
		predictor: predictor.New(),
		random:    c.Random,
	}
}

// SetView replaces the view of the store that new calls use.
func (f *Forwarder) SetView(v follower.View) {
	next := &state{View: v}
	last := f.state.Load()
	switch {
	case v.Configuration == nil:
		next.matcher = matcher.New(nil)
	case last != nil && last.Configuration == v.Configuration:
		next.matcher, next.limits, next.changedAt = last.matcher, last.limits, last.changedAt
	default:
		next.changedAt = time.Now()
		next.matcher, next.limits = matcher.New(v.Configuration.Routes), nextLimits(last, v.Configuration.Limits)
		f.keepPredictions(v.Configuration.Routes)
	}
	f.state.Store(next)
}

// sinceChange returns how long ago this entry has put a configuration into force; 0 if it has none.
func (f *Forwarder) sinceChange() time.Duration {
	s := f.state.Load()
	if s == nil || s.changedAt.IsZero() {
		return 0
	}
	return time.Since(s.changedAt)
}

// nextLimits returns the limits after a change of the configuration.
func nextLimits(last *state, next foxtailwharf.CallLimits) callerlimiter.Limits {
	next = next.Bounded()
	if last == nil || last.Configuration == nil {
		return callerlimiter.Limits{Current: next}
	}
	if last.limits.Current == next {
		return last.limits
	}
	return last.limits.Changed(next, time.Now())
}

// SetRetryExtra sets how many retries in a window this entry may make in addition to the ratio.
func (f *Forwarder) SetRetryExtra(extra float64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.retries.SetRetryExtra(extra)
}

// recordAssignment records whether a call of a service was given an upstream, or could be given to
// none.
func (f *Forwarder) recordAssignment(service string, refusal *foxtailwharf.Refusal) {
	f.mu.Lock()
	defer f.mu.Unlock()
	switch {
	case refusal == nil:
		f.returner.Assigned(service)
	case refusal.Reason == foxtailwharf.ReasonNoUpstream:
		f.returner.NoUpstream(time.Now(), service)
	}
}

// keepPredictions forgets how long calls took that no route leads to.
func (f *Forwarder) keepPredictions(routes []foxtailwharf.CallRoute) {
	kinds := make(map[predictor.Kind]bool)
	for _, r := range routes {
		for _, t := range r.Targets {
			kinds[predictor.Kind{Route: r.Name, Service: t.Service}] = true
		}
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.predictor.Keep(kinds)
}

// recordDuration records how long a call took at the upstream that has answered it.
func (f *Forwarder) recordDuration(x *exchange, duration time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.predictor.Answered(x.kind(), duration)
}

// defaultDuration is how long calls of a route without a goal are expected to take.
const defaultDuration = 250 * time.Millisecond

// latestStart returns until when a call may be sent, as Predictor.LatestStart does.
func (f *Forwarder) latestStart(x *exchange) time.Time {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.predictor.LatestStart(predictor.Call{
		Kind: x.kind(), IsRepeatable: x.route.IsRepeatable(), Arrived: x.started, Deadline: x.deadline,
		Expected: cmp.Or(x.route.Goal, defaultDuration),
	})
}

// returnDelay returns when the caller of a refused call should come back.
func (f *Forwarder) returnDelay(service string, left time.Duration) time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.returner.Delay(time.Now(), service, left)
}

// Leave makes the forwarder close each caller's connection after the next answer, and spend little time on the bodies
// of refused calls. After the notice it refuses calls that may last beyond the deadline of ctx. Calls are answered before that,
// also those that are in progress then.
func (f *Forwarder) Leave(ctx context.Context) {
	f.leaving.Store(true)
	f.discarder.Leave()
	f.finisher.Begin(ctx, f.c.Notice)
}

// isFresh reports whether the configuration is proven recent enough to check API keys against.
func (f *Forwarder) isFresh(s *state) bool {
	return s.HasProof && f.c.Clock()-s.ConfiguredAt < f.c.MaxConfigurationAge
}

// IsReady reports whether the entry can serve callers: it is not shutting down, has a
// configuration that is fresh if keys are checked, and knows at least one upstream.
func (f *Forwarder) IsReady() bool {
	s := f.state.Load()
	if f.leaving.Load() || s == nil || s.Configuration == nil {
		return false
	}
	return (s.Configuration.Keys == nil || f.isFresh(s)) && len(s.Upstreams) > 0
}

// ServeHTTP answers one call.
func (f *Forwarder) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	started := time.Now()
	x := &exchange{f: f, w: w, connection: callerlimiter.ConnectionOf(r.Context()), started: started, excluded: make(map[string]bool)}
	defer x.progress.release()
	x.boundWrite()
	if refusal := f.admit(x, w, r); refusal != nil {
		x.refuseUnread(r, refusal)
		return
	}
	defer x.checkEnd()
	ctx, cancel := context.WithDeadline(r.Context(), x.deadline)
	defer cancel()
	ctx, x.cancel = context.WithCancelCause(ctx)
	defer x.cancel(nil)
	defer x.bindEnd()()
	x.run(ctx)
}

// first adds a first attempt to the retry budget.
func (f *Forwarder) first(service string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.retries.RecordCall(time.Now(), service)
}

// allowRetry takes a retry from the budget. It returns when, and whether the budget allows it.
func (f *Forwarder) allowRetry(service string) (takenAt time.Time, isAllowed bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	takenAt = time.Now()
	return takenAt, f.retries.AllowRetry(takenAt, service)
}

// returnRetry gives back a retry that was allowed at takenAt and not made.
func (f *Forwarder) returnRetry(service string, takenAt time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.retries.ReturnRetry(time.Now(), takenAt, service)
}

// randomFloat returns a random number in [0, 1).
func (f *Forwarder) randomFloat() float64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.random.Float64()
}
