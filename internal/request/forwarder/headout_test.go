package forwarder_test

import (
	"io"
	"net/http"
	"testing"
	"time"

	"github.com/foxtailwharf/foxtailwharf/internal/request/balancer"
	"github.com/foxtailwharf/foxtailwharf/internal/request/isolator"
	"github.com/foxtailwharf/foxtailwharf/standin"
)

// commentFirst begins a stream with a comment, and sends its only event later.
func commentFirst(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("Content-Type", "text/event-stream")
	_, _ = io.WriteString(w, ": reading the prompt\n\n")
	_ = http.NewResponseController(w).Flush()
	sayNothing(r, time.Second)
	_, _ = io.WriteString(w, "id: 1\ndata: x\n\n")
}

// inTwoParts sends the two parts of a buffered answer, the second one later.
func inTwoParts(w http.ResponseWriter, r *http.Request) {
	_, _ = io.WriteString(w, "first")
	_ = http.NewResponseController(w).Flush()
	sayNothing(r, time.Second)
	_, _ = io.WriteString(w, " second")
}

// headFirst sends the head of a buffered answer, and its body later.
func headFirst(w http.ResponseWriter, r *http.Request) {
	w.WriteHeader(http.StatusOK)
	_ = http.NewResponseController(w).Flush()
	sayNothing(r, time.Second)
	_, _ = io.WriteString(w, "body")
}

// TestAnswerWithoutEventHasBegun guards against answers that are cut by a ban, or at the deadline of weights, because no event with
// data was among what their upstream had sent.
func TestAnswerWithoutEventHasBegun(t *testing.T) {
	const after = 500 * time.Millisecond
	ban := func(b *bench) {
		b.forwarder.MergeEvidence(isolator.Evidence{Bans: []isolator.Ban{{Parts: []string{"bad"}, Remaining: time.Minute}}})
	}
	replace := func(b *bench) {
		b.assigner.Update(func(x *balancer.Balancer) { x.SetRelease("s", 2, time.Now(), time.Now()) })
	}
	tests := []struct {
		name, path, want string
		answer           http.HandlerFunc
		end              func(b *bench)
	}{
		{"comment, ban", "/tale/1", "1", commentFirst, ban},
		{"comment, ban, resumable", "/chat/1", "1", commentFirst, ban},
		{"comment, deadline of weights", "/tale/1", "1", commentFirst, replace},
		{"comment, deadline of weights, resumable", "/chat/1", "1", commentFirst, replace},
		{"buffered answer, ban", "/look/1", "first second", inTwoParts, ban},
		{"buffered answer, deadline of weights", "/look/1", "first second", inTwoParts, replace},
		{"head of a buffered answer, ban", "/book/1", "body", headFirst, ban},
		{"head of a buffered answer, deadline of weights", "/book/1", "body", headFirst, replace},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			run(t, func(b *bench) {
				b.serveEngine()
				b.upstream(2, tt.answer)
				b.view.Upstreams[0].Weights = 1
				b.update()
				time.AfterFunc(after, func() { tt.end(b) })
				a := b.call(tt.path, func(r *http.Request) { r.Header.Set(standin.HeaderPromptParts, "first,bad") })
				if a.status != http.StatusOK || a.err != nil || whole(a) != tt.want {
					t.Errorf("have %d %q, %v after %d runs, want %q", a.status, a.body, a.err, b.ran(a), tt.want)
				}
			})
		})
	}
}

// TestHeadAloneBindsNoWeights guards against calls that only engines with replaced weights may run, because one of them has sent
// the head of an answer and no more.
func TestHeadAloneBindsNoWeights(t *testing.T) {
	run(t, func(b *bench) {
		b.serveEngine()
		b.upstream(2, func(w http.ResponseWriter, r *http.Request) {
			w.Header().Set(standin.HeaderVersion, "1")
			w.Header().Set("Content-Type", "text/event-stream")
			w.WriteHeader(http.StatusOK)
			_ = http.NewResponseController(w).Flush()
			sayNothing(r, 100*time.Millisecond)
			panic(http.ErrAbortHandler)
		})
		b.view.Upstreams[0].Weights = 1
		b.update()
		time.AfterFunc(50*time.Millisecond, func() {
			b.upstream(3, func(w http.ResponseWriter, r *http.Request) {
				w.Header().Set(standin.HeaderVersion, "2")
				events(1, 3, false)(w, r)
			})
			b.view.Upstreams[1].Weights = 2
			b.update()
		})
		if a := b.call("/chat/1", nil); a.status != http.StatusOK || a.err != nil || whole(a) != "1 2 3" {
			t.Errorf("have %d %q, %v, want the whole stream of the other engine", a.status, a.body, a.err)
		}
	})
}

// TestBanEndsSecondAttempt guards against calls that a ban does not end, although no answer has begun, because an earlier attempt broke
// off after its head.
func TestBanEndsSecondAttempt(t *testing.T) {
	run(t, func(b *bench) {
		b.serveEngine()
		runs := 0
		answer := func(w http.ResponseWriter, r *http.Request) {
			b.mu.Lock()
			runs++
			n := runs
			b.mu.Unlock()
			if n == 1 {
				w.WriteHeader(http.StatusOK)
				_ = http.NewResponseController(w).Flush()
				sayNothing(r, 50*time.Millisecond)
				panic(http.ErrAbortHandler)
			}
			silently(w, r)
		}
		b.upstream(2, answer)
		b.upstream(3, answer)
		b.view.Upstreams[0].Weights, b.view.Upstreams[1].Weights = 1, 1
		b.update()
		started := time.Now()
		time.AfterFunc(500*time.Millisecond, func() {
			b.forwarder.MergeEvidence(isolator.Evidence{Bans: []isolator.Ban{{Parts: []string{"bad"}, Remaining: time.Minute}}})
		})
		a := b.call("/look/1", func(r *http.Request) { r.Header.Set(standin.HeaderPromptParts, "first,bad") })
		if took := time.Since(started); took > 700*time.Millisecond {
			t.Errorf("have %d %q after %s and %d runs, want the end of the call at its ban, 500ms", a.status, a.body, took, b.ran(a))
		}
	})
}

// TestEndOfShutdownEndsSecondAttempt guards against streams that have not begun and go on beyond the time for answers at the end of a
// shutdown, because an earlier attempt had a head that could not be forwarded.
func TestEndOfShutdownEndsSecondAttempt(t *testing.T) {
	for _, status := range []int{http.StatusServiceUnavailable, http.StatusTooManyRequests} {
		run(t, func(b *bench) {
			b.setTimeouts(2 * shutdownLength)
			for i := range b.view.Configuration.Routes {
				b.view.Configuration.Routes[i].Goal = 4 * time.Second
			}
			runs := 0
			answer := func(w http.ResponseWriter, r *http.Request) {
				b.mu.Lock()
				runs++
				n := runs
				b.mu.Unlock()
				if n == 1 {
					sayNothing(r, shutdownLength-answerMargin-800*time.Millisecond)
					w.WriteHeader(status)
					return
				}
				silently(w, r)
			}
			b.upstream(2, answer)
			b.upstream(3, answer)
			b.leave(0)
			started := time.Now()
			time.Sleep(time.Millisecond)
			b.call("/chat/1", limit(shutdownLength))
			if time.Since(started) > shutdownLength-answerMargin+5*time.Millisecond {
				t.Errorf("first status %d: ended %s late", status, time.Since(started)-(shutdownLength-answerMargin))
			}
		})
	}
}
