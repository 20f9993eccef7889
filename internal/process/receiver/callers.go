package receiver

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/pkg/errors"

	"github.com/foxtailwharf/foxtailwharf"
	"github.com/foxtailwharf/foxtailwharf/internal/connection/discarder"
	"github.com/foxtailwharf/foxtailwharf/internal/process/meter"
	"github.com/foxtailwharf/foxtailwharf/internal/process/registrar"
	"github.com/foxtailwharf/foxtailwharf/internal/request/admitter"
	"github.com/foxtailwharf/foxtailwharf/internal/request/arbiter"
	"github.com/foxtailwharf/foxtailwharf/internal/request/explainer"
	"github.com/foxtailwharf/foxtailwharf/internal/request/refuser"
	"github.com/foxtailwharf/foxtailwharf/internal/request/relayer"
	"github.com/foxtailwharf/foxtailwharf/internal/request/ticketer"
)

// Headers and limits of the callers' protocol.
const (
	headerKey    = "Idempotency-Key"
	headerTicket = "Foxtailwharf-Ticket"

	maxKeyLength = 256
	// discardedBodies times MaxBodyBytes is how much of the body of a refused request is discarded.
	discardedBodies = 2
	// bytesPerToken is used to estimate the number of tokens of a prompt.
	bytesPerToken = 4
	// affinityMessages is the number of leading messages that make up the prefix for affinity.
	affinityMessages = 2
)

func (r *Receiver) callersMux() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/chat/completions", r.serveModel)
	mux.HandleFunc("POST /v1/completions", r.serveModel)
	mux.HandleFunc("POST /v1/embeddings", r.serveModel)
	mux.HandleFunc("POST /v1/operations", r.serveOperation)
	mux.HandleFunc("GET /healthz", r.serveHealth)
	mux.HandleFunc("GET /readyz", r.serveReady)
	mux.HandleFunc("/{Service}/{Path...}", r.servePlain)
	mux.HandleFunc("/", func(w http.ResponseWriter, q *http.Request) {
		r.refuseUnread(w, q, foxtailwharf.NotRun(foxtailwharf.ReasonNoRoute, "no route for this path"))
	})
	return mux
}

// closeIfLeaving tells callers to close their connection if the entry shuts down when their answer begins.
func (r *Receiver) closeIfLeaving(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
		next.ServeHTTP(&headWriter{ResponseWriter: w, isLeaving: &r.isLeaving}, q)
	})
}

func (r *Receiver) refuse(w http.ResponseWriter, refusal *foxtailwharf.Refusal) {
	r.meter.Increment(meter.CounterRefused + string(refusal.Reason))
	refuser.Write(w, refusal)
}

// refuseUnread answers a request whose body has not been read whole. The caller gets the refusal at once,
// and may send the rest.
func (r *Receiver) refuseUnread(w http.ResponseWriter, q *http.Request, refusal *foxtailwharf.Refusal) {
	r.discarder.Answer(w, q, r.discardBounds(time.Now()), func() { r.refuse(w, refusal) })
}

// discardBounds returns the bounds for the rest of a body whose reading has begun at a time.
func (r *Receiver) discardBounds(begun time.Time) discarder.Bounds {
	return discarder.Bounds{Bytes: discardedBodies * r.c.Settings.MaxBodyBytes, Until: begun.Add(bodyReadTimeout)}
}

// authenticate looks up the bearer key and returns the caller's identity and limits.
func (r *Receiver) authenticate(q *http.Request) (registrar.Grant, *foxtailwharf.Refusal) {
	key, hasKey := strings.CutPrefix(q.Header.Get("Authorization"), "Bearer ")
	if !hasKey {
		return registrar.Grant{}, foxtailwharf.NotRun(foxtailwharf.ReasonUnauthorized, "the Authorization header has no bearer key")
	}
	grant, isKnown := r.registrar.Authenticate(strings.TrimSpace(key))
	if !isKnown {
		return registrar.Grant{}, foxtailwharf.NotRun(foxtailwharf.ReasonUnauthorized, "the bearer key is not known")
	}
	return grant, nil
}

