package forwarder_test

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"runtime"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/foxtailwharf/foxtailwharf"
	"github.com/foxtailwharf/foxtailwharf/internal/process/sleeper"
	"github.com/foxtailwharf/foxtailwharf/standin"
)

// memoryLimit is the memory of the smallest instance that an entry runs on.
const memoryLimit = 184 << 20

// endlessUpstream answers each request with a beginning and then the same bytes without end, until
// the connection is closed.
type endlessUpstream struct {
	begin  string // CALL is replaced by the ID of the call
	repeat []byte
	open   atomic.Int64 // connections
}

func (u *endlessUpstream) serve(conn net.Conn) {
	u.open.Add(1)
	defer u.open.Add(-1)
	defer func() { _ = conn.Close() }()
	r, err := http.ReadRequest(bufio.NewReader(conn))
	if err != nil {
		return
	}
	_, err = io.WriteString(conn, strings.ReplaceAll(u.begin, "CALL", r.Header.Get(standin.HeaderCall)))
	for err == nil {
		_, err = conn.Write(u.repeat)
	}
}

// peakMemory samples the memory in use until it is stopped.
type peakMemory struct {
	stop chan struct{}
	done chan struct{}
	peak uint64
}

func (p *peakMemory) run() {
	defer close(p.done)
	const interval = 5 * time.Millisecond
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		var m runtime.MemStats
		runtime.ReadMemStats(&m)
		p.peak = max(p.peak, m.HeapInuse)
		select {
		case <-ticker.C:
		case <-p.stop:
			return
		}
	}
}

// TestEndlessAnswers checks upstreams that send bytes without end, in every part of an answer, to
// many calls at once: memory stays within that of the smallest entry, no caller takes the bytes for
// a whole answer, all connections to the upstream are closed, and a repeatable call is answered by
// another upstream.
func TestEndlessAnswers(t *testing.T) {
	const callCount = 200
	const head = "HTTP/1.1 200 OK\r\n" + standin.HeaderCall + ": CALL\r\n" + standin.HeaderSigned + ": 2\r\n"
	const chunked = head + "Transfer-Encoding: chunked\r\n\r\n"
	tests := []struct {
		name, begin, repeat string
	}{
		{"status line", "HTTP/1.1 200 ", "x"},
		{"header line", head + "X: ", "x"},
		{"header fields", head, "X: y\r\n"},
		{"informational heads", "", "HTTP/1.1 103 Early Hints\r\nX: y\r\n\r\n"},
		{"body without a length", head + "\r\n", "x"},
		{"body of a huge length", head + "Content-Length: 1099511627776\r\n\r\n", "x"},
		{"chunks", chunked, "4\r\nxxxx\r\n"},
		{"chunk extension", chunked + "4;", "x"},
		{"trailer", chunked + "0\r\n", "X: y\r\n"},
		{"body of a refusal", "HTTP/1.1 503 Busy\r\n" + standin.HeaderCall + ": CALL\r\n" + standin.HeaderNotRun + ": 1\r\n\r\n", "x"},
		{"event", head + "Content-Type: text/event-stream\r\n\r\ndata: ", "x"},
		{"comments of an event", head + "Content-Type: text/event-stream\r\n\r\n", ": x\n"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			b := newBench(t, newMemoryNetwork())
			defer b.close()
			b.checkEndless(tt.begin, tt.repeat, callCount)
		})
	}
}

// checkEndless sends calls to an endless upstream and a sound one, and checks what comes of them.
func (b *bench) checkEndless(begin, repeat string, callCount int) {
	path := "/look/1"
	if strings.Contains(begin, "event-stream") {
		path = "/chat/1"
	}
	bad := &endlessUpstream{begin: begin, repeat: bytes.Repeat([]byte(repeat), 1+4096/len(repeat))}
	defer b.raw(2, bad.serve).close()
	b.upstream(3, text(http.StatusOK, "ok\n\n"))
	memory := &peakMemory{stop: make(chan struct{}), done: make(chan struct{})}
	go memory.run()
	whole, served := b.callAtOnce(path, callCount)
	close(memory.stop)
	<-memory.done
	if memory.peak > memoryLimit {
		b.t.Errorf("%d MiB in use at the peak, want at most %d", memory.peak>>20, memoryLimit>>20)
	}
	if whole > 0 {
		b.t.Errorf("%d callers took an endless answer for a whole one", whole)
	}
	if served == 0 {
		b.t.Error("no call was answered by the other upstream")
	}
	time.Sleep(100 * time.Millisecond)
	if open := bad.open.Load(); open > 0 {
		b.t.Errorf("%d connections to the upstream are still open", open)
	}
}

