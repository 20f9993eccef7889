// Package loader brings the wanted version into the engine: it has the chunks
// fetched, stages the whole weights while the old version serves, and switches
// between requests.
package loader

import (
	"context"
	"encoding/json"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"github.com/foxtailwharf/foxtailwharf"
	"github.com/foxtailwharf/foxtailwharf/internal/process/pauser"
	"github.com/foxtailwharf/foxtailwharf/internal/request/dispatcher"
	"github.com/foxtailwharf/foxtailwharf/internal/version/fetcher"
	"github.com/foxtailwharf/foxtailwharf/internal/version/holder"
)

// Constants of loading.
const (
	// tick is the longest time between two looks at the engine.
	tick = 500 * time.Millisecond
	// maxReportFaults is the number of failed reports after which an engine counts as dead.
	maxReportFaults = 3
	// failurePause is the pause after an order that failed.
	failurePause = time.Second
	// stageTimeout bounds the hand-over of weights to the engine.
	stageTimeout = 10 * time.Minute
	// holdTimeout bounds the wait for running requests before a switch.
	holdTimeout = 2 * time.Minute
)

// Wanted is what the engine should serve.
type Wanted struct {
	Version string // empty for nothing
	Role    string
}

// Config holds the settings of a Loader.
type Config struct {
	Instance   string // name of the agent's slot, for the fencing number
	Store      foxtailwharf.ObjectStore
	Engine     foxtailwharf.Engine
	Dispatcher *dispatcher.Dispatcher
	Fetcher    *fetcher.Fetcher
	Holder     *holder.Holder
	// Wanted returns what the documents and the placement ask for.
	Wanted func() Wanted
	// Serving is told each change of the version served.
	Serving func(version string)
	Log     *zap.Logger
}

// Loader keeps one engine on the wanted version.
type Loader struct {
	c       Config
	done    chan struct{}
	wake    chan struct{} // holds one
	fence   uint64        // 0 before it was taken
	serving string        // version that the gate lets requests run on
	staged  string
	role    string
	faults  int
}

// New returns a loader that has not started.
func New(c Config) *Loader {
	return &Loader{c: c, done: make(chan struct{}), wake: make(chan struct{}, 1)}
}

// Start begins the duty; it ends with the context.
func (l *Loader) Start(ctx context.Context) {
	go l.run(ctx)
}

// Done is closed when the duty has ended.
func (l *Loader) Done() <-chan struct{} {
	return l.done
}

func (l *Loader) run(ctx context.Context) {
	defer close(l.done)
	for {
		if err := l.step(ctx); err != nil && ctx.Err() == nil {
			l.c.Log.Warn("weights: The engine is not on the wanted version.", zap.Error(err))
			pauser.Sleep(ctx, failurePause)
		}
		if !l.wait(ctx) {
			return
		}
	}
}

// Wake makes the loader look at the engine at once.
func (l *Loader) Wake() {
	select {
	case l.wake <- struct{}{}:
	default:
	}
}

// wait pauses until the next look is due, and reports false at the end.
func (l *Loader) wait(ctx context.Context) bool {
	timer := time.NewTimer(tick)
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

// step looks at the engine once and does what is next.
func (l *Loader) step(ctx context.Context) error {
	report, err := l.c.Engine.Report(ctx)
	if err != nil {
		l.noteFault(ctx)
		return nil
	}
	l.faults = 0
	wanted := l.c.Wanted()
	l.adopt(report, wanted)
	if report.Version != l.serving && l.serving != "" {
		// The engine restarted, or obeyed somebody else's order.
		return l.restore(ctx, report)
	}
	if l.serving != "" && l.c.Dispatcher.IsHeld() {
		// A request made it look as if the engine had died, but it has not.
		l.c.Dispatcher.Release(l.serving)
	}
	if wanted.Version == "" || (wanted.Version == l.serving && wanted.Role == l.role) {
		return nil
	}
	return l.bring(ctx, wanted)
}

// noteFault closes the gate when the engine has not answered several times.
func (l *Loader) noteFault(ctx context.Context) {
	l.faults++
	if l.faults == maxReportFaults && l.serving != "" && ctx.Err() == nil {
		l.c.Log.Warn("weights: The engine does not answer.")
		l.close()
	}
}

// close takes the engine out of service until it reports a version again.
func (l *Loader) close() {
	l.serving = ""
	l.staged = ""
	l.c.Dispatcher.Suspend()
	l.c.Serving("")
}

// adopt takes over the version that an engine serves when the agent starts
// beside it, or when it comes back.
func (l *Loader) adopt(report foxtailwharf.EngineReport, wanted Wanted) {
	if l.serving != "" || report.Version == "" {
		return
	}
	l.open(report.Version, wanted.Role)
}

func (l *Loader) open(version, role string) {
	l.serving = version
	l.role = role
	l.c.Dispatcher.Release(version)
	l.c.Serving(version)
	l.c.Log.Info("weights: The engine serves a version.", zap.String("Version", version))
}

// restore puts the engine back on the version that the gate lets requests run on,
// or closes the gate if that is not to be had.
func (l *Loader) restore(ctx context.Context, report foxtailwharf.EngineReport) error {
	l.c.Log.Warn("weights: The engine serves another version than ordered.", zap.String("Version", report.Version))
	version := l.serving
	l.close()
	if held, total := l.c.Holder.Count(version); total == 0 || held < total {
		return errors.New("Loader.restore: the weights are no longer held")
	}
	return l.order(ctx, Wanted{Version: version, Role: l.role})
}

// bring fetches the wanted version, and switches to it once it is whole.
func (l *Loader) bring(ctx context.Context, wanted Wanted) error {
	l.c.Fetcher.Want(wanted.Version)
	if held, total := l.c.Holder.Count(wanted.Version); total == 0 || held < total {
		return nil
	}
	if err := l.order(ctx, wanted); err != nil {
		return err
	}
	l.c.Holder.Keep(wanted.Version)
	return nil
}

// order stages and activates whole weights.
func (l *Loader) order(ctx context.Context, wanted Wanted) error {
	if err := l.takeFence(ctx); err != nil {
		return err
	}
	if err := l.stage(ctx, wanted.Version); err != nil {
		return err
	}
	old, oldRole := l.serving, l.role
	holding, cancel := context.WithTimeout(ctx, holdTimeout)
	defer cancel()
	if err := l.c.Dispatcher.Hold(holding); err != nil {
		l.reopen(old)
		return errors.Wrap(err, "Loader.order")
	}
	if err := l.activate(ctx, wanted); err != nil {
		l.settle(ctx, old, oldRole)
		return err
	}
	l.open(wanted.Version, wanted.Role)
	return nil
}

// stage hands the weights over, unless the engine has them.
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

// activate orders the switch and checks that the engine made it.
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

// settle finds out what the engine serves after an order whose outcome is not
// known: the order may have taken effect.
func (l *Loader) settle(ctx context.Context, old, oldRole string) {
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
		l.c.Dispatcher.Release(old)
	}
}

// takeFence takes the agent's fencing number: the version of an object that it
// writes once. A later agent in the slot gets a higher one.
func (l *Loader) takeFence(ctx context.Context) error {
	if l.fence != 0 {
		return nil
	}
	value, err := json.Marshal(l.c.Instance)
	if err != nil {
		return errors.Wrap(err, "Loader.takeFence")
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
		return errors.Wrap(err, "Loader.takeFence")
	}
	l.fence = object.Version
	return nil
}
