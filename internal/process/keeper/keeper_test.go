package keeper_test

import (
	"flag"
	"fmt"
	"testing"

	"pgregory.net/rapid"

	"github.com/foxtailwharf/foxtailwharf"
	"github.com/foxtailwharf/foxtailwharf/internal/process/keeper"
)

func init() {
	// A fixed seed gives the same verdict on every run; -rapid.seed overrides it.
	_ = flag.Set("rapid.seed", "1")
}

func service(name string, revision uint64, isValid, isDeleted bool) foxtailwharf.Document {
	body := fmt.Sprintf("Kind: Service\nName: %s\nMember: m\nUpstream: Plain\nSlots: %d\nRoutes: [{Path: /}]\n", name, revision)
	if !isValid {
		body = "Kind: Service\nNoSuchField: 1\n"
	}
	return foxtailwharf.Document{ID: foxtailwharf.DocumentID{Kind: foxtailwharf.KindService, Name: name}, Revision: revision, Body: body, IsDeleted: isDeleted}
}

// TestHighestWins delivers revisions late, twice and in any order: nothing steps
// back, an invalid revision leaves the valid one before it in force, and processes
// that exchange end alike.
func TestHighestWins(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		written := make(map[uint64]foxtailwharf.Document)
		for revision := range uint64(rapid.IntRange(1, 8).Draw(t, "revisions")) {
			written[revision+1] = service("s", revision+1, rapid.IntRange(0, 3).Draw(t, "valid") > 0, rapid.IntRange(0, 4).Draw(t, "deleted") == 0)
		}
		keepers := []*keeper.Keeper{keeper.New(), keeper.New(), keeper.New()}
		for range rapid.IntRange(1, 30).Draw(t, "deliveries") {
			k := keepers[rapid.IntRange(0, 2).Draw(t, "keeper")]
			before := status(k)
			k.Accept(written[uint64(rapid.IntRange(1, len(written)).Draw(t, "revision"))])
			after := status(k)
			if after.Revision < before.Revision || after.InForce < before.InForce {
				t.Fatalf("stepped back from %+v to %+v", before, after)
			}
			checkInForce(t, k, written)
		}
		for range keepers {
			exchange(keepers)
		}
		for _, k := range keepers {
			if status(k).Revision != status(keepers[0]).Revision {
				t.Fatalf("after the exchange revisions differ: %+v and %+v", status(k), status(keepers[0]))
			}
		}
	})
}

// exchange has each keeper take from all what it lacks.
func exchange(keepers []*keeper.Keeper) {
	for _, a := range keepers {
		for _, b := range keepers {
			for _, d := range a.Missing(b.Revisions()) {
				b.Accept(d)
			}
		}
	}
}

func status(k *keeper.Keeper) keeper.Status {
	for _, s := range k.Statuses() {
		return s
	}
	return keeper.Status{}
}

// checkInForce compares the service in force with the revision that is said to be.
func checkInForce(t *rapid.T, k *keeper.Keeper, written map[uint64]foxtailwharf.Document) {
	inForce := status(k).InForce
	s, isThere := k.Service("s")
	d := written[inForce]
	if isThere != (inForce > 0 && !d.IsDeleted) {
		t.Fatalf("revision %d is in force, deleted %t, and a service is there: %t", inForce, d.IsDeleted, isThere)
	}
	if isThere && s.Slots != int(inForce) {
		t.Fatalf("the service of revision %d is in force as revision %d", s.Slots, inForce)
	}
}

func TestAuthenticate(t *testing.T) {
	k := keeper.New()
	digest := foxtailwharf.Digest([]byte("secret"))
	k.Accept(foxtailwharf.Document{
		ID:       foxtailwharf.DocumentID{Kind: foxtailwharf.KindAgreement, Name: foxtailwharf.AgreementName},
		Revision: 1,
		Body:     "Kind: Agreement\nMembers: [{Name: m, Accounts: [{Name: a, Callers: [{Name: c, KeyDigest: " + digest + "}]}]}]\n",
	})
	want := foxtailwharf.Identity{Member: "m", Account: "a", Caller: "c"}
	if grant, isKnown := k.Authenticate("secret"); !isKnown || grant.Identity != want {
		t.Errorf("got %+v, %t; want %+v", grant.Identity, isKnown, want)
	}
	for _, key := range []string{"", "other", digest} {
		if _, isKnown := k.Authenticate(key); isKnown {
			t.Errorf("key %q is taken for a caller's", key)
		}
	}
}
