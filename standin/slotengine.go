package standin

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/foxtailwharf/foxtailwharf"
	"github.com/foxtailwharf/foxtailwharf/internal/connection/bodyreader"
)

// Timing and queue length of a SlotEngine. The times have the proportions of a real engine.
const (
	promptTokenTime = 48 * time.Microsecond
	firstEventDelay = 60 * time.Millisecond
	eventInterval   = 75 * time.Millisecond
	loadTime        = 300 * time.Millisecond
	maxQueued       = 32
)

// ErrEngineDown is the error of State while the engine is down.
var ErrEngineDown = errors.New("fake engine is down")

// SlotEngineConfig holds the settings of a SlotEngine.
type SlotEngineConfig struct {
	ID     string
	Slots  int
	Events int // number of events in each response
	// EventsOf returns the number of events in the response to a call; nil for Events in all.
	EventsOf func(call string) int
	// Weights is the version held at the start; 0 for none.
	Weights int64
	Staged  map[int][]byte
	// Manifest returns the manifest of a version. A load fails if the staged chunks differ from it.
	Manifest func(version int64) foxtailwharf.Manifest
	// OnArrive is called when a call reaches the engine.
	OnArrive func(call, engine string)
	// OnStart is called when a call begins to run, with the version that the engine holds.
	OnStart func(call, engine string, weights int64)
	// CrashingCalls are calls, and CrashingParts parts of prompts, that crash the engine when it would
	// write the first event. It starts again after CrashRestart.
	CrashingCalls []string
	CrashingParts []string
	CrashRestart  time.Duration
}

// SlotEngine is a fake of a model engine that loads staged chunks. It is an http.Handler for
// entries, which speak the Dialect of this package, and a foxtailwharf.ChunkEngine for its agent.
type SlotEngine struct {
	c SlotEngineConfig

	mu             sync.Mutex
	startedAt      time.Time
	crashes        int
	weights        int64
	loading        int64 // version being loaded; 0 for none, -1 if the staged chunks are not of the ordered version
	sequence       int64
	staged         map[int][]byte
	running        int
	queue          []*slotCall
	isDown         bool
	silentUntil    time.Time
	limit          string // calls a second that the responses name; empty for none
	isLeaving      bool
	pausedUntil    time.Time // until then the engine refuses all calls with a Retry-After
	processContext context.Context
	endProcess     context.CancelFunc
}

// slotCall is a call that has a slot or waits for one.
type slotCall struct {
	urgency int
	start   chan struct{} // closed when the call gets a slot
	crashes int           // crashes of the engine before the call
}

// NewSlotEngine returns a running engine.
func NewSlotEngine(c SlotEngineConfig) *SlotEngine {
	e := &SlotEngine{c: c, startedAt: time.Now(), weights: c.Weights, staged: make(map[int][]byte)}
	for number, data := range c.Staged {
		e.staged[number] = data
	}
	e.processContext, e.endProcess = context.WithCancel(context.Background())
	return e
}

// Crash ends the engine's process, which starts again without weights after restartDelay. Staged
// chunks survive unless isPowerLost is set.
func (e *SlotEngine) Crash(restartDelay time.Duration, isPowerLost bool) {
	e.mu.Lock()
	e.endProcess()
	e.crashes++
	e.isDown, e.weights, e.loading, e.sequence, e.queue, e.running = true, 0, 0, 0, nil, 0
	if isPowerLost {
		e.staged = make(map[int][]byte)
	}
	e.mu.Unlock()
	time.AfterFunc(restartDelay, func() {
		e.mu.Lock()
		defer e.mu.Unlock()
		e.isDown, e.isLeaving, e.pausedUntil, e.startedAt = false, false, time.Time{}, time.Now()
		e.processContext, e.endProcess = context.WithCancel(context.Background())
	})
}

// NameLimit makes all responses from now on name a limit of calls a second.
func (e *SlotEngine) NameLimit(perSecond float64) {
	e.setLimit(strconv.FormatFloat(perSecond, 'f', -1, 64))
}

// LiftLimit ends NameLimit.
func (e *SlotEngine) LiftLimit() {
	e.setLimit("")
}

func (e *SlotEngine) setLimit(limit string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.limit = limit
}

// Leave makes all responses from now on say that the engine is leaving. It goes on to serve.
func (e *SlotEngine) Leave() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.isLeaving = true
}

