package provisioner

import (
	"context"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"github.com/foxtailwharf/foxtailwharf"
	"github.com/foxtailwharf/foxtailwharf/internal/connection/bodyreader"
	"github.com/foxtailwharf/foxtailwharf/internal/process/sleeper"
	"github.com/foxtailwharf/foxtailwharf/internal/version/planner"
)

const (
	// stepInterval is the time between two runs of step.
	stepInterval = 50 * time.Millisecond
	// retryDelay is the delay after a failed step.
	retryDelay = 400 * time.Millisecond
	// prepareRetryDelay is the delay after preparing a release failed. The usual cause is a
	// manifest that the agents which read it from the origin do not have yet.
	prepareRetryDelay = 120 * time.Millisecond
	// loadTimeout is how long a load may take before it is ordered again.
	loadTimeout = 6 * time.Second
	// stagedCheckTTL is how long a verification of the staged chunks remains valid.
	stagedCheckTTL = 500 * time.Millisecond
)

// installLoop brings the engine to the wanted release. Apart from done, its fields belong to the
// goroutine of run.
type installLoop struct {
	p    *Provisioner
	done chan struct{}
	// newest is the wanted release. previous is the release that was wanted before it, if its
	// manifest is known and the engine does not hold it; otherwise nil.
	newest             *releaseState
	previous           *releaseState
	isFetchingPrevious bool // previous is being fetched instead of newest
	// isStagingScanned is set once the chunks that were staged at the engine before this agent
	// started have been read. Chunks staged later come from this agent.
	isStagingScanned bool
	engineStarted    time.Time // start time of the engine process last seen
	loadOrderedAt    time.Time // zero while no load is in progress
	// drainStartedAt is when the entries were told to send no more calls; zero if they were not.
	drainStartedAt time.Time
}

// releaseState is what the agent knows of a release and its chunks.
type releaseState struct {
	release      foxtailwharf.Release
	namedAt      time.Time // when an entry first heard of the release
	firstHeardAt time.Time // when this agent first heard of the release
	digest       string    // of the manifest; empty until it has been read
	readAt       time.Time // when the manifest was last asked for
	mismatches   int64     // as of the fetcher at that time
	chunks       []foxtailwharf.Chunk
	verifiedAt   time.Time // when its staged chunks were last verified
	failedAt     time.Time // last time that preparing it failed
	hasFailed    bool      // the last attempt to prepare it failed
	held         int       // number of chunks held at the last check
	progressedAt time.Time // when the last chunk arrived or fetching began
	// completeAge is the age of the release at which its last chunk arrived; 0 before that.
	completeAge time.Duration
	// stalledAge is the age of the release at which fetching the newer one stalled; 0 before
	// that.
	stalledAge time.Duration
}

func (i *installLoop) run(ctx context.Context) {
	defer close(i.done)
	for sleeper.Sleep(ctx, stepInterval) {
		if err := i.step(ctx); err != nil && ctx.Err() == nil {
			i.p.c.Log.Warn("agent: failed to bring the engine to the wanted release; retrying", zap.Int64("Version", i.newest.release.Version), zap.Error(err))
			sleeper.Sleep(ctx, retryDelay)
		}
	}
}

// step performs the next step towards the wanted release.
func (i *installLoop) step(ctx context.Context) error {
	i.p.mu.Lock()
	wanted, load := i.p.wanted(), i.p.load
	i.p.mu.Unlock()
	if wanted.release.Version == 0 {
		return nil
	}
	i.setWanted(wanted, load)
	isUp := !load.IsDown && !load.Born.IsZero()
	if isUp {
		i.observeEngine(load)
	}
	i.prepare(ctx, isUp)
	// While the engine starts for the first time, the chunks may already be in its staging area,
	// so nothing is fetched until it answers.
	if isUp || !i.p.c.Settings.IsFirstStart {
		i.fetch()
	}
	if !isUp {
		return nil
	}
	return i.perform(ctx, i.target(), load)
}

// prepare reads the newest release's manifest and the chunks that are staged at the engine. While
// that fails, the previous release can still be fetched and loaded.
func (i *installLoop) prepare(ctx context.Context, isUp bool) {
	r := i.newest
	if time.Since(r.failedAt) < prepareRetryDelay {
		return
	}
	var err error
	switch {
	case r.digest == "":
		err = i.readManifest(ctx, r)
	case i.isDoubtful(r):
		err = i.rereadManifest(ctx, r)
	}
	if err == nil && isUp && !i.isStagingScanned {
		err = i.scanStaged(ctx, r)
	}
	if err != nil && ctx.Err() == nil {
		r.failedAt = time.Now()
		if !r.hasFailed {
			i.p.c.Log.Warn("agent: failed to prepare the release; retrying", zap.Int64("Version", r.release.Version), zap.Error(err))
		}
	}
	r.hasFailed = err != nil
}

