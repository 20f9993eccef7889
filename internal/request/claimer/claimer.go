// Package claimer names, in the platform's store, the only agent incarnation that
// may run a key. A claim is created by conditional create before the call is
// sent, and moved only when the incarnation that it names has refused the key for
// good.
package claimer

import (
	"context"
	"encoding/json"
	"time"

	"github.com/pkg/errors"

	"github.com/foxtailwharf/foxtailwharf"
	"github.com/foxtailwharf/foxtailwharf/internal/process/pauser"
	"github.com/foxtailwharf/foxtailwharf/wire"
)

// Constants of settling a lost answer.
const (
	tries     = 3
	tryPause  = 50 * time.Millisecond
	namespace = "claim"
)

// Config holds the settings of a Claimer.
type Config struct {
	Store foxtailwharf.ObjectStore
}

// Claimer makes and reads claims.
type Claimer struct {
	c Config
}

// New returns a claimer.
func New(c Config) *Claimer {
	return &Claimer{c: c}
}

// Held is a claim as it stands in the store.
type Held struct {
	Claim   wire.Claim
	Version uint64 // of the object
	// IsOurs says that this request wrote the claim as it stands.
	IsOurs bool
}

// Name returns the name of the claim for a key of a client account.
func Name(account, service, key string) string {
	text, _ := json.Marshal([]string{namespace, account, service, key}) // strings always encode
	return foxtailwharf.Digest(text)
}

// Claim creates the claim, or returns the one that stands. A lost answer is
// settled by reading the claim back: it carries the attempt's ID.
func (c *Claimer) Claim(ctx context.Context, name string, want wire.Claim) (held Held, err error) {
	for try := range tries {
		if try > 0 && !pauser.Sleep(ctx, tryPause) {
			break
		}
		var written foxtailwharf.Object
		if written, err = c.c.Store.Create(ctx, object(name, want, 0)); err == nil {
			return Held{Claim: want, Version: written.Version, IsOurs: true}, nil
		}
		if held, err = c.read(ctx, name, want.AttemptID); err == nil {
			return held, nil
		}
		// Not found: the write failed, or takes effect later. To create it again is
		// safe, since the late write carries the same claim.
	}
	return held, errors.Wrap(foxtailwharf.ErrUnavailable, "Claimer.Claim")
}

// Move points a claim at another incarnation, after the one that it names has
// refused the key for good. If somebody else changed the claim meanwhile, the
// claim as it stands is returned.
func (c *Claimer) Move(ctx context.Context, name string, from Held, want wire.Claim) (held Held, err error) {
	for try := range tries {
		if try > 0 && !pauser.Sleep(ctx, tryPause) {
			break
		}
		var written foxtailwharf.Object
		if written, err = c.c.Store.Update(ctx, object(name, want, from.Version)); err == nil {
			return Held{Claim: want, Version: written.Version, IsOurs: true}, nil
		}
		held, err = c.read(ctx, name, want.AttemptID)
		if err == nil && held.Version != from.Version {
			return held, nil
		}
	}
	return held, errors.Wrap(foxtailwharf.ErrUnavailable, "Claimer.Move")
}

// IsClaimed reports whether a claim stands. An error means that it may.
func (c *Claimer) IsClaimed(ctx context.Context, name string) (bool, error) {
	_, err := c.c.Store.Get(ctx, foxtailwharf.KindClaim, name)
	if errors.Is(err, foxtailwharf.ErrNotFound) {
		return false, nil
	}
	return true, err
}

func (c *Claimer) read(ctx context.Context, name, attemptID string) (held Held, err error) {
	var o foxtailwharf.Object
	if o, err = c.c.Store.Get(ctx, foxtailwharf.KindClaim, name); err != nil {
		return held, err
	}
	if err = json.Unmarshal(o.Value, &held.Claim); err != nil {
		return held, errors.Wrap(err, "Claimer.read")
	}
	held.Version = o.Version
	held.IsOurs = held.Claim.AttemptID == attemptID
	return held, nil
}

func object(name string, claim wire.Claim, version uint64) foxtailwharf.Object {
	value, _ := json.Marshal(claim) // claims are of strings and numbers and always encode
	return foxtailwharf.Object{Kind: foxtailwharf.KindClaim, Name: name, Version: version, Value: value}
}
