package fleet

import (
	_ "embed" // the documents of the demo
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

// The demo's model.
const (
	demoChunks     = 300
	demoChunkBytes = 64 << 10
	demoInterval   = 250 * time.Millisecond
)

// Documents of the demo, which tests use too. DemoAssistant has the word VERSION in
// place of a manifest's digest.
var (
	//go:embed agreement.yaml
	DemoAgreement string
	//go:embed assistant.yaml
	DemoAssistant string
	//go:embed reservations.yaml
	DemoReservations string
)

// DemoDomains are the failure domains of the demo; each is a region of its own.
func DemoDomains() []Domain {
	return []Domain{
		{Name: "luzon", Region: "luzon"},
		{Name: "visayas", Region: "visayas"},
		{Name: "mindanao", Region: "mindanao"},
	}
}

// Demo is a fleet on loopback with a model and a plain service.
type Demo struct {
	*Fleet
	callers netip.AddrPort
	origin  *standin.Origin
}

// NewDemo returns a demo that has not started. callers is the IP:port of the first
// entry.
func NewDemo(callers string, log *zap.Logger) (*Demo, error) {
	address, err := netip.ParseAddrPort(callers)
	if err != nil {
		return nil, errors.Wrap(err, "the callers' address must be an IP address and a port")
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
			{Name: "assistant", Document: strings.ReplaceAll(DemoAssistant, "VERSION", version), PerDomain: 4, Upstream: demoEngine},
			{Name: "reservations", Document: DemoReservations, PerDomain: 1, Upstream: demoService},
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
		FirstToken:   60 * time.Millisecond,
		BetweenToken: 20 * time.Millisecond,
		Tokens:       24,
		ChecksFence:  true,
		CacheSize:    64,
		CacheGain:    0.5,
	})
}

func demoService(int) http.Handler {
	s := standin.NewService()
	s.SetFaults(standin.ServiceFaults{Latency: 20 * time.Millisecond})
	return s
}

// Progress is how far the distribution of the model is.
type Progress struct {
	Agents        int
	Chunks        int
	AllChunks     int
	OriginCopies  float64
	LargestUpload float64 // copies
	IsReady       bool
}

// Progress returns how far the distribution of the model is.
func (d *Demo) Progress() (p Progress) {
	var largest int64
	for _, a := range d.AgentsOf("assistant") {
		status := a.Status()
		p.Agents++
		p.Chunks += status.Chunks
		p.AllChunks += demoChunks
		largest = max(largest, status.SentBytes)
	}
	p.OriginCopies = float64(d.origin.Sent()) / (demoChunks * demoChunkBytes)
	p.LargestUpload = float64(largest) / (demoChunks * demoChunkBytes)
	p.IsReady = d.IsReady()
	return p
}

// Requests returns one line for a shell for each rank.
func (d *Demo) Requests() []string {
	base := "http://" + d.callers.String()
	return []string{
		`curl -sS -H 'Authorization: Bearer demo-organiser' -H 'Idempotency-Key: fiesta-1' -d '{"Troupe":"tinikling","Date":"2027-01-15"}' ` + base + "/reservations/dates",
		`curl -sSN -H 'Authorization: Bearer demo-organiser' -d '{"model":"assistant","stream":true,"messages":[{"role":"user","content":"Draft an itinerary."}]}' ` + base + "/v1/chat/completions",
		`curl -sS -H 'Authorization: Bearer demo-dispatcher' -d '{"model":"assistant-summaries","messages":[{"role":"user","content":"Summarise the reorders."}]}' ` + base + "/v1/chat/completions",
	}
}
