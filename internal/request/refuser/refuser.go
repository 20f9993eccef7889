// Package refuser writes refusals to callers as JSON problem details (RFC 9457).
package refuser

import (
	"encoding/json"
	"math"
	"net/http"
	"strconv"

	"github.com/foxtailwharf/foxtailwharf"
)

// Problem is the body of a refusal. RFC 9457 defines its first four members.
type Problem struct {
	Type   string `json:"type"`
	Title  string `json:"title"`
	Status int    `json:"status"`
	Detail string `json:"detail"`
	Reason string `json:"Reason"`
	// NotRun is true only if the request certainly has not run.
	NotRun bool `json:"NotRun"`
}

// typePrefix and the reason make up the problem type.
const typePrefix = "urn:foxtailwharf:problem:"

// Write writes a refusal. Retry-After is rounded up to whole seconds.
func Write(w http.ResponseWriter, refusal *foxtailwharf.Refusal) {
	if refusal.RetryAfter > 0 {
		w.Header().Set("Retry-After", strconv.Itoa(int(math.Ceil(refusal.RetryAfter.Seconds()))))
	}
	write(w, refusal.Status(), refusal)
}

// WriteDirect writes a refusal of a call that the entry sends directly to an upstream. Callers
// take a 503 for such a call to mean that it has not run. Retry-After has fractions of a second.
func WriteDirect(w http.ResponseWriter, refusal *foxtailwharf.Refusal) {
	if refusal.RetryAfter > 0 {
		w.Header().Set("Retry-After", strconv.FormatFloat(refusal.RetryAfter.Seconds(), 'f', 3, 64))
	}
	write(w, directStatus(refusal), refusal)
}

func directStatus(refusal *foxtailwharf.Refusal) int {
	switch refusal.Reason {
	case foxtailwharf.ReasonBadRequest, foxtailwharf.ReasonUnauthorized, foxtailwharf.ReasonNoRoute, foxtailwharf.ReasonBodyTooLarge:
		return refusal.Status()
	}
	switch {
	case refusal.IsNotRun:
		return http.StatusServiceUnavailable
	case refusal.Reason == foxtailwharf.ReasonDeadline:
		return http.StatusGatewayTimeout
	default:
		return http.StatusBadGateway
	}
}

// write writes a refusal with its length, so that it is whole as soon as it is flushed.
func write(w http.ResponseWriter, status int, refusal *foxtailwharf.Refusal) {
	// A Problem can always be encoded.
	body, _ := json.Marshal(Problem{
		Type:   typePrefix + string(refusal.Reason),
		Title:  http.StatusText(status),
		Status: status,
		Detail: refusal.Detail,
		Reason: string(refusal.Reason),
		NotRun: refusal.IsNotRun,
	})
	body = append(body, '\n')
	w.Header().Set("Content-Type", "application/problem+json")
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	w.WriteHeader(status)
	// Writing fails only if the caller has disconnected.
	_, _ = w.Write(body)
}
