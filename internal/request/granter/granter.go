// Package granter grants calls to upstreams that have named a limit for all processes together. One
// entry keeps the limit of an upstream; the others ask it for a permit before each call. It answers a
// load of many entries with few calls each: a share for each entry would round to nothing, or leave the
// calls of an entry with more than its share unsent below the limit. The package does no I/O and reads
// no clock.
package granter

import (
	"math/rand/v2"
	"net/netip"
	"time"

	"github.com/foxtailwharf/foxtailwharf"
)

const (
	// minRate is the fewest calls a second that are granted, also below a lower limit: without a call
	// there would be no response that could lift it.
	minRate = 0.1
	// burst is the number of permits that may be granted at once, beyond the first, after a pause.
	burst = 3
	// maxAhead bounds how far ahead of its time a permit is granted.
	maxAhead = time.Second
	// maxFirstWait bounds the time until the first permit of a limit that was not kept here before.
	maxFirstWait = time.Second
	// askerLifetime is how long an entry counts as one that asks for permits: it may wait for maxSpread.
	askerLifetime = maxSpread
	// minRetry is the shortest time until an entry asks again, and maxSpread bounds the time over which
	// the entries that ask are spread. Together they ask askExcess times as often as permits fall due, so
	// that few are left over, but no more than maxAsks times a second.
	minRetry  = 50 * time.Millisecond
	maxSpread = 15 * time.Second
	askExcess = 4
	maxAsks   = 60
	// recordLifetime is how long a limit is kept after it was last asked for.
	recordLifetime = time.Minute
	// batchTime is the time in which the permits of one answer fall due, if there are several.
	batchTime = 80 * time.Millisecond
	// announcements is how often a limit, or its end, is announced, announceInterval apart.
	announcements    = 2
	announceInterval = time.Second
)

// Config holds the settings of a Granter.
type Config struct {
	Random *rand.Rand
}

// Granter keeps the limits of some upstreams. It is not safe for concurrent use.
type Granter struct {
	c       Config
	records map[subject]*record
}

// subject is one run of an upstream.
type subject struct {
	upstream   string
	bornMillis int64
}

// record is the limit of one upstream.
type record struct {
	limit       foxtailwharf.NamedLimit
	saidAt      time.Time                    // when the upstream said so
	next        time.Time                    // when the next permit falls due
	askers      map[netip.AddrPort]time.Time // when each entry last asked for a permit
	askedAt     time.Time
	announced   int
	announcedAt time.Time
}

// New returns a granter that knows of no limit.
func New(c Config) *Granter {
	return &Granter{c: c, records: make(map[subject]*record)}
}

// Ask answers an entry's request. The first permit of a limit that was not kept here before is granted
// as late as if one had just been, since another entry may have kept it until now.
func (g *Granter) Ask(now time.Time, asker netip.AddrPort, r foxtailwharf.PermitRequest) foxtailwharf.Permit {
	key := subject{upstream: r.Limit.Upstream, bornMillis: r.Limit.Born.UnixMilli()}
	k := g.records[key]
	if k == nil {
		k = &record{limit: r.Limit, saidAt: now.Add(-r.Limit.Age), askers: make(map[netip.AddrPort]time.Time)}
		k.next = now.Add(min(k.interval(), maxFirstWait))
		g.records[key] = k
	}
	k.askedAt = now
	k.learn(now, r.Limit)
	switch {
	case k.limit.IsLifted:
		return foxtailwharf.Permit{IsLifted: true}
	case !r.IsWanted:
		return foxtailwharf.Permit{}
	}
	k.next = k.next.Add(-time.Duration(r.Unused) * k.interval())
	k.askers[asker] = now
	return g.grant(now, k, min(r.Within, maxAhead), r.Calls)
}

// grant grants a permit if one falls due within a time, or several if the limit is high.
func (g *Granter) grant(now time.Time, k *record, within time.Duration, calls int) foxtailwharf.Permit {
	interval := k.interval()
	next := later(k.next, now.Add(-burst*interval))
	wait := max(next.Sub(now), 0)
	if wait > within {
		k.forgetAskers(now)
		spread := min(2*time.Duration(len(k.askers))*max(interval/askExcess, time.Second/maxAsks), maxSpread)
		return foxtailwharf.Permit{RetryIn: max(wait, minRetry) + time.Duration(g.c.Random.Float64()*float64(spread))}
	}
	calls = max(min(calls, int(batchTime/interval)), 1)
	k.next = next.Add(time.Duration(calls) * interval)
	return foxtailwharf.Permit{IsGranted: true, Calls: calls, StartsIn: wait}
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// interval returns the time between two permits.
func (k *record) interval() time.Duration {
	return time.Duration(float64(time.Second) / max(k.limit.PerSecond, minRate))
}

// learn takes over what the upstream has said, if it is newer. What changes for the other entries is
// announced: whether there is a limit, not how high it is.
func (k *record) learn(now time.Time, limit foxtailwharf.NamedLimit) {
	saidAt := now.Add(-limit.Age)
	if saidAt.Before(k.saidAt) {
		return
	}
	if k.limit.IsLifted != limit.IsLifted {
		k.announced, k.announcedAt = 0, time.Time{}
	}
	k.limit, k.saidAt = limit, saidAt
}

func (k *record) forgetAskers(now time.Time) {
	for asker, at := range k.askers {
		if now.Sub(at) > askerLifetime {
			delete(k.askers, asker)
		}
	}
}

// TakeAnnouncements returns the limits that all entries should be told now, and forgets those that
// nobody asks for any more.
func (g *Granter) TakeAnnouncements(now time.Time) (limits []foxtailwharf.NamedLimit) {
	for key, k := range g.records {
		if now.Sub(k.askedAt) > recordLifetime {
			delete(g.records, key)
			continue
		}
		if k.announced < announcements && now.Sub(k.announcedAt) >= announceInterval {
			k.announced++
			k.announcedAt = now
			limit := k.limit
			limit.Age = now.Sub(k.saidAt)
			limits = append(limits, limit)
		}
	}
	return limits
}
