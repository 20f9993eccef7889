package distributor

import (
	"slices"
	"time"

	"github.com/foxtailwharf/foxtailwharf"
	"github.com/foxtailwharf/foxtailwharf/internal/process/follower"
	"github.com/foxtailwharf/foxtailwharf/internal/request/balancer"
)

// Agents of other failure domains are on standby while the engines of the own domain have room: they get a notice every
// few seconds and answer it with one report. Otherwise they report continuously, as long as the entry may need them.
const (
	// farWantTime is how long reports of other domains are wanted after a call found no capacity, and lowWantTime after a
	// round of notices found little in the own domain.
	farWantTime = 3 * time.Second
	lowWantTime = 1500 * time.Millisecond
	// minFreeFraction is the fraction of the slots of the own domain's engines below which free ones count as few.
	minFreeFraction = 0.5
	// maxFarInterval is the longest time between two notices to an agent on standby. In small domains it is shorter: they
	// have one entry or a few that get the reports of an agent.
	maxFarInterval = 3 * time.Second
	// entriesPerInterval is the number of entries of a domain for which the time grows by noticeInterval.
	entriesPerInterval = 4
)

// farNotices is the state of the notices to agents of other failure domains.
type farNotices struct {
	sentAt    time.Time
	isStandby bool
	releases  []foxtailwharf.Release // that the last ones named
}

// farRound is whether a round of notices includes agents of other failure domains.
type farRound struct {
	isDue     bool
	isStandby bool
}

// wantFarReports makes agents of other failure domains report continuously, since a call has found no capacity.
func (d *Distributor) wantFarReports() {
	now := time.Now()
	if d.extendFarWanted(now.Add(farWantTime)) < now.UnixNano() {
		d.notifySoon()
	}
}

// extendFarWanted makes the reports wanted until a time at the least, and returns until when they were before.
func (d *Distributor) extendFarWanted(until time.Time) (before int64) {
	for {
		before = d.farWantedUntil.Load()
		if before >= until.UnixNano() || d.farWantedUntil.CompareAndSwap(before, until.UnixNano()) {
			return before
		}
	}
}

// farRound decides whether the round of notices that begins now includes agents of other failure domains. Releases
// and the end of a standby are told at once.
func (d *Distributor) farRound(now time.Time, v follower.View) (round farRound) {
	var needsFar bool
	d.assigner.Update(func(b *balancer.Balancer) { needsFar = b.NeedsFar(now, minFreeFraction) })
	if needsFar {
		d.extendFarWanted(now.Add(lowWantTime))
	}
	round.isStandby = d.farWantedUntil.Load() < now.UnixNano()
	d.mu.Lock()
	defer d.mu.Unlock()
	last := d.farNotices
	interval := d.farInterval()
	if !round.isStandby {
		interval = noticeInterval
	}
	round.isDue = now.Sub(last.sentAt) >= interval || (last.isStandby && !round.isStandby) || !slices.Equal(last.releases, v.Releases)
	if round.isDue {
		d.farNotices = farNotices{sentAt: now, isStandby: round.isStandby, releases: v.Releases}
	}
	return round
}

// farInterval returns the time between two notices to an agent on standby. The caller must hold d.mu.
func (d *Distributor) farInterval() time.Duration {
	near := 1
	for _, e := range d.entries {
		if e.domain == d.c.Settings.FailureDomain {
			near++
		}
	}
	return min(noticeInterval*time.Duration(max(near/entriesPerInterval, 1)), maxFarInterval)
}
