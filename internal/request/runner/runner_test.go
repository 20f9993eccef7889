package runner_test

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/foxtailwharf/foxtailwharf"
	"github.com/foxtailwharf/foxtailwharf/internal/connection/dialer"
	"github.com/foxtailwharf/foxtailwharf/internal/process/meter"
	"github.com/foxtailwharf/foxtailwharf/internal/request/deduplicator"
	"github.com/foxtailwharf/foxtailwharf/internal/request/dispatcher"
	"github.com/foxtailwharf/foxtailwharf/internal/request/runner"
	"github.com/foxtailwharf/foxtailwharf/internal/request/scheduler"
	"github.com/foxtailwharf/foxtailwharf/standin"
	"github.com/foxtailwharf/foxtailwharf/wire"
)

// slowEngine answers each call after a time.
type slowEngine struct {
	foxtailwharf.Engine
	latency time.Duration
}

func (e slowEngine) Do(ctx context.Context, _ foxtailwharf.EngineCall) (answer foxtailwharf.EngineAnswer, err error) {
	select {
	case <-time.After(e.latency):
		return foxtailwharf.EngineAnswer{Status: http.StatusOK, ContentType: "text/plain", Body: io.NopCloser(strings.NewReader("done"))}, nil
	case <-ctx.Done():
		return answer, &foxtailwharf.EngineError{Err: context.Cause(ctx)}
	}
}

// TestAttemptTimeout checks when attempts with and without a key end. The time of those with a key is counted
// in whole seconds, and no attempt ends early. An attempt that names no timeout has none.
func TestAttemptTimeout(t *testing.T) {
	tests := []struct {
		latency, timeout time.Duration
		want             bool // whether the response comes
	}{
		{0, time.Millisecond, true},
		{5 * time.Second, 0, true},
		{5 * time.Second, 6 * time.Second, true},
		{5 * time.Second, 2 * time.Second, false},
	}
	for _, tt := range tests {
		for _, key := range []string{"", "k"} {
			t.Run(fmt.Sprintf("%s of %s, key %q", tt.latency, tt.timeout, key), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					body, end := runAttempt(t, slowEngine{latency: tt.latency}, wire.Attempt{AttemptID: "a", Rank: "Chat", Key: key, TimeoutMillis: tt.timeout.Milliseconds()})
					if have := end.IsWhole && body == "done"; have != tt.want {
						t.Errorf("response %q, end %+v; want it whole: %t", body, end, tt.want)
					}
				})
			})
		}
	}
}

// runAttempt sends an attempt to an agent and returns the response and its end record, which is empty after
// a refusal.
func runAttempt(t *testing.T, engine foxtailwharf.Engine, attempt wire.Attempt) (body string, end wire.End) {
	d := dispatcher.New(scheduler.Config{Policy: foxtailwharf.QueueFair, Slots: 1, Queue: 1, Weight: func(foxtailwharf.Identity) scheduler.Weights {
		return scheduler.Weights{Member: 1, Account: 1, Caller: 1}
	}})
	d.Resume("")
	r := runner.New(runner.Config{
		Engine: engine, Dispatcher: d, Deduplicator: deduplicator.Config{Keys: 10, KeysPerGeneration: 10, GenerationTime: time.Hour, MaxAnswerBytes: 100},
		Self:          func() foxtailwharf.Instance { return foxtailwharf.Instance{} },
		OnFirstOutput: func(foxtailwharf.Rank, time.Duration) {}, OnUpstreamSuspect: func() {},
		Meter: meter.New(), MaxBodyBytes: 100, MaxAnswerBytes: 100,
	})
	host := standin.NewMemoryNetwork(time.Millisecond, 0).Host("d", "r", 0)
	address := netip.MustParseAddrPort("127.0.0.1:1")
	server, err := standin.Serve(t.Context(), host, address, r)
	if err != nil {
		t.Fatal(err)
	}
	client := &http.Client{Transport: dialer.Transport(host, false)}
	attempt.Generation = r.Generation()
	record, _ := json.Marshal(attempt)
	request, err := http.NewRequestWithContext(t.Context(), http.MethodPost, "http://"+address.String()+runner.Path, http.NoBody)
	if err != nil {
		t.Fatal(err)
	}
	request.Header.Set(runner.HeaderAttempt, string(record))
	response, err := client.Do(request)
	if err != nil {
		t.Fatal(err)
	}
	text, err := io.ReadAll(response.Body)
	if err != nil {
		t.Fatal(err)
	}
	_ = response.Body.Close()
	// A refusal has no end record.
	_ = json.Unmarshal([]byte(response.Trailer.Get(runner.TrailerEnd)), &end)
	client.CloseIdleConnections()
	server.Close()
	time.Sleep(time.Minute)
	return string(text), end
}
