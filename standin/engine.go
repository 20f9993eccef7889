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

// Texts in a prompt by which a caller provokes a fault.
const (
	MarkCrash = "[crash]" // the engine crashes while it runs the request
)

// EngineConfig holds the settings of an Engine.
type EngineConfig struct {
	Name             string
	TimeToFirstToken time.Duration
	TokenInterval    time.Duration
	Tokens           int // in a response to a request without max_tokens; 0 for 16
	// Slots is the number of requests that run at full speed; 0 for no limit.
	Slots int
	// CacheSize is the number of prompt prefixes kept in the cache; 0 for no cache.
	CacheSize int
	// CacheSaving is the fraction of TimeToFirstToken that a cached prefix saves.
	CacheSaving float64
	ChecksFence bool
	// RefusesOrders makes the engine refuse all orders to serve a version.
	RefusesOrders bool
	RestartDelay  time.Duration // downtime after a crash
	// MixesVersions makes responses that are in progress continue with the version that is active
	// now, like an engine that cannot serve two versions at a time.
	MixesVersions bool
}

// Run is the record of one request that the engine received.
type Run struct {
	ID         string // the request's user field
	Version    string // empty if the request failed because no version was active
	At         time.Time
	IsComplete bool // the response was generated to its end
}

// Engine is a fake model engine. Each token depends only on the request's body, the version and
// the token's position, so that a resumed stream can be compared with an uninterrupted one.
type Engine struct {
	mu        sync.Mutex
	c         EngineConfig
	staged    map[string]string // digest of the weights by version
	version   string
	fence     uint64
	running   int
	runs      []*Run
	downUntil time.Time // end of the downtime after a crash
	crashes   int
	killed    chan struct{} // closed when the engine crashes
	cache     []string
	hits      int
	misses    int
}

// NewEngine returns an engine that has no weights.
func NewEngine(c EngineConfig) *Engine {
	if c.Tokens == 0 {
		c.Tokens = 16
	}
	return &Engine{c: c, staged: make(map[string]string), killed: make(chan struct{})}
}

// UpdateConfig calls change on the engine's settings with the lock held.
func (e *Engine) UpdateConfig(change func(c *EngineConfig)) {
	e.mu.Lock()
	defer e.mu.Unlock()
	change(&e.c)
}

// ForceVersion makes the engine serve a version without any checks, as a stale order from another
// process would.
func (e *Engine) ForceVersion(version string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.version = version
}

// Version returns the version that the engine serves and the digest of its weights.
func (e *Engine) Version() (version, weights string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.version, e.staged[e.version]
}

// Runs returns the records of the requests so far, in the order of their start.
func (e *Engine) Runs() []Run {
	e.mu.Lock()
	defer e.mu.Unlock()
	runs := make([]Run, 0, len(e.runs))
	for _, r := range e.runs {
		runs = append(runs, *r)
	}
	return runs
}

// Crashes returns the number of crashes so far.
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

// Crash makes the engine unavailable for RestartDelay. It loses the active version and all staged
// weights.
func (e *Engine) Crash() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.crash()
}

// crashOnce is Crash, unless the engine has crashed since killed was its channel.
func (e *Engine) crashOnce(killed chan struct{}) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.killed == killed {
		e.crash()
	}
}

func (e *Engine) crash() {
	e.crashes++
	e.version = ""
	e.staged = make(map[string]string)
	e.downUntil = time.Now().Add(e.c.RestartDelay)
	close(e.killed)
	e.killed = make(chan struct{})
}

// ServeHTTP serves the engine's admin API and completions. While the engine is down it aborts the
// connection.
func (e *Engine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	e.mu.Lock()
	isDown := time.Now().Before(e.downUntil)
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
	if e.c.RefusesOrders {
		http.Error(w, "no orders are taken", http.StatusServiceUnavailable)
		return
	}
	if e.c.ChecksFence && fence < e.fence {
		http.Error(w, "fencing token is stale", http.StatusConflict)
		return
	}
	if _, isStaged := e.staged[version]; !isStaged {
		http.Error(w, "version is not staged", http.StatusConflict)
		return
	}
	e.fence = max(e.fence, fence)
	e.version = version
}

func (e *Engine) serveReport(w http.ResponseWriter) {
	e.mu.Lock()
	defer e.mu.Unlock()
	writeJSON(w, foxtailwharf.EngineReport{Version: e.version, Running: e.running})
}

// completion is the part of a request's body that the engine uses.
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

