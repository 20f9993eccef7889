package fleet_test

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/foxtailwharf/foxtailwharf"
	"github.com/foxtailwharf/foxtailwharf/standin"
	"github.com/foxtailwharf/foxtailwharf/standin/fleet"
)

const (
	chaosSeeds      = 12
	chaosCallers    = 12
	chaosOperations = 15
	chaosTokens     = 20
)

// chaos is one run of concurrent callers against a fleet with random faults.
type chaos struct {
	*bench
	random   *rand.Rand
	services []*standin.Service
	engines  []*standin.Engine
	done     chan struct{}  // closed when the callers are done
	outcomes map[string]int // count by outcome

	mu            sync.Mutex
	failures      []string
	refusedNotRun map[string]bool // by reservation: whether the caller gave up after a refusal that said NotRun
}

// TestChaos injects random faults: killed agents, network partitions, engine crashes, store
// outages, lost responses, delayed writes and version switches. At-most-once calls must not run
// twice, a call refused as NotRun must not have run, and every complete response must belong to the
// caller's own request and come from one version.
func TestChaos(t *testing.T) {
	t.Parallel()
	for seed := range uint64(chaosSeeds) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { runChaos(t, seed) })
		})
	}
}

func runChaos(t *testing.T, seed uint64) {
	c := &chaos{random: rand.New(rand.NewPCG(seed, 1)), done: make(chan struct{}), outcomes: make(map[string]int), refusedNotRun: make(map[string]bool)}
	c.bench = newBench(t, benchConfig{change: func(config *fleet.Config) {
		config.Services[0].Upstream = func(int) http.Handler {
			e := standin.NewEngine(standin.EngineConfig{TimeToFirstToken: 30 * time.Millisecond, TokenInterval: 20 * time.Millisecond, ChecksFence: len(c.engines)%2 == 0, RestartDelay: time.Second})
			c.engines = append(c.engines, e)
			return e
		}
		config.Services[1].AgentsPerDomain = 2
		config.Services[1].Upstream = func(int) http.Handler {
			s := standin.NewService()
			s.SetFaults(standin.ServiceFaults{Latency: 30 * time.Millisecond})
			c.services = append(c.services, s)
			return s
		}
	}})
	var callers sync.WaitGroup
	for n := range chaosCallers {
		callers.Add(1)
		go c.runCaller(&callers, n, rand.New(rand.NewPCG(seed, uint64(n+2))))
	}
	injectorDone := make(chan struct{})
	go c.injectFaults(injectorDone)
	callers.Wait()
	close(c.done)
	<-injectorDone
	c.clearFaults()
	// Calls that are still in flight may reach an upstream.
	time.Sleep(time.Minute)
	c.verify()
	t.Logf("outcomes: %v", c.outcomes)
	c.stop()
}

func (c *chaos) recordFailure(format string, args ...any) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.failures = append(c.failures, fmt.Sprintf(format, args...))
}

func (c *chaos) countOutcome(outcome string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.outcomes[outcome]++
}

func (c *chaos) verify() {
	for name, isRefusedNotRun := range c.refusedNotRun {
		if runs := c.runs(name); runs > 1 || (isRefusedNotRun && runs > 0) {
			c.recordFailure("%s ran %d times, refused as not run: %t", name, runs, isRefusedNotRun)
		}
	}
	for _, failure := range c.failures {
		c.t.Error(failure)
	}
	if c.outcomes["reservation complete"] == 0 || c.outcomes["chat complete"] == 0 {
		c.t.Error("no request got a complete response, so the run proves nothing")
	}
}

// runs returns how often the reservation services ran a body.
func (c *chaos) runs(body string) (count int) {
	for _, s := range c.services {
		count += s.Runs(body)
	}
	return count
}

// hasRun reports whether any engine ran the request with an ID.
func (c *chaos) hasRun(id string) bool {
	for _, e := range c.engines {
		for _, r := range e.Runs() {
			if r.ID == id {
				return true
			}
		}
	}
	return false
}

// injectFaults injects a random fault every 100 to 800 ms until the callers are done, then closes
// injectorDone.
func (c *chaos) injectFaults(injectorDone chan struct{}) {
	defer close(injectorDone)
	for {
		select {
		case <-c.done:
			return
		case <-time.After(time.Duration(100+c.random.IntN(700)) * time.Millisecond):
		}
		pick := func(count int) int { return c.random.IntN(count) }
		domains := fleet.DemoDomains()
		switch pick(9) {
		case 0, 1:
			if err := c.f.ReplaceAgent(c.t.Context(), c.f.Agents[pick(len(c.f.Agents))]); err != nil {
				c.recordFailure("replace: %v", err)
			}
		case 2:
			c.services[pick(len(c.services))].SetFaults(standin.ServiceFaults{Latency: 30 * time.Millisecond, AbortResponses: 3})
		case 3:
			c.platform.SetFaults(standin.PlatformFaults{IsDown: true})
			time.Sleep(time.Duration(pick(1500)) * time.Millisecond)
			c.platform.SetFaults(standin.PlatformFaults{})
		case 4:
			c.platform.SetFaults(standin.PlatformFaults{LoseResponses: 4})
		case 5:
			c.platform.SetFaults(standin.PlatformFaults{DelayWrites: 3, WriteDelay: 3 * time.Second})
		case 6:
			a, b := domains[pick(3)].Name, domains[pick(3)].Name
			c.memoryNetwork.SetPartitioned(a, b, a != b)
			time.Sleep(time.Duration(pick(3000)) * time.Millisecond)
			c.memoryNetwork.SetPartitioned(a, b, false)
		case 7:
			c.engines[pick(len(c.engines))].Crash()
		case 8:
			if _, err := c.f.Apply(c.t.Context(), "operator", c.document(pick(3))); err != nil {
				c.countOutcome("apply failed")
			}
		}
	}
}

