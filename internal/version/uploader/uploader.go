// Package uploader serves an agent's manifests and chunks to other agents over HTTP. The number of
// concurrent uploads and their total rate are limited, so that live traffic takes precedence.
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

	"github.com/pkg/errors"

	"github.com/foxtailwharf/foxtailwharf/internal/process/sleeper"
	"github.com/foxtailwharf/foxtailwharf/internal/version/holder"
	"github.com/foxtailwharf/foxtailwharf/internal/version/pacer"
)

const (
	// defaultBlockBytes is the default of Config.BlockBytes.
	defaultBlockBytes = 64 << 10
	// slotTimeout is how long a request waits for an upload slot. After that it is answered with
	// status 503, so that the client tries another agent.
	slotTimeout = 50 * time.Millisecond
	// maxWait bounds the time that a request for a missing chunk is held.
	maxWait = time.Minute
	// writeTimeout bounds the writing of one block, in case the client stalls.
	writeTimeout = 10 * time.Second
)

// Config holds the settings of an Uploader.
type Config struct {
	Holder  *holder.Holder
	Uploads int   // number of concurrent chunk uploads
	Rate    int64 // total, in bytes per second; 0 for no limit
	// BlockBytes is the number of bytes that are written at once; 0 for the default of 64 KiB. Other
	// traffic on the link may have to wait for one block.
	BlockBytes int
}

// Uploader provides HTTP handlers for manifests and chunks. It is safe for concurrent use.
type Uploader struct {
	c     Config
	slots chan struct{}
	sent  atomic.Int64

	mu    sync.Mutex
	pacer *pacer.Pacer
}

// New returns an uploader that serves from c.Holder.
func New(c Config) *Uploader {
	if c.BlockBytes == 0 {
		c.BlockBytes = defaultBlockBytes
	}
	return &Uploader{c: c, slots: make(chan struct{}, c.Uploads), pacer: pacer.New(c.Rate)}
}

// SetRate changes the total rate in bytes per second; 0 for no limit.
func (u *Uploader) SetRate(rate int64) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.pacer.SetRate(rate)
}

// ReduceRate reduces the rate for two seconds because a request was slow.
func (u *Uploader) ReduceRate() {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.pacer.ReduceRate(time.Now())
}

// IsRateReduced reports whether the rate is reduced now because requests are slow.
func (u *Uploader) IsRateReduced() bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.pacer.IsRateReduced(time.Now())
}

// Sent returns the number of chunk bytes sent so far.
func (u *Uploader) Sent() int64 {
	return u.sent.Load()
}

// ServeManifest responds with the manifest whose digest is the last element of the path.
func (u *Uploader) ServeManifest(w http.ResponseWriter, r *http.Request) {
	text, isHeld := u.c.Holder.Manifest(path.Base(r.URL.Path))
	if !isHeld {
		http.NotFound(w, r)
		return
	}
	// The client detects an incomplete manifest by its digest.
	_, _ = w.Write(text)
}

// ServeChunk responds with the chunk whose digest is the last element of the path. With the header
// "Prefer: wait=N" it holds the request for up to N seconds until the chunk arrives, one minute at
// most. It responds with status 503 if no upload slot becomes free.
func (u *Uploader) ServeChunk(w http.ResponseWriter, r *http.Request) {
	ctx, cancel := context.WithTimeout(r.Context(), preferredWait(r))
	data, isHeld := u.c.Holder.Await(ctx, path.Base(r.URL.Path))
	cancel()
	if !isHeld {
		http.NotFound(w, r)
		return
	}
	timer := time.NewTimer(slotTimeout)
	defer timer.Stop()
	select {
	case u.slots <- struct{}{}:
		defer func() { <-u.slots }()
	case <-timer.C:
		http.Error(w, "all upload slots are in use", http.StatusServiceUnavailable)
		return
	}
	w.Header().Set("Content-Length", strconv.Itoa(len(data)))
	u.send(w, r, data)
}

// preferredWait returns how long the request may be held.
func preferredWait(r *http.Request) time.Duration {
	text, isSet := strings.CutPrefix(r.Header.Get("Prefer"), "wait=")
	if !isSet {
		return 0
	}
	// A number out of range comes back as the largest or the smallest int.
	seconds, err := strconv.Atoi(text)
	if (err != nil && !errors.Is(err, strconv.ErrRange)) || seconds < 0 {
		return 0
	}
	return time.Duration(min(seconds, int(maxWait/time.Second))) * time.Second
}

// send writes a chunk in blocks at the rate of the pacer.
func (u *Uploader) send(w http.ResponseWriter, r *http.Request, data []byte) {
	controller := http.NewResponseController(w)
	for len(data) > 0 {
		block := data[:min(u.c.BlockBytes, len(data))]
		data = data[len(block):]
		if !sleeper.Sleep(r.Context(), u.reserve(len(block))) {
			return
		}
		// Not all connections support deadlines. On those the client's stall timeout ends the
		// transfer.
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
