// Package forwarder answers callers at an entry of a fleet that the platform lists: it
// finds the route and the client account of a call, has an upstream assigned, sends the
// call straight to it, and passes the answer on.
package forwarder

import (
	"context"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"github.com/foxtailwharf/foxtailwharf"
	"github.com/foxtailwharf/foxtailwharf/internal/connection/exchanger"
	"github.com/foxtailwharf/foxtailwharf/internal/process/follower"
	"github.com/foxtailwharf/foxtailwharf/internal/process/recorder"
	"github.com/foxtailwharf/foxtailwharf/internal/request/assigner"
	"github.com/foxtailwharf/foxtailwharf/internal/request/matcher"
	"github.com/foxtailwharf/foxtailwharf/internal/request/quarantiner"
	"github.com/foxtailwharf/foxtailwharf/internal/request/rationer"
)

// Config holds the settings of a Forwarder.
type Config struct {
	Dialect   foxtailwharf.CallDialect
	Assigner  *assigner.Assigner
	Exchanger *exchanger.Exchanger
	Recorder  *recorder.Recorder
	Clock     follower.Clock
	// ProofLife is how long the configuration may go without a proof that it is the
	// newest before keys are no longer taken.
	ProofLife time.Duration
	Ration    rationer.Config
	// Placed tells the agent beside an engine of a call that is sent there.
	Placed func(u foxtailwharf.Upstream, tokens int)
	// Warn tells other entries at once what is held against requests.
	Warn   func(ctx context.Context)
	Random *rand.Rand
	Log    *zap.Logger
}

// Forwarder answers the calls of one entry.
type Forwarder struct {
	c       Config
	state   atomic.Pointer[state]
	leaving atomic.Bool

	mu         sync.Mutex
	ration     *rationer.Rationer
	quarantine *quarantiner.Quarantiner
	random     *rand.Rand
}

// state is a view with its routes made ready.
type state struct {
	follower.View
	matcher *matcher.Matcher
}

// crashesToBar is the number of upstreams that a request may crash.
const crashesToBar = 3

// New returns a forwarder that has no configuration yet.
func New(c Config) *Forwarder {
	return &Forwarder{
		c:          c,
		ration:     rationer.New(c.Ration, time.Now()),
		quarantine: quarantiner.New(quarantiner.Config{DeathsToBar: crashesToBar}),
		random:     c.Random,
	}
}

// SetView puts a view of the store in force.
func (f *Forwarder) SetView(v follower.View) {
	next := &state{View: v}
	last := f.state.Load()
	switch {
	case v.Configuration == nil:
		next.matcher = matcher.New(nil)
	case last != nil && last.Configuration == v.Configuration:
		next.matcher = last.matcher
	default:
		next.matcher = matcher.New(v.Configuration.Routes)
	}
	f.state.Store(next)
}

// SetExtra changes this entry's part of the repeats that are allowed on top.
func (f *Forwarder) SetExtra(extra float64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.ration.SetExtra(extra)
}

// Leave makes each answer the last of its connection.
func (f *Forwarder) Leave() {
	f.leaving.Store(true)
}

// isFresh reports whether keys may be taken on the word of the configuration.
func (f *Forwarder) isFresh(s *state) bool {
	return s.HasProof && f.c.Clock()-s.ConfiguredAt < f.c.ProofLife
}

// IsReady reports whether the entry can serve callers.
func (f *Forwarder) IsReady() bool {
	s := f.state.Load()
	if f.leaving.Load() || s == nil || s.Configuration == nil {
		return false
	}
	return (s.Configuration.Keys == nil || f.isFresh(s)) && len(s.Upstreams) > 0
}

// News returns what this entry has found out against requests and the others have not heard.
func (f *Forwarder) News(limit int) []quarantiner.Ban {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.quarantine.News(time.Now(), limit)
}

// HearBan takes in a ban of another entry.
func (f *Forwarder) HearBan(ban quarantiner.Ban) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.quarantine.Hear(time.Now(), ban)
}

// ServeHTTP answers one call.
func (f *Forwarder) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	started := time.Now()
	if f.leaving.Load() {
		w.Header().Set("Connection", "close")
	}
	x := &exchange{f: f, w: w, started: started, excluded: make(map[string]bool)}
	if refusal := f.admit(x, w, r); refusal != nil {
		x.refuse(refusal)
		return
	}
	ctx, cancel := context.WithDeadline(r.Context(), x.deadline)
	defer cancel()
	x.run(ctx)
}

// first counts a call against the budget of repeats.
func (f *Forwarder) first(service string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.ration.First(time.Now(), service)
}

// mayRepeat draws on the budget of repeats.
func (f *Forwarder) mayRepeat(service string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.ration.Repeat(time.Now(), service)
}

// draw returns a random number in [0, 1).
func (f *Forwarder) draw() float64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.random.Float64()
}

// died notes that an upstream ended with a call in flight. The other entries hear of it in
// time, and before the call is tried again where this was not the first.
func (f *Forwarder) died(ctx context.Context, upstream foxtailwharf.Upstream, digest string) {
	f.mu.Lock()
	f.quarantine.Died(time.Now(), upstream.ID+"@"+upstream.Born.String(), digest)
	isRepeated := len(f.quarantine.DiedOn(digest)) > 1
	f.mu.Unlock()
	if isRepeated {
		f.c.Warn(ctx)
	}
}

// answered clears a request that got a whole answer.
func (f *Forwarder) answered(digest string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.quarantine.Answered(digest)
}

// barred returns how long a request is still barred.
func (f *Forwarder) barred(digest string) time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.quarantine.Barred(time.Now(), digest)
}
