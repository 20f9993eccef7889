package forwarder_test

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"net/netip"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
	"go.uber.org/zap/zaptest/observer"

	"github.com/foxtailwharf/foxtailwharf"
	"github.com/foxtailwharf/foxtailwharf/internal/connection/callerlimiter"
	"github.com/foxtailwharf/foxtailwharf/internal/connection/dialer"
	"github.com/foxtailwharf/foxtailwharf/internal/connection/requester"
	"github.com/foxtailwharf/foxtailwharf/internal/connection/server"
	"github.com/foxtailwharf/foxtailwharf/internal/process/follower"
	"github.com/foxtailwharf/foxtailwharf/internal/process/meter"
	"github.com/foxtailwharf/foxtailwharf/internal/request/assigner"
	"github.com/foxtailwharf/foxtailwharf/internal/request/balancer"
	"github.com/foxtailwharf/foxtailwharf/internal/request/forwarder"
	"github.com/foxtailwharf/foxtailwharf/internal/request/isolator"
	"github.com/foxtailwharf/foxtailwharf/internal/request/retrylimiter"
	"github.com/foxtailwharf/foxtailwharf/standin"
)

const maxConfigurationAge = 24 * time.Hour

// bench runs one forwarder and its upstreams on one network.
type bench struct {
	t         *testing.T
	network   foxtailwharf.Network
	requester *requester.Requester
	forwarder *forwarder.Forwarder
	assigner  *assigner.Assigner
	meter     *meter.Meter
	logs      *observer.ObservedLogs
	client    *http.Client
	view      follower.View
	started   time.Time
	clock     time.Duration // how far the clock is ahead, as if the machine had been suspended
	servers   []*standin.Server
	entry     *server.Server // of the forwarder
	limiter   *callerlimiter.Limiter
	calls     atomic.Int64
	warned    atomic.Int64

	mu        sync.Mutex
	runs      map[string]int  // of each call, counted by the upstreams
	published map[string]bool // upstreams whose crashes were sent to the other entries
}

// noticeLength is the notice of a shutdown of a bench.
const noticeLength = 2500 * time.Millisecond

// benchBodiesBytes bounds the memory of all request bodies at the entry of a bench.
const benchBodiesBytes = 16 << 20

// publish records what the other entries would be sent.
func (b *bench) publish() {
	for _, crash := range append(b.forwarder.TakeUrgent().Breaks, b.forwarder.Isolate(isolator.RoleDecides).Breaks...) {
		b.published[crash.Upstream] = true
	}
}

func address(n int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(n)}), 80)
}

// run runs a scenario with fake time.
func run(t *testing.T, scenario func(b *bench)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		b := newBench(t, newMemoryNetwork())
		scenario(b)
		// net/http waits for half a second on a connection whose body was not read.
		time.Sleep(time.Second)
		b.close()
	})
}

// close closes the caller's connections and all servers.
func (b *bench) close() {
	b.client.CloseIdleConnections()
	b.entry.Close()
	for _, s := range b.servers {
		s.Close()
	}
}

// newMemoryNetwork returns a network for scenarios with fake time.
func newMemoryNetwork() foxtailwharf.Network {
	return standin.NewMemoryNetwork(time.Millisecond, 0).Host("d", "r", 0)
}

func newBench(t *testing.T, network foxtailwharf.Network) *bench {
	core, logs := observer.New(zap.InfoLevel)
	b := &bench{t: t, started: time.Now(), network: network, meter: meter.New(), logs: logs, runs: make(map[string]int), published: make(map[string]bool)}
	b.assigner = assigner.New(balancer.New(balancer.Config{FailureDomain: "d", Random: rand.New(rand.NewPCG(1, 1))}))
	b.requester = requester.New(requester.Config{Network: b.network})
	b.forwarder = forwarder.New(forwarder.Config{
		Dialect:             standin.Dialect{},
		Assigner:            b.assigner,
		Requester:           b.requester,
		Meter:               b.meter,
		Clock:               func() time.Duration { return time.Since(b.started) + b.clock },
		MaxConfigurationAge: maxConfigurationAge,
		MaxBodiesBytes:      benchBodiesBytes,
		Notice:              noticeLength,
		RetryBudget:         retrylimiter.Config{Ratio: 0.2, Window: 10 * time.Second, Extra: 20},
		NotifyAgent:         func(foxtailwharf.Upstream, int) {},
		ShareBans: func(context.Context) {
			b.warned.Add(1)
			b.publish()
		},
		Random: rand.New(rand.NewPCG(2, 2)),
		Log: zap.New(core, zap.Hooks(func(e zapcore.Entry) error {
			if logHook != nil {
				logHook(e.Message)
			}
			return nil
		})),
	})
	b.client = &http.Client{Transport: dialer.Transport(b.network, false)}
	b.view = follower.View{HasProof: true, Configuration: &foxtailwharf.Configuration{
		Version: 1,
		Routes: []foxtailwharf.CallRoute{
			route("/chat/", foxtailwharf.CallStream, func(r *foxtailwharf.CallRoute) { r.IsResumable = true }),
			route("/tale/", foxtailwharf.CallStream, nil),
			route("/book/", foxtailwharf.CallOnce, nil),
			route("/look/", foxtailwharf.CallRepeatable, nil),
			route("/open/", foxtailwharf.CallRepeatable, func(r *foxtailwharf.CallRoute) { r.IsPublic = true }),
		},
		Services: map[string]foxtailwharf.CallService{"s": {Name: "s"}},
		Keys:     map[string]foxtailwharf.CallAccount{"k1": {Name: "a1"}},
	}}
	b.serveCallers()
	return b
}

