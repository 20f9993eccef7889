package foxtailwharf

import (
	"fmt"
	"regexp"
	"strings"
	"time"
)

// UpstreamKind is the kind of program behind a service: a model engine or a plain HTTP service.
type UpstreamKind string

// Kinds of upstreams.
const (
	UpstreamModel UpstreamKind = "Model"
	UpstreamPlain UpstreamKind = "Plain"
)

// Delivery says whether a call may run more than once.
type Delivery string

// Delivery guarantees of a route.
const (
	DeliveryRepeatable Delivery = "Repeatable"
	DeliveryAtMostOnce Delivery = "AtMostOnce"
)

const (
	defaultSlots         = 8
	maxSlots             = 4096
	maxReplicas          = 100_000
	defaultTimeout       = 60 * time.Second
	maxTimeout           = time.Hour
	defaultQueue         = 512
	maxQueue             = 100_000
	defaultUrgentTarget  = 310 * time.Millisecond
	defaultChatTarget    = time.Second
	defaultSummaryTarget = 30 * time.Second
	defaultChatFloor     = 0.15
	defaultSummaryFloor  = 0.05
	defaultCost          = 256 // tokens
)

var namePattern = regexp.MustCompile(`^[a-z0-9]([a-z0-9-]{0,61}[a-z0-9])?$`)

// Service is the document that configures a service.
type Service struct {
	Kind     string       `yaml:"Kind"`
	Name     string       `yaml:"Name"`
	Member   string       `yaml:"Member"` // member that owns the service
	Upstream UpstreamKind `yaml:"Upstream"`
	// Version is the digest of the manifest of the weights to serve; empty for plain services.
	Version  string `yaml:"Version,omitempty"`
	Replicas int    `yaml:"Replicas"` // agents that should serve the version; 0 for all of the service
	// Role is the role in which the engines serve the model; empty if they have only one.
	Role string `yaml:"Role,omitempty"`
	// ChecksFence is true if the upstream refuses orders with an outdated fencing token.
	ChecksFence bool `yaml:"ChecksFence"`
	// ForwardsKey is true if the caller's Idempotency-Key is forwarded to the upstream.
	ForwardsKey bool `yaml:"ForwardsKey"`
	Slots       int  `yaml:"Slots"`       // requests that one upstream runs concurrently
	UrgentSlots int  `yaml:"UrgentSlots"` // part of Slots that is reserved for urgent requests
	// BurstSlots are available in addition to Slots, for urgent requests and for callers that have few
	// requests at the agent. The upstream must be able to run Slots plus BurstSlots requests.
	BurstSlots int     `yaml:"BurstSlots"`
	Queue      int     `yaml:"Queue"` // maximum number of requests that wait at one agent
	Targets    Targets `yaml:"Targets"`
	Floors     Floors  `yaml:"Floors"`
	Routes     []Route `yaml:"Routes"`
}

// Targets holds the target 95th percentiles of the time to first token for each rank.
type Targets struct {
	Urgent  time.Duration `yaml:"Urgent"`
	Chat    time.Duration `yaml:"Chat"`
	Summary time.Duration `yaml:"Summary"`
}

// Floors holds the minimum shares (0 to 1) of the served work that lower ranks get regardless of the
// demand of higher ranks.
type Floors struct {
	Chat    float64 `yaml:"Chat"`
	Summary float64 `yaml:"Summary"`
}

// Route sets the rank, delivery guarantee and limits of matching calls. Calls to a model service are
// matched by their model field, calls to a plain service by their path below the service's name.
type Route struct {
	Model    string        `yaml:"Model,omitempty"`
	Path     string        `yaml:"Path,omitempty"`
	Rank     Rank          `yaml:"Rank"`
	Delivery Delivery      `yaml:"Delivery"`
	Timeout  time.Duration `yaml:"Timeout"`
	Cost     float64       `yaml:"Cost"` // estimated tokens of a call that sets no limit itself
}

// Defaults sets fields with a zero value to their defaults, and the version to lower case.
func (s *Service) Defaults() {
	setDefault(&s.Kind, KindService)
	s.Version = strings.ToLower(s.Version)
	setDefault(&s.Upstream, UpstreamModel)
	setDefault(&s.Slots, defaultSlots)
	setDefault(&s.Queue, defaultQueue)
	setDefault(&s.Targets.Urgent, defaultUrgentTarget)
	setDefault(&s.Targets.Chat, defaultChatTarget)
	setDefault(&s.Targets.Summary, defaultSummaryTarget)
	setDefault(&s.Floors.Chat, defaultChatFloor)
	setDefault(&s.Floors.Summary, defaultSummaryFloor)
	for i := range s.Routes {
		s.Routes[i].defaults()
	}
}

