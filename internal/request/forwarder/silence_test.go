package forwarder_test

import (
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/foxtailwharf/foxtailwharf"
	"github.com/foxtailwharf/foxtailwharf/internal/request/balancer"
)

// silence is how long a sound upstream sends nothing in these tests.
const silence = 2 * time.Second

// sayNothing waits until the time is over or the call has ended.
func sayNothing(r *http.Request, length time.Duration) {
	select {
	case <-time.After(length):
	case <-r.Context().Done():
	}
}

// silentStream streams the events 1 to 6 and is silent once, before an event.
func silentStream(before int, length time.Duration) func(w http.ResponseWriter, r *http.Request) {
	return func(w http.ResponseWriter, r *http.Request) {
		first := 1
		if last, err := strconv.Atoi(r.Header.Get("Last-Event-Id")); err == nil {
			first = last + 1
		}
		for n := first; n <= 6; n++ {
			if n == before {
				sayNothing(r, length)
			}
			_, _ = fmt.Fprintf(w, "id: %d\ndata: x\n\n", n)
			_ = http.NewResponseController(w).Flush()
		}
	}
}

// silentText answers in two parts and is silent before the first or before the second.
func silentText(before int, length time.Duration) func(w http.ResponseWriter, r *http.Request) {
	return func(w http.ResponseWriter, r *http.Request) {
		for n := 1; n <= 2; n++ {
			if n == before {
				sayNothing(r, length)
			}
			_, _ = io.WriteString(w, "part"+strconv.Itoa(n))
			_ = http.NewResponseController(w).Flush()
		}
	}
}

// silently serves an upstream that ends only with its call.
func silently(_ http.ResponseWriter, r *http.Request) {
	<-r.Context().Done()
}

// setAttempts replaces the routes by copies with another number of attempts.
func (b *bench) setAttempts(attempts int) {
	c := *b.view.Configuration
	c.Routes = nil
	for _, r := range b.view.Configuration.Routes {
		r.Attempts = attempts
		c.Routes = append(c.Routes, r)
	}
	b.view.Configuration = &c
	b.update()
}

// TestSilentUpstreamIsGivenUpWithoutAnother plays sound upstreams that are silent for more than a second
// and go on, where no other one takes over.
func TestSilentUpstreamIsGivenUpWithoutAnother(t *testing.T) {
	others := []struct {
		name    string
		prepare func(b *bench)
	}{
		{"no other upstream", func(*bench) {}},
		{"the other one refuses", func(b *bench) { b.upstream(3, refuse) }},
		{"the other one cannot be reached", func(b *bench) { b.view.Upstreams = append(b.view.Upstreams, upstreamAt(4)); b.update() }},
		{"the other one is as silent", func(b *bench) { b.upstream(3, silently) }},
		{"the other one breaks off", func(b *bench) { b.upstream(3, breakOff) }},
		{"the other one fails", func(b *bench) { b.upstream(3, text(http.StatusInternalServerError, "bad")) }},
		{"the other one is full", func(b *bench) {
			b.view.Upstreams = append(b.view.Upstreams, upstreamAt(3))
			b.update()
			b.assigner.Update(func(x *balancer.Balancer) {
				for range 40 {
					x.Sent(time.Now(), "3", 0)
				}
			})
		}},
		{"no retry is left in the budget", func(b *bench) {
			b.forwarder.SetRetryExtra(0)
			b.upstream(3, text(http.StatusOK, "other"))
		}},
		{"the configuration changes", func(b *bench) { time.AfterFunc(silence/2, func() { b.setAttempts(3) }) }},
	}
	tests := []struct {
		path, want string
		answer     func(w http.ResponseWriter, r *http.Request)
	}{
		{"/look/1", "part1part2", silentText(1, silence)},
		{"/look/1", "part1part2", silentText(2, silence)},
		{"/book/1", "part1part2", silentText(1, silence)},
		{"/chat/1", "1 2 3 4 5 6", silentStream(1, silence)},
		{"/chat/1", "1 2 3 4 5 6", silentStream(4, silence)},
		{"/tale/1", "1 2 3 4 5 6", silentStream(4, silence)},
	}
	for _, o := range others {
		for i, tt := range tests {
			t.Run(fmt.Sprintf("%s/%d", o.name, i), func(t *testing.T) {
				run(t, func(b *bench) {
					b.upstream(2, tt.answer)
					// The other upstream is added once the call is at the silent one.
					time.AfterFunc(100*time.Millisecond, func() { o.prepare(b) })
					a := b.call(tt.path, nil)
					have := a.body
					if strings.Contains(a.body, "id: ") {
						have = strings.Join(ids(a.body), " ")
					}
					if a.err != nil || a.status != http.StatusOK || have != tt.want {
						t.Errorf("have %d %q, %v, want 200 %q of the upstream that went on", a.status, have, a.err, tt.want)
					}
				})
			})
		}
	}
}

