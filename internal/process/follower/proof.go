package follower

import (
	"time"

	"go.uber.org/zap"
)

// proofPeriod is how long the first proof after a restore is sought by short polls. Later ones wait for what operators
// have not written again yet.
const proofPeriod = 500 * time.Millisecond

// Confirm records that the configuration of this version was certainly the newest at a time by the
// local clock.
func (f *Follower) Confirm(version int64, at time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if version > 0 && f.view.Version() == version && f.confirm(at) {
		f.c.OnChange(f.view)
	}
}

// RequireVersion records that another entry knows a version of the configuration. An older one is not the newest, whatever the
// store says: it may have come back from an older copy before this process first asked it.
func (f *Follower) RequireVersion(version int64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if version <= f.newest {
		return
	}
	f.newest = version
	if f.view.Version() >= version {
		return
	}
	f.c.Log.Info("store: another entry knows a newer configuration", zap.Int64("Version", version), zap.Int64("Own", f.view.Version()))
	if f.view.HasProof {
		f.view.HasProof = false
		f.c.OnChange(f.view)
	}
}

// confirm records a proof for the configuration in force. It returns false if the proof is no
// newer than the known one.
func (f *Follower) confirm(at time.Duration) bool {
	if f.view.Version() < f.newest {
		return false
	}
	if f.view.HasProof && at <= f.view.ConfiguredAt {
		return false
	}
	f.view.ConfiguredAt, f.view.HasProof = at, true
	return true
}

// waitForProof shortens the wait of a poll for configurations so that the first one which proves something after a restore is
// sent, and answered, at once.
func (f *Follower) waitForProof(wait time.Duration) time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	left := f.view.ProvesFrom - f.c.Clock()
	switch {
	case left > 0:
		return min(wait, max(left, probeWait))
	case f.view.ProvesFrom > 0 && -left < proofPeriod && (!f.view.HasProof || f.view.ConfiguredAt < f.view.ProvesFrom):
		return probeWait
	default:
		return wait
	}
}
