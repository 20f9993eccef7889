package standin_test

import (
	"bytes"
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

const (
	slots      = 2
	slotCalls  = 12
	slotEvents = 20
)

// slotCounter counts the calls that run on an engine. A call ends with its last event, when its caller leaves or
// when the engine crashes, which is before its slot is free.
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

// slotWriter notes the last event of a call.
type slotWriter struct {
	*httptest.ResponseRecorder
	counter *slotCounter
	call    string
}

// Write writes an event.
func (w *slotWriter) Write(p []byte) (int, error) {
	if bytes.HasPrefix(p, fmt.Appendf(nil, "id: %d\n", slotEvents)) {
		w.counter.end(w.call)
	}
	return w.ResponseRecorder.Write(p)
}

// slotTest is an engine with callers, who can leave.
type slotTest struct {
	engine  *standin.SlotEngine
	counter *slotCounter
	callers sync.WaitGroup
	cancels []context.CancelFunc
}

// call sends the next call.
func (s *slotTest) call(ctx context.Context) {
	id := fmt.Sprint(len(s.cancels))
	ctx, cancel := context.WithCancel(ctx)
	s.cancels = append(s.cancels, cancel)
	s.callers.Go(func() {
		r := httptest.NewRequestWithContext(ctx, http.MethodPost, "/", nil)
		r.Header.Set(standin.HeaderCall, id)
		r.Header.Set(standin.HeaderExpectUpstream, "e")
		defer func() { _ = recover() }() // http.ErrAbortHandler after a crash
		s.engine.ServeHTTP(&slotWriter{ResponseRecorder: httptest.NewRecorder(), counter: s.counter, call: id}, r)
	})
	synctest.Wait()
}

// leave makes the caller of each given call leave.
func (s *slotTest) leave(calls ...int) {
	for _, n := range calls {
		s.counter.end(fmt.Sprint(n))
		s.cancels[n]()
	}
}

func (s *slotTest) crash(restartDelay time.Duration) {
	for n := range s.cancels {
		s.counter.end(fmt.Sprint(n))
	}
	s.engine.Crash(restartDelay, false)
}

// TestSlots has callers leave while they wait or while their calls run, and the engine crash beneath them.
// There are never more calls running than slots, and all slots are free at the end.
func TestSlots(t *testing.T) {
	tests := map[string]func(s *slotTest){
		"all stay":                     func(*slotTest) {},
		"the last in the queue leaves": func(s *slotTest) { s.leave(slotCalls - 1) },
		"each second leaves":           func(s *slotTest) { s.leave(1, 3, 5, 7, 9, 11) },
		"all leave":                    func(s *slotTest) { s.leave(0, 1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11) },
		"the engine crashes":           func(s *slotTest) { s.crash(0) },
		"the engine crashes for 50 ms": func(s *slotTest) { s.crash(50 * time.Millisecond) },
	}
	for name, play := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { checkSlots(t, play) })
		})
	}
}

func checkSlots(t *testing.T, play func(s *slotTest)) {
	s := &slotTest{counter: &slotCounter{running: make(map[string]bool)}}
	s.engine = standin.NewSlotEngine(standin.SlotEngineConfig{ID: "e", Slots: slots, Events: slotEvents, Weights: 1, OnStart: s.counter.start})
	for range slotCalls {
		s.call(t.Context())
	}
	time.Sleep(100 * time.Millisecond)
	play(s)
	s.callers.Wait()
	state, err := s.engine.State(t.Context(), "")
	for ; err != nil; state, err = s.engine.State(t.Context(), "") {
		time.Sleep(10 * time.Millisecond)
	}
	if s.counter.highest > slots || state.Running != 0 || state.Queued != 0 {
		t.Errorf("at most %d of %d slots in use; %d running and %d queued at the end", s.counter.highest, slots, state.Running, state.Queued)
	}
	for _, cancel := range s.cancels {
		cancel()
	}
}
