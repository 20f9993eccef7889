package timekeeper

import (
	"slices"
	"time"

	"github.com/foxtailwharf/foxtailwharf/wire"
)

// ToWire converts releases to a message that is sent at now. Model is empty where the message names
// the model.
func ToWire(now time.Duration, model string, list []Named) (messages []wire.NamedRelease) {
	for _, n := range list {
		messages = append(messages, wire.NamedRelease{
			Model: model, Version: n.Version, AgeMillis: (now - n.At).Milliseconds(), IsGuess: n.IsGuess,
		})
	}
	return messages
}

// FromWire converts a message that arrived at a time. A release may seem to have been named later than
// it was, by the time that the message took, and never earlier: processes that tell each other ever
// earlier times would not stop.
func FromWire(arrived time.Duration, messages []wire.NamedRelease) (list []Named) {
	for _, m := range messages {
		list = append(list, Named{Version: m.Version, At: arrived - time.Duration(m.AgeMillis)*time.Millisecond, IsGuess: m.IsGuess})
	}
	return list
}

// FromList converts the newest release in a message that arrived at a time, and those before it. Without
// hasEarlier the sender may not know of others before the newest, whose time then does not count.
func FromList(arrived time.Duration, newest wire.NamedRelease, earlier []wire.NamedRelease, hasEarlier bool) []Named {
	if !hasEarlier {
		return []Named{{Version: newest.Version, At: arrived, IsGuess: true}}
	}
	return FromWire(arrived, append(slices.Clone(earlier), newest))
}
