package distributor

import (
	"net/netip"
	"time"

	"github.com/foxtailwharf/foxtailwharf/internal/request/balancer"
	"github.com/foxtailwharf/foxtailwharf/wire"
)

// otherEntry is another entry, as an agent or an entry last listed it.
type otherEntry struct {
	domain   string // failure domain
	lastSeen time.Time
	sequence uint64 // place in the order in which this entry first heard of the others
}

// listedEntry is an entry in a list of an agent or an entry.
type listedEntry struct {
	address netip.AddrPort
	domain  string // failure domain
}

// entriesOf returns the entries of a message. It leaves out what is no address.
func entriesOf(domains []wire.FleetDomain) (list []listedEntry) {
	for _, domain := range domains {
		for _, text := range domain.Members {
			if address, err := netip.ParseAddrPort(text); err == nil {
				list = append(list, listedEntry{address: address, domain: domain.Name})
			}
		}
	}
	return list
}

// handleEntries records the listed entries and adjusts what depends on which ones there are.
func (d *Distributor) handleEntries(list []listedEntry) {
	if len(list) == 0 {
		return
	}
	count, isChanged := d.recordEntries(list)
	if !isChanged {
		return
	}
	d.forwarder.SetRetryExtra(d.retryExtra(count))
	d.assigner.Update(func(b *balancer.Balancer) { b.SetEntries(count) })
}

// recordEntries records the listed entries and forgets those that were last listed more than entryTTL ago. It
// returns the number of known entries, including this one, and whether it may be another one than before.
func (d *Distributor) recordEntries(list []listedEntry) (count int, isChanged bool) {
	self := d.c.Settings.PeerAddress(d.c.Settings.Address)
	now := time.Now()
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, e := range list {
		if e.address != self && d.recordEntry(now, e) {
			isChanged = true
		}
	}
	if now.Sub(d.expiredAt) >= expiryInterval {
		d.expiredAt = now
		d.expireEntries(now)
		isChanged = true // so that a number which another call has overtaken is corrected
	}
	if isChanged {
		d.delegator.SetEntries(d.nearEntries())
	}
	return len(d.entries) + 1, isChanged
}

// recordEntry records that another entry is listed, and reports whether it is new. The caller must hold d.mu.
func (d *Distributor) recordEntry(now time.Time, listed listedEntry) (isNew bool) {
	e, isKnown := d.entries[listed.address]
	isNew = !isKnown || e.domain != listed.domain
	if !isKnown {
		d.entrySequence++
		e.sequence = d.entrySequence
	}
	e.domain, e.lastSeen = listed.domain, now
	d.entries[listed.address] = e
	return isNew
}

// expireEntries forgets the entries that were last listed more than entryTTL ago. The caller must hold d.mu.
func (d *Distributor) expireEntries(now time.Time) {
	for address, e := range d.entries {
		if now.Sub(e.lastSeen) > entryTTL {
			delete(d.entries, address)
		}
	}
}

// nearEntries returns the other entries of the own failure domain. The caller must hold d.mu.
func (d *Distributor) nearEntries() (near []netip.AddrPort) {
	for address, e := range d.entries {
		if e.domain == d.c.Settings.FailureDomain {
			near = append(near, address)
		}
	}
	return near
}

// otherEntries returns the addresses of the known entries without this one.
func (d *Distributor) otherEntries() (list []netip.AddrPort) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for address := range d.entries {
		list = append(list, address)
	}
	return list
}
