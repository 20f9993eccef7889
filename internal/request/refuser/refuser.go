// Package refuser writes refusals to callers as JSON problem details (RFC 9457).
package refuser

import (
	"encoding/json"
	"math"
	"net/http"
	"strconv"

	"github.com/foxtailwharf/foxtailwharf"
)

// Problem is the body of a refusal. The names of the first four members are the
// RFC's own.
type Problem struct {
	Type   string `json:"type"`
	Title  string `json:"title"`
	Status int    `json:"status"`
	Detail string `json:"detail"`
	Reason string `json:"Reason"`
	// NotRun is true only where the request certainly did not run.
	NotRun bool `json:"NotRun"`
}

// typePrefix makes a problem type of a reason.
const typePrefix = "urn:foxtailwharf:problem:"

// Write sends a refusal.
func Write(w http.ResponseWriter, refusal *foxtailwharf.Refusal) {
	status := refusal.Status()
	w.Header().Set("Content-Type", "application/problem+json")
	if refusal.RetryAfter > 0 {
		w.Header().Set("Retry-After", strconv.Itoa(int(math.Ceil(refusal.RetryAfter.Seconds()))))
	}
	w.WriteHeader(status)
	// A caller that went away needs no refusal.
	_ = json.NewEncoder(w).Encode(Problem{
		Type:   typePrefix + string(refusal.Reason),
		Title:  http.StatusText(status),
		Status: status,
		Detail: refusal.Detail,
		Reason: string(refusal.Reason),
		NotRun: refusal.IsNotRun,
	})
}
