package distributor

import (
	"context"
	"encoding/json"
	"net/netip"
	"time"

	"go.uber.org/zap"

	"github.com/foxtailwharf/foxtailwharf"
	"github.com/foxtailwharf/foxtailwharf/internal/connection/messenger"
	"github.com/foxtailwharf/foxtailwharf/internal/process/follower"
	"github.com/foxtailwharf/foxtailwharf/internal/process/pauser"
	"github.com/foxtailwharf/foxtailwharf/internal/request/quarantiner"
	"github.com/foxtailwharf/foxtailwharf/wire"
)

// methodVouch is the method by which entries tell each other what they know of the store.
const methodVouch = "Vouch"

// Constants of what entries ask each other.
const (
	// askAge is the age of the own proof from which on the other entries are asked, also
	// if no call has failed yet: the store's answers bring one of 3.6 s at the most.
	askAge = 3900 * time.Millisecond
	// askInterval is the time between two rounds of questions.
	askInterval = 400 * time.Millisecond
	// askTime bounds one question.
	askTime = 700 * time.Millisecond
	// warnTime bounds the wait until others know of a crash.
	warnTime = 150 * time.Millisecond
)

// asker asks the other entries while the store does not answer this one.
type asker struct {
	d    *Distributor
	done chan struct{}
}

func (a *asker) run(ctx context.Context) {
	defer close(a.done)
	for pauser.Sleep(ctx, askInterval) {
		v := a.d.follower.View()
		if v.IsLost || !v.HasProof || a.d.c.Clock()-v.ConfiguredAt > askAge {
			a.d.askAll(ctx, askTime)
		}
	}
}

func (a *asker) ended() <-chan struct{} {
	return a.done
}

// question is one question to one entry.
type question struct {
	d    *Distributor
	to   netip.AddrPort
	done chan struct{}
}

func (q *question) run(ctx context.Context) {
	defer close(q.done)
	if err := q.d.ask(ctx, q.to); err != nil {
		q.d.c.Log.Debug("entry: Another entry does not answer.", zap.Stringer("Entry", q.to), zap.Error(err))
	}
}

// askAll asks all other entries at once.
func (d *Distributor) askAll(ctx context.Context, limit time.Duration) {
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	var questions []*question
	for _, to := range d.otherEntries() {
		q := &question{d: d, to: to, done: make(chan struct{})}
		questions = append(questions, q)
		go q.run(ctx)
	}
	for _, q := range questions {
		<-q.done
	}
}

// ask asks one entry and takes in its answer. Its ages are counted from before the
// question was sent, so that nothing seems newer than it is.
func (d *Distributor) ask(ctx context.Context, to netip.AddrPort) error {
	v := d.follower.View()
	q := wire.FleetQuestion{Bans: d.bans(), ListRevision: v.ListRevision}
	if v.Configuration != nil {
		q.Version = v.Configuration.Version
	}
	asked := d.c.Clock()
	answer, err := messenger.Call[wire.FleetAnswer](ctx, d.client, to, methodVouch, q)
	if err != nil {
		return err
	}
	d.hearBans(answer.Bans)
	return d.hearAnswer(answer, asked)
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
	d.hearBans(q.Bans)
	answer = wire.FleetAnswer{AgeMillis: -1, Bans: d.bans()}
	v := d.follower.View()
	now := d.c.Clock()
	if v.Configuration == nil {
		return answer, nil
	}
	answer.Version = v.Configuration.Version
	if v.HasProof {
		answer.AgeMillis = ceilMillis(now - v.ConfiguredAt)
	}
	if v.Configuration.Version > q.Version {
		if answer.Configuration, err = encode(v.Configuration); err != nil {
			return answer, err
		}
	}
	if v.ListRevision > q.ListRevision {
		answer.ListRevision = v.ListRevision
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

// warn tells the other entries what is held against requests, so that one which comes
// through another entry meanwhile does not end upstreams of its own.
func (d *Distributor) warn(ctx context.Context) {
	d.askAll(ctx, warnTime)
}

func (d *Distributor) bans() []wire.Quarantine {
	return quarantiner.ToWire(d.forwarder.Bans())
}

func (d *Distributor) hearBans(bans []wire.Quarantine) {
	for _, ban := range quarantiner.FromWire(bans) {
		d.forwarder.HearBan(ban)
	}
}
