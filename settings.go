package foxtailwharf

import (
	"fmt"
	"net/netip"
	"time"
)

const (
	defaultInterval        = time.Second
	defaultDrain           = 30 * time.Second
	defaultNotice          = 3 * time.Second
	maxDrain               = time.Hour
	defaultBodyBytes       = 4 << 20
	maxBodyBytes           = 256 << 20
	defaultAnswerBytes     = 16 << 20
	defaultUploads         = 6
	defaultNeighbours      = 24
	defaultKeys            = 100_000
	maxKeys                = 10_000_000
	minSecretLength        = 32
	defaultPlatformTimeout = 2 * time.Second
)

// TLS holds the paths of the certificate, private key and certificate authority for TLS connections.
// With Authority, both sides must present a certificate that it signed (mutual TLS).
type TLS struct {
	Certificate string `yaml:"Certificate,omitempty"`
	Key         string `yaml:"Key,omitempty"`
	Authority   string `yaml:"Authority,omitempty"`
}

// IsSet reports whether any path is set.
func (t TLS) IsSet() bool {
	return t != TLS{}
}

// Common holds the settings that entries and agents have in common.
type Common struct {
	Name          string `yaml:"Name"`
	FailureDomain string `yaml:"FailureDomain"`
	Region        string `yaml:"Region"`
	// Peers is the address at which the other processes of the system reach this one.
	Peers netip.AddrPort `yaml:"Peers"`
	// Platform is the address of the object API and the instance list.
	Platform netip.AddrPort `yaml:"Platform"`
	// Seeds are entries to contact at the start while the platform's instance list is unavailable.
	Seeds           []netip.AddrPort `yaml:"Seeds,omitempty"`
	PlatformTimeout time.Duration    `yaml:"PlatformTimeout"`
	TLS             TLS              `yaml:"TLS,omitempty"`
	// PlatformTLS is for connections to the platform and the origin.
	PlatformTLS TLS           `yaml:"PlatformTLS,omitempty"`
	Interval    time.Duration `yaml:"Interval"` // between two gossip exchanges with peers
	Drain       time.Duration `yaml:"Drain"`    // time limit of a graceful shutdown
}

// EntrySettings holds the settings of an entry.
type EntrySettings struct {
	Common Common `yaml:"Common"`
	// Callers is the listen address for callers.
	Callers      netip.AddrPort `yaml:"Callers"`
	CallersTLS   TLS            `yaml:"CallersTLS,omitempty"`
	TicketSecret string         `yaml:"TicketSecret"` // signs tickets; the same in all entries
	// Notice is how long new requests are still accepted after SIGTERM, so that the platform's load
	// balancer can notice the failing health check.
	Notice         time.Duration `yaml:"Notice"`
	MaxBodyBytes   int64         `yaml:"MaxBodyBytes"`
	MaxAnswerBytes int64         `yaml:"MaxAnswerBytes"`
	// Routing is how upstreams are selected; RoundRobin is a baseline for measurements.
	Routing RoutingPolicy `yaml:"Routing"`
	// Caps says whether the agreement's caps are enforced; Off is for measurements.
	Caps CapPolicy `yaml:"Caps"`
}

// AgentSettings holds the settings of an agent.
type AgentSettings struct {
	Common   Common         `yaml:"Common"`
	Service  string         `yaml:"Service"`
	Upstream netip.AddrPort `yaml:"Upstream"`
	Origin   netip.AddrPort `yaml:"Origin,omitempty"`
	// UploadRate limits uploads to other agents, in bytes per second; 0 means no limit.
	UploadRate int64 `yaml:"UploadRate"`
	Uploads    int   `yaml:"Uploads"`    // chunks uploaded concurrently
	Neighbours int   `yaml:"Neighbours"` // agents to exchange chunks with
	Keys       int   `yaml:"Keys"`       // idempotency keys stored for at-most-once calls
	// Queueing is the order in which waiting requests run; FIFO is a baseline for measurements.
	Queueing QueuePolicy `yaml:"Queueing"`
	// Fetching is where chunks are downloaded from; OriginOnly is a baseline for measurements.
	Fetching FetchPolicy `yaml:"Fetching"`
}

// RoutingPolicy is how an entry selects upstreams.
type RoutingPolicy string

// QueuePolicy is how an agent orders waiting requests.
type QueuePolicy string

// FetchPolicy is where an agent downloads chunks from.
type FetchPolicy string

// CapPolicy is whether an entry enforces caps.
type CapPolicy string

// Policies. The first of each type is the default, the second a baseline for measurements.
const (
	RoutingAffinity   RoutingPolicy = "Affinity"
	RoutingRoundRobin RoutingPolicy = "RoundRobin"
	QueueFair         QueuePolicy   = "Fair"
	QueueFIFO         QueuePolicy   = "FIFO"
	FetchSwarm        FetchPolicy   = "Swarm"
	FetchOriginOnly   FetchPolicy   = "OriginOnly"
	CapsOn            CapPolicy     = "On"
	CapsOff           CapPolicy     = "Off"
)

