package simulator_test

import (
	"testing"
	"time"

	"github.com/foxtailwharf/foxtailwharf/internal/connection/notifier"
	"github.com/foxtailwharf/foxtailwharf/standin/simulator"
)

// recoveryTest is a way in which all processes of a large fleet end at once.
type recoveryTest struct {
	name string
	// isPowerLost is set if the engines end, too, and lose their weights.
	isPowerLost bool
	// slow is the time after the start in which not all calls need be served.
	slow time.Duration
}

// Limits after all processes have started again.
const (
	// minServedAfter is the least fraction of calls that are served from then on.
	minServedAfter = 0.98
	// maxListCopies is how often the list of agents may be sent, for each agent.
	maxListCopies = 2
	// bytesPerAgent is the size of the list for each agent that it names.
	bytesPerAgent = 20
)

// TestAllKilled guards against a large fleet that does not serve soon after all its processes have ended at
// once, and against lists that then fill the links. The rates are those of the users' large site.
func TestAllKilled(t *testing.T) {
	t.Parallel()
	tests := []recoveryTest{
		{name: "processes", slow: 600 * time.Millisecond},
		{name: "power", isPowerLost: true, slow: time.Second},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			run(t, largeFleet(), 0, tt.play)
		})
	}
}

// largeFleet is the size and the links of the users' large site, a fifth of its processes under the race detector.
func largeFleet() simulator.Config {
	c := simulator.Config{
		Entries: 150, Engines: 265, Slots: 8, Events: 8, Domains: 5, Plain: 2900,
		Links: &simulator.Links{Entry: 5_000_000, Engine: 1_175_000, Region: 4_250_000, Store: 125_000_000, StoreReads: 16_000},
	}
	if isRaceDetected {
		c.Entries, c.Engines = c.Entries/5, c.Engines/5
	}
	return c
}

func (tt recoveryTest) play(h *harness) {
	const length = 4 * time.Second
	h.endAll(tt.isPowerLost)
	time.Sleep(600 * time.Millisecond)
	started := time.Now()
	h.startAll(tt.isPowerLost)
	h.load("answer", float64(2*len(h.Entries)), length, 607)
	time.Sleep(length)
	agents := notifier.Kind{Name: "Agents", IsFar: true}
	own := notifier.Kind{Name: "Agents"}
	lists := h.Counter(agents.Counter()) + h.Counter(own.Counter())
	h.callers.Wait()
	sent, served := 0, 0
	for _, r := range h.results["answer"] {
		if r.sent.Sub(started) >= tt.slow {
			sent++
			if r.isWhole {
				served++
			}
		}
	}
	size := int64(len(h.Engines) * bytesPerAgent)
	copies := float64(lists) / float64(size) / float64(len(h.Engines))
	h.t.Logf("%d of %d calls served after %s; %.1f copies of the list of agents for each agent", served, sent, tt.slow, copies)
	if float64(served) < minServedAfter*float64(sent) {
		h.t.Errorf("%d of %d calls served after %s, want at least %.2f", served, sent, tt.slow, minServedAfter)
	}
	if copies > maxListCopies {
		h.t.Errorf("%.1f copies of the list of agents for each agent, want at most %d", copies, maxListCopies)
	}
}

// endAll ends all processes at once, with isPowerLost also the engines.
func (h *harness) endAll(isPowerLost bool) {
	for _, e := range h.Entries {
		e.Kill()
	}
	for _, e := range h.Engines {
		if isPowerLost {
			e.LosePower(500 * time.Millisecond)
		} else {
			e.KillAgent(h.t.Context())
		}
	}
}

// startAll starts all processes after endAll.
func (h *harness) startAll(isPowerLost bool) {
	for _, e := range h.Entries {
		if err := e.Start(h.t.Context()); err != nil {
			h.t.Fatal(err)
		}
	}
	for _, e := range h.Engines {
		start := e.StartAgent
		if isPowerLost {
			start = e.Restart
		}
		if err := start(h.t.Context()); err != nil {
			h.t.Fatal(err)
		}
		e.PutUpstream()
	}
}

