package standin

import (
	"cmp"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/foxtailwharf/foxtailwharf"
	"github.com/foxtailwharf/foxtailwharf/internal/process/storer"
)

// maxWatch is how long the stand-in holds a waiting watch.
const maxWatch = 10 * time.Second

// PlatformFaults are the switches of a Platform.
type PlatformFaults struct {
	IsDown bool
	// LoseAnswers makes so many writes take effect and their answers get lost.
	LoseAnswers int
	// DelayWrites makes so many writes fail at once and take effect after WriteDelay.
	DelayWrites int
	WriteDelay  time.Duration
	Latency     time.Duration
	// ListLag is how old the instance list is.
	ListLag time.Duration
}

// Calls counts what a Platform was asked.
type Calls struct {
	Reads   int
	Writes  int
	Watches int
}

// Platform stands in for the platform's object API and instance list.
type Platform struct {
	mu      sync.Mutex
	objects map[string]foxtailwharf.Object // by kind and name
	version uint64
	changed chan struct{}
	faults  PlatformFaults
	calls   Calls
	list    []listed
}

type listed struct {
	rows []storer.ListedInstance
	at   time.Time
}

// NewPlatform returns a platform without objects.
func NewPlatform() *Platform {
	return &Platform{objects: make(map[string]foxtailwharf.Object), changed: make(chan struct{})}
}

// SetFaults sets the switches.
func (p *Platform) SetFaults(faults PlatformFaults) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.faults = faults
	p.signal()
}

// SetList sets the instance list, which readers see after its lag.
func (p *Platform) SetList(rows []storer.ListedInstance) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.list = append(p.list, listed{rows: rows, at: time.Now()})
}

// Calls returns what was asked so far.
func (p *Platform) Calls() Calls {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.calls
}

func (p *Platform) signal() {
	close(p.changed)
	p.changed = make(chan struct{})
}

// ServeHTTP answers the platform's protocol.
func (p *Platform) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	p.mu.Lock()
	latency, isDown := p.faults.Latency, p.faults.IsDown
	p.mu.Unlock()
	time.Sleep(latency)
	kind, name, _ := strings.Cut(strings.TrimPrefix(r.URL.Path, storer.PathObjects), "/")
	switch {
	case isDown:
		http.Error(w, "down", http.StatusServiceUnavailable)
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
	for _, l := range p.list {
		if time.Since(l.at) >= p.faults.ListLag {
			rows = l.rows
		}
	}
	reply(w, rows)
}

func reply(w http.ResponseWriter, value any) {
	w.Header().Set("Content-Type", "application/json")
	// A reader that went away needs no answer.
	_ = json.NewEncoder(w).Encode(value)
}

func (p *Platform) serveRead(w http.ResponseWriter, kind, name string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.calls.Reads++
	o, isThere := p.objects[kind+"/"+name]
	if !isThere {
		http.Error(w, "not found", http.StatusNotFound)
		return
	}
	reply(w, o)
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
		http.Error(w, "changed", http.StatusPreconditionFailed)
	case p.faults.LoseAnswers > 0:
		p.faults.LoseAnswers--
		http.Error(w, "timeout", http.StatusGatewayTimeout)
	default:
		reply(w, o)
	}
}

// write makes a conditional write.
func (p *Platform) write(header http.Header, kind, name string, value []byte) (foxtailwharf.Object, bool) {
	old, isThere := p.objects[kind+"/"+name]
	if header.Get("If-None-Match") == "*" && isThere {
		return old, false
	}
	if match := header.Get("If-Match"); match != "" && match != strconv.FormatUint(old.Version, 10) {
		return old, false
	}
	p.version++
	o := foxtailwharf.Object{Kind: kind, Name: name, Version: p.version, Value: value}
	p.objects[kind+"/"+name] = o
	p.signal()
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
	timer := time.NewTimer(maxWatch)
	defer timer.Stop()
	for {
		changes, changed, isDown := p.since(kind, after)
		if isDown {
			http.Error(w, "down", http.StatusServiceUnavailable)
			return
		}
		if len(changes.Objects) > 0 || after == 0 {
			reply(w, changes)
			return
		}
		select {
		case <-changed:
		case <-timer.C:
			reply(w, changes)
			return
		case <-ctx.Done():
			return
		}
	}
}

func (p *Platform) since(kind string, after uint64) (changes storer.Changes, changed <-chan struct{}, isDown bool) {
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
