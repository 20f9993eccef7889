// Package relayer carries one request from an entry to agents and its answer
// back: it picks upstreams, retries where that is safe, resumes streams, and runs
// keyed calls at most once. An answer reaches the caller whole, or the caller's
// connection is broken off visibly.
package relayer

import (
	"context"
	"net/http"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/foxtailwharf/foxtailwharf"
	"github.com/foxtailwharf/foxtailwharf/internal/connection/dialer"
	"github.com/foxtailwharf/foxtailwharf/internal/process/pauser"
	"github.com/foxtailwharf/foxtailwharf/internal/process/recorder"
	"github.com/foxtailwharf/foxtailwharf/internal/request/budgeter"
	"github.com/foxtailwharf/foxtailwharf/internal/request/claimer"
	"github.com/foxtailwharf/foxtailwharf/internal/request/quarantiner"
	"github.com/foxtailwharf/foxtailwharf/internal/request/router"
	"github.com/foxtailwharf/foxtailwharf/wire"
)

// warnTimeout bounds the wait for other entries to hear of a death.
const warnTimeout = 300 * time.Millisecond

// Members is the view of the instances.
type Members interface {
	Live(role foxtailwharf.Role) []foxtailwharf.Instance
	Lost(incarnation string)
	// Warn shares with others what is held against a request.
	Warn(ctx context.Context)
}

// Config holds the settings of a Relayer.
type Config struct {
	Network        foxtailwharf.Network
	Members        Members
	Router         router.Config
	Budget         budgeter.Config
	Quarantine     quarantiner.Config
	Claimer        *claimer.Claimer
	Recorder       *recorder.Recorder
	MaxAnswerBytes int64
	Log            *zap.Logger
}

// Request is one request of a caller.
type Request struct {
	Service     string
	Route       foxtailwharf.Route
	Identity    foxtailwharf.Identity
	Method      string
	Path        string // towards the upstream, with the query
	ContentType string
	Accept      string
	Body        []byte
	Cost        float64 // estimated tokens
	Affinity    string
	Deadline    time.Time
	Key         string       // idempotency key of an at-most-once call
	Ticket      *wire.Ticket // in place of a key
	ForwardsKey bool
}

// Relayer relays the requests of one entry.
type Relayer struct {
	c          Config
	repeatable *http.Client
	once       *http.Client

	mu          sync.Mutex
	router      *router.Router
	budget      *budgeter.Budgeter
	quarantine  *quarantiner.Quarantiner
	generations map[string]uint64 // newest seen, by incarnation
}

// New returns a relayer.
func New(c Config) *Relayer {
	return &Relayer{
		c:           c,
		repeatable:  &http.Client{Transport: dialer.Transport(c.Network, false)},
		once:        &http.Client{Transport: dialer.Transport(c.Network, true)},
		router:      router.New(c.Router),
		budget:      budgeter.New(c.Budget, time.Now()),
		quarantine:  quarantiner.New(c.Quarantine),
		generations: make(map[string]uint64),
	}
}

// Close closes idle connections.
func (r *Relayer) Close() {
	r.repeatable.CloseIdleConnections()
	r.once.CloseIdleConnections()
}

// HearLoad takes in an upstream's load.
func (r *Relayer) HearLoad(incarnation string, load foxtailwharf.Load) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.router.Report(time.Now(), incarnation, load)
}

// Bans returns the requests that are barred.
func (r *Relayer) Bans() []quarantiner.Ban {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.quarantine.Bans(time.Now())
}

// HearBan takes in a ban of another entry.
func (r *Relayer) HearBan(ban quarantiner.Ban) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.quarantine.Hear(time.Now(), ban)
}

