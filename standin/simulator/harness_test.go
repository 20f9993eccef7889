package simulator_test

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/foxtailwharf/foxtailwharf"
	"github.com/foxtailwharf/foxtailwharf/internal/connection/dialer"
	"github.com/foxtailwharf/foxtailwharf/internal/request/refuser"
	"github.com/foxtailwharf/foxtailwharf/standin"
	"github.com/foxtailwharf/foxtailwharf/standin/simulator"
)

// Limits that the users require, and the scores of TestBurst.
const (
	switchBound   = 8 * time.Second
	keyBound      = 5 * time.Second
	recoveryBound = 12 * time.Second
	// minScore is the lowest score of a route's calls in a fleet without faults. A call whose
	// first event is on time scores 1, one that is late but whole scores lateScore.
	minScore  = 0.42
	lateScore = 0.36
)

// harness runs a fleet under fake time and records what its callers get.
type harness struct {
	*simulator.Fleet
	t       *testing.T
	client  *http.Client
	callers sync.WaitGroup
	flows   map[[2]uint64]uint64 // number of flows so far, by what their seeds are made of

	mu      sync.Mutex
	lastID  int
	runs    []startedCall
	results map[string][]result // by route
	entries map[string]string   // to which calls were sent, by call
}

// startedCall records that a call began to run on an engine.
type startedCall struct {
	call      string
	weights   int64
	startedAt time.Time
}

// result is the outcome of a call for its caller.
type result struct {
	isWhole bool
	status  int
	first   time.Duration // until the first event
	sent    time.Time
	ended   time.Time
	// retryAfter is when the caller of a refused call should come back; 0 for never.
	retryAfter time.Duration
	reason     foxtailwharf.Reason // of a refusal
}

func run(t *testing.T, c simulator.Config, emptyEngines int, scenario func(h *harness)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		h := &harness{t: t, results: make(map[string][]result), entries: make(map[string]string), flows: make(map[[2]uint64]uint64)}
		c.OnStart = func(call, _ string, weights int64) {
			h.mu.Lock()
			defer h.mu.Unlock()
			h.runs = append(h.runs, startedCall{call: call, weights: weights, startedAt: time.Now()})
		}
		h.Fleet = simulator.New(c)
		ctx, cancel := context.WithCancel(t.Context())
		if err := h.Start(ctx, emptyEngines); err != nil {
			t.Fatal(err)
		}
		transport := dialer.Transport(h.CallerHost(), false)
		h.client = &http.Client{Transport: transport}
		time.Sleep(3 * time.Second)
		scenario(h)
		h.callers.Wait()
		transport.CloseIdleConnections()
		h.Stop()
		cancel()
		time.Sleep(time.Minute)
	})
}

// countRuns returns how many times calls have begun at engines.
func (h *harness) countRuns() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return len(h.runs)
}

// lastStart returns when the last call began at an engine; zero for none.
func (h *harness) lastStart() (last time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, r := range h.runs {
		if r.startedAt.After(last) {
			last = r.startedAt
		}
	}
	return last
}

// call sends one call and records its result.
func (h *harness) call(entry *simulator.Entry, route, key string, promptTokens int) result {
	return h.callWithin(entry, route, key, promptTokens, 0)
}

// callWithin is call by a caller that says how long it waits; 0 for not saying so.
func (h *harness) callWithin(entry *simulator.Entry, route, key string, promptTokens int, timeout time.Duration) result {
	return h.callWith(entry, route, key, promptTokens, func(r *http.Request) {
		if timeout > 0 {
			r.Header.Set(standin.HeaderTimeout, strconv.FormatInt(timeout.Milliseconds(), 10))
		}
	})
}

