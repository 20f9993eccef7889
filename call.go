package foxtailwharf

import (
	"net/http"
	"time"
)

// Call is one request of a caller that is passed on to an upstream as it is.
type Call struct {
	ID     string
	Method string
	Target string // path and query as the caller sent them
	Host   string
	Path   string
	// Header holds the fields to pass on. Fields of one connection, keys, and those
	// that only the system sets are not in it.
	Header http.Header
	Key    string // of the caller; empty for none
	// CallerTimeout is how long the caller waits; 0 where it does not say.
	CallerTimeout   time.Duration
	Model           string
	PromptTokens    int
	MaxAnswerTokens int
	LastEventID     string
	Body            []byte
}

// Attempt is one sending of a call to an upstream.
type Attempt struct {
	UpstreamID string
	Account    string        // name of the client account; empty for none
	Remaining  time.Duration // until the call is given up
	Urgency    int           // 0 to 9 at the upstream, 0 first
	Weights    int64         // the only version of the weights that may answer; 0 for any
	// LastEventID is the event after which a stream goes on; empty for its beginning.
	LastEventID string
}

// Reply is what the head of an upstream's answer says.
type Reply struct {
	// IsNotRun says that the upstream did not run the call and will not.
	IsNotRun bool
	// IsMisdirected says that another upstream, or one with other weights, answered.
	IsMisdirected bool
	// IsAuthentic says that the answer belongs to the call and is signed by the upstream.
	IsAuthentic bool
	Weights     int64 // version of the weights that answer; 0 where it does not say
}

// CallDialect translates calls between their form on the wire and the system's own.
type CallDialect interface {
	// ReadCall reads all but the body. The errors are for the caller.
	ReadCall(r *http.Request) (Call, error)
	// AttemptHeader returns the fields towards the upstream.
	AttemptHeader(c Call, a Attempt) http.Header
	// ReadReply reads the head of an answer to the call with this ID.
	ReadReply(callID string, status int, header http.Header) Reply
	// AnswerHeader returns the fields of an upstream's answer that go to the caller.
	AnswerHeader(header http.Header) http.Header
	// EventWeights returns the version of the weights that wrote an event of a stream;
	// false where the event does not say.
	EventWeights(event []byte) (int64, bool)
}
