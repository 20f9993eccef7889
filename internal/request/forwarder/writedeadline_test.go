package forwarder_test

import (
	"net/http"
	"testing"
	"time"
)

// longSilence is longer than a caller may take to read what is written to it at once.
const longSilence = 35 * time.Second

// TestEndLongAfterLastWrite guards against answers whose last part meets the write deadline of the part before.
func TestEndLongAfterLastWrite(t *testing.T) {
	tests := []struct {
		name, path string
		answer     func(w http.ResponseWriter, r *http.Request)
	}{
		{"stream", "/tale/1", func(w http.ResponseWriter, r *http.Request) {
			events(1, 3, false)(w, r)
			sayNothing(r, longSilence)
		}},
		{"stream with a late event", "/tale/1", func(w http.ResponseWriter, r *http.Request) {
			events(1, 2, false)(w, r)
			sayNothing(r, longSilence)
			events(3, 3, false)(w, r)
		}},
		{"stream without events", "/tale/1", after(longSilence, func(w http.ResponseWriter, _ *http.Request) { w.Header().Set("Content-Type", "text/event-stream") })},
		{"buffered answer", "/book/1", after(longSilence, text(http.StatusOK, "ok"))},
		{"refusal", "/book/1", after(longSilence, breakOff)},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			run(t, func(b *bench) {
				for i := range b.view.Configuration.Routes {
					b.view.Configuration.Routes[i].Timeout = time.Minute
				}
				b.upstream(2, tt.answer)
				a := b.call(tt.path, nil)
				if a.err != nil || a.status == 0 {
					t.Errorf("have %d %q, %v, want the end of the answer", a.status, a.body, a.err)
				}
			})
		})
	}
}
