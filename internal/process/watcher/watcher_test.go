package watcher_test

import (
	"context"
	"fmt"
	"net/netip"
	"testing"
	"testing/synctest"
	"time"

	"go.uber.org/zap"

	"github.com/foxtailwharf/foxtailwharf"
	"github.com/foxtailwharf/foxtailwharf/internal/process/registrar"
	"github.com/foxtailwharf/foxtailwharf/internal/process/storer"
	"github.com/foxtailwharf/foxtailwharf/internal/process/watcher"
	"github.com/foxtailwharf/foxtailwharf/standin"
)

const documents = 100

func document(n int) foxtailwharf.Document {
	id := foxtailwharf.DocumentID{Kind: foxtailwharf.KindService, Name: fmt.Sprint("s", n)}
	body := fmt.Sprintf("Kind: Service\nName: %s\nMember: m\nUpstream: Plain\nRoutes: [{Path: /}]\n", id.Name)
	return foxtailwharf.Document{ID: id, Revision: 1, Body: body}
}

// statusTest is a fleet of entries, of which the first ones are leaving.
type statusTest struct {
	domains, entriesPerDomain, leaving int
}

// TestEachDocumentGetsItsStatus checks that the entries write one status for each document, in whichever
// failure domains they are and whoever is leaving.
func TestEachDocumentGetsItsStatus(t *testing.T) {
	for _, tt := range []statusTest{{1, 1, 0}, {1, 2, 0}, {3, 1, 0}, {1, 6, 0}, {3, 6, 0}, {3, 6, 9}, {5, 30, 0}, {2, 3, 5}} {
		t.Run(fmt.Sprintf("%+v", tt), func(t *testing.T) { synctest.Test(t, tt.run) })
	}
}

func (tt statusTest) run(t *testing.T) {
	host := standin.NewMemoryNetwork(time.Millisecond, 0).Host("d", "r", 0)
	address := netip.MustParseAddrPort("127.0.0.1:1")
	platform := standin.NewPlatform()
	server, err := standin.Serve(t.Context(), host, address, platform)
	if err != nil {
		t.Fatal(err)
	}
	store := storer.New(storer.Config{Network: host, Address: address, Timeout: time.Second})
	ctx, cancel := context.WithCancel(t.Context())
	watchers := tt.start(ctx, store)
	time.Sleep(9 * time.Second)
	missing := 0
	for n := range documents {
		if _, err := store.Get(ctx, foxtailwharf.KindStatus, watcher.StatusName(document(n).ID)); err != nil {
			missing++
		}
	}
	if writes := platform.Calls().Writes; missing > 0 || writes != documents {
		t.Errorf("%d of %d documents are without a status; %d writes", missing, documents, writes)
	}
	cancel()
	for _, w := range watchers {
		<-w.Done()
	}
	store.Close()
	server.Close()
	time.Sleep(time.Minute)
}

// start starts the watchers of the entries that are not leaving. All of them know all documents.
func (tt statusTest) start(ctx context.Context, store foxtailwharf.ObjectStore) (watchers []*watcher.Watcher) {
	r := registrar.New()
	for n := range documents {
		r.Accept(document(n))
	}
	var entries []foxtailwharf.Instance
	for n := range tt.domains * tt.entriesPerDomain {
		entries = append(entries, foxtailwharf.Instance{
			Name: fmt.Sprint("entry-", n), FailureDomain: fmt.Sprint("d", n%tt.domains), IsLeaving: n < tt.leaving,
		})
	}
	for _, e := range entries[tt.leaving:] {
		w := watcher.New(watcher.Config{
			Store: store, Registrar: r, Self: e, Entries: func() []foxtailwharf.Instance { return entries }, Log: zap.NewNop(),
		})
		w.Start(ctx)
		watchers = append(watchers, w)
	}
	return watchers
}
