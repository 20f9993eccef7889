package distributor

import (
	"context"
	"net/netip"
	"time"

	"go.uber.org/zap"

	"github.com/foxtailwharf/foxtailwharf/internal/connection/messenger"
	"github.com/foxtailwharf/foxtailwharf/internal/process/pauser"
	"github.com/foxtailwharf/foxtailwharf/internal/request/quarantiner"
	"github.com/foxtailwharf/foxtailwharf/wire"
)

// methodWarn is the method by which entries tell each other of requests that crash upstreams.
const methodWarn = "Warn"

// Constants of warnings.
const (
	// warnInterval is the time between two warnings. An entry that has not heard of a death
	// may send the request on for less than the users' three seconds.
	warnInterval = 300 * time.Millisecond
	// warnTime bounds the wait until others have heard a warning.
	warnTime = 150 * time.Millisecond
	// warnBans is the number of requests that one warning names: resets of many connections
	// look like many deaths, and each warning goes to all entries.
	warnBans = 16
)

// warner tells the other entries what this one finds out against requests.
type warner struct {
	d    *Distributor
	done chan struct{}
}

func (w *warner) run(ctx context.Context) {
	defer close(w.done)
	for pauser.Sleep(ctx, warnInterval) {
		w.d.warn(ctx)
	}
}

func (w *warner) ended() <-chan struct{} {
	return w.done
}

// warning is one warning on its way to one entry.
type warning struct {
	d    *Distributor
	to   netip.AddrPort
	bans []wire.Quarantine
	done chan struct{}
}

func (w *warning) run(ctx context.Context) {
	defer close(w.done)
	if _, err := messenger.Call[wire.FleetWarning](ctx, w.d.client, w.to, methodWarn, wire.FleetWarning{Bans: w.bans}); err != nil {
		w.d.c.Log.Debug("entry: Another entry did not hear a warning.", zap.Stringer("Entry", w.to), zap.Error(err))
	}
}

// warn tells all other entries what they have not heard, so that a request which comes
// through another entry meanwhile does not end upstreams of its own.
func (d *Distributor) warn(ctx context.Context) {
	bans := quarantiner.ToWire(d.forwarder.News(warnBans))
	if len(bans) == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, warnTime)
	defer cancel()
	var warnings []*warning
	for _, to := range d.otherEntries() {
		w := &warning{d: d, to: to, bans: bans, done: make(chan struct{})}
		warnings = append(warnings, w)
		go w.run(ctx)
	}
	for _, w := range warnings {
		<-w.done
	}
}

// hearWarning takes in what another entry found out.
func (d *Distributor) hearWarning(_ context.Context, heard wire.FleetWarning) (wire.FleetWarning, error) {
	for _, ban := range quarantiner.FromWire(heard.Bans) {
		d.forwarder.HearBan(ban)
	}
	return wire.FleetWarning{}, nil
}
