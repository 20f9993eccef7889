package forwarder_test

import (
	"net/http"
	"testing"
	"time"
)

// TestThirdIsSoughtWhenSecondIsSilent guards against calls that stay at a silent upstream until their deadline,
// although they may go to a third one, because the first one has ended while the second one had the call.
func TestThirdIsSoughtWhenSecondIsSilent(t *testing.T) {
	run(t, func(b *bench) {
		b.setAttempts(3)
		b.upstream(2, after(1500*time.Millisecond, breakOff))
		time.AfterFunc(100*time.Millisecond, func() { b.upstream(3, silently) })
		time.AfterFunc(1400*time.Millisecond, func() { b.upstream(4, text(http.StatusOK, "third")) })
		if a := b.call("/look/1", nil); a.body != "third" {
			t.Errorf("have %d %q, want the answer of the third upstream", a.status, a.body)
		}
	})
}

// TestThirdIsSoughtWhenTwoAreSilent guards against calls that end at their deadline, although they may go to a
// third upstream, because the first two are silent.
func TestThirdIsSoughtWhenTwoAreSilent(t *testing.T) {
	run(t, func(b *bench) {
		b.setAttempts(3)
		b.upstream(2, silently)
		time.AfterFunc(100*time.Millisecond, func() { b.upstream(3, silently) })
		time.AfterFunc(1400*time.Millisecond, func() { b.upstream(4, text(http.StatusOK, "third")) })
		if a := b.call("/look/1", nil); a.body != "third" {
			t.Errorf("have %d %q, want the answer of the third upstream", a.status, a.body)
		}
	})
}
