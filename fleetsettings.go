package foxtailwharf

import (
	"net/netip"
	"time"
)

const (
	defaultKeyLife      = 5 * time.Second
	defaultSwitch       = 8 * time.Second
	defaultRepeatRatio  = 0.2
	defaultRepeatWindow = 10 * time.Second
	defaultRepeatExtra  = 100
	defaultFleetDrain   = 8 * time.Second
	defaultLinkMegabits = 100
	// defaultMemory fits the smallest instances, in MB.
	defaultMemory       = 152
	minMemory           = 32
	maxMemory           = 1e6
	minFleetPorts       = 2
	maxLinkMegabits     = 1e6
	maxRepeatExtra      = 1e6
	maxFleetDuration    = time.Hour
	minUnprivilegedPort = 1024
	maxPort             = 65535
)

// FleetSettings holds the settings of an entry or agent in a fleet whose upstreams are listed by the
// platform.
type FleetSettings struct {
	Name          string     `yaml:"Name"`
	FailureDomain string     `yaml:"FailureDomain"`
	Region        string     `yaml:"Region"`
	Address       netip.Addr `yaml:"Address"`
	// Ports is the first and the last port for traffic between the system's processes. The range is
	// the same on all machines.
	Ports []uint16 `yaml:"Ports"`
	// Store is the address of the platform's store.
	Store netip.AddrPort `yaml:"Store"`
	// Regions maps failure domains to regions.
	Regions map[string]string `yaml:"Regions"`
	// Callers and Ready are the listen addresses for callers and for the load balancer's health
	// checks. They apply to entries only.
	Callers netip.AddrPort `yaml:"Callers,omitempty"`
	Ready   netip.AddrPort `yaml:"Ready,omitempty"`
	// Upstream is the address of the engine on the same machine. It applies to agents only.
	Upstream netip.AddrPort `yaml:"Upstream,omitempty"`
	// Service is the service of the engine. It applies to agents only.
	Service string `yaml:"Service,omitempty"`
	// Seeds are entries that are contacted at the start. They may no longer run.
	Seeds []netip.AddrPort `yaml:"Seeds,omitempty"`
	// IsFirstStart is true if the whole system starts for the first time. Weights may then already be
	// staged at engines that do not answer yet, so an agent downloads nothing before its engine answers.
	IsFirstStart bool `yaml:"IsFirstStart,omitempty"`
	// Metrics is an additional listen address that serves counters and histograms in text format at
	// /metrics. Without it, they are served only on the port for traffic between processes.
	Metrics netip.AddrPort `yaml:"Metrics,omitempty"`
	// LinkMegabits is the rate of the machine's link in Mbit/s.
	LinkMegabits float64 `yaml:"LinkMegabits"`
	// MemoryMegabytes is the memory in MB (2^20 bytes) beyond which the platform kills the process.
	MemoryMegabytes int           `yaml:"MemoryMegabytes"`
	Drain           time.Duration `yaml:"Drain"` // time limit of a graceful shutdown
	// KeyLife is the time after which a revoked key must no longer be accepted.
	KeyLife time.Duration `yaml:"KeyLife"`
	// Switch is the time limit for changing to a new release. Once it has passed since the release
	// was announced, no call may start on older weights.
	Switch time.Duration `yaml:"Switch"`
	// RepeatRatio and RepeatExtra are the retry budget of all entries together: within RepeatWindow,
	// a service's retries may not exceed RepeatRatio times its calls plus RepeatExtra.
	RepeatRatio  float64       `yaml:"RepeatRatio"`
	RepeatWindow time.Duration `yaml:"RepeatWindow"`
	RepeatExtra  float64       `yaml:"RepeatExtra"`
}

// Defaults sets fields with a zero value to their defaults.
func (s *FleetSettings) Defaults() {
	setDefault(&s.LinkMegabits, defaultLinkMegabits)
	setDefault(&s.MemoryMegabytes, defaultMemory)
	setDefault(&s.Drain, defaultFleetDrain)
	setDefault(&s.KeyLife, defaultKeyLife)
	setDefault(&s.Switch, defaultSwitch)
	setDefault(&s.RepeatRatio, defaultRepeatRatio)
	setDefault(&s.RepeatWindow, defaultRepeatWindow)
	setDefault(&s.RepeatExtra, defaultRepeatExtra)
}

func (s *FleetSettings) validate(f *Faults) {
	checkName(f, "$.Name", s.Name)
	checkName(f, "$.FailureDomain", s.FailureDomain)
	checkName(f, "$.Region", s.Region)
	if !s.Address.IsValid() {
		f.add("$.Address", "is missing: must be an IP address")
	}
	if len(s.Ports) != 2 || s.Ports[0] < minUnprivilegedPort || int(s.Ports[1])-int(s.Ports[0])+1 < minFleetPorts {
		f.add("$.Ports", "must be the first and last port of a range from %d to %d with at least %d ports", minUnprivilegedPort, maxPort, minFleetPorts)
	}
	checkAddress(f, "$.Store", s.Store)
	checkRange(f, "$.LinkMegabits", s.LinkMegabits, 0.1, maxLinkMegabits)
	checkRange(f, "$.MemoryMegabytes", s.MemoryMegabytes, minMemory, maxMemory)
	checkRange(f, "$.Drain", s.Drain, 0, maxDrain)
	checkRange(f, "$.KeyLife", s.KeyLife, time.Millisecond, maxFleetDuration)
	checkRange(f, "$.Switch", s.Switch, time.Millisecond, maxFleetDuration)
	checkRange(f, "$.RepeatRatio", s.RepeatRatio, 0, 1)
	checkRange(f, "$.RepeatWindow", s.RepeatWindow, 100*time.Millisecond, maxFleetDuration)
	checkRange(f, "$.RepeatExtra", s.RepeatExtra, 0, maxRepeatExtra)
}

// Validate returns all errors in the settings as Faults, or nil if there are none. Settings without
// Upstream are those of an entry.
func (s *FleetSettings) Validate() error {
	var f Faults
	s.validate(&f)
	if !s.Upstream.IsValid() {
		checkAddress(&f, "$.Callers", s.Callers)
		checkAddress(&f, "$.Ready", s.Ready)
	}
	return f.ErrorOrNil()
}

// Memory returns the memory of the process in bytes.
func (s *FleetSettings) Memory() int64 {
	return int64(s.MemoryMegabytes) << 20
}

// IsFar reports whether a failure domain is in another region.
func (s *FleetSettings) IsFar(domain string) bool {
	return s.Regions[domain] != s.Region
}

// PeerAddress returns the address at which the other processes reach the process on a machine.
func (s *FleetSettings) PeerAddress(machine netip.Addr) netip.AddrPort {
	return netip.AddrPortFrom(machine, s.Ports[0])
}
