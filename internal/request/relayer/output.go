package relayer

import (
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/foxtailwharf/foxtailwharf"
	"github.com/foxtailwharf/foxtailwharf/internal/process/meter"
	"github.com/foxtailwharf/foxtailwharf/internal/request/arbiter"
	"github.com/foxtailwharf/foxtailwharf/internal/request/explainer"
	"github.com/foxtailwharf/foxtailwharf/internal/request/splitter"
	"github.com/foxtailwharf/foxtailwharf/wire"
)

// Headers of responses to callers.
const (
	HeaderVersion  = "Foxtailwharf-Version"
	HeaderReplayed = "Foxtailwharf-Replayed"

	// callerWriteTimeout bounds one write to a caller that reads slowly.
	callerWriteTimeout = 30 * time.Second
	bytesPerToken      = 4
)

var (
	errDisconnected = errors.New("the caller disconnected")
	errTooLarge     = errors.New("the response exceeds the size limit")
	errSequence     = errors.New("event IDs are not consecutive")
	errGivenUp      = errors.New("the request was given up before its response began")
)

// output is the response to the caller, as far as it was sent.
type output struct {
	w        http.ResponseWriter
	arbiter  *arbiter.Arbiter
	meter    *meter.Meter
	identity foxtailwharf.Identity
	rank     foxtailwharf.Rank
	started  time.Time
	limit    int64 // maximum size in bytes of a response that is not forwarded by event

	mu        sync.Mutex // held while the next three change
	isStarted bool
	version   string // version that produced the part that was sent; empty before the start
	lastID    string // ID of the last event that was sent
	failure   error  // of a write to the caller; nil for none
	lastWrite time.Time
	events    int
	bytes     int64
}

// accepts reports whether a response may continue after the part that was sent.
func (o *output) accepts(answer wire.Answer) bool {
	return !o.isStarted || answer.Version == o.version
}

// position returns the version of the part that was sent, and whether another agent may go on after it. It is safe
// for concurrent use.
func (o *output) position() (version string, canResume bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.version, !o.isStarted || o.lastID != ""
}

// writeHead sends the status and headers of the response, once. A negative length sets no
// Content-Length.
func (o *output) writeHead(answer wire.Answer, length int) {
	if o.isStarted {
		return
	}
	o.mu.Lock()
	o.isStarted = true
	o.version = answer.Version
	o.mu.Unlock()
	header := o.w.Header()
	if answer.ContentType != "" {
		header.Set("Content-Type", answer.ContentType)
	}
	if answer.Version != "" {
		header.Set(HeaderVersion, answer.Version)
	}
	if answer.IsReplayed {
		header.Set(HeaderReplayed, "true")
	}
	if length >= 0 {
		header.Set("Content-Length", strconv.Itoa(length))
	}
	o.meter.RecordDuration(meter.MeasureFirstToken, o.identity.Account, string(o.rank), time.Since(o.started))
	o.w.WriteHeader(answer.Status)
}

// writeEvent sends one complete event of a stream.
func (o *output) writeEvent(answer wire.Answer, event splitter.Event) error {
	if !follows(o.lastID, event.ID) {
		return errSequence
	}
	if !o.isStarted && !o.arbiter.Hear() {
		return errGivenUp
	}
	o.writeHead(answer, -1)
	controller := http.NewResponseController(o.w)
	// The error is ignored because only connections in tests have no deadlines.
	_ = controller.SetWriteDeadline(time.Now().Add(callerWriteTimeout))
	if _, err := o.w.Write(event.Text); err != nil {
		o.failure = err
		return errors.Wrap(errDisconnected, err.Error())
	}
	if err := controller.Flush(); err != nil {
		o.failure = err
		return errors.Wrap(errDisconnected, err.Error())
	}
	now := time.Now()
	if o.events > 0 {
		o.meter.RecordDuration(meter.MeasureBetweenTokens, o.identity.Account, string(o.rank), now.Sub(o.lastWrite))
	}
	o.lastWrite = now
	o.events++
	o.bytes += int64(len(event.Text))
	if event.ID != "" {
		o.mu.Lock()
		o.lastID = event.ID
		o.mu.Unlock()
	}
	return nil
}

// follows reports whether an event may come after the last one. Numbered events must come without
// gaps or repeats; an engine that cannot resume a stream would break that.
func follows(lastID, id string) bool {
	last, lastErr := strconv.Atoi(lastID)
	next, nextErr := strconv.Atoi(id)
	return lastErr != nil || nextErr != nil || next == last+1
}

// finishStream completes a stream, which may have had no event at all.
func (o *output) finishStream(answer wire.Answer) {
	// net/http writes the end once the handler has returned. Only connections in tests have no deadlines.
	_ = http.NewResponseController(o.w).SetWriteDeadline(time.Now().Add(callerWriteTimeout))
	o.writeHead(answer, -1)
	o.recordWhole()
}

// readAll reads a response that is not forwarded by event. None of it is sent before it is complete,
// so that a retry is possible until then.
func (o *output) readAll(r io.Reader) ([]byte, error) {
	data, err := io.ReadAll(io.LimitReader(r, o.limit+1))
	if err != nil {
		return nil, err
	}
	if int64(len(data)) > o.limit {
		return nil, errTooLarge
	}
	return data, nil
}

// writeAll sends a response that readAll has read.
func (o *output) writeAll(answer wire.Answer, data []byte) {
	o.writeHead(answer, len(data))
	o.bytes = int64(len(data))
	_ = http.NewResponseController(o.w).SetWriteDeadline(time.Now().Add(callerWriteTimeout))
	if _, err := o.w.Write(data); err != nil {
		o.meter.Increment(meter.CounterUnanswered + string(explainer.Write(err, false)))
		return
	}
	o.recordWhole()
}

func (o *output) recordWhole() {
	o.meter.RecordDuration(meter.MeasureTotal, o.identity.Account, string(o.rank), time.Since(o.started))
}

// cost returns the number of tokens in the response so far: one for each event of a stream,
// otherwise an estimate by its length.
func (o *output) cost() float64 {
	if o.events > 0 {
		return float64(o.events)
	}
	return float64(o.bytes) / bytesPerToken
}
