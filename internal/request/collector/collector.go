// Package collector reads whole answers into memory. It bounds the size of each answer and of all
// answers together, since an upstream may send bytes without end.
package collector

import (
	"fmt"
	"io"
	"sync"

	"github.com/pkg/errors"
)

const (
	// minReadBytes is the least size by which the buffer of an answer grows.
	minReadBytes = 4 << 10
	// ProgressBytes is how much of an answer has to arrive to count as progress. An upstream that
	// sends a byte now and then makes none.
	ProgressBytes = 4 << 10
)

// Config holds the bounds of a Collector, in bytes.
type Config struct {
	// MaxAnswer is the size of the largest answer.
	MaxAnswer int
	// MaxTotal bounds the memory of all answers beyond the first Unshared bytes of each, so that
	// large answers cannot keep small ones out.
	MaxTotal int
	Unshared int
}

// LimitError is returned for an answer that exceeds a bound.
type LimitError struct {
	Read    int  // bytes that were read
	IsTotal bool // all answers together exceed their bound, and not this one its own
}

// Error returns the bound and the size.
func (e *LimitError) Error() string {
	if e.IsTotal {
		return fmt.Sprintf("no memory left for an answer after %d bytes", e.Read)
	}
	return fmt.Sprintf("answer is too long: over %d bytes", e.Read)
}

// Collector reads answers. It is safe for concurrent use.
type Collector struct {
	c Config

	mu    sync.Mutex
	total int // bytes in use beyond the unshared part of each answer
}

// New returns a collector.
func New(c Config) *Collector {
	return &Collector{c: c}
}

// Body is a whole answer. Release has to be called when it is no longer used.
type Body struct {
	Bytes    []byte
	c        *Collector
	length   int // as announced; 0 if it is not known
	reserved int
}

// Collect reads r to its end. It calls onProgress after each ProgressBytes. The error is a
// *LimitError for an answer that exceeds a bound, and otherwise that of r.
func (c *Collector) Collect(r io.Reader, onProgress func()) (*Body, error) {
	return c.CollectLength(r, 0, onProgress)
}

// CollectLength is Collect for a body whose length in bytes was announced; 0 if it was not. Once more than the unshared part of
// it has arrived, memory for the whole body is taken at once.
func (c *Collector) CollectLength(r io.Reader, length int, onProgress func()) (*Body, error) {
	b := &Body{c: c, length: length}
	reported := 0
	for {
		if err := b.grow(); err != nil {
			b.Release()
			return nil, err
		}
		n, err := r.Read(b.Bytes[len(b.Bytes):cap(b.Bytes)])
		b.Bytes = b.Bytes[:len(b.Bytes)+n]
		if len(b.Bytes)-reported >= ProgressBytes {
			reported = len(b.Bytes)
			onProgress()
		}
		if errors.Is(err, io.EOF) {
			return b, nil
		}
		if err != nil {
			b.Release()
			return nil, err
		}
	}
}

// grow makes room for more bytes. The buffer may exceed the bound by one read, which tells an
// answer of that size from a longer one.
func (b *Body) grow() error {
	size := len(b.Bytes)
	if size > b.c.c.MaxAnswer {
		return &LimitError{Read: size}
	}
	if size < cap(b.Bytes) {
		return nil
	}
	next := max(2*size, minReadBytes)
	if size >= b.c.c.Unshared && size <= b.length {
		// One byte more than the length, so that its end is read without another buffer.
		next = b.length + 1
	}
	next = min(next, b.c.c.MaxAnswer+minReadBytes)
	if !b.reserve(next) {
		return &LimitError{Read: size, IsTotal: true}
	}
	b.Bytes = append(make([]byte, 0, next), b.Bytes...)
	return nil
}

// reserve reserves memory for a buffer of the size. It returns false if there is not enough.
func (b *Body) reserve(size int) bool {
	needed := max(size-b.c.c.Unshared, 0) - b.reserved
	b.c.mu.Lock()
	defer b.c.mu.Unlock()
	if needed > 0 && b.c.total+needed > b.c.c.MaxTotal {
		return false
	}
	b.c.total += needed
	b.reserved += needed
	return true
}

// Release returns the memory of the answer.
func (b *Body) Release() {
	b.c.mu.Lock()
	defer b.c.mu.Unlock()
	b.c.total -= b.reserved
	b.reserved = 0
	b.Bytes = nil
}
