package receiver

import (
	"net/http"
	"sync/atomic"
)

// headWriter is a response writer that records whether the head of the response has been sent, and closes the connection
// after the response if the entry shuts down by then.
type headWriter struct {
	http.ResponseWriter
	isLeaving *atomic.Bool
	isSent    bool
}

// begin is called before each part of the response. Only before the head it has an effect on the connection.
func (w *headWriter) begin() {
	if !w.isSent && w.isLeaving.Load() {
		w.Header().Set("Connection", "close")
	}
	w.isSent = true
}

// WriteHeader sends the head of the response.
func (w *headWriter) WriteHeader(status int) {
	w.begin()
	w.ResponseWriter.WriteHeader(status)
}

// Write sends a part of the body, after the head.
func (w *headWriter) Write(data []byte) (int, error) {
	w.begin()
	return w.ResponseWriter.Write(data)
}

// Unwrap returns the underlying writer for http.ResponseController.
func (w *headWriter) Unwrap() http.ResponseWriter {
	return w.ResponseWriter
}
