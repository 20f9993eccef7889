package fleet_test

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/foxtailwharf/foxtailwharf/standin"
	"github.com/foxtailwharf/foxtailwharf/standin/fleet"
)

// engineOf returns the engine of an agent. The test fails if the agent has another upstream.
func engineOf(t *testing.T, a *fleet.Agent) *standin.Engine {
	t.Helper()
	e, isEngine := a.Upstream.(*standin.Engine)
	if !isEngine {
		t.Fatalf("%s has no engine", a.Name)
	}
	return e
}

// checkWeights checks that every engine serves a version, and from the complete weights of that
// version.
func (b *bench) checkWeights(version string) {
	b.t.Helper()
	for _, a := range b.f.AgentsOf("assistant") {
		got, weights := engineOf(b.t, a).Version()
		if got != version || weights != b.weights[version] {
			b.t.Errorf("%s serves %s from weights %.12s, want %s from %.12s", a.Name, b.versionName(got), weights, b.versionName(version), b.weights[version])
		}
	}
}

// streamRequest returns the body of a chat request that streams a number of tokens. The engine
// records name as the ID of the request.
func streamRequest(name string, tokens int) string {
	return fmt.Sprintf(`{"model":"assistant","user":%q,"stream":true,"max_tokens":%d,"messages":[{"role":"user","content":"Draft."}]}`, name, tokens)
}

func (b *bench) applyVersion(version int) {
	b.t.Helper()
	if _, err := b.f.Apply(b.t.Context(), "operator", b.document(version)); err != nil {
		b.t.Fatal(err)
	}
}

// TestBadChunks has the origin corrupt, truncate and stall chunks: every engine must still get the
// complete weights.
func TestBadChunks(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		b := newBench(t, benchConfig{change: func(c *fleet.Config) {
			c.Origin.SetFaults(standin.OriginFaults{CorruptOneIn: 4, TruncateOneIn: 5, StallOneIn: 10, StallTime: time.Minute})
		}})
		b.checkWeights(b.versions[0])
		b.switchVersion()
		b.checkWeights(b.versions[1])
		b.stop()
	})
}

// TestManifestChangedDuringDistribution activates a third version while the second is still being
// distributed. All engines must end up with the third, and its weights must not contain chunks of
// the second.
func TestManifestChangedDuringDistribution(t *testing.T) {
	t.Parallel()
	for _, pause := range []time.Duration{0, 300 * time.Millisecond, 700 * time.Millisecond, 2 * time.Second} {
		t.Run(pause.String(), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				b := newBench(t, benchConfig{})
				b.applyVersion(1)
				time.Sleep(pause)
				b.applyVersion(2)
				b.await("all agents serve the third version", func() bool {
					for _, a := range b.f.AgentsOf("assistant") {
						if a.Status().Self.Version != b.versions[2] {
							return false
						}
					}
					return true
				})
				b.checkWeights(b.versions[2])
				b.stop()
			})
		})
	}
}

// TestSwitchUnderStreams switches the version while streams run. Each stream must be complete and
// come from one version, and requests must succeed during the switch. The engines cannot serve two
// versions at a time: after an activation they continue running requests with the new version.
func TestSwitchUnderStreams(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		b := newBench(t, benchConfig{engine: standin.EngineConfig{
			TimeToFirstToken: 50 * time.Millisecond, TokenInterval: 20 * time.Millisecond, ChecksFence: true, MixesVersions: true,
		}})
		var callers sync.WaitGroup
		served := make([]string, 40)
		for n := range served {
			time.Sleep(100 * time.Millisecond)
			if n == 10 {
				b.applyVersion(1)
			}
			callers.Go(func() {
				body := streamRequest(fmt.Sprint("caller ", n), chaosTokens)
				a := b.via(n % 6).chat(body)
				if a.err != nil || a.body != wantStream(body, a.version) {
					t.Errorf("request %d: status %d, error %v, body %s", n, a.status, a.err, a.body)
				}
				served[n] = b.versionName(a.version)
			})
		}
		callers.Wait()
		if served[0] != "version-0" || served[len(served)-1] != "version-1" {
			t.Errorf("got versions %v, want the first and then the second", served)
		}
		b.checkWeights(b.versions[1])
		b.stop()
	})
}

// agentRunning returns the agent whose engine is running the request with an ID, or nil.
func (b *bench) agentRunning(id string) *fleet.Agent {
	for _, a := range b.f.AgentsOf("assistant") {
		for _, r := range engineOf(b.t, a).Runs() {
			if r.ID == id && !r.IsComplete {
				return a
			}
		}
	}
	return nil
}

