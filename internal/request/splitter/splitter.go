// Package splitter cuts a stream of server-sent events into whole events, so that
// nothing is passed on of an event that broke off.
package splitter

import (
	"bufio"
	"bytes"
	"io"

	"github.com/pkg/errors"
)

// MaxEventBytes bounds one event.
const MaxEventBytes = 1 << 20

// Event is one whole event with its closing blank line.
type Event struct {
	Text []byte
	ID   string // empty where the event has none
}

// Splitter reads events.
type Splitter struct {
	reader *bufio.Reader
}

// New returns a splitter of a stream.
func New(r io.Reader) *Splitter {
	return &Splitter{reader: bufio.NewReader(r)}
}

// Next returns the next whole event, io.EOF at a clean end, and
// io.ErrUnexpectedEOF if the stream ends inside an event.
func (s *Splitter) Next() (event Event, err error) {
	for {
		line, err := s.reader.ReadSlice('\n')
		event.Text = append(event.Text, line...)
		switch {
		case errors.Is(err, bufio.ErrBufferFull) && len(event.Text) <= MaxEventBytes:
			continue
		case errors.Is(err, io.EOF) && len(event.Text) == 0:
			return event, io.EOF
		case errors.Is(err, io.EOF):
			return event, io.ErrUnexpectedEOF
		case err != nil:
			return event, err
		case len(event.Text) > MaxEventBytes:
			return event, errors.New("Splitter.Next: an event is too long")
		}
		if isBlank(line) && len(event.Text) > len(line) {
			event.ID = idOf(event.Text)
			return event, nil
		}
	}
}

func isBlank(line []byte) bool {
	return len(bytes.TrimRight(line, "\r\n")) == 0
}

// idOf returns the value of the event's id field.
func idOf(text []byte) (id string) {
	for line := range bytes.Lines(text) {
		if value, hasID := bytes.CutPrefix(line, []byte("id:")); hasID {
			id = string(bytes.TrimSpace(value))
		}
	}
	return id
}

// fingerprint is the field in which an engine says with each event which version
// wrote it.
const fingerprint = `"system_fingerprint":"`

// Version returns the version that wrote an event, and false where it does not say.
func (e Event) Version() (string, bool) {
	_, rest, isFound := bytes.Cut(e.Text, []byte(fingerprint))
	if !isFound {
		return "", false
	}
	version, _, _ := bytes.Cut(rest, []byte(`"`))
	return string(version), true
}
