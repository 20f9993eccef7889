package provisioner

import (
	"encoding/json"
	"net/netip"
	"time"

	"go.uber.org/zap"

	"github.com/foxtailwharf/foxtailwharf/internal/connection/notifier"
	"github.com/foxtailwharf/foxtailwharf/internal/request/granter"
	"github.com/foxtailwharf/foxtailwharf/internal/request/queuer"
	"github.com/foxtailwharf/foxtailwharf/wire"
)

// hear takes in a datagram of an entry.
func (p *Provisioner) hear(from netip.AddrPort, head notifier.Head, data []byte) {
	arrived := p.c.Clock()
	p.mu.Lock()
	p.gauger.Note(time.Now(), from.Addr(), head.Stamp, arrived)
	p.mu.Unlock()
	var err error
	switch head.Kind {
	case notifier.KindNotice:
		p.hearNotice(from, data)
	case notifier.KindPlacement:
		err = p.hearPlacement(from, data)
	case notifier.KindEnding:
		p.hearEnding()
	case notifier.KindWant:
		err = p.hearWant(from, data)
	case notifier.KindDecline:
		err = p.hearDecline(from, data)
	default:
		p.c.Log.Debug("agent: A datagram is of an unknown kind.", zap.Stringer("From", from), zap.Uint8("Kind", uint8(head.Kind)))
	}
	if err != nil {
		p.c.Log.Debug("agent: A datagram cannot be read.", zap.Stringer("From", from), zap.Error(err))
	}
}

// openPlaces tells the granter whether the engine takes calls. The caller holds the lock.
func (p *Provisioner) openPlaces() {
	p.granter.SetOpen(!p.load.IsLoading && !p.load.IsDown && p.load.Weights != 0)
}

func (p *Provisioner) hearPlacement(from netip.AddrPort, data []byte) error {
	var m wire.FleetPlacement
	if err := json.Unmarshal(data, &m); err != nil {
		return err
	}
	p.mu.Lock()
	p.granter.Placed(time.Now(), granter.Call{Entry: from, Number: m.Call}, m.Tokens)
	p.mu.Unlock()
	p.reporter.signal()
	return nil
}

func (p *Provisioner) hearEnding() {
	p.mu.Lock()
	p.granter.Ended()
	p.mu.Unlock()
	p.grantPlaces()
}

func (p *Provisioner) hearWant(from netip.AddrPort, data []byte) error {
	var m wire.FleetWant
	if err := json.Unmarshal(data, &m); err != nil {
		return err
	}
	now := time.Now()
	p.mu.Lock()
	p.granter.Announce(now, granter.Want{
		Call:       granter.Call{Entry: from, Number: m.Call},
		Rank:       queuer.Rank{Route: m.Route, Account: m.Account},
		Arrived:    now.Add(-time.Duration(m.WaitedMillis) * time.Millisecond),
		OnTime:     now.Add(time.Duration(m.OnTimeMillis) * time.Millisecond),
		Room:       m.Room,
		MaxReading: time.Duration(m.MaxReadingMillis) * time.Millisecond,
	})
	p.mu.Unlock()
	p.grantPlaces()
	return nil
}

func (p *Provisioner) hearDecline(from netip.AddrPort, data []byte) error {
	var m wire.FleetGrant
	if err := json.Unmarshal(data, &m); err != nil {
		return err
	}
	p.mu.Lock()
	p.granter.Declined(granter.Call{Entry: from, Number: m.Call})
	p.mu.Unlock()
	p.grantPlaces()
	return nil
}

// grantPlaces grants the engine's free places to the calls that wait.
func (p *Provisioner) grantPlaces() {
	for {
		p.mu.Lock()
		call, isFound := p.granter.Next(time.Now())
		p.mu.Unlock()
		if !isFound {
			return
		}
		p.notifier.Send(call.Entry, notifier.KindGrant, wire.FleetGrant{Call: call.Number})
	}
}
