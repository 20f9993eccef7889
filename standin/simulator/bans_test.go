package simulator_test

import (
	"fmt"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/foxtailwharf/foxtailwharf/standin"
	"github.com/foxtailwharf/foxtailwharf/standin/simulator"
)

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
			var arrived atomic.Int64
			c := simulator.Config{
				Entries: 4, Engines: 9, Slots: 8, Events: 8, CrashingCalls: []string{"killer"}, CrashingParts: []string{"bad"},
				OnArrive: func(string, string) { arrived.Add(1) },
			}
			run(t, c, 0, func(h *harness) {
				h.SetDomainAway(1, tt.isAway)
				for range 3 {
					h.callKiller(h.Entries[0], tt.parts)
					h.listRestarted(time.Now().Add(5 * time.Second))
				}
				h.SetDomainAway(1, false)
				if !tt.isAway {
					h.Entries[1].Kill()
					if err := h.Entries[1].Start(h.t.Context()); err != nil {
						h.t.Error(err)
					}
				}
				time.Sleep(contactBound)
				before := arrived.Load()
				if status := h.callKiller(h.Entries[1], tt.parts); status != http.StatusServiceUnavailable || arrived.Load() > before {
					h.t.Errorf("status %d after %d attempts, want 503 after none", status, arrived.Load()-before)
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
