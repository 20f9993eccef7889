package forwarder_test

import (
	"fmt"
	"io"
	"net/http"
	"sync/atomic"
	"testing"
	"time"
)

// TestFirstBreaksOffBesideSecond guards against calls that get no answer because their first upstream breaks off at
// some moment of the search for another one, of its answer or of its choice.
func TestFirstBreaksOffBesideSecond(t *testing.T) {
	const step = 50 * time.Millisecond
	for _, isBegun := range []bool{false, true} {
		for brokenAfter := time.Duration(0); brokenAfter < 2500*time.Millisecond; brokenAfter += step {
			for answeredAfter := time.Duration(0); answeredAfter <= time.Second; answeredAfter += 4 * step {
				t.Run(fmt.Sprint("begun ", isBegun, ", broken after ", brokenAfter, ", answered after ", answeredAfter), func(t *testing.T) {
					run(t, func(b *bench) {
						var runs atomic.Int32
						answer := func(w http.ResponseWriter, r *http.Request) {
							if runs.Add(1) > 1 {
								after(answeredAfter, text(http.StatusOK, "whole"))(w, r)
								return
							}
							if isBegun {
								w.Header().Set("Content-Length", "5")
								_, _ = io.WriteString(w, "who")
								_ = http.NewResponseController(w).Flush()
							}
							sayNothing(r, brokenAfter)
							panic(http.ErrAbortHandler)
						}
						b.upstream(2, answer)
						b.upstream(3, answer)
						if a := b.call("/look/1", nil); a.status != http.StatusOK || a.body != "whole" || runs.Load() != 2 {
							t.Errorf("have %d %q, %v after %d runs, want the answer of the second", a.status, a.body, a.err, runs.Load())
						}
					})
				})
			}
		}
	}
}
