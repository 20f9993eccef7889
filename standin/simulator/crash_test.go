package simulator_test

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/foxtailwharf/foxtailwharf/standin"
	"github.com/foxtailwharf/foxtailwharf/standin/simulator"
)

// Limits that the users require while a part of prompts crashes engines.
const (
	// freeCrashes is the number of crashes after which the part counts as known.
	freeCrashes = 5
	// contactBound is how much later calls with the part must no longer be sent to engines, but for
	// lateCalls. Sound calls must be served again after twice that time.
	contactBound = 3 * time.Second
	lateCalls    = 3
	// minSound is the fraction of the sound calls that must be served again.
	minSound = 0.5
)

// crashLoad sends calls of which some have a part that crashes engines. No two calls are alike; the
// sound ones share the key, the route and the other parts with them.
type crashLoad struct {
	h *harness

	mu      sync.Mutex
	isBad   map[string]bool        // by call
	arrived map[string][]time.Time // at engines, by call
	sound   []result
}

// parts returns the parts of a call's prompt, without the last one. The first part is common to all
// calls, the middle ones are drawn.
func (l *crashLoad) parts(random *rand.Rand, bad string) string {
	parts := []string{"common", fmt.Sprintf("document-%d", random.IntN(12))}
	if bad != "" {
		parts = append(parts, bad)
	}
	return strings.Join(append(parts, fmt.Sprintf("note-%d", random.IntN(200))), ",")
}

// run sends calls through random entries until the end. With a bad part, all of them have it.
func (l *crashLoad) run(seed uint64, perSecond float64, end time.Time, bad string) {
	random := rand.New(rand.NewPCG(seed, uint64(perSecond)))
	l.h.callers.Go(func() {
		for time.Now().Before(end) {
			time.Sleep(time.Duration(random.ExpFloat64() / perSecond * float64(time.Second)))
			entry, parts := l.h.Entries[random.IntN(len(l.h.Entries))], l.parts(random, bad)
			l.h.callers.Go(func() { l.call(entry, parts, bad != "") })
		}
	})
}

func (l *crashLoad) call(entry *simulator.Entry, parts string, isBad bool) {
	res := l.h.callWith(entry, "summary", simulator.Key, 800, func(r *http.Request) {
		r.Header.Set(standin.HeaderPromptParts, parts)
		l.mu.Lock()
		defer l.mu.Unlock()
		l.isBad[r.Header.Get(standin.HeaderCall)] = isBad
	})
	l.mu.Lock()
	defer l.mu.Unlock()
	if !isBad {
		l.sound = append(l.sound, res)
	}
}

func (l *crashLoad) arrive(call string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.arrived[call] = append(l.arrived[call], time.Now())
}

// crashes counts the bad calls that began at an engine.
func (l *crashLoad) crashes() (count int) {
	l.h.mu.Lock()
	defer l.h.mu.Unlock()
	for _, r := range l.h.runs {
		if l.isBad[r.call] {
			count++
		}
	}
	return count
}

// lateArrivals counts the bad calls that reached engines after a time.
func (l *crashLoad) lateArrivals(after time.Time) (count int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for call, times := range l.arrived {
		for _, at := range times {
			if l.isBad[call] && at.After(after) {
				count++
			}
		}
	}
	return count
}

// served returns the fraction of the sound calls sent after a time that were whole.
func (l *crashLoad) served(after time.Time) (fraction float64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	sent, whole := 0, 0
	for _, res := range l.sound {
		if !res.sent.After(after) {
			continue
		}
		sent++
		if res.isWhole {
			whole++
		}
	}
	return float64(whole) / float64(max(sent, 1))
}

