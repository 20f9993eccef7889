package distributor

import (
	"context"
	"net/netip"
	"time"

	"go.uber.org/zap"

	"github.com/foxtailwharf/foxtailwharf/internal/connection/messenger"
	"github.com/foxtailwharf/foxtailwharf/internal/process/pauser"
	"github.com/foxtailwharf/foxtailwharf/wire"
)

// methodMeet is the method by which entries that start make themselves known.
const methodMeet = "Meet"

// Constants of meeting at the start.
const (
	// meetTime is how long a process that starts waits to hear of the others before it reads
	// the store: after a power cut all start together, and what they read would fill the links
	// to the store's region.
	meetTime = 250 * time.Millisecond
	// meetInterval is the time between two rounds of meeting, and meetRounds their number:
	// those that start a little later are heard of in the next.
	meetInterval = 150 * time.Millisecond
	meetRounds   = 8
	// meetAnswer bounds one question.
	meetAnswer = 400 * time.Millisecond
)

// meeting makes the entry known to the seeds at its start.
type meeting struct {
	d    *Distributor
	done chan struct{}
}

func (m *meeting) run(ctx context.Context) {
	defer close(m.done)
	for range meetRounds {
		var greetings []*greeting
		for _, seed := range m.d.c.Settings.Seeds {
			g := &greeting{d: m.d, seed: m.d.c.Settings.Peers(seed.Addr()), done: make(chan struct{})}
			greetings = append(greetings, g)
			go g.run(ctx)
		}
		for _, g := range greetings {
			<-g.done
		}
		if !pauser.Sleep(ctx, meetInterval) {
			return
		}
	}
}

// greeting is one question to one seed.
type greeting struct {
	d    *Distributor
	seed netip.AddrPort
	done chan struct{}
}

func (g *greeting) run(ctx context.Context) {
	defer close(g.done)
	g.d.meet(ctx, g.seed)
}

func (m *meeting) ended() <-chan struct{} {
	return m.done
}

// meet asks one entry for those that it knows. A seed may be gone.
func (d *Distributor) meet(ctx context.Context, seed netip.AddrPort) {
	self := d.c.Settings.Peers(d.c.Settings.Address)
	if seed == self {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, meetAnswer)
	defer cancel()
	known, err := messenger.Call[wire.FleetMeeting](ctx, d.client, seed, methodMeet, wire.FleetMeeting{
		Entries: []wire.FleetDomain{{Name: d.c.Settings.FailureDomain, Members: []string{self.String()}}},
	})
	if err != nil {
		d.c.Log.Debug("entry: A seed does not answer.", zap.Stringer("Seed", seed), zap.Error(err))
		return
	}
	d.hearEntries(known.Entries)
	d.mu.Lock()
	d.meetBy = time.Time{}
	d.mu.Unlock()
}

// hearMeeting answers an entry that starts with those that this one knows.
func (d *Distributor) hearMeeting(_ context.Context, m wire.FleetMeeting) (wire.FleetMeeting, error) {
	d.hearEntries(m.Entries)
	byDomain := map[string][]string{d.c.Settings.FailureDomain: {d.c.Settings.Peers(d.c.Settings.Address).String()}}
	d.mu.Lock()
	defer d.mu.Unlock()
	for address, e := range d.entries {
		byDomain[e.domain] = append(byDomain[e.domain], address.String())
	}
	return wire.FleetMeeting{Entries: listDomains(byDomain)}, nil
}