// TestAnotherUpstreamTakesOver checks that a silent upstream is replaced soon where another one can answer.
func TestAnotherUpstreamTakesOver(t *testing.T) {
	tests := []struct {
		path, want string
		silent     func(w http.ResponseWriter, r *http.Request)
		other      func(w http.ResponseWriter, r *http.Request)
	}{
		{"/look/1", "other", silently, text(http.StatusOK, "other")},
		{"/chat/1", "1 2 3 4 5 6", silently, events(1, 6, false)},
		{"/chat/1", "1 2 3 4 5 6", silentStream(4, time.Minute), events(1, 6, false)},
	}
	for i, tt := range tests {
		t.Run(strconv.Itoa(i), func(t *testing.T) {
			run(t, func(b *bench) {
				b.upstream(2, tt.silent)
				time.AfterFunc(100*time.Millisecond, func() { b.upstream(3, tt.other) })
				started := time.Now()
				a := b.call(tt.path, nil)
				have := a.body
				if strings.Contains(a.body, "id: ") {
					have = strings.Join(ids(a.body), " ")
				}
				if a.status != http.StatusOK || have != tt.want || time.Since(started) > 2*time.Second {
					t.Errorf("have %d %q after %s, want %q within 2s", a.status, have, time.Since(started), tt.want)
				}
				if runs := b.ran(a); runs != 2 {
					t.Errorf("ran %d times, want 2", runs)
				}
			})
		})
	}
}

// TestSilentUpstreamStopsWithItsCall checks that no upstream keeps running once the call has its answer.
func TestSilentUpstreamStopsWithItsCall(t *testing.T) {
	run(t, func(b *bench) {
		stopped := make(chan time.Time, 1)
		b.upstream(2, func(_ http.ResponseWriter, r *http.Request) {
			<-r.Context().Done()
			stopped <- time.Now()
		})
		time.AfterFunc(100*time.Millisecond, func() { b.upstream(3, text(http.StatusOK, "other")) })
		if a := b.call("/look/1", nil); a.body != "other" {
			t.Fatalf("have %d %q, want the answer of the other upstream", a.status, a.body)
		}
		answered := time.Now()
		if after := (<-stopped).Sub(answered); after > 100*time.Millisecond {
			t.Errorf("the silent upstream ran for %s after the answer", after)
		}
	})
}

// TestFirstUpstreamGoesOnBeforeTheOther checks that the second upstream is let go if the first one answers
// before it.
func TestFirstUpstreamGoesOnBeforeTheOther(t *testing.T) {
	run(t, func(b *bench) {
		stopped := make(chan time.Time, 1)
		b.upstream(2, silentStream(4, silence))
		time.AfterFunc(100*time.Millisecond, func() {
			b.upstream(3, func(_ http.ResponseWriter, r *http.Request) {
				<-r.Context().Done()
				stopped <- time.Now()
			})
		})
		a := b.call("/chat/1", nil)
		if have := strings.Join(ids(a.body), " "); a.err != nil || have != "1 2 3 4 5 6" {
			t.Errorf("have events %s, %v, want 1 to 6 once each", have, a.err)
		}
		answered := time.Now()
		if after := (<-stopped).Sub(answered); after > 100*time.Millisecond {
			t.Errorf("the second upstream ran for %s after the answer", after)
		}
	})
}

// TestSilentEngineIsReportedDown guards against calls that are ended because their engine does not answer its
// agent in time.
func TestSilentEngineIsReportedDown(t *testing.T) {
	for _, path := range []string{"/book/1", "/tale/1", "/chat/1", "/look/1"} {
		run(t, func(b *bench) {
			answer := silentText(1, silence)
			if path == "/tale/1" || path == "/chat/1" {
				answer = silentStream(4, silence)
			}
			b.upstream(2, answer)
			time.AfterFunc(silence/3, func() {
				b.assigner.Report(address(2).Addr(), foxtailwharf.UpstreamLoad{IsDown: true, Running: 1})
			})
			if a := b.call(path, nil); a.err != nil || a.status != http.StatusOK {
				t.Errorf("%s: have %d %q, %v, want the whole answer", path, a.status, a.body, a.err)
			}
		})
	}
}

// TestEngineDownIsReplacedSoon checks that another upstream takes over as soon as the agent reports that its
// engine does not answer, and not only when the call has been silent for long.
func TestEngineDownIsReplacedSoon(t *testing.T) {
	run(t, func(b *bench) {
		b.upstream(2, silently)
		time.AfterFunc(100*time.Millisecond, func() {
			b.upstream(3, text(http.StatusOK, "other"))
			b.assigner.Report(address(2).Addr(), foxtailwharf.UpstreamLoad{IsDown: true, Running: 1})
		})
		started := time.Now()
		if a := b.call("/look/1", nil); a.body != "other" || time.Since(started) > 500*time.Millisecond {
			t.Errorf("have %d %q after %s, want the answer of the other upstream within 500ms", a.status, a.body, time.Since(started))
		}
	})
}

