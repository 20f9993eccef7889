package standin

import (
	"fmt"
	"strings"

	"github.com/foxtailwharf/foxtailwharf"
)

// Size of the weights of a release in tests.
const (
	// TestChunkCount is the number of chunks of a release, TestChunkBytes the size of each.
	TestChunkCount = 12
	TestChunkBytes = 4096
)

// TestChunk returns the data of a chunk, which differs by version and number.
func TestChunk(version int64, number int) []byte {
	return []byte(strings.Repeat(fmt.Sprintf("%7d.%7d.", version, number), TestChunkBytes/16))
}

// TestManifest returns the manifest of a version of the model "m".
func TestManifest(version int64) foxtailwharf.Manifest {
	m := foxtailwharf.Manifest{Model: "m"}
	for number := range TestChunkCount {
		data := TestChunk(version, number)
		m.Chunks = append(m.Chunks, foxtailwharf.Chunk{Digest: foxtailwharf.Digest(data), Size: int64(len(data))})
	}
	return m
}
