package relayer

import (
	"sync"
	"time"
)

// watchdog calls a function when nothing has been heard of an agent for a time. It is safe for concurrent use.
type watchdog struct {
	mu       sync.Mutex
	timer    *time.Timer
	until    time.Time // when the agent has been silent for too long
	isPaused bool
}

// start sets up the watchdog with the first time limit.
func (w *watchdog) start(limit time.Duration, onSilence func()) {
	w.mu.Lock()
	defer w.mu.Unlock()
	// The timer is started only once the fields that isEarly uses are set.
	w.timer = time.AfterFunc(time.Hour, onSilence)
	w.set(limit)
}

// hear notes that the agent was heard. It may be silent for a time from now on.
func (w *watchdog) hear(limit time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.isPaused = false
	w.set(limit)
}

// wait gives an agent that has been silent for too long further time, unless it has been heard meanwhile.
func (w *watchdog) wait(limit time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.isPaused && !time.Now().Before(w.until) {
		w.set(limit)
	}
}

// pause stops the watchdog until hear.
func (w *watchdog) pause() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.isPaused = true
	w.timer.Stop()
}

// isEarly reports whether the timer fired as the agent was heard, or as the watchdog was paused.
func (w *watchdog) isEarly() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.isPaused || time.Now().Before(w.until)
}

// set starts the timer. The lock must be held.
func (w *watchdog) set(limit time.Duration) {
	w.until = time.Now().Add(limit)
	w.timer.Reset(limit)
}
