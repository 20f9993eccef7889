package main

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"math/rand/v2"
	"net/http"
	"path"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Sizes of the weights, as in the small installations.
const (
	model      = "m0"
	pieceCount = 48
	pieceBytes = 49152
	layerCount = 16
	loadTime   = 300 * time.Millisecond
)

// piece returns a piece of a version of the weights.
func piece(version, number int) []byte {
	data := make([]byte, pieceBytes)
	random := rand.New(rand.NewPCG(uint64(version), uint64(number)))
	for at := 0; at < len(data); at += 8 {
		binary.LittleEndian.PutUint64(data[at:], random.Uint64())
	}
	return data
}

func hash(data []byte) string {
	sum := sha256.Sum256(data)
	return hex.EncodeToString(sum[:])
}

// origin stands in for the origin of weights.
type origin struct {
	// corrupt changes the hashes of the manifest that is handed out, if it is set.
	corrupt func(asker string, hashes []string)
}

// ServeHTTP hands out manifests and pieces.
func (o *origin) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	version, _ := strconv.Atoi(r.URL.Query().Get("version"))
	if strings.HasPrefix(r.URL.Path, "/api/piece/") {
		number, _ := strconv.Atoi(r.URL.Query().Get("number"))
		_, _ = w.Write(piece(version, number))
		return
	}
	hashes := make([]string, pieceCount)
	for n := range hashes {
		hashes[n] = hash(piece(version, n))
	}
	if o.corrupt != nil {
		o.corrupt(r.RemoteAddr, hashes)
	}
	reply(w, map[string]any{"model": model, "version": version, "chunk-bytes": pieceBytes, "layers": layerCount, "hashes": hashes})
}

// engine stands in for a model runner.
type engine struct {
	r      *rig
	id     string
	number int
	server *http.Server
	// firstEvent is the time until the first event of a stream.
	firstEvent time.Duration

	mu        sync.Mutex
	born      time.Time
	version   int // that it holds
	isBusy    bool
	sequence  int
	staged    map[int][]byte
	isEndless bool // answers stage-get with bytes without end
	endless   int  // how many such answers it has begun
	requests  map[string]bool
}

func newEngine(r *rig, n int) *engine {
	e := &engine{r: r, id: fmt.Sprintf("i-llm-%d", n+1), number: n, version: 1, staged: make(map[int][]byte), requests: make(map[string]bool)}
	for number := range pieceCount {
		e.staged[number] = piece(1, number)
	}
	return e
}

// register writes the engine's entry of the store's list.
func (e *engine) register() {
	e.mu.Lock()
	defer e.mu.Unlock()
	entry := map[string]any{
		"service": "llm", "address": e.r.address(subnetSide, e.number, appOffset), "zone": zones[e.number%len(zones)], "version": "v1",
		"slots": 16, "state": "ready", "cold-left-ms": 0, "sequence": 1, "born": e.born.UnixMilli(), "stage": "both",
	}
	e.addModels(entry)
	e.r.store.put("servers", e.id, entry)
}

// addModels says what the engine holds. The lock must be held.
func (e *engine) addModels(to map[string]any) {
	if e.version == 0 {
		to["models"], to["layers"] = []any{}, map[string]any{"from": 0, "to": 0, "version": 0}
		return
	}
	to["models"] = []any{map[string]any{"name": model, "version": e.version, "adapters": []any{}}}
	to["layers"] = map[string]any{"from": 0, "to": layerCount, "version": e.version}
}

// losePower ends the engine, which loses all that it holds and has staged.
func (e *engine) losePower() {
	_ = e.server.Close()
	e.mu.Lock()
	defer e.mu.Unlock()
	e.version, e.isBusy, e.sequence, e.staged = 0, false, 0, make(map[int][]byte)
}

// start starts the engine.
func (e *engine) start() (err error) {
	e.mu.Lock()
	e.born = time.Now()
	e.mu.Unlock()
	if e.server, err = e.r.serveAs(e.r.address(subnetSide, e.number, appOffset), e); err != nil {
		return err
	}
	e.register()
	return nil
}

// ServeHTTP serves the agent and the entries.
func (e *engine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	switch {
	case r.URL.Path == "/api/report":
		e.report(w)
	case r.URL.Path == "/api/order":
		e.order(w, r)
	case strings.HasPrefix(r.URL.Path, "/api/stage-put/"):
		e.put(w, r)
	case strings.HasPrefix(r.URL.Path, "/api/stage-get/"):
		e.get(w, r)
	default:
		e.stream(w, r)
	}
}

