// Package uploader serves an agent's manifests and chunks to other agents, a
// bounded number at a time and paced below live traffic.
package uploader

import (
	"context"
	"net/http"
	"path"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/foxtailwharf/foxtailwharf/internal/process/pauser"
	"github.com/foxtailwharf/foxtailwharf/internal/version/holder"
	"github.com/foxtailwharf/foxtailwharf/internal/version/pacer"
)

const (
	// defaultBlock is the number of bytes of a chunk that are sent at once.
	defaultBlock = 64 << 10
	// slotWait is how long a request waits for an upload slot before it is told to
	// try another agent.
	slotWait = 50 * time.Millisecond
	// maxWait bounds the wait for a chunk that is not there yet.
	maxWait = time.Minute
	// writeTimeout bounds the sending of one block to an agent that stalls.
	writeTimeout = 10 * time.Second
)

// Config holds the settings of an Uploader.
type Config struct {
	Holder  *holder.Holder
	Uploads int   // at a time
	Rate    int64 // bytes a second; 0 for no limit
	// Block is the number of bytes that are sent at once, which other traffic may have to wait
	// for; 0 for the default.
	Block int
}

// Uploader is an http.Handler for manifests and chunks.
type Uploader struct {
	c     Config
	slots chan struct{}
	sent  atomic.Int64

	mu    sync.Mutex
	pacer *pacer.Pacer
}

// New returns an uploader.
func New(c Config) *Uploader {
	if c.Block == 0 {
		c.Block = defaultBlock
	}
	return &Uploader{c: c, slots: make(chan struct{}, c.Uploads), pacer: pacer.New(c.Rate)}
}

// SetRate changes the rate in bytes a second.
func (u *Uploader) SetRate(rate int64) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.pacer.SetRate(rate)
}

// Press slows uploads for a while, because requests are slow.
func (u *Uploader) Press() {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.pacer.Press(time.Now())
}

// IsPressed reports whether requests are slow now.
func (u *Uploader) IsPressed() bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.pacer.IsPressed(time.Now())
}

// Sent returns the bytes of chunks uploaded so far.
func (u *Uploader) Sent() int64 {
	return u.sent.Load()
}

// ServeManifest answers with the manifest named by the last part of the path.
func (u *Uploader) ServeManifest(w http.ResponseWriter, r *http.Request) {
	text, isHeld := u.c.Holder.Manifest(path.Base(r.URL.Path))
	if !isHeld {
		http.NotFound(w, r)
		return
	}
	// The reader finds out by the digest if not all arrived.
	_, _ = w.Write(text)
}

// ServeChunk answers with the chunk named by the last part of the path. With
// "Prefer: wait=N" it waits up to N seconds for a chunk that is not there yet.
func (u *Uploader) ServeChunk(w http.ResponseWriter, r *http.Request) {
	ctx, cancel := context.WithTimeout(r.Context(), preferredWait(r))
	data, isHeld := u.c.Holder.Await(ctx, path.Base(r.URL.Path))
	cancel()
	if !isHeld {
		http.NotFound(w, r)
		return
	}
	timer := time.NewTimer(slotWait)
	defer timer.Stop()
	select {
	case u.slots <- struct{}{}:
		defer func() { <-u.slots }()
	case <-timer.C:
		http.Error(w, "all uploads are in use", http.StatusServiceUnavailable)
		return
	}
	w.Header().Set("Content-Length", strconv.Itoa(len(data)))
	u.send(w, r, data)
}

func preferredWait(r *http.Request) time.Duration {
	text, isSet := strings.CutPrefix(r.Header.Get("Prefer"), "wait=")
	if !isSet {
		return 0
	}
	seconds, err := strconv.Atoi(text)
	if err != nil || seconds < 0 {
		return 0
	}
	return min(time.Duration(seconds)*time.Second, maxWait)
}

// send writes a chunk block by block under the pacer.
func (u *Uploader) send(w http.ResponseWriter, r *http.Request, data []byte) {
	controller := http.NewResponseController(w)
	for len(data) > 0 {
		block := data[:min(u.c.Block, len(data))]
		data = data[len(block):]
		if !pauser.Sleep(r.Context(), u.reserve(len(block))) {
			return
		}
		// Not all connections have deadlines; then the reader's own timeout ends the transfer.
		_ = controller.SetWriteDeadline(time.Now().Add(writeTimeout))
		n, err := w.Write(block)
		u.sent.Add(int64(n))
		if err != nil {
			return
		}
	}
	_ = controller.SetWriteDeadline(time.Time{})
}

func (u *Uploader) reserve(bytes int) time.Duration {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.pacer.Reserve(time.Now(), bytes)
}
