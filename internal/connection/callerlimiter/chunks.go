package callerlimiter

import "strings"

// chunkPart is the part of a chunked body that a byte belongs to.
type chunkPart int

const (
	chunkSize chunkPart = iota // the line before a chunk
	chunkData
	chunkEnd // the end of the line after a chunk
	chunkTrailer
)

// hexDigits are the digits of the size of a chunk, in the order of their values.
const hexDigits = "0123456789abcdef"

// maxChunkDigits bounds the digits of a size, which net/http does as well.
const maxChunkDigits = 15

// chunkScanner finds the end of a chunked body. The zero value is ready for use.
type chunkScanner struct {
	part      chunkPart
	digits    int
	isSized   bool  // the size is complete; what follows in its line is an extension
	left      int64 // size of the chunk so far, or bytes of it that are left
	lineBytes int   // of the current line of the trailer, without its end
}

// scan reads bytes of a body. It returns how many of them come before its end, and whether that end is among them.
func (s *chunkScanner) scan(p []byte) (n int, isEnd bool) {
	for n < len(p) {
		if s.part == chunkData {
			n += s.skip(len(p) - n)
			continue
		}
		n++
		if s.next(p[n-1]) {
			return n, true
		}
	}
	return n, false
}

// skip skips up to a number of bytes of a chunk and returns how many.
func (s *chunkScanner) skip(limit int) int {
	skipped := min(s.left, int64(limit))
	s.left -= skipped
	if s.left == 0 {
		s.part = chunkEnd
	}
	return int(skipped)
}

// next reads a byte outside the chunks. It returns true for the last one of the body.
func (s *chunkScanner) next(b byte) (isEnd bool) {
	isLineEnd := b == '\n'
	switch {
	case s.part == chunkSize && !isLineEnd:
		s.addDigit(b)
	case s.part == chunkSize && s.left > 0:
		s.part = chunkData
	case s.part == chunkSize:
		s.part = chunkTrailer
	case s.part == chunkEnd && isLineEnd:
		*s = chunkScanner{}
	case s.part == chunkTrailer && isLineEnd:
		isEnd = s.lineBytes == 0
		s.lineBytes = 0
	case s.part == chunkTrailer && b != '\r':
		s.lineBytes++
	}
	return isEnd
}

// addDigit adds a byte of the line before a chunk to its size.
func (s *chunkScanner) addDigit(b byte) {
	value := strings.IndexByte(hexDigits, b|0x20)
	if value < 0 || s.digits >= maxChunkDigits {
		s.isSized = true
	}
	if s.isSized {
		return
	}
	s.digits++
	s.left = s.left<<4 + int64(value)
}
