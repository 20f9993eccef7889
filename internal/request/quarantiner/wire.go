package quarantiner

import (
	"time"

	"github.com/foxtailwharf/foxtailwharf/wire"
)

// ToWire converts bans to messages.
func ToWire(bans []Ban) (messages []wire.Quarantine) {
	for _, ban := range bans {
		messages = append(messages, wire.Quarantine{
			Digest:          ban.Digest,
			Upstreams:       ban.Upstreams,
			AgeMillis:       ban.Age.Milliseconds(),
			RemainingMillis: ban.Remaining.Milliseconds(),
		})
	}
	return messages
}

// FromWire converts messages to bans.
func FromWire(messages []wire.Quarantine) (bans []Ban) {
	for _, m := range messages {
		bans = append(bans, Ban{
			Digest:    m.Digest,
			Upstreams: m.Upstreams,
			Age:       time.Duration(m.AgeMillis) * time.Millisecond,
			Remaining: time.Duration(m.RemainingMillis) * time.Millisecond,
		})
	}
	return bans
}
