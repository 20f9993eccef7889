package registrar_test

import (
	"flag"
	"fmt"
	"strings"
	"testing"

	"pgregory.net/rapid"

	"github.com/foxtailwharf/foxtailwharf"
	"github.com/foxtailwharf/foxtailwharf/internal/process/registrar"
)

func init() {
	// A fixed seed makes runs reproducible; -rapid.seed overrides it.
	_ = flag.Set("rapid.seed", "1")
}

func service(name string, revision uint64, isValid, isDeleted bool) foxtailwharf.Document {
	body := fmt.Sprintf("Kind: Service\nName: %s\nMember: m\nUpstream: Plain\nSlots: %d\nRoutes: [{Path: /}]\n", name, revision)
	if !isValid {
		body = "Kind: Service\nNoSuchField: 1\n"
	}
	return foxtailwharf.Document{ID: foxtailwharf.DocumentID{Kind: foxtailwharf.KindService, Name: name}, Revision: revision, Body: body, IsDeleted: isDeleted}
}

// TestHighestWins delivers revisions late, repeatedly and in any order, and checks that no
// revision is replaced by a lower one, that an invalid revision leaves the last valid one in
// force, and that processes which exchange documents converge.
func TestHighestWins(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		revisions := make(map[uint64]foxtailwharf.Document)
		for revision := range uint64(rapid.IntRange(1, 8).Draw(t, "revisions")) {
			revisions[revision+1] = service("s", revision+1, rapid.IntRange(0, 3).Draw(t, "valid") > 0, rapid.IntRange(0, 4).Draw(t, "deleted") == 0)
		}
		registrars := []*registrar.Registrar{registrar.New(), registrar.New(), registrar.New()}
		for range rapid.IntRange(1, 30).Draw(t, "deliveries") {
			k := registrars[rapid.IntRange(0, 2).Draw(t, "registrar")]
			before := status(k)
			k.Accept(revisions[uint64(rapid.IntRange(1, len(revisions)).Draw(t, "revision"))])
			after := status(k)
			if after.Revision < before.Revision || after.InForce < before.InForce {
				t.Fatalf("revisions went back from %+v to %+v", before, after)
			}
			checkInForce(t, k, revisions)
		}
		for range registrars {
			exchange(registrars)
		}
		for _, k := range registrars {
			if status(k).Revision != status(registrars[0]).Revision {
				t.Fatalf("revisions differ after the exchange: %+v and %+v", status(k), status(registrars[0]))
			}
		}
	})
}

// exchange copies to each registrar the documents that others have and it lacks.
func exchange(registrars []*registrar.Registrar) {
	for _, a := range registrars {
		for _, b := range registrars {
			for _, d := range a.NewerThan(b.Revisions()) {
				b.Accept(d)
			}
		}
	}
}

func status(k *registrar.Registrar) registrar.Status {
	for _, s := range k.Statuses() {
		return s
	}
	return registrar.Status{}
}

// checkInForce checks that the service in force is the one of revision InForce.
func checkInForce(t *rapid.T, k *registrar.Registrar, revisions map[uint64]foxtailwharf.Document) {
	inForce := status(k).InForce
	s, isFound := k.Service("s")
	d := revisions[inForce]
	if isFound != (inForce > 0 && !d.IsDeleted) {
		t.Fatalf("revision %d is in force, deleted %t, but service found: %t", inForce, d.IsDeleted, isFound)
	}
	if isFound && s.Slots != int(inForce) {
		t.Fatalf("service of revision %d is in force as revision %d", s.Slots, inForce)
	}
}

// TestAuthenticate checks that a key is accepted if its digest is in the agreement, which may hold it in
// either case.
func TestAuthenticate(t *testing.T) {
	digest := foxtailwharf.Digest([]byte("secret"))
	for _, written := range []string{digest, strings.ToUpper(digest), strings.ToUpper(digest[:9]) + digest[9:]} {
		k := registrar.New()
		k.Accept(foxtailwharf.Document{
			ID:       foxtailwharf.DocumentID{Kind: foxtailwharf.KindAgreement, Name: foxtailwharf.AgreementName},
			Revision: 1,
			Body:     "Kind: Agreement\nMembers: [{Name: m, Accounts: [{Name: a, Callers: [{Name: c, KeyDigest: " + written + "}]}]}]\n",
		})
		want := foxtailwharf.Identity{Member: "m", Account: "a", Caller: "c"}
		if grant, isKnown := k.Authenticate("secret"); !isKnown || grant.Identity != want {
			t.Errorf("%s: got %+v, %t; want %+v", written, grant.Identity, isKnown, want)
		}
		for _, key := range []string{"", "other", digest, written} {
			if _, isKnown := k.Authenticate(key); isKnown {
				t.Errorf("%s: key %q was accepted", written, key)
			}
		}
	}
}

// TestVersionInEitherCase checks that a service wants the version by which its weights are known.
func TestVersionInEitherCase(t *testing.T) {
	want := foxtailwharf.Digest([]byte("manifest"))
	k := registrar.New()
	k.Accept(foxtailwharf.Document{
		ID:       foxtailwharf.DocumentID{Kind: foxtailwharf.KindService, Name: "s"},
		Revision: 1,
		Body:     "Kind: Service\nName: s\nMember: m\nVersion: " + strings.ToUpper(want) + "\nRoutes: [{Path: /, Model: m}]\n",
	})
	if s, isKnown := k.Service("s"); !isKnown || s.Version != want {
		t.Errorf("%+v, %t; want version %s", s, isKnown, want)
	}
}
