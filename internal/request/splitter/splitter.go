// Package splitter splits a stream of server-sent events into complete events, so that nothing of
// a truncated event is forwarded.
package splitter

import (
	"bufio"
	"bytes"
	"io"

	"github.com/pkg/errors"
)

// MaxEventBytes is the size above which an event is an error.
const MaxEventBytes = 256 << 10

// Event is a complete event, including the blank line that ends it.
type Event struct {
	Text []byte
	ID   string // of the last id field; empty without one
	// HasData is false for an event without a data field, such as a comment that only keeps a
	// connection open.
	HasData bool
}

// Splitter reads events from a stream.
type Splitter struct {
	reader *bufio.Reader
}

// New returns a splitter that reads from r. It buffers and may read beyond the last event
// returned.
func New(r io.Reader) *Splitter {
	return &Splitter{reader: bufio.NewReader(r)}
}

// Next returns the next complete event. The error is io.EOF if the stream ends between two events, where
// it may have blank lines, and io.ErrUnexpectedEOF if it ends inside one.
func (s *Splitter) Next() (event Event, err error) {
	lineStart := 0
	for {
		part, err := s.reader.ReadSlice('\n')
		event.Text = append(event.Text, part...)
		switch {
		case len(event.Text) > MaxEventBytes:
			return event, errors.Errorf("Splitter.Next: event is longer than %d bytes", MaxEventBytes)
		case errors.Is(err, bufio.ErrBufferFull):
			continue
		case errors.Is(err, io.EOF) && isBlank(event.Text):
			return event, io.EOF
		case errors.Is(err, io.EOF):
			return event, io.ErrUnexpectedEOF
		case err != nil:
			return event, err
		}
		if isBlank(event.Text[lineStart:]) && lineStart > 0 {
			event.readFields()
			return event, nil
		}
		lineStart = len(event.Text)
	}
}

func isBlank(line []byte) bool {
	return len(bytes.TrimRight(line, "\r\n")) == 0
}

// readFields sets the members that come from the fields of the event.
func (e *Event) readFields() {
	for line := range bytes.Lines(e.Text) {
		if value, hasID := bytes.CutPrefix(line, []byte("id:")); hasID {
			e.ID = string(bytes.TrimSpace(value))
		}
		e.HasData = e.HasData || bytes.HasPrefix(line, []byte("data"))
	}
}

// fingerprintField is the start of the JSON field in which an engine names the version that wrote
// an event.
const fingerprintField = `"system_fingerprint":"`

// Version returns the version that wrote an event, and false if the event does not name one.
func (e Event) Version() (string, bool) {
	_, rest, isFound := bytes.Cut(e.Text, []byte(fingerprintField))
	if !isFound {
		return "", false
	}
	version, _, _ := bytes.Cut(rest, []byte(`"`))
	return string(version), true
}
