// Package loader keeps an engine on the wanted version of the weights: it makes the fetcher
// download the chunks, stages the complete weights while the old version serves, and switches when
// no request is running.
package loader

import (
	"context"
	"encoding/json"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"github.com/foxtailwharf/foxtailwharf"
	"github.com/foxtailwharf/foxtailwharf/internal/process/sleeper"
	"github.com/foxtailwharf/foxtailwharf/internal/request/dispatcher"
	"github.com/foxtailwharf/foxtailwharf/internal/version/fetcher"
	"github.com/foxtailwharf/foxtailwharf/internal/version/holder"
)

const (
	// pollInterval is the longest time between two checks of the engine.
	pollInterval = 500 * time.Millisecond
	// maxReportFailures is the number of consecutive failed reports after which an engine counts
	// as dead.
	maxReportFailures = 3
	// failurePause is the pause after a failed order.
	failurePause = time.Second
	// stageTimeout bounds the transfer of weights to the engine.
	stageTimeout = 10 * time.Minute
	// drainTimeout bounds the wait for running requests before a switch.
	drainTimeout = 2 * time.Minute
)

// Wanted is the version and role that the engine should serve.
type Wanted struct {
	Version string // empty for none
	Role    string
}

// Config holds the settings of a Loader.
type Config struct {
	Instance   string // name of the agent's instance, for the fencing token
	Store      foxtailwharf.ObjectStore
	Engine     foxtailwharf.Engine
	Dispatcher *dispatcher.Dispatcher
	Fetcher    *fetcher.Fetcher
	Holder     *holder.Holder
	// Wanted returns the target that follows from the documents and the placement.
	Wanted func() Wanted
	// OnServing is called with each new version that the engine serves; empty for none.
	OnServing func(version string)
	Log       *zap.Logger
}

// Loader keeps one engine on the wanted version. Its state belongs to the goroutine of Start.
type Loader struct {
	c        Config
	done     chan struct{}
	wake     chan struct{} // capacity 1
	fence    uint64        // 0 until it is acquired
	serving  string        // version that the dispatcher runs requests on; empty while it is suspended
	staged   string        // version that was last transferred to the engine; empty if not known
	role     string
	failures int // consecutive failed reports
	// interrupted is what the engine served when it changed its version without an order of this
	// agent, and unordered the version that it then reported; both are zero once it serves again.
	interrupted Wanted
	unordered   string
}

// New returns a loader that has not started.
func New(c Config) *Loader {
	return &Loader{c: c, done: make(chan struct{}), wake: make(chan struct{}, 1)}
}

// Start runs the loader in the background until ctx is done.
func (l *Loader) Start(ctx context.Context) {
	go l.run(ctx)
}

// Done returns a channel that is closed when the loader has stopped after Start.
func (l *Loader) Done() <-chan struct{} {
	return l.done
}

func (l *Loader) run(ctx context.Context) {
	defer close(l.done)
	for {
		if err := l.step(ctx); err != nil && ctx.Err() == nil {
			l.c.Log.Warn("weights: engine is not on the wanted version", zap.Error(err))
			sleeper.Sleep(ctx, failurePause)
		}
		if !l.wait(ctx) {
			return
		}
	}
}

// Wake makes the loader check the engine at once. It does not block.
func (l *Loader) Wake() {
	select {
	case l.wake <- struct{}{}:
	default:
	}
}

// wait waits until the next check is due. It returns false when ctx is done.
func (l *Loader) wait(ctx context.Context) bool {
	timer := time.NewTimer(pollInterval)
	defer timer.Stop()
	select {
	case <-timer.C:
		return ctx.Err() == nil
	case <-l.wake:
		return ctx.Err() == nil
	case <-ctx.Done():
		return false
	}
}

// step checks the engine once and takes the next action.
func (l *Loader) step(ctx context.Context) error {
	report, err := l.c.Engine.Report(ctx)
	if err != nil {
		l.noteFailure(ctx)
		return nil
	}
	l.failures = 0
	wanted := l.c.Wanted()
	l.adopt(report, wanted)
	if report.Version != l.serving && l.serving != "" {
		// The engine restarted or executed an order of another process.
		l.c.Log.Warn("weights: engine serves another version than ordered", zap.String("Version", report.Version))
		l.interrupted, l.unordered = Wanted{Version: l.serving, Role: l.role}, report.Version
		l.close()
	}
	if l.isHeld(l.interrupted.Version) && !l.isHeld(wanted.Version) {
		if wanted.Version != "" {
			l.c.Fetcher.Want(wanted.Version)
		}
		return l.order(ctx, l.interrupted)
	}
	if l.serving != "" && l.c.Dispatcher.IsPaused() {
		// A failed request paused the dispatcher as if the engine had died, but it is alive.
		l.c.Dispatcher.Resume(l.serving)
	}
	if wanted.Version == "" || (wanted.Version == l.serving && wanted.Role == l.role) {
		return nil
	}
	return l.install(ctx, wanted)
}

