package forwarder_test

import (
	"fmt"
	"io"
	"net/http"
	"sync/atomic"
	"testing"
	"time"
)

// overlap is an upstream that breaks off the first call that it gets, and another one that answers the second.
type overlap struct {
	isBegun                    bool // the first one sends the head of an answer and a part of its body before
	brokenAfter, answeredAfter time.Duration
	runs                       atomic.Int32
}

func (o *overlap) answer(w http.ResponseWriter, r *http.Request) {
	if o.runs.Add(1) > 1 {
		after(o.answeredAfter, text(http.StatusOK, "whole"))(w, r)
		return
	}
	if o.isBegun {
		w.Header().Set("Content-Length", "5")
		_, _ = io.WriteString(w, "who")
		_ = http.NewResponseController(w).Flush()
	}
	sayNothing(r, o.brokenAfter)
	panic(http.ErrAbortHandler)
}

// check fails the test unless the caller gets the answer of the second upstream.
func (o *overlap) check(t *testing.T) {
	run(t, func(b *bench) {
		b.upstream(2, o.answer)
		b.upstream(3, o.answer)
		if a := b.call("/look/1", nil); a.status != http.StatusOK || a.body != "whole" || o.runs.Load() != 2 {
			t.Errorf("have %d %q, %v after %d runs, want the answer of the second", a.status, a.body, a.err, o.runs.Load())
		}
	})
}

// TestFirstBreaksOffBesideSecond guards against calls that get no answer because their first upstream breaks off at
// some moment of the search for another one, of its answer or of its choice.
func TestFirstBreaksOffBesideSecond(t *testing.T) {
	const step = 50 * time.Millisecond
	for brokenAfter := time.Duration(0); brokenAfter < 2500*time.Millisecond; brokenAfter += step {
		for answeredAfter := time.Duration(0); answeredAfter <= time.Second; answeredAfter += 4 * step {
			t.Run(fmt.Sprint("broken after ", brokenAfter, ", answered after ", answeredAfter), func(t *testing.T) {
				(&overlap{brokenAfter: brokenAfter, answeredAfter: answeredAfter}).check(t)
				(&overlap{brokenAfter: brokenAfter, answeredAfter: answeredAfter, isBegun: true}).check(t)
			})
		}
	}
}
