package gossiper

import (
	"context"
	"time"

	"github.com/foxtailwharf/foxtailwharf"
	"github.com/foxtailwharf/foxtailwharf/internal/process/registrar"
	"github.com/foxtailwharf/foxtailwharf/wire"
)

// handleExchange answers a peer's exchange request.
func (g *Gossiper) handleExchange(_ context.Context, request wire.Exchange) (reply wire.ExchangeReply, err error) {
	var from foxtailwharf.Instance
	if from, err = foxtailwharf.InstanceFromWire(request.From); err != nil {
		return reply, err
	}
	if g.c.UpdateLoad != nil && request.Load != nil {
		g.c.UpdateLoad(from.Incarnation, foxtailwharf.LoadFromWire(request.Load))
	}
	if g.c.SharedState != nil {
		g.mergeEvidence(request.Evidence)
	}
	reply = g.members(from, request)
	g.addDocuments(request, &reply)
	if g.c.SharedState != nil && from.Role == foxtailwharf.RoleEntry {
		reply.Usage = g.c.SharedState.Usage()
		reply.Evidence = g.evidence()
	}
	return reply, nil
}

// addDocuments adds the documents that the requesting process lacks. If the document digests
// differ and the request has no revisions, it asks for them instead.
func (g *Gossiper) addDocuments(request wire.Exchange, reply *wire.ExchangeReply) {
	own := g.c.Registrar.Revisions()
	if len(own) == 0 || request.DocumentsDigest == registrar.DigestRevisions(own) {
		return
	}
	hasNone := request.DocumentsDigest == registrar.DigestRevisions([]wire.DocumentRevision{})
	if len(request.Documents) == 0 && !hasNone {
		reply.WantsDocuments = true
		return
	}
	for _, d := range g.c.Registrar.NewerThan(request.Documents) {
		reply.Documents = append(reply.Documents, d.ToWire())
	}
}

// members records the requesting instance and returns the records that it lacks. An agent gets
// only entries and the agents of its own service.
func (g *Gossiper) members(from foxtailwharf.Instance, request wire.Exchange) (reply wire.ExchangeReply) {
	g.mu.Lock()
	defer g.mu.Unlock()
	mustRefute := g.tracker.ApplyDirect(time.Now(), from)
	since := request.Since
	if request.Epoch != g.self.Incarnation {
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
		// A reply also serves as a heartbeat of the answering process.
		reply.Members = append(reply.Members, g.self.ToWire())
	}
	if mustRefute {
		gone := from
		gone.IsGone = true
		reply.Members = append(reply.Members, gone.ToWire())
	}
	return reply
}

// handlePing answers with this process's record.
func (g *Gossiper) handlePing(context.Context, wire.Instance) (wire.Instance, error) {
	return g.Self().ToWire(), nil
}