// TestResume replaces an agent, or crashes its engine, between any two events of a stream. The
// caller must get the complete stream, without a missing or repeated event.
func TestResume(t *testing.T) {
	t.Parallel()
	const tokens = 6
	kills := map[string]func(b *bench, a *fleet.Agent){
		"agent":  func(b *bench, a *fleet.Agent) { _ = b.f.ReplaceAgent(b.t.Context(), a) },
		"engine": func(b *bench, a *fleet.Agent) { engineOf(b.t, a).Crash() },
	}
	for name, kill := range kills {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				b := newBench(t, benchConfig{})
				for n := range tokens + 1 {
					id := fmt.Sprint(name, n)
					var callers sync.WaitGroup
					callers.Go(func() {
						body := streamRequest(id, tokens)
						a := b.chat(body)
						if a.err != nil || a.body != wantStreamOf(body, a.version, tokens) {
							t.Errorf("killed after event %d: error %v, body %s", n, a.err, a.body)
						}
					})
					b.await("the request runs", func() bool { return b.agentRunning(id) != nil })
					time.Sleep(time.Duration(n)*20*time.Millisecond + 5*time.Millisecond)
					if a := b.agentRunning(id); a != nil {
						kill(b, a)
					}
					callers.Wait()
					b.await("the fleet is ready again", b.f.IsReady)
				}
				b.stop()
			})
		})
	}
}

// TestNoResumeOnAnotherVersion stops the last agent that serves the version of a running stream.
// The caller's connection must break; another version may not continue the stream.
func TestNoResumeOnAnotherVersion(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		b := newBench(t, benchConfig{})
		var callers sync.WaitGroup
		callers.Go(func() {
			a := b.chat(streamRequest("long", 1000))
			if a.err == nil || a.status != http.StatusOK {
				t.Errorf("got status %d and error %v, want status 200 and a broken connection", a.status, a.err)
			}
		})
		b.await("the request runs", func() bool { return b.agentRunning("long") != nil })
		last := b.agentRunning("long")
		b.applyVersion(1)
		b.await("the other agents serve the new version", func() bool {
			for _, a := range b.f.AgentsOf("assistant") {
				if a != last && a.Status().Self.Version != b.versions[1] {
					return false
				}
			}
			return true
		})
		last.Close()
		callers.Wait()
		if err := b.f.ReplaceAgent(t.Context(), last); err != nil {
			t.Fatal(err)
		}
		b.stop()
	})
}

// TestStaleOrder has engines obey a stale order to serve another version, from a sender other than
// their agents. No caller may get a response from that version, and the agents must restore the
// wanted one.
func TestStaleOrder(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		b := newBench(t, benchConfig{engine: standin.EngineConfig{
			TimeToFirstToken: 50 * time.Millisecond, TokenInterval: 20 * time.Millisecond, ChecksFence: true, MixesVersions: true,
		}})
		var callers sync.WaitGroup
		for n := range 30 {
			if n%10 == 5 {
				for _, a := range b.f.AgentsOf("assistant") {
					engineOf(t, a).ForceVersion(b.versions[2])
				}
			}
			callers.Go(func() {
				body := streamRequest(fmt.Sprint("caller ", n), 30)
				if n%2 == 0 {
					body = strings.Replace(body, `"stream":true`, `"stream":false`, 1)
				}
				a := b.via(n % 6).chat(body)
				if a.status == http.StatusOK && (a.version != b.versions[0] || strings.Contains(a.body, b.versions[2])) {
					t.Errorf("request %d got a response from %s: %s", n, b.versionName(a.version), b.withVersionNames(a.body))
				}
			})
			time.Sleep(150 * time.Millisecond)
		}
		callers.Wait()
		b.await("the fleet is ready again", b.f.IsReady)
		b.checkWeights(b.versions[0])
		b.stop()
	})
}

// TestRestoreIsRefused has all engines obey a stale order to serve another version, and refuse their
// agents' orders for a time. No caller may get a response from that version, whether the agents want the
// version before or a newer one, and the engines serve again once they take orders.
func TestRestoreIsRefused(t *testing.T) {
	t.Parallel()
	for _, wanted := range []int{0, 1} {
		t.Run(fmt.Sprint("wanted version ", wanted), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				b := newBench(t, benchConfig{})
				b.setRefusingOrders(true)
				if wanted > 0 {
					b.applyVersion(wanted)
				}
				for _, a := range b.f.AgentsOf("assistant") {
					engineOf(t, a).ForceVersion(b.versions[2])
				}
				b.checkNoneServes(2, 12*time.Second)
				b.setRefusingOrders(false)
				b.await("the fleet is ready again", b.f.IsReady)
				b.checkWeights(b.versions[wanted])
				b.stop()
			})
		})
	}
}

// setRefusingOrders makes all engines refuse orders, or take them again.
func (b *bench) setRefusingOrders(isRefusing bool) {
	for _, a := range b.f.AgentsOf("assistant") {
		engineOf(b.t, a).UpdateConfig(func(c *standin.EngineConfig) { c.RefusesOrders = isRefusing })
	}
}

// checkNoneServes sends requests through all entries for a time. None may get a response from a version.
func (b *bench) checkNoneServes(version int, length time.Duration) {
	b.t.Helper()
	const pause = 200 * time.Millisecond
	for n := range int(length / pause) {
		a := b.via(n % len(b.f.Entries)).chat(streamRequest(fmt.Sprint("caller ", n), 3))
		if a.status == http.StatusOK && a.version == b.versions[version] {
			b.t.Errorf("request %d got a response from %s", n, b.versionName(a.version))
		}
		time.Sleep(pause)
	}
}
