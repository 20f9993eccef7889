package foxtailwharf

import (
	"fmt"
	"net/http"
	"time"

	"github.com/foxtailwharf/foxtailwharf/wire"
)

// Reason is the machine-readable code of a refusal.
type Reason string

// Reasons for refusing a request. They are part of the API.
const (
	ReasonBadRequest       Reason = "BadRequest"
	ReasonUnauthorized     Reason = "Unauthorized"
	ReasonNoRoute          Reason = "NoRoute"
	ReasonBodyTooLarge     Reason = "BodyTooLarge"
	ReasonKeyRequired      Reason = "KeyRequired"
	ReasonCapExceeded      Reason = "CapExceeded"
	ReasonQuarantined      Reason = "Quarantined"
	ReasonNoUpstream       Reason = "NoUpstream"
	ReasonUpstreamsPaused  Reason = "UpstreamsPaused"
	ReasonLeaving          Reason = "Leaving"
	ReasonNotReady         Reason = "NotReady"
	ReasonWrongVersion     Reason = "WrongVersion"
	ReasonWrongIncarnation Reason = "WrongIncarnation"
	ReasonQueueFull        Reason = "QueueFull"
	ReasonDisplaced        Reason = "Displaced"
	ReasonDeadline         Reason = "Deadline"
	ReasonSuspectBusy      Reason = "SuspectBusy"
	ReasonKeyReused        Reason = "KeyReused"
	ReasonKeyForgotten     Reason = "KeyForgotten"
	ReasonKeyMemoryFull    Reason = "KeyMemoryFull"
	ReasonStoreUnavailable Reason = "StoreUnavailable"
	ReasonTicketInvalid    Reason = "TicketInvalid"
	ReasonTicketExpired    Reason = "TicketExpired"
	ReasonUpstreamFailed   Reason = "UpstreamFailed"
	ReasonUpstreamDied     Reason = "UpstreamDied"
	ReasonOutcomeUnknown   Reason = "OutcomeUnknown"
	ReasonAnswerTooLarge   Reason = "AnswerTooLarge"
)

// Refusal is the error that a caller gets when its request is not answered by an upstream.
type Refusal struct {
	Reason Reason
	// IsNotRun is true only if no attempt of the request can have run. For a request with an
	// idempotency key, this includes earlier requests with the same key.
	IsNotRun   bool
	Detail     string // explanation for the caller
	RetryAfter time.Duration
}

// NotRun returns a refusal of a request that certainly has not run.
func NotRun(reason Reason, detail string) *Refusal {
	return &Refusal{Reason: reason, IsNotRun: true, Detail: detail}
}

// OutcomeUnknown returns a refusal of a request that may have run.
func OutcomeUnknown(reason Reason, detail string) *Refusal {
	return &Refusal{Reason: reason, Detail: detail}
}

// Error returns the reason, the detail and whether the request may have run.
func (r *Refusal) Error() string {
	return fmt.Sprintf("%s: %s (not run: %t)", r.Reason, r.Detail, r.IsNotRun)
}

// Status returns the HTTP status code that the caller gets.
func (r *Refusal) Status() int {
	switch r.Reason {
	case ReasonBadRequest, ReasonKeyRequired, ReasonTicketInvalid:
		return http.StatusBadRequest
	case ReasonUnauthorized:
		return http.StatusUnauthorized
	case ReasonNoRoute:
		return http.StatusNotFound
	case ReasonBodyTooLarge:
		return http.StatusRequestEntityTooLarge
	case ReasonKeyReused, ReasonQuarantined:
		return http.StatusUnprocessableEntity
	case ReasonTicketExpired, ReasonKeyForgotten:
		return http.StatusGone
	case ReasonCapExceeded:
		return http.StatusTooManyRequests
	case ReasonOutcomeUnknown, ReasonUpstreamFailed, ReasonUpstreamDied, ReasonAnswerTooLarge:
		return http.StatusBadGateway
	case ReasonDeadline:
		return http.StatusGatewayTimeout
	default:
		return http.StatusServiceUnavailable
	}
}

// ToWire converts the refusal to its wire format.
func (r *Refusal) ToWire() *wire.Refusal {
	return &wire.Refusal{
		Reason:           string(r.Reason),
		NotRun:           r.IsNotRun,
		Detail:           r.Detail,
		Status:           r.Status(),
		RetryAfterMillis: r.RetryAfter.Milliseconds(),
	}
}

// RefusalFromWire converts a refusal from its wire format. The status is not read, since it follows
// from the reason.
func RefusalFromWire(m *wire.Refusal) *Refusal {
	return &Refusal{
		Reason:     Reason(m.Reason),
		IsNotRun:   m.NotRun,
		Detail:     m.Detail,
		RetryAfter: time.Duration(m.RetryAfterMillis) * time.Millisecond,
	}
}
