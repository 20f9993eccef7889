package fleet_test

import (
	"context"
	"net/http"
	"net/netip"
	"runtime"
	"strings"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"go.uber.org/zap"

	"github.com/foxtailwharf/foxtailwharf"
	"github.com/foxtailwharf/foxtailwharf/internal/connection/dialer"
	"github.com/foxtailwharf/foxtailwharf/internal/connection/driver"
	"github.com/foxtailwharf/foxtailwharf/standin"
	"github.com/foxtailwharf/foxtailwharf/standin/fleet"
)

// cpuTime returns the CPU time that this process has used so far, 0 on an error.
func cpuTime() time.Duration {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		return 0
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// TestCost measures the control overhead of an idle fleet at several sizes, per second of fake
// time: CPU time and memory of all processes, traffic of one entry and one agent, and store calls.
func TestCost(t *testing.T) {
	if !*isMeasuring {
		t.Skip("measurement; run it with -measure")
	}
	const seconds = 120
	for _, size := range []struct{ entries, agents int }{{2, 4}, {2, 16}, {2, 48}, {6, 16}, {12, 16}} {
		synctest.Test(t, func(t *testing.T) {
			b := newBench(t, benchConfig{assistants: size.agents, change: func(c *fleet.Config) {
				c.Entries = size.entries
				c.Interval = time.Second
				c.Services = c.Services[:1]
			}})
			time.Sleep(30 * time.Second)
			var before, after runtime.MemStats
			runtime.GC()
			runtime.ReadMemStats(&before)
			callsBefore, cpu := b.platform.Calls(), cpuTime()
			entryOut, entryIn := b.hosts["entry-1"].Traffic()
			agentOut, agentIn := b.hosts["assistant-1"].Traffic()
			time.Sleep(seconds * time.Second)
			cpu = cpuTime() - cpu
			callsAfter := b.platform.Calls()
			runtime.GC()
			runtime.ReadMemStats(&after)
			entryOutLater, entryInLater := b.hosts["entry-1"].Traffic()
			agentOutLater, agentInLater := b.hosts["assistant-1"].Traffic()
			t.Logf("%d entries, %d agents: %.2f ms of CPU time per second in total, %.0f KB of heap per process; entry %.2f KB/s out, %.2f KB/s in; agent %.2f KB/s out, %.2f KB/s in (engine reports included); store %.2f reads/s, %.2f writes/s, %.2f watches/s",
				3*size.entries, 3*size.agents, cpu.Seconds()*1000/seconds, float64(after.HeapAlloc)/1024/float64(3*(size.entries+size.agents)),
				float64(entryOutLater-entryOut)/1024/seconds, float64(entryInLater-entryIn)/1024/seconds,
				float64(agentOutLater-agentOut)/1024/seconds, float64(agentInLater-agentIn)/1024/seconds,
				float64(callsAfter.Reads-callsBefore.Reads)/seconds, float64(callsAfter.Writes-callsBefore.Writes)/seconds, float64(callsAfter.Watches-callsBefore.Watches)/seconds)
			b.stop()
		})
	}
}

// BenchmarkPath measures a one-token request through an entry and an agent on the loopback
// interface.
func BenchmarkPath(b *testing.B) {
	origin := standin.NewOrigin(1)
	version, _ := origin.AddModel("assistant", 1, 4, 1024)
	network, err := dialer.New(foxtailwharf.TLS{})
	if err != nil {
		b.Fatal(err)
	}
	engine := standin.NewEngine(standin.EngineConfig{Tokens: 1})
	f := fleet.New(fleet.Config{
		Network: func(string, fleet.Domain) foxtailwharf.Network { return network },
		Address: func() netip.AddrPort { return netip.MustParseAddrPort("127.0.0.1:0") },
		Domains: fleet.DemoDomains()[:1], Entries: 1, Agreement: fleet.DemoAgreement,
		Services: []fleet.Service{{Name: "assistant", Document: strings.ReplaceAll(fleet.DemoAssistant, "VERSION", version), AgentsPerDomain: 1, Upstream: func(int) http.Handler { return engine }}},
		Platform: standin.NewPlatform(), Origin: origin, Interval: 250 * time.Millisecond, Log: zap.NewNop(),
		ChangeEntry: func(_ int, s *foxtailwharf.EntrySettings) { s.Caps = foxtailwharf.CapsOff },
	})
	if err := f.Start(b.Context()); err != nil {
		b.Fatal(err)
	}
	defer f.Stop()
	for limit := time.Now().Add(time.Minute); !f.IsReady() && time.Now().Before(limit); {
		time.Sleep(50 * time.Millisecond)
	}
	client := &http.Client{}
	for b.Loop() {
		request, _ := http.NewRequestWithContext(b.Context(), http.MethodPost, "http://"+f.Entries[0].Callers().String()+"/v1/chat/completions", strings.NewReader(`{"model":"assistant","max_tokens":1}`))
		request.Header.Set("Authorization", "Bearer demo-organiser")
		response, err := client.Do(request)
		if err != nil || response.StatusCode != http.StatusOK {
			b.Fatalf("%v %v", response, err)
		}
		_ = response.Body.Close()
	}
}

// BenchmarkDirect measures the same request sent directly to the engine, as the baseline of
// BenchmarkPath.
func BenchmarkDirect(b *testing.B) {
	network, err := dialer.New(foxtailwharf.TLS{})
	if err != nil {
		b.Fatal(err)
	}
	engine := standin.NewEngine(standin.EngineConfig{Tokens: 1})
	engine.ForceVersion("version")
	server, err := standin.Serve(context.Background(), network, netip.MustParseAddrPort("127.0.0.1:0"), engine)
	if err != nil {
		b.Fatal(err)
	}
	defer server.Close()
	d := driver.New(driver.Config{Network: network, Upstream: server.Address()})
	defer d.Close()
	for b.Loop() {
		answer, err := d.Do(b.Context(), foxtailwharf.EngineCall{Method: http.MethodPost, Path: "/v1/chat/completions", Body: []byte(`{"model":"assistant","max_tokens":1}`)})
		if err != nil || answer.Status != http.StatusOK {
			b.Fatalf("%+v %v", answer, err)
		}
		_ = answer.Body.Close()
	}
}
