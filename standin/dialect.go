package standin

import (
	"bytes"
	"net/http"
	"strconv"
	"time"

	"github.com/foxtailwharf/foxtailwharf"
)

// Fields of the stand-ins' own dialect.
const (
	FieldCall     = "X-Call"
	FieldKey      = "X-Key"
	FieldAccount  = "X-Account"
	FieldExpect   = "X-Expect-Upstream"
	FieldVersion  = "X-Version"
	FieldWanted   = "X-Expect-Version"
	FieldPatience = "X-Patience-Millis"
	FieldUrgency  = "X-Urgency"
	FieldSigned   = "X-Signed"
	FieldNotRun   = "X-Not-Run"
	FieldTokens   = "X-Prompt-Tokens"
	FieldLast     = "Last-Event-Id"
	versionLine   = "version: "
)

// Dialect is a foxtailwharf.CallDialect for tests.
type Dialect struct{}

// ReadCall reads the head of a caller's request.
func (Dialect) ReadCall(r *http.Request) (foxtailwharf.Call, error) {
	h := r.Header.Clone()
	c := foxtailwharf.Call{
		ID: h.Get(FieldCall), Method: r.Method, Target: r.RequestURI, Host: r.Host, Path: r.URL.Path,
		Header: h, Key: h.Get(FieldKey), LastEventID: h.Get(FieldLast),
	}
	c.PromptTokens = number(h.Get(FieldTokens))
	c.CallerTimeout = time.Duration(number(h.Get(FieldPatience))) * time.Millisecond
	for _, name := range []string{FieldKey, FieldAccount, FieldPatience, "Content-Length", "Connection"} {
		h.Del(name)
	}
	return c, nil
}

// number reads a number; what is none is 0, as where the field is missing.
func number(text string) int {
	n, err := strconv.Atoi(text)
	if err != nil {
		return 0
	}
	return n
}

// AttemptHeader returns the fields towards the upstream.
func (Dialect) AttemptHeader(c foxtailwharf.Call, a foxtailwharf.Attempt) http.Header {
	h := c.Header.Clone()
	h.Set(FieldExpect, a.UpstreamID)
	h.Set(FieldPatience, strconv.FormatInt(a.Remaining.Milliseconds(), 10))
	h.Set(FieldUrgency, strconv.Itoa(a.Urgency))
	if a.Account != "" {
		h.Set(FieldAccount, a.Account)
	}
	if a.Weights > 0 {
		h.Set(FieldWanted, strconv.FormatInt(a.Weights, 10))
	}
	if a.LastEventID != "" {
		h.Set(FieldLast, a.LastEventID)
	}
	return h
}

// ReadReply reads the head of an answer.
func (Dialect) ReadReply(callID string, status int, header http.Header) foxtailwharf.Reply {
	return foxtailwharf.Reply{
		IsNotRun:      header.Get(FieldNotRun) != "",
		IsMisdirected: status == http.StatusMisdirectedRequest,
		IsAuthentic:   header.Get(FieldCall) == callID && header.Get(FieldSigned) != "",
		Weights:       int64(number(header.Get(FieldVersion))),
	}
}

// AnswerHeader returns the fields that a caller gets.
func (Dialect) AnswerHeader(header http.Header) http.Header {
	h := header.Clone()
	h.Del("Content-Length")
	h.Del("Connection")
	return h
}

// EventWeights reads the version from an event's first line.
func (Dialect) EventWeights(event []byte) (int64, bool) {
	rest, isNamed := bytes.CutPrefix(event, []byte(versionLine))
	if !isNamed {
		return 0, false
	}
	line, _, _ := bytes.Cut(rest, []byte("\n"))
	return int64(number(string(line))), true
}
