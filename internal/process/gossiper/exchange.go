package gossiper

import (
	"context"
	"net/netip"
	"time"

	"go.uber.org/zap"

	"github.com/foxtailwharf/foxtailwharf"
	"github.com/foxtailwharf/foxtailwharf/internal/connection/messenger"
	"github.com/foxtailwharf/foxtailwharf/internal/process/registrar"
	"github.com/foxtailwharf/foxtailwharf/wire"
)

// peerExchange is one exchange with one peer.
type peerExchange struct {
	g        *Gossiper
	peer     netip.AddrPort
	finished chan<- struct{}
}

func (e *peerExchange) run(ctx context.Context) {
	defer func() { e.finished <- struct{}{} }()
	if wantsDocuments := e.exchange(ctx, false); wantsDocuments {
		e.exchange(ctx, true)
	}
}

// exchange sends one request and applies the reply. withRevisions adds the revisions of all
// documents to the request; a peer asks for them if its digest differs.
func (e *peerExchange) exchange(ctx context.Context, withRevisions bool) (wantsDocuments bool) {
	request := e.g.request(e.peer, withRevisions)
	reply, err := messenger.Call[wire.ExchangeReply](ctx, e.g.c.Client, e.peer, MethodExchange, request)
	if err != nil {
		e.g.c.Log.Debug("gossip: exchange with a peer failed", zap.Stringer("Peer", e.peer), zap.Error(err))
		return false
	}
	e.g.applyReply(e.peer, reply)
	return reply.WantsDocuments
}

// isBehind reports whether a peer has sent a full page since the last check, so that it may have
// more records. It resets the flag.
func (g *Gossiper) isBehind() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	isBehind := g.hasMore
	g.hasMore = false
	return isBehind
}

func (g *Gossiper) request(peer netip.AddrPort, withRevisions bool) wire.Exchange {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.refreshGeneration()
	known := g.cursors[peer]
	request := wire.Exchange{
		From:  g.self.ToWire(),
		Epoch: known.epoch,
		Since: known.since,
	}
	revisions := g.c.Registrar.Revisions()
	request.DocumentsDigest = registrar.DigestRevisions(revisions)
	if withRevisions {
		request.Documents = revisions
	}
	if g.c.Load != nil {
		request.Load = g.c.Load().ToWire()
	}
	if g.c.SharedState != nil {
		request.Evidence = g.evidence()
	}
	return request
}

// refreshGeneration copies the current generation into this process's record. The caller must hold
// g.mu.
func (g *Gossiper) refreshGeneration() {
	if g.c.Generation == nil {
		return
	}
	if newest := g.c.Generation(); newest != g.self.Generation {
		g.self.Generation = newest
		g.self.Sequence++
	}
}

// applyReply merges a peer's reply into the documents, members, usage and bans.
func (g *Gossiper) applyReply(peer netip.AddrPort, reply wire.ExchangeReply) {
	for _, d := range reply.Documents {
		g.acceptDocument(d)
	}
	g.applyMembers(peer, reply)
	if g.c.SharedState != nil {
		g.c.SharedState.MergeUsage(reply.Epoch, reply.Usage)
		g.mergeEvidence(reply.Evidence)
	}
}

// evidence returns what is held against requests that crash upstreams; nil for nothing.
func (g *Gossiper) evidence() *wire.FleetWarning {
	w := g.c.SharedState.Evidence()
	if len(w.Breaks)+len(w.PartBans) == 0 {
		return nil
	}
	return &w
}

func (g *Gossiper) mergeEvidence(w *wire.FleetWarning) {
	if w != nil {
		g.c.SharedState.MergeEvidence(*w)
	}
}

func (g *Gossiper) acceptDocument(d wire.Document) {
	if g.c.Registrar.Accept(foxtailwharf.DocumentFromWire(d)) {
		g.c.Log.Info("documents: accepted a revision from a peer", zap.String("Kind", d.Kind), zap.String("Name", d.Name), zap.Uint64("Revision", d.Revision))
	}
}

func (g *Gossiper) applyMembers(peer netip.AddrPort, reply wire.ExchangeReply) {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := time.Now()
	for _, m := range reply.Members {
		i, err := foxtailwharf.InstanceFromWire(m)
		if err != nil {
			g.c.Log.Warn("gossip: peer sent an invalid member record", zap.Error(err))
			continue
		}
		switch i.Incarnation {
		case g.self.Incarnation:
			g.refute(now, i)
		case reply.Epoch:
			g.tracker.ApplyDirect(now, i)
		default:
			g.tracker.ApplyRelayed(now, i)
		}
	}
	g.hasMore = g.hasMore || len(reply.Members) >= pageSize
	g.cursors[peer] = cursor{epoch: reply.Epoch, since: reply.Sequence}
}

// refute raises this process's sequence above that of a record which says that it is gone.
func (g *Gossiper) refute(now time.Time, record foxtailwharf.Instance) {
	if record.IsGone && record.Sequence >= g.self.Sequence {
		g.self.Sequence = record.Sequence + 1
		g.tracker.ApplyDirect(now, g.self)
	}
}
