package forwarder

import (
	"io"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"github.com/foxtailwharf/foxtailwharf"
	"github.com/foxtailwharf/foxtailwharf/internal/request/matcher"
	"github.com/foxtailwharf/foxtailwharf/internal/request/queuer"
)

// Constants of admission.
const (
	// startPause is the pause for callers of an entry that knows no configuration yet.
	startPause = 300 * time.Millisecond
	// stalePause is the pause for callers whose key cannot be checked.
	stalePause = time.Second
)

// admit finds out who calls what, and reads the body. Configuration and proof are those
// of the moment at which the head was read.
func (f *Forwarder) admit(x *exchange, w http.ResponseWriter, r *http.Request) *foxtailwharf.Refusal {
	s := f.state.Load()
	if s == nil || s.Configuration == nil {
		return later(foxtailwharf.ReasonNotReady, "the entry knows no configuration yet", startPause)
	}
	var err error
	if x.call, err = f.c.Dialect.ReadCall(r); err != nil {
		return foxtailwharf.NotRun(foxtailwharf.ReasonBadRequest, err.Error())
	}
	x.version = s.Configuration.Version
	isFresh := f.isFresh(s)
	if x.route = s.matcher.Match(x.call.Host, x.call.Path); x.route == nil {
		if !isFresh {
			return stale()
		}
		return foxtailwharf.NotRun(foxtailwharf.ReasonNoRoute, "no route has this host and path")
	}
	if refusal := x.identify(s, isFresh); refusal != nil {
		return refusal
	}
	x.setTimes()
	name := matcher.Pick(x.route, f.draw())
	x.service = s.Configuration.Services[name]
	x.service.Name = name
	return x.readBody(w, r, s.Configuration.Limits)
}

func later(reason foxtailwharf.Reason, detail string, pause time.Duration) *foxtailwharf.Refusal {
	refusal := foxtailwharf.NotRun(reason, detail)
	refusal.RetryAfter = pause
	return refusal
}

func stale() *foxtailwharf.Refusal {
	return later(foxtailwharf.ReasonStoreUnavailable, "the entry cannot prove that its configuration is the newest", stalePause)
}

// identify finds the client account. A key that may have been taken away meanwhile is
// not taken.
func (x *exchange) identify(s *state, isFresh bool) *foxtailwharf.Refusal {
	keys := s.Configuration.Keys
	account, isKnown := keys[x.call.Key]
	x.rank = queuer.Rank{Route: x.route.Priority}
	switch {
	case keys == nil:
		return nil
	case x.route.IsPublic && (!isKnown || !isFresh):
		return nil
	case !isFresh:
		return stale()
	case !isKnown:
		return foxtailwharf.NotRun(foxtailwharf.ReasonUnauthorized, "the key is not known")
	}
	x.account = account.Name
	if account.HasPriority {
		x.rank.Account = account.Priority
	}
	return nil
}

// readBody reads the whole body, so that the call can be sent to a second upstream.
func (x *exchange) readBody(w http.ResponseWriter, r *http.Request, limits foxtailwharf.CallLimits) *foxtailwharf.Refusal {
	body := r.Body
	if limits.BodyBytes > 0 {
		body = http.MaxBytesReader(w, r.Body, limits.BodyBytes)
	}
	data, err := io.ReadAll(body)
	if err != nil {
		var tooLarge *http.MaxBytesError
		if errors.As(err, &tooLarge) {
			return foxtailwharf.NotRun(foxtailwharf.ReasonBodyTooLarge, err.Error())
		}
		return foxtailwharf.NotRun(foxtailwharf.ReasonBadRequest, "the body broke off")
	}
	x.call.Body = data
	x.digest = foxtailwharf.Digest([]byte(x.service.Name + "\n" + x.account + "\n" + x.call.Method + "\n" + x.call.Target + "\n" + string(data)))
	if remaining := x.f.barred(x.digest); remaining > 0 {
		return later(foxtailwharf.ReasonQuarantined, "requests like this one ended the upstreams that ran them", remaining)
	}
	return nil
}
