package distributor

import (
	"cmp"
	"context"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"github.com/foxtailwharf/foxtailwharf"
	"github.com/foxtailwharf/foxtailwharf/internal/connection/messenger"
	"github.com/foxtailwharf/foxtailwharf/internal/request/balancer"
	"github.com/foxtailwharf/foxtailwharf/internal/request/granter"
	"github.com/foxtailwharf/foxtailwharf/wire"
)

// methodPermit is the RPC method with which an entry asks another one for a call to an upstream that
// has named a limit.
const methodPermit = "Permit"

// Timing and limits of the requests for permits.
const (
	// permitTimeout limits a request to one entry, and forwardTimeout one that it forwards.
	permitTimeout  = 300 * time.Millisecond
	forwardTimeout = 120 * time.Millisecond
	// keeperAbsence is how long an entry that has not answered is not asked again. The entries that ask
	// the next one meanwhile and those that reach the first may both get permits for this long.
	keeperAbsence = time.Second
	// maxKeepers is the number of entries that are asked, one after the other.
	maxKeepers = 3
	// noKeeperRetry is when to ask again if none of them has answered.
	noKeeperRetry = 500 * time.Millisecond
	// maxUnused bounds the unused permits that one request can give back.
	maxUnused = balancer.MaxBatch
)

var errNoKeeper = errors.New("no entry that could keep the limit answers")

// limitKeeper asks for permits, and grants those of the limits that this entry keeps. The entries of
// an upstream's failure domain keep its limit before all others: they reach it when the domain is cut off.
type limitKeeper struct {
	d    *Distributor
	wake chan struct{} // capacity 1
	done chan struct{}

	mu      sync.Mutex
	granter *granter.Granter
	absent  map[netip.AddrPort]time.Time // entries that did not answer, with the end of their absence
}

func newLimitKeeper(d *Distributor) *limitKeeper {
	return &limitKeeper{
		d: d, wake: make(chan struct{}, 1), done: make(chan struct{}), granter: granter.New(granter.Config{Random: d.random("permits")}),
		absent: make(map[netip.AddrPort]time.Time),
	}
}

// announceInterval is the time between two checks for limits to announce, if nothing happens.
const announceInterval = time.Second

