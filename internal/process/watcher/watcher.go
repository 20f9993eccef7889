// Package watcher copies documents from the platform's store into a process and writes their
// status back. Two entries of each failure domain watch the store; the others get documents from
// their peers.
package watcher

import (
	"cmp"
	"context"
	"encoding/json"
	"slices"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"github.com/foxtailwharf/foxtailwharf"
	"github.com/foxtailwharf/foxtailwharf/internal/process/registrar"
	"github.com/foxtailwharf/foxtailwharf/internal/process/sleeper"
)

const (
	// watchersPerDomain is the number of entries per failure domain that watch the store.
	watchersPerDomain = 2
	// retryDelay is the delay after a failed read, between checks whether this process should
	// watch, and before reading all objects again from version 0.
	retryDelay = time.Second
	// statusInterval is the minimum time between two writes of statuses by a process.
	statusInterval = 5 * time.Second
	// lostInterval is the time between two checks whether the store still has the documents.
	lostInterval = 30 * time.Second
)

// Config holds the settings and dependencies of a Watcher.
type Config struct {
	Store     foxtailwharf.ObjectStore
	Registrar *registrar.Registrar
	Self      foxtailwharf.Instance
	// Entries returns the live entries.
	Entries func() []foxtailwharf.Instance
	Log     *zap.Logger
}

// kindWatch watches the documents of one kind.
type kindWatch struct {
	c     Config
	kind  string
	after uint64 // version of the store up to which changes were read
	done  chan struct{}
}

// Watcher watches the documents of all kinds for one process.
type Watcher struct {
	c    Config
	done chan struct{}
}

// New returns a watcher. It does nothing until Start.
func New(c Config) *Watcher {
	return &Watcher{c: c, done: make(chan struct{})}
}

// Done returns a channel that is closed when all watches have ended.
func (w *Watcher) Done() <-chan struct{} {
	return w.done
}

// Start starts the watches; they end when the context ends.
func (w *Watcher) Start(ctx context.Context) {
	services := &kindWatch{c: w.c, kind: foxtailwharf.KindService, done: make(chan struct{})}
	agreements := &kindWatch{c: w.c, kind: foxtailwharf.KindAgreement, done: make(chan struct{})}
	go services.run(ctx)
	go agreements.run(ctx)
	go w.run(ctx, services.done, agreements.done)
}

// run writes statuses until the context ends, and then waits for the watches.
func (w *Watcher) run(ctx context.Context, watches ...chan struct{}) {
	defer close(w.done)
	written := make(map[foxtailwharf.DocumentID]uint64)
	checkedAt := time.Now()
	for sleeper.Sleep(ctx, statusInterval) {
		candidates := watchers(w.c)
		w.writeStatuses(ctx, candidates, written)
		if time.Since(checkedAt) >= lostInterval {
			checkedAt = time.Now()
			w.writeLost(ctx, candidates)
		}
	}
	for _, watchDone := range watches {
		<-watchDone
	}
}

// watchers returns the names of the entries that watch the store: some of each failure domain, chosen by
// rendezvous hashing among those that are not leaving. While processes disagree on the live entries there
// may be a watcher more or fewer, which is harmless.
func watchers(c Config) (names []string) {
	score := func(e foxtailwharf.Instance) uint64 { return foxtailwharf.RendezvousScore("watch", e.Name) }
	entries := []foxtailwharf.Instance{c.Self}
	for _, e := range c.Entries() {
		if !e.IsLeaving && e.Name != c.Self.Name {
			entries = append(entries, e)
		}
	}
	slices.SortFunc(entries, func(a, b foxtailwharf.Instance) int { return cmp.Compare(score(b), score(a)) })
	chosen := make(map[string]int) // by failure domain
	for _, e := range entries {
		if chosen[e.FailureDomain] < watchersPerDomain {
			chosen[e.FailureDomain]++
			names = append(names, e.Name)
		}
	}
	return names
}

// isWatcher reports whether this process is one of the watchers of its failure domain.
func isWatcher(c Config) bool {
	return slices.Contains(watchers(c), c.Self.Name)
}

// run watches one kind. Every process reads the store once at its start, so that the first
// documents do not depend on its peers.
func (w *kindWatch) run(ctx context.Context) {
	defer close(w.done)
	for ctx.Err() == nil {
		if w.after > 0 && !isWatcher(w.c) {
			sleeper.Sleep(ctx, retryDelay)
			continue
		}
		if err := w.readChanges(ctx); err != nil {
			w.c.Log.Debug("documents: store is unavailable; retrying", zap.String("Kind", w.kind), zap.Error(err))
			sleeper.Sleep(ctx, retryDelay)
		}
	}
}

// readChanges accepts the changes since the last read, waiting for one if there are none.
func (w *kindWatch) readChanges(ctx context.Context) error {
	objects, version, err := w.c.Store.Changes(ctx, w.kind, w.after)
	if err != nil {
		return err
	}
	for _, o := range objects {
		w.acceptObject(o)
	}
	// A store restored from a backup may have gone back to a lower version. Start over then, which
	// is safe because the registrar compares revisions per document.
	if version < w.after {
		version = 0
	}
	if version == 0 {
		sleeper.Sleep(ctx, retryDelay)
	}
	w.after = version
	return nil
}

