package forwarder_test

import (
	"bufio"
	"cmp"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/foxtailwharf/foxtailwharf/standin"
)

// copyTime is when an upstream sends the second copy of an answer.
type copyTime int

const (
	copyAtOnce      copyTime = iota // together with the answer
	copyWhileIdle                   // while the connection is in the pool
	copyBeforeReply                 // right before the answer to the next request on the connection
)

// copyingUpstream answers each request with the ID of its call, or with the path of one without ID, and
// sends a second copy of each answer on the same connection.
type copyingUpstream struct {
	when copyTime
}

func (u *copyingUpstream) serve(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	reader := bufio.NewReader(conn)
	last := ""
	for {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		// A body that cannot be read shows at the next request.
		_, _ = io.Copy(io.Discard, r.Body)
		id := r.Header.Get(standin.HeaderCall)
		body := cmp.Or(id, r.URL.Path)
		reply := fmt.Sprintf("HTTP/1.1 200 OK\r\n%s: %s\r\n%s: 2\r\nContent-Length: %d\r\n\r\n%s", standin.HeaderCall, id, standin.HeaderSigned, len(body), body)
		text := reply
		switch u.when {
		case copyAtOnce:
			text += reply
		case copyBeforeReply:
			text = last + reply
		case copyWhileIdle:
		}
		if _, err := io.WriteString(conn, text); err != nil {
			return
		}
		if u.when == copyWhileIdle {
			time.Sleep(20 * time.Millisecond)
			_, _ = io.WriteString(conn, reply)
		}
		last = reply
	}
}

// TestSecondCopy checks that a second copy of an answer never reaches another caller, whenever it
// arrives, and that calls which may not be repeated are not harmed.
func TestSecondCopy(t *testing.T) {
	for name, when := range map[string]copyTime{"at once": copyAtOnce, "while idle": copyWhileIdle, "before the next reply": copyBeforeReply} {
		t.Run(name, func(t *testing.T) {
			run(t, func(b *bench) {
				u := b.raw(2, (&copyingUpstream{when: when}).serve)
				for n := range 20 {
					path := []string{"/look/1", "/book/1"}[n%2]
					a := b.call(path, nil)
					if a.status == http.StatusOK && a.body != a.id {
						t.Errorf("%s got the answer of %s", a.id, a.body)
					}
					if path == "/book/1" && a.status != http.StatusOK {
						t.Errorf("%s: status %d, want 200", a.id, a.status)
					}
					time.Sleep(50 * time.Millisecond)
				}
				b.requester.CloseIdle()
				u.close()
			})
		})
	}
}

// TestSecondCopyWithoutID checks that a second copy of an answer does not reach another caller whose call has
// no ID to tell it by.
func TestSecondCopyWithoutID(t *testing.T) {
	run(t, func(b *bench) {
		u := b.raw(2, (&copyingUpstream{when: copyBeforeReply}).serve)
		for n := range 6 {
			path := fmt.Sprintf("/look/%d", n)
			a := b.call(path, func(r *http.Request) { r.Header.Del(standin.HeaderCall) })
			if a.status != http.StatusOK || a.body != path {
				t.Errorf("status %d, %q, want the answer to %s", a.status, a.body, path)
			}
		}
		b.requester.CloseIdle()
		u.close()
	})
}

// TestLongRequestBody checks that a request body without end is refused although the
// configuration sets no limit, or one beyond what an entry can hold.
func TestLongRequestBody(t *testing.T) {
	for name, limit := range map[string]int64{"no limit": 0, "limit above the bound": 1 << 40} {
		t.Run(name, func(t *testing.T) {
			run(t, func(b *bench) {
				b.view.Configuration.Limits.BodyBytes = limit
				b.upstream(2, text(http.StatusOK, "ok"))
				a := b.call("/look/1", func(r *http.Request) {
					r.Body = io.NopCloser(io.LimitReader(endlessReader{}, 64<<20))
				})
				if a.status != http.StatusRequestEntityTooLarge || b.ran(a) != 0 {
					t.Errorf("status %d after %d runs, error %v; want 413 and no run", a.status, b.ran(a), a.err)
				}
			})
		})
	}
}

// endlessReader reads the same byte without end.
type endlessReader struct{}

func (endlessReader) Read(p []byte) (int, error) {
	return copy(p, strings.Repeat("x", len(p))), nil
}
