// Package registrar holds the documents of a process. For each document the highest revision wins,
// and an invalid revision never replaces a valid one. The package does no I/O and reads no clock;
// a Registrar is safe for concurrent use.
package registrar

import (
	"cmp"
	"encoding/json"
	"slices"
	"sync"

	"github.com/foxtailwharf/foxtailwharf"
	"github.com/foxtailwharf/foxtailwharf/internal/process/checker"
	"github.com/foxtailwharf/foxtailwharf/wire"
)

// Registrar holds the documents of one process, with indexes of the services and callers in force.
type Registrar struct {
	mu        sync.RWMutex
	documents map[foxtailwharf.DocumentID]foxtailwharf.Document // highest revision received, valid or not
	services  map[string]*foxtailwharf.Service
	inForce   map[foxtailwharf.DocumentID]uint64
	callers   map[string]Grant // by digest of the bearer key
	grants    map[foxtailwharf.Identity]Grant
	faults    map[foxtailwharf.DocumentID]string
	changed   chan struct{}
}

// Grant is a caller's identity and the limits that apply to it.
type Grant struct {
	Identity foxtailwharf.Identity
	Member   foxtailwharf.Limit
	Account  foxtailwharf.Limit
	Caller   foxtailwharf.Limit
}

// Status describes the revisions of one document.
type Status struct {
	ID       foxtailwharf.DocumentID
	Revision uint64 // highest revision received
	InForce  uint64 // revision in force, the highest valid one; 0 for none
	Faults   string // validation errors of Revision; empty if it is valid
}

// New returns a registrar without documents.
func New() *Registrar {
	return &Registrar{
		documents: make(map[foxtailwharf.DocumentID]foxtailwharf.Document),
		services:  make(map[string]*foxtailwharf.Service),
		inForce:   make(map[foxtailwharf.DocumentID]uint64),
		callers:   make(map[string]Grant),
		faults:    make(map[foxtailwharf.DocumentID]string),
		changed:   make(chan struct{}),
	}
}

// Accept stores a document if its revision is higher than the known one, and reports whether it
// did. An invalid document is stored too, so that peers get it and Statuses reports it, but the
// last valid revision stays in force.
func (r *Registrar) Accept(d foxtailwharf.Document) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if d.Revision <= r.documents[d.ID].Revision {
		return false
	}
	r.documents[d.ID] = d
	delete(r.faults, d.ID)
	if err := r.apply(d); err != nil {
		r.faults[d.ID] = err.Error()
	}
	close(r.changed)
	r.changed = make(chan struct{})
	return true
}

// apply validates a document and puts it in force. The lock must be held.
func (r *Registrar) apply(d foxtailwharf.Document) error {
	if d.IsDeleted {
		r.remove(d.ID)
		r.inForce[d.ID] = d.Revision
		return nil
	}
	switch d.ID.Kind {
	case foxtailwharf.KindService:
		service, err := checker.Service([]byte(d.Body))
		if err != nil {
			return err
		}
		r.services[d.ID.Name] = &service
	case foxtailwharf.KindAgreement:
		agreement, err := checker.Agreement([]byte(d.Body))
		if err != nil {
			return err
		}
		r.setGrants(&agreement)
	}
	r.inForce[d.ID] = d.Revision
	return nil
}

func (r *Registrar) remove(id foxtailwharf.DocumentID) {
	switch id.Kind {
	case foxtailwharf.KindService:
		delete(r.services, id.Name)
	case foxtailwharf.KindAgreement:
		r.setGrants(&foxtailwharf.Agreement{})
	}
}

// setGrants replaces the grants by those of an agreement, indexed by key digest and by identity.
func (r *Registrar) setGrants(a *foxtailwharf.Agreement) {
	r.callers = make(map[string]Grant)
	r.grants = make(map[foxtailwharf.Identity]Grant)
	for _, member := range a.Members {
		for _, account := range member.Accounts {
			for _, caller := range account.Callers {
				grant := Grant{
					Identity: foxtailwharf.Identity{Member: member.Name, Account: account.Name, Caller: caller.Name},
					Member:   member.Limit,
					Account:  account.Limit,
					Caller:   caller.Limit,
				}
				r.callers[caller.KeyDigest] = grant
				r.grants[grant.Identity] = grant
			}
		}
	}
}

