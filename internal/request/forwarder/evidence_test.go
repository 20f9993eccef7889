package forwarder_test

import (
	"net/http"
	"testing"
	"time"

	"github.com/foxtailwharf/foxtailwharf/internal/request/isolator"
	"github.com/foxtailwharf/foxtailwharf/internal/request/quarantiner"
	"github.com/foxtailwharf/foxtailwharf/standin"
)

// TestSuspensionEndsBans guards against bans and crashes that do not grow older while a machine is suspended,
// so that the machine tells them to the others as new.
func TestSuspensionEndsBans(t *testing.T) {
	run(t, func(b *bench) {
		b.upstream(2, text(http.StatusOK, "ok"))
		b.forwarder.MergeEvidence(isolator.Evidence{Bans: []isolator.Ban{{Parts: []string{"bad"}, Remaining: 5 * time.Minute}}})
		b.forwarder.MergeBan(quarantiner.Ban{Digest: "request", Upstreams: []string{"1", "2", "3"}, Remaining: 5 * time.Minute})
		time.Sleep(time.Second)
		b.clock += 2 * time.Minute
		for _, ban := range b.forwarder.PartBans() {
			if ban.Remaining > 3*time.Minute || ban.Age < 2*time.Minute {
				t.Errorf("after two minutes of suspension the part's ban remains for %s, its newest crash was %s ago", ban.Remaining, ban.Age)
			}
		}
		for _, ban := range b.forwarder.Bans(1) {
			if ban.Remaining > 3*time.Minute || ban.Age < 2*time.Minute {
				t.Errorf("after two minutes of suspension the request's ban remains for %s, its newest crash was %s ago", ban.Remaining, ban.Age)
			}
		}
		b.clock += 4 * time.Minute
		if a := b.call("/look/1", func(r *http.Request) { r.Header.Set(standin.HeaderPromptParts, "first,bad,last") }); a.status != http.StatusOK {
			t.Errorf("status %d after the end of the ban, want 200", a.status)
		}
	})
}
