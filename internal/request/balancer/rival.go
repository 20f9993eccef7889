package balancer

import (
	"maps"
	"net/netip"
	"time"

	"github.com/foxtailwharf/foxtailwharf"
)

// Several upstreams may be listed at one address: the older ones have ended and their records have not expired yet, or
// another writer has left a record that is wrong. The list does not tell which; the agent beside the upstream and the
// connection of each call do. An upstream that gets a call which is meant for another one says that it did not run it.

// markRivals marks two upstreams that are listed at one address and returns the younger one.
func markRivals(first, second *upstream) *upstream {
	if first == nil {
		return second
	}
	first.hasRival, second.hasRival = true, true
	if first.Born.After(second.Born) {
		return first
	}
	return second
}

// reportedAddress returns the address on a machine of the upstream that its agent reports with a start. Where the list
// does not have that start, it is the address of the last one that it had.
func (b *Balancer) reportedAddress(machine netip.Addr, born time.Time) netip.AddrPort {
	found := reportedRun(b.byMachine[machine], born)
	if found == nil {
		return netip.AddrPort{}
	}
	if found.Born.UnixMilli() == born.UnixMilli() {
		b.reported[machine] = found.Address
	}
	if known, isKnown := b.reported[machine]; isKnown {
		return known
	}
	return found.Address
}

// reportedRun returns the one of the upstreams on a machine that its agent reports with a start; nil for none. The list
// may not have the newest start yet, so that the youngest that is not younger is taken, or else the youngest of all.
func reportedRun(listed []*upstream, born time.Time) (found *upstream) {
	for _, u := range listed {
		if found == nil || isCloser(u, found, born) {
			found = u
		}
	}
	return found
}

// isCloser reports whether a is at least as likely as b to be the upstream that is reported with a start.
func isCloser(a, b *upstream, born time.Time) bool {
	isAfter, wasAfter := isYounger(a.Born, born), isYounger(b.Born, born)
	if isAfter != wasAfter {
		return wasAfter
	}
	if a.Born.Equal(b.Born) {
		// Only engines have agents.
		return a.Weights > 0 || b.Weights == 0
	}
	return a.Born.After(b.Born)
}

// isYounger compares starts as agents report them, in milliseconds.
func isYounger(a, b time.Time) bool {
	return a.UnixMilli() > b.UnixMilli()
}

// hasAgentSeen reports whether the agent has told the start of what runs at the address.
func (u *upstream) hasAgentSeen() bool {
	return !u.reportedAt.IsZero() && !u.load.Born.IsZero()
}

// isReplaced reports whether the agent has seen a younger upstream at the address, where another one is listed.
func (u *upstream) isReplaced() bool {
	return u.hasRival && u.hasAgentSeen() && isYounger(u.load.Born, u.Born)
}

// isDoubtful reports whether another upstream may be at the address. The age is that of the last report.
func (u *upstream) isDoubtful(age time.Duration) bool {
	switch {
	case !u.hasRival:
		return false
	case u.hasAgentSeen() && !u.load.IsDown && age <= loadLifetime:
		return isYounger(u.Born, u.load.Born)
	default:
		return u.isOlder
	}
}

// isConfirmed reports whether the agent sees a run of the upstream, which then has not ended, whatever the list says.
func (u *upstream) isConfirmed(now, born time.Time) bool {
	return u.hasAgentSeen() && !u.load.IsDown && u.reportAge(now) <= loadLifetime && u.load.Born.UnixMilli() == born.UnixMilli()
}

// knownRun is the youngest run of an upstream that its agent has reported.
type knownRun struct {
	bornMillis int64
	since      time.Time // when it was first reported
	isRestart  bool      // an older run was reported before
}

// recordRun records the run of an upstream that its agent reports.
func (b *Balancer) recordRun(now time.Time, u *upstream) {
	last, isKnown := b.reportedRuns[u.ID]
	born := u.load.Born.UnixMilli()
	if !u.load.Born.IsZero() && (!isKnown || born > last.bornMillis) {
		b.reportedRuns[u.ID] = knownRun{bornMillis: born, since: now, isRestart: isKnown}
	}
}

// forgetRuns drops the runs of upstreams that are not listed if they are too many.
func (b *Balancer) forgetRuns() {
	if len(b.reportedRuns) > len(b.byID)+maxStatements {
		maps.DeleteFunc(b.reportedRuns, func(id string, _ knownRun) bool { return b.byID[id] == nil })
	}
}

// HasEnded reports whether the run of an upstream to which a call was sent at a time has ended: its agent reports a restart
// that it did not report before that time, and that is younger than the run to which the call was sent. Records show nothing, and neither does a first report: the record by which the
// call was sent may have come from another writer, or from an older copy of the store, and told a wrong start.
func (b *Balancer) HasEnded(now time.Time, sentTo foxtailwharf.Upstream, sentAt time.Time) bool {
	u := b.byID[sentTo.ID]
	if u == nil || u.reportAge(now) > loadLifetime {
		return false
	}
	r := b.reportedRuns[u.ID]
	return r.isRestart && r.since.After(sentAt) && r.bornMillis > sentTo.Born.UnixMilli()
}

// MayHaveEnded reports whether the list or the agent of an upstream tell of a younger run than the one that a call was
// sent to, and the agent does not contradict it. The call itself may be at that run, if a wrong start was known of it.
func (b *Balancer) MayHaveEnded(now time.Time, sentTo foxtailwharf.Upstream) bool {
	u := b.byID[sentTo.ID]
	switch {
	case u == nil || u.isConfirmed(now, sentTo.Born):
		return false
	case u.reportAge(now) <= loadLifetime && isYounger(u.load.Born, sentTo.Born):
		return true
	default:
		return u.Address == sentTo.Address && u.Born.After(sentTo.Born)
	}
}
