package main

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/foxtailwharf/foxtailwharf"
	"github.com/foxtailwharf/foxtailwharf/internal/connection/dialer"
	"github.com/foxtailwharf/foxtailwharf/internal/process/editor"
	"github.com/foxtailwharf/foxtailwharf/internal/process/storer"
	"github.com/foxtailwharf/foxtailwharf/standin"
	"github.com/foxtailwharf/foxtailwharf/standin/fleet"
)

// waitTimeout fails a test that would otherwise hang. No test result depends on its value.
const waitTimeout = 2 * time.Minute

// binary is the path of the program under test, built by TestMain.
var binary string

func TestMain(m *testing.M) {
	folder, err := os.MkdirTemp("", "foxtailwharf")
	if err != nil {
		panic(err)
	}
	binary = filepath.Join(folder, "foxtailwharf")
	if out, err := exec.Command("go", "build", "-o", binary, ".").CombinedOutput(); err != nil {
		panic(string(out))
	}
	code := m.Run()
	_ = os.RemoveAll(folder)
	os.Exit(code)
}

// process is an entry or agent that runs as an operating system process.
type process struct {
	t       *testing.T
	command *exec.Cmd
	name    string
	peers   string     // address for the other processes
	callers string     // address for callers; entries only
	exited  chan error // receives the exit error and is then closed
}

// startProcess starts a process and waits until it logs its addresses.
func startProcess(t *testing.T, role, name, settings string) *process {
	t.Helper()
	file := filepath.Join(t.TempDir(), name+".yaml")
	if err := os.WriteFile(file, []byte(settings), 0o600); err != nil {
		t.Fatal(err)
	}
	p := &process{t: t, name: name, command: exec.Command(binary, role, file), exited: make(chan error, 1)}
	pipe, err := p.command.StdoutPipe()
	if err != nil {
		t.Fatal(err)
	}
	if err := p.command.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		p.signal(syscall.SIGCONT)
		p.signal(syscall.SIGKILL)
		if err, isUnread := <-p.exited; isUnread {
			t.Logf("%s exited: %v", name, err)
		}
	})
	lines := bufio.NewScanner(pipe)
	for lines.Scan() {
		var line struct{ Message, Peers, Callers string }
		if json.Unmarshal(lines.Bytes(), &line) == nil && strings.HasSuffix(line.Message, " started") {
			p.peers, p.callers = line.Peers, line.Callers
			break
		}
		t.Logf("%s: %s", name, lines.Text())
	}
	if p.peers == "" {
		t.Fatalf("%s did not start", name)
	}
	go p.run(lines)
	return p
}

// run discards the process's log until it exits, so that it never blocks on a full pipe.
func (p *process) run(lines *bufio.Scanner) {
	for lines.Scan() {
		continue
	}
	err := p.command.Wait()
	p.exited <- err
	close(p.exited)
}

// signal sends a signal. The error for a process that has exited is ignored.
func (p *process) signal(s syscall.Signal) {
	_ = p.command.Process.Signal(s)
}

// testFleet has two entries, two agents with engines and an agent with a plain service.
type testFleet struct {
	t        *testing.T
	network  *dialer.TCP
	platform *standin.Platform
	engines  []*standin.Engine
	service  *standin.Service
	entries  []*process
	agents   []*process // the last is beside the plain service
}

