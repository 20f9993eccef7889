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
	"github.com/foxtailwharf/foxtailwharf/internal/process/pauser"
	"github.com/foxtailwharf/foxtailwharf/wire"
)

// methodVouch is the method by which entries tell each other what they know of the store.
const methodVouch = "Vouch"

// Constants of what entries ask each other.
const (
	// askAge is the age of the own proof from which on other entries are asked, also if no
	// call has failed yet: the store's answers bring one of 2.4 s at the most.
	askAge = 3200 * time.Millisecond
	// askInterval is the time between two rounds of questions.
	askInterval = 400 * time.Millisecond
	// askTime bounds one question.
	askTime = 700 * time.Millisecond
	// maxHold bounds how long an answer is held.
	maxHold = 2 * time.Second
	// askCount is the number of entries asked in a round: of machines a third of which the
	// store turns away, all of three rounds are without a proof once in 20,000.
	askCount = 3
)

// asker asks other entries while the store does not answer this one.
type asker struct {
	d    *Distributor
	last netip.AddrPort // the entry with the newest proof in the last round
	done chan struct{}
}

func (a *asker) run(ctx context.Context) {
	defer close(a.done)
	for pauser.Sleep(ctx, askInterval) {
		v := a.d.follower.View()
		if v.IsLost || !v.HasProof || a.d.c.Clock()-v.ConfiguredAt > askAge {
			a.askSome(ctx)
		}
	}
}

func (a *asker) ended() <-chan struct{} {
	return a.done
}

// question is one question to one entry.
type question struct {
	d              *Distributor
	to             netip.AddrPort
	wantsDocuments bool
	answer         wire.FleetAnswer
	err            error
	done           chan struct{}
}

func (q *question) run(ctx context.Context) {
	defer close(q.done)
	if q.answer, q.err = q.d.ask(ctx, q.to, q.wantsDocuments); q.err != nil {
		q.d.c.Log.Debug("entry: Another entry does not answer.", zap.Stringer("Entry", q.to), zap.Error(q.err))
	}
}

// askSome asks a few entries at once for versions and ages, and then the one that knows most
// for what this entry lacks: documents are large, and links between regions narrow.
func (a *asker) askSome(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, askTime)
	defer cancel()
	var questions []*question
	for _, to := range a.choose() {
		q := &question{d: a.d, to: to, done: make(chan struct{})}
		questions = append(questions, q)
		go q.run(ctx)
	}
	var best *question
	for _, q := range questions {
		<-q.done
		if q.err == nil && (best == nil || knowsMore(q.answer, best.answer)) {
			best = q
		}
	}
	if best == nil {
		return
	}
	a.last = best.to
	if v := a.d.follower.View(); best.answer.Version > v.Version() || best.answer.ListRevision > v.Revisions.Upstreams {
		q := &question{d: a.d, to: best.to, wantsDocuments: true, done: make(chan struct{})}
		q.run(ctx)
	}
}

// knowsMore compares two answers.
func knowsMore(a, b wire.FleetAnswer) bool {
	if a.Version != b.Version {
		return a.Version > b.Version
	}
	if a.ListRevision != b.ListRevision {
		return a.ListRevision > b.ListRevision
	}
	return a.AgeMillis >= 0 && (b.AgeMillis < 0 || a.AgeMillis < b.AgeMillis)
}

// choose returns the entries to ask: the one that knew most in the last round, and others at
// random.
func (a *asker) choose() []netip.AddrPort {
	others := a.d.otherEntries()
	a.d.shuffle(others)
	if i := slices.Index(others, a.last); i > 0 {
		others[0], others[i] = others[i], others[0]
	}
	return others[:min(askCount, len(others))]
}

// ask asks one entry and takes in its answer.
func (d *Distributor) ask(ctx context.Context, to netip.AddrPort, wantsDocuments bool) (wire.FleetAnswer, error) {
	v := d.follower.View()
	return d.put(ctx, to, wire.FleetQuestion{Version: v.Version(), ListRevision: v.Revisions.Upstreams, WantsDocuments: wantsDocuments}, false)
}