func (k *limitKeeper) run(ctx context.Context) {
	defer close(k.done)
	ticker := time.NewTicker(announceInterval)
	defer ticker.Stop()
	var requests sync.WaitGroup
	defer requests.Wait()
	for {
		for _, ask := range k.d.assigner.TakeAsks() {
			r := &permitRequest{k: k, ask: ask}
			requests.Go(func() { r.run(ctx) })
		}
		if warnings := k.announcements(); len(warnings) > 0 {
			requests.Go(func() { k.d.warn(ctx, warnings) })
		}
		select {
		case <-k.wake:
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
	}
}

func (k *limitKeeper) ended() <-chan struct{} {
	return k.done
}

// wakeUp makes run look for requests and announcements. It does not block.
func (k *limitKeeper) wakeUp() {
	select {
	case k.wake <- struct{}{}:
	default:
	}
}

// permitRequest is one request for the limit of one upstream.
type permitRequest struct {
	k   *limitKeeper
	ask balancer.Ask
}

// run asks for a permit and passes it to the balancer when it becomes valid.
func (r *permitRequest) run(ctx context.Context) {
	permit, err := r.k.permit(ctx, r.ask.Upstream.FailureDomain, r.k.d.self(), r.ask.Request, maxKeepers)
	if err != nil {
		r.k.d.c.Log.Info("limit: no permit", zap.String("Upstream", r.ask.Upstream.ID), zap.Error(err))
		permit = foxtailwharf.Permit{RetryIn: noKeeperRetry}
	}
	if permit.IsGranted && permit.StartsIn > 0 {
		timer := time.NewTimer(permit.StartsIn)
		defer timer.Stop()
		select {
		case <-timer.C:
		case <-ctx.Done():
			return
		}
	}
	if r.ask.Request.Limit.IsLifted {
		return
	}
	r.k.d.assigner.HandlePermit(r.ask.Upstream, permit)
}

// self returns the address at which other entries reach this one.
func (d *Distributor) self() netip.AddrPort {
	return d.c.Settings.PeerAddress(d.c.Settings.Address)
}

// permit asks the entries that may keep the limit, in their order and limit many at most, until one
// answers. It grants the permit itself where this entry comes first.
func (k *limitKeeper) permit(ctx context.Context, domain string, asker netip.AddrPort, r foxtailwharf.PermitRequest, most int) (foxtailwharf.Permit, error) {
	tried := 0
	for _, keeper := range k.keepers(domain, r.Limit.Upstream) {
		if keeper == k.d.self() {
			return k.grant(asker, r), nil
		}
		if k.isAbsent(keeper) {
			continue
		}
		if tried++; tried > most {
			break
		}
		permit, err := k.send(ctx, keeper, domain, asker, r, asker != k.d.self())
		if err == nil {
			return permit, nil
		}
		if ctx.Err() != nil {
			return permit, err
		}
		k.setAbsent(keeper)
		k.d.c.Log.Info("limit: the entry that keeps the limit does not answer", zap.String("Upstream", r.Limit.Upstream), zap.Stringer("Entry", keeper), zap.Error(err))
	}
	return foxtailwharf.Permit{}, errNoKeeper
}

// keepers returns all entries in the order in which they keep the limit of an upstream. Entries with the
// same list agree.
func (k *limitKeeper) keepers(domain, upstream string) []netip.AddrPort {
	type candidate struct {
		address netip.AddrPort
		isNear  bool
		score   uint64
	}
	score := func(address netip.AddrPort) uint64 {
		return foxtailwharf.RendezvousScore("keeps the limit of "+upstream, address.String())
	}
	s := k.d.c.Settings
	list := []candidate{{k.d.self(), s.FailureDomain == domain, score(k.d.self())}}
	k.d.mu.Lock()
	for address, e := range k.d.entries {
		list = append(list, candidate{address, e.domain == domain, score(address)})
	}
	k.d.mu.Unlock()
	slices.SortFunc(list, func(a, b candidate) int {
		if a.isNear != b.isNear {
			if a.isNear {
				return -1
			}
			return 1
		}
		return cmp.Compare(b.score, a.score)
	})
	addresses := make([]netip.AddrPort, len(list))
	for i, c := range list {
		addresses[i] = c.address
	}
	return addresses
}

func (k *limitKeeper) isAbsent(entry netip.AddrPort) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	until, isKnown := k.absent[entry]
	if isKnown && time.Now().After(until) {
		delete(k.absent, entry)
		return false
	}
	return isKnown
}

func (k *limitKeeper) setAbsent(entry netip.AddrPort) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.absent[entry] = time.Now().Add(keeperAbsence)
}

