package forwarder_test

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"

	"github.com/foxtailwharf/foxtailwharf/standin"
)

// ending is what an upstream does with its connection after a response.
type ending int

const (
	keepsOpen ending = iota
	closes
	resets // over TCP; elsewhere it closes
)

// scripted is a response of a scriptedUpstream. CALL in the text is replaced by the ID of the call, and
// REST by the chunks of the events after Last-Event-Id.
type scripted struct {
	text string
	end  ending
}

// lastEvent is the number of the last event of a stream of REST.
const lastEvent = 3

// sound is an answer to a call to /look/ after which the connection is kept.
var sound = scripted{text: signedHead("200 OK", "Content-Length: 2") + "ok"}

// signedHead returns the head of a signed response.
func signedHead(status string, lines ...string) string {
	lines = append([]string{"HTTP/1.1 " + status, standin.HeaderCall + ": CALL", standin.HeaderSigned + ": 2"}, lines...)
	return strings.Join(lines, "\r\n") + "\r\n\r\n"
}

// scriptedUpstream answers the runs of a call at all its listeners with one response after the other, and
// with the last one from then on. A call to /look/keep gets a sound answer.
type scriptedUpstream struct {
	b         *bench
	responses []scripted
}

func (u *scriptedUpstream) serve(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	reader := bufio.NewReader(conn)
	for {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, r.Body); err != nil {
			return
		}
		response := u.next(r)
		text := strings.NewReplacer("CALL", r.Header.Get(standin.HeaderCall), "REST", rest(r)).Replace(response.text)
		if _, err := io.WriteString(conn, text); err != nil {
			return
		}
		if socket, isTCP := conn.(*net.TCPConn); isTCP && response.end == resets {
			_ = socket.SetLinger(0)
		}
		if response.end != keepsOpen {
			return
		}
	}
}

// rest returns the chunks of the events with which a stream goes on.
func rest(r *http.Request) string {
	last, err := strconv.Atoi(r.Header.Get(standin.HeaderLastEventID))
	if err != nil {
		last = 0 // a stream from the start
	}
	var text strings.Builder
	for n := last + 1; n <= lastEvent; n++ {
		_, _ = text.WriteString(chunks(event(n)))
	}
	return text.String()
}

// next counts a run and returns its response.
func (u *scriptedUpstream) next(r *http.Request) scripted {
	if r.URL.Path == "/look/keep" {
		return sound
	}
	u.b.mu.Lock()
	defer u.b.mu.Unlock()
	id := r.Header.Get(standin.HeaderCall)
	u.b.runs[id]++
	return u.responses[min(u.b.runs[id], len(u.responses))-1]
}

// callScripted calls three upstreams with the same responses, whose connections may be kept from a call before.
func (b *bench) callScripted(path string, isKept bool, change func(r *http.Request), responses ...scripted) answer {
	for n := range 3 {
		listener := b.raw(2+n, (&scriptedUpstream{b: b, responses: responses}).serve)
		defer listener.close()
		if isKept {
			b.keepConnection(2 + n)
		}
	}
	defer b.requester.CloseIdle()
	return b.call(path, change)
}

// keepConnection opens a connection to one upstream by a sound call.
func (b *bench) keepConnection(n int) {
	all := b.view.Upstreams
	b.view.Upstreams = all[n-2 : n-1]
	b.update()
	if a := b.call("/look/keep", nil); a.status != http.StatusOK {
		b.t.Errorf("status %d, want a sound answer that keeps the connection", a.status)
	}
	b.view.Upstreams = all
	b.update()
}
