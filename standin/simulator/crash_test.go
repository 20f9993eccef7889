package simulator_test

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"net/http"
	"net/netip"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/foxtailwharf/foxtailwharf"
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
	// nearFraction is the fraction of the sound calls that have the first part of the bad ones.
	nearFraction float64

	mu      sync.Mutex
	isBad   map[string]bool        // by call
	arrived map[string][]time.Time // at engines, by call
	near    []result               // sound calls with the first part of the bad ones
	far     []result               // the other sound calls
}

// parts returns the parts of a call's prompt, without the last one. Some are drawn.
func parts(random *rand.Rand, first, bad string) string {
	list := []string{first, fmt.Sprintf("document-%d", random.IntN(12))}
	if bad != "" {
		list = append(list, bad)
	}
	return strings.Join(append(list, fmt.Sprintf("note-%d", random.IntN(200))), ",")
}

// run sends calls through random entries until the end. With a bad part, all of them have it.
func (l *crashLoad) run(seed uint64, perSecond float64, end time.Time, bad string) {
	random := rand.New(rand.NewPCG(seed, uint64(perSecond)))
	l.h.callers.Go(func() {
		for time.Now().Before(end) {
			time.Sleep(time.Duration(random.ExpFloat64() / perSecond * float64(time.Second)))
			isNear := bad != "" || random.Float64() < l.nearFraction
			first := "far"
			if isNear {
				first = "near"
			}
			entry, list := l.h.Entries[random.IntN(len(l.h.Entries))], parts(random, first, bad)
			l.h.callers.Go(func() { l.call(entry, list, bad != "", isNear) })
		}
	})
}

func (l *crashLoad) call(entry *simulator.Entry, list string, isBad, isNear bool) {
	res := l.h.callWith(entry, "summary", simulator.Key, 800, func(r *http.Request) {
		r.Header.Set(standin.HeaderPromptParts, list)
		l.mu.Lock()
		defer l.mu.Unlock()
		l.isBad[r.Header.Get(standin.HeaderCall)] = isBad
	})
	l.mu.Lock()
	defer l.mu.Unlock()
	switch {
	case isBad:
	case isNear:
		l.near = append(l.near, res)
	default:
		l.far = append(l.far, res)
	}
}

func (l *crashLoad) arrive(call, _ string) {
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

// served returns the fraction of calls sent after a time that were whole.
func served(results []result, after time.Time) (fraction float64) {
	sent, whole := 0, 0
	for _, res := range results {
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

// crashCase is a fleet with calls of which some crash engines.
type crashCase struct {
	name             string
	entries, engines int
	sound, bad       float64 // calls a second
	nearFraction     float64
	isDeciderDead    bool // one of the entries that decide has ended, in a single failure domain
}

// TestCrashingPromptPart guards against calls with one part in their prompts, no two of them alike, that
// crash one engine after the other, and against sound calls that are refused because they share the
// other parts.
func TestCrashingPromptPart(t *testing.T) {
	tests := []crashCase{
		{"all calls share the first part", 6, 15, 40, 3, 1, false},
		{"few sound calls share the first part", 6, 15, 40, 3, 0.1, false},
		{"rare bad calls", 6, 15, 40, 0.8, 0.1, false},
		{"many bad calls, few engines", 6, 8, 40, 20, 0.1, false},
		{"more bad than sound calls", 6, 15, 40, 100, 0.1, false},
		{"an entry that decides has ended", 6, 15, 40, 3, 0.5, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			tt.run(t)
		})
	}
}

// TestCrashingPromptPartManyEntries is TestCrashingPromptPart in a larger fleet.
func TestCrashingPromptPartManyEntries(t *testing.T) {
	t.Parallel()
	crashCase{"many entries", 30, 60, 160, 6, 0.1, false}.run(t)
}

func (tt crashCase) run(t *testing.T) {
	const length = 16 * time.Second
	c := simulator.Config{Entries: tt.entries, Engines: tt.engines, Slots: 8, Events: 12, CrashingParts: []string{"bad"}}
	if tt.isDeciderDead {
		c.Domains = 1
	}
	l := &crashLoad{nearFraction: tt.nearFraction, isBad: make(map[string]bool), arrived: make(map[string][]time.Time)}
	c.OnArrive = l.arrive
	run(t, c, 0, func(h *harness) {
		l.h = h
		if tt.isDeciderDead {
			h.killDecider()
		}
		end := time.Now().Add(length)
		l.run(1, tt.sound, end, "")
		l.run(2, tt.bad, end, "bad")
		h.listRestarted(end)
		h.callers.Wait()
		l.check(t)
	})
}

// killDecider ends the first entry of those that decide on bans, one second before the calls begin.
func (h *harness) killDecider() {
	first := slices.MaxFunc(h.Entries, compareRanks)
	first.Kill()
	h.Entries = slices.DeleteFunc(slices.Clone(h.Entries), func(e *simulator.Entry) bool { return e == first })
	time.Sleep(time.Second)
}

// compareRanks orders entries by the order in which they decide on bans, those that do last.
func compareRanks(a, b *simulator.Entry) int {
	const peersPort = 7700
	rank := func(e *simulator.Entry) uint64 {
		return foxtailwharf.RendezvousScore("decides on bans", netip.AddrPortFrom(e.Callers().Addr(), peersPort).String())
	}
	return cmp.Compare(rank(a), rank(b))
}

// check fails the test if calls with the bad part go on to reach engines, or sound calls are not served.
func (l *crashLoad) check(t *testing.T) {
	known := l.fifthCrash()
	late := l.lateArrivals(known.Add(contactBound))
	near, far := served(l.near, known.Add(2*contactBound)), served(l.far, known.Add(2*contactBound))
	t.Logf("%d calls with the bad part ran; served of the sound calls: with its first part %.2f, others %.2f", l.crashes(), near, far)
	if late > lateCalls {
		t.Errorf("%d calls with the bad part reached engines later than %s after the fifth crash, want at most %d", late, contactBound, lateCalls)
	}
	if near < minSound {
		t.Errorf("fraction served of the sound calls with the first part of the bad ones: %.2f, want at least %.2f", near, minSound)
	}
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
