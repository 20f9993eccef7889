package runner

import (
	"net/http"
	"sync"
	"time"
)

// HeartbeatInterval is the time between two signs of life that an agent sends
// while a request waits or runs and there is no answer yet.
const HeartbeatInterval = time.Second

// heart sends interim responses (102 Processing), by which an entry tells a busy
// agent from a frozen one.
type heart struct {
	w    http.ResponseWriter
	quit chan struct{}
	done chan struct{}
	once sync.Once
}

func startHeart(w http.ResponseWriter) *heart {
	h := &heart{w: w, quit: make(chan struct{}), done: make(chan struct{})}
	go h.run()
	return h
}

func (h *heart) run() {
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

// stop ends the signs of life; after it the answer may be written. It may be
// called again.
func (h *heart) stop() {
	h.once.Do(func() { close(h.quit) })
	<-h.done
}
