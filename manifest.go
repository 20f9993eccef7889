package foxtailwharf

import (
	"encoding/json"
	"strings"

	"github.com/pkg/errors"
)

const (
	maxChunks     = 1 << 16
	maxChunkBytes = 1 << 30
)

// Manifest lists the chunks that make up the weights of a model version, in order.
type Manifest struct {
	Model  string
	Chunks []Chunk
}

// Chunk is a contiguous part of the weights, identified by its digest.
type Chunk struct {
	Digest string // SHA-256 in hexadecimal
	Size   int64  // bytes
}

// ParseManifest parses a manifest and sets the digests of its chunks to lower case. It returns an error if data does not have the given digest or the
// number, digests or sizes of the chunks are invalid.
func ParseManifest(data []byte, digest string) (m Manifest, err error) {
	if Digest(data) != digest {
		return m, errors.Errorf("ParseManifest: manifest does not match the digest %s", digest)
	}
	if err = json.Unmarshal(data, &m); err != nil {
		return m, errors.Wrap(err, "ParseManifest")
	}
	if len(m.Chunks) == 0 || len(m.Chunks) > maxChunks {
		return m, errors.Errorf("ParseManifest: manifest has %d chunks, must be 1 to %d", len(m.Chunks), maxChunks)
	}
	for i, chunk := range m.Chunks {
		if !IsDigest(chunk.Digest) || chunk.Size < 1 || chunk.Size > maxChunkBytes {
			return m, errors.Errorf("ParseManifest: digest or size of chunk %d is invalid", i)
		}
		m.Chunks[i].Digest = strings.ToLower(chunk.Digest)
	}
	return m, nil
}

// Size returns the total size of the weights in bytes.
func (m Manifest) Size() (total int64) {
	for _, chunk := range m.Chunks {
		total += chunk.Size
	}
	return total
}
