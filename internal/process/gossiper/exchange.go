package gossiper

import (
	"context"
	"net/netip"
	"time"

	"go.uber.org/zap"

	"github.com/foxtailwharf/foxtailwharf"
	"github.com/foxtailwharf/foxtailwharf/internal/connection/messenger"
	"github.com/foxtailwharf/foxtailwharf/internal/process/keeper"
	"github.com/foxtailwharf/foxtailwharf/wire"
)

// asker exchanges with one peer.
type asker struct {
	g        *Gossiper
	peer     netip.AddrPort
	finished chan<- struct{}
}

func (a *asker) run(ctx context.Context) {
	defer func() { a.finished <- struct{}{} }()
	if wantsDocuments := a.ask(ctx, false); wantsDocuments {
		a.ask(ctx, true)
	}
}

// ask exchanges once. isTelling adds the revisions of documents, for which a peer asks
// if they differ from its own.
func (a *asker) ask(ctx context.Context, isTelling bool) (wantsDocuments bool) {
	question := a.g.question(a.peer, isTelling)
	reply, err := messenger.Call[wire.ExchangeReply](ctx, a.g.c.Client, a.peer, MethodExchange, question)
	if err != nil {
		a.g.c.Log.Debug("gossip: A peer did not answer.", zap.Stringer("Peer", a.peer), zap.Error(err))
		return false
	}
	a.g.take(a.peer, reply)
	return reply.WantsDocuments
}

// isBehind reports whether a peer had more to tell than one reply holds.
func (g *Gossiper) isBehind() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	isBehind := g.hasMore
	g.hasMore = false
	return isBehind
}

func (g *Gossiper) question(peer netip.AddrPort, isTelling bool) wire.Exchange {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.refreshGeneration()
	known := g.cursors[peer]
	question := wire.Exchange{
		From:  g.self.ToWire(),
		Epoch: known.epoch,
		Since: known.since,
	}
	revisions := g.c.Keeper.Revisions()
	question.DocumentsDigest = keeper.DigestOf(revisions)
	if isTelling {
		question.Documents = revisions
	}
	if g.c.Load != nil {
		question.Load = g.c.Load().ToWire()
	}
	if g.c.Ledger != nil {
		question.Quarantines = g.c.Ledger.Bans()
	}
	return question
}

// refreshGeneration puts the newest generation into the own record.
func (g *Gossiper) refreshGeneration() {
	if g.c.Generation == nil {
		return
	}
	if newest := g.c.Generation(); newest != g.self.Generation {
		g.self.Generation = newest
		g.self.Sequence++
	}
}

// take works in a peer's reply.
func (g *Gossiper) take(peer netip.AddrPort, reply wire.ExchangeReply) {
	for _, d := range reply.Documents {
		g.accept(d)
	}
	g.takeMembers(peer, reply)
	if g.c.Ledger != nil {
		g.c.Ledger.HearUsage(reply.Epoch, reply.Usage)
		g.c.Ledger.HearBans(reply.Quarantines)
	}
}

func (g *Gossiper) accept(d wire.Document) {
	if g.c.Keeper.Accept(foxtailwharf.DocumentFromWire(d)) {
		g.c.Log.Info("documents: Accepted a revision from a peer.", zap.String("Kind", d.Kind), zap.String("Name", d.Name), zap.Uint64("Revision", d.Revision))
	}
}

func (g *Gossiper) takeMembers(peer netip.AddrPort, reply wire.ExchangeReply) {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := time.Now()
	for _, m := range reply.Members {
		i, err := foxtailwharf.InstanceFromWire(m)
		if err != nil {
			g.c.Log.Warn("gossip: A peer sent a bad record.", zap.Error(err))
			continue
		}
		switch i.Incarnation {
		case g.self.Incarnation:
			g.refute(now, i)
		case reply.Epoch:
			g.tracker.HearDirect(now, i)
		default:
			g.tracker.Hear(now, i)
		}
	}
	g.hasMore = g.hasMore || len(reply.Members) >= pageSize
	g.cursors[peer] = cursor{epoch: reply.Epoch, since: reply.Sequence}
}

// refute raises the own sequence past a record that says this process is gone.
func (g *Gossiper) refute(now time.Time, told foxtailwharf.Instance) {
	if told.IsGone && told.Sequence >= g.self.Sequence {
		g.self.Sequence = told.Sequence + 1
		g.tracker.HearDirect(now, g.self)
	}
}