// Pause makes the engine refuse all calls for a time, and say so with HeaderRetryAfter.
func (e *SlotEngine) Pause(length time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.pausedUntil = time.Now().Add(length)
}

// writeSignals adds what the engine says of itself to the header of a response.
func (e *SlotEngine) writeSignals(h http.Header) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if left := time.Until(e.pausedUntil); left > 0 {
		h.Set(HeaderRetryAfter, strconv.FormatFloat(left.Seconds(), 'f', 3, 64))
	}
	if e.isLeaving {
		h.Set(HeaderLeaving, "1")
	}
	if e.limit != "" {
		h.Set(HeaderLimit, e.limit)
	}
}

// Weights returns the version held; 0 for none.
func (e *SlotEngine) Weights() int64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.weights
}

// Upstream returns the engine's entry of the platform's list, without service, address and failure
// domain.
func (e *SlotEngine) Upstream() foxtailwharf.Upstream {
	e.mu.Lock()
	defer e.mu.Unlock()
	return foxtailwharf.Upstream{ID: e.c.ID, Slots: e.c.Slots, Born: e.startedAt, Weights: e.weights}
}

// ServeHTTP runs a call and responds with a stream of events, or refuses it with HeaderNotRun.
func (e *SlotEngine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	// net/http notices that the caller has left only once the body is read.
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		return
	}
	w.Header().Set(HeaderCall, r.Header.Get(HeaderCall))
	if e.c.OnArrive != nil {
		e.c.OnArrive(r.Header.Get(HeaderCall), e.c.ID)
	}
	call, refusal := e.admit(r)
	if refusal != 0 {
		if e.awaitSpeech(r.Context()) != nil {
			return
		}
		w.Header().Set(HeaderNotRun, "1")
		e.writeSignals(w.Header())
		w.WriteHeader(refusal)
		return
	}
	defer e.release(call)
	e.mu.Lock()
	ctx, weights := e.processContext, e.weights
	e.mu.Unlock()
	select {
	case <-call.start:
	case <-r.Context().Done():
		return
	case <-ctx.Done():
		panic(http.ErrAbortHandler)
	}
	if e.c.OnStart != nil {
		e.c.OnStart(r.Header.Get(HeaderCall), e.c.ID, weights)
	}
	e.stream(ctx, w, r, weights)
}

// admit assigns a slot to a call or queues it by urgency. If the engine refuses the call, it returns the
// status of the refusal instead.
func (e *SlotEngine) admit(r *http.Request) (call *slotCall, refusal int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	wantedVersion := int64(intOrZero(r.Header.Get(HeaderExpectVersion)))
	switch {
	case r.Header.Get(HeaderExpectUpstream) != e.c.ID || (wantedVersion != 0 && wantedVersion != e.weights):
		return nil, http.StatusMisdirectedRequest
	case time.Now().Before(e.pausedUntil) || e.isDown || e.weights == 0 || e.loading != 0 || len(e.queue) >= maxQueued:
		return nil, http.StatusServiceUnavailable
	}
	call = &slotCall{urgency: intOrZero(r.Header.Get(HeaderUrgency)), start: make(chan struct{}), crashes: e.crashes}
	if e.running < e.c.Slots {
		e.running++
		close(call.start)
		return call, 0
	}
	position := slices.IndexFunc(e.queue, func(other *slotCall) bool { return other.urgency > call.urgency })
	if position < 0 {
		position = len(e.queue)
	}
	e.queue = slices.Insert(e.queue, position, call)
	return call, 0
}

// release takes a call that has ended from the queue, or passes its slot on to the first call in the
// queue, or frees the slot.
func (e *SlotEngine) release(call *slotCall) {
	e.mu.Lock()
	defer e.mu.Unlock()
	position := slices.Index(e.queue, call)
	switch {
	case call.crashes != e.crashes:
		// All slots were freed by the crash.
	case position >= 0:
		e.queue = slices.Delete(e.queue, position, position+1)
	case len(e.queue) > 0:
		close(e.queue[0].start)
		e.queue = e.queue[1:]
	default:
		e.running--
		e.completeLoadIfIdle()
	}
}

