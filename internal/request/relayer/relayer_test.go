package relayer_test

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"github.com/foxtailwharf/foxtailwharf"
	"github.com/foxtailwharf/foxtailwharf/internal/process/meter"
	"github.com/foxtailwharf/foxtailwharf/internal/request/budgeter"
	"github.com/foxtailwharf/foxtailwharf/internal/request/relayer"
	"github.com/foxtailwharf/foxtailwharf/internal/request/router"
	"github.com/foxtailwharf/foxtailwharf/internal/request/runner"
	"github.com/foxtailwharf/foxtailwharf/standin"
	"github.com/foxtailwharf/foxtailwharf/wire"
)

// members is a view of the instances.
type members struct {
	mu   sync.Mutex
	list []foxtailwharf.Instance
	// look is called before the instances are returned, if it is set.
	look func()
}

// Live returns the instances.
func (m *members) Live(foxtailwharf.Role) []foxtailwharf.Instance {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.look != nil {
		m.look()
	}
	return m.list
}

// lose removes all instances.
func (m *members) lose() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.list = nil
}

func (m *members) MarkLost(string)           {}
func (m *members) ShareBans(context.Context) {}

const whole = "id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\ndata: c\n\n"

// agent answers attempts. fault, if set, modifies the response.
type agent struct {
	incarnation string
	isStream    bool
	fault       func(answer *wire.Answer, body *string, end *wire.End)
	isAborted   bool // the connection is aborted after the body
	hasNoEnd    bool // the end record is missing
	calls       int
}

func (a *agent) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	a.calls++
	var attempt wire.Attempt
	_ = json.Unmarshal([]byte(r.Header.Get(runner.HeaderAttempt)), &attempt)
	body := whole
	if attempt.ResumeAfter != "" && a.fault == nil {
		var after int
		_, _ = fmt.Sscan(attempt.ResumeAfter, &after)
		body = whole[after*len("id: 1\ndata: a\n\n"):]
	}
	answer := wire.Answer{AttemptID: attempt.AttemptID, Incarnation: a.incarnation, Status: 200, ContentType: "text/plain", Version: "v"}
	if a.isStream {
		answer.ContentType = "text/event-stream"
	}
	end := wire.End{AttemptID: attempt.AttemptID, IsWhole: true, Bytes: -1}
	if a.fault != nil {
		a.fault(&answer, &body, &end)
	}
	if end.Bytes < 0 {
		end.Bytes = int64(len(body))
	}
	text, _ := json.Marshal(answer)
	w.Header().Set(runner.HeaderAnswer, string(text))
	w.Header().Set("Trailer", runner.TrailerEnd)
	_, _ = w.Write([]byte(body))
	_ = http.NewResponseController(w).Flush()
	if a.isAborted {
		panic(http.ErrAbortHandler)
	}
	if !a.hasNoEnd {
		text, _ = json.Marshal(end)
		w.Header().Set(runner.TrailerEnd, string(text))
	}
}

// bench is a relayer and the agents that it knows, on one network.
type bench struct {
	t       *testing.T
	host    foxtailwharf.Network
	members *members
	meter   *meter.Meter
	relayer *relayer.Relayer
	servers []*standin.Server
}

func newBench(t *testing.T, agents ...*agent) *bench {
	b := &bench{t: t, host: standin.NewMemoryNetwork(time.Millisecond, 0).Host("d", "r", 0), members: &members{}, meter: meter.New()}
	for _, a := range agents {
		b.add(a, a)
	}
	b.log(zapcore.NewNopCore())
	return b
}

// log replaces the relayer by one that logs to core.
func (b *bench) log(core zapcore.Core) {
	random := rand.New(rand.NewPCG(1, 1))
	b.relayer = relayer.New(relayer.Config{
		Network:        b.host,
		Members:        b.members,
		Router:         router.Config{Policy: foxtailwharf.RoutingRoundRobin, FailureDomain: "d", Random: random},
		Budget:         budgeter.Config{Ratio: 0.1, BaseDelay: time.Millisecond, MaxDelay: time.Millisecond, Random: random},
		Meter:          b.meter,
		MaxAnswerBytes: 1000,
		Log:            zap.New(core),
	})
}

// add adds an agent whose requests a handler serves.
func (b *bench) add(a *agent, handler http.Handler) {
	b.t.Helper()
	n := len(b.servers)
	a.incarnation = fmt.Sprint("incarnation ", n)
	address := netip.AddrPortFrom(netip.MustParseAddr("127.0.0.1"), uint16(n+1))
	server, err := standin.Serve(b.t.Context(), b.host, address, handler)
	if err != nil {
		b.t.Fatal(err)
	}
	b.servers = append(b.servers, server)
	b.members.list = append(b.members.list, foxtailwharf.Instance{Name: fmt.Sprint("agent-", n), Incarnation: a.incarnation, Address: address, Service: "s", Version: "v", FailureDomain: "d"})
}

// close ends the relayer and the agents. What these have counted may be read after it.
func (b *bench) close() {
	b.relayer.Close()
	for _, server := range b.servers {
		server.Close()
	}
	time.Sleep(time.Minute)
	synctest.Wait()
}

// relay sends one request to the agents. It reports whether the caller's connection was aborted.
func (b *bench) relay(out http.ResponseWriter, q relayer.Request) (refusal *foxtailwharf.Refusal, isAborted bool) {
	q.Service, q.Method, q.Path, q.Deadline = "s", http.MethodPost, "/", time.Now().Add(30*time.Second)
	defer func() { isAborted = recover() != nil }()
	_, refusal = b.relayer.Relay(b.t.Context(), out, q)
	return refusal, false
}

