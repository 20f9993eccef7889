package distributor

import (
	"context"
	"encoding/json"
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
	// call has failed yet: the store's answers bring one of 3.6 s at the most.
	askAge = 3900 * time.Millisecond
	// askInterval is the time between two rounds of questions.
	askInterval = 400 * time.Millisecond
	// askTime bounds one question.
	askTime = 700 * time.Millisecond
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
	v := a.d.follower.View()
	if (v.Configuration == nil && best.answer.Version > 0) || (v.Configuration != nil && best.answer.Version > v.Configuration.Version) || best.answer.ListRevision > v.ListRevision {
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

// ask asks one entry and takes in its answer. Its ages are counted from before the
// question was sent, so that nothing seems newer than it is.
func (d *Distributor) ask(ctx context.Context, to netip.AddrPort, wantsDocuments bool) (wire.FleetAnswer, error) {
	v := d.follower.View()
	q := wire.FleetQuestion{ListRevision: v.ListRevision, WantsDocuments: wantsDocuments}
	if v.Configuration != nil {
		q.Version = v.Configuration.Version
	}
	asked := d.c.Clock()
	answer, err := messenger.Call[wire.FleetAnswer](ctx, d.client, to, methodVouch, q)
	if err != nil {
		return answer, err
	}
	return answer, d.hearAnswer(answer, asked)
}

func (d *Distributor) hearAnswer(answer wire.FleetAnswer, asked time.Duration) error {
	var heard follower.View
	at := asked - time.Duration(answer.AgeMillis)*time.Millisecond
	if answer.Configuration != "" {
		var c foxtailwharf.Configuration
		if err := json.Unmarshal([]byte(answer.Configuration), &c); err != nil {
			return err
		}
		heard.Configuration, heard.HasProof, heard.ConfiguredAt = &c, answer.AgeMillis >= 0, at
	}
	if answer.Upstreams != "" {
		if err := json.Unmarshal([]byte(answer.Upstreams), &heard.Upstreams); err != nil {
			return err
		}
		heard.ListRevision = answer.ListRevision
	}
	if answer.Releases != "" {
		if err := json.Unmarshal([]byte(answer.Releases), &heard.Releases); err != nil {
			return err
		}
	}
	d.follower.Hear(heard)
	if answer.AgeMillis >= 0 {
		d.follower.Confirm(answer.Version, at)
	}
	return nil
}

// vouch answers another entry.
func (d *Distributor) vouch(_ context.Context, q wire.FleetQuestion) (answer wire.FleetAnswer, err error) {
	answer = wire.FleetAnswer{AgeMillis: -1}
	v := d.follower.View()
	now := d.c.Clock()
	if v.Configuration == nil {
		return answer, nil
	}
	answer.Version, answer.ListRevision = v.Configuration.Version, v.ListRevision
	if v.HasProof {
		answer.AgeMillis = ceilMillis(now - v.ConfiguredAt)
	}
	if q.WantsDocuments && v.Configuration.Version > q.Version {
		if answer.Configuration, err = encode(v.Configuration); err != nil {
			return answer, err
		}
	}
	if q.WantsDocuments && v.ListRevision > q.ListRevision {
		if answer.Upstreams, err = encode(v.Upstreams); err != nil {
			return answer, err
		}
	}
	answer.Releases, err = encode(v.Releases)
	return answer, err
}

// ceilMillis rounds an age up.
func ceilMillis(age time.Duration) int64 {
	return (age + time.Millisecond - 1).Milliseconds()
}

func encode(value any) (string, error) {
	text, err := json.Marshal(value)
	return string(text), err
}