// callWith is call with a request that is changed before it is sent.
func (h *harness) callWith(entry *simulator.Entry, route, key string, promptTokens int, change func(r *http.Request)) result {
	h.mu.Lock()
	h.lastID++
	id := fmt.Sprintf("%s-%d", route, h.lastID)
	h.entries[id] = entry.Name
	h.mu.Unlock()
	res := result{sent: time.Now()}
	r, err := simulator.NewRequest(h.t.Context(), entry.Callers(), route, id, key, promptTokens)
	if err != nil {
		h.t.Error(err)
		return res
	}
	change(r)
	response, err := h.client.Do(r)
	if err == nil {
		res.status = response.StatusCode
		if seconds, err := strconv.ParseFloat(response.Header.Get("Retry-After"), 64); err == nil {
			res.retryAfter = time.Duration(seconds * float64(time.Second))
		}
		if response.StatusCode == http.StatusOK {
			res.isWhole = h.readEvents(response, id, &res)
		} else {
			res.reason = readReason(response)
		}
		_ = response.Body.Close()
	}
	res.ended = time.Now()
	h.mu.Lock()
	defer h.mu.Unlock()
	h.results[route] = append(h.results[route], res)
	return res
}

// readReason returns the reason of a refusal; empty for an answer that is none.
func readReason(response *http.Response) foxtailwharf.Reason {
	var problem refuser.Problem
	if err := json.NewDecoder(response.Body).Decode(&problem); err != nil {
		return ""
	}
	return foxtailwharf.Reason(problem.Reason)
}

// readEvents reads a stream and reports whether it is whole. The test fails on events of another
// call or out of order.
func (h *harness) readEvents(response *http.Response, id string, res *result) bool {
	next := 1
	scanner := bufio.NewScanner(response.Body)
	for scanner.Scan() {
		text, isData := strings.CutPrefix(scanner.Text(), "data: ")
		if !isData || response.StatusCode != http.StatusOK {
			continue
		}
		if want := fmt.Sprintf("%s %d", id, next); text != want {
			h.t.Errorf("event %q, want %q", text, want)
		}
		if next == 1 {
			res.first = time.Since(res.sent)
		}
		next++
	}
	return scanner.Err() == nil && response.StatusCode == http.StatusOK && next > 1
}

// flow calls send in a goroutine of its own at the times of a Poisson process of a rate, and end at the end.
// Each flow draws numbers of its own.
func (h *harness) flow(route string, perSecond float64, length time.Duration, send func(random *rand.Rand), end func()) {
	seed := [2]uint64{uint64(len(route)), uint64(perSecond)}
	random := rand.New(rand.NewPCG(seed[0]+h.flows[seed]<<32, seed[1]))
	h.flows[seed]++
	h.callers.Go(func() {
		defer end()
		for until := time.Now().Add(length); time.Now().Before(until); {
			time.Sleep(time.Duration(random.ExpFloat64() / perSecond * float64(time.Second)))
			send(random)
		}
	})
}

// load sends a flow of calls of a route through random entries.
func (h *harness) load(route string, perSecond float64, length time.Duration, promptTokens int) {
	h.flow(route, perSecond, length, func(random *rand.Rand) {
		entry := h.Entries[random.IntN(len(h.Entries))]
		h.callers.Go(func() { h.call(entry, route, simulator.Key, promptTokens) })
	}, func() {})
}

// onTime returns the fraction of a route's calls that were whole with the first event within the
// goal, and the fraction that were whole.
func (h *harness) onTime(route string, goal time.Duration) (onTime, served float64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, r := range h.results[route] {
		if r.isWhole {
			served++
			if r.first <= goal {
				onTime++
			}
		}
	}
	total := float64(max(len(h.results[route]), 1))
	return onTime / total, served / total
}

// waitForVersion waits until all engines hold a version and returns how long it took.
func (h *harness) waitForVersion(version int64, limit time.Duration) time.Duration {
	h.t.Helper()
	started := time.Now()
	for {
		missing := 0
		for _, e := range h.Engines {
			if e.Weights() != version {
				missing++
			}
		}
		if missing == 0 {
			return time.Since(started)
		}
		if time.Since(started) > limit {
			h.t.Fatalf("%d engines do not hold version %d after %s", missing, version, limit)
		}
		time.Sleep(50 * time.Millisecond)
	}
}
