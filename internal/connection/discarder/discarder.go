// Package discarder answers requests whose body has not been read, so that callers which are still
// sending it get the answer. The answer is sent at once. The rest of the body is then read and
// discarded, because closing a connection with unread bytes resets it, and the caller may lose the
// answer.
package discarder

import (
	"bytes"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"
)

const (
	// leavingTimeout bounds the discarding of a body once the server is shutting down, and also that of
	// a body whose time was up before the answer.
	leavingTimeout = 2 * time.Second
	// continueTimeout is how long a caller that has asked for "100 Continue", and was refused instead,
	// may take to begin sending its body all the same.
	continueTimeout = time.Second
)

// Config holds the settings of a Discarder.
type Config struct {
	Log *zap.Logger
}

// Discarder discards the bodies of one server's requests. It is safe for concurrent use.
type Discarder struct {
	log *zap.Logger

	mu        sync.Mutex
	isLeaving bool
	rests     map[*rest]bool // being discarded
}

// Bounds limit how much of a body is discarded, and until when.
type Bounds struct {
	Bytes int64
	Until time.Time
	// HasBegun is set if a part of the body was read, which has told the caller to send it.
	HasBegun bool
	// HasFailed is set if reading the body has failed, so that its end can no longer be found. The
	// connection is closed after the answer.
	HasFailed bool
}

// rest is the part of a request's body that has not been read.
type rest struct {
	w          http.ResponseWriter
	r          *http.Request
	controller *http.ResponseController
	until      time.Time // guarded by the discarder's mutex
}

// New returns a discarder.
func New(c Config) *Discarder {
	return &Discarder{log: c.Log, rests: make(map[*rest]bool)}
}

// Answer answers a request with write, sends the answer, and discards the rest of the request's body
// within the bounds. The answer must have a Content-Length, as the caller could not tell its end before
// the handler returns. If the body does not end within the bounds, the connection is closed: its write
// side first, and the rest half a second later.
func (d *Discarder) Answer(w http.ResponseWriter, r *http.Request, bounds Bounds, write func()) {
	s := &rest{w: w, r: r, controller: http.NewResponseController(w), until: bounds.Until}
	// Without full duplex, net/http reads up to 256 KiB of the body before it sends the answer.
	if r.Body == nil || r.Body == http.NoBody || s.controller.EnableFullDuplex() != nil {
		write()
		return
	}
	if bounds.HasFailed || r.ContentLength > bounds.Bytes {
		w.Header().Set("Connection", "close")
	}
	write()
	if err := s.controller.Flush(); err != nil {
		d.log.Debug("discarder: answer could not be sent", zap.Error(err))
		s.close()
		return
	}
	read := d.discard
	if bounds.HasFailed {
		read = d.linger
	}
	if err := read(s, bounds); err != nil {
		d.log.Debug("discarder: body not read to its end", zap.Error(err))
		s.close()
	}
}

// discard reads the body to its end. It fails if the body does not end within the bounds.
func (d *Discarder) discard(s *rest, bounds Bounds) error {
	if err := d.add(s); err != nil {
		return err
	}
	defer d.remove(s)
	body := http.MaxBytesReader(s.w, s.r.Body, bounds.Bytes)
	if s.expectsContinue() && !bounds.HasBegun {
		if err := d.awaitBody(s, body); err != nil {
			return err
		}
	}
	if _, err := io.Copy(io.Discard, body); err != nil {
		return err
	}
	return s.controller.SetReadDeadline(time.Time{})
}

// linger closes the write side of the connection and discards what the caller sends until it closes its
// own. It fails, and leaves the connection to net/http, if the connection cannot be had.
func (d *Discarder) linger(s *rest, bounds Bounds) error {
	conn, _, err := s.controller.Hijack()
	if err != nil {
		return err
	}
	defer func() { _ = conn.Close() }()
	if err := d.add(s); err != nil {
		d.log.Debug("discarder: connection has no read deadline", zap.Error(err))
		return nil
	}
	defer d.remove(s)
	if half, canHalfClose := conn.(interface{ CloseWrite() error }); canHalfClose {
		if err := half.CloseWrite(); err != nil {
			d.log.Debug("discarder: connection of the caller has failed", zap.Error(err))
			return nil
		}
	}
	if _, err := io.Copy(io.Discard, io.LimitReader(conn, bounds.Bytes)); err != nil {
		d.log.Debug("discarder: caller has not closed its connection in time", zap.Error(err))
	}
	return nil
}

// expectsContinue reports whether the caller may be waiting for "100 Continue".
func (s *rest) expectsContinue() bool {
	return s.r.Header.Get("Expect") != ""
}

// awaitBody waits for the first byte of the body. net/http sends no "100 Continue" after an answer.
func (d *Discarder) awaitBody(s *rest, body io.Reader) error {
	d.mu.Lock()
	err := s.controller.SetReadDeadline(earlier(time.Now().Add(continueTimeout), s.until))
	d.mu.Unlock()
	if err != nil {
		return err
	}
	if _, err := io.CopyN(io.Discard, body, 1); err != nil && !errors.Is(err, io.EOF) {
		return err
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	return s.controller.SetReadDeadline(s.until)
}

// add sets the deadline for the body, and registers it for Leave.
func (d *Discarder) add(s *rest) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	leaving := time.Now().Add(leavingTimeout)
	if d.isLeaving || s.until.Before(leaving) {
		s.until = leaving
	}
	d.rests[s] = true
	return s.controller.SetReadDeadline(s.until)
}

func (d *Discarder) remove(s *rest) {
	d.mu.Lock()
	defer d.mu.Unlock()
	delete(d.rests, s)
}

// Leave makes the discarder give up all bodies after leavingTimeout, also those that follow. A server
// that shuts down calls it, as it waits for the end of the requests in progress.
func (d *Discarder) Leave() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.isLeaving = true
	for s := range d.rests {
		s.until = earlier(s.until, time.Now().Add(leavingTimeout))
		if err := s.controller.SetReadDeadline(s.until); err != nil {
			d.log.Debug("discarder: connection has no read deadline", zap.Error(err))
		}
	}
}

// close makes net/http close the connection in order after the handler returns: without it, the rest of
// the body might be read as the next request.
func (s *rest) close() {
	// An expired deadline keeps net/http from waiting for more of the body; a connection without
	// deadlines only lets it wait.
	_ = s.controller.SetReadDeadline(time.Now())
	// A MaxBytesReader closes the connection once its limit is reached.
	_, _ = http.MaxBytesReader(s.w, io.NopCloser(bytes.NewReader([]byte{0})), 0).Read(make([]byte, 1))
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}
