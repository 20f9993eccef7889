package forwarder_test

import (
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/foxtailwharf/foxtailwharf"
	"github.com/foxtailwharf/foxtailwharf/internal/request/isolator"
	"github.com/foxtailwharf/foxtailwharf/standin"
)

// TestBanEndsPendingCalls guards against calls with a banned part that stay at an engine or in the queue
// until their deadline. One call is at the only slot and has not begun, the other one waits; a call that
// has begun goes on.
func TestBanEndsPendingCalls(t *testing.T) {
	tests := []struct {
		name     string
		hasBegun bool
		parts    string
		statuses [2]int // of the call at the engine and of the one that waits
	}{
		{"not begun", false, "first,bad", [2]int{http.StatusBadGateway, http.StatusServiceUnavailable}},
		{"begun", true, "first,bad", [2]int{http.StatusOK, http.StatusServiceUnavailable}},
		{"another part", false, "first,sound", [2]int{http.StatusOK, http.StatusOK}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			run(t, func(b *bench) { b.checkPendingCalls(tt.hasBegun, tt.parts, tt.statuses) })
		})
	}
}

// bannedAfter is when the part is banned.
const bannedAfter = 500 * time.Millisecond

// checkPendingCalls sends the two calls and bans a part while the first one runs.
func (b *bench) checkPendingCalls(hasBegun bool, parts string, statuses [2]int) {
	b.view.Configuration.Services["s"] = foxtailwharf.CallService{Name: "s", Engine: &foxtailwharf.EngineModel{Model: "m", Slots: 1}}
	b.upstream(2, func(w http.ResponseWriter, r *http.Request) {
		if hasBegun {
			events(1, 1, false)(w, r)
			_ = http.NewResponseController(w).Flush()
		}
		select {
		case <-time.After(2 * bannedAfter):
			events(2, 2, false)(w, r)
		case <-r.Context().Done():
		}
	})
	b.view.Upstreams[0].Slots, b.view.Upstreams[0].Weights = 1, 1
	b.update()
	withParts := func(r *http.Request) { r.Header.Set(standin.HeaderPromptParts, parts) }
	waiting := make(chan answer, 1)
	time.AfterFunc(100*time.Millisecond, func() { waiting <- b.call("/tale/2", withParts) })
	time.AfterFunc(bannedAfter, func() {
		b.forwarder.MergeEvidence(isolator.Evidence{Bans: []isolator.Ban{{Parts: []string{"bad"}, Remaining: time.Minute}}})
	})
	started := time.Now()
	first := b.call("/tale/1", withParts)
	if first.status != statuses[0] {
		b.t.Errorf("status %d for the call at the engine, want %d", first.status, statuses[0])
	}
	if took := time.Since(started); first.status != http.StatusOK && took > bannedAfter+50*time.Millisecond {
		b.t.Errorf("the call at the engine ended after %s, want %s", took, bannedAfter)
	}
	if a := <-waiting; a.status != statuses[1] || (a.status != http.StatusOK && b.ran(a) > 0) {
		b.t.Errorf("status %d after %d attempts for the call that waits, want %d", a.status, b.ran(a), statuses[1])
	}
}

// TestIncarnationInAnotherZone has the same start of an upstream in two time zones, as entries get it from
// the store and from each other: its crashes must count as those of one upstream.
func TestIncarnationInAnotherZone(t *testing.T) {
	run(t, func(b *bench) {
		b.upstream(2, breakOff)
		born := time.Now().Add(-time.Minute)
		for _, zone := range []*time.Location{time.UTC, time.FixedZone("PST", 8*60*60)} {
			b.view.Upstreams[0].Born = born.In(zone)
			b.update()
			b.call("/tale/1", func(r *http.Request) { r.Header.Set(standin.HeaderCall, "same") })
			time.Sleep(3 * time.Second)
		}
		b.publish()
		if len(b.published) != 1 {
			t.Errorf("have crashes of %v, want one upstream", b.published)
		}
	})
}

// TestRepeatedRequestStaysBanned repeats a request that crashes upstreams for longer than its ban lasts without
// being met.
func TestRepeatedRequestStaysBanned(t *testing.T) {
	run(t, func(b *bench) {
		for n := 2; n < 10; n++ {
			b.upstream(n, breakOff)
		}
		total := 0
		for range 50 {
			total += b.ran(b.call("/look/crash", nil))
			b.weigh(isolator.RoleDecides, time.Minute)
		}
		if total != 3 {
			t.Errorf("in 50 minutes the request crashed %d upstreams, want 3", total)
		}
	})
}

// TestAnswerThatRanNothingClearsNoSuspicion guards against a request that crashes upstreams and is free again after an answer
// that shows nothing of what it does: a failure of the caller's, a redirect, or a stream that ends without an event.
func TestAnswerThatRanNothingClearsNoSuspicion(t *testing.T) {
	tests := []struct {
		name, path string
		answer     http.HandlerFunc
	}{
		{"not found", "/look/crash", text(http.StatusNotFound, "no")},
		{"redirect", "/look/crash", text(http.StatusTemporaryRedirect, "")},
		{"stream without an event", "/chat/crash", text(http.StatusOK, "")},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			run(t, func(b *bench) {
				crashed := b.crashUnless(3, tt.answer)
				for range 10 {
					b.call(tt.path, nil)
					b.weigh(isolator.RoleDecides, time.Minute)
				}
				if have := crashed.Load(); have != 3 {
					t.Errorf("the request crashed %d upstreams, want 3", have)
				}
			})
		})
	}
}

// crashUnless adds upstreams that crash under each call but the one with a number, which gets an answer. It returns the
// number of upstreams that have crashed.
func (b *bench) crashUnless(number int64, answer http.HandlerFunc) (crashed *atomic.Int64) {
	var runs atomic.Int64
	crashed = &atomic.Int64{}
	for n := 2; n < 12; n++ {
		var hasCrashed atomic.Bool
		b.upstream(n, func(w http.ResponseWriter, r *http.Request) {
			if runs.Add(1) == number {
				answer(w, r)
				return
			}
			if !hasCrashed.Swap(true) {
				crashed.Add(1)
			}
			breakOff(w, r)
		})
	}
	return crashed
}
