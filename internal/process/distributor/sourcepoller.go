package distributor

import (
	"context"
	"net/netip"
	"time"

	"go.uber.org/zap"

	"github.com/foxtailwharf/foxtailwharf/internal/process/delegator"
	"github.com/foxtailwharf/foxtailwharf/internal/process/follower"
	"github.com/foxtailwharf/foxtailwharf/internal/process/sleeper"
	"github.com/foxtailwharf/foxtailwharf/wire"
)

// Timing of the queries to the entry that reads the store for this one.
const (
	// pollHold is how long the source may hold its answer while there is nothing new.
	pollHold = 500 * time.Millisecond
	// pollMargin is how much longer than pollHold an answer may take before this entry reads
	// the store itself.
	pollMargin = 400 * time.Millisecond
	// sourceCheckInterval is the time between two checks for a source while there is none.
	sourceCheckInterval = 200 * time.Millisecond
)

// sourcePoller queries the source: the entry that reads the store for the whole failure domain.
type sourcePoller struct {
	d           *Distributor
	isDelegated bool // at the last check, for the log
	done        chan struct{}
}

func (p *sourcePoller) run(ctx context.Context) {
	defer close(p.done)
	for ctx.Err() == nil {
		source, isRelying := p.source()
		if !isRelying {
			p.logSource(netip.AddrPort{})
			sleeper.Sleep(ctx, sourceCheckInterval)
			continue
		}
		p.poll(ctx, source)
		p.logSource(source)
	}
}

func (p *sourcePoller) ended() <-chan struct{} {
	return p.done
}

func (p *sourcePoller) source() (netip.AddrPort, bool) {
	p.d.mu.Lock()
	defer p.d.mu.Unlock()
	return p.d.delegator.Source(time.Now())
}

// logSource logs when this entry begins or ceases to rely on another one to read the store.
func (p *sourcePoller) logSource(source netip.AddrPort) {
	isDelegated := p.d.isDelegated()
	if isDelegated != p.isDelegated {
		p.d.c.Log.Info("store: the entry that reads the store has changed", zap.Bool("Self", !isDelegated), zap.Stringer("Source", source))
	}
	p.isDelegated = isDelegated
}

// poll sends one query to the source and records whether the answer replaces a read of the store.
func (p *sourcePoller) poll(ctx context.Context, source netip.AddrPort) {
	ctx, cancel := context.WithTimeout(ctx, pollHold+pollMargin)
	defer cancel()
	v := p.d.follower.View()
	base := p.d.follower.Base()
	q := wire.FleetQuestion{
		Version:          v.Version(),
		ListRevision:     v.Revisions.Upstreams,
		ReleasesRevision: v.Revisions.Releases,
		WantsDocuments:   true,
		HoldMillis:       pollHold.Milliseconds(),
		Process:          base.Process,
		Sequence:         base.Sequence,
	}
	answer, err := p.d.send(ctx, source, q, true)
	p.d.mu.Lock()
	wasDelegated := p.d.delegator.IsDelegated(time.Now())
	p.recordAnswer(ctx, source, v, answer, err)
	_, isRelying := p.d.delegator.Source(time.Now())
	p.d.mu.Unlock()
	if wasDelegated && !isRelying {
		p.d.follower.EndDelegation()
	}
}

// recordAnswer records the answer of the source, or its lack, to a query with a view. The caller must hold d.mu.
func (p *sourcePoller) recordAnswer(ctx context.Context, source netip.AddrPort, v follower.View, answer wire.FleetAnswer, err error) {
	if err != nil {
		if ctx.Err() == nil || p.d.delegator.IsDelegated(time.Now()) {
			p.d.c.Log.Info("store: the entry that reads the store does not answer", zap.Stringer("Source", source), zap.Error(err))
		}
		p.d.delegator.HandleFailure(time.Now(), source)
		return
	}
	p.d.delegator.HandleReply(time.Now(), source, delegator.Reply{
		HasProof:  answer.AgeMillis >= 0 && answer.Version >= v.Version(),
		Age:       time.Duration(answer.AgeMillis) * time.Millisecond,
		IsRelying: answer.IsRelying,
		IsLost:    answer.IsLost,
		IsNew:     answer.Version == 0,
		IsInDoubt: answer.DoubtMillis > 0,
	})
}

// isDelegated reports whether another entry reads the store for this one, or the first read still
// waits for other entries.
func (d *Distributor) isDelegated() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := time.Now()
	return d.delegator.IsDelegated(now) || now.Before(d.meetDeadline)
}