// noteFailure suspends the dispatcher once maxReportFailures reports in a row have failed.
func (l *Loader) noteFailure(ctx context.Context) {
	l.failures++
	if l.failures == maxReportFailures && l.serving != "" && ctx.Err() == nil {
		l.c.Log.Warn("weights: engine does not answer")
		l.close()
	}
}

// close takes the engine out of service until it reports a version again.
func (l *Loader) close() {
	l.serving = ""
	l.staged = ""
	l.c.Dispatcher.Suspend()
	l.c.OnServing("")
}

// adopt puts an engine into service that already serves a version when the agent starts, or when
// the engine comes back. A version to which the engine changed without an order is not adopted.
func (l *Loader) adopt(report foxtailwharf.EngineReport, wanted Wanted) {
	isUnordered := report.Version == l.unordered && report.Version != wanted.Version
	if l.serving != "" || report.Version == "" || isUnordered {
		return
	}
	l.open(report.Version, wanted.Role)
}

func (l *Loader) open(version, role string) {
	l.serving = version
	l.role = role
	l.interrupted, l.unordered = Wanted{}, ""
	l.c.Dispatcher.Resume(version)
	l.c.OnServing(version)
	l.c.Log.Info("weights: engine serves a version", zap.String("Version", version))
}

// isHeld reports whether all chunks of a version are held.
func (l *Loader) isHeld(version string) bool {
	held, total := l.c.Holder.Count(version)
	return total > 0 && held == total
}

// install fetches the wanted version and switches to it once all chunks are held.
func (l *Loader) install(ctx context.Context, wanted Wanted) error {
	l.c.Fetcher.Want(wanted.Version)
	if !l.isHeld(wanted.Version) {
		return nil
	}
	if err := l.order(ctx, wanted); err != nil {
		return err
	}
	l.c.Holder.Keep(wanted.Version)
	return nil
}

// order stages and activates a version of which all chunks are held.
func (l *Loader) order(ctx context.Context, wanted Wanted) error {
	if err := l.acquireFence(ctx); err != nil {
		return err
	}
	if err := l.stage(ctx, wanted.Version); err != nil {
		return err
	}
	old, oldRole := l.serving, l.role
	draining, cancel := context.WithTimeout(ctx, drainTimeout)
	defer cancel()
	if err := l.c.Dispatcher.Quiesce(draining); err != nil {
		l.reopen(old)
		return errors.Wrap(err, "Loader.order")
	}
	if err := l.activate(ctx, wanted); err != nil {
		l.recoverOrder(ctx, old, oldRole)
		return err
	}
	l.open(wanted.Version, wanted.Role)
	return nil
}

// stage transfers the weights to the engine unless it already has them.
func (l *Loader) stage(ctx context.Context, version string) error {
	if l.staged == version {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, stageTimeout)
	defer cancel()
	weights, size, err := l.c.Holder.Weights(version)
	if err != nil {
		return errors.Wrap(err, "Loader.stage")
	}
	if err := l.c.Engine.Stage(ctx, version, size, weights); err != nil {
		return errors.Wrap(err, "Loader.stage")
	}
	l.staged = version
	return nil
}

// activate orders the switch and verifies that the engine serves the new version.
func (l *Loader) activate(ctx context.Context, wanted Wanted) error {
	if err := l.c.Engine.Activate(ctx, l.fence, wanted.Version, wanted.Role); err != nil {
		l.staged = ""
		return errors.Wrap(err, "Loader.activate")
	}
	report, err := l.c.Engine.Report(ctx)
	if err != nil {
		return errors.Wrap(err, "Loader.activate")
	}
	if report.Version != wanted.Version {
		return errors.Errorf("Loader.activate: the engine reports version %q", report.Version)
	}
	return nil
}

// recoverOrder finds out which version the engine serves after a failed order, which may have
// taken effect all the same. The dispatcher resumes on the old version or is suspended.
func (l *Loader) recoverOrder(ctx context.Context, old, oldRole string) {
	report, err := l.c.Engine.Report(ctx)
	if err != nil || report.Version == "" || report.Version != old {
		l.close()
		return
	}
	l.role = oldRole
	l.reopen(old)
}

func (l *Loader) reopen(old string) {
	if old != "" {
		l.c.Dispatcher.Resume(old)
	}
}

// acquireFence sets the agent's fencing token: the version of an object that the agent writes once.
// A later agent of the same instance gets a higher one.
func (l *Loader) acquireFence(ctx context.Context) error {
	if l.fence != 0 {
		return nil
	}
	value, err := json.Marshal(l.c.Instance)
	if err != nil {
		return errors.Wrap(err, "Loader.acquireFence")
	}
	object := foxtailwharf.Object{Kind: foxtailwharf.KindFence, Name: l.c.Instance, Value: value}
	old, err := l.c.Store.Get(ctx, foxtailwharf.KindFence, l.c.Instance)
	switch {
	case errors.Is(err, foxtailwharf.ErrNotFound):
		object, err = l.c.Store.Create(ctx, object)
	case err == nil:
		object.Version = old.Version
		object, err = l.c.Store.Update(ctx, object)
	}
	if err != nil {
		return errors.Wrap(err, "Loader.acquireFence")
	}
	l.fence = object.Version
	return nil
}
