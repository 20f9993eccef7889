// Package watcher brings documents from the platform's store into a process and
// writes back their status. Two entries of each failure domain watch; the others
// learn from their peers.
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
	"github.com/foxtailwharf/foxtailwharf/internal/process/keeper"
	"github.com/foxtailwharf/foxtailwharf/internal/process/pauser"
)

// Constants of the watch.
const (
	// watchersPerDomain is the number of entries in a failure domain that watch.
	watchersPerDomain = 2
	// retryPause is the pause after a failed watch.
	retryPause = time.Second
	// statusInterval is the least time between two writes of status by a process.
	statusInterval = 5 * time.Second
)

// Config holds the settings of a Watcher.
type Config struct {
	Store  foxtailwharf.ObjectStore
	Keeper *keeper.Keeper
	Self   foxtailwharf.Instance
	// Entries returns the live entries.
	Entries func() []foxtailwharf.Instance
	Log     *zap.Logger
}

// watch reads the documents of one kind.
type watch struct {
	c     Config
	kind  string
	after uint64
	done  chan struct{}
}

// Watcher holds the watches of one process.
type Watcher struct {
	c    Config
	done chan struct{}
}

// New returns a watcher that has not started.
func New(c Config) *Watcher {
	return &Watcher{c: c, done: make(chan struct{})}
}

// Done is closed when all duties have ended.
func (w *Watcher) Done() <-chan struct{} {
	return w.done
}

// Start begins the watches; they end with the context.
func (w *Watcher) Start(ctx context.Context) {
	services := &watch{c: w.c, kind: foxtailwharf.KindService, done: make(chan struct{})}
	agreements := &watch{c: w.c, kind: foxtailwharf.KindAgreement, done: make(chan struct{})}
	go services.run(ctx)
	go agreements.run(ctx)
	go w.run(ctx, services.done, agreements.done)
}

// run writes status until the context ends.
func (w *Watcher) run(ctx context.Context, parts ...chan struct{}) {
	defer close(w.done)
	written := make(map[foxtailwharf.DocumentID]uint64)
	for pauser.Sleep(ctx, statusInterval) {
		if isWatcher(w.c) {
			w.writeStatuses(ctx, written)
		}
	}
	for _, part := range parts {
		<-part
	}
}

// isWatcher reports whether this process is one of its domain's watchers. Views
// may differ: then there is a watcher more or less for a while, which harms
// nothing.
func isWatcher(c Config) bool {
	better := 0
	own := foxtailwharf.Score("watch", c.Self.Name)
	for _, e := range c.Entries() {
		isRival := e.FailureDomain == c.Self.FailureDomain && e.Name != c.Self.Name && !e.IsLeaving
		if isRival && foxtailwharf.Score("watch", e.Name) > own {
			better++
		}
	}
	return better < watchersPerDomain
}

// run watches one kind. Every process reads once at its start, so that it does
// not depend on its peers for that.
func (w *watch) run(ctx context.Context) {
	defer close(w.done)
	for ctx.Err() == nil {
		if w.after > 0 && !isWatcher(w.c) {
			pauser.Sleep(ctx, retryPause)
			continue
		}
		if err := w.read(ctx); err != nil {
			w.c.Log.Debug("documents: The store is not to be had.", zap.String("Kind", w.kind), zap.Error(err))
			pauser.Sleep(ctx, retryPause)
		}
	}
}

// read takes in the changes since the last look, or waits for one.
func (w *watch) read(ctx context.Context) error {
	objects, version, err := w.c.Store.Changes(ctx, w.kind, w.after)
	if err != nil {
		return err
	}
	for _, o := range objects {
		w.take(o)
	}
	// A store that was restored from a copy may have gone back: start over, for
	// revisions are compared document by document anyway.
	if version < w.after {
		version = 0
	}
	if version == 0 {
		pauser.Sleep(ctx, retryPause)
	}
	w.after = version
	return nil
}

func (w *watch) take(o foxtailwharf.Object) {
	d, err := foxtailwharf.DecodeDocument(o.Value)
	if err != nil {
		w.c.Log.Warn("documents: The store has an unreadable object.", zap.String("Kind", o.Kind), zap.String("Name", o.Name), zap.Error(err))
		return
	}
	if d.ID.Kind != o.Kind || d.ID.Name != o.Name {
		w.c.Log.Warn("documents: An object holds another's document.", zap.String("Kind", o.Kind), zap.String("Name", o.Name))
		return
	}
	if w.c.Keeper.Accept(d) {
		w.c.Log.Info("documents: Accepted a revision from the store.", zap.String("Kind", o.Kind), zap.String("Name", o.Name), zap.Uint64("Revision", d.Revision))
	}
}

// Status is the object that tells operators what became of a document.
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

// writeStatuses writes the status of the documents that changed. One process
// writes for each document, the first by rendezvous, so that writes do not grow
// with the fleet.
func (w *Watcher) writeStatuses(ctx context.Context, written map[foxtailwharf.DocumentID]uint64) {
	for _, s := range w.c.Keeper.Statuses() {
		if written[s.ID] >= s.Revision || !w.isWriter(s.ID) {
			continue
		}
		if err := w.writeStatus(ctx, s); err != nil {
			w.c.Log.Debug("documents: The status was not written.", zap.String("Name", s.ID.Name), zap.Error(err))
			continue
		}
		written[s.ID] = s.Revision
	}
}

func (w *Watcher) isWriter(id foxtailwharf.DocumentID) bool {
	entries := w.c.Entries()
	if len(entries) == 0 {
		return true
	}
	key := id.Kind + "/" + id.Name
	best := slices.MaxFunc(entries, func(a, b foxtailwharf.Instance) int {
		return cmp.Compare(foxtailwharf.Score(key, a.Name), foxtailwharf.Score(key, b.Name))
	})
	return best.Name == w.c.Self.Name
}

func (w *Watcher) writeStatus(ctx context.Context, s keeper.Status) error {
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
	var known Status
	if json.Unmarshal(old.Value, &known) == nil && known.Revision >= s.Revision {
		return nil
	}
	object.Version = old.Version
	_, err = w.c.Store.Update(ctx, object)
	return err
}
