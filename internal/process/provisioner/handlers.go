package provisioner

import (
	"net/http"
	"strconv"
	"time"

	"go.uber.org/zap"

	"github.com/foxtailwharf/foxtailwharf"
	"github.com/foxtailwharf/foxtailwharf/internal/connection/messenger"
	"github.com/foxtailwharf/foxtailwharf/internal/process/sleeper"
	"github.com/foxtailwharf/foxtailwharf/internal/version/downloader"
)

// metricsMux serves the metrics in text format.
func (p *Provisioner) metricsMux() http.Handler {
	load := func(value func(foxtailwharf.UpstreamLoad) int64) func() int64 {
		return func() int64 {
			p.mu.Lock()
			defer p.mu.Unlock()
			return value(p.load)
		}
	}
	p.meter.Gauge("Weights", load(func(l foxtailwharf.UpstreamLoad) int64 { return l.Weights }))
	p.meter.Gauge("Running", load(func(l foxtailwharf.UpstreamLoad) int64 { return int64(l.Running) }))
	p.meter.Gauge("Queued", load(func(l foxtailwharf.UpstreamLoad) int64 { return int64(l.Queued) }))
	p.meter.Gauge("OriginBytesDrawn", p.fetcher.Drawn)
	p.meter.Gauge("BytesUploaded", p.uploader.Sent)
	mux := http.NewServeMux()
	mux.HandleFunc("GET /metrics", p.meter.ServeText)
	return mux
}

func (p *Provisioner) mux() http.Handler {
	p.fetcher.Register(p.messages)
	mux := http.NewServeMux()
	mux.Handle("GET "+messenger.Path, p.messages)
	mux.Handle("GET /metrics", p.meter)
	mux.HandleFunc("GET "+downloader.PathManifests, p.uploader.ServeManifest)
	mux.HandleFunc("GET "+downloader.PathChunks, p.uploader.ServeChunk)
	mux.HandleFunc("GET "+pathReleases+"{Model}/{Version}", p.serveRelease)
	return mux
}

// manifestWait is how long a request waits for a manifest that is being read, and
// manifestPollInterval the time between two checks for it.
const (
	manifestWait         = 400 * time.Millisecond
	manifestPollInterval = 10 * time.Millisecond
)

// serveRelease serves the manifest of a release. It waits up to manifestWait for one that is not
// held.
func (p *Provisioner) serveRelease(w http.ResponseWriter, r *http.Request) {
	version, err := strconv.ParseInt(r.PathValue("Version"), 10, 64)
	if err != nil {
		http.Error(w, "the version must be a number", http.StatusBadRequest)
		return
	}
	release := foxtailwharf.Release{Model: r.PathValue("Model"), Version: version}
	text, isHeld := p.manifest(release)
	for until := time.Now().Add(manifestWait); !isHeld && time.Now().Before(until) && sleeper.Sleep(r.Context(), manifestPollInterval); {
		text, isHeld = p.manifest(release)
	}
	if !isHeld {
		http.NotFound(w, r)
		return
	}
	if _, err := w.Write(text); err != nil {
		p.c.Log.Debug("agent: failed to send a manifest", zap.Error(err))
	}
}

// manifest returns the manifest of a release, and false if it is not held.
func (p *Provisioner) manifest(release foxtailwharf.Release) ([]byte, bool) {
	p.mu.Lock()
	digest, isKnown := p.manifestDigests[release]
	p.mu.Unlock()
	if !isKnown {
		return nil, false
	}
	return p.holder.Manifest(digest)
}
