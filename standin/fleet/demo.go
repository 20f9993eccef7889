package fleet

import (
	_ "embed" // for the documents of the demo
	"net/http"
	"net/netip"
	"strings"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"github.com/foxtailwharf/foxtailwharf"
	"github.com/foxtailwharf/foxtailwharf/internal/connection/dialer"
	"github.com/foxtailwharf/foxtailwharf/standin"
)

// Size of the demo's model, and the interval at which its processes exchange state.
const (
	demoChunks     = 300
	demoChunkBytes = 64 << 10
	demoInterval   = 250 * time.Millisecond
)

// Documents of the demo, which tests use too. In DemoAssistant the word VERSION stands for the
// model's version, the digest of its manifest.
var (
	//go:embed agreement.yaml
	DemoAgreement string
	//go:embed assistant.yaml
	DemoAssistant string
	//go:embed reservations.yaml
	DemoReservations string
)

// DemoDomains returns the failure domains of the demo, each in a region of its own.
func DemoDomains() []Domain {
	return []Domain{
		{Name: "luzon", Region: "luzon"},
		{Name: "visayas", Region: "visayas"},
		{Name: "mindanao", Region: "mindanao"},
	}
}

// Demo is a fleet on the loopback interface with a model service and a plain service.
type Demo struct {
	*Fleet
	callers netip.AddrPort
	origin  *standin.Origin
}

// NewDemo returns a demo that has not started. callers is the IP:port on which the first entry
// listens for callers; its port must not be 0, since ExampleCommands prints it.
func NewDemo(callers string, log *zap.Logger) (*Demo, error) {
	address, err := netip.ParseAddrPort(callers)
	if err != nil {
		return nil, errors.Wrap(err, "the address for callers must be an IP address and a port")
	}
	network, err := dialer.New(foxtailwharf.TLS{})
	if err != nil {
		return nil, err
	}
	origin := standin.NewOrigin(1)
	version, _ := origin.AddModel("assistant", 1, demoChunks, demoChunkBytes)
	f := New(Config{
		Network:   func(string, Domain) foxtailwharf.Network { return network },
		Address:   func() netip.AddrPort { return netip.AddrPortFrom(netip.MustParseAddr("127.0.0.1"), 0) },
		Callers:   address,
		Domains:   DemoDomains(),
		Entries:   2,
		Agreement: DemoAgreement,
		Services: []Service{
			{Name: "assistant", Document: strings.ReplaceAll(DemoAssistant, "VERSION", version), AgentsPerDomain: 4, Upstream: demoEngine},
			{Name: "reservations", Document: DemoReservations, AgentsPerDomain: 1, Upstream: demoReservations},
		},
		Platform: standin.NewPlatform(),
		Origin:   origin,
		Interval: demoInterval,
		Log:      log,
	})
	return &Demo{Fleet: f, callers: address, origin: origin}, nil
}

func demoEngine(int) http.Handler {
	return standin.NewEngine(standin.EngineConfig{
		TimeToFirstToken: 60 * time.Millisecond,
		TokenInterval:    20 * time.Millisecond,
		Tokens:           24,
		ChecksFence:      true,
		CacheSize:        64,
		CacheSaving:      0.5,
	})
}

func demoReservations(int) http.Handler {
	s := standin.NewService()
	s.SetFaults(standin.ServiceFaults{Latency: 20 * time.Millisecond})
	return s
}

// Progress describes the distribution of the model to the agents. Transfers are counted in copies
// of the whole model.
type Progress struct {
	Agents        int     // of the model
	Chunks        int     // held by all agents together
	TotalChunks   int     // held when every agent has the whole model
	OriginCopies  float64 // downloaded from the origin
	LargestUpload float64 // the most copies that one agent uploaded
	IsReady       bool    // whether the whole fleet is ready
}

// Progress returns the current state of the distribution.
func (d *Demo) Progress() (p Progress) {
	var largest int64
	for _, a := range d.AgentsOf("assistant") {
		status := a.Status()
		p.Agents++
		p.Chunks += status.Chunks
		p.TotalChunks += demoChunks
		largest = max(largest, status.SentBytes)
	}
	p.OriginCopies = float64(d.origin.Sent()) / (demoChunks * demoChunkBytes)
	p.LargestUpload = float64(largest) / (demoChunks * demoChunkBytes)
	p.IsReady = d.IsReady()
	return p
}

// ExampleCommands returns one example request for each rank, as shell commands.
func (d *Demo) ExampleCommands() []string {
	base := "http://" + d.callers.String()
	return []string{
		`curl -sS -H 'Authorization: Bearer demo-organiser' -H 'Idempotency-Key: fiesta-1' -d '{"Troupe":"tinikling","Date":"2027-01-15"}' ` + base + "/reservations/dates",
		`curl -sSN -H 'Authorization: Bearer demo-organiser' -d '{"model":"assistant","stream":true,"messages":[{"role":"user","content":"Draft an itinerary."}]}' ` + base + "/v1/chat/completions",
		`curl -sS -H 'Authorization: Bearer demo-dispatcher' -d '{"model":"assistant-summaries","messages":[{"role":"user","content":"Summarise the reorders."}]}' ` + base + "/v1/chat/completions",
	}
}
