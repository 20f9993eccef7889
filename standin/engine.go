package standin

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"path"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/foxtailwharf/foxtailwharf"
	"github.com/foxtailwharf/foxtailwharf/internal/connection/driver"
)

// Marks in a prompt by which a caller of the stand-in provokes faults.
const (
	MarkCrash = "[crash]" // the engine dies while it runs the request
)

// EngineConfig holds the settings of an Engine.
type EngineConfig struct {
	Name         string
	FirstToken   time.Duration
	BetweenToken time.Duration
	Tokens       int // of an answer that names no limit
	// Slots is the number of requests that run at full speed; 0 for any.
	Slots int
	// CacheSize is the number of prompt prefixes kept; 0 for no cache.
	CacheSize int
	// CacheGain is the part of FirstToken saved by a cached prefix.
	CacheGain   float64
	ChecksFence bool
	RestartTime time.Duration // for which it is down after a crash
	// IsMixing makes running answers go on from the version that is active now, as an
	// engine does that cannot serve two at a time.
	IsMixing bool
}

// Run is what the engine notes of each request that ran.
type Run struct {
	ID      string // the request's user field
	Version string
	At      time.Time
	IsWhole bool
}

// Engine stands in for a model engine. Its answers depend on the prompt alone, so
// that a resumed stream can be compared with a whole one.
type Engine struct {
	mu      sync.Mutex
	c       EngineConfig
	staged  map[string]string // digest of the weights by version
	version string
	fence   uint64
	running int
	runs    []*Run
	down    time.Time // until when
	crashes int
	kill    chan struct{} // closed when the engine dies
	cache   []string
	hits    int
	misses  int
}

// NewEngine returns an engine without weights.
func NewEngine(c EngineConfig) *Engine {
	if c.Tokens == 0 {
		c.Tokens = 16
	}
	return &Engine{c: c, staged: make(map[string]string), kill: make(chan struct{})}
}

// Change changes the engine's settings.
func (e *Engine) Change(change func(c *EngineConfig)) {
	e.mu.Lock()
	defer e.mu.Unlock()
	change(&e.c)
}

// Obey makes the engine serve a version as a stale order of somebody else does.
func (e *Engine) Obey(version string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.version = version
}

// Version returns the version served and the digest of its weights.
func (e *Engine) Version() (version, weights string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.version, e.staged[e.version]
}

// Runs returns what ran so far.
func (e *Engine) Runs() []Run {
	e.mu.Lock()
	defer e.mu.Unlock()
	runs := make([]Run, 0, len(e.runs))
	for _, r := range e.runs {
		runs = append(runs, *r)
	}
	return runs
}

// Crashes returns how often the engine died.
func (e *Engine) Crashes() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.crashes
}

// Cache returns the hits and misses of the prefix cache.
func (e *Engine) Cache() (hits, misses int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.hits, e.misses
}

// Crash makes the engine die and come back without weights in service; what was
// staged is lost too.
func (e *Engine) Crash() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.crash()
}

func (e *Engine) crash() {
	e.crashes++
	e.version = ""
	e.staged = make(map[string]string)
	e.down = time.Now().Add(e.c.RestartTime)
	close(e.kill)
	e.kill = make(chan struct{})
}

// ServeHTTP answers the engine's protocol.
func (e *Engine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	e.mu.Lock()
	isDown := time.Now().Before(e.down)
	e.mu.Unlock()
	switch {
	case isDown:
		panic(http.ErrAbortHandler)
	case strings.HasPrefix(r.URL.Path, driver.PathVersions):
		e.serveStage(w, r)
	case strings.HasPrefix(r.URL.Path, driver.PathActive):
		e.serveActivate(w, r)
	case r.URL.Path == driver.PathReport:
		e.serveReport(w)
	default:
		e.serveCompletion(w, r)
	}
}

func (e *Engine) serveStage(w http.ResponseWriter, r *http.Request) {
	weights, err := io.ReadAll(r.Body)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.staged[path.Base(r.URL.Path)] = foxtailwharf.Digest(weights)
}

func (e *Engine) serveActivate(w http.ResponseWriter, r *http.Request) {
	fence, err := strconv.ParseUint(r.Header.Get(driver.HeaderFence), 10, 64)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	version := path.Base(r.URL.Path)
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.c.ChecksFence && fence < e.fence {
		http.Error(w, "old fencing number", http.StatusConflict)
		return
	}
	if _, isStaged := e.staged[version]; !isStaged {
		http.Error(w, "the version is not staged", http.StatusConflict)
		return
	}
	e.fence = max(e.fence, fence)
	e.version = version
}

func (e *Engine) serveReport(w http.ResponseWriter) {
	e.mu.Lock()
	defer e.mu.Unlock()
	reply(w, foxtailwharf.EngineReport{Version: e.version, Running: e.running})
}

