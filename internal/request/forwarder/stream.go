package forwarder

import (
	"cmp"
	"context"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"github.com/foxtailwharf/foxtailwharf"
	"github.com/foxtailwharf/foxtailwharf/internal/connection/requester"
	"github.com/foxtailwharf/foxtailwharf/internal/request/balancer"
	"github.com/foxtailwharf/foxtailwharf/internal/request/splitter"
)

// eventReader reads the events of the answer to an attempt. Those that await has read are kept for next.
type eventReader struct {
	answer   *requester.Response
	splitter *splitter.Splitter
	ahead    []splitter.Event
	aheadErr error // after the events ahead
	hasData  bool  // an event with data was read
}

// eventReader returns the reader of the attempt's events.
func (a *attempt) eventReader() *eventReader {
	if a.events == nil {
		a.events = &eventReader{answer: a.answer, splitter: splitter.New(a.answer)}
	}
	return a.events
}

// next returns the next event, as Splitter.Next does. A stream without data that has no length and ends with its
// connection is broken: an upstream that crashes before its first event ends the connection as well.
func (r *eventReader) next() (event splitter.Event, err error) {
	if len(r.ahead) > 0 {
		event, r.ahead = r.ahead[0], r.ahead[1:]
		return event, nil
	}
	if r.aheadErr != nil {
		return event, r.aheadErr
	}
	return r.read()
}

// read reads an event from the answer.
func (r *eventReader) read() (event splitter.Event, err error) {
	event, err = r.splitter.Next()
	r.hasData = r.hasData || (err == nil && event.HasData)
	if errors.Is(err, io.EOF) && !r.hasData && !r.answer.IsDelimited {
		return event, &requester.Error{IsBroken: true, Err: io.ErrUnexpectedEOF}
	}
	return event, err
}

// await blocks until an event has arrived that shows progress, or the end of the stream, and returns that event.
func (r *eventReader) await() (event splitter.Event, err error) {
	for size := 0; size <= splitter.MaxEventBytes; size += len(event.Text) {
		event, err = r.read()
		if errors.Is(err, io.EOF) {
			r.aheadErr = err
			return event, nil
		}
		if err != nil {
			return event, err
		}
		r.ahead = append(r.ahead, event)
		if event.HasData || event.ID != "" {
			return event, nil
		}
	}
	return event, errors.Errorf("eventReader.await: no data in over %d bytes", splitter.MaxEventBytes)
}

// isStream reports whether the answer to the attempt is forwarded event by event.
func (a *attempt) isStream() bool {
	return a.x.route.Kind == foxtailwharf.CallStream && a.answer.Status == http.StatusOK
}

// nextEvent returns the next event of the answer. It fails if the attempt was given up before it.
func (a *attempt) nextEvent() (splitter.Event, error) {
	event, err := a.eventReader().next()
	if err == nil && !a.hearEvent(event) {
		err = a.awaitGivenUp()
	}
	return event, err
}

// forwardStream forwards complete events as they arrive.
func (a *attempt) forwardStream(ctx context.Context) (outcome, balancer.Result) {
	x := a.x
	if !x.progress.canContinue(a) {
		a.log("upstream did not resume the stream", zap.String("Type", a.answer.Header.Get("Content-Type")), zap.Int64("Weights", a.reply.Weights))
		a.setInvalid()
		return unknown, balancer.Failed
	}
	weights := a.reply.Weights
	header := x.f.c.Dialect.AnswerHeader(a.answer.Header)
	resumedAfter := a.resumedAfter()
	for {
		event, err := a.nextEvent()
		switch {
		case errors.Is(err, io.EOF):
			if !x.progress.advance() {
				return unknown, balancer.Stalled
			}
			// net/http writes the end, and the head of a stream without events, once the handler has returned.
			x.boundWrite()
			x.beginStream(a.answer.Status, header)
			a.clearSuspicion()
			return delivered, balancer.Answered
		case err != nil:
			return a.handleBroken(ctx, err)
		}
		if isRepeated(event.ID, resumedAfter) {
			a.logRepeated(event.ID)
			return unknown, balancer.Failed
		}
		if changed, isChanged := x.f.c.Dialect.EventWeights(event.Text); isChanged {
			weights = changed
		}
		if err := x.progress.advanceStream(event, isEventStream(header), weights); err != nil {
			return a.handleNotForwarded(err)
		}
		if event.HasData {
			a.begin()
		}
		x.beginStream(a.answer.Status, header)
		if err := a.write(event); err != nil {
			x.recordUnanswered("caller disconnected during its stream", x.cause(ctx, err), zap.Error(err))
			return callerGone, balancer.Abandoned
		}
	}
}

// write writes an event to the caller. The time that this takes is no silence of the upstream.
func (a *attempt) write(e splitter.Event) error {
	a.isWriting.Store(true)
	defer a.isWriting.Store(false)
	began := time.Now()
	if err := a.x.writeEvent(e.Text); err != nil {
		return err
	}
	took := time.Since(began)
	a.heardAt.Add(int64(took))
	switch {
	case e.HasData:
		a.resetStallTimer()
	case took > suspectSilence:
		a.restartStallTimer()
	}
	return nil
}

// handleNotForwarded handles an attempt whose answer must not begin, or go on, with its next event.
func (a *attempt) handleNotForwarded(err error) (outcome, balancer.Result) {
	if errors.Is(err, errSuperseded) {
		return unknown, balancer.Stalled
	}
	return a.handleBroken(a.ctx, a.awaitGivenUp())
}

// resumedAfter returns the ID of the event after which the answer has to go on; empty if it is to start
// from the beginning.
func (a *attempt) resumedAfter() string {
	if !a.x.route.IsRepeatable() {
		return ""
	}
	return cmp.Or(a.from.lastEvent, a.x.call.LastEventID)
}

// logRepeated logs and records that an event has come that the caller has already.
func (a *attempt) logRepeated(id string) {
	a.setInvalid()
	a.log("upstream started the stream again", zap.String("Event", id), zap.String("LastEvent", a.resumedAfter()))
}

// isRepeated reports whether an event has an ID up to the last one that the caller has. IDs that are no
// numbers have no order.
func isRepeated(id, last string) bool {
	n, err := strconv.ParseInt(id, 10, 64)
	if err != nil {
		return false
	}
	lastNumber, err := strconv.ParseInt(last, 10, 64)
	return err == nil && n <= lastNumber
}

// isEventStream reports whether the body of an answer is a stream of events.
func isEventStream(header http.Header) bool {
	mediaType, _, _ := strings.Cut(header.Get("Content-Type"), ";")
	return strings.EqualFold(strings.TrimSpace(mediaType), "text/event-stream")
}
