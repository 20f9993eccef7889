package distributor

import (
	"context"
	"net/netip"
	"slices"
	"time"

	"go.uber.org/zap"

	"github.com/foxtailwharf/foxtailwharf"
	"github.com/foxtailwharf/foxtailwharf/internal/connection/messenger"
	"github.com/foxtailwharf/foxtailwharf/internal/process/follower"
	"github.com/foxtailwharf/foxtailwharf/internal/process/sleeper"
	"github.com/foxtailwharf/foxtailwharf/internal/request/isolator"
	"github.com/foxtailwharf/foxtailwharf/wire"
)

// methodVouch is the RPC method with which entries ask each other for their state of the store.
const methodVouch = "Vouch"

// Timing and limits of queries between entries.
const (
	// maxProofAge is the age of this entry's proof above which it queries other entries even if
	// no store call has failed. While the store answers, the age is at most 2.4 s.
	maxProofAge = 3200 * time.Millisecond
	// pollInterval is the time between two rounds of queries.
	pollInterval = 400 * time.Millisecond
	// pollTimeout limits one round of queries.
	pollTimeout = 700 * time.Millisecond
	// maxHold limits how long an answer is held while there is nothing new.
	maxHold = 2 * time.Second
	// pollFanOut is the number of entries queried in a round. If the store rejects a third of the
	// machines, three rounds without any proof occur about once in 20,000 cases.
	pollFanOut = 3
)

// peerPoller queries other entries while the store does not answer this one.
type peerPoller struct {
	d    *Distributor
	last netip.AddrPort // the entry with the best answer in the last round
	done chan struct{}
}

func (p *peerPoller) run(ctx context.Context) {
	defer close(p.done)
	for sleeper.Sleep(ctx, pollInterval) {
		v := p.d.follower.View()
		if v.IsLost || !v.HasProof || p.d.c.Clock()-v.ConfiguredAt > maxProofAge {
			p.pollPeers(ctx)
		}
	}
}

func (p *peerPoller) ended() <-chan struct{} {
	return p.done
}

// query is one query to one entry.
type query struct {
	d              *Distributor
	to             netip.AddrPort
	wantsDocuments bool
	answer         wire.FleetAnswer
	err            error
	done           chan struct{}
}

func (q *query) run(ctx context.Context) {
	defer close(q.done)
	if q.answer, q.err = q.d.ask(ctx, q.to, q.wantsDocuments); q.err != nil {
		q.d.c.Log.Debug("entry: query to another entry failed", zap.Stringer("Entry", q.to), zap.Error(q.err))
	}
}

// pollPeers queries a few entries in parallel for versions and ages, and then only the one with
// the best answer for the documents that this entry lacks. Documents are large, and links between
// regions are narrow.
func (p *peerPoller) pollPeers(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, pollTimeout)
	defer cancel()
	var queries []*query
	for _, to := range p.selectPeers() {
		q := &query{d: p.d, to: to, done: make(chan struct{})}
		queries = append(queries, q)
		go q.run(ctx)
	}
	var best *query
	for _, q := range queries {
		<-q.done
		if q.err == nil && (best == nil || isNewer(q.answer, best.answer)) {
			best = q
		}
	}
	if best == nil {
		return
	}
	p.last = best.to
	if v := p.d.follower.View(); best.answer.Version > v.Version() || best.answer.ListRevision > v.Revisions.Upstreams {
		q := &query{d: p.d, to: best.to, wantsDocuments: true, done: make(chan struct{})}
		q.run(ctx)
	}
}

// isNewer reports whether answer a is newer than b: by configuration version, then by list
// revision, then by the age of the proof.
func isNewer(a, b wire.FleetAnswer) bool {
	if a.Version != b.Version {
		return a.Version > b.Version
	}
	if a.ListRevision != b.ListRevision {
		return a.ListRevision > b.ListRevision
	}
	return a.AgeMillis >= 0 && (b.AgeMillis < 0 || a.AgeMillis < b.AgeMillis)
}

// selectPeers returns the entries to query: random ones, and the one that had the best answer in
// the last round.
func (p *peerPoller) selectPeers() []netip.AddrPort {
	others := p.d.otherEntries()
	p.d.shuffle(others)
	if i := slices.Index(others, p.last); i > 0 {
		others[0], others[i] = others[i], others[0]
	}
	return others[:min(pollFanOut, len(others))]
}

// ask queries one entry and merges its answer into the view.
func (d *Distributor) ask(ctx context.Context, to netip.AddrPort, wantsDocuments bool) (wire.FleetAnswer, error) {
	v := d.follower.View()
	return d.send(ctx, to, wire.FleetQuestion{Version: v.Version(), ListRevision: v.Revisions.Upstreams, WantsDocuments: wantsDocuments}, false)
}

// send sends a query to one entry and merges the answer into the view. Ages are counted from
// before the query was sent, so that nothing seems newer than it is.
func (d *Distributor) send(ctx context.Context, to netip.AddrPort, q wire.FleetQuestion, isFromSource bool) (wire.FleetAnswer, error) {
	asked := d.c.Clock()
	answer, err := messenger.Call[wire.FleetAnswer](ctx, d.client, to, methodVouch, q)
	if err != nil {
		return answer, err
	}
	state, err := decodeAnswer(answer, asked)
	if err != nil {
		return answer, err
	}
	state.IsFromSource = isFromSource
	// Before the releases themselves, which would be noted as named just now.
	d.mergeAllReleases(answer.Named)
	d.forwarder.MergeEvidence(isolator.Evidence{Bans: isolator.BansFromWire(answer.PartBans)})
	d.follower.Merge(state)
	return answer, nil
}