// put puts a question to one entry and takes in the answer. Its ages are counted from before
// the question was sent, so that nothing seems newer than it is.
func (d *Distributor) put(ctx context.Context, to netip.AddrPort, q wire.FleetQuestion, isRelied bool) (wire.FleetAnswer, error) {
	asked := d.c.Clock()
	answer, err := messenger.Call[wire.FleetAnswer](ctx, d.client, to, methodVouch, q)
	if err != nil {
		return answer, err
	}
	word, err := readWord(answer, asked)
	if err != nil {
		return answer, err
	}
	word.IsRelied = isRelied
	d.follower.Hear(word)
	return answer, nil
}

// readWord reads an answer to a question that was put at a moment by the own clock.
func readWord(answer wire.FleetAnswer, asked time.Duration) (w follower.Word, err error) {
	w = follower.Word{
		Version:      answer.Version,
		ConfiguredAt: asked + time.Duration(answer.HeldMillis-answer.AgeMillis)*time.Millisecond,
		HasProof:     answer.AgeMillis >= 0,
		HasList:      answer.HasList,
		IsWhole:      answer.IsWhole,
		Gone:         answer.Gone,
		Revisions: follower.Revisions{
			Configuration: answer.ConfigurationRevision,
			Upstreams:     answer.ListRevision,
			Releases:      answer.ReleasesRevision,
		},
		Position: follower.Position{Process: answer.Process, Sequence: answer.Sequence},
	}
	if answer.Configuration != "" {
		w.Configuration = &foxtailwharf.Configuration{}
		if err = unpack(answer.Configuration, w.Configuration); err != nil {
			return w, err
		}
	}
	if answer.Upstreams != "" {
		if err = unpack(answer.Upstreams, &w.Upstreams); err != nil {
			return w, err
		}
	}
	if answer.Releases != "" {
		err = unpack(answer.Releases, &w.Releases)
	}
	return w, err
}

// vouch answers another entry, after a while if there is nothing new for it.
func (d *Distributor) vouch(ctx context.Context, q wire.FleetQuestion) (answer wire.FleetAnswer, err error) {
	asked := d.c.Clock()
	d.hold(ctx, q)
	v := d.follower.View()
	now := d.c.Clock()
	answer = wire.FleetAnswer{AgeMillis: -1, HeldMillis: (now - asked).Milliseconds(), IsRelying: d.isRelieved(), IsLost: v.IsLost, Process: d.c.Seed}
	if v.Configuration == nil {
		return answer, nil
	}
	answer.Version, answer.ListRevision = v.Configuration.Version, v.Revisions.Upstreams
	answer.ConfigurationRevision, answer.ReleasesRevision = v.Revisions.Configuration, v.Revisions.Releases
	if v.HasProof {
		answer.AgeMillis = ceilMillis(now - v.ConfiguredAt)
	}
	if q.WantsDocuments {
		if err = d.addDocuments(&answer, q, v); err != nil {
			return answer, err
		}
	}
	answer.Releases, err = pack(v.Releases)
	return answer, err
}

// hold waits until there is something new for the asking entry, or the time is over for which
// it lets its question be held.
func (d *Distributor) hold(ctx context.Context, q wire.FleetQuestion) {
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

// addDocuments adds what the asking entry lacks.
func (d *Distributor) addDocuments(answer *wire.FleetAnswer, q wire.FleetQuestion, v follower.View) (err error) {
	if v.Configuration.Version > q.Version {
		if answer.Configuration, err = d.packConfiguration(v.Configuration); err != nil {
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
	if len(changes.Upstreams) > 0 {
		answer.Upstreams, err = pack(changes.Upstreams)
	}
	return err
}

// ceilMillis rounds an age up.
func ceilMillis(age time.Duration) int64 {
	return (age + time.Millisecond - 1).Milliseconds()
}