// completion is what the engine reads of a request.
type completion struct {
	User      string            `json:"user"`
	Stream    bool              `json:"stream"`
	MaxTokens int               `json:"max_tokens"`
	Messages  []json.RawMessage `json:"messages"`
}

func (c completion) prefix() string {
	if len(c.Messages) == 0 {
		return ""
	}
	return string(c.Messages[0])
}

// serveCompletion runs a request.
func (e *Engine) serveCompletion(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	var asked completion
	if err := json.Unmarshal(body, &asked); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	run, first, kill := e.begin(asked)
	defer e.finish()
	if strings.Contains(string(body), MarkCrash) {
		pause(r, kill, first/2)
		e.Crash()
		panic(http.ErrAbortHandler)
	}
	if run.Version == "" {
		http.Error(w, "no version is active", http.StatusServiceUnavailable)
		return
	}
	if !pause(r, kill, first) {
		panic(http.ErrAbortHandler)
	}
	e.answer(w, r, kill, asked, body, run)
}

// begin notes a run and returns the time to its first token.
func (e *Engine) begin(asked completion) (run *Run, first time.Duration, kill chan struct{}) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.running++
	run = &Run{ID: asked.User, Version: e.version, At: time.Now()}
	e.runs = append(e.runs, run)
	return run, e.firstToken(asked.prefix()), e.kill
}

func (e *Engine) finish() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.running--
}

// writing returns the version that writes the next token of a run.
func (e *Engine) writing(run *Run) string {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.c.IsMixing {
		return e.version
	}
	return run.Version
}

func (e *Engine) noteWhole(run *Run) {
	e.mu.Lock()
	defer e.mu.Unlock()
	run.IsWhole = true
}

// firstToken keeps the cache of prefixes, least recently used first.
func (e *Engine) firstToken(prefix string) time.Duration {
	first := e.c.FirstToken
	if e.c.CacheSize == 0 || prefix == "" {
		return first
	}
	for i, cached := range e.cache {
		if cached == prefix {
			e.hits++
			e.cache = append(append(e.cache[:i:i], e.cache[i+1:]...), prefix)
			return time.Duration(float64(first) * (1 - e.c.CacheGain))
		}
	}
	e.misses++
	e.cache = append(e.cache, prefix)
	if len(e.cache) > e.c.CacheSize {
		e.cache = e.cache[1:]
	}
	return first
}

// pause waits, and reports false if the engine died or the request was cancelled.
func pause(r *http.Request, kill chan struct{}, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-kill:
		return false
	case <-r.Context().Done():
		return false
	}
}

// Token returns the n-th token, from 1, of the answer to a prompt by a version.
func Token(body []byte, version string, n int) string {
	return foxtailwharf.Digest(fmt.Appendf(nil, "%s %s %d", body, version, n))[:6]
}

// gap returns the time between tokens: longer when more run than there are slots.
func (e *Engine) gap() time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	gap := e.c.BetweenToken
	if e.c.Slots > 0 && e.running > e.c.Slots {
		gap = gap * time.Duration(e.running) / time.Duration(e.c.Slots)
	}
	return gap
}

func (e *Engine) answer(w http.ResponseWriter, r *http.Request, kill chan struct{}, asked completion, body []byte, run *Run) {
	tokens := asked.MaxTokens
	if tokens == 0 {
		tokens = e.c.Tokens
	}
	w.Header().Set(driver.HeaderVersion, run.Version)
	if !asked.Stream {
		e.answerWhole(w, r, kill, body, run, tokens)
		return
	}
	w.Header().Set("Content-Type", "text/event-stream")
	after, _ := strconv.Atoi(r.Header.Get("Last-Event-ID")) // none means from the start
	flusher := http.NewResponseController(w)
	for n := after + 1; n <= tokens; n++ {
		if n > after+1 && !pause(r, kill, e.gap()) {
			panic(http.ErrAbortHandler)
		}
		version := e.writing(run)
		_, _ = fmt.Fprintf(w, "id: %d\ndata: {\"system_fingerprint\":%q,\"choices\":[{\"delta\":{\"content\":%q}}]}\n\n", n, version, Token(body, version, n))
		if err := flusher.Flush(); err != nil {
			return
		}
	}
	_, _ = io.WriteString(w, "data: [DONE]\n\n")
	e.noteWhole(run)
}

func (e *Engine) answerWhole(w http.ResponseWriter, r *http.Request, kill chan struct{}, body []byte, run *Run, tokens int) {
	var text strings.Builder
	for n := 1; n <= tokens; n++ {
		if n > 1 && !pause(r, kill, e.gap()) {
			panic(http.ErrAbortHandler)
		}
		text.WriteString(Token(body, run.Version, n))
	}
	e.noteWhole(run)
	reply(w, map[string]any{
		"object":             "chat.completion",
		"system_fingerprint": run.Version,
		"choices":            []any{map[string]any{"message": map[string]string{"role": "assistant", "content": text.String()}}},
	})
}
