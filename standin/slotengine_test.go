package standin_test

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/foxtailwharf/foxtailwharf/standin"
)

// slotCounter counts the calls that run on an engine, by the names of calls.
type slotCounter struct {
	mu      sync.Mutex
	running map[string]bool
	highest int
}

func (c *slotCounter) start(call, _ string, _ int64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.running[call] = true
	c.highest = max(c.highest, len(c.running))
}

func (c *slotCounter) end(call string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.running, call)
}

// TestSlots has callers leave while they wait or while their calls run, and the engine crash beneath them.
// There are never more calls running than slots, and all slots are free at the end.
func TestSlots(t *testing.T) {
	const slots, calls = 2, 12
	tests := map[string]func(e *standin.SlotEngine, cancels []context.CancelFunc){
		"all stay": func(*standin.SlotEngine, []context.CancelFunc) {},
		"the last in the queue leaves": func(_ *standin.SlotEngine, cancels []context.CancelFunc) {
			cancels[calls-1]()
		},
		"each second leaves": func(_ *standin.SlotEngine, cancels []context.CancelFunc) {
			for n := 1; n < calls; n += 2 {
				cancels[n]()
			}
		},
		"all leave": func(_ *standin.SlotEngine, cancels []context.CancelFunc) {
			for _, cancel := range cancels {
				cancel()
			}
		},
		"the engine crashes": func(e *standin.SlotEngine, _ []context.CancelFunc) { e.Crash(0, false) },
		"the engine crashes for 50 ms": func(e *standin.SlotEngine, _ []context.CancelFunc) {
			e.Crash(50*time.Millisecond, false)
		},
	}
	for name, play := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				counter := &slotCounter{running: make(map[string]bool)}
				e := standin.NewSlotEngine(standin.SlotEngineConfig{ID: "e", Slots: slots, Events: 20, Weights: 1, OnStart: counter.start})
				var callers sync.WaitGroup
				var cancels []context.CancelFunc
				call := func(n int) {
					ctx, cancel := context.WithCancel(t.Context())
					cancels = append(cancels, cancel)
					callers.Go(func() {
						id := fmt.Sprint(n)
						r := httptest.NewRequestWithContext(ctx, http.MethodPost, "/", nil)
						r.Header.Set(standin.HeaderCall, id)
						r.Header.Set(standin.HeaderExpectUpstream, "e")
						defer func() {
							_ = recover() // http.ErrAbortHandler after a crash
							counter.end(id)
						}()
						e.ServeHTTP(httptest.NewRecorder(), r)
					})
					synctest.Wait()
				}
				for n := range calls {
					call(n)
				}
				time.Sleep(100 * time.Millisecond)
				play(e, cancels)
				time.Sleep(100 * time.Millisecond)
				callers.Wait()
				state, err := e.State(t.Context(), "")
				if err != nil || counter.highest > slots || state.Running != 0 || state.Queued != 0 {
					t.Errorf("at most %d of %d slots in use; %d running and %d queued at the end; error %v", counter.highest, slots, state.Running, state.Queued, err)
				}
				for _, cancel := range cancels {
					cancel()
				}
			})
		})
	}
}
