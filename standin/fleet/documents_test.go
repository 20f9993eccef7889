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

// inForceTimeout is the time within which an accepted document must be in force in every process.
const inForceTimeout = 5 * time.Second

var reservationsID = foxtailwharf.DocumentID{Kind: foxtailwharf.KindService, Name: "reservations"}

// revisions returns the revision of a document that is in force in each process, 0 for none:
// entries first, then agents.
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

// awaitRevision checks that a revision of the reservations document is in force in every process
// within inForceTimeout.
func (b *bench) awaitRevision(what string, revision uint64) {
	b.t.Helper()
	for limit := time.Now().Add(inForceTimeout); ; time.Sleep(50 * time.Millisecond) {
		all := b.revisions(reservationsID)
		isEverywhere := true
		for _, r := range all {
			isEverywhere = isEverywhere && r == revision
		}
		if isEverywhere {
			return
		}
		if time.Now().After(limit) {
			b.t.Fatalf("%s: after %s revisions %v are in force, want %d", what, inForceTimeout, all, revision)
		}
	}
}

// watchRevisions reports every process that goes back to a lower revision, until quit is closed.
func (b *bench) watchRevisions(quit <-chan struct{}, watchers *sync.WaitGroup) {
	watchers.Go(func() {
		highest := b.revisions(reservationsID)
		for {
			select {
			case <-quit:
				return
			case <-time.After(20 * time.Millisecond):
			}
			for n, r := range b.revisions(reservationsID) {
				if r < highest[n] {
					b.t.Errorf("process %d went back from revision %d to %d", n, highest[n], r)
				}
				highest[n] = r
			}
		}
	})
}

// documentVariant returns the reservations document with n+1 slots, so that each n gives another
// document.
func documentVariant(n int) string {
	return strings.Replace(fleet.DemoReservations, "Slots: 4", fmt.Sprintf("Slots: %d", n+1), 1)
}

func (b *bench) applyVariant(n int) uint64 {
	b.t.Helper()
	d, err := b.f.Apply(b.t.Context(), "operator", documentVariant(n))
	if err != nil {
		b.t.Fatal(err)
	}
	return d.Revision
}

// TestDocuments edits a document while writes race, a response is lost, the store is out, the
// network is partitioned and agents are replaced. Each accepted revision must be in force in every
// process in time, and no process may go back to a lower one.
func TestDocuments(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		b := newBench(t, benchConfig{assistants: 1})
		quit := make(chan struct{})
		var watchers sync.WaitGroup
		b.watchRevisions(quit, &watchers)
		b.awaitRevision("an edit", b.applyVariant(1))

		b.platform.SetFaults(standin.PlatformFaults{LoseResponses: 1})
		b.awaitRevision("an edit whose response is lost", b.applyVariant(2))

		b.awaitRevision("concurrent edits", b.applyConcurrently())

		b.platform.SetFaults(standin.PlatformFaults{IsDown: true})
		time.Sleep(20 * time.Second)
		b.platform.SetFaults(standin.PlatformFaults{})
		b.awaitRevision("an edit after an outage", b.applyVariant(7))

		b.memoryNetwork.SetPartitioned("luzon", "visayas", true)
		b.memoryNetwork.SetPartitioned("luzon", "mindanao", true)
		time.Sleep(20 * time.Second)
		revision := b.applyVariant(8)
		time.Sleep(10 * time.Second)
		b.memoryNetwork.SetPartitioned("luzon", "visayas", false)
		b.memoryNetwork.SetPartitioned("luzon", "mindanao", false)
		b.awaitRevision("an edit during a partition that ended", revision)

		for _, a := range b.f.Agents[:2] {
			if err := b.f.ReplaceAgent(t.Context(), a); err != nil {
				t.Fatal(err)
			}
		}
		close(quit)
		watchers.Wait()
		b.awaitRevision("replaced agents", revision)
		b.stop()
	})
}

