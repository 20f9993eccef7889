package forwarder_test

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/foxtailwharf/foxtailwharf"
	"github.com/foxtailwharf/foxtailwharf/internal/request/isolator"
	"github.com/foxtailwharf/foxtailwharf/standin"
)

// whole returns the numbers of the events of an answer, or its body if it is no stream.
func whole(a answer) string {
	if strings.Contains(a.body, "id: ") {
		return strings.Join(ids(a.body), " ")
	}
	return a.body
}

// headOnly sends the head of an answer and nothing else until the call ends.
func headOnly(w http.ResponseWriter, r *http.Request) {
	w.WriteHeader(http.StatusOK)
	_ = http.NewResponseController(w).Flush()
	<-r.Context().Done()
}

// TestHeadAloneEndsNoUpstream guards against a silent upstream that is given up for one that has sent only the

// head of its answer.
func TestHeadAloneEndsNoUpstream(t *testing.T) {
	tests := []struct {
		path, want string
		silent     func(w http.ResponseWriter, r *http.Request)
	}{
		{"/look/1", "part1part2", silentText(1, silence)},
		{"/look/1", "part1part2", silentText(2, silence)},
		{"/chat/1", "1 2 3 4 5 6", silentStream(1, silence)},
		{"/chat/1", "1 2 3 4 5 6", silentStream(4, silence)},
	}
	for i, tt := range tests {
		t.Run(strconv.Itoa(i), func(t *testing.T) {
			run(t, func(b *bench) {
				b.upstream(2, tt.silent)
				time.AfterFunc(100*time.Millisecond, func() { b.upstream(3, headOnly) })
				if a := b.call(tt.path, nil); a.err != nil || a.status != http.StatusOK || whole(a) != tt.want {
					t.Errorf("have %d %q, %v, want 200 %q of the upstream that went on", a.status, whole(a), a.err, tt.want)
				}
			})
		})
	}
}

// after answers once a time has passed.
func after(length time.Duration, answer func(w http.ResponseWriter, r *http.Request)) func(w http.ResponseWriter, r *http.Request) {
	return func(w http.ResponseWriter, r *http.Request) {
		sayNothing(r, length)
		answer(w, r)
	}
}

// TestFirstEndsWhileOtherHasCall guards against calls that are held until their deadline once the silent

// upstream has ended and the other one has or refuses the call.
func TestFirstEndsWhileOtherHasCall(t *testing.T) {
	tests := []struct {
		name         string
		first, other func(w http.ResponseWriter, r *http.Request)
		isSuspect    bool // the agent of the other upstream reports that it does not answer
		attempts     int
		status       int
		want         string
	}{
		{"the other one is a suspect", breakOff, text(http.StatusOK, "other"), true, 3, http.StatusOK, "other"},
		{"the other one refuses", breakOff, refuse, false, 2, http.StatusBadGateway, ""},
		{"the other one refuses after an error", text(http.StatusInternalServerError, "bad"), refuse, false, 2, http.StatusInternalServerError, "bad"},
		{"the other one fails", breakOff, text(http.StatusInternalServerError, "bad"), false, 2, http.StatusInternalServerError, "bad"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			run(t, func(b *bench) {
				b.setAttempts(tt.attempts)
				b.upstream(2, after(1500*time.Millisecond, tt.first))
				time.AfterFunc(100*time.Millisecond, func() { b.upstream(3, after(700*time.Millisecond, tt.other)) })
				if tt.isSuspect {
					time.AfterFunc(1600*time.Millisecond, func() {
						b.assigner.Report(address(3).Addr(), foxtailwharf.UpstreamLoad{IsDown: true, Running: 1})
					})
				}
				started := time.Now()
				a := b.call("/look/1", nil)
				if took := time.Since(started); a.status != tt.status || (tt.want != "" && a.body != tt.want) || took > 2500*time.Millisecond {
					t.Errorf("have %d %q after %s, want %d %q within 2.5s", a.status, a.body, took, tt.status, tt.want)
				}
			})
		})
	}
}

// stalledCaller sends a call, reads nothing for a while and disconnects.
func (b *bench) stalledCaller(path string, length time.Duration) {
	conn, err := b.network.Dial(b.t.Context(), address(1))
	if err != nil {
		b.t.Fatal(err)
	}
	_, _ = fmt.Fprintf(conn, "POST %s HTTP/1.1\r\nHost: h\r\n%s: slow\r\n%s: k1\r\nContent-Length: 1\r\n\r\nx", path, standin.HeaderCall, standin.HeaderKey)
	time.Sleep(length)
	_ = conn.Close()
	time.Sleep(time.Second)
}

// longStream streams more than a connection takes at once, without a pause. It answers other calls with a text.
func longStream(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path != "/chat/1" {
		_, _ = io.WriteString(w, "answer")
		return
	}
	last, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	for n := last + 1; n <= 100 && r.Context().Err() == nil; n++ {
		_, _ = io.WriteString(w, "id: "+strconv.Itoa(n)+"\ndata: "+strings.Repeat("x", 60<<10)+"\n\n")
		_ = http.NewResponseController(w).Flush()
	}
}

// silentThenComment streams an event, is silent, and then sends a comment that a connection does not take at once. Where it
// resumes, it streams more than a connection takes at once. It answers other calls with a text.
func silentThenComment(w http.ResponseWriter, r *http.Request) {
	const silence, delay = 550 * time.Millisecond, 100 * time.Millisecond
	long := strings.Repeat("x", 60<<10)
	switch {
	case r.URL.Path != "/chat/1":
		_, _ = io.WriteString(w, "answer")
	case r.Header.Get("Last-Event-Id") == "":
		_, _ = io.WriteString(w, "id: 1\ndata: "+long+"\n\n")
		_ = http.NewResponseController(w).Flush()
		sayNothing(r, silence)
		_, _ = io.WriteString(w, ": "+long+"\n\n")
		_ = http.NewResponseController(w).Flush()
		<-r.Context().Done()
	default:
		sayNothing(r, delay)
		longStream(w, r)
	}
}

