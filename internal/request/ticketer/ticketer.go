// Package ticketer issues and checks tickets: signed names of the one agent
// incarnation that may run an operation. They need no store.
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

// Lifetime is how long a ticket may be used, by the issuing entry's clock. The
// agent's memory of keys is what keeps a late use from running, not this.
const Lifetime = 10 * time.Minute

// Errors of tickets.
var (
	ErrInvalid = errors.New("the ticket is not one of ours")
	ErrExpired = errors.New("the ticket has expired")
)

// Ticketer signs tickets with a secret that all entries share.
type Ticketer struct {
	secret []byte
}

// New returns a ticketer.
func New(secret string) *Ticketer {
	return &Ticketer{secret: []byte(secret)}
}

// Issue returns a ticket for an operation of an account at an instance.
func (t *Ticketer) Issue(now time.Time, service, account string, i foxtailwharf.Instance) (text string, expiry time.Time) {
	expiry = now.Add(Lifetime)
	payload, _ := json.Marshal(wire.Ticket{ // tickets are of strings and numbers and always encode
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
	_, _ = mac.Write([]byte(encoded)) // a hash never fails
	return base64.RawURLEncoding.EncodeToString(mac.Sum(nil))
}

// Check reads a ticket and checks signature and expiry. An expired ticket is
// returned together with ErrExpired.
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