func (e *engine) report(w http.ResponseWriter) {
	e.mu.Lock()
	defer e.mu.Unlock()
	report := map[string]any{
		"stage": "both", "busy": e.isBusy, "sequence": e.sequence, "queued": 0, "running": 0, "kv-used": 0, "kv-total": 317000, "handles": 0,
		"born": e.born.UnixMilli(), "pace": 1.0,
	}
	e.addModels(report)
	reply(w, report)
}

// order loads what is staged at this moment.
func (e *engine) order(w http.ResponseWriter, r *http.Request) {
	var o struct {
		Version int `json:"version"`
		Expect  int `json:"expect"`
	}
	if json.NewDecoder(r.Body).Decode(&o) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.isBusy || o.Expect != e.sequence {
		w.WriteHeader(http.StatusConflict)
		return
	}
	e.sequence++
	e.isBusy = true
	isWhole := true
	for n := range pieceCount {
		isWhole = isWhole && hash(e.staged[n]) == hash(piece(o.Version, n))
	}
	e.r.log("%s accepts the order to load version %d; whole: %t", e.id, o.Version, isWhole)
	time.AfterFunc(loadTime, func() {
		e.mu.Lock()
		e.version, e.isBusy = o.Version, false
		e.mu.Unlock()
		e.r.log("%s holds version %d", e.id, o.Version)
		e.register()
	})
	w.WriteHeader(http.StatusAccepted)
}

func (e *engine) put(w http.ResponseWriter, r *http.Request) {
	number, _ := strconv.Atoi(r.URL.Query().Get("number"))
	data, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.staged[number] = data
	w.WriteHeader(http.StatusOK)
}

// get returns a staged piece, the numbers of all, or bytes without end.
func (e *engine) get(w http.ResponseWriter, r *http.Request) {
	e.mu.Lock()
	isEndless := e.isEndless
	if isEndless {
		e.endless++
	}
	text := r.URL.Query().Get("number")
	number, _ := strconv.Atoi(text)
	data, isHeld := e.staged[number]
	held := []int{}
	for n := range e.staged {
		held = append(held, n)
	}
	e.mu.Unlock()
	switch {
	case isEndless:
		e.pour(w, r)
	case text == "":
		reply(w, map[string]any{"held": held})
	case isHeld:
		_, _ = w.Write(data)
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

// pour writes bytes that are no answer until the caller closes.
func (e *engine) pour(w http.ResponseWriter, r *http.Request) {
	block := make([]byte, 64<<10)
	for r.Context().Err() == nil {
		if _, err := w.Write(block); err != nil {
			return
		}
	}
}

// streamTime is how long a stream lasts whose path does not say it.
const streamTime = 60 * time.Millisecond

// stream runs a request and writes events for as long as the last element of its path says, in milliseconds.
func (e *engine) stream(w http.ResponseWriter, r *http.Request) {
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		return
	}
	id := r.Header.Get("Foxtailwharf-Request-Id")
	w.Header().Set("Foxtailwharf-Request-Id", id)
	if r.Header.Get("Foxtailwharf-Expect-Instance") != e.id {
		reject(w, http.StatusMisdirectedRequest)
		return
	}
	version := e.held()
	if version == 0 {
		reject(w, http.StatusServiceUnavailable)
		return
	}
	e.note(id)
	e.r.log("%s runs %s with version %d", e.id, id, version)
	w.Header().Set("Foxtailwharf-Response-Signature", "s-"+id)
	w.Header().Set("Foxtailwharf-Weight-Versions", strconv.Itoa(version))
	w.Header().Set("Content-Type", "text/event-stream")
	length := streamTime
	if ms, err := strconv.Atoi(path.Base(r.URL.Path)); err == nil {
		length = time.Duration(ms) * time.Millisecond
	}
	pause := min(length/3, streamPause)
	time.Sleep(e.firstEvent)
	end := time.Now().Add(length)
	for n := 1; ; n++ {
		time.Sleep(pause)
		word := strconv.Itoa(n)
		if !time.Now().Before(end) {
			word = "last"
		}
		if _, err := fmt.Fprintf(w, "id: %d\ndata: %s %s\n\n", n, id, word); err != nil || http.NewResponseController(w).Flush() != nil {
			e.r.log("%s ends %s before its last event", e.id, id)
			return
		}
		if word == "last" {
			return
		}
	}
}

// note records that a request runs.
func (e *engine) note(id string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.requests[id] = true
}

// ran returns the requests that have run.
func (e *engine) ran() map[string]bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return maps.Clone(e.requests)
}

