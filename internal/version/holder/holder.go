// Package holder keeps verified chunks of weights in memory. A chunk is in it
// whole and verified, or not at all. It is safe for use by many goroutines.
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

// Holder keeps the chunks of the versions that an agent has or fetches.
type Holder struct {
	mu       sync.Mutex
	versions map[string]*version
	chunks   map[string][]byte // by digest
	changed  chan struct{}
}

type version struct {
	text     []byte
	manifest foxtailwharf.Manifest
	places   map[string][]int // of each chunk in the manifest, by digest
	bits     []byte           // chunks held, chunk 0 in the lowest bit of the first byte
	held     int
}

// mark notes that a chunk is held.
func (v *version) mark(digest string) {
	for _, place := range v.places[digest] {
		if v.bits[place/8]&(1<<(place%8)) == 0 {
			v.bits[place/8] |= 1 << (place % 8)
			v.held++
		}
	}
}

// New returns an empty holder.
func New() *Holder {
	return &Holder{versions: make(map[string]*version), chunks: make(map[string][]byte), changed: make(chan struct{})}
}

// AddManifest takes in a manifest after checking its digest.
func (h *Holder) AddManifest(digest string, text []byte) (m foxtailwharf.Manifest, err error) {
	if m, err = foxtailwharf.ParseManifest(text, digest); err != nil {
		return m, errors.Wrap(err, "Holder.AddManifest")
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	v := &version{
		text:     text,
		manifest: m,
		places:   make(map[string][]int, len(m.Chunks)),
		bits:     make([]byte, (len(m.Chunks)+7)/8),
	}
	for place, chunk := range m.Chunks {
		v.places[chunk.Digest] = append(v.places[chunk.Digest], place)
	}
	for chunk := range v.places {
		if _, isHeld := h.chunks[chunk]; isHeld {
			v.mark(chunk)
		}
	}
	h.versions[digest] = v
	h.signal()
	return m, nil
}

// Manifest returns the text of a manifest.
func (h *Holder) Manifest(digest string) ([]byte, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	v, isKnown := h.versions[digest]
	if !isKnown {
		return nil, false
	}
	return v.text, true
}

// Put takes in a chunk after checking size and digest. A wrong one is an error
// and leaves nothing behind.
func (h *Holder) Put(chunk foxtailwharf.Chunk, data []byte) error {
	if int64(len(data)) != chunk.Size {
		return errors.Errorf("Holder.Put: a chunk of %d bytes came with %d", chunk.Size, len(data))
	}
	if foxtailwharf.Digest(data) != chunk.Digest {
		return errors.Errorf("Holder.Put: chunk %s is corrupt", chunk.Digest)
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

func (h *Holder) signal() {
	close(h.changed)
	h.changed = make(chan struct{})
}

// Changed returns a channel that is closed at the next change.
func (h *Holder) Changed() <-chan struct{} {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.changed
}

// Chunk returns a chunk, or false.
func (h *Holder) Chunk(digest string) ([]byte, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	data, isHeld := h.chunks[digest]
	return data, isHeld
}

// Await returns a chunk as soon as it is there, or false when the context ends.
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

// Bitmap returns which chunks of a version are held, chunk 0 in the lowest bit
// of the first byte, in base64. It is empty for an unknown version.
func (h *Holder) Bitmap(digest string) string {
	h.mu.Lock()
	defer h.mu.Unlock()
	v, isKnown := h.versions[digest]
	if !isKnown {
		return ""
	}
	return base64.StdEncoding.EncodeToString(v.bits)
}

// Count returns how many chunks of a version are held, and how many it has.
func (h *Holder) Count(digest string) (held, total int) {
	h.mu.Lock()
	defer h.mu.Unlock()
	v, isKnown := h.versions[digest]
	if !isKnown {
		return 0, 0
	}
	return v.held, len(v.manifest.Chunks)
}

// Weights returns the whole weights of a version. It is an error if any chunk is
// missing.
func (h *Holder) Weights(digest string) (io.Reader, int64, error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	v, isKnown := h.versions[digest]
	if !isKnown {
		return nil, 0, errors.Errorf("Holder.Weights: no manifest %s", digest)
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

// Keep drops all versions but the named ones, and the chunks that only they had.
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

// Bytes returns the size of all chunks held.
func (h *Holder) Bytes() (total int64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, data := range h.chunks {
		total += int64(len(data))
	}
	return total
}

// ParseBitmap reads a bitmap of so many chunks.
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
