// Package pauser pauses a duty between its rounds.
package pauser

import (
	"context"
	"time"
)

// Sleep pauses, and reports false if the context ended meanwhile.
func Sleep(ctx context.Context, pause time.Duration) bool {
	timer := time.NewTimer(pause)
	defer timer.Stop()
	select {
	case <-timer.C:
		return ctx.Err() == nil
	case <-ctx.Done():
		return false
	}
}
