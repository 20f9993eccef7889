package forwarder

import (
	"github.com/pkg/errors"

	"github.com/foxtailwharf/foxtailwharf/internal/request/explainer"
)

// errInvalidAnswer means that an attempt got an answer that cannot be forwarded.
var errInvalidAnswer = errors.New("answer of the upstream cannot be forwarded")

// failure is how an attempt that may have run has failed.
type failure struct {
	cause     error // with which the context of the attempt was cancelled; nil if it was not
	err       error
	isLoading bool // the upstream was loading weights
}

// ending is what is known of a call that ends without a whole answer.
type ending struct {
	write     error   // of the last write to the caller; nil if it was written
	call      error   // cause with which the context of the call was cancelled; nil if it was not
	last      failure // of the last attempt that may have run
	isBounded bool    // the deadline of the call is the end of a shutdown
	isLeaving bool    // the process is shutting down
}

// causeOf returns why a call ends without a whole answer. What has ended the connection goes before what has ended the
// call, and that before what has ended an attempt.
func causeOf(e ending) explainer.Cause {
	switch {
	case e.write != nil:
		return explainer.Write(e.write, e.isLeaving)
	case errors.Is(e.call, errQuarantined):
		return explainer.CauseBanned
	case e.call != nil:
		return explainer.Context(e.call, e.isBounded)
	default:
		return causeOfAttempt(e.last)
	}
}

func causeOfAttempt(f failure) explainer.Cause {
	switch {
	case errors.Is(f.cause, errUpstreamEnded):
		return explainer.CauseUpstreamEnded
	case errors.Is(f.cause, errWeightsReplaced):
		return explainer.CauseWeightsReplaced
	case errors.Is(f.cause, errSilent), errors.Is(f.cause, errStalled):
		return explainer.CauseUpstreamSilent
	case errors.Is(f.err, errInvalidAnswer):
		return explainer.CauseInvalidAnswer
	case f.err != nil && f.isLoading:
		return explainer.CauseUpstreamLoading
	case f.err != nil:
		return explainer.CauseUpstreamBroke
	default:
		return explainer.CauseUnknown
	}
}
