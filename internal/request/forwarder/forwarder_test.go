package forwarder_test

import (
	"bufio"
	"context"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/foxtailwharf/foxtailwharf/standin"
)

// TestAtMostOnce checks the status for a call that must not run twice, by how its first attempt
// ends.
func TestAtMostOnce(t *testing.T) {
	tests := []struct {
		name   string
		first  func(w http.ResponseWriter, r *http.Request)
		status int
		runs   int
	}{
		{"answered", text(http.StatusOK, "ok"), http.StatusOK, 1},
		{"the upstream's own server error", text(http.StatusInternalServerError, "bad"), http.StatusInternalServerError, 1},
		{"aborted connection", breakOff, http.StatusBadGateway, 1},
		{"a status that means not run, from an upstream that ran it", text(http.StatusServiceUnavailable, "busy"), http.StatusBadGateway, 1},
		{"answer to another call", func(w http.ResponseWriter, _ *http.Request) { w.Header().Set(standin.HeaderCall, "another") }, http.StatusBadGateway, 1},
		{"never answered", func(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() }, http.StatusGatewayTimeout, 1},
		{"refused by all", refuse, http.StatusServiceUnavailable, 2},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			run(t, func(b *bench) {
				b.upstream(2, tt.first)
				b.upstream(3, tt.first)
				a := b.call("/book/1", nil)
				if a.status != tt.status || b.ran(a) != tt.runs {
					t.Errorf("status %d after %d attempts, want %d after %d", a.status, b.ran(a), tt.status, tt.runs)
				}
			})
		})
	}
}

func TestRetryAfterNotRun(t *testing.T) {
	run(t, func(b *bench) {
		b.upstream(2, refuse)
		b.upstream(3, text(http.StatusOK, "ok"))
		for range 10 {
			if a := b.call("/book/1", nil); a.status != http.StatusOK || a.body != "ok" {
				t.Fatalf("have %d %q: a call that was not run should go to the other upstream", a.status, a.body)
			}
		}
	})
}

func TestRepeatable(t *testing.T) {
	run(t, func(b *bench) {
		b.upstream(2, breakOff)
		b.upstream(3, text(http.StatusOK, "ok"))
		for range 10 {
			if a := b.call("/look/1", nil); a.status != http.StatusOK || b.ran(a) > 2 {
				t.Fatalf("have %d after %d runs, want 200 after two at the most", a.status, b.ran(a))
			}
		}
	})
}

// TestServerErrorIsForwarded checks that a server error of an upstream reaches the caller if no
// other upstream answers.
func TestServerErrorIsForwarded(t *testing.T) {
	run(t, func(b *bench) {
		b.upstream(2, text(http.StatusInternalServerError, "bad"))
		a := b.call("/look/1", nil)
		if a.status != http.StatusInternalServerError || a.body != "bad" || a.header.Get(standin.HeaderSigned) != "2" {
			t.Errorf("have %d %q signed by %q, want the upstream's own answer", a.status, a.body, a.header.Get(standin.HeaderSigned))
		}
	})
}

func ids(body string) (list []string) {
	scanner := bufio.NewScanner(strings.NewReader(body))
	for scanner.Scan() {
		if id, isID := strings.CutPrefix(scanner.Text(), "id: "); isID {
			list = append(list, id)
		}
	}
	return list
}

func TestStreamResumes(t *testing.T) {
	run(t, func(b *bench) {
		b.upstream(2, events(1, 3, true))
		a := func() answer {
			time.AfterFunc(30*time.Millisecond, func() { b.upstream(3, events(1, 6, false)) })
			return b.call("/chat/1", nil)
		}()
		if have := strings.Join(ids(a.body), " "); a.err != nil || have != "1 2 3 4 5 6" {
			t.Errorf("have events %s, %v, want 1 to 6 once each", have, a.err)
		}
		if a.header.Get(standin.HeaderSigned) != "2" {
			t.Errorf("signed by %s, want the first upstream", a.header.Get(standin.HeaderSigned))
		}
	})
}

func TestStreamAborts(t *testing.T) {
	for _, path := range []string{"/tale/1", "/chat/1"} {
		run(t, func(b *bench) {
			b.upstream(2, events(1, 3, true))
			a := b.call(path, nil)
			if a.err == nil {
				t.Errorf("%s: a truncated stream ended like a complete one: %q", path, a.body)
			}
			if have := strings.Join(ids(a.body), " "); have != "1 2 3" {
				t.Errorf("%s: have events %s, want the complete ones", path, have)
			}
		})
	}
}

// TestCallerDisconnects checks that an upstream stops soon after its caller has disconnected.
func TestCallerDisconnects(t *testing.T) {
	run(t, func(b *bench) {
		stopped := make(chan time.Time, 1)
		b.upstream(2, func(_ http.ResponseWriter, r *http.Request) {
			<-r.Context().Done()
			stopped <- time.Now()
		})
		var left time.Time
		b.call("/chat/1", func(r *http.Request) {
			ctx, cancel := context.WithCancel(r.Context())
			*r = *r.WithContext(ctx)
			time.AfterFunc(200*time.Millisecond, func() {
				left = time.Now()
				cancel()
			})
		})
		if took := (<-stopped).Sub(left); took > 300*time.Millisecond {
			t.Errorf("the upstream kept running for %s after the caller disconnected", took)
		}
	})
}