// Forget drops the loads of instances that are no longer there.
func (r *Relayer) Forget() {
	live := make(map[string]bool)
	for _, i := range r.c.Members.Live(foxtailwharf.RoleAgent) {
		live[i.Incarnation] = true
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.router.Forget(func(incarnation string) bool { return live[incarnation] })
	for incarnation := range r.generations {
		if !live[incarnation] {
			delete(r.generations, incarnation)
		}
	}
}

// Digest names a request's content in the ledger of suspects.
func (q Request) Digest() string {
	return foxtailwharf.Digest([]byte(q.Service + "\n" + q.contentDigest()))
}

// contentDigest tells two requests with one key apart.
func (q Request) contentDigest() string {
	return foxtailwharf.Digest([]byte(q.Method + "\n" + q.Path + "\n" + string(q.Body)))
}

// Relay answers a request. It returns the tokens that the answer took, or the
// refusal if nothing was sent to the caller.
func (r *Relayer) Relay(ctx context.Context, w http.ResponseWriter, q Request) (cost float64, refusal *foxtailwharf.Refusal) {
	ctx, cancel := context.WithDeadline(ctx, q.Deadline)
	defer cancel()
	digest := q.Digest()
	if refusal = r.checkBan(digest); refusal != nil {
		return 0, refusal
	}
	e := &exchange{
		r:        r,
		q:        q,
		digest:   digest,
		out:      &output{w: w, recorder: r.c.Recorder, identity: q.Identity, rank: q.Route.Rank, started: time.Now(), limit: r.c.MaxAnswerBytes},
		excluded: make(map[string]bool),
	}
	r.mu.Lock()
	r.budget.Try(time.Now())
	r.mu.Unlock()
	e.excludeDead()
	switch {
	case q.Ticket != nil:
		refusal = e.runTicket(ctx)
	case q.Key != "":
		refusal = e.runKey(ctx)
	default:
		refusal = e.runRepeatable(ctx)
	}
	return e.out.cost(), refusal
}

// warn shares a death before the request is tried again, so that a request which
// comes through another entry meanwhile does not take down upstreams of its own.
func (r *Relayer) warn(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, warnTimeout)
	defer cancel()
	r.c.Members.Warn(ctx)
}

func (r *Relayer) checkBan(digest string) *foxtailwharf.Refusal {
	r.mu.Lock()
	defer r.mu.Unlock()
	remaining := r.quarantine.Barred(time.Now(), digest)
	if remaining == 0 {
		return nil
	}
	refusal := foxtailwharf.NotRun(foxtailwharf.ReasonQuarantined, "requests like this one ended the upstreams that ran them")
	refusal.RetryAfter = remaining
	return refusal
}

// pick chooses an upstream.
func (r *Relayer) pick(q router.Request) (foxtailwharf.Instance, bool) {
	agents := r.c.Members.Live(foxtailwharf.RoleAgent)
	r.mu.Lock()
	defer r.mu.Unlock()
	i, isFound := r.router.Pick(time.Now(), agents, q)
	i.Generation = max(i.Generation, r.generations[i.Incarnation])
	return i, isFound
}

// Pick chooses an upstream for a ticket.
func (r *Relayer) Pick(service string, isServing bool) (foxtailwharf.Instance, bool) {
	return r.pick(router.Request{Service: service, IsServing: isServing})
}

// retry asks the budget for a retry and pauses before it.
func (r *Relayer) retry(ctx context.Context, retries int) bool {
	r.mu.Lock()
	pause, isAllowed := r.budget.Retry(time.Now(), retries)
	r.mu.Unlock()
	if !isAllowed {
		return false
	}
	r.c.Recorder.Count(recorder.CounterRetried)
	return pauser.Sleep(ctx, pause)
}

// note works in what an attempt told of its upstream.
func (r *Relayer) note(i foxtailwharf.Instance, digest string, o outcome) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := time.Now()
	if o.load != nil {
		r.router.Report(now, i.Incarnation, foxtailwharf.LoadFromWire(o.load))
	}
	r.generations[i.Incarnation] = max(r.generations[i.Incarnation], o.generation)
	switch {
	case o.isWhole:
		r.router.Succeeded(i.Incarnation)
		r.quarantine.Answered(digest)
	case o.isDeath:
		r.router.Failed(now, i.Incarnation)
		r.quarantine.Died(now, i.Incarnation, digest)
	case o.isClosed():
		r.router.Closed(now, i.Incarnation)
	case o.isFault:
		r.router.Failed(now, i.Incarnation)
	}
}
