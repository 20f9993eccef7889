// Package headlimiter bounds the head of an HTTP response. http.ReadResponse reads a head to its end,
// whatever its length, and a peer may send one without end.
package headlimiter

import (
	"bufio"
	"net"
	"net/http"

	"github.com/pkg/errors"
)

// MaxHeadBytes bounds the head of a response, together with all informational heads before it.
const MaxHeadBytes = 64 << 10

// ErrTooLong means that a head exceeds MaxHeadBytes.
var ErrTooLong = errors.Errorf("head of the response is longer than %d bytes", MaxHeadBytes)

// Conn is a connection on which the bytes of a head are counted. One goroutine may read from it at a
// time.
type Conn struct {
	net.Conn
	isReadingHead bool
	headBytes     int // received since ReadResponse began
}

// Read reads from the connection. While the head of a response is read, it bounds the bytes.
func (c *Conn) Read(p []byte) (int, error) {
	if !c.isReadingHead {
		return c.Conn.Read(p)
	}
	if c.headBytes >= MaxHeadBytes {
		return 0, ErrTooLong
	}
	n, err := c.Conn.Read(p[:min(len(p), MaxHeadBytes-c.headBytes)])
	c.headBytes += n
	return n, err
}

// ReadResponse reads the status and header of the final response to a request and skips
// informational ones. The reader must read from c.
func (c *Conn) ReadResponse(reader *bufio.Reader, request *http.Request) (*http.Response, error) {
	c.isReadingHead, c.headBytes = true, 0
	defer func() { c.isReadingHead = false }()
	for {
		response, err := http.ReadResponse(reader, request)
		if err != nil {
			return nil, err
		}
		if response.StatusCode >= http.StatusOK || response.StatusCode == http.StatusSwitchingProtocols {
			return response, nil
		}
	}
}
