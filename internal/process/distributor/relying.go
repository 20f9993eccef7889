package distributor

import (
	"context"
	"net/netip"
	"time"

	"go.uber.org/zap"

	"github.com/foxtailwharf/foxtailwharf/internal/process/pauser"
	"github.com/foxtailwharf/foxtailwharf/internal/process/relier"
	"github.com/foxtailwharf/foxtailwharf/wire"
)

// Constants of relying on another entry.
const (
	// holdTime is how long the other entry holds its answer while there is nothing new.
	holdTime = 500 * time.Millisecond
	// holdMargin is how much longer an answer may take before the store is asked instead.
	holdMargin = 400 * time.Millisecond
	// alonePause is the time between two looks at whether there is an entry to rely on.
	alonePause = 200 * time.Millisecond
)

// relying asks the entry that asks the store for all of the failure domain.
type relying struct {
	d          *Distributor
	isRelieved bool // at the last look, for the log
	done       chan struct{}
}

func (r *relying) run(ctx context.Context) {
	defer close(r.done)
	for ctx.Err() == nil {
		source, isRelying := r.source()
		if !isRelying {
			r.note(netip.AddrPort{})
			pauser.Sleep(ctx, alonePause)
			continue
		}
		r.ask(ctx, source)
		r.note(source)
	}
}

func (r *relying) ended() <-chan struct{} {
	return r.done
}

func (r *relying) source() (netip.AddrPort, bool) {
	r.d.mu.Lock()
	defer r.d.mu.Unlock()
	return r.d.relier.Source(time.Now())
}

// note logs a change of who asks the store.
func (r *relying) note(source netip.AddrPort) {
	isRelieved := r.d.isRelieved()
	if isRelieved != r.isRelieved {
		r.d.c.Log.Info("store: Who asks it has changed.", zap.Bool("Self", !isRelieved), zap.Stringer("Source", source))
	}
	r.isRelieved = isRelieved
}

// ask puts one question and notes whether the answer stands in for the store's.
func (r *relying) ask(ctx context.Context, source netip.AddrPort) {
	ctx, cancel := context.WithTimeout(ctx, holdTime+holdMargin)
	defer cancel()
	v := r.d.follower.View()
	base := r.d.follower.Base()
	q := wire.FleetQuestion{
		Version:          v.Version(),
		ListRevision:     v.Revisions.Upstreams,
		ReleasesRevision: v.Revisions.Releases,
		WantsDocuments:   true,
		HoldMillis:       holdTime.Milliseconds(),
		Process:          base.Process,
		Sequence:         base.Sequence,
	}
	answer, err := r.d.put(ctx, source, q, true)
	r.d.mu.Lock()
	defer r.d.mu.Unlock()
	if err != nil {
		if ctx.Err() == nil || r.d.relier.IsRelieved(time.Now()) {
			r.d.c.Log.Info("store: The entry that asks it does not answer.", zap.Stringer("Source", source), zap.Error(err))
		}
		r.d.relier.Failed(time.Now(), source)
		return
	}
	r.d.relier.Heard(time.Now(), source, relier.Word{
		HasProof:  answer.AgeMillis >= 0 && answer.Version >= v.Version(),
		Age:       time.Duration(answer.AgeMillis) * time.Millisecond,
		IsRelying: answer.IsRelying,
		IsLost:    answer.IsLost,
		IsNew:     answer.Version == 0,
	})
}

// isRelieved reports whether another entry tells what the store says, or will soon.
func (d *Distributor) isRelieved() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := time.Now()
	return d.relier.IsRelieved(now) || now.Before(d.meetBy)
}
