package fleet_test

import (
	"context"
	"fmt"
	"net/netip"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pkg/errors"

	"github.com/foxtailwharf/foxtailwharf"
	"github.com/foxtailwharf/foxtailwharf/internal/process/editor"
	"github.com/foxtailwharf/foxtailwharf/internal/process/registrar"
	"github.com/foxtailwharf/foxtailwharf/standin"
	"github.com/foxtailwharf/foxtailwharf/standin/fleet"
)

// inForceLimit is the time within which an accepted document is in force everywhere.
const inForceLimit = 5 * time.Second

var reservationsID = foxtailwharf.DocumentID{Kind: foxtailwharf.KindService, Name: "reservations"}

// revisions returns the revision in force in every process.
func (b *bench) revisions(id foxtailwharf.DocumentID) (revisions []uint64) {
	find := func(statuses []registrar.Status) uint64 {
		for _, s := range statuses {
			if s.ID == id {
				return s.InForce
			}
		}
		return 0
	}
	for _, e := range b.f.Entries {
		revisions = append(revisions, find(e.Status().Documents))
	}
	for _, a := range b.f.Agents {
		revisions = append(revisions, find(a.Status().Documents))
	}
	return revisions
}

// awaitRevision checks that a revision is in force everywhere in time.
func (b *bench) awaitRevision(what string, revision uint64) {
	b.t.Helper()
	for limit := time.Now().Add(inForceLimit); ; time.Sleep(50 * time.Millisecond) {
		all := b.revisions(reservationsID)
		isEverywhere := true
		for _, r := range all {
			isEverywhere = isEverywhere && r == revision
		}
		if isEverywhere {
			return
		}
		if time.Now().After(limit) {
			b.t.Fatalf("%s: after %s revisions %v are in force, want %d", what, inForceLimit, all, revision)
		}
	}
}

// watchRevisions notes every step back until it is told to end.
func (b *bench) watchRevisions(quit <-chan struct{}, ended *sync.WaitGroup) {
	ended.Go(func() {
		highest := b.revisions(reservationsID)
		for {
			select {
			case <-quit:
				return
			case <-time.After(20 * time.Millisecond):
			}
			for n, r := range b.revisions(reservationsID) {
				if r < highest[n] {
					b.t.Errorf("process %d stepped back from revision %d to %d", n, highest[n], r)
				}
				highest[n] = r
			}
		}
	})
}

// edition returns the reservations document with another number of slots.
func edition(n int) string {
	return strings.Replace(fleet.DemoReservations, "Slots: 4", fmt.Sprintf("Slots: %d", n+1), 1)
}

func (b *bench) edit(n int) uint64 {
	b.t.Helper()
	d, err := b.f.Apply(b.t.Context(), "operator", edition(n))
	if err != nil {
		b.t.Fatal(err)
	}
	return d.Revision
}

// TestDocuments takes a document through races, lost and late answers, outages and
// cuts: it is in force everywhere in time, and no process steps back.
func TestDocuments(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		b := newBench(t, benchConfig{assistants: 1})
		quit := make(chan struct{})
		var ended sync.WaitGroup
		b.watchRevisions(quit, &ended)
		b.awaitRevision("an edit", b.edit(1))

		b.platform.SetFaults(standin.PlatformFaults{LoseAnswers: 1})
		b.awaitRevision("an edit whose answer is lost", b.edit(2))

		b.awaitRevision("operators that race", b.race())

		b.platform.SetFaults(standin.PlatformFaults{IsDown: true})
		time.Sleep(20 * time.Second)
		b.platform.SetFaults(standin.PlatformFaults{})
		b.awaitRevision("an edit after an outage", b.edit(7))

		b.fabric.Cut("luzon", "visayas", true)
		b.fabric.Cut("luzon", "mindanao", true)
		time.Sleep(20 * time.Second)
		revision := b.edit(8)
		time.Sleep(10 * time.Second)
		b.fabric.Cut("luzon", "visayas", false)
		b.fabric.Cut("luzon", "mindanao", false)
		b.awaitRevision("an edit behind a cut that healed", revision)

		for _, a := range b.f.Agents[:2] {
			if err := b.f.Replace(t.Context(), a); err != nil {
				t.Fatal(err)
			}
		}
		close(quit)
		ended.Wait()
		b.awaitRevision("a new process", revision)
		b.stop()
	})
}

