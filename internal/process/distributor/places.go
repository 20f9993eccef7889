package distributor

import (
	"encoding/json"
	"net/netip"
	"time"

	"go.uber.org/zap"

	"github.com/foxtailwharf/foxtailwharf/internal/connection/notifier"
	"github.com/foxtailwharf/foxtailwharf/internal/request/assigner"
	"github.com/foxtailwharf/foxtailwharf/wire"
)

// tell passes on to an agent what it should know of calls for its engine.
func (d *Distributor) tell(n assigner.Note) {
	to := d.c.Settings.Peers(n.Upstream.Address.Addr())
	switch n.Kind {
	case assigner.NotePlaced:
		d.notifier.Send(to, notifier.KindPlacement, wire.FleetPlacement{Call: n.Call, Tokens: n.Ask.Want.Tokens})
	case assigner.NoteEnded:
		d.notifier.Send(to, notifier.KindEnding, nil)
	case assigner.NoteWaiting:
		now := time.Now()
		d.notifier.Send(to, notifier.KindWant, wire.FleetWant{
			Call:             n.Call,
			Route:            n.Ask.Rank.Route,
			Account:          n.Ask.Rank.Account,
			WaitedMillis:     now.Sub(n.Ask.Arrived).Milliseconds(),
			OnTimeMillis:     n.Ask.OnTime.Sub(now).Milliseconds(),
			Room:             int(n.Ask.Want.Room),
			MaxReadingMillis: n.Ask.Want.MaxReading.Milliseconds(),
		})
	}
}

// hearGrant takes a place that an agent grants, or declines it.
func (d *Distributor) hearGrant(from netip.AddrPort, data []byte) {
	var grant wire.FleetGrant
	if err := json.Unmarshal(data, &grant); err != nil {
		d.c.Log.Debug("entry: A grant cannot be read.", zap.Stringer("From", from), zap.Error(err))
		return
	}
	if !d.assigner.Grant(from.Addr(), grant.Call) {
		d.notifier.Send(from, notifier.KindDecline, grant)
	}
}