// relay sends one request to agents. It reports whether the caller's connection was aborted.
func relay(t *testing.T, agents ...*agent) (out *httptest.ResponseRecorder, refusal *foxtailwharf.Refusal, isAborted bool) {
	b := newBench(t, agents...)
	defer b.close()
	out = httptest.NewRecorder()
	refusal, isAborted = b.relay(out, relayer.Request{})
	return out, refusal, isAborted
}

// TestFaultyAgents has an agent send responses that are mismatched, duplicated, incomplete or
// interrupted. The caller must get the complete response of a correct agent, a refusal with
// unknown outcome, or an aborted connection, but never an incomplete response that looks
// complete.
func TestFaultyAgents(t *testing.T) {
	faults := map[string]agent{
		"another attempt's answer":   {fault: func(a *wire.Answer, _ *string, _ *wire.End) { a.AttemptID = "other" }},
		"another incarnation":        {fault: func(a *wire.Answer, _ *string, _ *wire.End) { a.Incarnation = "other" }},
		"no status":                  {fault: func(a *wire.Answer, _ *string, _ *wire.End) { a.Status = 0 }},
		"another attempt's end":      {fault: func(_ *wire.Answer, _ *string, e *wire.End) { e.AttemptID = "other" }},
		"fewer bytes than announced": {fault: func(_ *wire.Answer, b *string, e *wire.End) { e.Bytes, *b = int64(len(*b)), (*b)[:15] }},
		"not whole":                  {fault: func(_ *wire.Answer, b *string, e *wire.End) { e.IsWhole, *b = false, (*b)[:15] }},
		"no end record":              {hasNoEnd: true, fault: func(_ *wire.Answer, b *string, _ *wire.End) { *b = (*b)[:15] }},
		"cut inside an event":        {isAborted: true, fault: func(_ *wire.Answer, b *string, _ *wire.End) { *b = (*b)[:22] }},
		"cut between events":         {isAborted: true, fault: func(_ *wire.Answer, b *string, _ *wire.End) { *b = (*b)[:30] }},
		"cut before the first":       {isAborted: true, fault: func(_ *wire.Answer, b *string, _ *wire.End) { *b = (*b)[:3] }},
		"an event twice":             {fault: func(_ *wire.Answer, b *string, _ *wire.End) { *b = (*b)[:15] + *b }},
		"an event left out":          {fault: func(_ *wire.Answer, b *string, _ *wire.End) { *b = (*b)[:15] + (*b)[30:] }},
		"another version":            {isAborted: true, fault: func(a *wire.Answer, b *string, _ *wire.End) { a.Version, *b = "other", (*b)[:15] }},
	}
	for name, fault := range faults {
		for _, isStream := range []bool{true, false} {
			if !isStream && (name == "an event twice" || name == "an event left out") {
				continue
			}
			t.Run(fmt.Sprint(name, " stream ", isStream), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					faulty, correct := fault, agent{isStream: isStream}
					faulty.isStream = isStream
					// Round robin starts with the second agent.
					isMixed := isStream && name == "another version"
					checkFault(t, isMixed, &correct, &faulty)
					if faulty.calls != 1 || (correct.calls != 1) != isMixed {
						t.Errorf("the faulty agent was called %d times, the correct one %d times", faulty.calls, correct.calls)
					}
					checkFault(t, true, &faulty)
				})
			})
		}
	}
}

// checkFault relays one request. mayFail means that no correct agent can complete the response.
func checkFault(t *testing.T, mayFail bool, agents ...*agent) {
	t.Helper()
	for _, a := range agents {
		a.calls = 0
	}
	out, refusal, isAborted := relay(t, agents...)
	switch {
	case isAborted && mayFail:
	case refusal != nil && mayFail:
		if refusal.IsNotRun {
			t.Errorf("%d agents: a request that ran was refused as not run: %v", len(agents), refusal)
		}
	case isAborted || refusal != nil:
		t.Errorf("%d agents: aborted %t, refusal %v; want the correct agent's response", len(agents), isAborted, refusal)
	case out.Body.String() != whole:
		t.Errorf("%d agents: got %q as a complete response", len(agents), out.Body.String())
	}
}

// TestRefusals has agents refuse a request. The caller is told that it was not run only if no
// agent can have run it.
func TestRefusals(t *testing.T) {
	refuse := func(isNotRun bool) agent {
		return agent{fault: func(a *wire.Answer, b *string, _ *wire.End) {
			a.Refusal, *b = &wire.Refusal{Reason: string(foxtailwharf.ReasonQueueFull), NotRun: isNotRun}, ""
		}}
	}
	tests := []struct {
		name   string
		agents []agent
		want   bool
	}{
		{"one not run", []agent{refuse(true)}, true},
		{"one unknown", []agent{refuse(false)}, false},
		{"unknown and then not run", []agent{refuse(true), refuse(false)}, false},
		{"not run and then unknown", []agent{refuse(false), refuse(true)}, false},
		{"both not run", []agent{refuse(true), refuse(true)}, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				var agents []*agent
				for n := range tt.agents {
					agents = append(agents, &tt.agents[n])
				}
				_, refusal, _ := relay(t, agents...)
				if refusal == nil || refusal.IsNotRun != tt.want {
					t.Errorf("got %v, want not run %t", refusal, tt.want)
				}
			})
		})
	}
}
