package forwarder

import (
	"net/http"
	"os"
	"slices"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"github.com/foxtailwharf/foxtailwharf"
	"github.com/foxtailwharf/foxtailwharf/internal/request/collector"
	"github.com/foxtailwharf/foxtailwharf/internal/request/isolator"
	"github.com/foxtailwharf/foxtailwharf/internal/request/matcher"
	"github.com/foxtailwharf/foxtailwharf/internal/request/queuer"
)

const (
	// notReadyRetryAfter is the Retry-After of an entry that has no configuration yet.
	notReadyRetryAfter = 300 * time.Millisecond
	// leavingRetryAfter is the Retry-After of an entry that is shutting down. Other entries take the call at once.
	leavingRetryAfter = time.Millisecond
	// staleRetryAfter is the Retry-After of an entry whose configuration may be outdated.
	staleRetryAfter = time.Second
)

// admit authenticates the caller, selects the route and service, and reads the body. It uses the
// configuration, and the proof that it is current, as of the time when the request head was read.
func (f *Forwarder) admit(x *exchange, w http.ResponseWriter, r *http.Request) *foxtailwharf.Refusal {
	s := f.state.Load()
	if s == nil || s.Configuration == nil {
		return notRunRetryAfter(foxtailwharf.ReasonNotReady, "the entry has no configuration yet", notReadyRetryAfter)
	}
	x.limits = s.limits.At(x.started)
	var err error
	if x.call, err = f.c.Dialect.ReadCall(r); err != nil {
		return foxtailwharf.NotRun(foxtailwharf.ReasonBadRequest, err.Error())
	}
	x.version = s.Configuration.Version
	isFresh := f.isFresh(s)
	if x.route = s.matcher.Match(x.call.Host, x.call.Path); x.route == nil {
		if !isFresh {
			return staleRefusal()
		}
		return foxtailwharf.NotRun(foxtailwharf.ReasonNoRoute, "no route matches the host and path")
	}
	if refusal := x.authenticate(s, isFresh); refusal != nil {
		return refusal
	}
	x.setDeadline()
	if x.mayOutlastShutdown() {
		return leavingRefusal()
	}
	name := matcher.Pick(x.route, f.randomFloat())
	x.service = s.Configuration.Services[name]
	x.service.Name = name
	return x.readBody(w, r)
}

func notRunRetryAfter(reason foxtailwharf.Reason, detail string, retryAfter time.Duration) *foxtailwharf.Refusal {
	refusal := foxtailwharf.NotRun(reason, detail)
	refusal.RetryAfter = retryAfter
	return refusal
}

func staleRefusal() *foxtailwharf.Refusal {
	return notRunRetryAfter(foxtailwharf.ReasonStoreUnavailable, "the entry cannot verify that its configuration is current", staleRetryAfter)
}

func leavingRefusal() *foxtailwharf.Refusal {
	return notRunRetryAfter(foxtailwharf.ReasonLeaving, "the entry is shutting down", leavingRetryAfter)
}

func bodyTooLarge() *foxtailwharf.Refusal {
	return foxtailwharf.NotRun(foxtailwharf.ReasonBodyTooLarge, "the request body is too large")
}

// authenticate sets the client account and the rank of the call. While the configuration may be
// outdated it accepts no key, because a key may have been revoked meanwhile; a public route then
// serves the call without an account.
func (x *exchange) authenticate(s *state, isFresh bool) *foxtailwharf.Refusal {
	keys := s.Configuration.Keys
	account, isKnown := keys[x.call.Key]
	x.rank = queuer.Rank{Route: x.route.Priority}
	switch {
	case keys == nil:
		return nil
	case x.route.IsPublic && (!isKnown || !isFresh):
		return nil
	case !isFresh:
		return staleRefusal()
	case !isKnown:
		return foxtailwharf.NotRun(foxtailwharf.ReasonUnauthorized, "the API key is not known")
	}
	x.account = account.Name
	if account.HasPriority {
		x.rank.Account = account.Priority
	}
	return nil
}

// discardedBodies times the largest body is how much of the body of a refused call is discarded.
const discardedBodies = 2

// bodyLimit returns the size in bytes of the largest body that is accepted.
func (x *exchange) bodyLimit() int64 {
	return x.limits.Bounded().BodyBytes
}

// readBody buffers the whole body, so that the call can be sent again to a second upstream. It has to
// arrive within the deadline of the call.
func (x *exchange) readBody(w http.ResponseWriter, r *http.Request) *foxtailwharf.Refusal {
	if r.ContentLength > x.bodyLimit() {
		return bodyTooLarge()
	}
	controller := http.NewResponseController(w)
	if err := controller.SetReadDeadline(x.deadline); err != nil {
		x.f.c.Log.Debug("call: connection of the caller has no read deadline", zap.Error(err))
	}
	x.isBodyBegun = true
	body, err := x.f.bodies.CollectLength(http.MaxBytesReader(w, r.Body, x.bodyLimit()), int(max(r.ContentLength, 0)), func() {})
	if err != nil {
		var tooLarge *http.MaxBytesError
		var noMemory *collector.LimitError
		switch {
		case errors.As(err, &tooLarge):
			return bodyTooLarge()
		case errors.As(err, &noMemory):
			return foxtailwharf.NotRun(foxtailwharf.ReasonQueueFull, "the entry holds too many large request bodies")
		}
		x.hasBodyFailed = true
		// net/http hides a timeout in the last line of a chunked body.
		if errors.Is(err, os.ErrDeadlineExceeded) || !time.Now().Before(x.deadline) {
			return foxtailwharf.NotRun(foxtailwharf.ReasonDeadline, "the request body did not arrive in time")
		}
		return foxtailwharf.NotRun(foxtailwharf.ReasonBadRequest, "the request body is incomplete")
	}
	if err := controller.SetReadDeadline(time.Time{}); err != nil {
		x.f.c.Log.Debug("call: connection of the caller has no read deadline", zap.Error(err))
	}
	x.progress.hold(body)
	x.call.Body = body.Bytes
	x.request = isolator.Request(foxtailwharf.Digest([]byte(x.service.Name+"\n"+x.account+"\n"+x.call.Method+"\n"+x.call.Target+"\n"), body.Bytes))
	x.suspects = append(slices.Clone(x.call.PromptParts), x.request)
	if remaining := x.f.meetBan(x); remaining > 0 {
		return quarantined(remaining)
	}
	return nil
}
