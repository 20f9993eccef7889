package standin

import (
	"bytes"
	"math"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/foxtailwharf/foxtailwharf"
)

// Header fields of the calls that Dialect reads and writes.
const (
	HeaderCall           = "X-Call"
	HeaderKey            = "X-Key"
	HeaderAccount        = "X-Account"
	HeaderExpectUpstream = "X-Expect-Upstream"
	HeaderVersion        = "X-Version"
	HeaderExpectVersion  = "X-Expect-Version"
	HeaderTimeout        = "X-Patience-Millis"
	HeaderUrgency        = "X-Urgency"
	HeaderSigned         = "X-Signed"
	HeaderNotRun         = "X-Not-Run"
	HeaderPromptTokens   = "X-Prompt-Tokens"
	HeaderPromptParts    = "X-Prompt-Parts" // separated by commas, without the last one
	HeaderLastEventID    = "Last-Event-Id"
	HeaderLimit          = "X-Limit" // calls a second
	HeaderLeaving        = "X-Leaving"
	HeaderRetryAfter     = "Retry-After" // seconds
	versionPrefix        = "version: "
)

// Dialect is a foxtailwharf.CallDialect for tests.
type Dialect struct{}

// ReadCall reads all of a caller's request but the body. It does not fail.
func (Dialect) ReadCall(r *http.Request) (foxtailwharf.Call, error) {
	h := r.Header.Clone()
	c := foxtailwharf.Call{
		ID: h.Get(HeaderCall), Method: r.Method, Target: r.RequestURI, Host: r.Host, Path: r.URL.Path,
		Header: h, Key: h.Get(HeaderKey), LastEventID: h.Get(HeaderLastEventID),
	}
	c.PromptTokens = intOrZero(h.Get(HeaderPromptTokens))
	if parts := h.Get(HeaderPromptParts); parts != "" {
		c.PromptParts = strings.Split(parts, ",")
	}
	c.CallerTimeout = time.Duration(intOrZero(h.Get(HeaderTimeout))) * time.Millisecond
	for _, name := range []string{HeaderKey, HeaderAccount, HeaderTimeout, "Content-Length", "Connection"} {
		h.Del(name)
	}
	return c, nil
}

// intOrZero parses a decimal number. It returns 0 if the text is empty or malformed.
func intOrZero(text string) int {
	n, err := strconv.Atoi(text)
	if err != nil {
		return 0
	}
	return n
}

// AttemptHeader returns the header of a request to the upstream.
func (Dialect) AttemptHeader(c foxtailwharf.Call, a foxtailwharf.Attempt) http.Header {
	h := c.Header.Clone()
	h.Set(HeaderExpectUpstream, a.UpstreamID)
	h.Set(HeaderTimeout, strconv.FormatInt(a.Remaining.Milliseconds(), 10))
	h.Set(HeaderUrgency, strconv.Itoa(a.Urgency))
	if a.Account != "" {
		h.Set(HeaderAccount, a.Account)
	}
	if a.Weights > 0 {
		h.Set(HeaderExpectVersion, strconv.FormatInt(a.Weights, 10))
	}
	if a.LastEventID != "" {
		h.Set(HeaderLastEventID, a.LastEventID)
	}
	return h
}

// ReadReply reads the header of an upstream's response.
func (Dialect) ReadReply(callID string, status int, header http.Header) foxtailwharf.Reply {
	if header.Get(HeaderCall) != callID {
		return foxtailwharf.Reply{}
	}
	return foxtailwharf.Reply{
		IsNotRun:      header.Get(HeaderNotRun) != "",
		IsMisdirected: status == http.StatusMisdirectedRequest,
		IsAuthentic:   header.Get(HeaderSigned) != "",
		Signals:       readSignals(status, header),
	}
}

// readSignals reads what an upstream says of itself.
func readSignals(status int, header http.Header) foxtailwharf.Signals {
	limit, err := strconv.ParseFloat(header.Get(HeaderLimit), 64)
	s := foxtailwharf.Signals{
		Weights: int64(intOrZero(header.Get(HeaderVersion))), HasLimit: err == nil, Limit: limit, IsLeaving: header.Get(HeaderLeaving) == "1",
	}
	seconds, err := strconv.ParseFloat(header.Get(HeaderRetryAfter), 64)
	if err == nil && status == http.StatusServiceUnavailable && seconds > 0 && !math.IsInf(seconds, 0) {
		s.RetryAfter = time.Duration(seconds * float64(time.Second))
	}
	return s
}

// AnswerHeader returns the header of the response to the caller.
func (Dialect) AnswerHeader(header http.Header) http.Header {
	h := header.Clone()
	h.Del("Content-Length")
	h.Del("Connection")
	return h
}

// EventWeights returns the version in the first line of an event, if it has one.
func (Dialect) EventWeights(event []byte) (int64, bool) {
	rest, hasVersion := bytes.CutPrefix(event, []byte(versionPrefix))
	if !hasVersion {
		return 0, false
	}
	line, _, _ := bytes.Cut(rest, []byte("\n"))
	return int64(intOrZero(string(line))), true
}
