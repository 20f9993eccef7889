package relayer_test

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"testing"
	"testing/synctest"
	"time"

	"go.uber.org/zap"

	"github.com/foxtailwharf/foxtailwharf"
	"github.com/foxtailwharf/foxtailwharf/internal/process/recorder"
	"github.com/foxtailwharf/foxtailwharf/internal/request/budgeter"
	"github.com/foxtailwharf/foxtailwharf/internal/request/relayer"
	"github.com/foxtailwharf/foxtailwharf/internal/request/router"
	"github.com/foxtailwharf/foxtailwharf/internal/request/runner"
	"github.com/foxtailwharf/foxtailwharf/standin"
	"github.com/foxtailwharf/foxtailwharf/wire"
)

// members is a fixed view of the instances.
type members []foxtailwharf.Instance

func (m members) Live(foxtailwharf.Role) []foxtailwharf.Instance { return m }
func (m members) Lost(string)                                    {}
func (m members) Warn(context.Context)                           {}

const whole = "id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\ndata: c\n\n"

// agent answers attempts, and lies where lie is set.
type agent struct {
	incarnation string
	isStream    bool
	lie         func(answer *wire.Answer, body *string, end *wire.End)
	isAborted   bool // after the body
	isSilent    bool // no end record
	calls       int
}

func (a *agent) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	a.calls++
	var attempt wire.Attempt
	_ = json.Unmarshal([]byte(r.Header.Get(runner.HeaderAttempt)), &attempt)
	body := whole
	if attempt.ResumeAfter != "" && a.lie == nil {
		var after int
		_, _ = fmt.Sscan(attempt.ResumeAfter, &after)
		body = whole[after*len("id: 1\ndata: a\n\n"):]
	}
	answer := wire.Answer{AttemptID: attempt.AttemptID, Incarnation: a.incarnation, Status: 200, ContentType: "text/plain", Version: "v"}
	if a.isStream {
		answer.ContentType = "text/event-stream"
	}
	end := wire.End{AttemptID: attempt.AttemptID, IsWhole: true, Bytes: -1}
	if a.lie != nil {
		a.lie(&answer, &body, &end)
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
	if !a.isSilent {
		text, _ = json.Marshal(end)
		w.Header().Set(runner.TrailerEnd, string(text))
	}
}

// relay sends one request to agents; it reports whether the caller's connection was
// broken off.
func relay(t *testing.T, agents ...*agent) (out *httptest.ResponseRecorder, refusal *foxtailwharf.Refusal, isBroken bool) {
	fabric := standin.NewFabric(time.Millisecond, 0)
	host := fabric.Host("d", "r", 0)
	var list members
	var servers []*standin.Server
	for n, a := range agents {
		a.incarnation = fmt.Sprint("incarnation ", n)
		address := netip.AddrPortFrom(netip.MustParseAddr("127.0.0.1"), uint16(n+1))
		server, err := standin.Serve(t.Context(), host, address, a)
		if err != nil {
			t.Fatal(err)
		}
		servers = append(servers, server)
		list = append(list, foxtailwharf.Instance{Name: fmt.Sprint("agent-", n), Incarnation: a.incarnation, Address: address, Service: "s", Version: "v", FailureDomain: "d"})
	}
	random := rand.New(rand.NewPCG(1, 1))
	r := relayer.New(relayer.Config{
		Network:        host,
		Members:        list,
		Router:         router.Config{Policy: foxtailwharf.RoutingRoundRobin, FailureDomain: "d", Random: random},
		Budget:         budgeter.Config{Part: 0.1, Base: time.Millisecond, Longest: time.Millisecond, Random: random},
		Recorder:       recorder.New(),
		MaxAnswerBytes: 1000,
		Log:            zap.NewNop(),
	})
	out = httptest.NewRecorder()
	func() {
		defer func() { isBroken = recover() != nil }()
		_, refusal = r.Relay(t.Context(), out, relayer.Request{Service: "s", Method: http.MethodPost, Path: "/", Deadline: time.Now().Add(30 * time.Second)})
	}()
	r.Close()
	for _, server := range servers {
		server.Close()
	}
	time.Sleep(time.Minute)
	return out, refusal, isBroken
}

