package simulator_test

import (
	"sync"
	"testing"
	"time"

	"github.com/foxtailwharf/foxtailwharf/standin/simulator"
)

// What the users allow an upstream that has named a limit to get, from limitContact after that on.
const (
	limitContact = 3 * time.Second
	limitWindow  = 4 * time.Second
	limitRatio   = 1.5
	limitExtra   = 5
)

// arrivals records when calls reach engines.
type arrivals struct {
	mu sync.Mutex
	at map[string][]time.Time // by engine
	// calls are those of the times.
	calls map[string][]string
}

func newArrivals() *arrivals {
	return &arrivals{at: make(map[string][]time.Time), calls: make(map[string][]string)}
}

func (a *arrivals) arrive(call, engine string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.at[engine] = append(a.at[engine], time.Now())
	a.calls[engine] = append(a.calls[engine], call)
}

// afterWord returns how many calls reach an engine in a time from entries whose calls have reached it there
// over wordGrace before, and the most from one entry. entries are those of the calls.
func (a *arrivals) afterWord(engine string, entries map[string]string, from, to time.Time) (count, most int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	first := make(map[string]time.Time)
	counts := make(map[string]int)
	for n, at := range a.at[engine] {
		entry := entries[a.calls[engine][n]]
		switch learned, isKnown := first[entry]; {
		case at.Before(from) || !at.Before(to):
		case !isKnown:
			first[entry] = at
		case at.Sub(learned) > wordGrace:
			count++
			counts[entry]++
			most = max(most, counts[entry])
		}
	}
	return count, most
}

// between returns how many calls have reached an engine in a time.
func (a *arrivals) between(engine string, from, to time.Time) (count int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, at := range a.at[engine] {
		if at.After(from) && !at.After(to) {
			count++
		}
	}
	return count
}

// most returns the largest number of calls that have reached an engine in a window that begins
// after a time.
func (a *arrivals) most(engine string, after time.Time) (most int) {
	a.mu.Lock()
	times := a.at[engine]
	a.mu.Unlock()
	for _, from := range times {
		if from.After(after) {
			most = max(most, a.between(engine, from.Add(-time.Nanosecond), from.Add(limitWindow)))
		}
	}
	return most
}

// wordGrace is the time after an answer in which calls may still reach an engine that wants none.
const wordGrace = 500 * time.Millisecond

// limitTest is a load on a fleet in which some engines name a limit.
type limitTest struct {
	name            string
	config          simulator.Config
	limits          []float64 // of the first engines, calls a second
	callsPerSecond  float64
	minServed       float64 // fraction of the calls
	minUsed         float64 // fraction of the calls that the limits allow
	maxRefusedAfter time.Duration
	// disturb runs while the limits are in force.
	disturb func(h *harness)
}

// limitLength is how long the limits are in force.
const limitLength = 16 * time.Second

func (tt limitTest) run(t *testing.T) {
	arrived := newArrivals()
	tt.config.OnArrive = arrived.arrive
	run(t, tt.config, 0, func(h *harness) {
		h.load("chat", tt.callsPerSecond, limitLength+2*time.Second, 100)
		time.Sleep(2 * time.Second)
		named := time.Now()
		for n, limit := range tt.limits {
			h.Engines[n].NameLimit(limit)
		}
		if tt.disturb != nil {
			tt.disturb(h)
		}
		time.Sleep(limitLength - time.Since(named))
		for n, limit := range tt.limits {
			allowed := int(limitRatio*limit*limitWindow.Seconds()) + limitExtra
			if most := arrived.most(h.Engines[n].ID, named.Add(limitContact)); most > allowed {
				t.Errorf("engine %d with a limit of %g a second got %d calls in %s, allowed %d", n, limit, most, limitWindow, allowed)
			}
			counted := arrived.between(h.Engines[n].ID, named.Add(limitContact), named.Add(limitLength))
			if want := tt.minUsed * limit * (limitLength - limitContact).Seconds(); float64(counted) < want {
				t.Errorf("engine %d with a limit of %g a second got %d calls, want %g at least", n, limit, counted, want)
			}
		}
		h.callers.Wait()
		if _, served := h.onTime("chat", time.Second); served < tt.minServed {
			t.Errorf("%.3f of the calls were served, want %.3f at least", served, tt.minServed)
		}
		for _, r := range h.results["chat"] {
			if r.status != 200 && tt.maxRefusedAfter > 0 && r.ended.Sub(r.sent) > tt.maxRefusedAfter {
				t.Errorf("a call was refused after %s, want %s at most", r.ended.Sub(r.sent), tt.maxRefusedAfter)
				break
			}
		}
	})
}

