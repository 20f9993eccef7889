package provisioner

import (
	"context"
	"strconv"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"github.com/foxtailwharf/foxtailwharf"
	"github.com/foxtailwharf/foxtailwharf/internal/process/pauser"
	"github.com/foxtailwharf/foxtailwharf/internal/version/installer"
)

// Constants of installing.
const (
	// stepInterval is the time between two looks at what is next.
	stepInterval = 50 * time.Millisecond
	// failurePause is the pause after a step that failed.
	failurePause = 400 * time.Millisecond
	// preparePause is the pause after a manifest was not to be had, most often because the
	// agents that read it from the origin are still at it.
	preparePause = 120 * time.Millisecond
	// firstTurn and lastTurn are the parts of the time for the switch at which the first
	// and the last engine of a failure domain load: the chunks take a part of it, and in
	// the rest an engine finishes what it runs.
	firstTurn = 0.35
	lastTurn  = 0.9
	// replacedTurn stands in for both where a newer release is on its way, which would make
	// the load needless.
	replacedTurn = 0.9
	// hurriedTurn stands in for firstTurn, counted from the naming of the release before,
	// where the engine does not hold that one either.
	hurriedTurn = 0.65
	// loadTime is how long a load may take before it is ordered again.
	loadTime = 6 * time.Second
	// freshTime is how long the check of staged chunks counts.
	freshTime = 500 * time.Millisecond
)

// install brings the engine to the wanted release.
type install struct {
	p    *Provisioner
	done chan struct{}
	// newest is the release that is wanted, previous the one wanted before it where the
	// engine does not hold it; nil for none.
	newest       *bundle
	previous     *bundle
	isOnPrevious bool // previous is being fetched
	// isSearched says that what lay beside the engine at the agent's start was looked through.
	// All that has come there since is this agent's.
	isSearched bool
	born       time.Time // of the engine that was last seen
	orderedAt  time.Time // zero while no load is on its way
	// drainedAt is when the entries were told to send no more calls; zero for not yet.
	drainedAt time.Time
}

// bundle is a release with its chunks.
type bundle struct {
	release  foxtailwharf.Release
	named    time.Time
	wanted   time.Time // when this agent heard of it
	digest   string    // of the manifest; empty before it is there
	chunks   []foxtailwharf.Chunk
	checked  time.Time
	failed   time.Time // when its manifest or chunks were last not to be had
	isStuck  bool      // they were not to be had at the last try
	held     int       // at the last look
	advanced time.Time
	// wholeAge is the age of the release at which all its chunks were there; 0 before.
	wholeAge time.Duration
	// leftAlone is the age of the release at which the newer one stalled; 0 before.
	leftAlone time.Duration
}

func (i *install) run(ctx context.Context) {
	defer close(i.done)
	for pauser.Sleep(ctx, stepInterval) {
		if err := i.step(ctx); err != nil && ctx.Err() == nil {
			i.p.c.Log.Warn("agent: The engine is not on the wanted release.", zap.Int64("Version", i.newest.release.Version), zap.Error(err))
			pauser.Sleep(ctx, failurePause)
		}
	}
}

// step does what is next.
func (i *install) step(ctx context.Context) error {
	i.p.mu.Lock()
	n, load := i.p.notice, i.p.load
	i.p.mu.Unlock()
	if n.release.Version == 0 {
		return nil
	}
	i.hear(n, load)
	isUp := !load.IsDown && !load.Born.IsZero()
	if isUp {
		i.see(load)
	}
	i.prepare(ctx, isUp)
	// While the engine starts for the first time its chunks may lie beside it, so nothing
	// is fetched before it answers.
	if isUp || !i.p.c.Settings.IsFirstStart {
		i.fetch()
	}
	if !isUp {
		return nil
	}
	return i.act(ctx, i.target(), load)
}

// prepare reads the newest release's manifest and looks for its chunks beside the engine.
// While that fails the release before it may still be completed and loaded.
func (i *install) prepare(ctx context.Context, isUp bool) {
	b := i.newest
	if time.Since(b.failed) < preparePause {
		return
	}
	var err error
	if b.digest == "" {
		err = i.readManifest(ctx, b)
	}
	if err == nil && isUp && !i.isSearched {
		err = i.search(ctx, b)
	}
	if err != nil && ctx.Err() == nil {
		b.failed = time.Now()
		if !b.isStuck {
			i.p.c.Log.Warn("agent: A release cannot be prepared yet.", zap.Int64("Version", b.release.Version), zap.Error(err))
		}
	}
	b.isStuck = err != nil
}