// Changed returns a channel that is closed when Accept next stores a document.
func (r *Registrar) Changed() <-chan struct{} {
	r.mu.RLock()
	defer r.mu.RUnlock()
	return r.changed
}

// Service returns the service in force with a name. The caller must not modify it.
func (r *Registrar) Service(name string) (*foxtailwharf.Service, bool) {
	r.mu.RLock()
	defer r.mu.RUnlock()
	s, isKnown := r.services[name]
	return s, isKnown
}

// RouteOfModel returns the service and route that serve a model, or nil for both.
func (r *Registrar) RouteOfModel(model string) (*foxtailwharf.Service, *foxtailwharf.Route) {
	r.mu.RLock()
	defer r.mu.RUnlock()
	// If two services claim a model, the first by name serves it, so that all processes agree.
	var found *foxtailwharf.Service
	var route *foxtailwharf.Route
	for _, s := range r.services {
		for i := range s.Routes {
			if s.Routes[i].Model == model && (found == nil || s.Name < found.Name) {
				found, route = s, &s.Routes[i]
			}
		}
	}
	return found, route
}

// Authenticate returns the grant of a bearer key's holder, and false for an unknown key. The key
// is hashed before the lookup, so that timing reveals nothing about other keys.
func (r *Registrar) Authenticate(key string) (Grant, bool) {
	digest := foxtailwharf.Digest([]byte(key))
	r.mu.RLock()
	defer r.mu.RUnlock()
	grant, isKnown := r.callers[digest]
	return grant, isKnown
}

// GrantByIdentity returns the grant of a caller by its identity, and false for an unknown one.
func (r *Registrar) GrantByIdentity(identity foxtailwharf.Identity) (Grant, bool) {
	r.mu.RLock()
	defer r.mu.RUnlock()
	grant, isKnown := r.grants[identity]
	return grant, isKnown
}

// Revisions returns the highest revision of each document, sorted by kind and name.
func (r *Registrar) Revisions() []wire.DocumentRevision {
	r.mu.RLock()
	defer r.mu.RUnlock()
	revisions := make([]wire.DocumentRevision, 0, len(r.documents))
	for id, d := range r.documents {
		revisions = append(revisions, wire.DocumentRevision{Kind: id.Kind, Name: id.Name, Revision: d.Revision})
	}
	slices.SortFunc(revisions, func(a, b wire.DocumentRevision) int {
		return cmp.Or(cmp.Compare(a.Kind, b.Kind), cmp.Compare(a.Name, b.Name))
	})
	return revisions
}

// DigestRevisions returns a digest of revisions, by which two processes detect that they have
// the same documents. The revisions must be sorted as Revisions returns them.
func DigestRevisions(revisions []wire.DocumentRevision) string {
	text, _ := json.Marshal(revisions) // strings and numbers always encode
	return foxtailwharf.Digest(text)
}

// NewerThan returns the documents that are newer here than in a peer's revisions.
func (r *Registrar) NewerThan(revisions []wire.DocumentRevision) (newer []foxtailwharf.Document) {
	known := make(map[foxtailwharf.DocumentID]uint64, len(revisions))
	for _, v := range revisions {
		known[foxtailwharf.DocumentID{Kind: v.Kind, Name: v.Name}] = v.Revision
	}
	r.mu.RLock()
	defer r.mu.RUnlock()
	for id, d := range r.documents {
		if d.Revision > known[id] {
			newer = append(newer, d)
		}
	}
	return newer
}

// Statuses returns the status of each document, sorted by kind and name.
func (r *Registrar) Statuses() (statuses []Status) {
	r.mu.RLock()
	defer r.mu.RUnlock()
	for id, d := range r.documents {
		statuses = append(statuses, Status{ID: id, Revision: d.Revision, InForce: r.inForce[id], Faults: r.faults[id]})
	}
	slices.SortFunc(statuses, func(a, b Status) int {
		return cmp.Or(cmp.Compare(a.ID.Kind, b.ID.Kind), cmp.Compare(a.ID.Name, b.ID.Name))
	})
	return statuses
}
