package foxtailwharf

import (
	"crypto/rand"
	"crypto/sha256"
	"encoding/hex"
	"hash/fnv"
)

// digestHexLength is the length of a SHA-256 digest in hexadecimal.
const digestHexLength = 2 * sha256.Size

const idBytes = 12

// Digest returns the SHA-256 digest of all parts, one after the other, in lower-case hexadecimal.
func Digest(parts ...[]byte) string {
	h := sha256.New()
	for _, part := range parts {
		// A hash never returns an error.
		_, _ = h.Write(part)
	}
	return hex.EncodeToString(h.Sum(nil))
}

// IsDigest reports whether s has the length and alphabet of a digest. Upper-case letters are
// accepted too.
func IsDigest(s string) bool {
	if len(s) != digestHexLength {
		return false
	}
	_, err := hex.DecodeString(s)
	return err == nil
}

// NewID returns a random identifier for an incarnation, an attempt or a write.
func NewID() string {
	b := make([]byte, idBytes)
	// Read never returns an error. It crashes the process if no random numbers are available.
	_, _ = rand.Read(b)
	return hex.EncodeToString(b)
}

// RendezvousScore returns the score of a candidate for a key in rendezvous hashing. The candidate
// with the highest score owns the key. All processes compute the same score.
func RendezvousScore(key, candidate string) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(key))
	_, _ = h.Write([]byte{0})
	_, _ = h.Write([]byte(candidate))
	return mixBits(h.Sum64())
}

// mixBits is the finalizer of MurmurHash3. It is applied to FNV hashes because their high bits
// differ little between similar inputs.
func mixBits(x uint64) uint64 {
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	x *= 0xc4ceb9fe1a85ec53
	x ^= x >> 33
	return x
}
