package simulator_test

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/foxtailwharf/foxtailwharf"
	"github.com/foxtailwharf/foxtailwharf/standin"
	"github.com/foxtailwharf/foxtailwharf/standin/simulator"
)

// requestCrashes is the number of engines that a request may crash before it counts as known.
const requestCrashes = 3

// crasherCase is a load of sound streams beside requests that crash engines and are sent again and again.
type crasherCase struct {
	streams  float64 // sound ones a second
	requests int     // that crash engines
	every    time.Duration
	parts    string        // of the prompts of the requests; empty for none
	failures time.Duration // between two failures of engines that have another cause; 0 for none
}

// TestCrashingRequestAmongCrashes guards against crashes of one request that free another one, or itself.
func TestCrashingRequestAmongCrashes(t *testing.T) {
	tests := []crasherCase{
		{0, 1, 100 * time.Millisecond, "", 0},
		{0, 3, 300 * time.Millisecond, "", 0},
		{20, 1, 300 * time.Millisecond, "", 0},
		{20, 3, 100 * time.Millisecond, "", 0},
		{60, 1, 100 * time.Millisecond, "", 0},
		{60, 1, 1100 * time.Millisecond, "", 0},
		{60, 2, 100 * time.Millisecond, "", 0},
		{60, 2, 600 * time.Millisecond, "", 0},
		{60, 3, 100 * time.Millisecond, "", 0},
		{60, 3, 300 * time.Millisecond, "", 0},
		{60, 3, 700 * time.Millisecond, "", 0},
		{60, 2, 300 * time.Millisecond, "near,session", 0},
		{60, 5, 100 * time.Millisecond, "", 0},
		{60, 5, 500 * time.Millisecond, "", 0},
		{20, 1, 300 * time.Millisecond, "", 400 * time.Millisecond},
		{60, 1, 700 * time.Millisecond, "", 400 * time.Millisecond},
		{60, 2, 200 * time.Millisecond, "near,session", 700 * time.Millisecond},
	}
	for _, tt := range tests {
		t.Run(fmt.Sprintf("%.0f streams a second, %d requests each %s %s, failures each %s", tt.streams, tt.requests, tt.every, tt.parts, tt.failures), func(t *testing.T) {
			t.Parallel()
			tt.run(t)
		})
	}
}

func (tt crasherCase) run(t *testing.T) {
	const length = 15 * time.Second
	crashers := make([]string, tt.requests)
	for n := range crashers {
		crashers[n] = fmt.Sprintf("crasher-%d", n)
	}
	arrived := &requestArrivals{at: make(map[string][]time.Time)}
	config := simulator.Config{Entries: 6, Engines: 27, Slots: 16, Events: 20, CrashingCalls: crashers, OnArrive: arrived.arrive}
	run(t, config, 0, func(h *harness) {
		end := time.Now().Add(length)
		sound := &soundCalls{h: h}
		sound.run(tt.streams, length, tt.parts)
		for n, id := range crashers {
			h.callers.Go(func() { h.repeat(id, n, tt.every, end, tt.parts) })
		}
		h.failEngines(tt.failures, end)
		h.listRestarted(end)
		h.callers.Wait()
		for _, id := range crashers {
			arrived.check(t, id)
		}
		sound.check(t, end.Add(-contactBound))
	})
}

// failEngines lets one engine after the other fail, with a pause between two, until some time before the end.
func (h *harness) failEngines(pause time.Duration, end time.Time) {
	if pause == 0 {
		return
	}
	h.callers.Go(func() {
		for n := 0; time.Now().Before(end.Add(-2 * contactBound)); n++ {
			h.Engines[n%len(h.Engines)].Crash(3500*time.Millisecond, false)
			time.Sleep(pause)
		}
	})
}

