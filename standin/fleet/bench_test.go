package fleet_test

import (
	"context"
	"flag"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"testing"
	"time"

	"go.uber.org/zap"

	"github.com/foxtailwharf/foxtailwharf"
	"github.com/foxtailwharf/foxtailwharf/standin"
	"github.com/foxtailwharf/foxtailwharf/standin/fleet"
)

// isMeasuring makes measurements run at full size, together with their baselines.
var isMeasuring = flag.Bool("measure", false, "run measurements at their full size and with baselines")

const (
	benchChunks     = 20
	benchChunkBytes = 4 << 10
	benchInterval   = 250 * time.Millisecond
	awaitTimeout    = 2 * time.Minute // of fake time
)

// benchConfig holds the settings of a bench. The zero value gives the defaults.
type benchConfig struct {
	assistants int // agents of the model service in each failure domain; 0 for 2
	engine     standin.EngineConfig
	change     func(c *fleet.Config) // modifies the fleet's configuration; may be nil
	log        *zap.Logger
	skipsReady bool // the test does not wait until the fleet is ready
}

// bench runs a fleet on an in-memory network under the fake time of testing/synctest.
type bench struct {
	t             *testing.T
	f             *fleet.Fleet
	memoryNetwork *standin.MemoryNetwork
	platform      *standin.Platform
	origin        *standin.Origin
	versions      []string                 // in the order in which they are activated
	weights       map[string]string        // digests by version
	hosts         map[string]*standin.Host // by process name
	caller        *standin.Host
	entry         int          // index of the entry that gets the requests
	key           string       // bearer key of the requests
	client        *http.Client // nil for one connection for each request
}

func newBench(t *testing.T, c benchConfig) *bench {
	t.Helper()
	b := &bench{
		t:             t,
		memoryNetwork: standin.NewMemoryNetwork(time.Millisecond, 0),
		platform:      standin.NewPlatform(),
		origin:        standin.NewOrigin(1),
		weights:       make(map[string]string),
		hosts:         make(map[string]*standin.Host),
		key:           "demo-organiser",
	}
	for seed := range uint64(3) {
		version, weights := b.origin.AddModel("assistant", seed, benchChunks, benchChunkBytes)
		b.versions = append(b.versions, version)
		b.weights[version] = weights
	}
	if c.assistants == 0 {
		c.assistants = 2
	}
	if c.engine.TimeToFirstToken == 0 {
		c.engine = standin.EngineConfig{TimeToFirstToken: 50 * time.Millisecond, TokenInterval: 20 * time.Millisecond, ChecksFence: true}
	}
	if c.log == nil {
		c.log = zap.NewNop()
	}
	config := fleet.Config{
		Network:   b.network,
		Address:   newAddresses(),
		Domains:   fleet.DemoDomains(),
		Entries:   2,
		Agreement: fleet.DemoAgreement,
		Services: []fleet.Service{
			{Name: "assistant", Document: b.document(0), AgentsPerDomain: c.assistants, Upstream: func(int) http.Handler { return standin.NewEngine(c.engine) }},
			{Name: "reservations", Document: fleet.DemoReservations, AgentsPerDomain: 1, Upstream: func(int) http.Handler { return standin.NewService() }},
		},
		Platform: b.platform,
		Origin:   b.origin,
		Interval: benchInterval,
		Log:      c.log,
	}
	if c.change != nil {
		c.change(&config)
	}
	b.f = fleet.New(config)
	b.caller = b.memoryNetwork.Host("callers", "callers", 0)
	if err := b.f.Start(t.Context()); err != nil {
		t.Fatal(err)
	}
	if !c.skipsReady {
		b.await("the fleet is ready", b.f.IsReady)
	}
	return b
}

// newAddresses returns a function that returns consecutive addresses.
func newAddresses() func() netip.AddrPort {
	count := 0
	return func() netip.AddrPort {
		count++
		return address(count)
	}
}

// address returns the n-th of the consecutive addresses, counted from 1.
func address(n int) netip.AddrPort {
	return netip.AddrPortFrom(netip.MustParseAddr("127.0.0.1"), uint16(1000+n))
}

func (b *bench) network(name string, d fleet.Domain) foxtailwharf.Network {
	h, isKnown := b.hosts[name]
	if !isKnown {
		h = b.memoryNetwork.Host(d.Name, d.Region, 0)
		b.hosts[name] = h
	}
	return h
}

func (b *bench) document(version int) string {
	return strings.ReplaceAll(fleet.DemoAssistant, "VERSION", b.versions[version])
}