func newTestFleet(t *testing.T) *testFleet {
	t.Helper()
	network, err := dialer.New(foxtailwharf.TLS{})
	if err != nil {
		t.Fatal(err)
	}
	s := &testFleet{t: t, network: network, platform: standin.NewPlatform(), service: standin.NewService()}
	origin := standin.NewOrigin(1)
	version, _ := origin.AddModel("assistant", 1, 10, 1024)
	platform, originAddress := s.serve(s.platform), s.serve(origin)
	store := storer.New(storer.Config{Network: network, Address: platform, Timeout: waitTimeout})
	for _, text := range []string{fleet.DemoAgreement, strings.ReplaceAll(fleet.DemoAssistant, "VERSION", version), fleet.DemoReservations} {
		if _, err := editor.New(editor.Config{Store: store}).Apply(t.Context(), []byte(text)); err != nil {
			t.Fatal(err)
		}
	}
	var instances []storer.ListedInstance
	for n := range 2 {
		name := fmt.Sprint("entry-", n)
		p := startProcess(t, "entry", name, commonSettings(name, platform)+"Callers: 127.0.0.1:0\nNotice: 500ms\nTicketSecret: a secret of more than thirty-two characters\n")
		s.entries = append(s.entries, p)
		instances = append(instances, storer.ListedInstance{Name: name, Role: "Entry", Address: p.peers, FailureDomain: "luzon", Region: "luzon"})
	}
	s.platform.SetList(instances)
	for n := range 2 {
		e := standin.NewEngine(standin.EngineConfig{TimeToFirstToken: 10 * time.Millisecond, TokenInterval: 10 * time.Millisecond, ChecksFence: true})
		s.engines = append(s.engines, e)
		s.startAgent(fmt.Sprint("assistant-", n), "assistant", platform, originAddress, e)
	}
	s.startAgent("reservations-0", "reservations", platform, originAddress, s.service)
	s.waitUntil("the entries know all agents", func() bool { return s.usableAgents(0) == 3 && s.usableAgents(1) == 3 })
	return s
}

func commonSettings(name string, platform netip.AddrPort) string {
	return fmt.Sprintf("Common:\n  Name: %s\n  FailureDomain: luzon\n  Region: luzon\n  Peers: 127.0.0.1:0\n  Platform: %s\n  Interval: 100ms\n", name, platform)
}

func (s *testFleet) serve(handler http.Handler) netip.AddrPort {
	s.t.Helper()
	server, err := standin.Serve(s.t.Context(), s.network, netip.MustParseAddrPort("127.0.0.1:0"), handler)
	if err != nil {
		s.t.Fatal(err)
	}
	s.t.Cleanup(server.Close)
	return server.Address()
}

func (s *testFleet) startAgent(name, service string, platform, origin netip.AddrPort, upstream http.Handler) {
	s.t.Helper()
	settings := commonSettings(name, platform) + fmt.Sprintf("Service: %s\nUpstream: %s\nOrigin: %s\n", service, s.serve(upstream), origin)
	s.agents = append(s.agents, startProcess(s.t, "agent", name, settings))
}

// waitUntil polls a condition until it is true, and fails the test after waitTimeout.
func (s *testFleet) waitUntil(condition string, isMet func() bool) {
	s.t.Helper()
	for deadline := time.Now().Add(waitTimeout); !isMet(); time.Sleep(10 * time.Millisecond) {
		if time.Now().After(deadline) {
			s.t.Fatalf("timed out waiting until %s", condition)
		}
	}
}

// usableAgents returns the number of agents that an entry may send requests to.
func (s *testFleet) usableAgents(entry int) (count int) {
	response, err := http.Get("http://" + s.entries[entry].peers + "/statusz")
	if err != nil {
		return 0
	}
	defer func() { _ = response.Body.Close() }()
	var status struct{ Agents []foxtailwharf.Instance }
	_ = json.NewDecoder(response.Body).Decode(&status)
	for _, i := range status.Agents {
		if !i.IsLeaving && (i.Version != "" || i.Service == "reservations") {
			count++
		}
	}
	return count
}

// callResult is the response that a caller got, or the error.
type callResult struct {
	status int
	body   string
	err    error
}