func (c *chaos) clearFaults() {
	c.platform.SetFaults(standin.PlatformFaults{})
}

// runCaller sends one caller's requests, one after another.
func (c *chaos) runCaller(callers *sync.WaitGroup, n int, random *rand.Rand) {
	defer callers.Done()
	for operation := range chaosOperations {
		name := fmt.Sprintf("caller-%d-%d", n, operation)
		switch random.IntN(4) {
		case 0:
			c.reserveRepeatedly(name, random, "")
		case 1:
			c.reserveByTicket(name, random)
		default:
			c.chatOnce(name, random)
		}
		time.Sleep(time.Duration(random.IntN(300)) * time.Millisecond)
	}
}

// problemOf decodes the problem details of a refusal. The reason is empty if the request failed or
// the body is not a JSON object.
func problemOf(a answer) (reason string, isNotRun bool) {
	var p struct {
		Reason string
		NotRun bool
	}
	if a.err != nil || json.Unmarshal([]byte(a.body), &p) != nil {
		return "", false
	}
	return p.Reason, p.NotRun
}

// reserveRepeatedly sends a reservation up to four times through random entries until it succeeds.
// It may also give up when a refusal says that the call did not run.
func (c *chaos) reserveRepeatedly(name string, random *rand.Rand, ticket string) {
	isRefusedNotRun := false
	for range 4 {
		if random.IntN(6) == 0 {
			// Two requests with the same key run concurrently. Their entries are drawn before the
			// goroutine starts, because the random source is not safe for concurrent use.
			first, second := random.IntN(6), random.IntN(6)
			var both sync.WaitGroup
			both.Go(func() { c.reserveOnce(name, first, ticket) })
			c.reserveOnce(name, (second+1)%6, ticket)
			both.Wait()
		}
		a := c.reserveOnce(name, random.IntN(6), ticket)
		reason, isNotRun := problemOf(a)
		if a.err == nil && a.status == http.StatusOK {
			c.countOutcome("reservation complete")
			break
		}
		c.countOutcome("reservation " + reason)
		if isNotRun && random.IntN(2) == 0 {
			isRefusedNotRun = true
			break
		}
		time.Sleep(time.Duration(random.IntN(500)) * time.Millisecond)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.refusedNotRun[name] = isRefusedNotRun
}

func (c *chaos) reserveOnce(name string, entry int, ticket string) answer {
	before := c.runs(name)
	header := http.Header{"Idempotency-Key": {name}}
	if ticket != "" {
		header = http.Header{"Foxtailwharf-Ticket": {ticket}}
	}
	b := c.via(entry)
	a := b.do(c.t.Context(), http.MethodPost, "/reservations/dates", name, header)
	reason, isNotRun := problemOf(a)
	if isNotRun && before > 0 {
		c.recordFailure("%s had already run, but a repeat was refused as not run (%s)", name, reason)
	}
	want := fmt.Sprintf(`{"Confirmed":%q,"Run":1}`, foxtailwharf.Digest([]byte(name))[:12])
	if a.err == nil && a.status == http.StatusOK && strings.TrimSpace(a.body) != want {
		c.recordFailure("%s got %s, want %s", name, a.body, want)
	}
	return a
}

func (c *chaos) reserveByTicket(name string, random *rand.Rand) {
	a := c.via(random.IntN(6)).do(c.t.Context(), http.MethodPost, "/v1/operations", `{"Service":"reservations"}`, nil)
	var reply struct{ Ticket string }
	if a.err != nil || a.status != http.StatusCreated || json.Unmarshal([]byte(a.body), &reply) != nil {
		c.countOutcome("no ticket")
		return
	}
	c.reserveRepeatedly(name, random, reply.Ticket)
}

// chatOnce sends a chat request and checks a complete response against the prompt.
func (c *chaos) chatOnce(name string, random *rand.Rand) {
	isStream := random.IntN(3) > 0
	body := fmt.Sprintf(`{"model":"assistant","user":%q,"stream":%t,"max_tokens":%d,"messages":[{"role":"user","content":"Draft."}]}`, name, isStream, chaosTokens)
	a := c.via(random.IntN(6)).chat(body)
	reason, isNotRun := problemOf(a)
	switch {
	case a.err != nil:
		c.countOutcome("chat connection broken")
	case a.status != http.StatusOK:
		c.countOutcome("chat " + reason)
		if isNotRun && c.hasRun(name) {
			c.recordFailure("%s ran, but was refused as not run (%s)", name, reason)
		}
	default:
		c.countOutcome("chat complete")
		if !strings.Contains(a.body, wantTokens(body, a.version, isStream)) || (isStream && a.body != wantStream(body, a.version)) {
			c.recordFailure("%s got a truncated response or one to another request: %s", name, a.body)
		}
	}
}

// wantTokens returns the text of a complete response, or of the last token of a stream.
func wantTokens(body, version string, isStream bool) string {
	var text strings.Builder
	for n := 1; n <= chaosTokens; n++ {
		if !isStream || n == chaosTokens {
			text.WriteString(standin.Token([]byte(body), version, n))
		}
	}
	return text.String()
}

func wantStream(body, version string) string {
	return wantStreamOf(body, version, chaosTokens)
}

// wantStreamOf returns the complete body of a stream with a number of tokens.
func wantStreamOf(body, version string, tokens int) string {
	var text strings.Builder
	for n := 1; n <= tokens; n++ {
		fmt.Fprintf(&text, "id: %d\ndata: {\"system_fingerprint\":%q,\"choices\":[{\"delta\":{\"content\":%q}}]}\n\n", n, version, standin.Token([]byte(body), version, n))
	}
	return text.String() + "data: [DONE]\n\n"
}