func (r *Route) defaults() {
	setDefault(&r.Rank, RankChat)
	setDefault(&r.Delivery, DeliveryRepeatable)
	setDefault(&r.Timeout, defaultTimeout)
	setDefault(&r.Cost, defaultCost)
}

// setDefault sets a field to value if it is zero.
func setDefault[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}

// Validate returns all errors in the document as Faults, or nil if there are none.
func (s *Service) Validate() error {
	var f Faults
	if s.Kind != KindService {
		f.add("$.Kind", "must be %s", KindService)
	}
	checkName(&f, "$.Name", s.Name)
	checkName(&f, "$.Member", s.Member)
	s.validateUpstream(&f)
	checkRange(&f, "$.Slots", s.Slots, 1, maxSlots)
	checkRange(&f, "$.UrgentSlots", s.UrgentSlots, 0, s.Slots-1)
	checkRange(&f, "$.BurstSlots", s.BurstSlots, 0, s.Slots)
	checkRange(&f, "$.Replicas", s.Replicas, 0, maxReplicas)
	checkRange(&f, "$.Queue", s.Queue, 1, maxQueue)
	checkRange(&f, "$.Floors.Chat", s.Floors.Chat, 0, 1)
	checkRange(&f, "$.Floors.Summary", s.Floors.Summary, 0, 1)
	if s.Floors.Chat+s.Floors.Summary > 0.9 {
		f.add("$.Floors", "floors add up to more than 0.9, which leaves too little for urgent requests")
	}
	checkRange(&f, "$.Targets.Urgent", s.Targets.Urgent, time.Millisecond, maxTimeout)
	checkRange(&f, "$.Targets.Chat", s.Targets.Chat, time.Millisecond, maxTimeout)
	checkRange(&f, "$.Targets.Summary", s.Targets.Summary, time.Millisecond, maxTimeout)
	if len(s.Routes) == 0 {
		f.add("$", "at least one route is required in Routes")
	}
	for i := range s.Routes {
		s.Routes[i].validate(&f, fmt.Sprintf("$.Routes[%d]", i), s.Upstream)
	}
	return f.ErrorOrNil()
}

func (s *Service) validateUpstream(f *Faults) {
	switch s.Upstream {
	case UpstreamModel:
		if !IsDigest(s.Version) {
			f.add("$.Version", "must be the digest of a manifest, %d hexadecimal digits", digestHexLength)
		}
	case UpstreamPlain:
		if s.Version != "" {
			f.add("$.Version", "must be empty for a plain service")
		}
	default:
		f.add("$.Upstream", "unknown kind %q: must be Model or Plain", string(s.Upstream))
	}
}

func (r *Route) validate(f *Faults, path string, upstream UpstreamKind) {
	if upstream == UpstreamModel && r.Model == "" {
		f.add(path, "Model is required in a route of a model service")
	}
	if upstream == UpstreamPlain && !strings.HasPrefix(r.Path, "/") {
		f.add(path, "a Path that starts with / is required in a route of a plain service")
	}
	if err := r.Rank.Validate(); err != nil {
		f.add(path+".Rank", "%s", err)
	}
	if r.Delivery != DeliveryRepeatable && r.Delivery != DeliveryAtMostOnce {
		f.add(path+".Delivery", "unknown delivery %q: must be Repeatable or AtMostOnce", string(r.Delivery))
	}
	checkRange(f, path+".Timeout", r.Timeout, time.Millisecond, maxTimeout)
	checkRange(f, path+".Cost", r.Cost, 1, 1e7)
}

// Target returns the target time to first token of a rank.
func (s *Service) Target(rank Rank) time.Duration {
	switch rank {
	case RankUrgent:
		return s.Targets.Urgent
	case RankChat:
		return s.Targets.Chat
	default:
		return s.Targets.Summary
	}
}

func checkName(f *Faults, path, name string) {
	if !namePattern.MatchString(name) {
		f.add(path, "invalid name %q: must be 1 to 63 characters a-z, 0-9 or -, without - at the ends", name)
	}
}

func checkRange[T int | int64 | float64 | time.Duration](f *Faults, path string, value, low, high T) {
	if value < low || value > high {
		f.add(path, "%v is out of range: must be %v to %v", value, low, high)
	}
}