func (s *testFleet) send(ctx context.Context, entry int, path, body string, header http.Header) callResult {
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+s.entries[entry].callers+path, strings.NewReader(body))
	if err != nil {
		return callResult{err: err}
	}
	for name, values := range header {
		request.Header[name] = values
	}
	request.Header.Set("Authorization", "Bearer demo-organiser")
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Do(request)
	if err != nil {
		return callResult{err: err}
	}
	defer func() { _ = response.Body.Close() }()
	data, err := io.ReadAll(response.Body)
	return callResult{status: response.StatusCode, body: string(data), err: err}
}

func (s *testFleet) chat(entry int, id string, tokens int) callResult {
	return s.send(s.t.Context(), entry, "/v1/chat/completions", fmt.Sprintf(`{"model":"assistant","user":%q,"stream":true,"max_tokens":%d,"messages":[]}`, id, tokens), nil)
}

func (s *testFleet) reserve(entry int, key string) callResult {
	return s.send(s.t.Context(), entry, "/reservations/dates", key, http.Header{"Idempotency-Key": {key}})
}

// engineRunning returns the index of the engine that runs a request, or -1.
func (s *testFleet) engineRunning(id string) int {
	for n, e := range s.engines {
		for _, r := range e.Runs() {
			if r.ID == id && !r.IsComplete {
				return n
			}
		}
	}
	return -1
}

// TestKilledAgent kills an agent's process in the middle of a stream. The stream must be resumed at
// another agent, so that the caller gets all events.
func TestKilledAgent(t *testing.T) {
	s := newTestFleet(t)
	var caller sync.WaitGroup
	caller.Go(func() {
		if r := s.chat(0, "long", 100); r.err != nil || strings.Count(r.body, "id: ") != 100 || !strings.HasSuffix(r.body, "[DONE]\n\n") {
			t.Errorf("got %d events, error %v", strings.Count(r.body, "id: "), r.err)
		}
	})
	s.waitUntil("the request runs", func() bool { return s.engineRunning("long") >= 0 })
	s.agents[s.engineRunning("long")].signal(syscall.SIGKILL)
	caller.Wait()
}

// TestFrozen stops with SIGSTOP the agent that runs a call with an idempotency key, until the call
// fails, and then the entry that sent another one, until a retry through the other entry has got its
// response. Each call must run only once, and its retry must get the response of that run.
func TestFrozen(t *testing.T) {
	s := newTestFleet(t)
	s.service.SetFaults(standin.ServiceFaults{Latency: time.Second})
	agent := s.agents[len(s.agents)-1]
	var first callResult
	var caller sync.WaitGroup
	caller.Go(func() { first = s.reserve(0, "frozen agent") })
	s.waitUntil("the call runs", func() bool { return s.service.Runs("frozen agent") == 1 })
	agent.signal(syscall.SIGSTOP)
	caller.Wait()
	if first.status != http.StatusBadGateway || !strings.Contains(first.body, `"NotRun":false`) {
		t.Errorf("while the agent was stopped, the caller got %+v, want an unknown outcome", first)
	}
	agent.signal(syscall.SIGCONT)
	s.waitUntil("the retry gets the response", func() bool { return s.reserve(1, "frozen agent").status == http.StatusOK })

	s.waitUntil("the first entry knows the agent again", func() bool { return s.reserve(0, "agent is back").status == http.StatusOK })
	var late callResult
	caller.Go(func() { late = s.reserve(0, "frozen entry") })
	s.waitUntil("the call runs", func() bool { return s.service.Runs("frozen entry") == 1 })
	s.entries[0].signal(syscall.SIGSTOP)
	if r := s.reserve(1, "frozen entry"); r.status != http.StatusOK {
		t.Errorf("the retry through the other entry got %+v", r)
	}
	s.entries[0].signal(syscall.SIGCONT)
	caller.Wait()
	if late.status != http.StatusOK {
		t.Errorf("the first caller got %+v after the entry was resumed", late)
	}
	for _, key := range []string{"frozen agent", "frozen entry"} {
		if got := s.service.Runs(key); got != 1 {
			t.Errorf("%s ran %d times", key, got)
		}
	}
}