// repeat sends a request again and again, through all entries in turn, and waits for no answer.
func (h *harness) repeat(id string, first int, every time.Duration, end time.Time, parts string) {
	for n := first; time.Now().Before(end); n++ {
		entry := h.Entries[n%len(h.Entries)]
		h.callers.Go(func() {
			r, err := simulator.NewRequest(h.t.Context(), entry.Callers(), "chat", id, simulator.Key, 800)
			if err != nil {
				h.t.Error(err)
				return
			}
			if parts != "" {
				r.Header.Set(standin.HeaderPromptParts, parts)
			}
			if response, err := h.client.Do(r); err == nil {
				_ = response.Body.Close()
			}
		})
		time.Sleep(every)
	}
}

// requestArrivals records when requests have reached engines.
type requestArrivals struct {
	mu sync.Mutex
	at map[string][]time.Time // by ID
}

func (a *requestArrivals) arrive(id, _ string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.at[id] = append(a.at[id], time.Now())
}

// check fails the test if a request that crashes engines goes on to reach them.
func (a *requestArrivals) check(t *testing.T, id string) {
	t.Helper()
	a.mu.Lock()
	defer a.mu.Unlock()
	times := a.at[id]
	if len(times) < requestCrashes {
		t.Errorf("%s reached engines %d times, want %d at least", id, len(times), requestCrashes)
		return
	}
	known := times[requestCrashes-1].Add(contactBound)
	late := len(times) - slices.IndexFunc(append(times, known.Add(time.Hour)), func(at time.Time) bool { return at.After(known) })
	t.Logf("%s reached engines %d times, %d of them later than %s after the third", id, len(times), late, contactBound)
	if late > lateCalls {
		t.Errorf("%s reached engines %d times later than %s after the third, want %d at the most", id, late, contactBound, lateCalls)
	}
}

// soundCalls are calls that crash nothing.
type soundCalls struct {
	h       *harness
	mu      sync.Mutex
	results []result
}

// run sends calls through random entries. With parts, they have them too, but for the last one of the prompt.
func (s *soundCalls) run(perSecond float64, length time.Duration, parts string) {
	if perSecond == 0 {
		return
	}
	s.h.flow("chat", perSecond, length, func(random *rand.Rand) {
		entry, own := s.h.Entries[random.IntN(len(s.h.Entries))], fmt.Sprintf("%s,%d", parts, random.Uint64())
		s.h.callers.Go(func() {
			res := s.h.callWith(entry, "chat", simulator.Key, 800, func(r *http.Request) {
				if parts != "" {
					r.Header.Set(standin.HeaderPromptParts, own)
				}
			})
			s.mu.Lock()
			defer s.mu.Unlock()
			s.results = append(s.results, res)
		})
	}, func() {})
}

// check fails the test if any sound call is refused as one that crashes engines, or if those sent after a time are
// not served.
func (s *soundCalls) check(t *testing.T, settled time.Time) {
	t.Helper()
	s.mu.Lock()
	defer s.mu.Unlock()
	quarantined := 0
	for _, res := range s.results {
		if res.reason == foxtailwharf.ReasonQuarantined {
			quarantined++
		}
	}
	fraction := served(s.results, settled)
	t.Logf("%d sound calls, %d of them quarantined; served later: %.2f", len(s.results), quarantined, fraction)
	if quarantined > 0 {
		t.Errorf("%d sound calls are refused as ones that crash engines", quarantined)
	}
	if len(s.results) > 0 && fraction < 0.95 {
		t.Errorf("fraction served of the sound calls: %.2f, want 0.95", fraction)
	}
}

// TestBanOutlivesFailures guards against a ban that ends because other engines fail at once.
func TestBanOutlivesFailures(t *testing.T) {
	for _, parts := range []string{"", "near,session"} {
		t.Run(strings.Join([]string{"parts", parts}, " "), func(t *testing.T) {
			t.Parallel()
			arrived := &requestArrivals{at: make(map[string][]time.Time)}
			config := simulator.Config{Entries: 6, Engines: 27, Slots: 16, Events: 20, CrashingCalls: []string{"crasher-0"}, OnArrive: arrived.arrive}
			run(t, config, 0, func(h *harness) {
				const length = 16 * time.Second
				end := time.Now().Add(length)
				sound := &soundCalls{h: h}
				sound.run(60, length, parts)
				h.callers.Go(func() { h.repeat("crasher-0", 0, 700*time.Millisecond, end, parts) })
				h.callers.Go(func() { h.listRestarted(end) })
				for _, wave := range []int{0, 9, 18} {
					time.Sleep(4 * time.Second)
					for n := range 4 {
						h.Engines[wave+n].Crash(3500*time.Millisecond, false)
						time.Sleep(time.Millisecond)
					}
				}
				h.callers.Wait()
				arrived.check(t, "crasher-0")
				sound.check(t, end)
			})
		})
	}
}

