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

// packedDocument keeps a document as compressed JSON, so that it is compressed once for all entries that lack it. It
// is safe for concurrent use.
type packedDocument struct {
	mu      sync.Mutex
	version uint64 // of the document; the text is empty before the first
	text    string
}

// pack returns the document as compressed JSON. Documents of the same version must be the same.
func (p *packedDocument) pack(version uint64, document any) (string, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.text != "" && p.version == version {
		return p.text, nil
	}
	text, err := pack(document)
	if err != nil {
		return "", err
	}
	p.version, p.text = version, text
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

// maxKeptBytes is the size of the largest unpacked text whose memory is kept for the next one.
const maxKeptBytes = 4 << 20

// unpacker unpacks documents, one at a time.
type unpacker struct {
	decompressor io.ReadCloser // also a flate.Resetter
	text         bytes.Buffer
}

// unpackers keeps unpackers for reuse, since the text of a document and the window of the decompressor take much memory.
var unpackers = sync.Pool{New: func() any { return &unpacker{decompressor: flate.NewReader(nil)} }}

// unpack decodes the output of pack into document. A document of more than maxPackedBytes fails.
func unpack(text string, document any) error {
	packed, err := base64.StdEncoding.DecodeString(text)
	if err != nil {
		return errors.Wrap(err, "distributor.unpack")
	}
	u := unpackers.Get().(*unpacker)
	defer func() {
		if u.text.Cap() <= maxKeptBytes {
			unpackers.Put(u)
		}
	}()
	if err := u.decompress(packed); err != nil {
		return errors.Wrap(err, "distributor.unpack")
	}
	return errors.Wrap(json.Unmarshal(u.text.Bytes(), document), "distributor.unpack")
}

// decompress sets the text to up to maxPackedBytes of what is packed.
func (u *unpacker) decompress(packed []byte) error {
	u.text.Reset()
	if err := u.decompressor.(flate.Resetter).Reset(bytes.NewReader(packed), nil); err != nil {
		return err
	}
	_, err := u.text.ReadFrom(io.LimitReader(u.decompressor, maxPackedBytes))
	return err
}
