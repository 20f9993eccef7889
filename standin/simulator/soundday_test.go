package simulator_test

import (
	"context"
	"flag"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"testing"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
	"go.uber.org/zap/zaptest/observer"

	"github.com/foxtailwharf/foxtailwharf"
	"github.com/foxtailwharf/foxtailwharf/standin/simulator"
)

var (
	soundSeed    = flag.Uint64("sound.seed", 1, "seed of the first day of TestSoundDays")
	soundCount   = flag.Int("sound.days", 6, "number of days of TestSoundDays")
	soundKinds   = flag.String("sound.only", "", "kind of disturbance of the days of TestSoundDays; empty for all")
	soundSilence = flag.Duration("sound.silence", 3*time.Second, "longest silence of a sound upstream on the days of TestSoundDays")
	soundTrace   = flag.String("sound.trace", "", "call whose log lines are printed")
)

const (
	soundLength  = 16 * time.Second
	soundCallers = 50
	// soundPatience is how long callers wait for the next part of a stream, as entries know it.
	soundPatience = 3200 * time.Millisecond
	// planGrace is how long after a change planned work is judged.
	planGrace = 3 * time.Second
)

// soundDay is a random day of nothing but what excuses no lost call.
type soundDay struct {
	h       *harness
	random  *rand.Rand
	plain   []*plainUpstream
	logs    *observer.ObservedLogs // of the entries
	orders  *observer.ObservedLogs // of the agents
	startAt time.Time
	endsAt  time.Time
	tasks   sync.WaitGroup

	mu                sync.Mutex
	configuration     foxtailwharf.Configuration
	weights           int64
	idle              []idleSetting
	changes           []time.Time // planned work that all entries share
	timeouts          []timeoutSetting
	out               map[string]bool        // entries that get no new connections
	stops             map[string][]time.Time // by entry
	burst, leaveShare float64
	calls             []*soundCall
	starts            map[string]int       // of calls at upstreams
	arrivals          map[string][]string  // upstreams, by call
	silentUntil       map[string]time.Time // by upstream
	played            []string
}

type idleSetting struct {
	at    time.Time
	limit time.Duration
}

type timeoutSetting struct {
	at       time.Time
	timeouts map[string]time.Duration // by route
}

// TestSoundDays guards against calls that end without an answer although nothing has happened but planned work, silences of
// sound upstreams, trouble of the store, bursts and callers that leave.
func TestSoundDays(t *testing.T) {
	t.Parallel()
	for n := range *soundCount {
		seed := *soundSeed + uint64(n)
		t.Run(fmt.Sprint(seed), func(t *testing.T) { playSoundDay(t, seed) })
	}
}

func playSoundDay(t *testing.T, seed uint64) {
	random := rand.New(rand.NewPCG(seed, 43))
	d := &soundDay{
		random: random, weights: 1, out: make(map[string]bool), stops: make(map[string][]time.Time), starts: make(map[string]int),
		arrivals: make(map[string][]string), silentUntil: make(map[string]time.Time), burst: 1,
	}
	var entryCore, agentCore zapcore.Core
	entryCore, d.logs = observer.New(zapcore.InfoLevel)
	agentCore, d.orders = observer.New(zapcore.InfoLevel)
	plain := 1 + random.IntN(3)
	c := simulator.Config{
		Entries: 3 + random.IntN(4), Engines: 3 + random.IntN(7), Slots: 8, Plain: plain, EventsOf: soundEvents,
		AgentLog: zap.New(agentCore), EntryLog: zap.New(entryCore), OnArrive: d.arrive,
	}
	run(t, c, 0, func(h *harness) {
		d.h = h
		d.plain = h.serveSoundPlain(plain, d.runPlain)
		d.play()
	})
	for _, r := range d.h.runs {
		d.starts[r.call]++
	}
	d.judge(t, seed)
}

// arrive records that a call has reached an upstream.
func (d *soundDay) arrive(call, upstream string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.arrivals[call] = append(d.arrivals[call], upstream)
}

// runPlain records that a call runs at a plain upstream.
func (d *soundDay) runPlain(call, upstream string) {
	d.arrive(call, upstream)
	d.mu.Lock()
	defer d.mu.Unlock()
	d.starts[call]++
}

