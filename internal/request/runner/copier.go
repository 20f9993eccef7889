package runner

import (
	"io"
	"net/http"
	"strings"

	"github.com/pkg/errors"

	"github.com/foxtailwharf/foxtailwharf"
	"github.com/foxtailwharf/foxtailwharf/internal/request/splitter"
)

// copier forwards a response in parts: complete events of a stream, which are checked for the
// version that produced them, or blocks of bytes.
type copier struct {
	w        http.ResponseWriter
	version  string
	splitter *splitter.Splitter // only for streams
	body     io.Reader
	buffer   []byte
	sent     int64
	events   int
}

// IsStream reports whether the content type is that of server-sent events.
func IsStream(contentType string) bool {
	return strings.HasPrefix(contentType, "text/event-stream")
}

func (c *copier) prepare(answer foxtailwharf.EngineAnswer) {
	c.body = answer.Body
	if IsStream(answer.ContentType) {
		c.splitter = splitter.New(answer.Body)
		return
	}
	c.buffer = make([]byte, copyBytes)
}

// next returns the next part, and io.EOF at the regular end. A part may come together with an
// error.
func (c *copier) next() (part splitter.Event, err error) {
	if c.splitter == nil {
		n, err := c.body.Read(c.buffer)
		return splitter.Event{Text: c.buffer[:n]}, err
	}
	if part, err = c.splitter.Next(); err != nil {
		// An incomplete event is not forwarded.
		if errors.Is(err, io.ErrUnexpectedEOF) {
			err = &foxtailwharf.EngineError{IsDead: true, Err: err}
		}
		return splitter.Event{}, err
	}
	c.events++
	if version, isSet := part.Version(); isSet && version != c.version {
		return splitter.Event{}, errVersion
	}
	return part, nil
}

// copy sends the given part and all after it. It returns io.EOF at the regular end.
func (c *copier) copy(part splitter.Event, err error) error {
	flusher := http.NewResponseController(c.w)
	for {
		if len(part.Text) > 0 {
			n, writeErr := c.w.Write(part.Text)
			c.sent += int64(n)
			if writeErr != nil {
				return errors.Wrap(writeErr, "copier.copy")
			}
			// A failed flush becomes visible as a failed write of the next part.
			_ = flusher.Flush()
		}
		if err != nil {
			return err
		}
		part, err = c.next()
	}
}

// cost estimates the tokens of the response: one for each event read from a stream, otherwise by
// the number of bytes sent.
func (c *copier) cost() float64 {
	if c.splitter != nil {
		return float64(c.events)
	}
	return float64(c.sent) / bytesPerToken
}