// TestEngineFailuresBanNoRequest guards against sound requests, each sent again until it is served, that are banned
// because many engines fail while they run there.
func TestEngineFailuresBanNoRequest(t *testing.T) {
	tests := []struct {
		name          string
		failed, waves int
		pause         time.Duration // between two failures of a wave
	}{
		{"at once", 14, 1, 0},
		{"at once, three times", 9, 3, 0},
		{"within two seconds", 14, 1, 140 * time.Millisecond},
		{"one each half second", 14, 1, 500 * time.Millisecond},
		{"within two seconds, three times", 9, 3, 220 * time.Millisecond},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			run(t, simulator.Config{Entries: 6, Engines: 27, Slots: 16, Events: 20}, 0, func(h *harness) {
				const length = 20 * time.Second
				end := time.Now().Add(length)
				sound := &soundCalls{h: h}
				h.flow("chat", 60, length-4*time.Second, func(random *rand.Rand) {
					seed := random.Uint64()
					h.callers.Go(func() { sound.insist(seed) })
				}, func() {})
				h.callers.Go(func() { h.listRestarted(end) })
				for wave := range tt.waves {
					time.Sleep(4 * time.Second)
					for n := range tt.failed {
						h.Engines[wave*tt.failed+n].Crash(3500*time.Millisecond, false)
						time.Sleep(tt.pause)
					}
				}
				h.callers.Wait()
				sound.check(t, end.Add(-6*time.Second))
			})
		})
	}
}

// insist sends the same request through random entries until it is served, six times at the most. It may be refused for a
// moment, while what is held against it is weighed, but not banned.
func (s *soundCalls) insist(seed uint64) {
	const (
		tries  = 6
		moment = time.Second
	)
	random := rand.New(rand.NewPCG(seed, 1))
	body := fmt.Sprintf("request-%d", seed)
	for range tries {
		entry := s.h.Entries[random.IntN(len(s.h.Entries))]
		res := s.h.callWith(entry, "chat", simulator.Key, 800, func(r *http.Request) { setBody(r, body) })
		isHeld := res.reason == foxtailwharf.ReasonQuarantined && res.retryAfter <= moment
		if isHeld {
			res.reason = ""
		}
		s.mu.Lock()
		s.results = append(s.results, res)
		s.mu.Unlock()
		if res.isWhole {
			return
		}
		time.Sleep(max(res.retryAfter, 100*time.Millisecond))
	}
	s.h.t.Errorf("%s was not served in %d tries", body, tries)
}

// TestCallsOfCrashingSession guards against sound calls that are refused because they share a part of the prompt with a
// request that crashes engines, and no call had that part before.
func TestCallsOfCrashingSession(t *testing.T) {
	t.Parallel()
	const length = 12 * time.Second
	arrived := &requestArrivals{at: make(map[string][]time.Time)}
	config := simulator.Config{Entries: 6, Engines: 27, Slots: 16, Events: 20, CrashingCalls: []string{"crasher-0"}, OnArrive: arrived.arrive}
	run(t, config, 0, func(h *harness) {
		end := time.Now().Add(length)
		others, session := &soundCalls{h: h}, &soundCalls{h: h}
		others.run(40, length, "near,other")
		h.callers.Go(func() { h.repeat("crasher-0", 0, 200*time.Millisecond, end, "near,session,last") })
		h.callers.Go(func() { h.listRestarted(end) })
		time.Sleep(contactBound)
		session.run(3, length-contactBound, "near,session")
		h.callers.Wait()
		arrived.check(t, "crasher-0")
		others.check(t, end.Add(-2*contactBound))
		session.check(t, end.Add(-2*contactBound))
	})
}