// TestLies has agents answer late, crossed, doubled and cut short: a caller gets the
// whole answer of an honest agent, or a refusal of unknown outcome, or a connection
// that breaks; never a part that looks whole.
func TestLies(t *testing.T) {
	lies := map[string]agent{
		"another attempt's answer": {lie: func(a *wire.Answer, _ *string, _ *wire.End) { a.AttemptID = "other" }},
		"another incarnation":      {lie: func(a *wire.Answer, _ *string, _ *wire.End) { a.Incarnation = "other" }},
		"no status":                {lie: func(a *wire.Answer, _ *string, _ *wire.End) { a.Status = 0 }},
		"another attempt's end":    {lie: func(_ *wire.Answer, _ *string, e *wire.End) { e.AttemptID = "other" }},
		"fewer bytes than told":    {lie: func(_ *wire.Answer, b *string, e *wire.End) { e.Bytes, *b = int64(len(*b)), (*b)[:15] }},
		"not whole":                {lie: func(_ *wire.Answer, b *string, e *wire.End) { e.IsWhole, *b = false, (*b)[:15] }},
		"no end record":            {isSilent: true, lie: func(_ *wire.Answer, b *string, _ *wire.End) { *b = (*b)[:15] }},
		"cut inside an event":      {isAborted: true, lie: func(_ *wire.Answer, b *string, _ *wire.End) { *b = (*b)[:22] }},
		"cut between events":       {isAborted: true, lie: func(_ *wire.Answer, b *string, _ *wire.End) { *b = (*b)[:30] }},
		"cut before the first":     {isAborted: true, lie: func(_ *wire.Answer, b *string, _ *wire.End) { *b = (*b)[:3] }},
		"an event twice":           {lie: func(_ *wire.Answer, b *string, _ *wire.End) { *b = (*b)[:15] + *b }},
		"an event left out":        {lie: func(_ *wire.Answer, b *string, _ *wire.End) { *b = (*b)[:15] + (*b)[30:] }},
		"another version":          {isAborted: true, lie: func(a *wire.Answer, b *string, _ *wire.End) { a.Version, *b = "other", (*b)[:15] }},
	}
	for name, lie := range lies {
		for _, isStream := range []bool{true, false} {
			if !isStream && (name == "an event twice" || name == "an event left out") {
				continue
			}
			t.Run(fmt.Sprint(name, " stream ", isStream), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					liar, honest := lie, agent{isStream: isStream}
					liar.isStream = isStream
					// Round robin begins with the second.
					isMixed := isStream && name == "another version"
					checkLie(t, isMixed, &honest, &liar)
					if liar.calls != 1 || (honest.calls != 1) != isMixed {
						t.Errorf("the liar was asked %d times, the honest agent %d times", liar.calls, honest.calls)
					}
					checkLie(t, true, &liar)
				})
			})
		}
	}
}

// checkLie relays one request. mayFail says that no honest agent can make the answer
// whole.
func checkLie(t *testing.T, mayFail bool, agents ...*agent) {
	t.Helper()
	for _, a := range agents {
		a.calls = 0
	}
	out, refusal, isBroken := relay(t, agents...)
	switch {
	case isBroken && mayFail:
	case refusal != nil && mayFail:
		if refusal.IsNotRun {
			t.Errorf("%d agents: a request that ran was refused as not run: %v", len(agents), refusal)
		}
	case isBroken || refusal != nil:
		t.Errorf("%d agents: broken %t, refusal %v; want the honest agent's answer", len(agents), isBroken, refusal)
	case out.Body.String() != whole:
		t.Errorf("%d agents: got %q as a whole answer", len(agents), out.Body.String())
	}
}

// TestRefusals has agents refuse: only if none can have run the request is it told so.
func TestRefusals(t *testing.T) {
	refuse := func(isNotRun bool) agent {
		return agent{lie: func(a *wire.Answer, b *string, _ *wire.End) {
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
