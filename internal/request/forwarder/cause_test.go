package forwarder

import (
	"context"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"testing"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"github.com/foxtailwharf/foxtailwharf/internal/connection/finisher"
	"github.com/foxtailwharf/foxtailwharf/internal/process/meter"
	"github.com/foxtailwharf/foxtailwharf/internal/request/explainer"
)

// TestCauseOf guards against ends of calls that look alike: what ended the connection goes before the call, and that
// before an attempt.
func TestCauseOf(t *testing.T) {
	broken := failure{err: io.ErrUnexpectedEOF}
	tests := []struct {
		name string
		e    ending
		want explainer.Cause
	}{
		{"nothing is known", ending{}, explainer.CauseUnknown},
		{"caller left during a write", ending{write: io.ErrClosedPipe, last: broken}, explainer.CauseCallerLeft},
		{"caller left during a write beside the deadline", ending{write: io.ErrClosedPipe, call: context.DeadlineExceeded}, explainer.CauseCallerLeft},
		{"caller did not read", ending{write: errors.Wrap(os.ErrDeadlineExceeded, "write"), call: context.Canceled}, explainer.CauseCallerSlow},
		{"connection closed by the end of a shutdown", ending{write: errors.Wrap(net.ErrClosed, "write"), isLeaving: true}, explainer.CauseShutdown},
		{"connection closed without a shutdown", ending{write: net.ErrClosed}, explainer.CauseCallerLeft},
		{"answer longer than its length", ending{write: http.ErrContentLength}, explainer.CauseInvalidAnswer},
		{"answer without a body has one", ending{write: http.ErrBodyNotAllowed}, explainer.CauseInvalidAnswer},
		{"caller left", ending{call: context.Canceled, last: failure{cause: context.Canceled, err: io.EOF}}, explainer.CauseCallerLeft},
		{"caller left after an attempt has failed", ending{call: context.Canceled, last: broken}, explainer.CauseCallerLeft},
		{"caller left during a shutdown", ending{call: context.Canceled, isLeaving: true, isBounded: true}, explainer.CauseCallerLeft},
		{"deadline", ending{call: context.DeadlineExceeded, last: broken}, explainer.CauseDeadline},
		{"deadline during a shutdown", ending{call: context.DeadlineExceeded, isLeaving: true}, explainer.CauseDeadline},
		{"deadline is the end of a shutdown", ending{call: context.DeadlineExceeded, isLeaving: true, isBounded: true}, explainer.CauseShutdown},
		{"end of a shutdown", ending{call: finisher.ErrEnding, isLeaving: true}, explainer.CauseShutdown},
		{"ban", ending{call: errQuarantined, last: broken}, explainer.CauseBanned},
		{"another cause of the call", ending{call: io.EOF}, explainer.CauseUnknown},
		{"upstream has ended", ending{last: failure{cause: errUpstreamEnded, err: os.ErrDeadlineExceeded}}, explainer.CauseUpstreamEnded},
		{"weights replaced", ending{last: failure{cause: errWeightsReplaced, err: os.ErrDeadlineExceeded}}, explainer.CauseWeightsReplaced},
		{"upstream silent", ending{last: failure{cause: errSilent, err: os.ErrDeadlineExceeded}}, explainer.CauseUpstreamSilent},
		{"upstream silent, another one answers", ending{last: failure{cause: errStalled, err: os.ErrDeadlineExceeded}}, explainer.CauseUpstreamSilent},
		{"answer that cannot be forwarded", ending{last: failure{err: errInvalidAnswer}}, explainer.CauseInvalidAnswer},
		{"upstream broke off", ending{last: broken}, explainer.CauseUpstreamBroke},
		{"upstream broke off while it loads", ending{last: failure{err: io.ErrUnexpectedEOF, isLoading: true}}, explainer.CauseUpstreamLoading},
		{"upstream silent while it loads", ending{last: failure{cause: errSilent, err: io.EOF, isLoading: true}}, explainer.CauseUpstreamSilent},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			if have := causeOf(tt.e); have != tt.want {
				t.Errorf("have %s, want %s", have, tt.want)
			}
		})
	}
}

// TestEndIsRecorded guards against calls that a fault of the program ends without an answer and without a record.
func TestEndIsRecorded(t *testing.T) {
	tests := []struct {
		name     string
		hasEnded bool
		want     int64
	}{
		{"without an answer", false, 1},
		{"answered", true, 0},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			m := meter.New()
			x := &exchange{f: New(Config{Meter: m, Log: zap.NewNop(), Random: rand.New(rand.NewPCG(1, 1))}), hasEnded: tt.hasEnded}
			x.checkEnd()
			x.checkEnd()
			if have := m.Counter(meter.CounterUnanswered + string(explainer.CauseUnknown)); have != tt.want {
				t.Errorf("counted %d calls, want %d", have, tt.want)
			}
		})
	}
}