// Defaults sets fields with a zero value to their defaults.
func (c *Common) Defaults() {
	setDefault(&c.Interval, defaultInterval)
	setDefault(&c.Drain, defaultDrain)
	setDefault(&c.PlatformTimeout, defaultPlatformTimeout)
}

// Defaults sets fields with a zero value to their defaults.
func (s *EntrySettings) Defaults() {
	s.Common.Defaults()
	setDefault(&s.Notice, defaultNotice)
	setDefault(&s.MaxBodyBytes, defaultBodyBytes)
	setDefault(&s.MaxAnswerBytes, defaultAnswerBytes)
	setDefault(&s.Routing, RoutingAffinity)
	setDefault(&s.Caps, CapsOn)
}

// Defaults sets fields with a zero value to their defaults.
func (s *AgentSettings) Defaults() {
	s.Common.Defaults()
	setDefault(&s.Uploads, defaultUploads)
	setDefault(&s.Neighbours, defaultNeighbours)
	setDefault(&s.Keys, defaultKeys)
	setDefault(&s.Queueing, QueueFair)
	setDefault(&s.Fetching, FetchSwarm)
}

func (c *Common) validate(f *Faults) {
	checkName(f, "$.Common.Name", c.Name)
	checkName(f, "$.Common.FailureDomain", c.FailureDomain)
	checkName(f, "$.Common.Region", c.Region)
	checkAddress(f, "$.Common.Peers", c.Peers)
	checkAddress(f, "$.Common.Platform", c.Platform)
	checkRange(f, "$.Common.Interval", c.Interval, 10*time.Millisecond, time.Minute)
	checkRange(f, "$.Common.Drain", c.Drain, 0, maxDrain)
	checkRange(f, "$.Common.PlatformTimeout", c.PlatformTimeout, time.Millisecond, time.Minute)
	c.TLS.validate(f, "$.Common.TLS")
	c.PlatformTLS.validate(f, "$.Common.PlatformTLS")
	if !c.TLS.IsSet() && c.Peers.IsValid() && !c.Peers.Addr().IsLoopback() {
		f.add("$.Common.Peers", "Common.TLS is required unless the address is loopback")
	}
}

func (t TLS) validate(f *Faults, path string) {
	if t.IsSet() && (t.Certificate == "" || t.Key == "") {
		f.add(path, "Certificate and Key are both required")
	}
}

// Validate returns all errors in the settings as Faults, or nil if there are none.
func (s *EntrySettings) Validate() error {
	var f Faults
	s.Common.validate(&f)
	if s.Common.TLS.IsSet() && s.Common.TLS.Authority == "" {
		f.add("$.Common.TLS", "Authority is required for mutual TLS between the system's processes")
	}
	checkAddress(&f, "$.Callers", s.Callers)
	s.CallersTLS.validate(&f, "$.CallersTLS")
	if len(s.TicketSecret) < minSecretLength {
		f.add("$.TicketSecret", "must have at least %d characters and be the same in all entries", minSecretLength)
	}
	checkRange(&f, "$.Notice", s.Notice, 0, maxDrain)
	checkRange(&f, "$.MaxBodyBytes", s.MaxBodyBytes, 1, maxBodyBytes)
	checkRange(&f, "$.MaxAnswerBytes", s.MaxAnswerBytes, 1, maxBodyBytes)
	checkOneOf(&f, "$.Routing", s.Routing, RoutingAffinity, RoutingRoundRobin)
	checkOneOf(&f, "$.Caps", s.Caps, CapsOn, CapsOff)
	return f.ErrorOrNil()
}

// Validate returns all errors in the settings as Faults, or nil if there are none.
func (s *AgentSettings) Validate() error {
	var f Faults
	s.Common.validate(&f)
	if s.Common.TLS.IsSet() && s.Common.TLS.Authority == "" {
		f.add("$.Common.TLS", "Authority is required for mutual TLS between the system's processes")
	}
	checkName(&f, "$.Service", s.Service)
	checkAddress(&f, "$.Upstream", s.Upstream)
	checkRange(&f, "$.UploadRate", s.UploadRate, 0, 1<<40)
	checkRange(&f, "$.Uploads", s.Uploads, 1, 64)
	checkRange(&f, "$.Neighbours", s.Neighbours, 1, 256)
	checkRange(&f, "$.Keys", s.Keys, 1, maxKeys)
	checkOneOf(&f, "$.Queueing", s.Queueing, QueueFair, QueueFIFO)
	checkOneOf(&f, "$.Fetching", s.Fetching, FetchSwarm, FetchOriginOnly)
	return f.ErrorOrNil()
}

func checkAddress(f *Faults, path string, address netip.AddrPort) {
	if !address.IsValid() {
		f.add(path, "is missing: must be an IP address and a port")
	}
}

func checkOneOf[T ~string](f *Faults, path string, value T, allowed ...T) {
	for _, a := range allowed {
		if value == a {
			return
		}
	}
	f.add(path, "%q is not one of %s", string(value), fmt.Sprint(allowed))
}