func TestTimeout(t *testing.T) {
	run(t, func(b *bench) {
		b.upstream(2, func(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() })
		started := time.Now()
		a := b.call("/book/1", func(r *http.Request) { r.Header.Set(standin.HeaderTimeout, "1500") })
		if took := time.Since(started); a.status != http.StatusGatewayTimeout || took > 1700*time.Millisecond {
			t.Errorf("have %d after %s, want 504 after 1.5 s", a.status, took)
		}
	})
}

// TestKeys checks which keys are accepted, with and without a proof that the configuration is the
// newest.
func TestKeys(t *testing.T) {
	tests := []struct {
		name, path, key string
		age             time.Duration
		status          int
		account         string
	}{
		{"known", "/look/1", "k1", time.Second, http.StatusOK, "a1"},
		{"unknown", "/look/1", "k9", time.Second, http.StatusUnauthorized, ""},
		{"no key", "/look/1", "", time.Second, http.StatusUnauthorized, ""},
		{"public", "/open/1", "", time.Second, http.StatusOK, ""},
		{"no route", "/none/1", "k1", time.Second, http.StatusNotFound, ""},
		{"known, stale", "/look/1", "k1", maxConfigurationAge, http.StatusServiceUnavailable, ""},
		{"unknown, stale", "/look/1", "k9", maxConfigurationAge, http.StatusServiceUnavailable, ""},
		{"public, stale", "/open/1", "", maxConfigurationAge, http.StatusOK, ""},
		{"no route, stale", "/none/1", "k1", maxConfigurationAge, http.StatusServiceUnavailable, ""},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			run(t, func(b *bench) {
				account, key := "", ""
				b.upstream(2, func(w http.ResponseWriter, r *http.Request) {
					account, key = r.Header.Get(standin.HeaderAccount), r.Header.Get(standin.HeaderKey)
					_, _ = io.WriteString(w, "ok")
				})
				b.clock = tt.age
				a := b.call(tt.path, func(r *http.Request) {
					r.Header.Set(standin.HeaderKey, tt.key)
					r.Header.Set(standin.HeaderAccount, "forged")
				})
				if a.status != tt.status || account != tt.account || key != "" {
					t.Errorf("have %d, account %q, key %q passed on; want %d, %q", a.status, account, key, tt.status, tt.account)
				}
			})
		})
	}
}

func TestNoConfiguration(t *testing.T) {
	run(t, func(b *bench) {
		b.view.Configuration = nil
		b.update()
		if a := b.call("/look/1", nil); a.status != http.StatusServiceUnavailable {
			t.Errorf("have %d, want 503 before the first configuration", a.status)
		}
	})
}

// TestCrashingRequest repeats a request that crashes each upstream which runs it. It must be
// banned after three crashes, and the other entries must be told of all of them.
func TestCrashingRequest(t *testing.T) {
	run(t, func(b *bench) {
		for n := 2; n < 10; n++ {
			b.upstream(n, func(w http.ResponseWriter, r *http.Request) {
				if strings.Contains(r.RequestURI, "crash") {
					panic(http.ErrAbortHandler)
				}
				_, _ = io.WriteString(w, "ok")
			})
		}
		total := 0
		for range 6 {
			a := b.call("/look/crash", nil)
			total += b.ran(a)
			for range 30 {
				b.publish() // as an entry does several times a second
				time.Sleep(100 * time.Millisecond)
			}
		}
		if total != 3 {
			t.Errorf("the request crashed %d upstreams, want 3", total)
		}
		if len(b.published) != 3 {
			t.Errorf("%d crashes were sent to the other entries, want 3", len(b.published))
		}
		// The first crash is published with the next interval, later ones before the retry.
		if b.warned.Load() != 2 {
			t.Errorf("%d immediate warnings, want 2", b.warned.Load())
		}
		if a := b.call("/look/other", nil); a.status != http.StatusOK {
			t.Errorf("have %d for another request, want 200", a.status)
		}
	})
}

// TestBodyBesideChange guards against bodies that are refused though their callers may know a larger limit.
func TestBodyBesideChange(t *testing.T) {
	tests := []struct {
		name          string
		before, after int64
		elapsed       time.Duration
		status        int
	}{
		{"grows", 3, 4, 0, http.StatusOK},
		{"shrinks, within the grace period", 4, 3, 900 * time.Millisecond, http.StatusOK},
		{"shrinks", 4, 3, 1100 * time.Millisecond, http.StatusRequestEntityTooLarge},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			run(t, func(b *bench) {
				b.view.Configuration.Limits.BodyBytes = tt.before
				b.upstream(2, text(http.StatusOK, "ok"))
				next := *b.view.Configuration
				next.Version, next.Limits.BodyBytes = 2, tt.after
				b.view.Configuration = &next
				b.update()
				time.Sleep(tt.elapsed)
				if a := b.call("/look/1", nil); a.status != tt.status {
					t.Errorf("have %d, want %d", a.status, tt.status)
				}
			})
		})
	}
}

func TestBodyTooLarge(t *testing.T) {
	run(t, func(b *bench) {
		b.view.Configuration.Limits.BodyBytes = 3
		b.upstream(2, text(http.StatusOK, "ok"))
		if a := b.call("/look/1", nil); a.status != http.StatusRequestEntityTooLarge || b.ran(a) != 0 {
			t.Errorf("have %d after %d runs, want 413 and none", a.status, b.ran(a))
		}
	})
}
