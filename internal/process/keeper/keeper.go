// Package keeper holds a process's documents. For each document the highest
// revision wins and none ever steps back; an invalid one never replaces a valid
// one. It does no I/O and holds no clock, and is safe for use by many goroutines.
package keeper

import (
	"cmp"
	"encoding/json"
	"slices"
	"sync"

	"github.com/foxtailwharf/foxtailwharf"
	"github.com/foxtailwharf/foxtailwharf/internal/process/checker"
	"github.com/foxtailwharf/foxtailwharf/wire"
)

// Keeper holds the documents of one process.
type Keeper struct {
	mu        sync.RWMutex
	documents map[foxtailwharf.DocumentID]foxtailwharf.Document // highest revision seen, valid or not
	services  map[string]*foxtailwharf.Service
	inForce   map[foxtailwharf.DocumentID]uint64
	callers   map[string]Grant // by digest of the bearer key
	grants    map[foxtailwharf.Identity]Grant
	faults    map[foxtailwharf.DocumentID]string
	changed   chan struct{}
}

// Grant is what a caller may take.
type Grant struct {
	Identity foxtailwharf.Identity
	Member   foxtailwharf.Limit
	Account  foxtailwharf.Limit
	Caller   foxtailwharf.Limit
}

// Status is what a process knows of one document.
type Status struct {
	ID       foxtailwharf.DocumentID
	Revision uint64 // highest revision seen
	InForce  uint64 // highest valid revision
	Faults   string // of the highest revision seen
}

// New returns an empty keeper.
func New() *Keeper {
	return &Keeper{
		documents: make(map[foxtailwharf.DocumentID]foxtailwharf.Document),
		services:  make(map[string]*foxtailwharf.Service),
		inForce:   make(map[foxtailwharf.DocumentID]uint64),
		callers:   make(map[string]Grant),
		faults:    make(map[foxtailwharf.DocumentID]string),
		changed:   make(chan struct{}),
	}
}

// Accept takes in a document if its revision is higher than the known one, and
// reports whether it did. An invalid document is passed on to others and
// reported, but the valid one before it stays in force.
func (k *Keeper) Accept(d foxtailwharf.Document) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	if d.Revision <= k.documents[d.ID].Revision {
		return false
	}
	k.documents[d.ID] = d
	delete(k.faults, d.ID)
	if err := k.apply(d); err != nil {
		k.faults[d.ID] = err.Error()
	}
	close(k.changed)
	k.changed = make(chan struct{})
	return true
}

// apply puts a document in force.
func (k *Keeper) apply(d foxtailwharf.Document) error {
	if d.IsDeleted {
		k.remove(d.ID)
		k.inForce[d.ID] = d.Revision
		return nil
	}
	switch d.ID.Kind {
	case foxtailwharf.KindService:
		service, err := checker.Service([]byte(d.Body))
		if err != nil {
			return err
		}
		k.services[d.ID.Name] = &service
	case foxtailwharf.KindAgreement:
		agreement, err := checker.Agreement([]byte(d.Body))
		if err != nil {
			return err
		}
		k.setGrants(&agreement)
	}
	k.inForce[d.ID] = d.Revision
	return nil
}

func (k *Keeper) remove(id foxtailwharf.DocumentID) {
	switch id.Kind {
	case foxtailwharf.KindService:
		delete(k.services, id.Name)
	case foxtailwharf.KindAgreement:
		k.setGrants(&foxtailwharf.Agreement{})
	}
}

// setGrants indexes an agreement by key and by name.
func (k *Keeper) setGrants(a *foxtailwharf.Agreement) {
	k.callers = make(map[string]Grant)
	k.grants = make(map[foxtailwharf.Identity]Grant)
	for _, member := range a.Members {
		for _, account := range member.Accounts {
			for _, caller := range account.Callers {
				grant := Grant{
					Identity: foxtailwharf.Identity{Member: member.Name, Account: account.Name, Caller: caller.Name},
					Member:   member.Limit,
					Account:  account.Limit,
					Caller:   caller.Limit,
				}
				k.callers[caller.KeyDigest] = grant
				k.grants[grant.Identity] = grant
			}
		}
	}
}

