package distributor

import (
	"bytes"
	"compress/flate"
	"encoding/base64"
	"encoding/json"
	"io"
	"strings"
	"sync"

	"github.com/pkg/errors"

	"github.com/foxtailwharf/foxtailwharf"
)

// maxPackedBytes limits the unpacked size of one document.
const maxPackedBytes = 16 << 20

// compressors keeps compressors for reuse, since each takes several hundred kilobytes.
var compressors sync.Pool

// newCompressor returns a compressor that writes to w, a used one if there is one.
func newCompressor(w io.Writer) (*flate.Writer, error) {
	if used, isCompressor := compressors.Get().(*flate.Writer); isCompressor {
		used.Reset(w)
		return used, nil
	}
	return flate.NewWriter(w, flate.BestSpeed)
}

// packedDocument is a configuration as compressed JSON.
type packedDocument struct {
	version int64
	text    string
}

// packConfiguration returns a configuration as compressed JSON. It keeps the last result, so that
// a configuration is compressed once for all entries that lack it.
func (d *Distributor) packConfiguration(c *foxtailwharf.Configuration) (string, error) {
	d.packedMu.Lock()
	defer d.packedMu.Unlock()
	if d.packed.version == c.Version {
		return d.packed.text, nil
	}
	text, err := pack(c)
	if err != nil {
		return "", err
	}
	d.packed = packedDocument{version: c.Version, text: text}
	return text, nil
}

// pack encodes a document as compressed JSON in base64. Configurations with many routes are
// repetitive and compress well.
func pack(document any) (string, error) {
	var text strings.Builder
	encoder := base64.NewEncoder(base64.StdEncoding, &text)
	compressor, err := newCompressor(encoder)
	if err != nil {
		return "", errors.Wrap(err, "distributor.pack")
	}
	defer compressors.Put(compressor)
	if err := json.NewEncoder(compressor).Encode(document); err != nil {
		return "", errors.Wrap(err, "distributor.pack")
	}
	if err := compressor.Close(); err != nil {
		return "", errors.Wrap(err, "distributor.pack")
	}
	if err := encoder.Close(); err != nil {
		return "", errors.Wrap(err, "distributor.pack")
	}
	return text.String(), nil
}

// unpack decodes the output of pack into document. A document of more than maxPackedBytes fails.
func unpack(text string, document any) error {
	packed, err := base64.StdEncoding.DecodeString(text)
	if err != nil {
		return errors.Wrap(err, "distributor.unpack")
	}
	data, err := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(packed)), maxPackedBytes))
	if err != nil {
		return errors.Wrap(err, "distributor.unpack")
	}
	return errors.Wrap(json.Unmarshal(data, document), "distributor.unpack")
}