// readBody reads the request body, limited to MaxBodyBytes and bodyReadTimeout. On failure it writes the
// refusal and reports false.
func (r *Receiver) readBody(w http.ResponseWriter, q *http.Request) (body []byte, isRead bool) {
	tooLarge := foxtailwharf.NotRun(foxtailwharf.ReasonBodyTooLarge, "the request body is too large")
	if q.ContentLength > r.c.Settings.MaxBodyBytes {
		r.refuseUnread(w, q, tooLarge)
		return nil, false
	}
	controller := http.NewResponseController(w)
	bounds := r.discardBounds(time.Now())
	bounds.HasBegun = true
	// Only test connections do not support deadlines; for those the error is ignored.
	_ = controller.SetReadDeadline(bounds.Until)
	body, err := io.ReadAll(http.MaxBytesReader(w, q.Body, r.c.Settings.MaxBodyBytes))
	_ = controller.SetReadDeadline(time.Time{})
	var limit *http.MaxBytesError
	if errors.As(err, &limit) {
		r.discarder.Answer(w, q, bounds, func() { r.refuse(w, tooLarge) })
		return nil, false
	}
	if err != nil {
		bounds.HasFailed = true
		incomplete := foxtailwharf.NotRun(foxtailwharf.ReasonBadRequest, "the request body is incomplete")
		r.discarder.Answer(w, q, bounds, func() { r.refuse(w, incomplete) })
		return nil, false
	}
	return body, true
}

// readCall authenticates the caller and reads the body. On failure it writes the refusal and
// reports false.
func (r *Receiver) readCall(w http.ResponseWriter, q *http.Request) (grant registrar.Grant, body []byte, isValid bool) {
	grant, refusal := r.authenticate(q)
	if refusal != nil {
		r.refuseUnread(w, q, refusal)
		return grant, nil, false
	}
	body, isValid = r.readBody(w, q)
	return grant, body, isValid
}

// modelCall holds the fields that the entry reads from the body of a call to a model.
type modelCall struct {
	Model     string            `json:"model"`
	MaxTokens float64           `json:"max_tokens"`
	Messages  []json.RawMessage `json:"messages"`
	Prompt    json.RawMessage   `json:"prompt"`
}

// affinity returns a hash of the prompt's prefix for routing. It stays the same from turn to turn
// of a conversation, provided that the first turn has at least affinityMessages messages.
func (m modelCall) affinity() string {
	var prefix strings.Builder
	prefix.WriteString(m.Model)
	for _, message := range m.Messages[:min(affinityMessages, len(m.Messages))] {
		prefix.Write(message)
	}
	if len(m.Messages) == 0 {
		prefix.Write(m.Prompt)
	}
	return foxtailwharf.Digest([]byte(prefix.String()))
}

// serveModel relays a call to a model engine.
func (r *Receiver) serveModel(w http.ResponseWriter, q *http.Request) {
	grant, body, isValid := r.readCall(w, q)
	if !isValid {
		return
	}
	var call modelCall
	if err := json.Unmarshal(body, &call); err != nil {
		r.refuse(w, foxtailwharf.NotRun(foxtailwharf.ReasonBadRequest, "the request body is not a valid model call: "+err.Error()))
		return
	}
	service, route := r.registrar.RouteOfModel(call.Model)
	if route == nil || call.Model == "" {
		r.refuse(w, foxtailwharf.NotRun(foxtailwharf.ReasonNoRoute, "no service offers the model "+call.Model))
		return
	}
	request := r.request(q, grant, service, route, body)
	request.Path = q.URL.RequestURI()
	request.Affinity = call.affinity()
	if call.MaxTokens > 0 {
		request.Cost = call.MaxTokens
	}
	request.Cost += float64(len(body)) / bytesPerToken
	r.relay(w, q, grant, request)
}

// servePlain relays a call to a plain service.
func (r *Receiver) servePlain(w http.ResponseWriter, q *http.Request) {
	grant, refusal := r.authenticate(q)
	if refusal != nil {
		r.refuseUnread(w, q, refusal)
		return
	}
	name := q.PathValue("Service")
	path := strings.TrimPrefix(q.URL.EscapedPath(), "/"+name)
	service, isKnown := r.registrar.Service(name)
	if !isKnown || service.Upstream != foxtailwharf.UpstreamPlain {
		r.refuseUnread(w, q, foxtailwharf.NotRun(foxtailwharf.ReasonNoRoute, "no plain service is named "+name))
		return
	}
	route := routeOfPath(service, path)
	if route == nil {
		r.refuseUnread(w, q, foxtailwharf.NotRun(foxtailwharf.ReasonNoRoute, "the service has no route for "+path))
		return
	}
	body, isRead := r.readBody(w, q)
	if !isRead {
		return
	}
	request := r.request(q, grant, service, route, body)
	request.Path = path
	if q.URL.RawQuery != "" {
		request.Path += "?" + q.URL.RawQuery
	}
	r.relay(w, q, grant, request)
}

