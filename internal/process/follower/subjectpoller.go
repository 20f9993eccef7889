package follower

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"github.com/foxtailwharf/foxtailwharf"
	"github.com/foxtailwharf/foxtailwharf/internal/process/sleeper"
)

// errRepeat ends a call that has to be made again at once, because another subject found that the
// store answers again, or has changed since.
var errRepeat = errors.New("call has to be repeated")

// pendingCall is a call to the store that is in progress.
type pendingCall struct {
	begun   time.Duration // by the clock
	isWhole bool          // reads the whole subject, which may take long over a narrow link
	cancel  context.CancelCauseFunc
}

// subjectPoller keeps one subject of the view current by long polls of the store.
type subjectPoller struct {
	f             *Follower
	name          foxtailwharf.FleetSubject
	wait          time.Duration
	pause         time.Duration
	needsFullRead bool // the whole subject has to be read, not only its changes
	restores      int  // of the store that the view of this subject includes
	done          chan struct{}
	lastAnswer    time.Duration // time of the last answer, by the clock
	isLost        bool
	failures      int // consecutive failures
}

func (s *subjectPoller) run(ctx context.Context) {
	defer close(s.done)
	s.lastAnswer = s.f.c.Clock()
	s.needsFullRead = true
	for ctx.Err() == nil {
		if s.f.isDelegated() {
			s.resetFailures()
			s.f.waitReachable(ctx, delegationCheckInterval)
			continue
		}
		if err := s.poll(ctx); err != nil && ctx.Err() == nil {
			s.recordFailure(err)
			s.f.waitReachable(ctx, s.failurePause(err))
		}
	}
}

// resetFailures forgets past failures while another entry reads the store.
func (s *subjectPoller) resetFailures() {
	s.lastAnswer = s.f.c.Clock()
	s.isLost = false
	s.failures = 0
	s.setLost(false)
}

// failurePause returns the backoff after a failure. It doubles with each consecutive failure up to
// a limit and has random jitter, so that not all entries return at once. The limit is lower for
// the configuration; the other subjects are woken when it answers. It is higher for a list that is too
// long, since the store answers.
func (s *subjectPoller) failurePause(err error) time.Duration {
	longest := maxFailurePause
	switch {
	case errors.Is(err, foxtailwharf.ErrListTooLong):
		longest = longListPause
	case s.name != foxtailwharf.SubjectConfiguration:
		longest = otherFailurePause
	}
	pause := min(firstFailurePause<<min(s.failures, maxDoublings), longest)
	s.failures++
	return pause/2 + rand.N(pause/2)
}

// poll makes one call to the store and applies the answer.
func (s *subjectPoller) poll(ctx context.Context) error {
	asked := s.f.c.Clock()
	after, restores := s.f.position(s.name)
	isRestored := restores != s.restores
	isWhole := s.needsFullRead || isRestored || after == 0
	p, err := s.call(ctx, isWhole, after)
	if errors.Is(err, foxtailwharf.ErrStoreRestored) {
		s.f.noteRestore(s.name)
		return nil
	}
	if errors.Is(err, foxtailwharf.ErrHistoryGone) {
		s.f.c.Log.Info("store: history is no longer available; reading the whole subject", zap.String("Subject", string(s.name)))
		s.needsFullRead = true
		return nil
	}
	if errors.Is(err, errRepeat) {
		return nil
	}
	if err != nil {
		return err
	}
	if isWhole && !isRestored && foxtailwharf.IsFromEarlierEra(after, p.Revision) {
		s.f.noteRestore(s.name)
		return nil
	}
	s.recordAnswer()
	isChanged := p.Configuration != nil || len(p.Upstreams)+len(p.Gone)+len(p.Releases) > 0
	s.needsFullRead, s.restores = false, restores
	if isWhole && s.name == foxtailwharf.SubjectUpstreams {
		s.f.holdReturned(&p, isRestored)
	}
	s.f.apply(s.name, p, isWhole, asked)
	if isChanged && !isWhole {
		sleeper.Sleep(ctx, s.pause)
	}
	return nil
}

// call makes one call. Another subject may end it with errRepeat, since its connection may have gone
// silent or its answer may be lost. Any other error is a failure of the store, also a call that the
// client has cancelled for lack of an answer.
func (s *subjectPoller) call(ctx context.Context, isWhole bool, after uint64) (p foxtailwharf.FleetPage, err error) {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	s.f.mu.Lock()
	s.f.calls[s.name] = pendingCall{begun: s.f.c.Clock(), isWhole: isWhole, cancel: cancel}
	s.f.mu.Unlock()
	if p, err = s.ask(ctx, isWhole, after); err != nil && errors.Is(context.Cause(ctx), errRepeat) {
		return p, errRepeat
	}
	return p, err
}

// ask reads the whole subject, or waits for changes after a revision.
func (s *subjectPoller) ask(ctx context.Context, isWhole bool, after uint64) (foxtailwharf.FleetPage, error) {
	if isWhole {
		return s.f.c.Store.Read(ctx, s.name)
	}
	return s.f.c.Store.Follow(ctx, s.name, after, s.nextWait())
}

// nextWait returns how long the store may wait for a change before it answers.
func (s *subjectPoller) nextWait() time.Duration {
	switch {
	case s.isLost:
		// With a long wait it would take until its end to notice that the store answers again.
		return probeWait
	case s.name == foxtailwharf.SubjectConfiguration:
		return s.f.waitForProof(s.wait)
	default:
		return s.wait
	}
}

// recordFailure records a call without an answer. The revision stays, since a watch that was cut
// may have missed nothing.
func (s *subjectPoller) recordFailure(err error) {
	switch {
	case errors.Is(err, foxtailwharf.ErrListTooLong):
		s.f.c.Log.Error("store: list cannot be read; the last one stays in force", zap.String("Subject", string(s.name)), zap.Error(err))
	case !s.isLost:
		s.f.c.Log.Warn("store: unreachable", zap.String("Subject", string(s.name)), zap.Error(err))
	}
	s.isLost = true
	s.setLost(true)
}

// setLost records in the view whether the store answers for configurations, and wakes those that wait for a change once
// it does not. For other subjects it does nothing.
func (s *subjectPoller) setLost(isLost bool) {
	if s.name != foxtailwharf.SubjectConfiguration {
		return
	}
	s.f.mu.Lock()
	defer s.f.mu.Unlock()
	if isLost && !s.f.view.IsLost {
		s.f.wakeWaiters()
	}
	s.f.view.IsLost = isLost
}

// recordAnswer records an answer, which may end an outage.
func (s *subjectPoller) recordAnswer() {
	now := s.f.c.Clock()
	if s.isLost {
		s.f.c.Log.Info("store: reachable again", zap.String("Subject", string(s.name)), zap.Duration("After", now-s.lastAnswer))
		s.f.setReachable(s.name, now, now-s.lastAnswer > minOutage)
	}
	s.isLost = false
	s.failures = 0
	s.setLost(false)
	s.lastAnswer = now
}
