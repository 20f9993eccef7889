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

	"github.com/foxtailwharf/foxtailwharf"
	"github.com/foxtailwharf/foxtailwharf/internal/version/installer"
)

// Constants of manifests.
const (
	// manifestPeers is the number of agents asked for a manifest in one try.
	manifestPeers = 3
	// manifestTime bounds the reading of a manifest.
	manifestTime = time.Second
	// maxManifestBytes bounds a manifest.
	maxManifestBytes = 1 << 20
	// readersTime is how long the agents that read a manifest from the origin are given
	// before all others ask it too: one of them may be gone.
	readersTime = 800 * time.Millisecond
)

// readManifest reads a release's manifest, from the origin or another agent.
func (i *install) readManifest(ctx context.Context, b *bundle) error {
	ctx, cancel := context.WithTimeout(ctx, manifestTime)
	defer cancel()
	text, err := i.findManifest(ctx, b)
	if err != nil {
		return err
	}
	digest := foxtailwharf.Digest(text)
	manifest, err := i.p.holder.AddManifest(digest, text)
	if err != nil {
		return err
	}
	i.p.c.Origin.Learn(b.release, manifest)
	b.digest, b.chunks, b.advanced = digest, manifest.Chunks, time.Now()
	i.p.mu.Lock()
	i.p.digests[b.release] = digest
	i.p.mu.Unlock()
	i.keep(b.release)
	return nil
}

// findManifest asks the origin if that is this agent's part or the others had time enough,
// and agents otherwise.
func (i *install) findManifest(ctx context.Context, b *bundle) (text []byte, err error) {
	readers, isReader := i.originReaders(b.release)
	if isReader || time.Since(b.wanted) > readersTime {
		if text, err = i.p.c.Origin.ReleaseManifest(ctx, b.release); err == nil {
			return text, nil
		}
		readers = i.p.holders()
	}
	return i.manifestFromPeers(ctx, readers, b.release)
}

// originReaders returns the agents that read a manifest from the origin, and whether this
// one does. It does while it knows no others.
func (i *install) originReaders(release foxtailwharf.Release) (readers []foxtailwharf.Instance, isReader bool) {
	holders := i.p.holders()
	byName := make(map[string]foxtailwharf.Instance, len(holders))
	names := make([]string, 0, len(holders))
	for _, a := range holders {
		byName[a.Name] = a
		names = append(names, a.Name)
	}
	self := i.p.self().Name
	for _, name := range installer.OriginReaders(names, strconv.FormatInt(release.Version, 10)) {
		isReader = isReader || name == self
		readers = append(readers, byName[name])
	}
	return readers, isReader || len(readers) == 0
}

// manifestFromPeers asks a few of the agents for a manifest.
func (i *install) manifestFromPeers(ctx context.Context, agents []foxtailwharf.Instance, release foxtailwharf.Release) ([]byte, error) {
	agents = slices.Clone(agents)
	rand.Shuffle(len(agents), func(a, b int) { agents[a], agents[b] = agents[b], agents[a] })
	err := errors.New("install.manifestFromPeers: no agent to ask")
	for _, a := range agents[:min(manifestPeers, len(agents))] {
		var text []byte
		if text, err = i.getManifest(ctx, a.Address, release); err == nil {
			return text, nil
		}
	}
	return nil, err
}

func (i *install) getManifest(ctx context.Context, address netip.AddrPort, release foxtailwharf.Release) ([]byte, error) {
	target := "http://" + address.String() + pathReleases + release.Model + "/" + strconv.FormatInt(release.Version, 10)
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

// keep drops the chunks of all releases but this one and the one before it.
func (i *install) keep(newest foxtailwharf.Release) {
	i.p.mu.Lock()
	var kept []string
	for release, digest := range i.p.digests {
		if release.Model == newest.Model && release.Version >= newest.Version-1 {
			kept = append(kept, digest)
			continue
		}
		delete(i.p.digests, release)
	}
	i.p.mu.Unlock()
	i.p.holder.Keep(kept...)
}