// TestCallIsGivenUpBeforeCallerLeaves guards against calls that stay with a silent upstream until their callers leave,
// so that it runs them for nobody once it goes on. They have waited for it before.
func TestCallIsGivenUpBeforeCallerLeaves(t *testing.T) {
	tests := []struct {
		path             string
		waited, patience time.Duration
		from, to         time.Duration
		status           int
	}{
		{"/chat/1", 0, 4 * time.Second, 3500 * time.Millisecond, 4 * time.Second, http.StatusBadGateway},
		{"/chat/1", time.Second, 4 * time.Second, 3500 * time.Millisecond, 4 * time.Second, http.StatusBadGateway},
		{"/chat/1", 2 * time.Second, 4 * time.Second, 3500 * time.Millisecond, 4 * time.Second, http.StatusBadGateway},
		// A sound upstream may be silent for a second or so.
		{"/chat/1", 2 * time.Second, 3 * time.Second, 3100 * time.Millisecond, 3500 * time.Millisecond, http.StatusBadGateway},
		// A call that may run once has nobody else.
		{"/book/1", time.Second, 4 * time.Second, 6 * time.Second, 6100 * time.Millisecond, http.StatusGatewayTimeout},
	}
	for _, tt := range tests {
		t.Run(fmt.Sprint(tt.path, " after ", tt.waited, " of ", tt.patience), func(t *testing.T) {
			run(t, func(b *bench) {
				for i := range b.view.Configuration.Routes {
					b.view.Configuration.Routes[i].Goal, b.view.Configuration.Routes[i].Patience = time.Second, tt.patience
				}
				b.upstream(2, silently)
				b.assigner.HandleReply(upstreamAt(2), time.Now(), foxtailwharf.Reply{IsNotRun: true, Signals: foxtailwharf.Signals{RetryAfter: tt.waited}})
				started := time.Now()
				a := b.call(tt.path, nil)
				if took := time.Since(started); a.status != tt.status || took < tt.from || took > tt.to {
					t.Errorf("have %d after %s, want %d after %s to %s", a.status, took, tt.status, tt.from, tt.to)
				}
			})
		})
	}
}

// TestCallerOutlivesDeadUpstream guards against repeatable calls that are left at an upstream which is silent
// for longer than a sound one: it may run them after their callers have left.
func TestCallerOutlivesDeadUpstream(t *testing.T) {
	tests := []struct {
		path   string
		within time.Duration
		status int
	}{
		{"/look/1", 3 * time.Second, http.StatusBadGateway},
		{"/chat/1", 3 * time.Second, http.StatusBadGateway},
		{"/book/1", 6 * time.Second, http.StatusGatewayTimeout},
	}
	for _, tt := range tests {
		run(t, func(b *bench) {
			b.upstream(2, silently)
			started := time.Now()
			if a := b.call(tt.path, nil); a.status != tt.status || time.Since(started) > tt.within+100*time.Millisecond {
				t.Errorf("%s: have %d after %s, want %d within %s", tt.path, a.status, time.Since(started), tt.status, tt.within)
			}
		})
	}
}

// TestStreamIsKeptWhileItsCallerWaits guards against streams that are cut, since their upstream is silent for longer
// than most and no other one can go on, though their callers wait.
func TestStreamIsKeptWhileItsCallerWaits(t *testing.T) {
	tests := []struct {
		name              string
		patience, silence time.Duration
		other             func(b *bench)
	}{
		{"alone", 3200 * time.Millisecond, 2800 * time.Millisecond, nil},
		{"alone, until just before it leaves", 3200 * time.Millisecond, 3150 * time.Millisecond, nil},
		{"alone, longer pauses", 4 * time.Second, 3800 * time.Millisecond, nil},
		{"the other one is as silent", 3200 * time.Millisecond, 2800 * time.Millisecond, func(b *bench) { b.upstream(3, silently) }},
		{"the other one refuses", 3200 * time.Millisecond, 2800 * time.Millisecond, func(b *bench) { b.upstream(3, refuse) }},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			run(t, func(b *bench) {
				for i := range b.view.Configuration.Routes {
					b.view.Configuration.Routes[i].Patience = tt.patience
				}
				b.upstream(2, silentStream(4, tt.silence))
				if tt.other != nil {
					time.AfterFunc(100*time.Millisecond, func() { tt.other(b) })
				}
				if a := b.call("/chat/1", nil); a.err != nil || strings.Join(ids(a.body), " ") != "1 2 3 4 5 6" {
					t.Errorf("have events %v, %v, want 1 to 6", ids(a.body), a.err)
				}
			})
		})
	}
}

// TestStreamIsGivenUpAfterCallersPatience guards against streams that stay with a silent upstream until their deadlines,
// though no caller waits for so long.
func TestStreamIsGivenUpAfterCallersPatience(t *testing.T) {
	const patience = 3200 * time.Millisecond
	run(t, func(b *bench) {
		for i := range b.view.Configuration.Routes {
			b.view.Configuration.Routes[i].Patience = patience
		}
		b.upstream(2, silentStream(4, time.Minute))
		started := time.Now()
		a := b.call("/chat/1", nil)
		if took := time.Since(started); a.err == nil || took < patience || took >= patience+500*time.Millisecond {
			t.Errorf("have %v, error %v after %s, want the end of the connection shortly after %s", ids(a.body), a.err, took, patience)
		}
	})
}
