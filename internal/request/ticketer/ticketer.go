// Package ticketer issues and verifies tickets. A ticket is signed and names the only agent
// incarnation that may run an operation, so no store is needed.
package ticketer

import (
	"crypto/hmac"
	"crypto/sha256"
	"encoding/base64"
	"encoding/json"
	"strings"
	"time"

	"github.com/pkg/errors"

	"github.com/foxtailwharf/foxtailwharf"
	"github.com/foxtailwharf/foxtailwharf/wire"
)

// Lifetime is how long a ticket may be used; the expiry is set by the clock of the issuing entry.
// It is not what keeps a late call from running: that is the agent's key memory.
const Lifetime = 10 * time.Minute

// Errors that Check returns.
var (
	ErrInvalid = errors.New("the ticket is malformed or its signature is invalid")
	ErrExpired = errors.New("the ticket has expired")
)

// Ticketer signs tickets with a secret that all entries share. It is safe for concurrent use.
type Ticketer struct {
	secret []byte
}

// New returns a ticketer with the given secret.
func New(secret string) *Ticketer {
	return &Ticketer{secret: []byte(secret)}
}

// Issue returns a ticket for an operation of an account at an instance, and the time at which it
// expires.
func (t *Ticketer) Issue(now time.Time, service, account string, i foxtailwharf.Instance) (text string, expiry time.Time) {
	expiry = now.Add(Lifetime)
	payload, _ := json.Marshal(wire.Ticket{ // strings and numbers always marshal
		ID:           foxtailwharf.NewID(),
		Instance:     i.Name,
		Address:      i.Address.String(),
		Incarnation:  i.Incarnation,
		Generation:   i.Generation,
		Service:      service,
		Account:      account,
		ExpiryMillis: expiry.UnixMilli(),
	})
	encoded := base64.RawURLEncoding.EncodeToString(payload)
	return encoded + "." + t.sign(encoded), expiry
}

func (t *Ticketer) sign(encoded string) string {
	mac := hmac.New(sha256.New, t.secret)
	_, _ = mac.Write([]byte(encoded)) // writing to a hash never fails
	return base64.RawURLEncoding.EncodeToString(mac.Sum(nil))
}

// Check decodes a ticket and verifies its signature and expiry. With ErrExpired it also returns
// the ticket.
func (t *Ticketer) Check(now time.Time, text string) (ticket wire.Ticket, err error) {
	encoded, signature, _ := strings.Cut(text, ".")
	if !hmac.Equal([]byte(signature), []byte(t.sign(encoded))) {
		return ticket, ErrInvalid
	}
	var payload []byte
	if payload, err = base64.RawURLEncoding.DecodeString(encoded); err != nil {
		return ticket, ErrInvalid
	}
	if err = json.Unmarshal(payload, &ticket); err != nil {
		return ticket, ErrInvalid
	}
	if now.UnixMilli() > ticket.ExpiryMillis {
		return ticket, ErrExpired
	}
	return ticket, nil
}