// provesFrom returns when the store's answers prove something again; zero if they do.
func provesFrom(answer wire.FleetAnswer, asked time.Duration) time.Duration {
	if answer.DoubtMillis <= 0 {
		return 0
	}
	return asked + time.Duration(answer.HeldMillis+answer.DoubtMillis)*time.Millisecond
}

// decodeAnswer decodes an answer. asked is the time by the local clock at which the query was sent.
func decodeAnswer(answer wire.FleetAnswer, asked time.Duration) (state follower.PeerState, err error) {
	state = follower.PeerState{
		Version:      answer.Version,
		ConfiguredAt: asked + time.Duration(answer.HeldMillis-answer.AgeMillis)*time.Millisecond,
		HasProof:     answer.AgeMillis >= 0,
		ProvesFrom:   provesFrom(answer, asked),
		HasList:      answer.HasList,
		IsWhole:      answer.IsWhole,
		Gone:         answer.Gone,
		Expiring:     answer.Expiring,
		ExpiringFor:  time.Duration(answer.ExpiringMillis) * time.Millisecond,
		Revisions: follower.Revisions{
			Configuration: answer.ConfigurationRevision,
			Upstreams:     answer.ListRevision,
			Releases:      answer.ReleasesRevision,
		},
		Position: follower.Position{Process: answer.Process, Sequence: answer.Sequence},
	}
	if answer.Configuration != "" {
		state.Configuration = &foxtailwharf.Configuration{}
		if err = unpack(answer.Configuration, state.Configuration); err != nil {
			return state, err
		}
	}
	if answer.Upstreams != "" {
		if err = unpack(answer.Upstreams, &state.Upstreams); err != nil {
			return state, err
		}
	}
	if answer.Releases != "" {
		err = unpack(answer.Releases, &state.Releases)
	}
	return state, err
}

// handleVouch answers another entry's query. It waits a while if there is nothing new for it.
func (d *Distributor) handleVouch(ctx context.Context, q wire.FleetQuestion) (answer wire.FleetAnswer, err error) {
	asked := d.c.Clock()
	d.waitForChange(ctx, q)
	v := d.follower.View()
	now := d.c.Clock()
	answer = wire.FleetAnswer{AgeMillis: -1, HeldMillis: (now - asked).Milliseconds(), IsRelying: d.isDelegated(), IsLost: v.IsLost, Process: d.c.Seed}
	if v.Configuration == nil {
		return answer, nil
	}
	answer.Version, answer.ListRevision = v.Configuration.Version, v.Revisions.Upstreams
	answer.ConfigurationRevision, answer.ReleasesRevision = v.Revisions.Configuration, v.Revisions.Releases
	if v.HasProof {
		answer.AgeMillis = ceilMillis(now - v.ConfiguredAt)
	}
	answer.DoubtMillis = max((v.ProvesFrom - now).Milliseconds(), 0)
	if q.WantsDocuments {
		if err = d.addDocuments(&answer, q, v); err != nil {
			return answer, err
		}
	}
	answer.Named = d.allNamedReleases()
	answer.PartBans = isolator.BansToWire(d.forwarder.Bans())
	answer.Releases, err = pack(v.Releases)
	return answer, err
}

// waitForChange blocks until there is something new for the querying entry, or until the hold
// time that the query allows is over. It also returns while the store does not answer.
func (d *Distributor) waitForChange(ctx context.Context, q wire.FleetQuestion) {
	if q.HoldMillis <= 0 {
		return
	}
	timer := time.NewTimer(time.Duration(min(q.HoldMillis, maxHold.Milliseconds())) * time.Millisecond)
	defer timer.Stop()
	for {
		changed := d.follower.Changed()
		v := d.follower.View()
		isSame := v.Version() == q.Version && q.Process == d.c.Seed && v.Sequence == q.Sequence && v.Revisions.Releases == q.ReleasesRevision
		if (!isSame && v.Configuration != nil) || v.IsLost {
			return
		}
		select {
		case <-changed:
		case <-timer.C:
			return
		case <-ctx.Done():
			return
		}
	}
}

// addDocuments adds the configuration and the list changes that the querying entry lacks.
func (d *Distributor) addDocuments(answer *wire.FleetAnswer, q wire.FleetQuestion, v follower.View) (err error) {
	if v.Configuration.Version > q.Version {
		if answer.Configuration, err = d.packedConfiguration.pack(uint64(v.Configuration.Version), v.Configuration); err != nil {
			return err
		}
	}
	after := follower.Position{Process: q.Process, Sequence: q.Sequence}
	if v.Revisions.Upstreams < q.ListRevision {
		return nil
	}
	changes, isWhole := d.follower.Changes(after)
	if isWhole && v.Revisions.Upstreams == q.ListRevision && q.HoldMillis == 0 {
		return nil
	}
	answer.HasList, answer.IsWhole, answer.Gone, answer.Sequence = true, isWhole, changes.Gone, v.Sequence
	expiring, left := d.follower.Expiring()
	answer.Expiring, answer.ExpiringMillis = expiring, ceilMillis(left)
	if isWhole {
		answer.Upstreams, err = d.packedList.pack(v.Sequence, v.Upstreams)
	} else if len(changes.Upstreams) > 0 {
		answer.Upstreams, err = pack(changes.Upstreams)
	}
	return err
}

// ceilMillis rounds an age up to whole milliseconds.
func ceilMillis(age time.Duration) int64 {
	return (age + time.Millisecond - 1).Milliseconds()
}
