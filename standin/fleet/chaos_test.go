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

// Sizes of a chaos run.
const (
	chaosSeeds      = 12
	chaosCallers    = 12
	chaosOperations = 15
	chaosTokens     = 20
)

// chaos is one run of callers against a fleet that fails in random ways.
type chaos struct {
	*bench
	random   *rand.Rand
	services []*standin.Service
	engines  []*standin.Engine
	done     chan struct{}
	tally    map[string]int

	mu       sync.Mutex
	problems []string
	told     map[string]bool // whether the last word on a reservation was "not run"
}

// TestChaos checks, under random kills, cuts, crashes, store outages, lost and late
// answers and version switches, that calls run at most once, that "not run" is
// true, and that every whole answer is the caller's own and of one version.
func TestChaos(t *testing.T) {
	t.Parallel()
	for seed := range uint64(chaosSeeds) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { runChaos(t, seed) })
		})
	}
}

func runChaos(t *testing.T, seed uint64) {
	c := &chaos{random: rand.New(rand.NewPCG(seed, 1)), done: make(chan struct{}), tally: make(map[string]int), told: make(map[string]bool)}
	c.bench = newBench(t, benchConfig{change: func(config *fleet.Config) {
		config.Services[0].Upstream = func(int) http.Handler {
			e := standin.NewEngine(standin.EngineConfig{FirstToken: 30 * time.Millisecond, BetweenToken: 20 * time.Millisecond, ChecksFence: len(c.engines)%2 == 0, RestartTime: time.Second})
			c.engines = append(c.engines, e)
			return e
		}
		config.Services[1].PerDomain = 2
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
		go c.call(&callers, n, rand.New(rand.NewPCG(seed, uint64(n+2))))
	}
	ended := make(chan struct{})
	go c.fail(ended)
	callers.Wait()
	close(c.done)
	<-ended
	c.heal()
	// Calls that were on their way may still arrive.
	time.Sleep(time.Minute)
	c.judge()
	t.Logf("outcomes: %v", c.tally)
	c.stop()
}

func (c *chaos) problem(format string, args ...any) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.problems = append(c.problems, fmt.Sprintf(format, args...))
}

func (c *chaos) note(what string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.tally[what]++
}

func (c *chaos) judge() {
	for name, isTold := range c.told {
		if runs := c.runs(name); runs > 1 || (isTold && runs > 0) {
			c.problem("%s ran %d times, told not run: %t", name, runs, isTold)
		}
	}
	for _, p := range c.problems {
		c.t.Error(p)
	}
	if c.tally["reservation whole"] == 0 || c.tally["chat whole"] == 0 {
		c.t.Error("no request got a whole answer, so the run shows nothing")
	}
}

// runs returns how often a body ran anywhere.
func (c *chaos) runs(body string) (count int) {
	for _, s := range c.services {
		count += s.Runs(body)
	}
	return count
}

// hasRun reports whether an engine ran a request with an ID.
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

// fail provokes failures until the callers are done.
func (c *chaos) fail(ended chan struct{}) {
	defer close(ended)
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
			if err := c.f.Replace(c.t.Context(), c.f.Agents[pick(len(c.f.Agents))]); err != nil {
				c.problem("replace: %v", err)
			}
		case 2:
			c.services[pick(len(c.services))].SetFaults(standin.ServiceFaults{Latency: 30 * time.Millisecond, BreakAnswers: 3})
		case 3:
			c.platform.SetFaults(standin.PlatformFaults{IsDown: true})
			time.Sleep(time.Duration(pick(1500)) * time.Millisecond)
			c.platform.SetFaults(standin.PlatformFaults{})
		case 4:
			c.platform.SetFaults(standin.PlatformFaults{LoseAnswers: 4})
		case 5:
			c.platform.SetFaults(standin.PlatformFaults{DelayWrites: 3, WriteDelay: 3 * time.Second})
		case 6:
			a, b := domains[pick(3)].Name, domains[pick(3)].Name
			c.fabric.Cut(a, b, a != b)
			time.Sleep(time.Duration(pick(3000)) * time.Millisecond)
			c.fabric.Cut(a, b, false)
		case 7:
			c.engines[pick(len(c.engines))].Crash()
		case 8:
			if _, err := c.f.Apply(c.t.Context(), "operator", c.document(pick(3))); err != nil {
				c.note("apply failed")
			}
		}
	}
}

