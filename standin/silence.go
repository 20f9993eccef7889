package standin

import (
	"context"
	"time"

	"github.com/pkg/errors"
)

// FallSilent makes the engine send nothing for a time: no events, no refusals and no state. It goes on afterwards.
func (e *SlotEngine) FallSilent(d time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.silentUntil = time.Now().Add(d)
}

// awaitSpeech waits for the end of a silence, or for that of the context.
func (e *SlotEngine) awaitSpeech(ctx context.Context) error {
	e.mu.Lock()
	timer := time.NewTimer(time.Until(e.silentUntil))
	e.mu.Unlock()
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return errors.Wrap(ctx.Err(), "SlotEngine.awaitSpeech")
	}
}
