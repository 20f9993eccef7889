package foxtailwharf

import (
	"net/netip"
	"time"
)

// CallKind says what may be repeated of a call that goes straight to an upstream.
type CallKind string

// The kinds of call.
const (
	CallRepeatable CallKind = "Repeatable" // may run any number of times
	CallOnce       CallKind = "Once"       // runs at most once
	CallStream     CallKind = "Stream"     // is answered by events, at most once unless resumable
)

// Configuration is what the operators want, as one numbered whole.
type Configuration struct {
	Version  int64
	Routes   []CallRoute
	Services map[string]CallService
	Limits   CallLimits
	// Keys maps a caller's key to its client account. It is nil where calls carry no keys.
	Keys map[string]CallAccount
}

// CallAccount is the client account that holds callers' keys.
type CallAccount struct {
	Name string
	// Priority replaces the route's where HasPriority is set; 0 is the most urgent.
	Priority    int
	HasPriority bool
}

// CallRoute binds calls of one host and path prefix to services.
type CallRoute struct {
	Name     string
	Host     string
	Prefix   string // begins and ends with a slash
	Kind     CallKind
	Timeout  time.Duration // the longest that a caller is kept waiting
	Goal     time.Duration // until the answer, or the first event of a stream
	Gap      time.Duration // the longest pause between events that is still on time; 0 for none
	Priority int           // 0 is the most urgent
	Targets  []CallTarget
	Attempts int // upstreams that one call may run on
	IsPublic bool
	// IsResumable says that a broken stream may go on at another upstream.
	IsResumable bool
}

// IsRepeatable reports whether a call may run again after an attempt of unknown outcome.
func (r *CallRoute) IsRepeatable() bool {
	return r.Kind == CallRepeatable || (r.Kind == CallStream && r.IsResumable)
}

// CallTarget is one service of a route with its part of the calls.
type CallTarget struct {
	Service string
	Weight  float64
}

// CallService is what the operators say of a service.
type CallService struct {
	Name string
	// MaxConnections is how many connections one upstream takes from all callers together.
	MaxConnections int
	Engine         *EngineModel // nil for plain services
	Origin         netip.AddrPort
	OriginDomain   string // failure domain of the origin
	OriginRate     int64  // of the origin's link, in bytes a second; 0 where it is not known
}

// EngineModel describes how the engines of a service work.
type EngineModel struct {
	Model        string
	Slots        int           // requests that run at a time
	Capacity     int           // tokens that fit into the memory for requests
	StepTime     time.Duration // of writing one token for a batch
	StepPerCall  time.Duration // added to StepTime for each request of the batch
	ReadRate     float64       // prompt tokens a second
	Stride       int           // tokens written between two looks at what waits
	Chunk        int           // prompt tokens read between two of them at the most; 0 for any number
	UsualPrompt  float64       // tokens
	UsualAnswer  float64       // tokens
	Chunks       int           // of one version of the weights
	ChunkBytes   int64
	LoadDuration time.Duration
}

// ReadPace returns how many prompt tokens a second an engine reads while all its slots write:
// between two parts of prompts it writes some tokens of each answer. It is 0 where the engine's
// rate is not known.
func (e *EngineModel) ReadPace() float64 {
	if e.ReadRate <= 0 || e.Chunk <= 0 {
		return e.ReadRate
	}
	reading := float64(e.Chunk) / e.ReadRate
	writing := time.Duration(e.Stride) * (e.StepTime + time.Duration(e.Slots)*e.StepPerCall)
	return float64(e.Chunk) / (reading + writing.Seconds())
}

// CallLimits bound what a caller may send.
type CallLimits struct {
	HeaderBytes   int
	BodyBytes     int64
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Release names the version of a model's weights that engines should hold.
type Release struct {
	Model   string
	Version int64
}
