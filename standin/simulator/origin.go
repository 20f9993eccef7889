package simulator

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"maps"
	"net/netip"
	"slices"
	"sync"

	"github.com/pkg/errors"

	"github.com/foxtailwharf/foxtailwharf"
	"github.com/foxtailwharf/foxtailwharf/standin"
)

// Origin is an in-memory origin of weights for all agents.
type Origin struct {
	mu            sync.Mutex
	chunks        map[string][]byte
	sent          int64
	manifestReads int // number of manifests that were read
	isDown        bool
	isSpoilt      bool                    // manifests have a wrong digest
	addresses     map[netip.AddrPort]bool // that agents were told
}

// ManifestReads returns how often a manifest was read.
func (o *Origin) ManifestReads() int {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.manifestReads
}

// SetDown makes the origin fail, or work again.
func (o *Origin) SetDown(isDown bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.isDown = isDown
}

// SetSpoilt makes the origin send manifests in which one digest is wrong, or sound ones again.
func (o *Origin) SetSpoilt(isSpoilt bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.isSpoilt = isSpoilt
}

// Sent returns the bytes of the chunks that were read.
func (o *Origin) Sent() int64 {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.sent
}

// SetAddress records the address that an agent was told. This origin has none of its own.
func (o *Origin) SetAddress(address netip.AddrPort) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.addresses[address] = true
}

// TakeAddresses returns the addresses that agents were told since the last call.
func (o *Origin) TakeAddresses() []netip.AddrPort {
	o.mu.Lock()
	defer o.mu.Unlock()
	taken := slices.SortedFunc(maps.Keys(o.addresses), netip.AddrPort.Compare)
	clear(o.addresses)
	return taken
}

// Learn records the chunks of a release, which Chunk then finds by their digests.
func (o *Origin) Learn(release foxtailwharf.Release, m foxtailwharf.Manifest) {
	o.mu.Lock()
	defer o.mu.Unlock()
	for number, chunk := range m.Chunks {
		o.chunks[chunk.Digest] = standin.TestChunk(release.Version, number)
	}
}

// ReleaseManifest returns the manifest of a release. It fails while the origin is down.
func (o *Origin) ReleaseManifest(_ context.Context, release foxtailwharf.Release) ([]byte, error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.isDown {
		return nil, errors.New("origin is down")
	}
	o.manifestReads++
	m := standin.TestManifest(release.Version)
	if o.isSpoilt {
		spoilt := &m.Chunks[o.manifestReads%len(m.Chunks)]
		spoilt.Digest = foxtailwharf.Digest([]byte(spoilt.Digest))
	}
	return json.Marshal(m)
}

// Manifest fails always, since this origin knows manifests by version only.
func (o *Origin) Manifest(context.Context, string) ([]byte, error) {
	return nil, errors.New("origin knows manifests by version only")
}

// Chunk returns the data of a chunk of a release that Learn has recorded.
func (o *Origin) Chunk(_ context.Context, digest string) (io.ReadCloser, error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	data, isKnown := o.chunks[digest]
	if o.isDown || !isKnown {
		return nil, errors.New("origin is down or does not have the chunk")
	}
	o.sent += int64(len(data))
	return io.NopCloser(bytes.NewReader(data)), nil
}