// send asks one entry, which forwards the request once if it knows of one that comes before it.
func (k *limitKeeper) send(ctx context.Context, keeper netip.AddrPort, domain string, asker netip.AddrPort, r foxtailwharf.PermitRequest, isForwarded bool) (foxtailwharf.Permit, error) {
	timeout := permitTimeout
	if isForwarded {
		timeout = forwardTimeout
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	answer, err := messenger.Call[wire.FleetPermit](ctx, k.d.client, keeper, methodPermit, wire.FleetPermitRequest{
		Asker: asker.String(), Domain: domain, Limit: limitToWire(r.Limit), IsWanted: r.IsWanted, Calls: r.Calls, WithinMillis: r.Within.Milliseconds(), Unused: r.Unused, IsForwarded: isForwarded,
	})
	return foxtailwharf.Permit{
		IsGranted: answer.IsGranted,
		Calls:     answer.Calls,
		StartsIn:  time.Duration(answer.StartsInMillis) * time.Millisecond,
		RetryIn:   time.Duration(answer.RetryMillis) * time.Millisecond,
		IsLifted:  answer.IsLifted,
	}, err
}

// grant answers a request for a limit that this entry keeps.
func (k *limitKeeper) grant(asker netip.AddrPort, r foxtailwharf.PermitRequest) foxtailwharf.Permit {
	k.mu.Lock()
	defer k.mu.Unlock()
	permit := k.granter.Ask(time.Now(), asker, r)
	k.wakeUp()
	return permit
}

// handlePermit answers another entry's request. An entry that knows of others before it asks these first.
func (k *limitKeeper) handlePermit(ctx context.Context, q wire.FleetPermitRequest) (wire.FleetPermit, error) {
	asker, err := netip.ParseAddrPort(q.Asker)
	if err != nil {
		return wire.FleetPermit{}, errors.Wrap(err, "limitKeeper.handlePermit")
	}
	r := foxtailwharf.PermitRequest{Limit: limitFromWire(q.Limit), IsWanted: q.IsWanted, Calls: q.Calls, Within: time.Duration(q.WithinMillis) * time.Millisecond, Unused: min(max(q.Unused, 0), maxUnused)}
	var permit foxtailwharf.Permit
	if q.IsForwarded {
		permit = k.grant(asker, r)
	} else if permit, err = k.permit(ctx, q.Domain, asker, r, 1); err != nil {
		// The entries before this one do not answer, so that this one keeps the limit.
		permit = k.grant(asker, r)
	}
	return wire.FleetPermit{
		IsGranted: permit.IsGranted, Calls: permit.Calls, StartsInMillis: ceilMillis(permit.StartsIn), RetryMillis: ceilMillis(permit.RetryIn), IsLifted: permit.IsLifted,
	}, nil
}

// announcements returns what to tell all other entries of the limits that this one keeps.
func (k *limitKeeper) announcements() map[netip.AddrPort]wire.FleetWarning {
	k.mu.Lock()
	limits := k.granter.TakeAnnouncements(time.Now())
	k.mu.Unlock()
	if len(limits) == 0 {
		return nil
	}
	var warning wire.FleetWarning
	for _, l := range limits {
		k.d.c.Log.Info("limit: this entry keeps a limit and announces it", zap.String("Upstream", l.Upstream),
			zap.Float64("PerSecond", l.PerSecond), zap.Bool("Lifted", l.IsLifted))
		warning.Limits = append(warning.Limits, limitToWire(l))
		k.d.learnLimit(l)
	}
	warnings := make(map[netip.AddrPort]wire.FleetWarning)
	for _, to := range k.d.otherEntries() {
		warnings[to] = warning
	}
	return warnings
}

// learnLimit takes over a limit that an entry has announced.
func (d *Distributor) learnLimit(l foxtailwharf.NamedLimit) {
	if d.assigner.LearnLimit(l) {
		d.c.Log.Info("limit: learned from an announcement", zap.String("Upstream", l.Upstream), zap.Float64("PerSecond", l.PerSecond), zap.Bool("Lifted", l.IsLifted))
	}
}

func limitToWire(l foxtailwharf.NamedLimit) wire.FleetLimit {
	return wire.FleetLimit{Upstream: l.Upstream, BornMillis: l.Born.UnixMilli(), PerSecond: l.PerSecond, IsLifted: l.IsLifted, AgeMillis: l.Age.Milliseconds()}
}

// limitFromWire decodes a limit. An age below zero counts as none.
func limitFromWire(m wire.FleetLimit) foxtailwharf.NamedLimit {
	return foxtailwharf.NamedLimit{
		Upstream: m.Upstream, Born: time.UnixMilli(m.BornMillis), PerSecond: max(m.PerSecond, 0), IsLifted: m.IsLifted,
		Age: max(time.Duration(m.AgeMillis)*time.Millisecond, 0),
	}
}
