package foxtailwharf

import (
	"net/netip"
	"time"
)

// Defaults of settings of fleets.
const (
	defaultKeyLife      = 5 * time.Second
	defaultSwitch       = 8 * time.Second
	defaultRepeatRatio  = 0.2
	defaultRepeatWindow = 10 * time.Second
	defaultRepeatExtra  = 100
	defaultFleetDrain   = 8 * time.Second
	defaultLinkMegabits = 100
	minFleetPorts       = 2
	maxLinkMegabits     = 1e6
	maxRepeatExtra      = 1e6
	maxSwitchTime       = time.Hour
	lowestUnprivileged  = 1024
	highestPort         = 65535
)

// FleetSettings are the settings of a process of a fleet whose upstreams are listed by
// the platform. Entries and agents share them.
type FleetSettings struct {
	Name          string     `yaml:"Name"`
	FailureDomain string     `yaml:"FailureDomain"`
	Region        string     `yaml:"Region"`
	Address       netip.Addr `yaml:"Address"`
	// Ports are the first and the last port for traffic between the system's processes;
	// they are the same on all machines.
	Ports []uint16       `yaml:"Ports"`
	Store netip.AddrPort `yaml:"Store"`
	// Regions maps failure domains to regions.
	Regions map[string]string `yaml:"Regions"`
	// Callers and Ready are where callers and the balancer's health checks connect;
	// entries only.
	Callers netip.AddrPort `yaml:"Callers,omitempty"`
	Ready   netip.AddrPort `yaml:"Ready,omitempty"`
	// Upstream is the engine on the own machine; agents only.
	Upstream netip.AddrPort `yaml:"Upstream,omitempty"`
	// Service is the engine's; agents only. Seeds are entries that agents ask at the
	// start; they may be gone.
	Service string           `yaml:"Service,omitempty"`
	Seeds   []netip.AddrPort `yaml:"Seeds,omitempty"`
	// IsFirstStart says that the whole system starts for the first time, so that weights
	// may lie beside engines that do not answer yet.
	IsFirstStart bool `yaml:"IsFirstStart,omitempty"`
	// Metrics is where counters and histograms are served as text, under /metrics; left out for
	// nowhere but among the processes' own traffic.
	Metrics netip.AddrPort `yaml:"Metrics,omitempty"`
	// LinkMegabits is the rate of the machine's link, in Mbit/s.
	LinkMegabits float64       `yaml:"LinkMegabits"`
	Drain        time.Duration `yaml:"Drain"` // limit of a graceful stop
	// KeyLife is the time within which a key that was taken away must stop working.
	KeyLife time.Duration `yaml:"KeyLife"`
	// Switch is the time after the naming of new weights from which on no call may begin
	// on older ones.
	Switch time.Duration `yaml:"Switch"`
	// RepeatRatio and RepeatExtra bound the repeats of all entries together within
	// RepeatWindow.
	RepeatRatio  float64       `yaml:"RepeatRatio"`
	RepeatWindow time.Duration `yaml:"RepeatWindow"`
	RepeatExtra  float64       `yaml:"RepeatExtra"`
}

// Defaults fills in the fields that were left out.
func (s *FleetSettings) Defaults() {
	setDefault(&s.LinkMegabits, defaultLinkMegabits)
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
	if len(s.Ports) != 2 || s.Ports[0] < lowestUnprivileged || int(s.Ports[1])-int(s.Ports[0])+1 < minFleetPorts {
		f.add("$.Ports", "must be a first and a last port from %d to %d, %d ports at the least", lowestUnprivileged, highestPort, minFleetPorts)
	}
	checkAddress(f, "$.Store", s.Store)
	checkRange(f, "$.LinkMegabits", s.LinkMegabits, 0.1, maxLinkMegabits)
	checkRange(f, "$.Drain", s.Drain, 0, maxDrain)
	checkRange(f, "$.KeyLife", s.KeyLife, time.Millisecond, maxSwitchTime)
	checkRange(f, "$.Switch", s.Switch, time.Millisecond, maxSwitchTime)
	checkRange(f, "$.RepeatRatio", s.RepeatRatio, 0, 1)
	checkRange(f, "$.RepeatWindow", s.RepeatWindow, 100*time.Millisecond, maxSwitchTime)
	checkRange(f, "$.RepeatExtra", s.RepeatExtra, 0, maxRepeatExtra)
}

// Validate returns all faults of the settings as Faults. Settings without an upstream are
// those of an entry.
func (s *FleetSettings) Validate() error {
	var f Faults
	s.validate(&f)
	if !s.Upstream.IsValid() {
		checkAddress(&f, "$.Callers", s.Callers)
		checkAddress(&f, "$.Ready", s.Ready)
	}
	return f.OrNil()
}

// Peers returns where the system's own processes reach the one on a machine.
func (s *FleetSettings) Peers(machine netip.Addr) netip.AddrPort {
	return netip.AddrPortFrom(machine, s.Ports[0])
}