// await waits until a condition holds, for awaitTimeout of fake time at most.
func (b *bench) await(what string, isTrue func() bool) {
	b.t.Helper()
	for limit := time.Now().Add(awaitTimeout); !isTrue(); time.Sleep(50 * time.Millisecond) {
		if time.Now().After(limit) {
			b.t.Fatalf("timed out after %s waiting until %s", awaitTimeout, what)
		}
	}
}

func (b *bench) stop() {
	b.f.Stop()
	// Requests that the stand-ins still handle must end before the test does.
	time.Sleep(awaitTimeout)
}

// via returns a copy of the bench that sends requests through another entry.
func (b *bench) via(entry int) *bench {
	other := *b
	other.entry = entry
	return &other
}

// onOneConnection returns a copy of the bench whose requests use one connection, one after the other.
func (b *bench) onOneConnection() *bench {
	other := *b
	other.client = &http.Client{Transport: &http.Transport{DialContext: dialFrom(b.caller), MaxConnsPerHost: 1}}
	b.t.Cleanup(other.client.CloseIdleConnections)
	return &other
}

// as returns a copy of the bench that sends requests with another bearer key.
func (b *bench) as(key string) *bench {
	other := *b
	other.key = key
	return &other
}

// answer is the result of a caller's request.
type answer struct {
	status      int
	contentType string
	version     string
	body        string
	header      http.Header
	isClosing   bool          // the connection closes after the response
	err         error         // of a connection that failed or broke
	headerTime  time.Duration // until the response header
	totalTime   time.Duration // until the end of the body
}

// dialFrom returns a dial function for an HTTP transport that connects from a host.
func dialFrom(h *standin.Host) func(ctx context.Context, _, text string) (net.Conn, error) {
	return func(ctx context.Context, _, text string) (net.Conn, error) {
		return h.Dial(ctx, netip.MustParseAddrPort(text))
	}
}

// do sends a request to the entry and reads the whole response.
func (b *bench) do(ctx context.Context, method, path, body string, header http.Header) (a answer) {
	started := time.Now()
	client := b.client
	if client == nil {
		client = &http.Client{Transport: &http.Transport{DialContext: dialFrom(b.caller), DisableKeepAlives: true}}
	}
	request, err := http.NewRequestWithContext(ctx, method, "http://"+b.f.Entries[b.entry].Callers().String()+path, strings.NewReader(body))
	if err != nil {
		return answer{err: err}
	}
	for name, values := range header {
		request.Header[name] = values
	}
	request.Header.Set("Authorization", "Bearer "+b.key)
	response, err := client.Do(request)
	if err != nil {
		return answer{err: err, totalTime: time.Since(started)}
	}
	defer func() { _ = response.Body.Close() }()
	a = answer{
		status:      response.StatusCode,
		contentType: response.Header.Get("Content-Type"),
		version:     response.Header.Get("Foxtailwharf-Version"),
		header:      response.Header,
		isClosing:   response.Close,
		headerTime:  time.Since(started),
	}
	data, err := io.ReadAll(response.Body)
	a.body, a.err, a.totalTime = string(data), err, time.Since(started)
	return a
}

func (b *bench) chat(body string) answer {
	return b.do(b.t.Context(), http.MethodPost, "/v1/chat/completions", body, nil)
}

func (b *bench) reserve(key, body string) answer {
	header := http.Header{}
	if key != "" {
		header.Set("Idempotency-Key", key)
	}
	return b.do(b.t.Context(), http.MethodPost, "/reservations/dates", body, header)
}

// switchVersion activates the second version and waits until all agents serve it.
func (b *bench) switchVersion() {
	b.t.Helper()
	if _, err := b.f.Apply(b.t.Context(), "operator", b.document(1)); err != nil {
		b.t.Fatal(err)
	}
	b.await("all agents serve the new version", func() bool {
		for _, a := range b.f.AgentsOf("assistant") {
			if a.Status().Self.Version != b.versions[1] {
				return false
			}
		}
		return b.f.IsReady()
	})
}

// versionName returns a stable name of a version, such as version-0, for golden files and messages.
func (b *bench) versionName(version string) string {
	for n, v := range b.versions {
		if v == version {
			return "version-" + string(rune('0'+n))
		}
	}
	return version
}

// withVersionNames replaces versions by the names that versionName gives them.
func (b *bench) withVersionNames(text string) string {
	for n, v := range b.versions {
		text = strings.ReplaceAll(text, v, "version-"+string(rune('0'+n)))
	}
	return text
}
