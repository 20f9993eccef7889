package foxtailwharf

import (
	"maps"
	"net/netip"
	"slices"
	"time"
)

// CallKind says whether a call that an entry forwards directly to an upstream may run again.
type CallKind string

// Kinds of calls, which differ in how often they may run.
const (
	CallRepeatable CallKind = "Repeatable" // may run any number of times
	CallOnce       CallKind = "Once"       // runs at most once
	CallStream     CallKind = "Stream"     // returns events; runs at most once unless resumable
)

// Configuration is the fleet's routing configuration as set by the operators. Each version is
// complete and replaces the one before.
type Configuration struct {
	Version  int64
	Routes   []CallRoute
	Services map[string]CallService
	Limits   CallLimits
	// Keys maps API keys to client accounts. If it is nil, calls are not authenticated.
	Keys map[string]CallAccount
}

// OriginOf returns the service whose origin has the weights of a service: the service itself if it has
// one, otherwise the first by name, so that all processes choose the same.
func (c *Configuration) OriginOf(service string) (origin CallService, exists bool) {
	if own := c.Services[service]; own.Origin.IsValid() {
		return own, true
	}
	for _, name := range slices.Sorted(maps.Keys(c.Services)) {
		if s := c.Services[name]; s.Origin.IsValid() {
			return s, true
		}
	}
	return origin, false
}

// CallAccount is the client account that an API key belongs to.
type CallAccount struct {
	Name string
	// Priority overrides the route's priority if HasPriority is set; 0 is the most urgent.
	Priority    int
	HasPriority bool
}

// CallRoute maps calls with one host and path prefix to services.
type CallRoute struct {
	Name     string
	Host     string
	Prefix   string // compared as a string, so it should begin and end with a slash
	Kind     CallKind
	Timeout  time.Duration // upper limit of the time until the answer
	Goal     time.Duration // target time until the answer or the first event of a stream
	Gap      time.Duration // target for the longest pause between events; 0 means no target
	Patience time.Duration // how long callers wait for the next part of a stream before they leave; 0 if unknown
	Priority int           // 0 is the most urgent
	Targets  []CallTarget
	Attempts int  // maximum number of upstreams that a call may run on
	IsPublic bool // calls without a known key are accepted
	// IsResumable is true if an interrupted stream may be resumed at another upstream.
	IsResumable bool
}

// IsRepeatable reports whether a call may run again after an attempt of unknown outcome.
func (r *CallRoute) IsRepeatable() bool {
	return r.Kind == CallRepeatable || (r.Kind == CallStream && r.IsResumable)
}

// CallTarget is a service of a route. Calls are split between the targets in proportion to Weight.
type CallTarget struct {
	Service string
	Weight  float64
}

// CallService is the configuration of a service.
type CallService struct {
	Name string
	// MaxConnections is the number of connections that one upstream accepts from all clients
	// together.
	MaxConnections int
	Engine         *EngineModel // nil for plain services
	Origin         netip.AddrPort
	OriginDomain   string // failure domain of the origin
	OriginRate     int64  // rate of the origin's link in bytes per second; 0 if unknown
}

// EngineModel describes the performance and capacity of a service's engines. "Model" in its name
// means a performance model; the field Model names the model that they serve.
type EngineModel struct {
	Model        string
	Slots        int           // requests that run concurrently
	Capacity     int           // capacity of the KV cache in tokens
	StepTime     time.Duration // time of a decode step, which yields a token per request
	StepPerCall  time.Duration // added to StepTime for each request in the batch
	ReadRate     float64       // prompt tokens read per second (prefill)
	Stride       int           // decode steps between two checks for waiting prompts
	Chunk        int           // maximum number of prompt tokens read at one check; 0 for no limit
	UsualPrompt  float64       // typical prompt length in tokens
	UsualAnswer  float64       // typical answer length in tokens
	Chunks       int           // number of chunks of one version of the weights
	ChunkBytes   int64         // size of each chunk
	LoadDuration time.Duration // time that an engine takes to load a version and warm up
}

// ReadPace returns how many prompt tokens per second an engine reads while all its slots generate
// tokens. It is lower than ReadRate because the engine runs Stride decode steps between two chunks
// of prompts. It returns 0 if ReadRate is unknown.
func (e *EngineModel) ReadPace() float64 {
	if e.ReadRate <= 0 || e.Chunk <= 0 {
		return e.ReadRate
	}
	reading := float64(e.Chunk) / e.ReadRate
	writing := time.Duration(e.Stride) * (e.StepTime + time.Duration(e.Slots)*e.StepPerCall)
	return float64(e.Chunk) / (reading + writing.Seconds())
}

// Bounds of what operators may allow callers.
const (
	MaxHeaderBytes         = 64 << 10
	MaxBodyBytes     int64 = 8 << 20
	MaxHeaderTimeout       = 10 * time.Second
	MaxIdleTimeout         = time.Minute
)

// CallLimits bounds the size of callers' requests and the time to send them. A field of 0 or below
// sets no limit.
type CallLimits struct {
	HeaderBytes   int // from the request line to the empty line after the header
	BodyBytes     int64
	HeaderTimeout time.Duration // from the first byte of a request to the end of its header
	IdleTimeout   time.Duration // between an answer and the first byte of the next request
}

// Bounded returns the limits in which each one that is not set, or above its bound, is the bound.
func (l CallLimits) Bounded() CallLimits {
	return CallLimits{
		HeaderBytes:   bounded(l.HeaderBytes, MaxHeaderBytes),
		BodyBytes:     bounded(l.BodyBytes, MaxBodyBytes),
		HeaderTimeout: bounded(l.HeaderTimeout, MaxHeaderTimeout),
		IdleTimeout:   bounded(l.IdleTimeout, MaxIdleTimeout),
	}
}

func bounded[T int | int64 | time.Duration](value, limit T) T {
	if value <= 0 {
		return limit
	}
	return min(value, limit)
}

// Release is the version of a model's weights that engines should load.
type Release struct {
	Model   string
	Version int64
}
