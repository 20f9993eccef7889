// Package relayer forwards a request from an entry to agents and returns the response to the
// caller: it picks upstreams, retries where that is safe, resumes streams, and runs calls with a
// key at most once. A caller gets the complete response, or its connection is aborted so that it
// can tell that the response is incomplete.
package relayer

import (
	"context"
	"net/http"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/foxtailwharf/foxtailwharf"
	"github.com/foxtailwharf/foxtailwharf/internal/connection/dialer"
	"github.com/foxtailwharf/foxtailwharf/internal/process/meter"
	"github.com/foxtailwharf/foxtailwharf/internal/process/sleeper"
	"github.com/foxtailwharf/foxtailwharf/internal/request/arbiter"
	"github.com/foxtailwharf/foxtailwharf/internal/request/budgeter"
	"github.com/foxtailwharf/foxtailwharf/internal/request/claimer"
	"github.com/foxtailwharf/foxtailwharf/internal/request/isolator"
	"github.com/foxtailwharf/foxtailwharf/internal/request/router"
	"github.com/foxtailwharf/foxtailwharf/wire"
)

// announceTimeout bounds the time to announce the death of an upstream to other entries.
const announceTimeout = 300 * time.Millisecond

// Members is the entry's view of the fleet's instances.
type Members interface {
	Live(role foxtailwharf.Role) []foxtailwharf.Instance
	MarkLost(incarnation string)
	// ShareBans sends this entry's bans, and its evidence against suspects, to other entries.
	ShareBans(ctx context.Context)
}

// Config holds the settings of a Relayer.
type Config struct {
	Network        foxtailwharf.Network
	Members        Members
	Router         router.Config
	Budget         budgeter.Config
	Claimer        *claimer.Claimer
	Meter          *meter.Meter
	MaxAnswerBytes int64
	Log            *zap.Logger
}

// Request is a request of a caller.
type Request struct {
	Service     string
	Route       foxtailwharf.Route
	Identity    foxtailwharf.Identity
	Method      string
	Path        string // path and query for the upstream
	ContentType string
	Accept      string
	Body        []byte
	Cost        float64 // estimated tokens
	Affinity    string
	Deadline    time.Time
	IsBounded   bool // the deadline is the end of a shutdown
	// Arbiter decides whether the response begins or the request is given up; nil if it is not given up before its deadline.
	Arbiter     *arbiter.Arbiter
	Key         string       // idempotency key of an at-most-once call; empty for other calls
	Ticket      *wire.Ticket // takes the place of a key; nil for none
	ForwardsKey bool
}

// Relayer relays the requests of one entry. It is safe for concurrent use.
type Relayer struct {
	config     Config
	repeatable *http.Client
	once       *http.Client

	mu          sync.Mutex
	router      *router.Router
	budget      *budgeter.Budgeter
	isolator    *isolator.Isolator
	generations map[string]uint64 // newest key memory generation seen, by incarnation
}

// crashesToBan is the number of crashed upstreams at which a request is banned.
const crashesToBan = 2

// New returns a relayer with empty load, retry and quarantine state.
func New(config Config) *Relayer {
	r := &Relayer{
		config:      config,
		repeatable:  &http.Client{Transport: dialer.Transport(config.Network, false)},
		once:        &http.Client{Transport: dialer.Transport(config.Network, true)},
		router:      router.New(config.Router),
		budget:      budgeter.New(config.Budget, time.Now()),
		isolator:    isolator.New(isolator.Config{CrashesToBan: crashesToBan}),
		generations: make(map[string]uint64),
	}
	// Entries exchange all evidence, and each one decides.
	r.isolator.SetRole(isolator.RoleDecides)
	return r
}

// Close closes the idle connections to agents.
func (r *Relayer) Close() {
	r.repeatable.CloseIdleConnections()
	r.once.CloseIdleConnections()
}

// UpdateLoad records the load of an upstream.
func (r *Relayer) UpdateLoad(incarnation string, load foxtailwharf.Load) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.router.Report(time.Now(), incarnation, load)
}

// Suspicions returns what is held against all suspected and banned requests.
func (r *Relayer) Suspicions() []isolator.Suspicion {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.isolator.Suspicions(time.Now())
}

// Evidence weighs the evidence against requests and returns it, with the bans, for other entries.
func (r *Relayer) Evidence() isolator.Evidence {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := time.Now()
	r.decide(now)
	return r.isolator.All(now)
}

// MergeEvidence merges the evidence of another entry against requests, and its bans.
func (r *Relayer) MergeEvidence(e isolator.Evidence) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.isolator.Merge(time.Now(), e)
}

