package provisioner

import (
	"context"
	"math/rand/v2"
	"net/http"
	"net/netip"
	"slices"
	"strconv"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"github.com/foxtailwharf/foxtailwharf"
	"github.com/foxtailwharf/foxtailwharf/internal/connection/bodyreader"
	"github.com/foxtailwharf/foxtailwharf/internal/version/planner"
)

const (
	// manifestPeers is the number of agents asked for a manifest in one attempt.
	manifestPeers = 3
	// manifestTimeout bounds one attempt to read a manifest from any source.
	manifestTimeout = time.Second
	// manifestDoubtTime is how long no chunk has arrived when a manifest is read again because a chunk differs from it, and
	// maxManifestDoubtTime without that.
	manifestDoubtTime    = 500 * time.Millisecond
	maxManifestDoubtTime = 2 * time.Second
	// manifestRecheckInterval is the time between two readings of a manifest.
	manifestRecheckInterval = time.Second
	// maxManifestBytes bounds the size of a manifest read from another agent.
	maxManifestBytes = 1 << 20
	// originReadersGrace is how long only the chosen agents read a manifest from the origin. After
	// that every agent does, because a chosen agent may be gone.
	originReadersGrace = 800 * time.Millisecond
)

// readManifest reads a release's manifest from the origin or from another agent, and drops
// releases that are no longer needed.
func (i *installLoop) readManifest(ctx context.Context, r *releaseState) error {
	ctx, cancel := context.WithTimeout(ctx, manifestTimeout)
	defer cancel()
	i.noteRead(r)
	text, err := i.findManifest(ctx, r)
	if err != nil {
		return err
	}
	return i.useManifest(r, text)
}

// noteRead records that the manifest is being read.
func (i *installLoop) noteRead(r *releaseState) {
	r.readAt, r.mismatches = time.Now(), i.p.fetcher.Mismatches()
}

// isDoubtful reports whether the manifest of a release may be corrupt: a chunk that was received differs from it, or no chunk arrives
// for long. Its digest does not tell, since it is that of what was received.
func (i *installLoop) isDoubtful(r *releaseState) bool {
	p := i.progress(r)
	if p.Held == p.Total || time.Since(r.readAt) < manifestRecheckInterval {
		return false
	}
	return p.Idle > manifestDoubtTime && (p.Idle > maxManifestDoubtTime || i.p.fetcher.Mismatches() > r.mismatches)
}

// rereadManifest reads a release's manifest from the origin once more. The chunks that another manifest names as well are kept.
func (i *installLoop) rereadManifest(ctx context.Context, r *releaseState) error {
	ctx, cancel := context.WithTimeout(ctx, manifestTimeout)
	defer cancel()
	i.noteRead(r)
	text, err := i.p.c.Origin.ReleaseManifest(ctx, r.release)
	if err != nil {
		return err
	}
	if foxtailwharf.Digest(text) == r.digest {
		return nil
	}
	i.p.c.Log.Warn("agent: the origin sent another manifest of the release; it is used from now on", zap.Int64("Version", r.release.Version))
	return i.useManifest(r, text)
}

// useManifest makes a manifest that of a release.
func (i *installLoop) useManifest(r *releaseState, text []byte) error {
	digest := foxtailwharf.Digest(text)
	manifest, err := i.p.holder.AddManifest(digest, text)
	if err != nil {
		return err
	}
	i.p.c.Origin.Learn(r.release, manifest)
	r.digest, r.chunks, r.progressedAt = digest, manifest.Chunks, time.Now()
	i.p.mu.Lock()
	i.p.manifestDigests[r.release] = digest
	i.p.mu.Unlock()
	i.dropOldReleases(r.release)
	return nil
}

// findManifest reads from the origin if this agent was chosen to or originReadersGrace has passed.
// Otherwise, or if the origin fails, it asks other agents.
func (i *installLoop) findManifest(ctx context.Context, r *releaseState) (text []byte, err error) {
	readers, isReader := i.originReaders(r.release)
	if isReader || time.Since(r.firstHeardAt) > originReadersGrace {
		if text, err = i.p.c.Origin.ReleaseManifest(ctx, r.release); err == nil {
			return text, nil
		}
		readers = i.p.holders()
	}
	return i.manifestFromPeers(ctx, readers, r.release)
}

// originReaders returns the agents chosen to read a manifest from the origin, and whether this
// agent should read it. An agent that knows no others always should.
func (i *installLoop) originReaders(release foxtailwharf.Release) (readers []foxtailwharf.Instance, isReader bool) {
	owners := i.p.owners()
	byName := make(map[string]foxtailwharf.Instance, len(owners))
	names := make([]string, 0, len(owners))
	for _, a := range owners {
		byName[a.Name] = a
		names = append(names, a.Name)
	}
	self := i.p.self().Name
	for _, name := range planner.OriginReaders(names, strconv.FormatInt(release.Version, 10)) {
		isReader = isReader || name == self
		readers = append(readers, byName[name])
	}
	return readers, isReader || len(readers) == 0
}

// manifestFromPeers asks up to manifestPeers of the agents, in random order.
func (i *installLoop) manifestFromPeers(ctx context.Context, agents []foxtailwharf.Instance, release foxtailwharf.Release) ([]byte, error) {
	agents = slices.Clone(agents)
	rand.Shuffle(len(agents), func(a, b int) { agents[a], agents[b] = agents[b], agents[a] })
	err := errors.New("installLoop.manifestFromPeers: no other agent is known")
	for _, a := range agents[:min(manifestPeers, len(agents))] {
		var text []byte
		if text, err = i.getManifest(ctx, a.Address, release); err == nil {
			return text, nil
		}
	}
	return nil, err
}

func (i *installLoop) getManifest(ctx context.Context, address netip.AddrPort, release foxtailwharf.Release) ([]byte, error) {
	target := "http://" + address.String() + pathReleases + release.Model + "/" + strconv.FormatInt(release.Version, 10)
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, target, nil)
	if err != nil {
		return nil, errors.Wrap(err, "installLoop.getManifest")
	}
	response, err := i.p.http.Do(request)
	if err != nil {
		return nil, errors.Wrap(err, "installLoop.getManifest")
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return nil, errors.Errorf("installLoop.getManifest: status %d from %s", response.StatusCode, address)
	}
	return bodyreader.ReadAll(response.Body, maxManifestBytes)
}

// dropOldReleases drops the chunks of all releases except the newest and the one before it.
func (i *installLoop) dropOldReleases(newest foxtailwharf.Release) {
	i.p.mu.Lock()
	var kept []string
	for release, digest := range i.p.manifestDigests {
		if release.Model == newest.Model && release.Version >= newest.Version-1 {
			kept = append(kept, digest)
			continue
		}
		delete(i.p.manifestDigests, release)
	}
	i.p.mu.Unlock()
	i.p.holder.Keep(kept...)
}