func (c *chaos) heal() {
	c.platform.SetFaults(standin.PlatformFaults{})
}

// call is one caller's work.
func (c *chaos) call(callers *sync.WaitGroup, n int, random *rand.Rand) {
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

// problemOf reads a refusal.
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

// reserveRepeatedly sends a reservation up to four times through any entries, until
// it gets an answer or is told that it did not run.
func (c *chaos) reserveRepeatedly(name string, random *rand.Rand, ticket string) {
	isTold := false
	for range 4 {
		if random.IntN(6) == 0 {
			// A second sender of the same key at the same time.
			// Each sender's entry is drawn before the goroutine starts: the source of
			// random numbers belongs to this one alone.
			first, second := random.IntN(6), random.IntN(6)
			var both sync.WaitGroup
			both.Go(func() { c.reserveOnce(name, first, ticket) })
			c.reserveOnce(name, (second+1)%6, ticket)
			both.Wait()
		}
		a := c.reserveOnce(name, random.IntN(6), ticket)
		reason, isNotRun := problemOf(a)
		if a.err == nil && a.status == http.StatusOK {
			c.note("reservation whole")
			break
		}
		c.note("reservation " + reason)
		if isNotRun && random.IntN(2) == 0 {
			isTold = true
			break
		}
		time.Sleep(time.Duration(random.IntN(500)) * time.Millisecond)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.told[name] = isTold
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
		c.problem("%s had run and a repeat was refused as not run (%s)", name, reason)
	}
	want := fmt.Sprintf(`{"Confirmed":%q,"Run":1}`, foxtailwharf.Digest([]byte(name))[:12])
	if a.err == nil && a.status == http.StatusOK && strings.TrimSpace(a.body) != want {
		c.problem("%s got %s, want %s", name, a.body, want)
	}
	return a
}

func (c *chaos) reserveByTicket(name string, random *rand.Rand) {
	a := c.via(random.IntN(6)).do(c.t.Context(), http.MethodPost, "/v1/operations", `{"Service":"reservations"}`, nil)
	var reply struct{ Ticket string }
	if a.err != nil || a.status != http.StatusCreated || json.Unmarshal([]byte(a.body), &reply) != nil {
		c.note("no ticket")
		return
	}
	c.reserveRepeatedly(name, random, reply.Ticket)
}

// chatOnce sends a chat and checks a whole answer against the prompt.
func (c *chaos) chatOnce(name string, random *rand.Rand) {
	isStream := random.IntN(3) > 0
	body := fmt.Sprintf(`{"model":"assistant","user":%q,"stream":%t,"max_tokens":%d,"messages":[{"role":"user","content":"Draft."}]}`, name, isStream, chaosTokens)
	a := c.via(random.IntN(6)).chat(body)
	reason, isNotRun := problemOf(a)
	switch {
	case a.err != nil:
		c.note("chat broke off")
	case a.status != http.StatusOK:
		c.note("chat " + reason)
		if isNotRun && c.hasRun(name) {
			c.problem("%s ran and was refused as not run (%s)", name, reason)
		}
	default:
		c.note("chat whole")
		if !strings.Contains(a.body, wantTokens(body, a.version, isStream)) || (isStream && a.body != wantStream(body, a.version)) {
			c.problem("%s got an answer that is not its own or not whole: %s", name, a.body)
		}
	}
}

// wantTokens returns the text of a whole answer, or of a stream's last token.
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

// wantStreamOf returns a whole stream of so many tokens.
func wantStreamOf(body, version string, tokens int) string {
	var text strings.Builder
	for n := 1; n <= tokens; n++ {
		fmt.Fprintf(&text, "id: %d\ndata: {\"system_fingerprint\":%q,\"choices\":[{\"delta\":{\"content\":%q}}]}\n\n", n, version, standin.Token([]byte(body), version, n))
	}
	return text.String() + "data: [DONE]\n\n"
}
