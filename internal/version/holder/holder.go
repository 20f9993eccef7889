// Package holder stores chunks of weights in memory. A chunk is added only after its size and
// digest were verified.
package holder

import (
	"bytes"
	"context"
	"encoding/base64"
	"io"
	"sync"

	"github.com/pkg/errors"

	"github.com/foxtailwharf/foxtailwharf"
)

// Holder stores the manifests and chunks of the versions that an agent has or fetches. Versions are
// named by the digests of their manifests. It is safe for concurrent use.
type Holder struct {
	mu       sync.Mutex
	versions map[string]*version
	chunks   map[string][]byte // by digest
	changed  chan struct{}     // closed and replaced when a manifest or chunk is added
}

type version struct {
	text      []byte
	manifest  foxtailwharf.Manifest
	positions map[string][]int // indexes of each chunk in the manifest, by digest
	bits      []byte           // bitmap of held chunks, see Holder.Bitmap
	held      int              // number of bits set
}

// mark records in the bitmap that a chunk is held.
func (v *version) mark(digest string) {
	for _, position := range v.positions[digest] {
		if v.bits[position/8]&(1<<(position%8)) == 0 {
			v.bits[position/8] |= 1 << (position % 8)
			v.held++
		}
	}
}

// New returns an empty holder.
func New() *Holder {
	return &Holder{versions: make(map[string]*version), chunks: make(map[string][]byte), changed: make(chan struct{})}
}

// AddManifest stores a manifest after it has verified its digest.
func (h *Holder) AddManifest(digest string, text []byte) (m foxtailwharf.Manifest, err error) {
	if m, err = foxtailwharf.ParseManifest(text, digest); err != nil {
		return m, errors.Wrap(err, "Holder.AddManifest")
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	v := &version{
		text:      text,
		manifest:  m,
		positions: make(map[string][]int, len(m.Chunks)),
		bits:      make([]byte, (len(m.Chunks)+7)/8),
	}
	for position, chunk := range m.Chunks {
		v.positions[chunk.Digest] = append(v.positions[chunk.Digest], position)
	}
	for chunk := range v.positions {
		if _, isHeld := h.chunks[chunk]; isHeld {
			v.mark(chunk)
		}
	}
	h.versions[digest] = v
	h.signal()
	return m, nil
}

// Manifest returns the encoded manifest with a digest, or false if it is not stored.
func (h *Holder) Manifest(digest string) ([]byte, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	v, isKnown := h.versions[digest]
	if !isKnown {
		return nil, false
	}
	return v.text, true
}

// Put stores a chunk, or returns an error and stores nothing if its size or digest is wrong. The
// holder keeps data, which must not be modified afterwards.
func (h *Holder) Put(chunk foxtailwharf.Chunk, data []byte) error {
	if int64(len(data)) != chunk.Size {
		return errors.Errorf("Holder.Put: want a chunk of %d bytes, have %d", chunk.Size, len(data))
	}
	if foxtailwharf.Digest(data) != chunk.Digest {
		return errors.Errorf("Holder.Put: chunk %s does not match its digest", chunk.Digest)
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.chunks[chunk.Digest] = data
	for _, v := range h.versions {
		v.mark(chunk.Digest)
	}
	h.signal()
	return nil
}

// signal wakes the goroutines that wait on Changed. The lock must be held.
func (h *Holder) signal() {
	close(h.changed)
	h.changed = make(chan struct{})
}

// Changed returns a channel that is closed when a manifest or chunk is added next.
func (h *Holder) Changed() <-chan struct{} {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.changed
}

// Chunk returns a chunk, or false if it is not stored. The caller must not modify it.
func (h *Holder) Chunk(digest string) ([]byte, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	data, isHeld := h.chunks[digest]
	return data, isHeld
}

// Await waits for a chunk and returns it, or false if ctx is done first.
func (h *Holder) Await(ctx context.Context, digest string) ([]byte, bool) {
	for {
		changed := h.Changed()
		if data, isHeld := h.Chunk(digest); isHeld {
			return data, true
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return nil, false
		}
	}
}

// Bitmap returns which chunks of a version are held, as a bitmap in base64 with chunk 0 in the
// lowest bit of the first byte. It is empty for an unknown version.
func (h *Holder) Bitmap(digest string) string {
	h.mu.Lock()
	defer h.mu.Unlock()
	v, isKnown := h.versions[digest]
	if !isKnown {
		return ""
	}
	return base64.StdEncoding.EncodeToString(v.bits)
}

// Count returns how many chunks of a version are held and how many it consists of; 0 and 0 for an
// unknown version.
func (h *Holder) Count(digest string) (held, total int) {
	h.mu.Lock()
	defer h.mu.Unlock()
	v, isKnown := h.versions[digest]
	if !isKnown {
		return 0, 0
	}
	return v.held, len(v.manifest.Chunks)
}

// Weights returns a reader of the complete weights of a version and their size in bytes. It returns
// an error if any chunk is missing.
func (h *Holder) Weights(digest string) (io.Reader, int64, error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	v, isKnown := h.versions[digest]
	if !isKnown {
		return nil, 0, errors.Errorf("Holder.Weights: manifest %s is missing", digest)
	}
	readers := make([]io.Reader, 0, len(v.manifest.Chunks))
	for i, chunk := range v.manifest.Chunks {
		data, isHeld := h.chunks[chunk.Digest]
		if !isHeld {
			return nil, 0, errors.Errorf("Holder.Weights: chunk %d of %s is missing", i, digest)
		}
		readers = append(readers, bytes.NewReader(data))
	}
	return io.MultiReader(readers...), v.manifest.Size(), nil
}

// Keep removes all versions except the given ones, and all chunks that these do not contain.
func (h *Holder) Keep(digests ...string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	versions := make(map[string]*version)
	wanted := make(map[string]bool)
	for _, digest := range digests {
		v, isKnown := h.versions[digest]
		if !isKnown {
			continue
		}
		versions[digest] = v
		for _, chunk := range v.manifest.Chunks {
			wanted[chunk.Digest] = true
		}
	}
	h.versions = versions
	for digest := range h.chunks {
		if !wanted[digest] {
			delete(h.chunks, digest)
		}
	}
}

// Bytes returns the total size of the stored chunks in bytes.
func (h *Holder) Bytes() (total int64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, data := range h.chunks {
		total += int64(len(data))
	}
	return total
}

// ParseBitmap decodes a result of Holder.Bitmap for a version of count chunks. Chunks beyond the
// end of the bitmap count as not held.
func ParseBitmap(text string, count int) (has []bool, err error) {
	var bits []byte
	if bits, err = base64.StdEncoding.DecodeString(text); err != nil {
		return nil, errors.Wrap(err, "ParseBitmap")
	}
	has = make([]bool, count)
	for i := range has {
		has[i] = i/8 < len(bits) && bits[i/8]&(1<<(i%8)) != 0
	}
	return has, nil
}