// decide bans the requests that the evidence isolates. The lock must be held.
func (r *Relayer) decide(now time.Time) {
	for _, b := range r.isolator.Decide(now) {
		r.config.Log.Warn("quarantine: requests are refused, since they crash upstreams", zap.Strings("Suspects", b.Parts), zap.Duration("SinceCrash", b.Age))
	}
}

// Forget deletes the loads and generations of instances that no longer exist.
func (r *Relayer) Forget() {
	live := make(map[string]bool)
	for _, i := range r.config.Members.Live(foxtailwharf.RoleAgent) {
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

// Digest identifies the service and content of a request for the quarantine.
func (q Request) Digest() string {
	return foxtailwharf.Digest([]byte(q.Service + "\n" + q.contentDigest()))
}

// contentDigest distinguishes requests with the same key but different content.
func (q Request) contentDigest() string {
	return foxtailwharf.Digest([]byte(q.Method + "\n" + q.Path + "\n" + string(q.Body)))
}

// Relay answers a request. It returns the number of tokens that the response took, or a refusal
// if nothing was sent to the caller. It panics with http.ErrAbortHandler if the response fails
// after a part of it was sent.
func (r *Relayer) Relay(ctx context.Context, w http.ResponseWriter, req Request) (cost float64, refusal *foxtailwharf.Refusal) {
	ctx, cancel := context.WithDeadline(ctx, req.Deadline)
	defer cancel()
	if req.Arbiter == nil {
		req.Arbiter = &arbiter.Arbiter{}
	}
	digest := req.Digest()
	if refusal = r.checkBan(digest); refusal != nil {
		return 0, refusal
	}
	e := &exchange{
		r:        r,
		req:      req,
		digest:   digest,
		out:      &output{w: w, arbiter: req.Arbiter, meter: r.config.Meter, identity: req.Identity, rank: req.Route.Rank, started: time.Now(), limit: r.config.MaxAnswerBytes},
		excluded: make(map[string]bool),
	}
	r.mu.Lock()
	r.budget.Try(time.Now())
	r.mu.Unlock()
	e.excludeDead()
	switch {
	case req.Ticket != nil:
		refusal = e.runTicket(ctx)
	case req.Key != "":
		refusal = e.runKey(ctx)
	default:
		refusal = e.runRepeatable(ctx)
	}
	return e.out.cost(), refusal
}

// announceDeath shares the death of an upstream before the request is tried again. Otherwise an
// identical request that arrives through another entry meanwhile would crash further upstreams.
func (r *Relayer) announceDeath(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, announceTimeout)
	defer cancel()
	r.config.Members.ShareBans(ctx)
}

func (r *Relayer) checkBan(digest string) *foxtailwharf.Refusal {
	r.mu.Lock()
	defer r.mu.Unlock()
	now, request := time.Now(), isolator.Request(digest)
	if len(r.isolator.CrashedUpstreams(request)) >= crashesToBan {
		r.decide(now)
	}
	remaining, _ := r.isolator.Meet(now, []string{request})
	if remaining = max(remaining, r.isolator.Held(now, request)); remaining == 0 {
		return nil
	}
	refusal := foxtailwharf.NotRun(foxtailwharf.ReasonQuarantined, "identical requests crashed the upstreams that ran them")
	refusal.RetryAfter = remaining
	return refusal
}

// pick chooses an upstream and sets the newest known generation of its key memory.
func (r *Relayer) pick(q router.Request) (foxtailwharf.Instance, bool) {
	agents := r.config.Members.Live(foxtailwharf.RoleAgent)
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

// retry takes a retry from the budget and pauses before it. It returns false if the budget is
// used up or the context ends.
func (r *Relayer) retry(ctx context.Context, retries int) bool {
	r.mu.Lock()
	pause, isAllowed := r.budget.Retry(time.Now(), retries)
	r.mu.Unlock()
	if !isAllowed {
		return false
	}
	r.config.Meter.Increment(meter.CounterRetried)
	return sleeper.Sleep(ctx, pause)
}

// recordOutcome updates the state of an upstream with the outcome of an attempt.
func (r *Relayer) recordOutcome(i foxtailwharf.Instance, digest string, o outcome) {
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
		r.isolator.RecordComplete(now, isolator.Request(digest))
	case o.isDeath:
		r.router.Failed(now, i.Incarnation)
		r.isolator.RecordBreak(now, now, i.Incarnation, []string{isolator.Request(digest)}, o.hasBegun)
	case o.isClosed():
		r.router.Closed(now, i.Incarnation)
	case o.isFault:
		r.router.Failed(now, i.Incarnation)
	}
}