// race has operators edit from the same revision at once, and returns the highest
// revision. Each that lost is told who won, and every winner's revision is its own.
func (b *bench) race() (highest uint64) {
	b.t.Helper()
	store := b.f.Store()
	defer store.Close()
	base, err := editor.New(editor.Config{Store: store}).Get(b.t.Context(), reservationsID)
	if err != nil {
		b.t.Fatal(err)
	}
	header, _, _ := strings.Cut(base, "\n")
	var mu sync.Mutex
	var operators sync.WaitGroup
	winners := 0
	for n := range 4 {
		operators.Go(func() {
			hand := editor.New(editor.Config{Store: store, Writer: fmt.Sprint("operator ", n)})
			d, err := hand.Apply(b.t.Context(), []byte(header+"\n"+edition(n+2)))
			mu.Lock()
			defer mu.Unlock()
			var lost *editor.ConflictError
			switch {
			case err == nil:
				winners++
				highest = max(highest, d.Revision)
			case !errors.As(err, &lost) || !strings.HasPrefix(lost.Winner, "operator "):
				b.t.Errorf("operator %d was told: %v", n, err)
			}
		})
	}
	operators.Wait()
	if winners != 1 {
		b.t.Errorf("%d operators won a race from one revision", winners)
	}
	return highest
}

// replace starts new processes in place of entries and agents.
func (b *bench) replace(entries []*fleet.Entry, agents []*fleet.Agent) {
	b.t.Helper()
	for _, e := range entries {
		if err := b.f.ReplaceEntry(b.t.Context(), e); err != nil {
			b.t.Fatal(err)
		}
	}
	for _, a := range agents {
		if err := b.f.Replace(b.t.Context(), a); err != nil {
			b.t.Fatal(err)
		}
	}
}

// TestStartWithoutStore replaces an entry and an agent in every domain while the store
// is out: they take the documents from their neighbours and serve.
func TestStartWithoutStore(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		b := newBench(t, benchConfig{change: func(c *fleet.Config) {
			// Addresses are given out in order: platform, origin, and two for each entry,
			// the peers' one first.
			seeds := []netip.AddrPort{address(3), address(5), address(7)}
			c.ChangeEntry = func(_ int, s *foxtailwharf.EntrySettings) { s.Common.Seeds = seeds }
			c.ChangeAgent = func(_ int, s *foxtailwharf.AgentSettings) { s.Common.Seeds = seeds }
		}})
		revision := b.edit(3)
		b.awaitRevision("an edit", revision)
		b.platform.SetFaults(standin.PlatformFaults{IsDown: true})
		b.replace(b.f.Entries[3:], b.f.AgentsOf("reservations"))
		b.await("the new processes have the revision", func() bool {
			isBehind := func(r uint64) bool { return r != revision }
			return !slices.ContainsFunc(b.revisions(reservationsID), isBehind) && b.f.IsReady()
		})
		for n := range b.f.Entries {
			if a := b.via(n).chat(stream(fmt.Sprint("without a store ", n), 4)); a.err != nil || a.status != 200 {
				t.Errorf("without a store entry %d gave status %d, %v", n, a.status, a.err)
			}
		}
		b.platform.SetFaults(standin.PlatformFaults{})
		b.stop()
	})
}

// TestCutDomain cuts a domain off from everything for minutes: it serves its own
// callers all the time, and the others theirs.
func TestCutDomain(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		b := newBench(t, benchConfig{})
		for _, other := range []string{"luzon", "mindanao"} {
			b.fabric.Cut("visayas", other, true)
		}
		failed := 0
		for n := range 120 {
			ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
			a := b.via(n%6).do(ctx, "POST", "/v1/chat/completions", stream(fmt.Sprint("cut ", n), 3), nil)
			cancel()
			if a.err != nil || a.status != 200 {
				failed++
			}
			time.Sleep(time.Second)
		}
		if failed > 0 {
			t.Errorf("%d of 120 requests failed during the cut", failed)
		}
		for _, other := range []string{"luzon", "mindanao"} {
			b.fabric.Cut("visayas", other, false)
		}
		b.await("all know each other again", b.f.IsReady)
		b.stop()
	})
}
