package simulator

import (
	"context"
	"encoding/json"
	"time"

	"github.com/pkg/errors"

	"github.com/foxtailwharf/foxtailwharf"
	"github.com/foxtailwharf/foxtailwharf/standin"
)

// Timing and pages of the platform's store.
const (
	storeAnswerTime = 4 * time.Millisecond
	storePageItems  = 500
)

// linkedStore is an entry's view of the store whose answers take the time of the store and of the links to the
// entry. Without limited links it answers at once.
type linkedStore struct {
	foxtailwharf.FleetStore
	f    *Fleet
	host *standin.Host
}

// Read returns the whole state of a subject, page by page.
func (s *linkedStore) Read(ctx context.Context, subject foxtailwharf.FleetSubject) (foxtailwharf.FleetPage, error) {
	if err := s.f.admitRead(); err != nil {
		return foxtailwharf.FleetPage{}, err
	}
	p, err := s.FleetStore.Read(ctx, subject)
	if err != nil {
		return p, err
	}
	return p, s.carry(p)
}

// Follow returns the changes after a revision.
func (s *linkedStore) Follow(ctx context.Context, subject foxtailwharf.FleetSubject, after uint64, wait time.Duration) (foxtailwharf.FleetPage, error) {
	if err := s.f.admitRead(); err != nil {
		return foxtailwharf.FleetPage{}, err
	}
	p, err := s.FleetStore.Follow(ctx, subject, after, wait)
	if err != nil {
		return p, err
	}
	return p, s.carry(p)
}

// carry blocks for as long as the store and the links take for an answer.
func (s *linkedStore) carry(p foxtailwharf.FleetPage) error {
	if s.f.c.Links.StoreReads == 0 {
		return nil
	}
	text, err := json.Marshal(p)
	if err != nil {
		return errors.Wrap(err, "linkedStore.carry")
	}
	pages := 1 + len(p.Upstreams)/storePageItems
	for page := range pages {
		time.Sleep(storeAnswerTime)
		s.host.Transfer(s.f.storeHost, len(text)/pages)
		if page > 0 {
			if err := s.f.admitRead(); err != nil {
				return err
			}
		}
	}
	return nil
}

// admitRead counts a call to the store, which answers so many in a second and turns the others away.
func (f *Fleet) admitRead() error {
	f.mu.Lock()
	defer f.mu.Unlock()
	if now := time.Now(); now.Sub(f.readsSince) >= time.Second {
		f.readsSince, f.reads = now, 0
	}
	f.reads++
	if limit := f.c.Links.StoreReads; limit > 0 && f.reads > limit {
		return standin.ErrStoreUnavailable
	}
	return nil
}
