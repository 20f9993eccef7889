package standin

import (
	"cmp"
	"context"
	"encoding/json"
	"io"
	"maps"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/foxtailwharf/foxtailwharf"
	"github.com/foxtailwharf/foxtailwharf/internal/process/storer"
)

// maxWatchTime is the longest time that a watch waits for changes.
const maxWatchTime = 10 * time.Second

// PlatformFaults are the faults that a Platform injects.
type PlatformFaults struct {
	IsDown bool
	// LoseResponses is the number of writes that take effect but are answered with status 504.
	LoseResponses int
	// DelayWrites is the number of writes that are answered with status 504 at once and take
	// effect after WriteDelay.
	DelayWrites int
	WriteDelay  time.Duration
	Latency     time.Duration
	// ListLag is the time after which readers see a change of the instance list.
	ListLag time.Duration
}

// Calls counts the requests to a Platform, except while it is down. Reads includes those of the
// instance list.
type Calls struct {
	Reads   int
	Writes  int
	Watches int
}

// Platform is a fake of the platform's object API and instance list.
type Platform struct {
	mu            sync.Mutex
	objects       map[string]foxtailwharf.Object // by kind and name
	version       uint64
	changed       chan struct{}
	faults        PlatformFaults
	calls         Calls
	listSnapshots []listSnapshot
}

type listSnapshot struct {
	rows  []storer.ListedInstance
	setAt time.Time
}

// NewPlatform returns a platform without objects and with an empty instance list.
func NewPlatform() *Platform {
	return &Platform{objects: make(map[string]foxtailwharf.Object), changed: make(chan struct{})}
}

// SetFaults replaces the faults to inject and wakes all watches.
func (p *Platform) SetFaults(faults PlatformFaults) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.faults = faults
	p.wakeWatches()
}

// SetList sets the instance list. Readers see it after ListLag.
func (p *Platform) SetList(rows []storer.ListedInstance) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.listSnapshots = append(p.listSnapshots, listSnapshot{rows: rows, setAt: time.Now()})
}

// Calls returns the number of requests so far.
func (p *Platform) Calls() Calls {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.calls
}

// PlatformCopy is a copy of the objects for Restore.
type PlatformCopy struct {
	objects map[string]foxtailwharf.Object
	version uint64
}

// Copy returns a copy for Restore.
func (p *Platform) Copy() PlatformCopy {
	p.mu.Lock()
	defer p.mu.Unlock()
	return PlatformCopy{objects: maps.Clone(p.objects), version: p.version}
}

// Restore replaces the objects with an older copy. What was written since is lost, and its versions are given out
// again.
func (p *Platform) Restore(c PlatformCopy) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.objects, p.version = maps.Clone(c.objects), c.version
	p.wakeWatches()
}

func (p *Platform) wakeWatches() {
	close(p.changed)
	p.changed = make(chan struct{})
}

// ServeHTTP serves the object API and the instance list.
func (p *Platform) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	p.mu.Lock()
	latency, isDown := p.faults.Latency, p.faults.IsDown
	p.mu.Unlock()
	time.Sleep(latency)
	kind, name, _ := strings.Cut(strings.TrimPrefix(r.URL.Path, storer.PathObjects), "/")
	switch {
	case isDown:
		http.Error(w, "fake platform is down", http.StatusServiceUnavailable)
	case r.URL.Path == storer.PathInstances:
		p.serveList(w)
	case r.Method == http.MethodPut:
		p.serveWrite(w, r, kind, name)
	case name != "":
		p.serveRead(w, kind, name)
	default:
		p.serveWatch(r.Context(), w, r, kind)
	}
}

func (p *Platform) serveList(w http.ResponseWriter) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.calls.Reads++
	rows := []storer.ListedInstance{}
	for _, l := range p.listSnapshots {
		if time.Since(l.setAt) >= p.faults.ListLag {
			rows = l.rows
		}
	}
	writeJSON(w, rows)
}

func writeJSON(w http.ResponseWriter, value any) {
	w.Header().Set("Content-Type", "application/json")
	// An error means that the reader has closed the connection; it needs no response.
	_ = json.NewEncoder(w).Encode(value)
}

func (p *Platform) serveRead(w http.ResponseWriter, kind, name string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.calls.Reads++
	o, exists := p.objects[kind+"/"+name]
	if !exists {
		http.Error(w, "object not found", http.StatusNotFound)
		return
	}
	writeJSON(w, o)
}

func (p *Platform) serveWrite(w http.ResponseWriter, r *http.Request, kind, name string) {
	value, err := io.ReadAll(r.Body)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.calls.Writes++
	write := func() (foxtailwharf.Object, bool) { return p.write(r.Header, kind, name, value) }
	if p.faults.DelayWrites > 0 {
		p.faults.DelayWrites--
		time.AfterFunc(p.faults.WriteDelay, func() {
			p.mu.Lock()
			defer p.mu.Unlock()
			write()
		})
		http.Error(w, "timeout", http.StatusGatewayTimeout)
		return
	}
	o, isWritten := write()
	switch {
	case !isWritten:
		http.Error(w, "object version does not match", http.StatusPreconditionFailed)
	case p.faults.LoseResponses > 0:
		p.faults.LoseResponses--
		http.Error(w, "timeout", http.StatusGatewayTimeout)
	default:
		writeJSON(w, o)
	}
}

// write stores an object if the preconditions in the header hold. Otherwise it returns the current
// object and false. The lock must be held.
func (p *Platform) write(header http.Header, kind, name string, value []byte) (foxtailwharf.Object, bool) {
	current, exists := p.objects[kind+"/"+name]
	if header.Get("If-None-Match") == "*" && exists {
		return current, false
	}
	if match := header.Get("If-Match"); match != "" && match != strconv.FormatUint(current.Version, 10) {
		return current, false
	}
	p.version++
	o := foxtailwharf.Object{Kind: kind, Name: name, Version: p.version, Value: value}
	p.objects[kind+"/"+name] = o
	p.wakeWatches()
	return o, true
}

func (p *Platform) serveWatch(ctx context.Context, w http.ResponseWriter, r *http.Request, kind string) {
	after, err := strconv.ParseUint(r.URL.Query().Get("after"), 10, 64)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	p.mu.Lock()
	p.calls.Watches++
	p.mu.Unlock()
	timer := time.NewTimer(maxWatchTime)
	defer timer.Stop()
	for {
		changes, changed, isDown := p.changesSince(kind, after)
		if isDown {
			http.Error(w, "fake platform is down", http.StatusServiceUnavailable)
			return
		}
		if len(changes.Objects) > 0 || after == 0 {
			writeJSON(w, changes)
			return
		}
		select {
		case <-changed:
		case <-timer.C:
			writeJSON(w, changes)
			return
		case <-ctx.Done():
			return
		}
	}
}

func (p *Platform) changesSince(kind string, after uint64) (changes storer.Changes, changed <-chan struct{}, isDown bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	changes.Version = p.version
	for _, o := range p.objects {
		if o.Kind == kind && o.Version > after {
			changes.Objects = append(changes.Objects, o)
		}
	}
	slices.SortFunc(changes.Objects, func(a, b foxtailwharf.Object) int { return cmp.Compare(a.Version, b.Version) })
	return changes, p.changed, p.faults.IsDown
}
