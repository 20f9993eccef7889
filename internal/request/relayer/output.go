package relayer

import (
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/pkg/errors"

	"github.com/foxtailwharf/foxtailwharf"
	"github.com/foxtailwharf/foxtailwharf/internal/process/recorder"
	"github.com/foxtailwharf/foxtailwharf/internal/request/splitter"
	"github.com/foxtailwharf/foxtailwharf/wire"
)

// Headers of answers to callers.
const (
	HeaderVersion  = "Foxtailwharf-Version"
	HeaderReplayed = "Foxtailwharf-Replayed"

	// callerTimeout bounds one write to a caller that reads slowly.
	callerTimeout = 30 * time.Second
	bytesPerToken = 4
)

var (
	errCaller   = errors.New("the caller went away")
	errTooLarge = errors.New("the answer is too large")
	errSequence = errors.New("an event repeats or leaves out another")
)

// output is the answer as the caller has it so far.
type output struct {
	w        http.ResponseWriter
	recorder *recorder.Recorder
	identity foxtailwharf.Identity
	rank     foxtailwharf.Rank
	started  time.Time
	limit    int64 // bytes of an answer that is not a stream

	isStarted bool
	version   string // that wrote the part sent; empty before the start
	lastID    string // of the last event sent
	lastWrite time.Time
	events    int
	bytes     int64
}

// accepts reports whether an answer may go on where the part sent ends.
func (o *output) accepts(answer wire.Answer) bool {
	return !o.isStarted || answer.Version == o.version
}

// begin sends the head of the answer once.
func (o *output) begin(answer wire.Answer, length int) {
	if o.isStarted {
		return
	}
	o.isStarted = true
	o.version = answer.Version
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
	o.recorder.Time(recorder.MeasureFirst, o.identity.Account, string(o.rank), time.Since(o.started))
	o.w.WriteHeader(answer.Status)
}

// writeEvent sends one whole event of a stream.
func (o *output) writeEvent(answer wire.Answer, event splitter.Event) error {
	if !follows(o.lastID, event.ID) {
		return errSequence
	}
	o.begin(answer, -1)
	controller := http.NewResponseController(o.w)
	// Connections without deadlines are those of tests.
	_ = controller.SetWriteDeadline(time.Now().Add(callerTimeout))
	if _, err := o.w.Write(event.Text); err != nil {
		return errors.Wrap(errCaller, err.Error())
	}
	if err := controller.Flush(); err != nil {
		return errors.Wrap(errCaller, err.Error())
	}
	now := time.Now()
	if o.events > 0 {
		o.recorder.Time(recorder.MeasureBetween, o.identity.Account, string(o.rank), now.Sub(o.lastWrite))
	}
	o.lastWrite = now
	o.events++
	o.bytes += int64(len(event.Text))
	if event.ID != "" {
		o.lastID = event.ID
	}
	return nil
}

// follows reports whether an event may come after the last one: numbered events
// come without gaps or repeats, which an engine that cannot resume would break.
func follows(lastID, id string) bool {
	last, lastErr := strconv.Atoi(lastID)
	next, nextErr := strconv.Atoi(id)
	return lastErr != nil || nextErr != nil || next == last+1
}

// finish ends a stream, which may have had no event at all.
func (o *output) finish(answer wire.Answer) {
	o.begin(answer, -1)
	o.noteWhole()
}

// readAll reads an answer that is not a stream: none of it is sent before it is
// known to be whole, so that it can be had from elsewhere.
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

// writeAll sends a whole answer.
func (o *output) writeAll(answer wire.Answer, data []byte) {
	o.begin(answer, len(data))
	o.bytes = int64(len(data))
	_ = http.NewResponseController(o.w).SetWriteDeadline(time.Now().Add(callerTimeout))
	// A caller that went away is seen by its own end of the connection.
	_, _ = o.w.Write(data)
	o.noteWhole()
}

func (o *output) noteWhole() {
	o.recorder.Time(recorder.MeasureWhole, o.identity.Account, string(o.rank), time.Since(o.started))
}

// cost returns the tokens of the answer so far: one for each event of a stream.
func (o *output) cost() float64 {
	if o.events > 0 {
		return float64(o.events)
	}
	return float64(o.bytes) / bytesPerToken
}