// setWanted updates newest and previous from the wanted release.
func (i *installLoop) setWanted(wanted wantedRelease, load foxtailwharf.UpstreamLoad) {
	if i.newest != nil && i.newest.release == wanted.release {
		i.newest.namedAt = wanted.namedAt
		return
	}
	i.previous = nil
	if i.newest != nil && i.newest.digest != "" && load.Weights < i.newest.release.Version {
		i.previous = i.newest
	}
	now := time.Now()
	i.newest = &releaseState{release: wanted.release, namedAt: wanted.namedAt, firstHeardAt: now, progressedAt: now}
	i.isFetchingPrevious = false
	if i.loadOrderedAt.IsZero() && !i.drainStartedAt.IsZero() {
		i.resetLoad()
	}
}

// observeEngine compares the state of the engine with the load in progress: the load ends when the
// engine restarted, holds the release or exceeded loadTimeout.
func (i *installLoop) observeEngine(load foxtailwharf.UpstreamLoad) {
	if !load.Born.Equal(i.engineStarted) {
		i.engineStarted = load.Born
		i.newest.verifiedAt = time.Time{}
		i.resetLoad()
		return
	}
	// An order that counts as timed out, or as refused, may take effect while the engine drains once more.
	if i.loadOrderedAt.IsZero() && i.drainStartedAt.IsZero() {
		return
	}
	if load.Weights >= i.target().release.Version {
		i.p.c.Log.Info("agent: engine loaded the release", zap.Int64("Version", load.Weights), zap.Duration("AfterNaming", time.Since(i.newest.namedAt)))
		i.resetLoad()
	} else if !i.loadOrderedAt.IsZero() && time.Since(i.loadOrderedAt) > loadTimeout {
		i.p.c.Log.Warn("agent: engine load timed out; retrying", zap.Int64("Version", i.newest.release.Version))
		i.resetLoad()
	}
}

// resetLoad ends the drain and the load in progress, so that the engine takes calls again.
func (i *installLoop) resetLoad() {
	i.loadOrderedAt, i.drainStartedAt = time.Time{}, time.Time{}
	i.setLoading(false)
}

// progress returns how many chunks of a release are held, and the time since the last one arrived.
// A nil release has no progress.
func (i *installLoop) progress(r *releaseState) planner.Progress {
	if r == nil {
		return planner.Progress{}
	}
	if r.digest == "" {
		return planner.Progress{Idle: time.Since(r.progressedAt)}
	}
	held, total := i.p.holder.Count(r.digest)
	if held != r.held {
		r.held, r.progressedAt = held, time.Now()
	}
	return planner.Progress{Held: held, Total: total, Idle: time.Since(r.progressedAt)}
}

// fetch tells the fetcher which release to fetch.
func (i *installLoop) fetch() {
	isPrevious := planner.ShouldFetchPrevious(i.progress(i.newest), i.progress(i.previous), i.isFetchingPrevious)
	wanted := i.newest
	if isPrevious {
		wanted = i.previous
	}
	if i.newest.digest == "" && i.previous != nil {
		isPrevious, wanted = true, i.previous
	}
	if isPrevious != i.isFetchingPrevious {
		i.isFetchingPrevious = isPrevious
		wanted.progressedAt = time.Now()
		i.p.c.Log.Info("agent: switched to fetching another release", zap.Int64("Version", wanted.release.Version))
	}
	i.p.fetcher.Want(wanted.digest)
}

// isComplete reports whether all chunks of a release are held.
func (i *installLoop) isComplete(r *releaseState) bool {
	p := i.progress(r)
	isComplete := p.Total > 0 && p.Held == p.Total
	if isComplete && r.completeAge == 0 {
		r.completeAge = time.Since(r.namedAt)
	}
	return isComplete
}

// target returns the release to load: the previous one if it is complete and the newest is not,
// otherwise the newest.
func (i *installLoop) target() *releaseState {
	if i.previous != nil && !i.isComplete(i.newest) && i.isComplete(i.previous) {
		return i.previous
	}
	return i.newest
}

