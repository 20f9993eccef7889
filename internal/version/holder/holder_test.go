package holder_test

import (
	"fmt"
	"strings"
	"testing"

	"github.com/foxtailwharf/foxtailwharf"
	"github.com/foxtailwharf/foxtailwharf/internal/version/holder"
)

// TestManifestInEitherCase checks that a version is complete once its chunks are held, in whichever case its
// manifest names them.
func TestManifestInEitherCase(t *testing.T) {
	data := []byte("weights")
	digest := foxtailwharf.Digest(data)
	for _, written := range []string{digest, strings.ToUpper(digest)} {
		text := []byte(fmt.Sprintf(`{"Model":"m","Chunks":[{"Digest":%q,"Size":%d}]}`, written, len(data)))
		version := foxtailwharf.Digest(text)
		h := holder.New()
		m, err := h.AddManifest(version, text)
		if err != nil {
			t.Fatal(err)
		}
		if err := h.Put(m.Chunks[0], data); err != nil {
			t.Errorf("%s: %v", written, err)
		}
		if held, total := h.Count(version); held != 1 || total != 1 {
			t.Errorf("%s: %d of %d chunks are held", written, held, total)
		}
	}
}
