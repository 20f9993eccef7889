// Package bodyreader reads whole bodies into memory. A peer may send bytes without end, and a body that is cut at a bound
// must not be taken for a whole one.
package bodyreader

import (
	"fmt"
	"io"
)

// LimitError is returned for a body that is longer than its limit.
type LimitError struct {
	Limit int64 // bytes
}

// Error returns the limit.
func (e *LimitError) Error() string {
	return fmt.Sprintf("body is longer than %d bytes", e.Limit)
}

// ReadAll reads a body of at most limit bytes to its end. It reads one byte more at the most, and returns a *LimitError for
// a longer body.
func ReadAll(r io.Reader, limit int64) ([]byte, error) {
	data, err := io.ReadAll(io.LimitReader(r, limit+1))
	if err != nil {
		return nil, err
	}
	if int64(len(data)) > limit {
		return nil, &LimitError{Limit: limit}
	}
	return data, nil
}