func (d *soundDay) play() {
	d.startAt = time.Now()
	d.endsAt = d.startAt.Add(soundLength)
	d.configuration = d.h.Configuration(2, simulator.Key, "k2")
	d.configuration.Routes = nil
	for priority, r := range soundRoutes() {
		var patience time.Duration
		if r.kind == foxtailwharf.CallStream {
			patience = soundPatience
		}
		d.configuration.Routes = append(d.configuration.Routes, foxtailwharf.CallRoute{
			Name: r.name, Host: "h", Prefix: "/" + r.name + "/", Kind: r.kind, Timeout: r.limit, Goal: min(r.limit/6, 400*time.Millisecond),
			Gap: 400 * time.Millisecond, Patience: patience, Priority: priority % 3, Attempts: 2, IsResumable: r.isResumable,
			Targets: []foxtailwharf.CallTarget{{Service: r.service, Weight: 1}},
		})
	}
	d.configuration.Limits = foxtailwharf.CallLimits{HeaderBytes: 8 << 10, BodyBytes: 256 << 10, HeaderTimeout: 3 * time.Second, IdleTimeout: 15 * time.Second}
	d.put()
	time.Sleep(2500 * time.Millisecond)
	for n := range soundCallers {
		caller := &soundCaller{d: d, random: rand.New(rand.NewPCG(d.random.Uint64(), uint64(n))), name: fmt.Sprint(n)}
		d.h.callers.Go(caller.loop)
	}
	for range 5 + d.random.IntN(5) {
		d.disturb(rand.New(rand.NewPCG(d.random.Uint64(), 1)))
	}
	time.Sleep(time.Until(d.endsAt))
	d.tasks.Wait()
	d.h.callers.Wait()
}

// put puts the configuration in force. The lock must not be held.
func (d *soundDay) put() {
	d.mu.Lock()
	c := d.configuration
	c.Routes = slices.Clone(c.Routes)
	now := time.Now()
	timeouts := make(map[string]time.Duration)
	for _, r := range c.Routes {
		timeouts[r.Name] = r.Timeout
	}
	d.timeouts = append(d.timeouts, timeoutSetting{now, timeouts})
	d.idle = append(d.idle, idleSetting{now, c.Limits.IdleTimeout})
	d.changes = append(d.changes, now)
	d.mu.Unlock()
	d.h.Store.PutConfiguration(c)
}

// pause returns how long a caller waits before its next call.
func (d *soundDay) pause(random *rand.Rand) time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	mean := 0.5
	if random.IntN(10) == 0 {
		mean = 4
	}
	return time.Duration(random.ExpFloat64() * mean / d.burst * float64(time.Second))
}

// leavers returns the fraction of the callers that leave.
func (d *soundDay) leavers() float64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	return 0.03 + d.leaveShare
}

// idleLimit returns how long connections may be idle, by what callers know.
func (d *soundDay) idleLimit() time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	limit := d.idle[len(d.idle)-1].limit
	for _, s := range d.idle {
		// A larger limit is not relied on before it applies everywhere; a smaller one at once.
		if time.Since(s.at) < planGrace+15*time.Second {
			limit = min(limit, s.limit)
		}
	}
	return limit
}

// pick returns an entry that takes new connections; nil for none.
func (d *soundDay) pick(random *rand.Rand) *simulator.Entry {
	d.mu.Lock()
	defer d.mu.Unlock()
	var in []*simulator.Entry
	for _, e := range d.h.Entries {
		if !d.out[e.Name] {
			in = append(in, e)
		}
	}
	if len(in) == 0 {
		return nil
	}
	return in[random.IntN(len(in))]
}

func (d *soundDay) begin(c *soundCall) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.calls = append(d.calls, c)
}

func (d *soundDay) leave(c *soundCall) {
	d.mu.Lock()
	defer d.mu.Unlock()
	c.isLeft = true
}

func (d *soundDay) note(format string, args ...any) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.played = append(d.played, fmt.Sprintf("%6.3f ", time.Since(d.startAt).Seconds())+fmt.Sprintf(format, args...))
}

// stop stops an entry gracefully and starts it again.
func (d *soundDay) stop(random *rand.Rand, e *simulator.Entry) {
	d.mu.Lock()
	d.stops[e.Name] = append(d.stops[e.Name], time.Now())
	d.mu.Unlock()
	d.note("stop %s", e.Name)
	time.AfterFunc(time.Second+time.Duration(random.IntN(1000))*time.Millisecond, func() {
		d.mu.Lock()
		defer d.mu.Unlock()
		d.out[e.Name] = true
	})
	ctx, cancel := context.WithTimeout(d.h.t.Context(), graceLimit)
	defer cancel()
	if err := e.Stop(ctx); err != nil {
		d.note("%s: %v", e.Name, err)
	}
	time.Sleep(200 * time.Millisecond)
	e.Kill()
	if err := e.Start(d.h.t.Context()); err != nil {
		d.h.t.Error(err)
		return
	}
	d.note("%s is back", e.Name)
	time.Sleep(2 * time.Second)
	d.mu.Lock()
	defer d.mu.Unlock()
	d.out[e.Name] = false
}

// statusOf names how a call has ended.
func statusOf(c *soundCall) string {
	switch {
	case c.status == 0:
		return "none"
	case !c.isWhole:
		return fmt.Sprintf("cut %d", c.status)
	default:
		return fmt.Sprintf("%d %s", c.status, http.StatusText(c.status))
	}
}
