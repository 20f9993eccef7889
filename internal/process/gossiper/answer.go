package gossiper

import (
	"context"
	"time"

	"github.com/foxtailwharf/foxtailwharf"
	"github.com/foxtailwharf/foxtailwharf/internal/process/keeper"
	"github.com/foxtailwharf/foxtailwharf/wire"
)

// exchange answers a peer's question.
func (g *Gossiper) exchange(_ context.Context, question wire.Exchange) (reply wire.ExchangeReply, err error) {
	var from foxtailwharf.Instance
	if from, err = foxtailwharf.InstanceFromWire(question.From); err != nil {
		return reply, err
	}
	if g.c.HearLoad != nil && question.Load != nil {
		g.c.HearLoad(from.Incarnation, foxtailwharf.LoadFromWire(question.Load))
	}
	if g.c.Ledger != nil {
		g.c.Ledger.HearBans(question.Quarantines)
	}
	reply = g.members(from, question)
	g.addDocuments(question, &reply)
	if g.c.Ledger != nil && from.Role == foxtailwharf.RoleEntry {
		reply.Usage = g.c.Ledger.Usage()
		reply.Quarantines = g.c.Ledger.Bans()
	}
	return reply, nil
}

// addDocuments adds the documents that the asking process lacks, or asks for its
// revisions if they differ and it has not told them.
func (g *Gossiper) addDocuments(question wire.Exchange, reply *wire.ExchangeReply) {
	own := g.c.Keeper.Revisions()
	if len(own) == 0 || question.DocumentsDigest == keeper.DigestOf(own) {
		return
	}
	hasNone := question.DocumentsDigest == keeper.DigestOf([]wire.DocumentRevision{})
	if len(question.Documents) == 0 && !hasNone {
		reply.WantsDocuments = true
		return
	}
	for _, d := range g.c.Keeper.Missing(question.Documents) {
		reply.Documents = append(reply.Documents, d.ToWire())
	}
}

// members returns the records that the asking instance lacks: an agent is told of
// entries and of agents of its own service only.
func (g *Gossiper) members(from foxtailwharf.Instance, question wire.Exchange) (reply wire.ExchangeReply) {
	g.mu.Lock()
	defer g.mu.Unlock()
	mustRefute := g.tracker.HearDirect(time.Now(), from)
	since := question.Since
	if question.Epoch != g.self.Incarnation {
		since = 0
	}
	reply.Epoch = g.self.Incarnation
	var changed []foxtailwharf.Instance
	changed, reply.Sequence = g.tracker.Since(since, pageSize, func(i foxtailwharf.Instance) bool {
		isRelevant := from.Role == foxtailwharf.RoleEntry || i.Role == foxtailwharf.RoleEntry || i.Service == from.Service
		return isRelevant && i.Incarnation != from.Incarnation
	})
	for _, i := range changed {
		reply.Members = append(reply.Members, i.ToWire())
	}
	if since > 0 {
		// The answering process confirms itself with each reply.
		reply.Members = append(reply.Members, g.self.ToWire())
	}
	if mustRefute {
		gone := from
		gone.IsGone = true
		reply.Members = append(reply.Members, gone.ToWire())
	}
	return reply
}

// ping answers with the own record.
func (g *Gossiper) ping(context.Context, wire.Instance) (wire.Instance, error) {
	return g.Self().ToWire(), nil
}