// serveCompletion runs a request. One that contains MarkCrash crashes the engine after half of the
// time to the first token.
func (e *Engine) serveCompletion(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	var request completion
	if err := json.Unmarshal(body, &request); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	run, first, killed := e.startRun(request)
	defer e.finishRun()
	if strings.Contains(string(body), MarkCrash) {
		pause(r, killed, first/2)
		e.crashOnce(killed)
		panic(http.ErrAbortHandler)
	}
	if run.Version == "" {
		http.Error(w, "no version is active", http.StatusServiceUnavailable)
		return
	}
	if !pause(r, killed, first) {
		panic(http.ErrAbortHandler)
	}
	e.writeResponse(w, r, killed, request, body, run)
}

// startRun records a run and returns the time to its first token.
func (e *Engine) startRun(request completion) (run *Run, first time.Duration, killed chan struct{}) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.running++
	run = &Run{ID: request.User, Version: e.version, At: time.Now()}
	e.runs = append(e.runs, run)
	return run, e.firstTokenDelay(request.prefix()), e.killed
}

func (e *Engine) finishRun() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.running--
}

// tokenVersion returns the version that generates the next token of a run.
func (e *Engine) tokenVersion(run *Run) string {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.c.MixesVersions {
		return e.version
	}
	return run.Version
}

func (e *Engine) markWhole(run *Run) {
	e.mu.Lock()
	defer e.mu.Unlock()
	run.IsComplete = true
}

// firstTokenDelay updates the prefix cache, which is in the order of last use, and returns the
// time to the first token. The lock must be held.
func (e *Engine) firstTokenDelay(prefix string) time.Duration {
	first := e.c.TimeToFirstToken
	if e.c.CacheSize == 0 || prefix == "" {
		return first
	}
	for i, cached := range e.cache {
		if cached == prefix {
			e.hits++
			e.cache = append(append(e.cache[:i:i], e.cache[i+1:]...), prefix)
			return time.Duration(float64(first) * (1 - e.c.CacheSaving))
		}
	}
	e.misses++
	e.cache = append(e.cache, prefix)
	if len(e.cache) > e.c.CacheSize {
		e.cache = e.cache[1:]
	}
	return first
}

// pause waits for d. It returns false if the engine crashes or the request is cancelled.
func pause(r *http.Request, killed chan struct{}, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-killed:
		return false
	case <-r.Context().Done():
		return false
	}
}

// Token returns the n-th token, counted from 1, of a version's response to a request body.
func Token(body []byte, version string, n int) string {
	return foxtailwharf.Digest(fmt.Appendf(nil, "%s %s %d", body, version, n))[:6]
}

// tokenInterval returns the time between tokens. It grows with the number of running requests
// above Slots.
func (e *Engine) tokenInterval() time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	tokenInterval := e.c.TokenInterval
	if e.c.Slots > 0 && e.running > e.c.Slots {
		tokenInterval = tokenInterval * time.Duration(e.running) / time.Duration(e.c.Slots)
	}
	return tokenInterval
}

func (e *Engine) writeResponse(w http.ResponseWriter, r *http.Request, killed chan struct{}, request completion, body []byte, run *Run) {
	tokens := request.MaxTokens
	if tokens == 0 {
		tokens = e.c.Tokens
	}
	w.Header().Set(driver.HeaderVersion, run.Version)
	if !request.Stream {
		e.writeWhole(w, r, killed, body, run, tokens)
		return
	}
	w.Header().Set("Content-Type", "text/event-stream")
	after, _ := strconv.Atoi(r.Header.Get("Last-Event-ID")) // missing for a stream from the start
	flusher := http.NewResponseController(w)
	for n := after + 1; n <= tokens; n++ {
		if n > after+1 && !pause(r, killed, e.tokenInterval()) {
			panic(http.ErrAbortHandler)
		}
		version := e.tokenVersion(run)
		_, _ = fmt.Fprintf(w, "id: %d\ndata: {\"system_fingerprint\":%q,\"choices\":[{\"delta\":{\"content\":%q}}]}\n\n", n, version, Token(body, version, n))
		if err := flusher.Flush(); err != nil {
			return
		}
	}
	_, _ = io.WriteString(w, "data: [DONE]\n\n")
	e.markWhole(run)
}

func (e *Engine) writeWhole(w http.ResponseWriter, r *http.Request, killed chan struct{}, body []byte, run *Run, tokens int) {
	var text strings.Builder
	for n := 1; n <= tokens; n++ {
		if n > 1 && !pause(r, killed, e.tokenInterval()) {
			panic(http.ErrAbortHandler)
		}
		text.WriteString(Token(body, run.Version, n))
	}
	e.markWhole(run)
	writeJSON(w, map[string]any{
		"object":             "chat.completion",
		"system_fingerprint": run.Version,
		"choices":            []any{map[string]any{"message": map[string]string{"role": "assistant", "content": text.String()}}},
	})
}
