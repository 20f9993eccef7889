package isolator

import (
	"slices"
	"time"

	"github.com/foxtailwharf/foxtailwharf/wire"
)

// crashesToWire converts crashes to messages.
func crashesToWire(crashes []Crash) (messages []wire.PartCrash) {
	for _, c := range crashes {
		messages = append(messages, wire.PartCrash{Upstream: c.Upstream, AgeMillis: c.Age.Milliseconds(), Parts: c.Parts, Begun: c.Begun})
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
		messages = append(messages, wire.PartBan{Parts: b.Parts, AgeMillis: b.Age.Milliseconds(), RemainingMillis: b.Remaining.Milliseconds(), EarlyTrials: b.EarlyTrials})
	}
	return messages
}

// ToWire converts evidence to a message.
func ToWire(e Evidence) wire.FleetWarning {
	return wire.FleetWarning{Crashes: crashesToWire(e.Crashes), Breaks: crashesToWire(e.Breaks), Proofs: proofsToWire(e.Proofs), PartBans: BansToWire(e.Bans)}
}

// FromWire converts the evidence in a message.
func FromWire(w wire.FleetWarning) (e Evidence) {
	e.Crashes, e.Breaks = crashesFromWire(w.Crashes), crashesFromWire(w.Breaks)
	for _, m := range w.Proofs {
		e.Proofs = append(e.Proofs, Proof{Part: m.Part, Age: time.Duration(m.AgeMillis) * time.Millisecond})
	}
	e.Bans = BansFromWire(w.PartBans)
	return e
}

// crashesFromWire converts messages to crashes.
func crashesFromWire(messages []wire.PartCrash) (crashes []Crash) {
	for _, m := range messages {
		crashes = append(crashes, Crash{Upstream: m.Upstream, Age: time.Duration(m.AgeMillis) * time.Millisecond, Parts: m.Parts, Begun: m.Begun})
	}
	return crashes
}

// BansFromWire converts messages to bans.
func BansFromWire(messages []wire.PartBan) (bans []Ban) {
	for _, m := range messages {
		bans = append(bans, Ban{
			Parts: slices.Sorted(slices.Values(m.Parts)), Age: time.Duration(m.AgeMillis) * time.Millisecond, Remaining: time.Duration(m.RemainingMillis) * time.Millisecond,
			EarlyTrials: m.EarlyTrials,
		})
	}
	return bans
}
