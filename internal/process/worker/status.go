package worker

import (
	"encoding/json"
	"net/http"

	"github.com/foxtailwharf/foxtailwharf"
	"github.com/foxtailwharf/foxtailwharf/internal/process/registrar"
)

// Status is an agent's view of itself and its upstream, served as JSON under /statusz.
type Status struct {
	Self      foxtailwharf.Instance
	Load      foxtailwharf.Load
	Documents []registrar.Status
	Holders   int
	Chunks    int
	AllChunks int
	HeldBytes int64
	SentBytes int64
	Drawn     int64 // chunk bytes received from the origin
}

// ServesWantedVersion reports whether the service's document is known and the upstream serves
// the version that it names. A plain service has no version.
func (w *Worker) ServesWantedVersion() bool {
	s, isKnown := w.registrar.Service(w.c.Settings.Service)
	return isKnown && (s.Upstream == foxtailwharf.UpstreamPlain || w.gossiper.Self().Version == s.Version)
}

// Status returns the agent's current view.
func (w *Worker) Status() Status {
	status := Status{
		Self:      w.gossiper.Self(),
		Load:      w.dispatcher.Load(),
		Documents: w.registrar.Statuses(),
		Holders:   len(w.holders()),
		HeldBytes: w.holder.Bytes(),
		SentBytes: w.uploader.Sent(),
		Drawn:     w.fetcher.Drawn(),
	}
	if s, isKnown := w.registrar.Service(w.c.Settings.Service); isKnown {
		status.Chunks, status.AllChunks = w.holder.Count(s.Version)
	}
	return status
}

func (w *Worker) serveStatus(out http.ResponseWriter, _ *http.Request) {
	out.Header().Set("Content-Type", "application/json")
	// The only error is that the reader has disconnected.
	_ = json.NewEncoder(out).Encode(w.Status())
}

func (w *Worker) serveReady(out http.ResponseWriter, _ *http.Request) {
	self := w.gossiper.Self()
	s, isKnown := w.registrar.Service(w.c.Settings.Service)
	isReady := isKnown && !self.IsLeaving && (s.Upstream == foxtailwharf.UpstreamPlain || self.Version != "")
	if !isReady {
		http.Error(out, "not ready", http.StatusServiceUnavailable)
	}
}