// routeOfPath returns the route with the longest matching path, or nil. A route path that ends in
// a slash matches all paths below it.
func routeOfPath(service *foxtailwharf.Service, path string) (best *foxtailwharf.Route) {
	for i := range service.Routes {
		route := &service.Routes[i]
		isBelow := strings.HasSuffix(route.Path, "/") && strings.HasPrefix(path, route.Path)
		if (isBelow || path == route.Path) && (best == nil || len(route.Path) > len(best.Path)) {
			best = route
		}
	}
	return best
}

func (r *Receiver) request(q *http.Request, grant registrar.Grant, service *foxtailwharf.Service, route *foxtailwharf.Route, body []byte) relayer.Request {
	own := time.Now().Add(route.Timeout)
	deadline := r.bound(route, own)
	return relayer.Request{
		Service:     service.Name,
		Route:       *route,
		Identity:    grant.Identity,
		Method:      q.Method,
		ContentType: q.Header.Get("Content-Type"),
		Accept:      q.Header.Get("Accept"),
		Body:        body,
		Cost:        route.Cost,
		Deadline:    deadline,
		IsBounded:   deadline.Before(own),
		ForwardsKey: service.ForwardsKey,
	}
}

// bound returns a deadline, or the end of the shutdown if that is earlier. Requests with a key are not answered with
// streams.
func (r *Receiver) bound(route *foxtailwharf.Route, deadline time.Time) time.Time {
	if route.Delivery == foxtailwharf.DeliveryAtMostOnce {
		return r.finisher.Bound(deadline)
	}
	return r.finisher.BoundStream(deadline)
}

// relay checks the delivery headers and the caller's caps, relays the request, and then charges
// the difference between the estimated and the actual cost.
func (r *Receiver) relay(w http.ResponseWriter, q *http.Request, grant registrar.Grant, request relayer.Request) {
	if refusal := r.readDelivery(q, &request); refusal != nil {
		r.refuse(w, refusal)
		return
	}
	if request.IsBounded && r.finisher.IsNoticeOver() {
		// The entry may end before the answer. Callers have learned by now to send requests to other entries.
		r.refuse(w, foxtailwharf.NotRun(foxtailwharf.ReasonLeaving, "the entry is shutting down"))
		return
	}
	caps := capsFor(grant)
	if refusal := r.admit(caps, request.Cost); refusal != nil {
		r.refuse(w, r.relayer.ExtendRefusal(q.Context(), request, refusal))
		return
	}
	ctx, cancel := context.WithCancelCause(q.Context())
	defer cancel(nil)
	request.Arbiter = &arbiter.Arbiter{}
	defer r.finisher.BindStream(cancel, func(cause error) {
		if request.Arbiter.GiveUp(0) {
			cancel(cause)
		}
	})()
	head := &headWriter{ResponseWriter: w, isLeaving: &r.isLeaving}
	cost, refusal := r.relayer.Relay(ctx, head, request)
	r.correctUsage(caps, cost-request.Cost)
	if refusal != nil {
		r.refuseRelayed(q.Context(), w, refusal)
	}
}

// refuseRelayed answers a request that was relayed with a refusal. If the caller has left, which ends ctx, that is counted
// in place of the refusal, which is written all the same: the caller may have closed only its side of the connection.
func (r *Receiver) refuseRelayed(ctx context.Context, w http.ResponseWriter, refusal *foxtailwharf.Refusal) {
	if ctx.Err() == nil {
		r.refuse(w, refusal)
		return
	}
	r.meter.Increment(meter.CounterUnanswered + string(explainer.CauseCallerLeft))
	refuser.Write(w, refusal)
}

