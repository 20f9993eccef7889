package callerlimiter

// headScanner counts the bytes of a request head and finds its end, which is an empty line. The zero
// value is ready for use.
type headScanner struct {
	bytes     int // of the head so far, without empty lines before it
	lineBytes int // of the current line, without its end
}

// scan reads bytes of a head. It returns how many of them come before the end of the head, and
// whether that end is among them.
func (s *headScanner) scan(p []byte) (n int, isEnd bool) {
	for i, b := range p {
		isLineEnd := b == '\r' || b == '\n'
		if isLineEnd && s.bytes == 0 {
			continue
		}
		s.bytes++
		switch {
		case !isLineEnd:
			s.lineBytes++
		case b == '\n' && s.lineBytes == 0:
			return i + 1, true
		case b == '\n':
			s.lineBytes = 0
		}
	}
	return len(p), false
}