// applyConcurrently has four operators edit the same revision concurrently and returns the revision
// of the winner. Exactly one may win, and the others must get a conflict error that names an
// operator as the winner.
func (b *bench) applyConcurrently() (highest uint64) {
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
			client := editor.New(editor.Config{Store: store, Writer: fmt.Sprint("operator ", n)})
			d, err := client.Apply(b.t.Context(), []byte(header+"\n"+documentVariant(n+2)))
			mu.Lock()
			defer mu.Unlock()
			var conflict *editor.ConflictError
			switch {
			case err == nil:
				winners++
				highest = max(highest, d.Revision)
			case !errors.As(err, &conflict) || !strings.HasPrefix(conflict.Winner, "operator "):
				b.t.Errorf("operator %d got error %v, want a conflict that names the winner", n, err)
			}
		})
	}
	operators.Wait()
	if winners != 1 {
		b.t.Errorf("%d operators edited the same revision, want 1", winners)
	}
	return highest
}

// replaceProcesses replaces the processes of entries and agents.
func (b *bench) replaceProcesses(entries []*fleet.Entry, agents []*fleet.Agent) {
	b.t.Helper()
	for _, e := range entries {
		if err := b.f.ReplaceEntry(b.t.Context(), e); err != nil {
			b.t.Fatal(err)
		}
	}
	for _, a := range agents {
		if err := b.f.ReplaceAgent(b.t.Context(), a); err != nil {
			b.t.Fatal(err)
		}
	}
}

// TestStartWithoutStore replaces an entry and an agent in every failure domain while the store is
// out: they must get the documents from their peers and serve requests.
func TestStartWithoutStore(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		b := newBench(t, benchConfig{change: func(c *fleet.Config) {
			// Addresses are consecutive: the platform, the origin, and two for each entry, first
			// the one for peers.
			seeds := []netip.AddrPort{address(3), address(5), address(7)}
			c.ChangeEntry = func(_ int, s *foxtailwharf.EntrySettings) { s.Common.Seeds = seeds }
			c.ChangeAgent = func(_ int, s *foxtailwharf.AgentSettings) { s.Common.Seeds = seeds }
		}})
		revision := b.applyVariant(3)
		b.awaitRevision("an edit", revision)
		b.platform.SetFaults(standin.PlatformFaults{IsDown: true})
		b.replaceProcesses(b.f.Entries[3:], b.f.AgentsOf("reservations"))
		b.await("the new processes have the revision and are ready", func() bool {
			isBehind := func(r uint64) bool { return r != revision }
			return !slices.ContainsFunc(b.revisions(reservationsID), isBehind) && b.f.IsReady()
		})
		for n := range b.f.Entries {
			if a := b.via(n).chat(streamRequest(fmt.Sprint("without a store ", n), 4)); a.err != nil || a.status != 200 {
				t.Errorf("entry %d without the store: got status %d, error %v", n, a.status, a.err)
			}
		}
		b.platform.SetFaults(standin.PlatformFaults{})
		b.stop()
	})
}

// TestPartitionedDomain partitions one failure domain from the others for two minutes: entries on
// both sides must serve all requests.
func TestPartitionedDomain(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		b := newBench(t, benchConfig{})
		for _, other := range []string{"luzon", "mindanao"} {
			b.memoryNetwork.SetPartitioned("visayas", other, true)
		}
		failed := 0
		for n := range 120 {
			ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
			a := b.via(n%6).do(ctx, "POST", "/v1/chat/completions", streamRequest(fmt.Sprint("cut ", n), 3), nil)
			cancel()
			if a.err != nil || a.status != 200 {
				failed++
			}
			time.Sleep(time.Second)
		}
		if failed > 0 {
			t.Errorf("%d of 120 requests failed during the partition", failed)
		}
		for _, other := range []string{"luzon", "mindanao"} {
			b.memoryNetwork.SetPartitioned("visayas", other, false)
		}
		b.await("all processes know each other again", b.f.IsReady)
		b.stop()
	})
}