// stream sends the events after the last one that the caller has.
func (e *SlotEngine) stream(ctx context.Context, w http.ResponseWriter, r *http.Request, weights int64) {
	header := w.Header()
	header.Set("Content-Type", "text/event-stream")
	header.Set(HeaderSigned, e.c.ID)
	header.Set(HeaderVersion, fmt.Sprint(weights))
	delay := firstEventDelay + time.Duration(intOrZero(r.Header.Get(HeaderPromptTokens)))*promptTokenTime
	for event := intOrZero(r.Header.Get(HeaderLastEventID)) + 1; event <= e.eventsOf(r.Header.Get(HeaderCall)); event++ {
		select {
		case <-time.After(delay):
		case <-r.Context().Done():
			return
		case <-ctx.Done():
			panic(http.ErrAbortHandler)
		}
		if e.awaitSpeech(r.Context()) != nil {
			return
		}
		if e.isCrashing(r) {
			e.Crash(e.c.CrashRestart, false)
			panic(http.ErrAbortHandler)
		}
		e.writeSignals(header)
		delay = eventInterval
		if _, err := fmt.Fprintf(w, "id: %d\ndata: %s %d\n\n", event, r.Header.Get(HeaderCall), event); err != nil {
			return
		}
		if err := http.NewResponseController(w).Flush(); err != nil {
			return
		}
	}
}

// eventsOf returns the number of events in the response to a call.
func (e *SlotEngine) eventsOf(call string) int {
	if e.c.EventsOf == nil {
		return e.c.Events
	}
	return e.c.EventsOf(call)
}

// isCrashing reports whether a call crashes the engine.
func (e *SlotEngine) isCrashing(r *http.Request) bool {
	if slices.Contains(e.c.CrashingCalls, r.Header.Get(HeaderCall)) {
		return true
	}
	parts := strings.Split(r.Header.Get(HeaderPromptParts), ",")
	return slices.ContainsFunc(e.c.CrashingParts, func(part string) bool { return slices.Contains(parts, part) })
}

// State returns the state of the engine. It fails with ErrEngineDown while the engine is down.
func (e *SlotEngine) State(ctx context.Context, _ string) (foxtailwharf.EngineState, error) {
	if err := e.awaitSpeech(ctx); err != nil {
		return foxtailwharf.EngineState{}, err
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.isDown {
		return foxtailwharf.EngineState{}, ErrEngineDown
	}
	return foxtailwharf.EngineState{
		Born: e.startedAt, Weights: e.weights, IsBusy: e.loading != 0, Sequence: e.sequence,
		Running: e.running, Queued: len(e.queue),
	}, nil
}

// Staged returns the numbers of the staged chunks.
func (e *SlotEngine) Staged(context.Context, string) (numbers []int, err error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for number := range e.staged {
		numbers = append(numbers, number)
	}
	return numbers, nil
}

// StagedChunk returns the data of a staged chunk, unless it is longer than size bytes.
func (e *SlotEngine) StagedChunk(_ context.Context, _ string, number int, size int64) ([]byte, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	data, isStaged := e.staged[number]
	if !isStaged {
		return nil, errors.Errorf("chunk %d is not staged", number)
	}
	if int64(len(data)) > size {
		return nil, errors.Wrapf(&bodyreader.LimitError{Limit: size}, "chunk %d", number)
	}
	return data, nil
}

// Stage stores a chunk and replaces the earlier one of the same number.
func (e *SlotEngine) Stage(_ context.Context, _ string, number int, data []byte) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.staged[number] = data
	return nil
}

// Load begins a load, which completes after the running and queued calls. If a staged chunk is not of the version, the engine holds no weights afterwards.
func (e *SlotEngine) Load(_ context.Context, release foxtailwharf.Release, sequence int64) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.isDown || sequence != e.sequence || e.loading != 0 {
		return errors.New("load order refused: engine is down, is loading or has another sequence number")
	}
	e.sequence++
	e.loading = release.Version
	for number, chunk := range e.c.Manifest(release.Version).Chunks {
		if foxtailwharf.Digest(e.staged[number]) != chunk.Digest {
			e.loading = -1
		}
	}
	e.completeLoadIfIdle()
	return nil
}

// completeLoadIfIdle ends the load after loadTime if there is one and no call runs. The lock must be
// held.
func (e *SlotEngine) completeLoadIfIdle() {
	if e.loading == 0 || e.running > 0 {
		return
	}
	loading, startedAt := e.loading, e.startedAt
	time.AfterFunc(loadTime, func() {
		e.mu.Lock()
		defer e.mu.Unlock()
		if e.loading == loading && e.startedAt.Equal(startedAt) {
			e.weights, e.loading = max(loading, 0), 0
		}
	})
}
