package simulator_test

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"testing"
	"time"

	"github.com/foxtailwharf/foxtailwharf/standin"
	"github.com/foxtailwharf/foxtailwharf/standin/simulator"
)

// Times and load of TestHotRequestOutlivesCrashOfAllEngines.
const (
	hotCallers   = 12
	hotPause     = 50 * time.Millisecond // between two calls of a caller
	maxHotPause  = 800 * time.Millisecond
	engineDown   = 3500 * time.Millisecond
	hotLength    = 45 * time.Second
	hotCrashAt   = 2 * time.Second
	hotSettledAt = hotCrashAt + 20*time.Second
)

// hotCase is a request that many callers send while all engines crash within a moment.
type hotCase struct {
	name    string
	engines int
	parts   string        // of the request's prompt; empty for none
	spread  time.Duration // between the crashes of two engines
	// disturb plays what happens beside, from the crashes on; nil for nothing.
	disturb func(h *harness)
}

// TestHotRequestOutlivesCrashOfAllEngines guards against a sound request that many callers send and that is refused for
// minutes because it was in flight on all engines when these crashed at once.
func TestHotRequestOutlivesCrashOfAllEngines(t *testing.T) {
	tests := []hotCase{
		{"three engines", 3, "", 0, nil},
		{"nine engines", 9, "", 0, nil},
		{"one after the other", 3, "", 300 * time.Millisecond, nil},
		{"parts of a prompt", 3, "near,session", 0, nil},
		{"a second crash of one", 3, "", 0, func(h *harness) {
			time.Sleep(6 * time.Second)
			h.Engines[1].Crash(engineDown, false)
		}},
		{"silences", 3, "", 0, func(h *harness) {
			for range 4 {
				time.Sleep(4 * time.Second)
				h.Engines[0].FallSilent(1200 * time.Millisecond)
				h.Engines[2].FallSilent(1200 * time.Millisecond)
			}
		}},
		{"changes of the configuration", 3, "", 0, func(h *harness) {
			for version := range int64(16) {
				h.Store.PutConfiguration(h.Configuration(version+2, simulator.Key))
				time.Sleep(time.Second)
			}
		}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			run(t, simulator.Config{Entries: 6, Engines: tt.engines, Slots: 16, Events: 12}, 0, tt.play)
		})
	}
}

func (tt hotCase) play(h *harness) {
	begun := time.Now()
	end := begun.Add(hotLength)
	others, hot := &soundCalls{h: h}, &soundCalls{h: h}
	others.run(10, hotLength, "")
	for n := range hotCallers {
		h.callers.Go(func() { hot.ask(uint64(n), end, tt.parts) })
	}
	time.Sleep(hotCrashAt)
	h.callers.Go(func() { h.listRestarted(end) })
	for _, e := range h.Engines {
		e.Crash(engineDown, false)
		time.Sleep(tt.spread)
	}
	if tt.disturb != nil {
		h.callers.Go(func() { tt.disturb(h) })
	}
	h.callers.Wait()
	settled := begun.Add(hotSettledAt)
	before, after := served(hot.results, time.Time{}), served(hot.results, settled)
	h.t.Logf("served of the hot request: %.3f, later %.3f, of the others later %.3f", before, after, served(others.results, settled))
	if after < 0.95 || served(others.results, settled) < 0.95 {
		h.t.Errorf("from %s after the crashes on, %.3f of the hot request and %.3f of the others are served, want 0.95", hotSettledAt-hotCrashAt, after, served(others.results, settled))
	}
}

// ask sends the same request again and again, through random entries.
func (s *soundCalls) ask(caller uint64, end time.Time, parts string) {
	random := rand.New(rand.NewPCG(caller, 1))
	for time.Now().Before(end) {
		entry := s.h.Entries[random.IntN(len(s.h.Entries))]
		res := s.h.callWith(entry, "chat", simulator.Key, 800, func(r *http.Request) {
			setBody(r, "hot")
			if parts != "" {
				r.Header.Set(standin.HeaderPromptParts, parts)
			}
		})
		s.mu.Lock()
		s.results = append(s.results, res)
		s.mu.Unlock()
		time.Sleep(max(min(res.retryAfter, maxHotPause), hotPause))
	}
}

// TestNewPartOutlivesCrashOfAllEngines guards against sound calls that are refused for minutes because of a part in their
// prompts, which was new when all engines crashed at once and had begun to be answered nowhere.
func TestNewPartOutlivesCrashOfAllEngines(t *testing.T) {
	t.Parallel()
	const (
		engines = 6
		reading = 20 * time.Millisecond // part of the time until a call begins to be answered
	)
	run(t, simulator.Config{Entries: 6, Engines: engines, Slots: 16, Events: 12}, 0, func(h *harness) {
		begun := time.Now()
		end := begun.Add(hotLength)
		others, withPart := &soundCalls{h: h}, &soundCalls{h: h}
		others.run(10, hotLength, "near")
		time.Sleep(hotCrashAt)
		for n := range 6 * engines {
			h.callers.Go(func() {
				h.callWith(h.Entries[n%len(h.Entries)], "chat", simulator.Key, 800, func(r *http.Request) {
					r.Header.Set(standin.HeaderPromptParts, fmt.Sprint("near,new,", n))
				})
			})
		}
		time.Sleep(reading)
		for _, e := range h.Engines {
			e.Crash(engineDown, false)
		}
		withPart.run(6, hotLength-hotCrashAt, "near,new")
		h.listRestarted(end)
		h.callers.Wait()
		settled := begun.Add(hotSettledAt)
		before, after := served(withPart.results, time.Time{}), served(withPart.results, settled)
		t.Logf("served of the calls with the part: %.3f, later %.3f, of the others later %.3f", before, after, served(others.results, settled))
		if after < 0.95 {
			t.Errorf("from %s after the crashes on, %.3f of the calls with the part are served, want 0.95", hotSettledAt-hotCrashAt, after)
		}
	})
}