// serveCallers serves the forwarder with limits for callers.
func (b *bench) serveCallers() {
	listener, err := b.network.Listen(b.t.Context(), address(1))
	if err != nil {
		b.t.Fatal(err)
	}
	b.limiter = callerlimiter.New(callerlimiter.Config{Meter: b.meter, Log: zap.NewNop()})
	h := dialer.Server(b.forwarder)
	b.entry = server.Start(server.Config{Listener: b.limiter.Limit(h, listener), HTTP: h, Drain: b.limiter.Drain, Log: zap.NewNop()})
}

func route(prefix string, kind foxtailwharf.CallKind, change func(r *foxtailwharf.CallRoute)) foxtailwharf.CallRoute {
	r := foxtailwharf.CallRoute{
		Name: prefix, Host: "h", Prefix: prefix, Kind: kind, Timeout: 6 * time.Second, Goal: 400 * time.Millisecond,
		Targets: []foxtailwharf.CallTarget{{Service: "s", Weight: 1}}, Attempts: 2,
	}
	if change != nil {
		change(&r)
	}
	return r
}

func (b *bench) serve(at netip.AddrPort, handler http.Handler) {
	s, err := standin.Serve(b.t.Context(), b.network, at, handler)
	if err != nil {
		b.t.Fatal(err)
	}
	b.servers = append(b.servers, s)
}

// upstream adds an upstream that answers with a function.
func (b *bench) upstream(n int, answer func(w http.ResponseWriter, r *http.Request)) {
	b.serve(address(n), http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		b.mu.Lock()
		b.runs[r.Header.Get(standin.HeaderCall)]++
		b.mu.Unlock()
		// net/http detects that the caller disconnects only once the body is read.
		_, _ = io.Copy(io.Discard, r.Body)
		w.Header().Set(standin.HeaderCall, r.Header.Get(standin.HeaderCall))
		w.Header().Set(standin.HeaderSigned, strconv.Itoa(n))
		answer(w, r)
	}))
	b.view.Upstreams = append(b.view.Upstreams, upstreamAt(n))
	b.update()
}

func upstreamAt(n int) foxtailwharf.Upstream {
	return foxtailwharf.Upstream{ID: strconv.Itoa(n), Service: "s", Address: address(n), FailureDomain: "d", Slots: 8}
}

// update passes the current view to the forwarder and the assigner.
func (b *bench) update() {
	b.forwarder.SetView(b.view)
	b.assigner.Update(func(x *balancer.Balancer) { x.Set(b.view.Upstreams) })
}

// answer is what the caller received.
type answer struct {
	id     string
	status int
	header http.Header
	body   string
	err    error // of reading the body
	// isClosing tells that the connection closes after the answer.
	isClosing bool
}

// call sends a request as a caller does.
func (b *bench) call(path string, change func(r *http.Request)) answer {
	id := fmt.Sprintf("call-%d", b.calls.Add(1))
	r, err := http.NewRequestWithContext(b.t.Context(), http.MethodPost, "http://"+address(1).String()+path, io.NopCloser(strings.NewReader("body")))
	if err != nil {
		b.t.Fatal(err)
	}
	r.Host = "h"
	r.Header.Set(standin.HeaderCall, id)
	r.Header.Set(standin.HeaderKey, "k1")
	if change != nil {
		change(r)
	}
	response, err := b.client.Do(r)
	if err != nil {
		return answer{id: id, err: err}
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	return answer{id: id, status: response.StatusCode, header: response.Header, body: string(body), err: err, isClosing: response.Close}
}

func (b *bench) ran(a answer) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.runs[a.id]
}

func text(status int, body string) func(w http.ResponseWriter, r *http.Request) {
	return func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(status)
		_, _ = io.WriteString(w, body)
	}
}

func breakOff(http.ResponseWriter, *http.Request) {
	panic(http.ErrAbortHandler)
}

func refuse(w http.ResponseWriter, _ *http.Request) {
	w.Header().Del(standin.HeaderSigned)
	w.Header().Set(standin.HeaderNotRun, "1")
	w.WriteHeader(http.StatusServiceUnavailable)
}

// events streams the events from..to, then aborts the connection if isBroken is set.
func events(from, to int, isBroken bool) func(w http.ResponseWriter, r *http.Request) {
	return func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Content-Type", "text/event-stream")
		first := from
		if last, err := strconv.Atoi(r.Header.Get("Last-Event-Id")); err == nil {
			first = last + 1
		}
		for n := first; n <= to; n++ {
			_, _ = fmt.Fprintf(w, "id: %d\ndata: x\n\n", n)
			_ = http.NewResponseController(w).Flush()
			time.Sleep(20 * time.Millisecond)
		}
		if isBroken {
			_, _ = io.WriteString(w, "id: 99\nda")
			_ = http.NewResponseController(w).Flush()
			panic(http.ErrAbortHandler)
		}
	}
}

// logHook is called with each line of a forwarder, before the next step; nil for none.
var logHook func(message string)