// TestNamedLimitIsExceeded guards against an upstream that gets more than the limit that it has named.
func TestNamedLimitIsExceeded(t *testing.T) {
	tests := []limitTest{
		{
			name: "two of nine engines", config: simulator.Config{Entries: 12, Engines: 9, Slots: 8, Events: 5},
			limits: []float64{1, 1.6}, callsPerSecond: 60, minServed: 0.99, minUsed: 0.6,
		},
		{
			name: "all engines", config: simulator.Config{Entries: 12, Engines: 3, Slots: 8, Events: 5},
			limits: []float64{2, 2, 2}, callsPerSecond: 40, minUsed: 0.8, maxRefusedAfter: 3 * time.Second,
		},
		{
			name: "fewer calls than the limits", config: simulator.Config{Entries: 12, Engines: 3, Slots: 8, Events: 5},
			limits: []float64{2, 2, 2}, callsPerSecond: 3, minServed: 0.97,
		},
		{
			name: "entries start anew", config: simulator.Config{Entries: 12, Engines: 9, Slots: 8, Events: 5},
			limits: []float64{1, 3, 10}, callsPerSecond: 60,
			disturb: func(h *harness) {
				for _, e := range h.Entries {
					time.Sleep(700 * time.Millisecond)
					e.Kill()
					time.Sleep(300 * time.Millisecond)
					if err := e.Start(h.t.Context()); err != nil {
						h.t.Error(err)
					}
				}
			},
		},
		{
			name: "entries with few calls each", config: simulator.Config{Entries: 40, Engines: 4, Slots: 8, Events: 5},
			limits: []float64{1}, callsPerSecond: 24, minServed: 0.99, minUsed: 0.6,
		},
		{
			name: "entries with a call every five seconds", config: simulator.Config{Entries: 40, Engines: 3, Slots: 8, Events: 5},
			limits: []float64{1}, callsPerSecond: 8, minServed: 0.99, minUsed: 0.6,
		},
		{
			name: "several permits in an answer", config: simulator.Config{Entries: 40, Engines: 4, Slots: 32, Events: 5},
			limits: []float64{40}, callsPerSecond: 240, minServed: 0.99, minUsed: 0.6,
		},
		{
			name: "forty entries", config: simulator.Config{Entries: 40, Engines: 12, Slots: 8, Events: 5},
			limits: []float64{1}, callsPerSecond: 120, minServed: 0.99, minUsed: 0.6,
		},
	}
	for _, tt := range tests {
		t.Run(tt.name, tt.run)
	}
}

// TestLimitIsLifted checks that an upstream gets as many calls as others once its answers name no limit.
func TestLimitIsLifted(t *testing.T) {
	arrived := newArrivals()
	run(t, simulator.Config{Entries: 12, Engines: 6, Slots: 8, Events: 5, OnArrive: arrived.arrive}, 0, func(h *harness) {
		h.load("chat", 60, 20*time.Second, 100)
		time.Sleep(2 * time.Second)
		h.Engines[0].NameLimit(1)
		time.Sleep(8 * time.Second)
		h.Engines[0].LiftLimit()
		time.Sleep(3 * time.Second)
		from := time.Now()
		time.Sleep(5 * time.Second)
		for n := range h.Engines {
			if count := arrived.between(h.Engines[n].ID, from, time.Now()); count < 20 {
				t.Errorf("%s got %d calls in 5 s, want 20 at least", h.Engines[n].ID, count)
			}
		}
	})
}
