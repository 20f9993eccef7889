package standin

import (
	"encoding/binary"
	"encoding/json"
	"math/rand/v2"
	"net/http"
	"path"
	"strconv"
	"sync"
	"time"

	"github.com/foxtailwharf/foxtailwharf"
	"github.com/foxtailwharf/foxtailwharf/internal/version/downloader"
)

// OriginFaults are the faults that an Origin injects.
type OriginFaults struct {
	IsDown bool
	// CorruptOneIn is the mean number of chunks per chunk with a flipped bit; 0 for none.
	CorruptOneIn int
	// TruncateOneIn is the mean number of chunks per chunk that is cut off in its middle; 0 for none.
	TruncateOneIn int
	// StallOneIn is the mean number of chunks per chunk that stalls in its middle for StallTime; 0
	// for none.
	StallOneIn int
	StallTime  time.Duration
}

// Origin is a fake of the origin, the server that releases of weights are downloaded from.
type Origin struct {
	mu        sync.Mutex
	manifests map[string][]byte
	chunks    map[string][]byte
	faults    OriginFaults
	random    *rand.Rand
	sent      int64
}

// NewOrigin returns an origin without models. The seed determines which chunks get faults.
func NewOrigin(seed uint64) *Origin {
	return &Origin{
		manifests: make(map[string][]byte),
		chunks:    make(map[string][]byte),
		random:    rand.New(rand.NewPCG(seed, seed)),
	}
}

// SetFaults replaces the faults to inject.
func (o *Origin) SetFaults(faults OriginFaults) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.faults = faults
}

// AddModel generates random weights of a number of chunks. It returns the digest of the manifest,
// which is the version, and the digest of the whole weights.
func (o *Origin) AddModel(model string, seed uint64, chunks, chunkBytes int) (version, weights string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	manifest := foxtailwharf.Manifest{Model: model}
	whole := make([]byte, 0, chunks*chunkBytes)
	random := rand.New(rand.NewPCG(seed, uint64(chunks)))
	for range chunks {
		data := make([]byte, 0, chunkBytes+8)
		for len(data) < chunkBytes {
			data = binary.LittleEndian.AppendUint64(data, random.Uint64())
		}
		data = data[:chunkBytes]
		digest := foxtailwharf.Digest(data)
		o.chunks[digest] = data
		manifest.Chunks = append(manifest.Chunks, foxtailwharf.Chunk{Digest: digest, Size: int64(chunkBytes)})
		whole = append(whole, data...)
	}
	text, _ := json.Marshal(manifest) // a manifest has only strings and numbers, which always encode
	version = foxtailwharf.Digest(text)
	o.manifests[version] = text
	return version, foxtailwharf.Digest(whole)
}

// Sent returns the number of bytes of chunks sent so far.
func (o *Origin) Sent() int64 {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.sent
}

// ServeHTTP serves manifests and chunks by digest.
func (o *Origin) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	o.mu.Lock()
	faults := o.faults
	text, isManifest := o.manifests[path.Base(r.URL.Path)]
	data, isChunk := o.chunks[path.Base(r.URL.Path)]
	o.mu.Unlock()
	switch {
	case faults.IsDown:
		http.Error(w, "fake origin is down", http.StatusBadGateway)
	case isManifest && path.Dir(r.URL.Path)+"/" == downloader.PathManifests:
		_, _ = w.Write(text)
	case isChunk:
		o.serveChunk(w, r, faults, data)
	default:
		http.NotFound(w, r)
	}
}

func (o *Origin) oneIn(count int) bool {
	if count == 0 {
		return false
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.random.IntN(count) == 0
}

func (o *Origin) serveChunk(w http.ResponseWriter, r *http.Request, faults OriginFaults, data []byte) {
	if o.oneIn(faults.CorruptOneIn) {
		data = append([]byte(nil), data...)
		data[len(data)/2] ^= 1
	}
	w.Header().Set("Content-Length", strconv.Itoa(len(data)))
	half := len(data) / 2
	o.write(w, data[:half])
	if o.oneIn(faults.TruncateOneIn) {
		panic(http.ErrAbortHandler)
	}
	if o.oneIn(faults.StallOneIn) {
		timer := time.NewTimer(faults.StallTime)
		defer timer.Stop()
		select {
		case <-timer.C:
		case <-r.Context().Done():
			return
		}
	}
	o.write(w, data[half:])
}

func (o *Origin) write(w http.ResponseWriter, data []byte) {
	n, _ := w.Write(data) // on an error, n bytes were sent
	o.mu.Lock()
	o.sent += int64(n)
	o.mu.Unlock()
}
