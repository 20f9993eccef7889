package main

import (
	"io"
	"net/http"
	"sync"
	"time"
)

// run is a request that a runner has begun to run.
type run struct {
	id, tenant, runner, path string
	at                       time.Time
}

// plain stands in for a runner of a plain service. It runs slots requests at a time, queues as many more, and rejects the
// others.
type plain struct {
	r       *rig
	id      string
	born    time.Time
	work    time.Duration
	places  chan struct{} // of all requests that are accepted
	slots   chan struct{} // of those that run
	isQuiet bool          // does not record each run

	mu   sync.Mutex
	runs []run
}

const plainSlots = 6

func newPlain(r *rig, id string) *plain {
	return &plain{
		r: r, id: id, born: time.Now(), work: 30 * time.Millisecond,
		places: make(chan struct{}, 2*plainSlots), slots: make(chan struct{}, plainSlots),
	}
}

// ServeHTTP runs a request, unless it is for another runner or all places are taken.
func (p *plain) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		return
	}
	id := r.Header.Get("Foxtailwharf-Request-Id")
	w.Header().Set("Foxtailwharf-Request-Id", id)
	w.Header().Set("Foxtailwharf-Instance-Id", p.id)
	if r.URL.Path == "/health" {
		return
	}
	if r.Header.Get("Foxtailwharf-Expect-Instance") != p.id {
		reject(w, http.StatusMisdirectedRequest)
		return
	}
	select {
	case p.places <- struct{}{}:
		defer func() { <-p.places }()
	default:
		reject(w, http.StatusServiceUnavailable)
		return
	}
	p.slots <- struct{}{}
	defer func() { <-p.slots }()
	if r.Context().Err() != nil {
		return
	}
	p.note(id, r)
	time.Sleep(p.work)
	w.Header().Set("Foxtailwharf-Response-Signature", "s-"+id)
	_, _ = io.WriteString(w, "done "+id)
}

func reject(w http.ResponseWriter, status int) {
	w.Header().Set("Foxtailwharf-Not-Executed", "1")
	w.WriteHeader(status)
}

// note records that a request begins to run.
func (p *plain) note(id string, r *http.Request) {
	if p.isQuiet {
		return
	}
	tenant := r.Header.Get("Foxtailwharf-Tenant")
	p.mu.Lock()
	p.runs = append(p.runs, run{id: id, tenant: tenant, runner: p.id, path: r.URL.Path, at: time.Now()})
	p.mu.Unlock()
	p.r.log("%s runs %s for tenant %q", p.id, id, tenant)
}

// taken returns the runs so far.
func (p *plain) taken() []run {
	p.mu.Lock()
	defer p.mu.Unlock()
	return append([]run(nil), p.runs...)
}

// register writes the runner's entry of the store's list.
func (r *rig) register(p *plain, n int) {
	r.store.put("servers", p.id, map[string]any{
		"service": "booking", "address": r.address(subnetPlain, n, appOffset), "zone": zones[n%len(zones)], "version": "v1",
		"slots": plainSlots, "state": "ready", "cold-left-ms": 0, "sequence": 1, "born": p.born.UnixMilli(),
	})
}
