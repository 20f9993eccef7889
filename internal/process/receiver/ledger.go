package receiver

import (
	"time"

	"github.com/foxtailwharf/foxtailwharf/internal/request/admitter"
	"github.com/foxtailwharf/foxtailwharf/internal/request/quarantiner"
	"github.com/foxtailwharf/foxtailwharf/wire"
)

// ledger is what the entry shares with others beside instances and documents.
type ledger struct {
	r *Receiver
}

// Usage returns the entry's own demand.
func (l *ledger) Usage() (usage []wire.Usage) {
	l.r.mu.Lock()
	defer l.r.mu.Unlock()
	for _, u := range l.r.admitter.Usage(time.Now()) {
		usage = append(usage, wire.Usage{Flow: u.Flow, Rate: u.Rate})
	}
	return usage
}

// HearUsage takes in the demand of another entry.
func (l *ledger) HearUsage(peer string, usage []wire.Usage) {
	heard := make([]admitter.Usage, 0, len(usage))
	for _, u := range usage {
		heard = append(heard, admitter.Usage{Flow: u.Flow, Rate: u.Rate})
	}
	count := l.r.gossiper.EntryCount()
	l.r.mu.Lock()
	defer l.r.mu.Unlock()
	l.r.admitter.SetEntries(count)
	l.r.admitter.Hear(time.Now(), peer, heard)
}

// Bans returns what is held against requests.
func (l *ledger) Bans() []wire.Quarantine {
	return quarantiner.ToWire(l.r.relayer.Bans())
}

// HearBans takes in what another entry holds against requests.
func (l *ledger) HearBans(bans []wire.Quarantine) {
	for _, ban := range quarantiner.FromWire(bans) {
		l.r.relayer.HearBan(ban)
	}
}
