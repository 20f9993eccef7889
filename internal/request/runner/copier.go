package runner

import (
	"io"
	"net/http"
	"strings"

	"github.com/pkg/errors"

	"github.com/foxtailwharf/foxtailwharf"
	"github.com/foxtailwharf/foxtailwharf/internal/request/splitter"
)

// copier passes an answer on piece by piece: whole events of a stream, which are
// checked for the version that wrote them, or blocks of bytes.
type copier struct {
	w        http.ResponseWriter
	version  string
	splitter *splitter.Splitter // streams only
	body     io.Reader
	buffer   []byte
	sent     int64
	events   int
}

// IsStream reports whether an answer is a stream of server-sent events.
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

// next returns the next piece, with io.EOF at the whole end. A piece may come
// together with an error.
func (c *copier) next() (piece splitter.Event, err error) {
	if c.splitter == nil {
		n, err := c.body.Read(c.buffer)
		return splitter.Event{Text: c.buffer[:n]}, err
	}
	if piece, err = c.splitter.Next(); err != nil {
		// A broken event is not passed on.
		if errors.Is(err, io.ErrUnexpectedEOF) {
			err = &foxtailwharf.EngineError{IsDead: true, Err: err}
		}
		return splitter.Event{}, err
	}
	c.events++
	if version, isSaid := piece.Version(); isSaid && version != c.version {
		return splitter.Event{}, errVersion
	}
	return piece, nil
}

// copy sends the first piece and all after it. It returns nil or io.EOF at the
// whole end.
func (c *copier) copy(piece splitter.Event, err error) error {
	flusher := http.NewResponseController(c.w)
	for {
		if len(piece.Text) > 0 {
			n, writeErr := c.w.Write(piece.Text)
			c.sent += int64(n)
			if writeErr != nil {
				return errors.Wrap(writeErr, "copier.copy")
			}
			// A failed flush shows as a failed write of the next piece.
			_ = flusher.Flush()
		}
		if err != nil {
			return err
		}
		piece, err = c.next()
	}
}

// cost returns the tokens of what was sent: one for each event of a stream.
func (c *copier) cost() float64 {
	if c.splitter != nil {
		return float64(c.events)
	}
	return float64(c.sent) / bytesPerToken
}
