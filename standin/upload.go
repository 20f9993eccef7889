package standin

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"

	"github.com/pkg/errors"
)

// errInterimAnswer is the error of a caller that gets "100 Continue" where a final answer is due.
var errInterimAnswer = errors.New("the caller was told to send its body")

// Upload is the request of a caller that sends its whole body before it reads the answer.
type Upload struct {
	Path      string
	Header    http.Header
	Bytes     int           // of the body
	Duration  time.Duration // over which the body is sent, in uploadParts parts; 0 for at once
	IsChunked bool
	// ExpectsContinue sets "Expect: 100-continue". The body is sent in spite of it, unless
	// WaitsForContinue is set.
	ExpectsContinue, WaitsForContinue bool
}

// UploadAnswer is what the caller of an Upload has read.
type UploadAnswer struct {
	Status   int
	Body     string
	IsClosed bool          // the answer says that the connection is going to be closed
	After    time.Duration // from the end of the head to the whole answer
}

// uploadParts is the number of parts in which a body is sent over a Duration.
const uploadParts = 20

// uploadByte fills the bodies. A server that took one for a request would answer it as malformed.
const uploadByte = "\n"

// Caller sends uploads on one connection.
type Caller struct {
	conn   net.Conn
	reader *bufio.Reader
}

// NewCaller returns a caller on a connection, which it owns.
func NewCaller(conn net.Conn) *Caller {
	return &Caller{conn: conn, reader: bufio.NewReader(conn)}
}

// Close closes the connection.
func (c *Caller) Close() error {
	return c.conn.Close()
}

// Send sends a request, and reads its answer only once the body has been sent. It fails if any part of
// the body cannot be sent, or if the answer is incomplete.
func (c *Caller) Send(u Upload) (UploadAnswer, error) {
	// A large part takes time to build, and the server waits only so long for the first byte of some bodies.
	var first []byte
	if u.ExpectsContinue && !u.WaitsForContinue {
		first = u.part(0)
	}
	if _, err := c.conn.Write(u.head()); err != nil {
		return UploadAnswer{}, errors.Wrap(err, "Caller.Send: head")
	}
	started := time.Now()
	if !u.WaitsForContinue {
		if err := c.sendBody(u, first); err != nil {
			return UploadAnswer{}, errors.Wrap(err, "Caller.Send: body")
		}
	}
	answer, err := c.readAnswer(u)
	answer.After = time.Since(started)
	return answer, err
}

// head returns the request line and the header.
func (u Upload) head() []byte {
	var head bytes.Buffer
	_, _ = fmt.Fprintf(&head, "POST %s HTTP/1.1\r\nHost: h\r\n", u.Path)
	// Writing to memory does not fail.
	_ = u.Header.Write(&head)
	if u.ExpectsContinue {
		head.WriteString("Expect: 100-continue\r\n")
	}
	if u.IsChunked {
		head.WriteString("Transfer-Encoding: chunked\r\n\r\n")
	} else {
		_, _ = fmt.Fprintf(&head, "Content-Length: %d\r\n\r\n", u.Bytes)
	}
	return head.Bytes()
}

// sendBody sends the body in even parts. The first one may have been built before.
func (c *Caller) sendBody(u Upload, part []byte) error {
	for n := range u.parts() {
		if part == nil {
			part = u.part(n)
		}
		if _, err := c.conn.Write(part); err != nil {
			return err
		}
		part = nil // many callers wait here at a time
		time.Sleep(u.Duration / time.Duration(u.parts()))
	}
	if !u.IsChunked {
		return nil
	}
	_, err := io.WriteString(c.conn, "0\r\n\r\n")
	return err
}

// parts returns the number of parts in which the body is sent.
func (u Upload) parts() int {
	if u.Duration > 0 {
		return uploadParts
	}
	return 1
}

// part returns a part of the body as it is sent.
func (u Upload) part(n int) []byte {
	size := u.Bytes*(n+1)/u.parts() - u.Bytes*n/u.parts()
	part := bytes.Repeat([]byte(uploadByte), size)
	if u.IsChunked && size > 0 {
		part = fmt.Appendf(nil, "%x\r\n%s\r\n", size, part)
	}
	return part
}

// readAnswer reads the final answer.
func (c *Caller) readAnswer(u Upload) (UploadAnswer, error) {
	for {
		answer, err := c.readOne()
		switch {
		case err != nil || answer.Status >= http.StatusOK:
			return answer, err
		case u.WaitsForContinue:
			return answer, errInterimAnswer
		}
	}
}

// readOne reads an answer, which may be an interim one.
func (c *Caller) readOne() (UploadAnswer, error) {
	response, err := http.ReadResponse(c.reader, nil)
	if err != nil {
		return UploadAnswer{}, errors.Wrap(err, "Caller.readOne")
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	return UploadAnswer{Status: response.StatusCode, Body: string(body), IsClosed: response.Close}, errors.Wrap(err, "Caller.readOne")
}

// ReadEnd reads until the server closes the connection, and returns what it has sent since the last
// answer.
func (c *Caller) ReadEnd() (string, error) {
	rest, err := io.ReadAll(c.reader)
	return string(rest), err
}