// startSpread is the time within which all machines start, as on the users' platform.
const startSpread = 300 * time.Millisecond

// TestManyStartAtOnce guards against a rush on the store, and on the link to its region, when all entries of large
// failure domains start at once and do not know of each other yet.
func TestManyStartAtOnce(t *testing.T) {
	t.Parallel()
	for _, spread := range []time.Duration{0, startSpread} {
		t.Run(spread.String(), func(t *testing.T) {
			run(t, simulator.Config{Entries: 60, Engines: 4, Slots: 8, Events: 8, Domains: 2}, 0, func(h *harness) {
				for _, e := range h.Entries {
					e.Kill()
				}
				time.Sleep(time.Second)
				before := h.storeCalls()
				for _, e := range h.Entries {
					if err := e.Start(h.t.Context()); err != nil {
						t.Fatal(err)
					}
					time.Sleep(spread / time.Duration(len(h.Entries)))
				}
				time.Sleep(time.Second - spread)
				h.checkVersion(1)
				// A reader reads three subjects and starts three watches. Two entries of a failure domain read if they
				// start long before the others.
				calls, want := h.storeCalls()-before, 2*2*6
				t.Logf("%d calls to the store", calls)
				if calls > want {
					t.Errorf("%d calls to the store, want at most %d", calls, want)
				}
			})
		})
	}
}

// TestMeetingsAreShort guards against seeds whose answers to all starting entries fill their links: each answer names
// what the asking entry has not had from that seed.
func TestMeetingsAreShort(t *testing.T) {
	t.Parallel()
	const bytesPerEntry, bytesPerCall = 25, 700
	entries := 150
	if isRaceDetected {
		entries = 50
	}
	run(t, simulator.Config{Entries: entries, Engines: 5, Slots: 8, Events: 8, Domains: 5}, 0, func(h *harness) {
		for _, e := range h.Entries {
			e.Kill()
		}
		time.Sleep(time.Second)
		before := h.RegionTraffic()
		for _, e := range h.Entries {
			if err := e.Start(h.t.Context()); err != nil {
				t.Fatal(err)
			}
			time.Sleep(startSpread / time.Duration(entries))
		}
		time.Sleep(2 * time.Second)
		// Each entry gets each address once, and makes eight small calls.
		sent, want := h.RegionTraffic()-before, int64(entries*(entries*bytesPerEntry+8*bytesPerCall))
		t.Logf("%d KB between regions", sent>>10)
		if sent > want {
			t.Errorf("%d KB between regions, want at most %d", sent>>10, want>>10)
		}
	})
}

// TestListReachesLargeDomain guards against a list of upstreams that does not reach all entries of the largest failure
// domains in time after a start, so that they turn to other entries and to the store: 57 entries and 3,400 upstreams, the
// size to design for.
func TestListReachesLargeDomain(t *testing.T) {
	t.Parallel()
	const domains, bound = 2, 1500 * time.Millisecond
	c := largeFleet()
	c.Entries, c.Engines, c.Domains, c.Plain = 57*domains, 4, domains, 3400
	if isRaceDetected {
		c.Entries = 20 * domains
	}
	run(t, c, 0, func(h *harness) {
		h.endAll(false)
		time.Sleep(600 * time.Millisecond)
		before := h.storeCalls()
		h.startAll(false)
		time.Sleep(bound)
		listed := 0
		for _, e := range h.Entries {
			if e.IsListed("plain-3399") {
				listed++
			}
		}
		calls, want := h.storeCalls()-before, domains*2*6
		t.Logf("%d of %d entries have the list, %d calls to the store", listed, len(h.Entries), calls)
		if listed != len(h.Entries) || calls > want {
			t.Errorf("%d of %d entries have the list after %s, %d calls to the store; want all and at most %d", listed, len(h.Entries), bound, calls, want)
		}
	})
}