// TestCrashingPromptPart guards against calls with one part in their prompts, no two of them alike, that
// crash one engine after the other, and against sound calls that are refused because they share the
// other parts.
func TestCrashingPromptPart(t *testing.T) {
	t.Parallel()
	const length = 16 * time.Second
	c := simulator.Config{Entries: 6, Engines: 15, Slots: 8, Events: 12, CrashingParts: []string{"bad"}}
	l := &crashLoad{isBad: make(map[string]bool), arrived: make(map[string][]time.Time)}
	c.OnArrive = l.arrive
	run(t, c, 0, func(h *harness) {
		l.h = h
		end := time.Now().Add(length)
		l.run(1, 40, end, "")
		l.run(2, 3, end, "bad")
		h.listRestarted(end)
		h.callers.Wait()
		known := l.fifthCrash()
		if late := l.lateArrivals(known.Add(contactBound)); late > lateCalls {
			t.Errorf("%d calls with the bad part reached engines later than %s after the fifth crash, want at most %d", late, contactBound, lateCalls)
		}
		t.Logf("bad calls after the fifth crash and the bound: %d; crashes: %d; sound calls served in all: %.2f", l.lateArrivals(known.Add(contactBound)), l.crashes(), l.served(time.Time{}))
		if served := l.served(known.Add(2 * contactBound)); served < minSound {
			t.Errorf("fraction of sound calls served: %.2f, want at least %.2f", served, minSound)
		}
	})
}

// TestBansOutliveRestart guards against an entry that starts anew, or was cut off, and sends calls to
// engines that the other entries have banned: identical ones, and those with a bad part in their prompts.
func TestBansOutliveRestart(t *testing.T) {
	tests := []struct {
		name   string
		isAway bool // instead of starting anew
		parts  string
	}{
		{"identical calls after a restart", false, ""},
		{"calls with a part after a restart", false, "common,bad"},
		{"identical calls after a cut", true, ""},
		{"calls with a part after a cut", true, "common,bad"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			c := simulator.Config{Entries: 4, Engines: 9, Slots: 8, Events: 8, CrashingCalls: []string{"killer"}, CrashingParts: []string{"bad"}}
			arrived := 0
			c.OnArrive = func(string) { arrived++ }
			run(t, c, 0, func(h *harness) {
				h.setAway(1, tt.isAway)
				for range 3 {
					h.callKiller(h.Entries[0], tt.parts)
					h.listRestarted(time.Now().Add(5 * time.Second))
				}
				h.setAway(1, false)
				if !tt.isAway {
					h.Entries[1].Kill()
					if err := h.Entries[1].Start(h.t.Context()); err != nil {
						t.Fatal(err)
					}
				}
				time.Sleep(contactBound)
				before := arrived
				if status := h.callKiller(h.Entries[1], tt.parts); status != http.StatusServiceUnavailable || arrived > before {
					t.Errorf("status %d after %d attempts, want 503 after none", status, arrived-before)
				}
			})
		})
	}
}

// callKiller sends a call that crashes engines and returns the status. Without parts it is always the
// same call.
func (h *harness) callKiller(entry *simulator.Entry, parts string) (status int) {
	id := "killer"
	if parts != "" {
		h.lastID++
		id = fmt.Sprintf("killer-%d", h.lastID)
	}
	r, err := simulator.NewRequest(h.t.Context(), entry.Callers(), "chat", id, simulator.Key, 100)
	if err != nil {
		h.t.Error(err)
		return 0
	}
	if parts != "" {
		r.Header.Set(standin.HeaderPromptParts, parts)
	}
	response, err := h.client.Do(r)
	if err != nil {
		h.t.Error(err)
		return 0
	}
	_ = response.Body.Close()
	return response.StatusCode
}

// listRestarted lists engines that have started anew, as engines do themselves on the platform, until the
// end.
func (h *harness) listRestarted(end time.Time) {
	born := make(map[string]time.Time)
	for time.Now().Before(end) {
		for _, e := range h.Engines {
			if u := e.Upstream(); !u.Born.Equal(born[u.ID]) {
				born[u.ID] = u.Born
				e.PutUpstream()
			}
		}
		time.Sleep(200 * time.Millisecond)
	}
}

// fifthCrash returns when the fifth call that crashed an engine began there, or the last one if they
// were fewer.
func (l *crashLoad) fifthCrash() (at time.Time) {
	l.h.mu.Lock()
	defer l.h.mu.Unlock()
	count := 0
	for _, r := range l.h.runs {
		if l.isBad[r.call] && count < freeCrashes {
			count, at = count+1, r.startedAt
		}
	}
	return at
}