// hear takes in the release that is wanted.
func (i *install) hear(n notice, load foxtailwharf.UpstreamLoad) {
	if i.newest != nil && i.newest.release == n.release {
		i.newest.named = n.named
		return
	}
	i.previous = nil
	if i.newest != nil && i.newest.digest != "" && load.Weights < i.newest.release.Version {
		i.previous = i.newest
	}
	now := time.Now()
	i.newest = &bundle{release: n.release, named: n.named, wanted: now, advanced: now}
	i.isOnPrevious = false
	if i.orderedAt.IsZero() && !i.drainedAt.IsZero() {
		i.endLoad()
	}
}

// see takes in the engine's state.
func (i *install) see(load foxtailwharf.UpstreamLoad) {
	if !load.Born.Equal(i.born) {
		i.born = load.Born
		i.newest.checked = time.Time{}
		i.endLoad()
		return
	}
	if i.orderedAt.IsZero() {
		return
	}
	if load.Weights >= i.target().release.Version {
		i.p.c.Log.Info("agent: The engine holds the release.", zap.Int64("Version", load.Weights), zap.Duration("AfterNaming", time.Since(i.newest.named)))
		i.endLoad()
	} else if time.Since(i.orderedAt) > loadTime {
		i.p.c.Log.Warn("agent: The load took too long; it is ordered again.", zap.Int64("Version", i.newest.release.Version))
		i.endLoad()
	}
}

// endLoad ends the wait for a load.
func (i *install) endLoad() {
	i.orderedAt, i.drainedAt = time.Time{}, time.Time{}
	i.setLoading(false)
}

// progress looks at how far a release is.
func (i *install) progress(b *bundle) installer.Progress {
	if b == nil {
		return installer.Progress{}
	}
	if b.digest == "" {
		return installer.Progress{Idle: time.Since(b.advanced)}
	}
	held, total := i.p.holder.Count(b.digest)
	if held != b.held {
		b.held, b.advanced = held, time.Now()
	}
	return installer.Progress{Held: held, Total: total, Idle: time.Since(b.advanced)}
}

// fetch chooses the release to fetch.
func (i *install) fetch() {
	isPrevious := installer.IsPreviousNext(i.progress(i.newest), i.progress(i.previous), i.isOnPrevious)
	wanted := i.newest
	if isPrevious {
		wanted = i.previous
	}
	if i.newest.digest == "" && i.previous != nil {
		isPrevious, wanted = true, i.previous
	}
	if isPrevious != i.isOnPrevious {
		i.isOnPrevious = isPrevious
		wanted.advanced = time.Now()
		i.p.c.Log.Info("agent: Another release is fetched.", zap.Int64("Version", wanted.release.Version))
	}
	i.p.fetcher.Want(wanted.digest)
}

// isWhole reports whether all chunks of a release are there.
func (i *install) isWhole(b *bundle) bool {
	p := i.progress(b)
	isWhole := p.Total > 0 && p.Held == p.Total
	if isWhole && b.wholeAge == 0 {
		b.wholeAge = time.Since(b.named)
	}
	return isWhole
}

// target returns the release to load: the newest, or the one before it while the newest
// is not whole and that one is.
func (i *install) target() *bundle {
	if i.previous != nil && !i.isWhole(i.newest) && i.isWhole(i.previous) {
		return i.previous
	}
	return i.newest
}

// act decides and does one step.
func (i *install) act(ctx context.Context, b *bundle, load foxtailwharf.UpstreamLoad) error {
	facts := installer.Facts{
		Wanted:   b.release.Version,
		Age:      time.Since(b.named),
		Held:     load.Weights,
		IsBusy:   !i.orderedAt.IsZero(),
		IsWhole:  i.isWhole(b),
		IsStaged: time.Since(b.checked) < freshTime,
		Running:  load.Running + load.Queued,
		Turn:     i.turn(b, load.Weights),
	}
	if !i.drainedAt.IsZero() {
		facts.Drained = time.Since(i.drainedAt)
	}
	switch installer.Next(facts) {
	case installer.StepStage:
		return i.stage(ctx, b)
	case installer.StepDrain:
		i.drain(b, facts)
	case installer.StepLoad:
		return i.load(ctx, b, false)
	case installer.StepCut:
		return i.load(ctx, b, true)
	default:
	}
	return nil
}

