package distributor

import (
	"context"
	"net/netip"
	"time"

	"go.uber.org/zap"

	"github.com/foxtailwharf/foxtailwharf/internal/connection/messenger"
	"github.com/foxtailwharf/foxtailwharf/internal/process/sleeper"
	"github.com/foxtailwharf/foxtailwharf/internal/request/quarantiner"
	"github.com/foxtailwharf/foxtailwharf/wire"
)

// methodWarn is the RPC method with which entries share bans of requests that crash upstreams.
const methodWarn = "Warn"

// Timing and size of warnings.
const (
	// warnInterval is the time between two rounds of warnings. An entry that has not received a
	// ban may keep sending the request to upstreams; the users allow three seconds for that.
	warnInterval = 300 * time.Millisecond
	// warnTimeout limits the wait for other entries to receive a warning.
	warnTimeout = 150 * time.Millisecond
	// maxWarnBans is the number of bans in one warning. Resets of many connections look like
	// many crashes, and each warning goes to all entries.
	maxWarnBans = 16
)

// banSender sends this entry's new bans to the other entries.
type banSender struct {
	d    *Distributor
	done chan struct{}
}

func (s *banSender) run(ctx context.Context) {
	defer close(s.done)
	for sleeper.Sleep(ctx, warnInterval) {
		s.d.shareBans(ctx)
	}
}

func (s *banSender) ended() <-chan struct{} {
	return s.done
}

// banRequest is one warning to one entry.
type banRequest struct {
	d    *Distributor
	to   netip.AddrPort
	bans []wire.Quarantine
	done chan struct{}
}

func (r *banRequest) run(ctx context.Context) {
	defer close(r.done)
	if _, err := messenger.Call[wire.FleetWarning](ctx, r.d.client, r.to, methodWarn, wire.FleetWarning{Bans: r.bans}); err != nil {
		r.d.c.Log.Debug("entry: another entry did not receive a warning", zap.Stringer("Entry", r.to), zap.Error(err))
	}
}

// shareBans sends new bans to all other entries and waits until they have them, for warnTimeout at
// the most, so that the same request does not crash further upstreams through another entry
// meanwhile.
func (d *Distributor) shareBans(ctx context.Context) {
	bans := quarantiner.ToWire(d.forwarder.TakeUnsentBans(maxWarnBans))
	if len(bans) == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, warnTimeout)
	defer cancel()
	var requests []*banRequest
	for _, to := range d.otherEntries() {
		r := &banRequest{d: d, to: to, bans: bans, done: make(chan struct{})}
		requests = append(requests, r)
		go r.run(ctx)
	}
	for _, r := range requests {
		<-r.done
	}
}

// handleWarn records the bans of another entry.
func (d *Distributor) handleWarn(_ context.Context, warning wire.FleetWarning) (wire.FleetWarning, error) {
	for _, ban := range quarantiner.FromWire(warning.Bans) {
		d.forwarder.MergeBan(ban)
	}
	return wire.FleetWarning{}, nil
}
