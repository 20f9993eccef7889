package foxtailwharf

import (
	"net/http"
	"time"
)

// Call is a caller's request that is forwarded to an upstream with its body unchanged.
type Call struct {
	ID     string
	Method string
	Target string // path and query as the caller sent them
	Host   string
	Path   string
	// Header holds the header fields to forward. It has no hop-by-hop fields, no keys and no fields
	// that only this system sets.
	Header http.Header
	Key    string // the caller's API key; empty if it sent none
	// CallerTimeout is how long the caller waits; 0 if it sent no timeout.
	CallerTimeout   time.Duration
	Model           string
	PromptTokens    int
	MaxAnswerTokens int
	// PromptParts are the IDs of the parts of the prompt that other calls may have too, in order. The
	// last part of a prompt belongs to the call itself or to its conversation and is left out.
	PromptParts []string
	LastEventID string
	Body        []byte
}

// Attempt is one try to run a call on an upstream.
type Attempt struct {
	UpstreamID string
	Account    string        // name of the client account; empty if the call has none
	Remaining  time.Duration // time until the call's deadline
	Urgency    int           // priority at the upstream, 0 (most urgent) to 9
	Weights    int64         // version of the weights that must answer; 0 means any
	// LastEventID is the ID of the event after which a stream resumes; empty to start from the
	// beginning.
	LastEventID string
}

// Reply is the decoded status and header of an upstream's response. Of a response that does not have the
// ID of the call, nothing counts: it is the zero value.
type Reply struct {
	// IsNotRun is true if the upstream did not run the call and will not run it.
	IsNotRun bool
	// IsMisdirected is true if the call reached another upstream than intended, or one with other
	// weights.
	IsMisdirected bool
	// IsAuthentic is true if the response has a signature of the upstream.
	IsAuthentic bool
	// Signals are empty if the response does not have the ID of the call.
	Signals
}

// CallDialect translates calls between HTTP messages and the types of this package.
type CallDialect interface {
	// ReadCall reads everything but the body. The caller receives the text of its errors.
	ReadCall(r *http.Request) (Call, error)
	// AttemptHeader returns the header of the request to the upstream.
	AttemptHeader(c Call, a Attempt) http.Header
	// ReadReply decodes the status and header of a response to the call with this ID.
	ReadReply(callID string, status int, header http.Header) Reply
	// AnswerHeader returns the fields of an upstream's response that are forwarded to the caller.
	AnswerHeader(header http.Header) http.Header
	// EventWeights returns the version of the weights that generated an event of a stream, or false
	// if the event does not contain it.
	EventWeights(event []byte) (int64, bool)
}
