package runner

import (
	"net/http"
	"sync"
	"time"
)

// HeartbeatInterval is the time between the heartbeats that an agent sends while a request waits
// or runs and its response has not begun.
const HeartbeatInterval = time.Second

// heartbeat sends interim responses (102 Processing), which let an entry distinguish a busy agent
// from a frozen one.
type heartbeat struct {
	w    http.ResponseWriter
	quit chan struct{}
	done chan struct{}
	once sync.Once
}

func startHeartbeat(w http.ResponseWriter) *heartbeat {
	h := &heartbeat{w: w, quit: make(chan struct{}), done: make(chan struct{})}
	go h.run()
	return h
}

func (h *heartbeat) run() {
	defer close(h.done)
	ticker := time.NewTicker(HeartbeatInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			h.w.WriteHeader(http.StatusProcessing)
		case <-h.quit:
			return
		}
	}
}

// stop ends the heartbeats; after that the response may be written. It may be called more than
// once.
func (h *heartbeat) stop() {
	h.once.Do(func() { close(h.quit) })
	<-h.done
}