// drain tells the entries to send no more calls.
func (i *install) drain(b *bundle, facts installer.Facts) {
	i.drainedAt = time.Now()
	i.setLoading(true)
	i.p.c.Log.Info("agent: The engine takes no more calls before it loads.", zap.Int64("Version", b.release.Version), zap.Int("Running", facts.Running))
}

// turn returns the age of the release from which on this engine loads.
func (i *install) turn(b *bundle, held int64) time.Duration {
	if b != i.newest && !i.progress(i.newest).IsStalled() {
		return i.place(b, replacedTurn, replacedTurn)
	}
	if b != i.newest && b.leftAlone == 0 {
		b.leftAlone = time.Since(b.named)
	}
	turn := i.place(b, firstTurn, lastTurn)
	if b == i.newest && i.previous != nil && held < i.previous.release.Version {
		between := b.named.Sub(i.previous.named)
		turn = min(turn, i.place(b, hurriedTurn, lastTurn)-between)
	}
	return turn
}

// place returns this engine's place between two parts of the time for the switch. Chunks
// that came late leave less time, over which the engines still follow each other.
func (i *install) place(b *bundle, first, last float64) time.Duration {
	limit := float64(i.p.c.Settings.Switch)
	version := strconv.FormatInt(b.release.Version, 10)
	i.p.mu.Lock()
	defer i.p.mu.Unlock()
	begin := max(time.Duration(limit*first), b.wholeAge, b.leftAlone)
	end := max(time.Duration(limit*last), begin)
	return installer.Turn(i.p.c.Settings.Address.String(), i.p.domain, version, begin, end)
}

// setLoading tells the entries at once whether the engine takes calls.
func (i *install) setLoading(isLoading bool) {
	i.p.mu.Lock()
	i.p.load.IsLoading = isLoading
	i.p.mu.Unlock()
	i.p.reporter.signal()
}

// search takes in the chunks of the release that lie beside the engine.
func (i *install) search(ctx context.Context, b *bundle) error {
	numbers, err := i.p.c.Slot.Staged(ctx, b.release.Model)
	if err != nil {
		return err
	}
	found := 0
	for _, number := range numbers {
		if number < 0 || number >= len(b.chunks) {
			continue
		}
		data, err := i.p.c.Slot.StagedChunk(ctx, b.release.Model, number)
		if err != nil {
			return err
		}
		if i.p.holder.Put(b.chunks[number], data) == nil {
			found++
		}
	}
	i.isSearched = true
	i.p.c.Log.Info("agent: Chunks beside the engine were looked through.", zap.Int64("Version", b.release.Version), zap.Int("Found", found))
	return nil
}

// stage lays the chunks beside the engine that are not there as they should be, and
// checks those that were.
func (i *install) stage(ctx context.Context, b *bundle) error {
	started := time.Now()
	laid := 0
	for number, chunk := range b.chunks {
		data, err := i.p.c.Slot.StagedChunk(ctx, b.release.Model, number)
		if err == nil && foxtailwharf.Digest(data) == chunk.Digest {
			continue
		}
		held, isHeld := i.p.holder.Chunk(chunk.Digest)
		if !isHeld {
			return errors.Errorf("install.stage: chunk %d is missing", number)
		}
		if err := i.p.c.Slot.Stage(ctx, b.release.Model, number, held); err != nil {
			return err
		}
		laid++
	}
	if laid == 0 {
		b.checked = started
	}
	i.p.c.Log.Info("agent: Chunks were staged.", zap.Int64("Version", b.release.Version), zap.Int("Laid", laid), zap.Duration("Took", time.Since(started)))
	return nil
}

// load orders the engine to load what was staged. An order without an answer may have
// been accepted; the engine's state tells.
func (i *install) load(ctx context.Context, b *bundle, isCut bool) error {
	state, err := i.p.c.Slot.State(ctx, b.release.Model)
	if err != nil {
		return err
	}
	if state.IsBusy || !state.Born.Equal(i.born) {
		return nil
	}
	i.setLoading(true)
	i.orderedAt = time.Now()
	if err := i.p.c.Slot.Load(ctx, b.release, state.Sequence, isCut); err != nil {
		i.endLoad()
		return err
	}
	i.p.c.Log.Info("agent: The engine was ordered to load.", zap.Int64("Version", b.release.Version), zap.Int("Running", state.Running), zap.Int("Queued", state.Queued), zap.Bool("Cut", isCut))
	return nil
}
