// Package claimer records, in the platform's store, the only agent incarnation that may run the
// call of an idempotency key. A claim is made by a conditional create before the call is sent,
// and moved to another incarnation only after the one that it names has refused the key
// permanently.
package claimer

import (
	"context"
	"encoding/json"
	"time"

	"github.com/pkg/errors"

	"github.com/foxtailwharf/foxtailwharf"
	"github.com/foxtailwharf/foxtailwharf/internal/process/sleeper"
	"github.com/foxtailwharf/foxtailwharf/wire"
)

// maxTries and retryPause apply to writes whose response from the store was lost.
const (
	maxTries   = 3
	retryPause = 50 * time.Millisecond
	namespace  = "claim"
)

// Config holds the settings of a Claimer.
type Config struct {
	Store foxtailwharf.ObjectStore
}

// Claimer creates and reads claims. It is safe for concurrent use if the store is.
type Claimer struct {
	c Config
}

// New returns a claimer that uses the configured store.
func New(c Config) *Claimer {
	return &Claimer{c: c}
}

// Stored is a claim as it is in the store.
type Stored struct {
	Claim   wire.Claim
	Version uint64 // version of the object that holds the claim
	// IsOurs is true if this request wrote the claim as it is now.
	IsOurs bool
}

// Name returns the name of the claim for the idempotency key of a client account.
func Name(account, service, key string) string {
	text, _ := json.Marshal([]string{namespace, account, service, key}) // strings always marshal
	return foxtailwharf.Digest(text)
}

// Claim creates the claim, or returns the one that exists. If the response of the store is lost,
// the claim is read back: its attempt ID shows who wrote it. The error wraps ErrUnavailable.
func (c *Claimer) Claim(ctx context.Context, name string, want wire.Claim) (stored Stored, err error) {
	for try := range maxTries {
		if try > 0 && !sleeper.Sleep(ctx, retryPause) {
			break
		}
		var written foxtailwharf.Object
		if written, err = c.c.Store.Create(ctx, object(name, want, 0)); err == nil {
			return Stored{Claim: want, Version: written.Version, IsOurs: true}, nil
		}
		if stored, err = c.read(ctx, name, want.AttemptID); err == nil {
			return stored, nil
		}
		// Not found: the write has failed, or will take effect later. Creating the claim again is
		// safe, because the delayed write carries the same claim.
	}
	return stored, errors.Wrap(foxtailwharf.ErrUnavailable, "Claimer.Claim")
}

// Move changes the incarnation in a claim after the one that it names has refused the key
// permanently. If another request has changed the claim meanwhile, the current claim is returned.
// The error wraps ErrUnavailable.
func (c *Claimer) Move(ctx context.Context, name string, from Stored, want wire.Claim) (stored Stored, err error) {
	for try := range maxTries {
		if try > 0 && !sleeper.Sleep(ctx, retryPause) {
			break
		}
		var written foxtailwharf.Object
		if written, err = c.c.Store.Update(ctx, object(name, want, from.Version)); err == nil {
			return Stored{Claim: want, Version: written.Version, IsOurs: true}, nil
		}
		stored, err = c.read(ctx, name, want.AttemptID)
		if err == nil && stored.Version != from.Version {
			return stored, nil
		}
	}
	return stored, errors.Wrap(foxtailwharf.ErrUnavailable, "Claimer.Move")
}

// IsClaimed reports whether a claim exists. With an error it returns true, because a claim may
// exist.
func (c *Claimer) IsClaimed(ctx context.Context, name string) (bool, error) {
	_, err := c.c.Store.Get(ctx, foxtailwharf.KindClaim, name)
	if errors.Is(err, foxtailwharf.ErrNotFound) {
		return false, nil
	}
	return true, err
}

func (c *Claimer) read(ctx context.Context, name, attemptID string) (stored Stored, err error) {
	var o foxtailwharf.Object
	if o, err = c.c.Store.Get(ctx, foxtailwharf.KindClaim, name); err != nil {
		return stored, err
	}
	if err = json.Unmarshal(o.Value, &stored.Claim); err != nil {
		return stored, errors.Wrap(err, "Claimer.read")
	}
	stored.Version = o.Version
	stored.IsOurs = stored.Claim.AttemptID == attemptID
	return stored, nil
}

func object(name string, claim wire.Claim, version uint64) foxtailwharf.Object {
	value, _ := json.Marshal(claim) // strings and numbers always marshal
	return foxtailwharf.Object{Kind: foxtailwharf.KindClaim, Name: name, Version: version, Value: value}
}
