package gossiper

import (
	"context"
	"slices"
	"time"

	"go.uber.org/zap"

	"github.com/foxtailwharf/foxtailwharf"
	"github.com/foxtailwharf/foxtailwharf/internal/connection/messenger"
	"github.com/foxtailwharf/foxtailwharf/internal/process/sleeper"
	"github.com/foxtailwharf/foxtailwharf/internal/process/tracker"
	"github.com/foxtailwharf/foxtailwharf/wire"
)

// listReader reads the platform's list of instances at intervals.
type listReader struct {
	g    *Gossiper
	done chan struct{}
}

func (l *listReader) run(ctx context.Context) {
	defer close(l.done)
	for {
		if l.isNeeded() {
			l.read(ctx)
		}
		if !sleeper.Sleep(ctx, listInterval) {
			return
		}
	}
}

// isNeeded reports whether to read the list. Agents that know an entry do not, which reduces the
// load on the platform.
func (l *listReader) isNeeded() bool {
	return l.g.c.Self.Role == foxtailwharf.RoleEntry || len(l.g.Live(foxtailwharf.RoleEntry)) == 0
}

func (l *listReader) read(ctx context.Context) {
	instances, err := l.g.c.Lister.Instances(ctx)
	if err != nil {
		l.g.c.Log.Debug("gossip: cannot read the platform's list of instances", zap.Error(err))
		return
	}
	l.g.mu.Lock()
	defer l.g.mu.Unlock()
	l.g.listed = instances
	l.g.tracker.ApplyList(time.Now(), instances)
}

// prober pings instances that have gone silent.
type prober struct {
	g    *Gossiper
	done chan struct{}
}

func (p *prober) run(ctx context.Context) {
	defer close(p.done)
	for sleeper.Sleep(ctx, p.g.c.Interval) {
		for _, i := range p.silent() {
			p.probe(ctx, i)
		}
	}
}

func (p *prober) silent() []foxtailwharf.Instance {
	p.g.mu.Lock()
	defer p.g.mu.Unlock()
	now := time.Now()
	p.g.tracker.ApplyDirect(now, p.g.self)
	p.g.tracker.Expire(now)
	entries := p.g.tracker.Live(foxtailwharf.RoleEntry)
	return slices.DeleteFunc(p.g.tracker.Silent(now), func(i foxtailwharf.Instance) bool {
		return !p.isObserver(entries, i)
	})
}

// isObserver reports whether this process is one of the few entries that probe an instance.
// Otherwise every entry would probe every instance that it ever heard from.
func (p *prober) isObserver(entries []foxtailwharf.Instance, i foxtailwharf.Instance) bool {
	if p.g.self.Role == foxtailwharf.RoleAgent {
		return false
	}
	others := slices.DeleteFunc(slices.Clone(entries), func(e foxtailwharf.Instance) bool { return e.Incarnation == i.Incarnation })
	return slices.ContainsFunc(tracker.Observers(others, i, observerCount), func(e foxtailwharf.Instance) bool {
		return e.Incarnation == p.g.self.Incarnation
	})
}

func (p *prober) probe(ctx context.Context, silent foxtailwharf.Instance) {
	reply, err := messenger.Call[wire.Instance](ctx, p.g.c.Client, silent.Address, MethodPing, p.g.Self().ToWire())
	if ctx.Err() != nil {
		return
	}
	p.g.mu.Lock()
	defer p.g.mu.Unlock()
	now := time.Now()
	if err == nil {
		var live foxtailwharf.Instance
		if live, err = foxtailwharf.InstanceFromWire(reply); err == nil {
			p.g.tracker.ApplyDirect(now, live)
		}
	}
	if err != nil || reply.Incarnation != silent.Incarnation {
		p.g.c.Log.Info("gossip: instance is gone", zap.String("Name", silent.Name), zap.String("Incarnation", silent.Incarnation))
		p.g.tracker.MarkLost(now, silent.Incarnation)
	}
}
