package forwarder_test

import (
	"net/http"
	"testing"
	"time"

	"github.com/foxtailwharf/foxtailwharf"
	"github.com/foxtailwharf/foxtailwharf/internal/request/isolator"
	"github.com/foxtailwharf/foxtailwharf/standin"
)

// reporter reports the state of all engines as their agents do, until it is closed.
type reporter struct {
	b    *bench
	load func(elapsed time.Duration) foxtailwharf.UpstreamLoad
	quit chan struct{}
	done chan struct{}
}

// report makes the agents of all upstreams report what load returns.
func (b *bench) report(load func(elapsed time.Duration) foxtailwharf.UpstreamLoad) *reporter {
	r := &reporter{b: b, load: load, quit: make(chan struct{}), done: make(chan struct{})}
	go r.run()
	return r
}

func (r *reporter) run() {
	defer close(r.done)
	ticker := time.NewTicker(100 * time.Millisecond)
	defer ticker.Stop()
	for started := time.Now(); ; {
		for _, u := range r.b.view.Upstreams {
			r.b.assigner.Report(u.Address.Addr(), r.load(time.Since(started)))
		}
		select {
		case <-ticker.C:
		case <-r.quit:
			return
		}
	}
}

func (r *reporter) close() {
	close(r.quit)
	<-r.done
}

// TestCallsWaitForSilentEngines guards against calls that are refused since no engine answers its agent, though
// sound engines go on in time, and against calls that wait for engines that do not.
func TestCallsWaitForSilentEngines(t *testing.T) {
	silent := foxtailwharf.UpstreamLoad{IsDown: true, IsSilent: true, Weights: 1}
	ended := foxtailwharf.UpstreamLoad{IsDown: true, Weights: 1}
	up := foxtailwharf.UpstreamLoad{Weights: 1}
	until := func(first foxtailwharf.UpstreamLoad, length time.Duration) func(elapsed time.Duration) foxtailwharf.UpstreamLoad {
		return func(elapsed time.Duration) foxtailwharf.UpstreamLoad {
			if elapsed < length {
				return first
			}
			return up
		}
	}
	tests := []struct {
		name    string
		load    func(elapsed time.Duration) foxtailwharf.UpstreamLoad
		sentAt  time.Duration // after the begin of the silence
		timeout string        // of the caller, in milliseconds
		status  int
		within  time.Duration
	}{
		{"silent for a moment", until(silent, 600*time.Millisecond), 50 * time.Millisecond, "", http.StatusOK, 700 * time.Millisecond},
		{"silent for longer", until(silent, 1600*time.Millisecond), 50 * time.Millisecond, "", http.StatusOK, 1700 * time.Millisecond},
		{"soon back", until(silent, 1600*time.Millisecond), 1500 * time.Millisecond, "", http.StatusOK, 200 * time.Millisecond},
		{"silent for good", until(silent, time.Hour), 50 * time.Millisecond, "", http.StatusServiceUnavailable, 2100 * time.Millisecond},
		{"long silent", until(silent, time.Hour), 2500 * time.Millisecond, "", http.StatusServiceUnavailable, 50 * time.Millisecond},
		{"ended", until(ended, time.Hour), 50 * time.Millisecond, "", http.StatusServiceUnavailable, 50 * time.Millisecond},
		{"ended, then silent", until(ended, 2500*time.Millisecond), 50 * time.Millisecond, "", http.StatusServiceUnavailable, 50 * time.Millisecond},
		{"little time", until(silent, time.Hour), 50 * time.Millisecond, "1000", http.StatusServiceUnavailable, 500 * time.Millisecond},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			for _, path := range []string{"/book/1", "/tale/1", "/chat/1", "/look/1"} {
				run(t, func(b *bench) {
					b.serveEngines(2)
					r := b.report(tt.load)
					defer r.close()
					time.Sleep(tt.sentAt)
					started := time.Now()
					a := b.call(path, func(r *http.Request) { r.Header.Set(standin.HeaderTimeout, tt.timeout) })
					if took := time.Since(started); a.err != nil || a.status != tt.status || took > tt.within {
						t.Errorf("%s: have %d %q after %s, want %d within %s", path, a.status, a.body, took, tt.status, tt.within)
					}
				})
			}
		})
	}
}

// serveEngines makes the service one with engines, and adds some.
func (b *bench) serveEngines(count int) {
	b.view.Configuration.Services["s"] = foxtailwharf.CallService{Name: "s", Engine: &foxtailwharf.EngineModel{Model: "m", Slots: 8}}
	for n := range count {
		b.upstream(2+n, events(1, 3, false))
		b.view.Upstreams[n].Weights = 1
	}
	b.update()
}

// TestBrokenConnectionToSilentEngine guards against the parts of sound calls that come under suspicion, since one
// connection to a silent engine broke, and checks that the end of an engine still counts as a crash.
func TestBrokenConnectionToSilentEngine(t *testing.T) {
	born := time.Unix(0, 0)
	silent := foxtailwharf.UpstreamLoad{Born: born, Weights: 1, IsDown: true, IsSilent: true}
	tests := []struct {
		name    string
		after   foxtailwharf.UpstreamLoad // a second after the connection broke
		crashes int
	}{
		{"goes on", foxtailwharf.UpstreamLoad{Born: born, Weights: 1}, 0},
		{"refuses connections", foxtailwharf.UpstreamLoad{Born: born, Weights: 1, IsDown: true}, 1},
		{"has started anew", foxtailwharf.UpstreamLoad{Born: born.Add(time.Hour), Weights: 1}, 1},
		{"stays silent", silent, 1},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			run(t, func(b *bench) {
				b.serveEngines(0)
				b.upstream(2, after(500*time.Millisecond, breakOff))
				b.view.Upstreams[0].Weights, b.view.Upstreams[0].Born = 1, born
				b.update()
				r := b.report(func(elapsed time.Duration) foxtailwharf.UpstreamLoad {
					switch {
					case elapsed < 200*time.Millisecond:
						return foxtailwharf.UpstreamLoad{Born: born, Weights: 1}
					case elapsed < 1500*time.Millisecond:
						return silent
					default:
						return tt.after
					}
				})
				defer r.close()
				time.Sleep(time.Millisecond)
				b.call("/tale/1", func(r *http.Request) { r.Header.Set(standin.HeaderPromptParts, "first,second") })
				crashed := make(map[string]bool)
				for range 40 {
					for _, c := range b.forwarder.Isolate(isolator.RoleDecides).Crashes {
						crashed[c.Upstream] = true
					}
					time.Sleep(100 * time.Millisecond)
				}
				if len(crashed) != tt.crashes {
					t.Errorf("%d crashes were found, want %d", len(crashed), tt.crashes)
				}
			})
		})
	}
}
