package follower

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"github.com/foxtailwharf/foxtailwharf"
	"github.com/foxtailwharf/foxtailwharf/internal/process/pauser"
)

// subject follows one subject.
type subject struct {
	f         *Follower
	name      foxtailwharf.FleetSubject
	wait      time.Duration
	pause     time.Duration
	isUnknown bool // everything has to be read
	done      chan struct{}
	heard     time.Duration // last answer, by the clock
	isLost    bool
	failures  int // in a row
}

func (s *subject) run(ctx context.Context) {
	defer close(s.done)
	s.heard = s.f.c.Clock()
	s.isUnknown = true
	for ctx.Err() == nil {
		if s.f.isRelieved() {
			s.relieved()
			pauser.Sleep(ctx, reliefPause)
			continue
		}
		if err := s.step(ctx); err != nil && ctx.Err() == nil {
			s.failed(err)
			s.f.await(ctx, s.failurePause())
		}
	}
}

// relieved notes that another entry tells what the store says.
func (s *subject) relieved() {
	s.heard = s.f.c.Clock()
	s.isLost = false
	s.failures = 0
	s.setLost(false)
}

// failurePause grows with the failures in a row, drawn at random so that not all entries
// return at once. The configuration is asked for first; the others are woken when it answers.
func (s *subject) failurePause() time.Duration {
	longest := maxFailurePause
	if s.name != foxtailwharf.SubjectConfiguration {
		longest = otherFailurePause
	}
	pause := min(firstFailurePause<<min(s.failures, maxDoublings), longest)
	s.failures++
	return pause/2 + rand.N(pause/2)
}

// step makes one call to the store and takes in what it says.
func (s *subject) step(ctx context.Context) error {
	asked := s.f.c.Clock()
	after := s.f.revision(s.name)
	isWhole := s.isUnknown || after == 0
	p, err := s.call(ctx, isWhole, after)
	if errors.Is(err, foxtailwharf.ErrHistoryGone) {
		s.f.c.Log.Info("store: The history is gone; everything is read anew.", zap.String("Subject", string(s.name)))
		s.isUnknown = true
		return nil
	}
	if errors.Is(err, context.Canceled) && ctx.Err() == nil {
		// Another subject found the store back in reach; this one asks again at once.
		return nil
	}
	if err != nil {
		return err
	}
	s.answered()
	isChanged := p.Configuration != nil || len(p.Upstreams)+len(p.Gone)+len(p.Releases) > 0
	s.isUnknown = false
	s.f.take(s.name, p, isWhole, asked)
	if isChanged && !isWhole {
		pauser.Sleep(ctx, s.pause)
	}
	return nil
}

// call makes one call, which ends early if another subject finds the store back in reach:
// the connection may have gone silent in the outage.
func (s *subject) call(ctx context.Context, isWhole bool, after uint64) (foxtailwharf.FleetPage, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	s.f.mu.Lock()
	s.f.calls[s.name] = cancel
	s.f.mu.Unlock()
	if isWhole {
		return s.f.c.Store.Read(ctx, s.name)
	}
	wait := s.wait
	if s.isLost {
		// A long wait would leave open until its end whether the store is back.
		wait = probeWait
	}
	return s.f.c.Store.Follow(ctx, s.name, after, wait)
}

// failed notes a call that got no answer. A watch that was cut may have missed nothing,
// so that the revision stays.
func (s *subject) failed(err error) {
	if !s.isLost {
		s.f.c.Log.Warn("store: It is out of reach.", zap.String("Subject", string(s.name)), zap.Error(err))
	}
	s.isLost = true
	s.setLost(true)
}

// setLost notes whether the store tells of configurations.
func (s *subject) setLost(isLost bool) {
	if s.name != foxtailwharf.SubjectConfiguration {
		return
	}
	s.f.mu.Lock()
	defer s.f.mu.Unlock()
	s.f.view.IsLost = isLost
}

// answered notes an answer, which may end an outage.
func (s *subject) answered() {
	now := s.f.c.Clock()
	if s.isLost {
		s.f.c.Log.Info("store: It is back in reach.", zap.String("Subject", string(s.name)), zap.Duration("After", now-s.heard))
		s.f.back(s.name, now, now-s.heard > outage)
	}
	s.isLost = false
	s.failures = 0
	s.setLost(false)
	s.heard = now
}