func (w *kindWatch) acceptObject(o foxtailwharf.Object) {
	d, err := foxtailwharf.DecodeDocument(o.Value)
	if err != nil {
		w.c.Log.Warn("documents: ignored an object that is not a valid document", zap.String("Kind", o.Kind), zap.String("Name", o.Name), zap.Error(err))
		return
	}
	if d.ID.Kind != o.Kind || d.ID.Name != o.Name {
		w.c.Log.Warn("documents: ignored an object whose document has another kind or name", zap.String("Kind", o.Kind), zap.String("Name", o.Name))
		return
	}
	if w.c.Registrar.Accept(d) {
		w.c.Log.Info("documents: accepted a revision from the store", zap.String("Kind", o.Kind), zap.String("Name", o.Name), zap.Uint64("Revision", d.Revision))
	}
}

// Status is the object in the platform's store that tells operators whether a revision is in
// force.
type Status struct {
	Kind     string
	Name     string
	Revision uint64
	InForce  uint64
	Faults   string
	Writer   string
}

// StatusName returns the name of the object that holds a document's status.
func StatusName(id foxtailwharf.DocumentID) string {
	return id.Kind + "." + id.Name
}

// writeStatuses writes the statuses of documents that changed since the last write. One process writes
// for each document, so that the number of writes does not grow with the fleet: the watcher that
// rendezvous hashing chooses among all candidates, which are the watchers.
func (w *Watcher) writeStatuses(ctx context.Context, candidates []string, written map[foxtailwharf.DocumentID]uint64) {
	for _, s := range w.c.Registrar.Statuses() {
		if written[s.ID] >= s.Revision || writer(candidates, s.ID) != w.c.Self.Name {
			continue
		}
		if err := w.writeStatus(ctx, s); err != nil {
			w.c.Log.Debug("documents: failed to write the status; retrying", zap.String("Name", s.ID.Name), zap.Error(err))
			continue
		}
		written[s.ID] = s.Revision
	}
}

// writeLost writes documents again that the store has lost, since it has come back from an older copy. Otherwise an
// operator's next write would get a revision that processes already hold with another text.
func (w *Watcher) writeLost(ctx context.Context, candidates []string) {
	for _, d := range w.c.Registrar.NewerThan(nil) {
		if writer(candidates, d.ID) != w.c.Self.Name {
			continue
		}
		if err := w.writeIfLost(ctx, d); err != nil {
			w.c.Log.Debug("documents: failed to check whether the store has a revision", zap.String("Name", d.ID.Name), zap.Error(err))
		}
	}
}

// writeIfLost writes a document if the store has an older revision or none. If the store has given out the revision
// twice, the second write becomes the next revision. The write is conditional: an operator who writes at the same
// time wins.
func (w *Watcher) writeIfLost(ctx context.Context, d foxtailwharf.Document) error {
	old, err := w.c.Store.Get(ctx, d.ID.Kind, d.ID.Name)
	isMissing := errors.Is(err, foxtailwharf.ErrNotFound)
	if err != nil && !isMissing {
		return err
	}
	if !isMissing {
		stored, err := foxtailwharf.DecodeDocument(old.Value)
		switch {
		case err != nil:
			return err
		case stored.Revision > d.Revision || stored.WriteID == d.WriteID:
			return nil
		case stored.Revision == d.Revision:
			d = stored
			d.Revision++
		}
	}
	value, err := d.Encode()
	if err != nil {
		return err
	}
	object := foxtailwharf.Object{Kind: d.ID.Kind, Name: d.ID.Name, Version: old.Version, Value: value}
	if isMissing {
		_, err = w.c.Store.Create(ctx, object)
	} else {
		_, err = w.c.Store.Update(ctx, object)
	}
	w.c.Log.Warn("documents: the store had lost a revision, which is written again", zap.String("Kind", d.ID.Kind),
		zap.String("Name", d.ID.Name), zap.Uint64("Revision", d.Revision), zap.Error(err))
	return err
}

// writer returns the watcher that writes the status of a document.
func writer(candidates []string, id foxtailwharf.DocumentID) string {
	key := id.Kind + "/" + id.Name
	return slices.MaxFunc(candidates, func(a, b string) int {
		return cmp.Compare(foxtailwharf.RendezvousScore(key, a), foxtailwharf.RendezvousScore(key, b))
	})
}

func (w *Watcher) writeStatus(ctx context.Context, s registrar.Status) error {
	value, err := json.Marshal(Status{
		Kind: s.ID.Kind, Name: s.ID.Name, Revision: s.Revision, InForce: s.InForce, Faults: s.Faults, Writer: w.c.Self.Name,
	})
	if err != nil {
		return errors.Wrap(err, "Watcher.writeStatus")
	}
	name := StatusName(s.ID)
	object := foxtailwharf.Object{Kind: foxtailwharf.KindStatus, Name: name, Value: value}
	var old foxtailwharf.Object
	if old, err = w.c.Store.Get(ctx, foxtailwharf.KindStatus, name); errors.Is(err, foxtailwharf.ErrNotFound) {
		_, err = w.c.Store.Create(ctx, object)
		return err
	}
	if err != nil {
		return err
	}
	var stored Status
	if json.Unmarshal(old.Value, &stored) == nil && stored.Revision >= s.Revision {
		return nil
	}
	object.Version = old.Version
	_, err = w.c.Store.Update(ctx, object)
	return err
}
