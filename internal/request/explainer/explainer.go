// Package explainer tells why a request that was read whole has no whole answer.
package explainer

import (
	"context"
	"net"
	"net/http"
	"os"

	"github.com/pkg/errors"

	"github.com/foxtailwharf/foxtailwharf/internal/connection/finisher"
)

// Cause is why a request that was read whole has no whole answer.
type Cause string

// Causes. They are the labels of a counter.
const (
	CauseUnknown         Cause = "Unknown"         // none of the others; a fault of the program
	CauseCallerLeft      Cause = "CallerLeft"      // the caller has closed its connection, or its side of it
	CauseCallerSlow      Cause = "CallerSlow"      // the caller did not read what was written to it in time
	CauseDeadline        Cause = "Deadline"        // of the route or of the caller
	CauseShutdown        Cause = "Shutdown"        // the time of a graceful shutdown was over
	CauseBanned          Cause = "Banned"          // such requests crash upstreams
	CauseUpstreamEnded   Cause = "UpstreamEnded"   // as its own record or its agent says
	CauseUpstreamBroke   Cause = "UpstreamBroke"   // the upstream has broken off its answer
	CauseUpstreamLoading Cause = "UpstreamLoading" // the same, while its agent reports that it loads weights
	CauseUpstreamSilent  Cause = "UpstreamSilent"  // the upstream sent nothing for longer than a sound one
	CauseWeightsReplaced Cause = "WeightsReplaced" // the answer had not begun when its weights were replaced
	CauseInvalidAnswer   Cause = "InvalidAnswer"   // of another request, unsigned, or not the continuation of what the caller has
)

// Write returns the cause of a write to the caller that has failed. isLeaving tells that the process is shutting down.
func Write(err error, isLeaving bool) Cause {
	switch {
	case errors.Is(err, os.ErrDeadlineExceeded):
		return CauseCallerSlow
	case errors.Is(err, net.ErrClosed) && isLeaving:
		return CauseShutdown
	case errors.Is(err, http.ErrContentLength), errors.Is(err, http.ErrBodyNotAllowed):
		return CauseInvalidAnswer
	default:
		return CauseCallerLeft
	}
}

// Context returns the cause of the end of a request's context, which ended with an error. isBounded tells that its
// deadline is the end of a shutdown.
func Context(err error, isBounded bool) Cause {
	switch {
	case errors.Is(err, finisher.ErrEnding):
		return CauseShutdown
	case errors.Is(err, context.DeadlineExceeded) && isBounded:
		return CauseShutdown
	case errors.Is(err, context.DeadlineExceeded):
		return CauseDeadline
	case errors.Is(err, context.Canceled):
		return CauseCallerLeft
	default:
		return CauseUnknown
	}
}
