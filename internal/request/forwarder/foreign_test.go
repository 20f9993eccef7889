package forwarder_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/foxtailwharf/foxtailwharf/standin"
)

// crossedUpstream runs each call and answers it with a response that bears another ID. A sound answer
// to the first request of a connection keeps it open.
type crossedUpstream struct {
	b       *bench
	text    string // of the response that bears another ID
	isKept  bool   // the first request of each connection gets a sound answer
	crossed atomic.Int64
	reused  atomic.Int64 // requests on a connection after such a response
}

func (u *crossedUpstream) serve(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	reader := bufio.NewReader(conn)
	for n := 0; ; n++ {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, r.Body); err != nil {
			return
		}
		id := r.Header.Get(standin.HeaderCall)
		u.b.mu.Lock()
		u.b.runs[id]++
		u.b.mu.Unlock()
		text := u.text
		switch {
		case u.isKept && n == 0:
			text = fmt.Sprintf("HTTP/1.1 200 OK\r\n%s: %s\r\n%s: 2\r\nContent-Length: 2\r\n\r\nok", standin.HeaderCall, id, standin.HeaderSigned)
		case u.crossed.Load() > 0 && n > 1:
			u.reused.Add(1)
		default:
			u.crossed.Add(1)
		}
		if _, err := io.WriteString(conn, text); err != nil {
			return
		}
	}
}

// crossedRefusal is a refusal that names a limit. The lines are added to its head.
func crossedRefusal(status string, lines ...string) string {
	return "HTTP/1.1 " + status + "\r\n" + strings.Join(append(lines, standin.HeaderNotRun+": 1", standin.HeaderLimit+": 1", "Content-Length: 2"), "\r\n") + "\r\n\r\nno"
}

// TestRefusalOfAnotherCall checks that a refusal with the ID of another call, or without one, says nothing
// about the call: an upstream that runs it may have written an earlier refusal once more.
func TestRefusalOfAnotherCall(t *testing.T) {
	const other = standin.HeaderCall + ": another"
	const signed = standin.HeaderSigned + ": 2"
	refusals := map[string]string{
		"503": crossedRefusal("503 Service Unavailable", other), "503, signed": crossedRefusal("503 Service Unavailable", other, signed),
		"429": crossedRefusal("429 Too Many Requests", other), "421": crossedRefusal("421 Misdirected Request", other),
		"503 without an ID": crossedRefusal("503 Service Unavailable"), "421 without an ID": crossedRefusal("421 Misdirected Request"),
	}
	tests := []struct {
		path         string
		isKept       bool
		status, runs int
	}{
		{"/book/1", false, http.StatusBadGateway, 1},
		{"/book/1", true, http.StatusOK, 1}, // on a new connection
		{"/tale/1", false, http.StatusBadGateway, 1},
		{"/look/1", false, http.StatusBadGateway, 2},
		{"/look/1", true, http.StatusBadGateway, 2},
		{"/chat/1", false, http.StatusBadGateway, 2},
		{"/chat/1", true, http.StatusBadGateway, 2},
	}
	for name, refusal := range refusals {
		for _, tt := range tests {
			t.Run(fmt.Sprintf("%s %s kept %t", name, tt.path, tt.isKept), func(t *testing.T) {
				run(t, func(b *bench) { b.checkCrossed(tt.path, refusal, tt.isKept, tt.status, tt.runs) })
			})
		}
	}
}

// checkCrossed calls three upstreams that run the call and answer with a refusal of another one.
func (b *bench) checkCrossed(path, refusal string, isKept bool, status, runs int) {
	var upstreams []*crossedUpstream
	for n := range 3 {
		u := &crossedUpstream{b: b, text: refusal, isKept: isKept}
		upstreams = append(upstreams, u)
		listener := b.raw(2+n, u.serve)
		defer listener.close()
		if isKept {
			b.keepConnection(2 + n)
		}
	}
	defer b.requester.CloseIdle()
	a := b.call(path, nil)
	if a.status != status || b.ran(a) != runs {
		b.t.Errorf("status %d after %d runs, want %d after %d", a.status, b.ran(a), status, runs)
	}
	if have := b.assigner.Limited(); have != 0 {
		b.t.Errorf("%d upstreams count as limited by the answer to another call", have)
	}
	if isKept {
		b.call("/look/1", nil)
	}
	for _, u := range upstreams {
		if u.reused.Load() > 0 {
			b.t.Error("a connection was used after the answer to another call")
		}
	}
}

// TestResumedStreamMeetsRefusalOfAnotherCall checks that a refusal of another call counts as a run of the
// stream: it may not be resumed more often than its route allows.
func TestResumedStreamMeetsRefusalOfAnotherCall(t *testing.T) {
	run(t, func(b *bench) {
		b.upstream(2, events(1, 3, true))
		var upstreams []*rawUpstream
		added := make(chan struct{})
		time.AfterFunc(30*time.Millisecond, func() {
			defer close(added)
			for n := range 2 {
				u := &crossedUpstream{b: b, text: crossedRefusal("503 Service Unavailable", standin.HeaderCall+": another")}
				upstreams = append(upstreams, b.raw(3+n, u.serve))
			}
		})
		a := b.call("/chat/1", nil)
		if have := strings.Join(ids(a.body), " "); a.err == nil || have != "1 2 3" || b.ran(a) != 2 {
			b.t.Errorf("events %s after %d runs, %v, want 1 to 3 after two and a stream that ends as incomplete", have, b.ran(a), a.err)
		}
		<-added
		b.requester.CloseIdle()
		for _, u := range upstreams {
			u.close()
		}
	})
}