// TestSlowCallerLeavesDuringSwitch guards against slots that are lost when the caller leaves while another upstream has been chosen, and
// a comment of the first one waits for the caller.
func TestSlowCallerLeavesDuringSwitch(t *testing.T) {
	run(t, func(b *bench) {
		b.upstream(2, silentThenComment)
		b.upstream(3, silentThenComment)
		for i := range b.view.Upstreams {
			b.view.Upstreams[i].Slots = 1
		}
		for n := range 20 {
			b.view.Upstreams[1].IsDraining = true
			b.update()
			var caller sync.WaitGroup
			caller.Go(func() { b.stalledCaller("/chat/1", 2*time.Second) })
			time.Sleep(500 * time.Millisecond)
			b.view.Upstreams[1].IsDraining = false
			b.update()
			b.assigner.Report(address(2).Addr(), foxtailwharf.UpstreamLoad{IsDown: true, Running: 1})
			caller.Wait()
			if sought := b.logs.FilterMessageSnippet("another one is sought").Len(); sought != n+1 {
				t.Errorf("another upstream was sought %d times in %d calls", sought, n+1)
			}
		}
		b.view.Upstreams[0].IsDraining = true
		b.update()
		if a := b.call("/look/1", nil); a.body != "answer" {
			t.Errorf("have %d %q, want an answer, since all other calls have ended", a.status, a.body)
		}
	})
}

// TestSlowCallerIsNoSilentUpstream guards against a second run of a call whose caller reads slowly.
func TestSlowCallerIsNoSilentUpstream(t *testing.T) {
	run(t, func(b *bench) {
		b.upstream(2, longStream)
		b.upstream(3, longStream)
		b.stalledCaller("/chat/1", 2*time.Second)
		if runs := b.ran(answer{id: "slow"}); runs != 1 {
			t.Errorf("ran %d times, want once", runs)
		}
	})
}

// TestBannedDuringSearch guards against calls that reach another upstream though they were banned while that

// one was sought.
func TestBannedDuringSearch(t *testing.T) {
	run(t, func(b *bench) {
		b.upstream(2, silently)
		time.AfterFunc(1500*time.Millisecond, func() {
			request := isolator.Request(foxtailwharf.Digest([]byte("s\na1\nPOST\n/look/1\nbody")))
			b.forwarder.MergeEvidence(isolator.Evidence{Bans: []isolator.Ban{{Parts: []string{request}, Remaining: time.Minute}}})
		})
		time.AfterFunc(2*time.Second, func() { b.upstream(3, text(http.StatusOK, "other")) })
		if a := b.call("/look/1", nil); b.ran(a) != 1 {
			t.Errorf("ran %d times, want 1: the call was banned before the second upstream was there", b.ran(a))
		}
	})
}

// TestStreamFlowsThoughEngineIsReportedDown guards against a stream that is moved to another upstream while its
// own one sends events, because the agent there gets no answer.
func TestStreamFlowsThoughEngineIsReportedDown(t *testing.T) {
	run(t, func(b *bench) {
		flow := func(w http.ResponseWriter, r *http.Request) {
			last, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
			for n := last + 1; n <= 20; n++ {
				_, _ = io.WriteString(w, "id: "+strconv.Itoa(n)+"\ndata: x\n\n")
				_ = http.NewResponseController(w).Flush()
				sayNothing(r, 100*time.Millisecond)
			}
		}
		b.upstream(2, flow)
		time.AfterFunc(500*time.Millisecond, func() {
			b.upstream(3, flow)
			b.assigner.Report(address(2).Addr(), foxtailwharf.UpstreamLoad{IsDown: true, Running: 1})
		})
		if a := b.call("/chat/1", nil); len(ids(a.body)) != 20 || b.ran(a) != 1 {
			t.Errorf("have %d events of %d runs, want 20 of one run", len(ids(a.body)), b.ran(a))
		}
	})
}

// TestCallerLeavesDuringSearch guards against upstreams that go on after the caller has left, while another
// upstream is sought or has the call.
func TestCallerLeavesDuringSearch(t *testing.T) {
	run(t, func(b *bench) {
		stopped := make(chan time.Time, 2)
		serve := func(_ http.ResponseWriter, r *http.Request) {
			<-r.Context().Done()
			stopped <- time.Now()
		}
		b.upstream(2, serve)
		b.upstream(3, serve)
		ctx, cancel := context.WithTimeout(b.t.Context(), 1500*time.Millisecond)
		defer cancel()
		b.call("/look/1", func(r *http.Request) { *r = *r.WithContext(ctx) })
		left := time.Now()
		for range 2 {
			if took := (<-stopped).Sub(left); took > 100*time.Millisecond {
				t.Errorf("an upstream ran for %s after the caller had left", took)
			}
		}
	})
}

// TestFirstEndsAfterOtherRefused guards against calls that are held until their deadline by a search that has
// found nobody, once the silent upstream has ended.
func TestFirstEndsAfterOtherRefused(t *testing.T) {
	run(t, func(b *bench) {
		b.upstream(2, after(2*time.Second, breakOff))
		time.AfterFunc(100*time.Millisecond, func() { b.upstream(3, refuse) })
		started := time.Now()
		if a := b.call("/look/1", nil); a.status != http.StatusBadGateway || time.Since(started) > 2500*time.Millisecond {
			t.Errorf("have %d after %s, want 502 within 2.5s", a.status, time.Since(started))
		}
	})
}
