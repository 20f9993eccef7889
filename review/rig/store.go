package main

import (
	"encoding/json"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// store stands in for the platform's store: lists and watches of objects. Its history is kept whole.
type store struct {
	mu       sync.Mutex
	revision uint64
	era      int
	isAway   bool
	objects  map[string]object // by kind and name
	history  []event
	changed  chan struct{} // closed and replaced at each change
}

// object is an object as the store sends it.
type object struct {
	Metadata metadata        `json:"metadata"`
	Spec     json.RawMessage `json:"spec"`
}

type metadata struct {
	Name     string `json:"name"`
	Revision uint64 `json:"revision"`
}

// event is a change of an object.
type event struct {
	kind     string
	revision uint64
	Object   object `json:"object"`
	Removed  bool   `json:"removed"`
}

// storeCopy is a copy of the store for a drill.
type storeCopy struct {
	revision uint64
	objects  map[string]object
}

func newStore() *store {
	return &store{revision: 10, objects: make(map[string]object), changed: make(chan struct{})}
}

// put writes an object. Its return is the acknowledgement.
func (s *store) put(kind, name string, spec any) {
	text, err := json.Marshal(spec)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	o := object{Metadata: metadata{Name: name, Revision: s.revision}, Spec: text}
	s.objects[kind+"/"+name] = o
	s.history = append(s.history, event{kind: kind, revision: s.revision, Object: o})
	s.wake()
}

// remove removes an object.
func (s *store) remove(kind, name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	o, exists := s.objects[kind+"/"+name]
	if !exists {
		return
	}
	s.revision++
	delete(s.objects, kind+"/"+name)
	s.history = append(s.history, event{kind: kind, revision: s.revision, Object: o, Removed: true})
	s.wake()
}

// wake wakes the watches. The lock must be held.
func (s *store) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *store) copy() storeCopy {
	s.mu.Lock()
	defer s.mu.Unlock()
	c := storeCopy{revision: s.revision, objects: make(map[string]object)}
	for key, o := range s.objects {
		c.objects[key] = o
	}
	return c
}

// leave makes the store answer 503.
func (s *store) leave() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.isAway = true
	s.wake()
}

// restore brings the store back from a copy, in the next era.
func (s *store) restore(c storeCopy) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.isAway, s.revision, s.history = false, c.revision, nil
	s.era++
	s.objects = make(map[string]object)
	for key, o := range c.objects {
		s.objects[key] = o
	}
	s.wake()
}

// ServeHTTP answers lists and watches.
func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	kind, _, _ := strings.Cut(strings.TrimPrefix(r.URL.Path, "/api/objects/"), "/")
	if r.URL.Query().Has("watch") {
		s.watch(w, r, kind)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.refuse(w) {
		return
	}
	items := []object{}
	for key, o := range s.objects {
		if strings.HasPrefix(key, kind+"/") {
			items = append(items, o)
		}
	}
	slices.SortFunc(items, func(a, b object) int { return strings.Compare(a.Metadata.Name, b.Metadata.Name) })
	reply(w, map[string]any{"items": items, "more": false, "store-revision": s.revision})
}

// refuse names the era, and answers 503 if the store is away. The lock must be held.
func (s *store) refuse(w http.ResponseWriter) bool {
	w.Header().Set("Store-Era", strconv.Itoa(s.era))
	if s.isAway {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
	return s.isAway
}

// watch answers with the changes after a revision as soon as there are any, or with none after the wait.
func (s *store) watch(w http.ResponseWriter, r *http.Request, kind string) {
	after, _ := strconv.ParseUint(r.URL.Query().Get("watch"), 10, 64)
	wait, _ := strconv.Atoi(r.URL.Query().Get("wait-ms"))
	timer := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer timer.Stop()
	for isOver := false; ; {
		s.mu.Lock()
		if s.refuse(w) {
			s.mu.Unlock()
			return
		}
		if after > s.revision || (s.era > 0 && len(s.history) == 0 && after < s.revision) {
			s.mu.Unlock()
			w.WriteHeader(http.StatusGone)
			return
		}
		events := []event{}
		for _, e := range s.history {
			if e.kind == kind && e.revision > after {
				events = append(events, e)
			}
		}
		revision, changed := s.revision, s.changed
		s.mu.Unlock()
		if len(events) > 0 || isOver {
			reply(w, map[string]any{"events": events, "store-revision": revision})
			return
		}
		select {
		case <-changed:
		case <-timer.C:
			isOver = true
		case <-r.Context().Done():
			return
		}
	}
}

func reply(w http.ResponseWriter, body any) {
	w.Header().Set("Content-Type", "application/json")
	// A reader that has gone needs no answer.
	_ = json.NewEncoder(w).Encode(body)
}
