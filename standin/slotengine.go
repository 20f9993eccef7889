package standin

import (
	"context"
	"fmt"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/foxtailwharf/foxtailwharf"
)

// Times of a slot engine, in the proportions of a real one.
const (
	readPerToken = 48 * time.Microsecond
	firstTime    = 60 * time.Millisecond
	eventTime    = 75 * time.Millisecond
	loadTime     = 300 * time.Millisecond
	maxWaiting   = 32
)

// ErrEngineDown is what a slot engine answers its agent while it is down.
var ErrEngineDown = errors.New("the stand-in engine is down")

// SlotEngineConfig holds the settings of a SlotEngine.
type SlotEngineConfig struct {
	ID     string
	Slots  int
	Events int // of each answer
	// Weights is the version held at the start; 0 for none.
	Weights int64
	Staged  map[int][]byte
	// Manifest tells which chunks belong to a version; a load of others fails.
	Manifest func(version int64) foxtailwharf.Manifest
	// Running is told each call that begins to run.
	Running func(call, engine string, weights int64)
}

// SlotEngine is a model engine that loads staged chunks: an http.Handler towards entries
// and a foxtailwharf.ChunkEngine towards its agent. It speaks the stand-ins' Dialect.
type SlotEngine struct {
	c SlotEngineConfig

	mu       sync.Mutex
	born     time.Time
	weights  int64
	loading  int64
	sequence int64
	staged   map[int][]byte
	running  int
	waiting  []*engineWaiter
	isDown   bool
	breakAt  int // event after which each stream breaks off; 0 for none
	lifetime context.Context
	die      context.CancelFunc
}

type engineWaiter struct {
	urgency int
	start   chan struct{}
}

// NewSlotEngine returns an engine that runs.
func NewSlotEngine(c SlotEngineConfig) *SlotEngine {
	e := &SlotEngine{c: c, born: time.Now(), weights: c.Weights, staged: make(map[int][]byte)}
	for number, data := range c.Staged {
		e.staged[number] = data
	}
	e.lifetime, e.die = context.WithCancel(context.Background())
	return e
}

// Crash ends the engine's process; it starts again without weights after a while. What is
// staged survives unless power is lost.
func (e *SlotEngine) Crash(pause time.Duration, isPowerLost bool) {
	e.mu.Lock()
	e.die()
	e.isDown, e.weights, e.loading, e.sequence, e.waiting, e.running = true, 0, 0, 0, nil, 0
	if isPowerLost {
		e.staged = make(map[int][]byte)
	}
	e.mu.Unlock()
	time.AfterFunc(pause, func() {
		e.mu.Lock()
		defer e.mu.Unlock()
		e.isDown, e.born = false, time.Now()
		e.lifetime, e.die = context.WithCancel(context.Background())
	})
}

// BreakAfter makes each stream break off after so many events; 0 for none.
func (e *SlotEngine) BreakAfter(events int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.breakAt = events
}

// Spoil turns a staged chunk bad.
func (e *SlotEngine) Spoil(number int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if data, isHeld := e.staged[number]; isHeld {
		bad := slices.Clone(data)
		bad[0] ^= 1
		e.staged[number] = bad
	}
}

// Weights returns the version held.
func (e *SlotEngine) Weights() int64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.weights
}

// Upstream describes the engine as the list does.
func (e *SlotEngine) Upstream() foxtailwharf.Upstream {
	e.mu.Lock()
	defer e.mu.Unlock()
	return foxtailwharf.Upstream{ID: e.c.ID, Slots: e.c.Slots, Born: e.born, Weights: e.weights}
}

// ServeHTTP answers a call with events.
func (e *SlotEngine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	w.Header().Set(FieldCall, r.Header.Get(FieldCall))
	start, refused := e.enter(r)
	if refused != 0 {
		w.Header().Set(FieldNotRun, "1")
		w.WriteHeader(refused)
		return
	}
	defer e.leave()
	e.mu.Lock()
	life, weights, breakAt := e.lifetime, e.weights, e.breakAt
	e.mu.Unlock()
	select {
	case <-start:
	case <-r.Context().Done():
		return
	case <-life.Done():
		panic(http.ErrAbortHandler)
	}
	if e.c.Running != nil {
		e.c.Running(r.Header.Get(FieldCall), e.c.ID, weights)
	}
	e.stream(life, w, r, weights, breakAt)
}

// enter takes a slot or a place in the queue, or refuses with a status.
func (e *SlotEngine) enter(r *http.Request) (start chan struct{}, refused int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	wanted := int64(number(r.Header.Get(FieldWanted)))
	switch {
	case r.Header.Get(FieldExpect) != e.c.ID || (wanted != 0 && wanted != e.weights):
		return nil, http.StatusMisdirectedRequest
	case e.isDown || e.weights == 0 || e.loading != 0 || len(e.waiting) >= maxWaiting:
		return nil, http.StatusServiceUnavailable
	}
	start = make(chan struct{})
	if e.running < e.c.Slots {
		e.running++
		close(start)
		return start, 0
	}
	w := &engineWaiter{urgency: number(r.Header.Get(FieldUrgency)), start: start}
	place := slices.IndexFunc(e.waiting, func(other *engineWaiter) bool { return other.urgency > w.urgency })
	if place < 0 {
		place = len(e.waiting)
	}
	e.waiting = slices.Insert(e.waiting, place, w)
	return start, 0
}