// modelConfig returns a configuration with a model service.
func (r *rig) modelConfig(version int) map[string]any {
	return map[string]any{
		"version": version,
		"routes": []any{lookRoute(true), map[string]any{
			"name": "chat", "host": "review.example", "path-prefix": "/chat/", "kind": "streaming", "service": "llm", "attempts": 2,
			"timeout-ms": 6000, "goal-ms": 400, "priority": 0, "public": true, "sticky": true, "resumable": true, "gap-target-ms": 400,
		}},
		"services": []any{
			map[string]any{"name": "llm", "max-conns": 364, "health-path": "/health", "protocol": "h1", "tls": false, "engine": map[string]any{
				"slots": 16, "kv-capacity": 317000, "kv-token-bytes": 262144, "stride": 5, "step_ms": 9.27, "per_seq_ms": 0.0232, "context_per_k": 0.0322,
				"read_per_s": 20700.0, "pairs_per_m": 1.18, "chunk": 2048, "report_lag_ms": 200.0, "usual": map[string]any{"prompt": 979, "answer": 92},
				"models": []any{map[string]any{"name": model, "pace": 1.0, "load-s": 4.0, "warmup-s": 0.3}},
				"layers": layerCount, "chunks": pieceCount, "chunk-bytes": pieceBytes,
			}},
			map[string]any{"name": "booking", "max-conns": 110, "health-path": "/health", "protocol": "h1", "tls": false},
			map[string]any{"name": "weights", "origin": r.address(subnetShared, 1, appOffset), "zone": zones[0], "link-mbps": 15.0, "max-conns": 48},
		},
		"limits": map[string]any{"header-bytes": 16384, "body-bytes": 4194304, "header-timeout-ms": 5000, "idle-timeout-ms": 10000},
	}
}

// startModelFleet starts entries, engines with their agents, and the origin, and waits until the entries are ready.
func (r *rig) startModelFleet(o *origin, entries, engines int) (fronts, sides []*process, list []*engine, err error) {
	if err := r.serve(r.address(subnetShared, 1, appOffset), o); err != nil {
		return nil, nil, nil, err
	}
	for n := range engines {
		e := newEngine(r, n)
		list = append(list, e)
		if err := e.start(); err != nil {
			return nil, nil, nil, err
		}
	}
	r.store.put("config", "main", r.modelConfig(3))
	for n := range entries + engines {
		role, number := "entry", n
		if n >= entries {
			role, number = "agent", n-entries
		}
		p, err := r.add(role, number, min(entries, 3))
		if err != nil {
			return nil, nil, nil, err
		}
		if err := p.start(); err != nil {
			return nil, nil, nil, err
		}
		if role == "entry" {
			fronts = append(fronts, p)
		} else {
			sides = append(sides, p)
		}
	}
	for n := range entries {
		if err := r.awaitReady(n); err != nil {
			return nil, nil, nil, err
		}
	}
	return fronts, sides, list, nil
}

// chat sends a request for a stream to an entry. It returns the status, and whether the answer is whole.
func (r *rig) chat(entry int, id string) (status int, isWhole bool) {
	request, err := http.NewRequest(http.MethodPost, "http://"+r.address(subnetFront, entry, callersOffset)+"/chat/"+id, strings.NewReader("hello"))
	if err != nil {
		return 0, false
	}
	request.Host = "review.example"
	request.Header.Set("Foxtailwharf-Request-Id", id)
	request.Header.Set("Foxtailwharf-Deadline-Ms", "6000")
	request.Header.Set("Foxtailwharf-Model", model)
	request.Header.Set("Foxtailwharf-Token-Usage", "600,80")
	client := http.Client{Timeout: 7 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Do(request)
	if err != nil {
		return 0, false
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	return response.StatusCode, err == nil && strings.Contains(string(body), id+" last")
}

func (e *engine) setEndless(isEndless bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.isEndless = isEndless
}

func (e *engine) endlessCount() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.endless
}

func (e *engine) held() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.version
}