// TestKilledEntry kills the entry that sent a call with an idempotency key. A retry through the
// other entry must get the response of the first run.
func TestKilledEntry(t *testing.T) {
	s := newTestFleet(t)
	s.service.SetFaults(standin.ServiceFaults{Latency: 300 * time.Millisecond})
	var caller sync.WaitGroup
	caller.Go(func() {
		if r := s.reserve(0, "key"); r.err == nil {
			t.Errorf("the caller of a killed entry got %+v", r)
		}
	})
	s.waitUntil("the call runs", func() bool { return s.service.Runs("key") == 1 })
	s.entries[0].signal(syscall.SIGKILL)
	caller.Wait()
	if r := s.reserve(1, "key"); r.status != http.StatusOK || s.service.Runs("key") != 1 {
		t.Errorf("the retry got %+v after %d runs", r, s.service.Runs("key"))
	}
}

// TestTermTwice sends SIGTERM twice to an agent and an entry under load, and the same with SIGHUP. No request
// may be cut off, and both must exit with 0.
func TestTermTwice(t *testing.T) {
	for _, sent := range []syscall.Signal{syscall.SIGTERM, syscall.SIGHUP} {
		t.Run(sent.String(), func(t *testing.T) { stopUnderLoad(t, sent) })
	}
}

func stopUnderLoad(t *testing.T, sent syscall.Signal) {
	s := newTestFleet(t)
	var callers sync.WaitGroup
	quit := make(chan struct{})
	for n := range 8 {
		callers.Go(func() {
			for i := 0; ; i++ {
				entry := n % 2
				select {
				case <-quit:
					// Stands for the load balancer, which sends no more requests after the health check of
					// the first entry failed.
					return
				default:
				}
				if r := s.chat(entry, fmt.Sprint(n, "-", i), 20); r.err != nil || strings.Count(r.body, "id: ") != 20 {
					t.Errorf("a request through entry %d was cut off: status %d, error %v, body %s", entry, r.status, r.err, r.body)
				}
			}
		})
	}
	time.Sleep(200 * time.Millisecond)
	s.stop(s.agents[0], sent)
	s.entries[0].signal(sent)
	s.entries[0].signal(sent)
	s.waitUntil("the health check fails", func() bool {
		response, err := http.Get("http://" + s.entries[0].callers + "/healthz")
		if err != nil {
			return false
		}
		_ = response.Body.Close()
		return response.StatusCode == http.StatusServiceUnavailable
	})
	close(quit)
	callers.Wait()
	if err := <-s.entries[0].exited; err != nil {
		t.Errorf("entry-0: %v", err)
	}
}

// stop sends a signal twice and fails the test unless the process exits with 0.
func (s *testFleet) stop(p *process, sent syscall.Signal) {
	s.t.Helper()
	p.signal(sent)
	p.signal(sent)
	if err := <-p.exited; err != nil {
		s.t.Errorf("%s: %v", p.name, err)
	}
}

// TestCheck runs the check command on a valid file and two invalid ones, and compares exit codes and
// the positions of errors.
func TestCheck(t *testing.T) {
	tests := []struct {
		file string
		code int
		want string
	}{
		{"agent-good.yaml", 0, "no faults"},
		{"entry-name.yaml", 1, "entry-name.yaml:5:10: $.Common.Peers"},
		{"agent-unknown.yaml", 1, `agent-unknown.yaml:9:1: $: unknown field "Uploadz"`},
	}
	for _, tt := range tests {
		command := exec.Command(binary, "check", filepath.Join("..", "..", "internal", "process", "checker", "testdata", tt.file))
		out, _ := command.CombinedOutput()
		if got := command.ProcessState.ExitCode(); got != tt.code || !bytes.Contains(out, []byte(tt.want)) {
			t.Errorf("%s: exit %d, printed %s", tt.file, got, out)
		}
	}
}
