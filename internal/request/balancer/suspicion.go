package balancer

import (
	"time"

	"github.com/foxtailwharf/foxtailwharf"
)

// maxSilence is how long a sound upstream may fail to answer its agent, from the first report of it, or to take
// connections.
const maxSilence = 2 * time.Second

// IsSuspect reports whether a recent report says that an upstream does not answer its agent. It may be
// silent for a while, or take no new connections, and still answer the calls that it has.
func (b *Balancer) IsSuspect(now time.Time, id string) bool {
	u := b.byID[id]
	return u != nil && u.reportAge(now) <= loadLifetime && u.load.IsDown && !u.IsDraining && !u.isLeaving
}

// IsLost reports whether an upstream may have ended, or does not answer its agent and is not silent as a sound one may
// be, or whether the list shows a younger run, or a younger upstream at its address. Together with a broken connection
// this tells that it has crashed.
func (b *Balancer) IsLost(now time.Time, sentTo foxtailwharf.Upstream) bool {
	if b.MayHaveEnded(now, sentTo) {
		return true
	}
	u := b.byID[sentTo.ID]
	if u != nil && (u.isOlder || u.Born.After(sentTo.Born)) && !u.isConfirmed(now, sentTo.Born) {
		return true
	}
	return b.IsSuspect(now, sentTo.ID) && u.silenceEnd(now).IsZero()
}

// SilenceEnd returns until when an upstream may go on that could take the call but does not answer its agent; zero
// if none may.
func (b *Balancer) SilenceEnd(now time.Time, req Requirements) time.Time {
	return b.newPicker(now, &req).silenceEnd
}

// MayBeReached reports whether an upstream that took no connection may be sound, since that has not lasted for
// longer than such a one may be silent.
func (b *Balancer) MayBeReached(now time.Time, id string) bool {
	u := b.byID[id]
	return u != nil && now.Sub(u.unreachedSince) < maxSilence
}

// recordUnreached records that the upstream took no connection in time.
func (u *upstream) recordUnreached(now time.Time) {
	if now.Sub(u.unreachedAt) > maxSilence {
		u.unreachedSince = now
	}
	u.unreachedAt = now
}

// recordDown records since when the reports of a run say that it is down.
func (u *upstream) recordDown(now time.Time, isOtherRun bool) {
	switch {
	case !u.load.IsDown:
		u.downSince = time.Time{}
	case u.downSince.IsZero() || isOtherRun:
		u.downSince = now
	}
}

// silenceEnd returns until when an upstream that does not answer its agent in time may be sound; zero if it
// answers, is known to be down, or has been silent for longer than a sound one.
func (u *upstream) silenceEnd(now time.Time) time.Time {
	end := u.downSince.Add(maxSilence)
	if !u.load.IsDown || !u.load.IsSilent || u.load.IsLoading || !now.Before(end) {
		return time.Time{}
	}
	return end
}