// Changed returns a channel that is closed at the next change.
func (k *Keeper) Changed() <-chan struct{} {
	k.mu.RLock()
	defer k.mu.RUnlock()
	return k.changed
}

// Service returns the service in force under a name.
func (k *Keeper) Service(name string) (*foxtailwharf.Service, bool) {
	k.mu.RLock()
	defer k.mu.RUnlock()
	s, isKnown := k.services[name]
	return s, isKnown
}

// RouteOfModel returns the service and route that serve a model name.
func (k *Keeper) RouteOfModel(model string) (*foxtailwharf.Service, *foxtailwharf.Route) {
	k.mu.RLock()
	defer k.mu.RUnlock()
	// Two services may claim one model name; the first by name has it in every process.
	var found *foxtailwharf.Service
	var route *foxtailwharf.Route
	for _, s := range k.services {
		for i := range s.Routes {
			if s.Routes[i].Model == model && (found == nil || s.Name < found.Name) {
				found, route = s, &s.Routes[i]
			}
		}
	}
	return found, route
}

// Authenticate returns what the holder of a bearer key may take. The key is
// hashed before the look-up, so that the time taken tells nothing of other keys.
func (k *Keeper) Authenticate(key string) (Grant, bool) {
	digest := foxtailwharf.Digest([]byte(key))
	k.mu.RLock()
	defer k.mu.RUnlock()
	grant, isKnown := k.callers[digest]
	return grant, isKnown
}

// GrantOf returns what a caller may take, by its name.
func (k *Keeper) GrantOf(identity foxtailwharf.Identity) (Grant, bool) {
	k.mu.RLock()
	defer k.mu.RUnlock()
	grant, isKnown := k.grants[identity]
	return grant, isKnown
}

// Revisions returns the highest revision of each document.
func (k *Keeper) Revisions() []wire.DocumentRevision {
	k.mu.RLock()
	defer k.mu.RUnlock()
	revisions := make([]wire.DocumentRevision, 0, len(k.documents))
	for id, d := range k.documents {
		revisions = append(revisions, wire.DocumentRevision{Kind: id.Kind, Name: id.Name, Revision: d.Revision})
	}
	slices.SortFunc(revisions, func(a, b wire.DocumentRevision) int {
		return cmp.Or(cmp.Compare(a.Kind, b.Kind), cmp.Compare(a.Name, b.Name))
	})
	return revisions
}

// DigestOf returns the digest of revisions, by which two processes see at once that
// they have the same.
func DigestOf(revisions []wire.DocumentRevision) string {
	text, _ := json.Marshal(revisions) // revisions are of strings and numbers and always encode
	return foxtailwharf.Digest(text)
}

// Missing returns the documents that are newer here than in a peer's revisions.
func (k *Keeper) Missing(revisions []wire.DocumentRevision) (missing []foxtailwharf.Document) {
	known := make(map[foxtailwharf.DocumentID]uint64, len(revisions))
	for _, r := range revisions {
		known[foxtailwharf.DocumentID{Kind: r.Kind, Name: r.Name}] = r.Revision
	}
	k.mu.RLock()
	defer k.mu.RUnlock()
	for id, d := range k.documents {
		if d.Revision > known[id] {
			missing = append(missing, d)
		}
	}
	return missing
}

// Statuses returns what is known of each document, by kind and name.
func (k *Keeper) Statuses() (statuses []Status) {
	k.mu.RLock()
	defer k.mu.RUnlock()
	for id, d := range k.documents {
		statuses = append(statuses, Status{ID: id, Revision: d.Revision, InForce: k.inForce[id], Faults: k.faults[id]})
	}
	slices.SortFunc(statuses, func(a, b Status) int {
		return cmp.Or(cmp.Compare(a.ID.Kind, b.ID.Kind), cmp.Compare(a.ID.Name, b.ID.Name))
	})
	return statuses
}
