package provisioner

import (
	"context"
	"io"
	"math/rand/v2"
	"net/http"
	"net/netip"
	"slices"
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
	// firstTurn and lastTurn are the parts of the time for the switch at which the first
	// and the last engine of a failure domain load: the chunks take a part of it, and in
	// the rest an engine finishes what it runs.
	firstTurn = 0.35
	lastTurn  = 0.85
	// loadTime is how long a load may take before it is ordered again.
	loadTime = 6 * time.Second
	// manifestPeers is the number of agents asked where the origin gives no manifest.
	manifestPeers = 3
	// manifestTime bounds the reading of a manifest.
	manifestTime = time.Second
	// maxManifestBytes bounds a manifest.
	maxManifestBytes = 1 << 20
	// freshTime is how long the check of staged chunks counts.
	freshTime = 500 * time.Millisecond
)

// install brings the engine to the wanted release.
type install struct {
	p         *Provisioner
	done      chan struct{}
	release   foxtailwharf.Release
	digest    string // of the release's manifest; empty before it is there
	chunks    []foxtailwharf.Chunk
	isSearch  bool // the chunks that lie beside the engine were looked through
	checked   time.Time
	born      time.Time // of the engine that was last seen
	orderedAt time.Time // zero while no load is on its way
}

func (i *install) run(ctx context.Context) {
	defer close(i.done)
	for pauser.Sleep(ctx, stepInterval) {
		if err := i.step(ctx); err != nil && ctx.Err() == nil {
			i.p.c.Log.Warn("agent: The engine is not on the wanted release.", zap.Int64("Version", i.release.Version), zap.Error(err))
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
	if n.release != i.release {
		*i = install{p: i.p, done: i.done, release: n.release, orderedAt: i.orderedAt}
	}
	isUp := !load.IsDown && !load.Born.IsZero()
	if isUp && !load.Born.Equal(i.born) {
		i.born, i.orderedAt, i.checked = load.Born, time.Time{}, time.Time{}
		i.setLoading(false)
	}
	if load.Weights >= i.release.Version && i.isLoadOver() {
		i.p.c.Log.Info("agent: The engine holds the release.", zap.Int64("Version", load.Weights), zap.Duration("AfterNaming", time.Since(n.named)))
	}
	if i.digest == "" {
		if err := i.readManifest(ctx); err != nil {
			return err
		}
	}
	if !i.isSearch && !isUp && !i.p.c.Settings.IsFirstStart {
		// The chunks are fetched while the engine starts; what lies beside it is looked
		// through once it answers.
		i.p.fetcher.Want(i.digest)
		return nil
	}
	if !isUp {
		return nil
	}
	return i.act(ctx, n, load)
}

// isLoadOver ends the wait for a load, and reports whether there was one.
func (i *install) isLoadOver() bool {
	if i.orderedAt.IsZero() {
		return false
	}
	i.orderedAt = time.Time{}
	i.setLoading(false)
	return true
}

// act decides and does one step.
func (i *install) act(ctx context.Context, n notice, load foxtailwharf.UpstreamLoad) error {
	if !i.isSearch {
		if err := i.search(ctx); err != nil {
			return err
		}
	}
	held, total := i.p.holder.Count(i.digest)
	if !i.orderedAt.IsZero() && time.Since(i.orderedAt) > loadTime {
		i.p.c.Log.Warn("agent: The load took too long; it is ordered again.", zap.Int64("Version", i.release.Version))
		i.isLoadOver()
	}
	facts := installer.Facts{
		Wanted:   i.release.Version,
		Age:      time.Since(n.named),
		Held:     load.Weights,
		IsBusy:   !i.orderedAt.IsZero(),
		IsWhole:  total > 0 && held == total,
		IsStaged: time.Since(i.checked) < freshTime,
		Turn:     i.turn(),
	}
	switch installer.Next(facts) {
	case installer.StepStage:
		return i.stage(ctx)
	case installer.StepLoad:
		return i.load(ctx)
	default:
		return nil
	}
}

// turn returns the age of the release from which on this engine loads.
func (i *install) turn() time.Duration {
	limit := float64(i.p.c.Settings.Switch)
	i.p.mu.Lock()
	defer i.p.mu.Unlock()
	version := strconv.FormatInt(i.release.Version, 10)
	return installer.Turn(i.p.c.Settings.Address.String(), i.p.domain, version, time.Duration(limit*firstTurn), time.Duration(limit*lastTurn))
}

// setLoading tells the entries at once whether the engine takes calls.
func (i *install) setLoading(isLoading bool) {
	i.p.mu.Lock()
	i.p.load.IsLoading = isLoading
	i.p.mu.Unlock()
	select {
	case i.p.reporter.wake <- struct{}{}:
	default:
	}
}

// readManifest reads the release's manifest, from the origin or another agent.
func (i *install) readManifest(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, manifestTime)
	defer cancel()
	text, err := i.p.c.Origin.ReleaseManifest(ctx, i.release)
	if err != nil {
		if text, err = i.manifestFromPeers(ctx); err != nil {
			return err
		}
	}
	digest := foxtailwharf.Digest(text)
	manifest, err := i.p.holder.AddManifest(digest, text)
	if err != nil {
		return err
	}
	i.p.c.Origin.Learn(i.release, manifest)
	i.digest, i.chunks = digest, manifest.Chunks
	i.p.mu.Lock()
	i.p.digests[i.release] = digest
	i.p.mu.Unlock()
	return nil
}

// manifestFromPeers asks a few agents for the manifest.
func (i *install) manifestFromPeers(ctx context.Context) ([]byte, error) {
	agents := slices.Clone(i.p.holders())
	rand.Shuffle(len(agents), func(a, b int) { agents[a], agents[b] = agents[b], agents[a] })
	err := errors.New("install.manifestFromPeers: no agent to ask")
	for _, a := range agents[:min(manifestPeers, len(agents))] {
		var text []byte
		if text, err = i.getManifest(ctx, a.Address); err == nil {
			return text, nil
		}
	}
	return nil, err
}

func (i *install) getManifest(ctx context.Context, address netip.AddrPort) ([]byte, error) {
	target := "http://" + address.String() + pathReleases + i.release.Model + "/" + strconv.FormatInt(i.release.Version, 10)
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, target, nil)
	if err != nil {
		return nil, errors.Wrap(err, "install.getManifest")
	}
	response, err := i.p.http.Do(request)
	if err != nil {
		return nil, errors.Wrap(err, "install.getManifest")
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return nil, errors.Errorf("install.getManifest: status %d from %s", response.StatusCode, address)
	}
	return io.ReadAll(io.LimitReader(response.Body, maxManifestBytes))
}