// readDelivery reads the idempotency key or the ticket of an at-most-once call.
func (r *Receiver) readDelivery(q *http.Request, request *relayer.Request) *foxtailwharf.Refusal {
	if request.Route.Delivery != foxtailwharf.DeliveryAtMostOnce {
		return nil
	}
	if text := q.Header.Get(headerTicket); text != "" {
		return r.readTicket(text, request)
	}
	request.Key = q.Header.Get(headerKey)
	if request.Key == "" || len(request.Key) > maxKeyLength {
		return foxtailwharf.NotRun(foxtailwharf.ReasonKeyRequired, "the call runs at most once and needs an Idempotency-Key of 1 to 256 characters or a ticket from /v1/operations")
	}
	return nil
}

func (r *Receiver) readTicket(text string, request *relayer.Request) *foxtailwharf.Refusal {
	ticket, err := r.ticketer.Check(time.Now(), text)
	switch {
	case errors.Is(err, ticketer.ErrExpired):
		// An earlier request with this ticket may have run before it expired.
		return foxtailwharf.OutcomeUnknown(foxtailwharf.ReasonTicketExpired, err.Error())
	case err != nil:
		return foxtailwharf.NotRun(foxtailwharf.ReasonTicketInvalid, err.Error())
	case ticket.Service != request.Service || ticket.Account != request.Identity.Account:
		return foxtailwharf.NotRun(foxtailwharf.ReasonTicketInvalid, "the ticket is for another service or account")
	}
	request.Ticket = &ticket
	return nil
}

// capsFor returns the rate limits that apply to a caller: those of its member, its account and
// itself.
func capsFor(grant registrar.Grant) []admitter.Cap {
	member := grant.Identity.Member
	account := member + "/" + grant.Identity.Account
	caller := account + "/" + grant.Identity.Caller
	return []admitter.Cap{
		{Flow: member, Rate: grant.Member.Rate, Burst: grant.Member.Burst},
		{Flow: account, Rate: grant.Account.Rate, Burst: grant.Account.Burst},
		{Flow: caller, Rate: grant.Caller.Rate, Burst: grant.Caller.Burst},
	}
}

func (r *Receiver) admit(caps []admitter.Cap, cost float64) *foxtailwharf.Refusal {
	if r.c.Settings.Caps == foxtailwharf.CapsOff {
		return nil
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.admitter.Admit(time.Now(), caps, cost)
}

func (r *Receiver) correctUsage(caps []admitter.Cap, difference float64) {
	if r.c.Settings.Caps == foxtailwharf.CapsOff {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.admitter.Correct(time.Now(), caps, difference)
}

// ticketRequest is the body of a request for a ticket.
type ticketRequest struct {
	Service string
}

// ticketReply is the response to a ticketRequest.
type ticketReply struct {
	Ticket  string
	Expires time.Time
}

// serveOperation issues a ticket for a later at-most-once call. It sends nothing to the upstream.
func (r *Receiver) serveOperation(w http.ResponseWriter, q *http.Request) {
	grant, body, isValid := r.readCall(w, q)
	if !isValid {
		return
	}
	var wanted ticketRequest
	if err := json.Unmarshal(body, &wanted); err != nil || wanted.Service == "" {
		r.refuse(w, foxtailwharf.NotRun(foxtailwharf.ReasonBadRequest, `the request body must be {"Service": NAME}`))
		return
	}
	reply, refusal := r.issueTicket(grant, wanted.Service)
	if refusal != nil {
		r.refuse(w, refusal)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(http.StatusCreated)
	// The only error is that the caller has disconnected.
	_ = json.NewEncoder(w).Encode(reply)
}

func (r *Receiver) issueTicket(grant registrar.Grant, name string) (reply ticketReply, refusal *foxtailwharf.Refusal) {
	service, isKnown := r.registrar.Service(name)
	if !isKnown {
		return reply, foxtailwharf.NotRun(foxtailwharf.ReasonNoRoute, "no service is named "+name)
	}
	instance, isFound := r.relayer.Pick(service.Name, service.Upstream == foxtailwharf.UpstreamModel)
	if !isFound {
		return reply, foxtailwharf.NotRun(foxtailwharf.ReasonNoUpstream, "no upstream is available for the operation")
	}
	reply.Ticket, reply.Expires = r.ticketer.Issue(time.Now(), service.Name, grant.Identity.Account, instance)
	return reply, nil
}
