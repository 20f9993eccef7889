package forwarder

import (
	"context"
	"strconv"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"github.com/foxtailwharf/foxtailwharf"
	"github.com/foxtailwharf/foxtailwharf/internal/request/isolator"
)

// confirmTime is how long a broken connection to an engine may stay unexplained before it counts as no
// crash. The engine's agent reports a crash within some tenths of a second; without its reports the list
// or another entry tells.
const confirmTime = 5 * time.Second

// errQuarantined is the cause with which a call is cancelled that is banned and has not begun to be answered.
var errQuarantined = errors.New("such requests crash upstreams")

// suspectedCrash is a broken connection to an engine. It counts as a crash once the engine is known to have
// ended.
type suspectedCrash struct {
	upstream foxtailwharf.Upstream
	at       time.Time // the earliest
	seenAt   time.Time
	parts    []string // of a call that had not begun to be answered
}

// incarnation identifies one process of an upstream, identically at all entries: they may have its start
// in different time zones.
func incarnation(u foxtailwharf.Upstream) string {
	return u.ID + "@" + strconv.FormatInt(u.Born.UnixMilli(), 10)
}

// evidenceTime returns the present time for evidence on crashes, which grows older also while the machine is
// suspended. Its zero is arbitrary.
func (f *Forwarder) evidenceTime() time.Time {
	return time.Unix(0, 0).Add(f.c.Clock())
}

// earliest returns the earliest time at which what this entry sees now may have happened. The lock must be held.
func (f *Forwarder) earliest() time.Time {
	now := f.evidenceTime()
	return now.Add(-f.standstill.waited(now))
}

// TakeUrgent returns the evidence on requests that have crashed several upstreams, which all entries have to hear of
// at once.
func (f *Forwarder) TakeUrgent() isolator.Evidence {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.isolator.TakeUrgent(f.evidenceTime())
}

// recordCrash records that an upstream ended with a call in flight. Other entries are told at the
// next interval. If the request has crashed an upstream before, they are told at once, before the
// call is retried.
func (f *Forwarder) recordCrash(ctx context.Context, upstream foxtailwharf.Upstream, x *exchange, hasBegun bool) {
	f.mu.Lock()
	now := f.evidenceTime()
	crashes := f.isolator.RecordBreak(now, f.earliest(), incarnation(upstream), x.suspects, hasBegun)
	if x.isTrial {
		f.isolator.RecordTrialCrash(now, x.suspects)
	}
	held := f.isolator.Held(now, x.request)
	f.mu.Unlock()
	x.log("upstream ended with the request in flight", zap.String("Upstream", upstream.ID), zap.String("Request", x.request),
		zap.Int("Crashes", crashes), zap.Duration("Held", held))
	if crashes > 1 {
		f.c.ShareBans(ctx)
	}
}

// clearSuspicion removes the evidence against a request that got a complete answer.
func (f *Forwarder) clearSuspicion(request string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.isolator.RecordComplete(f.earliest(), request)
}

// quarantinedFor returns how much longer a call is banned or held, because the request crashes upstreams or
// has a part in its prompt that does; 0 if it is not.
func (f *Forwarder) quarantinedFor(x *exchange) time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.evidenceTime()
	return max(f.isolator.Held(now, x.request), f.isolator.BanRemaining(now, x.suspects))
}

// meetBan records that a call has come and returns how much longer it is banned or held; 0 if it is not, or if it is
// a trial.
func (f *Forwarder) meetBan(x *exchange) time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.evidenceTime()
	remaining, isTrial := f.isolator.Meet(now, x.suspects)
	if x.isTrial = isTrial; isTrial {
		f.c.Log.Info("quarantine: a banned call runs as a trial", zap.String("Call", x.call.ID), zap.Strings("Suspects", x.suspects))
		return 0
	}
	return max(remaining, f.isolator.Held(now, x.request))
}

// recordTrial records that a trial is sent to an upstream.
func (f *Forwarder) recordTrial(x *exchange) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.isolator.RecordTrial(f.evidenceTime(), x.suspects)
}

// mayCrash reports whether another attempt of a request is likely to crash another upstream.
func (f *Forwarder) mayCrash(x *exchange) bool {
	if f.quarantinedFor(x) > 0 {
		return true
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.isolator.IsLikelyBad(x.call.PromptParts)
}

// suspectCrash records a broken connection to an engine, with the parts of the call if it had not begun to
// be answered.
func (f *Forwarder) suspectCrash(upstream foxtailwharf.Upstream, parts []string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.suspected = append(f.suspected, suspectedCrash{upstream: upstream, at: f.earliest(), seenAt: f.evidenceTime(), parts: parts})
}

// recordBegin records that a call began to be answered, so that the parts of its prompt crash no engine.
func (f *Forwarder) recordBegin(parts []string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.isolator.RecordBegin(f.earliest(), parts)
}

// Isolate weighs the evidence on requests and parts of prompts that crash upstreams: it confirms crashes and, if this
// entry decides, bans them. It returns what other entries have to know.
func (f *Forwarder) Isolate(role isolator.Role) isolator.Evidence {
	now := f.evidenceTime()
	f.mu.Lock()
	f.standstill.pulse(now)
	suspected := f.suspected
	f.suspected = nil
	f.mu.Unlock()
	isLost := make(map[string]bool)
	for _, s := range suspected {
		isLost[incarnation(s.upstream)] = f.c.Assigner.IsLost(s.upstream)
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, s := range suspected {
		upstream := incarnation(s.upstream)
		switch {
		case isLost[upstream] || f.isolator.HasCrash(upstream):
			f.isolator.RecordCrash(now, s.at, upstream, s.parts)
			f.c.Log.Info("quarantine: engine crashed", zap.String("Upstream", s.upstream.ID), zap.Strings("PromptParts", s.parts))
		case now.Sub(s.seenAt) < confirmTime:
			f.suspected = append(f.suspected, s)
		}
	}
	f.isolator.SetRole(role)
	if role != isolator.RoleNone {
		f.enforce(f.isolator.Decide(now))
	}
	return f.isolator.TakeUnsent(now)
}

// MergeEvidence merges what another entry knows of requests and parts of prompts that crash upstreams.
func (f *Forwarder) MergeEvidence(e isolator.Evidence) {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.evidenceTime()
	f.enforce(f.isolator.Merge(now, e.Older(f.standstill.waited(now))))
}

// Bans returns the bans of requests and parts of prompts.
func (f *Forwarder) Bans() []isolator.Ban {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.isolator.Bans(f.evidenceTime())
}

// enforce ends the calls under a new ban that have not begun to be answered. The lock must be held.
func (f *Forwarder) enforce(banned []isolator.Ban) {
	for _, b := range banned {
		ended := 0
		for x := range f.pending {
			if b.Covers(x.suspects) && x.giveUp(errQuarantined) {
				ended++
			}
		}
		f.c.Log.Warn("quarantine: calls with all of these suspects are refused, since they crash upstreams", zap.Strings("Suspects", b.Parts),
			zap.Duration("SinceCrash", b.Age), zap.Duration("Remaining", b.Remaining), zap.Int("Ended", ended))
	}
}

// addPending registers a call that has not begun to be answered. It returns how much longer it is banned; 0 if it is
// not.
func (f *Forwarder) addPending(x *exchange) time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	if remaining := f.isolator.BanRemaining(f.evidenceTime(), x.suspects); remaining > 0 && !x.isTrial {
		return remaining
	}
	f.pending[x] = true
	return 0
}

// removePending removes a call that begins to be answered or has ended.
func (f *Forwarder) removePending(x *exchange) {
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.pending, x)
}