// search takes in the chunks of the release that lie beside the engine, and asks for the
// others.
func (i *install) search(ctx context.Context) error {
	numbers, err := i.p.c.Slot.Staged(ctx, i.release.Model)
	if err != nil {
		return err
	}
	found := 0
	for _, number := range numbers {
		if number < 0 || number >= len(i.chunks) {
			continue
		}
		data, err := i.p.c.Slot.StagedChunk(ctx, i.release.Model, number)
		if err != nil {
			return err
		}
		if i.p.holder.Put(i.chunks[number], data) == nil {
			found++
		}
	}
	i.isSearch = true
	i.keep()
	i.p.fetcher.Want(i.digest)
	i.p.c.Log.Info("agent: Chunks beside the engine were looked through.", zap.Int64("Version", i.release.Version), zap.Int("Found", found))
	return nil
}

// keep drops the chunks of releases before the last one.
func (i *install) keep() {
	i.p.mu.Lock()
	kept := []string{i.digest}
	for release, digest := range i.p.digests {
		switch {
		case release.Model == i.release.Model && release.Version == i.release.Version-1:
			kept = append(kept, digest)
		case release != i.release:
			delete(i.p.digests, release)
		}
	}
	i.p.mu.Unlock()
	i.p.holder.Keep(kept...)
}

// stage lays the chunks beside the engine that are not there as they should be, and
// checks all of them.
func (i *install) stage(ctx context.Context) error {
	started := time.Now()
	laid := 0
	for number, chunk := range i.chunks {
		data, err := i.p.c.Slot.StagedChunk(ctx, i.release.Model, number)
		if err == nil && foxtailwharf.Digest(data) == chunk.Digest {
			continue
		}
		held, isHeld := i.p.holder.Chunk(chunk.Digest)
		if !isHeld {
			return errors.Errorf("install.stage: chunk %d is missing", number)
		}
		if err := i.p.c.Slot.Stage(ctx, i.release.Model, number, held); err != nil {
			return err
		}
		laid++
	}
	if laid == 0 {
		i.checked = started
	}
	i.p.c.Log.Info("agent: Chunks were staged.", zap.Int64("Version", i.release.Version), zap.Int("Laid", laid), zap.Duration("Took", time.Since(started)))
	return nil
}

// load orders the engine to load what was staged. An order without an answer may have
// been accepted; the engine's state tells.
func (i *install) load(ctx context.Context) error {
	state, err := i.p.c.Slot.State(ctx, i.release.Model)
	if err != nil {
		return err
	}
	if state.IsBusy || !state.Born.Equal(i.born) {
		return nil
	}
	i.setLoading(true)
	i.orderedAt = time.Now()
	if err := i.p.c.Slot.Load(ctx, i.release, state.Sequence); err != nil {
		i.isLoadOver()
		return err
	}
	i.p.c.Log.Info("agent: The engine was ordered to load.", zap.Int64("Version", i.release.Version), zap.Int("Running", state.Running), zap.Int("Queued", state.Queued))
	return nil
}