// callAtOnce makes many calls at once. It returns how many callers took an endless answer for a
// whole one, and how many got the answer of the sound upstream.
func (b *bench) callAtOnce(path string, callCount int) (whole, served int64) {
	var callers sync.WaitGroup
	var wholeCount, servedCount atomic.Int64
	for range callCount {
		callers.Go(func() {
			a := b.call(path, nil)
			if a.err == nil && a.status == http.StatusOK && strings.Contains(a.body, "x") {
				wholeCount.Add(1)
			}
			if a.status == http.StatusOK && a.body == "ok\n\n" {
				servedCount.Add(1)
			}
		})
	}
	callers.Wait()
	return wholeCount.Load(), servedCount.Load()
}

// TestSteadyAndStalledAnswers checks a route whose pauses may be long: an upstream that sends
// slowly but steadily is left alone, and one that keeps its connection alive without getting on is
// left for another.
func TestSteadyAndStalledAnswers(t *testing.T) {
	const pause = 700 * time.Millisecond
	every := func(data string, count int) func(w http.ResponseWriter, r *http.Request) {
		return func(w http.ResponseWriter, r *http.Request) {
			for range count {
				_, _ = io.WriteString(w, data)
				_ = http.NewResponseController(w).Flush()
				if !sleeper.Sleep(r.Context(), pause) {
					return
				}
			}
		}
	}
	steadyPart := strings.Repeat("y", 16<<10)
	tests := []struct {
		name  string
		path  string
		first func(w http.ResponseWriter, r *http.Request)
		want  string
	}{
		{"buffered answer that arrives steadily", "/look/1", every(steadyPart, 4), strings.Repeat(steadyPart, 4)},
		{"buffered answer, a byte now and then", "/look/1", every("z", 100), "ok\n\n"},
		{"stream with long, even pauses", "/slow/1", longPauses, "id: 1\ndata: y\n\nid: 2\ndata: y\n\nid: 3\ndata: y\n\n"},
		{"stream, a comment now and then", "/slow/1", every(":\n\n", 100), "ok\n\n"},
		{"stream, a byte now and then", "/slow/1", every("z", 100), "ok\n\n"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			run(t, func(b *bench) {
				b.view.Configuration.Routes = append(b.view.Configuration.Routes, route("/slow/", foxtailwharf.CallStream, func(r *foxtailwharf.CallRoute) {
					r.IsResumable, r.Gap, r.Timeout = true, 2*time.Second, 20*time.Second
				}))
				b.upstream(2, tt.first)
				a := answer{}
				done := make(chan struct{})
				caller := &benchCaller{b: b, path: tt.path, answer: &a, done: done}
				go caller.run()
				time.Sleep(10 * time.Millisecond)
				b.upstream(3, text(http.StatusOK, "ok\n\n"))
				<-done
				if body := strings.ReplaceAll(a.body, ":\n\n", ""); a.err != nil || body != tt.want {
					t.Errorf("have %d bytes, %.40q, error %v; want %d bytes, %.40q", len(body), body, a.err, len(tt.want), tt.want)
				}
			})
		})
	}
}

// TestResumeAfterComment checks that a comment between events does not make a resumed stream start
// again.
func TestResumeAfterComment(t *testing.T) {
	run(t, func(b *bench) {
		b.upstream(2, func(w http.ResponseWriter, _ *http.Request) {
			_, _ = io.WriteString(w, "id: 1\ndata: x\n\nid: 2\ndata: x\n\n: still here\n\n")
			_ = http.NewResponseController(w).Flush()
			time.Sleep(20 * time.Millisecond)
			panic(http.ErrAbortHandler)
		})
		caller := &benchCaller{b: b, path: "/chat/1", answer: &answer{}, done: make(chan struct{})}
		go caller.run()
		time.Sleep(10 * time.Millisecond)
		b.upstream(3, events(1, 4, false))
		<-caller.done
		var ids []string
		for line := range strings.Lines(caller.answer.body) {
			if id, isID := strings.CutPrefix(line, "id: "); isID {
				ids = append(ids, strings.TrimSpace(id))
			}
		}
		if got := strings.Join(ids, " "); caller.answer.err != nil || got != "1 2 3 4" {
			t.Errorf("have events %s, error %v; want 1 2 3 4", got, caller.answer.err)
		}
	})
}

// longPauses streams three events with pauses that are longer than the default limit.
func longPauses(w http.ResponseWriter, r *http.Request) {
	const pause = 1800 * time.Millisecond
	for n := range 3 {
		_, _ = fmt.Fprintf(w, "id: %d\ndata: y\n\n", n+1)
		_ = http.NewResponseController(w).Flush()
		if !sleeper.Sleep(r.Context(), pause) {
			return
		}
	}
}

// benchCaller makes one call in the background.
type benchCaller struct {
	b      *bench
	path   string
	answer *answer
	done   chan struct{}
}

func (c *benchCaller) run() {
	defer close(c.done)
	*c.answer = c.b.call(c.path, nil)
}
