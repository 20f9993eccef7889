package isolator

import (
	"time"

	"github.com/foxtailwharf/foxtailwharf/wire"
)

// crashesToWire converts crashes to messages.
func crashesToWire(crashes []Crash) (messages []wire.PartCrash) {
	for _, c := range crashes {
		m := wire.PartCrash{Upstream: c.Upstream, AgeMillis: c.Age.Milliseconds()}
		for _, s := range c.Suspects {
			m.Suspects = append(m.Suspects, wire.PartSuspect{Part: s.Part, Depth: s.Depth})
		}
		messages = append(messages, m)
	}
	return messages
}

// proofsToWire converts proofs to messages.
func proofsToWire(proofs []Proof) (messages []wire.PartProof) {
	for _, p := range proofs {
		messages = append(messages, wire.PartProof{Part: p.Part, AgeMillis: p.Age.Milliseconds()})
	}
	return messages
}

// BansToWire converts bans to messages.
func BansToWire(bans []Ban) (messages []wire.PartBan) {
	for _, b := range bans {
		messages = append(messages, wire.PartBan{Part: b.Part, AgeMillis: b.Age.Milliseconds(), RemainingMillis: b.Remaining.Milliseconds()})
	}
	return messages
}

// ToWire converts evidence to a message.
func ToWire(e Evidence) wire.FleetWarning {
	return wire.FleetWarning{Crashes: crashesToWire(e.Crashes), Proofs: proofsToWire(e.Proofs), PartBans: BansToWire(e.Bans)}
}

// FromWire converts the evidence in a message.
func FromWire(w wire.FleetWarning) (e Evidence) {
	for _, m := range w.Crashes {
		c := Crash{Upstream: m.Upstream, Age: time.Duration(m.AgeMillis) * time.Millisecond}
		for _, s := range m.Suspects {
			c.Suspects = append(c.Suspects, Suspect{Part: s.Part, Depth: s.Depth})
		}
		e.Crashes = append(e.Crashes, c)
	}
	for _, m := range w.Proofs {
		e.Proofs = append(e.Proofs, Proof{Part: m.Part, Age: time.Duration(m.AgeMillis) * time.Millisecond})
	}
	e.Bans = BansFromWire(w.PartBans)
	return e
}

// BansFromWire converts messages to bans.
func BansFromWire(messages []wire.PartBan) (bans []Ban) {
	for _, m := range messages {
		bans = append(bans, Ban{
			Part: m.Part, Age: time.Duration(m.AgeMillis) * time.Millisecond, Remaining: time.Duration(m.RemainingMillis) * time.Millisecond,
		})
	}
	return bans
}