// perform asks the planner package for the next step of loading a release and carries it out.
func (i *installLoop) perform(ctx context.Context, r *releaseState, load foxtailwharf.UpstreamLoad) error {
	facts := planner.Facts{
		Wanted:           r.release.Version,
		Age:              time.Since(r.namedAt),
		Held:             load.Weights,
		IsExecutingOrder: !i.loadOrderedAt.IsZero(),
		IsWhole:          i.isComplete(r),
		IsStaged:         time.Since(r.verifiedAt) < stagedCheckTTL,
		Running:          load.Running + load.Queued,
		LoadAge:          i.loadAge(r, load.Weights),
	}
	if !i.drainStartedAt.IsZero() {
		facts.DrainTime = time.Since(i.drainStartedAt)
	}
	i.announce(facts)
	switch planner.Next(facts) {
	case planner.StepStage:
		return i.stage(ctx, r)
	case planner.StepDrain:
		i.drain(r, facts)
	case planner.StepLoad:
		return i.load(ctx, r)
	default:
	}
	return nil
}

func (i *installLoop) drain(r *releaseState, facts planner.Facts) {
	i.drainStartedAt = time.Now()
	i.setLoading(true)
	i.p.c.Log.Info("agent: draining the engine before the load", zap.Int64("Version", r.release.Version), zap.Int("Running", facts.Running))
}

// setLoading reports at once to the entries whether the engine takes calls.
func (i *installLoop) setLoading(isLoading bool) {
	i.p.mu.Lock()
	i.p.load.IsLoading = isLoading
	i.p.mu.Unlock()
	i.p.reporter.signal()
}

// scanStaged reads the chunks in the engine's staging area and keeps those that belong to the
// release.
func (i *installLoop) scanStaged(ctx context.Context, r *releaseState) error {
	numbers, err := i.p.c.Slot.Staged(ctx, r.release.Model)
	if err != nil {
		return err
	}
	found := 0
	for _, number := range numbers {
		if number < 0 || number >= len(r.chunks) {
			continue
		}
		data, err := i.p.c.Slot.StagedChunk(ctx, r.release.Model, number, r.chunks[number].Size)
		var tooLong *bodyreader.LimitError
		if errors.As(err, &tooLong) {
			// It is of another release, or the engine sends bytes without end.
			continue
		}
		if err != nil {
			return err
		}
		if i.p.holder.Put(r.chunks[number], data) == nil {
			found++
		}
	}
	i.isStagingScanned = true
	i.p.c.Log.Info("agent: read the chunks staged at the engine", zap.Int64("Version", r.release.Version), zap.Int("Found", found))
	return nil
}

// stage writes the chunks that are missing or differ in the engine's staging area. The release
// counts as verified only after a pass that found nothing to write.
func (i *installLoop) stage(ctx context.Context, r *releaseState) error {
	started := time.Now()
	staged := 0
	for number, chunk := range r.chunks {
		data, err := i.p.c.Slot.StagedChunk(ctx, r.release.Model, number, chunk.Size)
		if err == nil && foxtailwharf.Digest(data) == chunk.Digest {
			continue
		}
		held, isHeld := i.p.holder.Chunk(chunk.Digest)
		if !isHeld {
			return errors.Errorf("installLoop.stage: chunk %d is not held", number)
		}
		if err := i.p.c.Slot.Stage(ctx, r.release.Model, number, held); err != nil {
			return err
		}
		staged++
	}
	if staged == 0 {
		r.verifiedAt = started
	}
	i.p.c.Log.Info("agent: staged the chunks of the release", zap.Int64("Version", r.release.Version), zap.Int("Written", staged), zap.Duration("Took", time.Since(started)))
	return nil
}

// load orders the engine to load the staged chunks after the calls that it runs. An order without an answer may have been
// accepted, so its result is taken from the engine's state.
func (i *installLoop) load(ctx context.Context, r *releaseState) error {
	state, err := i.p.c.Slot.State(ctx, r.release.Model)
	if err != nil {
		return err
	}
	if state.IsBusy || !state.Born.Equal(i.engineStarted) {
		return nil
	}
	i.setLoading(true)
	i.loadOrderedAt = time.Now()
	if err := i.p.c.Slot.Load(ctx, r.release, state.Sequence); err != nil {
		i.resetLoad()
		return err
	}
	i.p.c.Log.Info("agent: ordered the engine to load the release", zap.Int64("Version", r.release.Version), zap.Int("Running", state.Running), zap.Int("Queued", state.Queued))
	return nil
}