// leave gives the slot on.
func (e *SlotEngine) leave() {
	e.mu.Lock()
	defer e.mu.Unlock()
	if len(e.waiting) > 0 {
		close(e.waiting[0].start)
		e.waiting = e.waiting[1:]
		return
	}
	e.running = max(e.running-1, 0)
	e.finishLoad()
}

// stream writes the events after the one that the caller has.
func (e *SlotEngine) stream(life context.Context, w http.ResponseWriter, r *http.Request, weights int64, breakAt int) {
	header := w.Header()
	header.Set("Content-Type", "text/event-stream")
	header.Set(FieldSigned, e.c.ID)
	header.Set(FieldVersion, fmt.Sprint(weights))
	pause := firstTime + time.Duration(number(r.Header.Get(FieldTokens)))*readPerToken
	for event := number(r.Header.Get(FieldLast)) + 1; event <= e.c.Events; event++ {
		select {
		case <-time.After(pause):
		case <-r.Context().Done():
			return
		case <-life.Done():
			panic(http.ErrAbortHandler)
		}
		if breakAt > 0 && event > breakAt {
			panic(http.ErrAbortHandler)
		}
		pause = eventTime
		if _, err := fmt.Fprintf(w, "id: %d\ndata: %s %d\n\n", event, r.Header.Get(FieldCall), event); err != nil {
			return
		}
		if err := http.NewResponseController(w).Flush(); err != nil {
			return
		}
	}
}

// State tells the agent.
func (e *SlotEngine) State(context.Context, string) (foxtailwharf.EngineState, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.isDown {
		return foxtailwharf.EngineState{}, ErrEngineDown
	}
	return foxtailwharf.EngineState{
		Born: e.born, Weights: e.weights, IsBusy: e.loading != 0, Sequence: e.sequence,
		Running: e.running, Queued: len(e.waiting),
	}, nil
}

// Staged lists the chunks that lie there.
func (e *SlotEngine) Staged(context.Context, string) (numbers []int, err error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for number := range e.staged {
		numbers = append(numbers, number)
	}
	return numbers, nil
}

// StagedChunk reads a chunk.
func (e *SlotEngine) StagedChunk(_ context.Context, _ string, number int) ([]byte, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	data, isHeld := e.staged[number]
	if !isHeld {
		return nil, errors.Errorf("no chunk %d", number)
	}
	return data, nil
}

// Stage lays a chunk there.
func (e *SlotEngine) Stage(_ context.Context, _ string, number int, data []byte) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.staged[number] = data
	return nil
}

// Load begins a load, which waits for what is running. Chunks that are not those of the
// version make the engine hold nothing.
func (e *SlotEngine) Load(_ context.Context, release foxtailwharf.Release, sequence int64, isCut bool) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.isDown || sequence != e.sequence || e.loading != 0 {
		return errors.New("the order does not fit")
	}
	e.sequence++
	e.loading = release.Version
	if isCut {
		e.die()
		e.lifetime, e.die = context.WithCancel(context.Background())
	}
	for number, chunk := range e.c.Manifest(release.Version).Chunks {
		if foxtailwharf.Digest(e.staged[number]) != chunk.Digest {
			e.loading = -1
		}
	}
	e.finishLoad()
	return nil
}

// finishLoad ends a load a while after nothing runs any more.
func (e *SlotEngine) finishLoad() {
	if e.loading == 0 || e.running > 0 {
		return
	}
	loading, born := e.loading, e.born
	time.AfterFunc(loadTime, func() {
		e.mu.Lock()
		defer e.mu.Unlock()
		if e.loading == loading && e.born.Equal(born) {
			e.weights, e.loading = max(loading, 0), 0
		}
	})
}

// Weights of a release in tests: chunks of a few bytes that differ by version.
const (
	// TestChunks is the number of chunks, TestChunkBytes the size of each.
	TestChunks     = 12
	TestChunkBytes = 4096
)

// TestChunk returns a chunk of a version.
func TestChunk(version int64, number int) []byte {
	return []byte(strings.Repeat(fmt.Sprintf("%7d.%7d.", version, number), TestChunkBytes/16))
}

// TestManifest returns the manifest of a version.
func TestManifest(version int64) foxtailwharf.Manifest {
	m := foxtailwharf.Manifest{Model: "m"}
	for number := range TestChunks {
		data := TestChunk(version, number)
		m.Chunks = append(m.Chunks, foxtailwharf.Chunk{Digest: foxtailwharf.Digest(data), Size: int64(len(data))})
	}
	return m
}
