package fleet_test

import (
	"bytes"
	"fmt"
	"testing"
	"testing/synctest"

	"github.com/sebdah/goldie/v2"
)

// TestSession compares the responses of a session with a golden file: a streamed chat, a
// reservation and its repeat, refusals, and a version switch between requests.
func TestSession(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		b := newBench(t, benchConfig{})
		var text bytes.Buffer
		record := func(title string, a answer) {
			fmt.Fprintf(&text, "== %s\n%d %s\nversion: %s\n%s\n", title, a.status, a.contentType, b.versionName(a.version), b.withVersionNames(a.body))
		}
		chat := `{"model":"assistant","stream":true,"max_tokens":3,"messages":[{"role":"user","content":"Draft an itinerary."}]}`
		record("a chat, streamed", b.chat(chat))
		record("a summary", b.chat(`{"model":"assistant-summaries","max_tokens":2,"messages":[{"role":"user","content":"Summarise."}]}`))
		record("a reservation", b.reserve("fiesta-1", "tinikling"))
		record("its repeat through another entry", b.via(3).reserve("fiesta-1", "tinikling"))
		record("its key with another body", b.reserve("fiesta-1", "pandanggo"))
		record("a reservation without a key", b.reserve("", "tinikling"))
		record("an unknown model", b.chat(`{"model":"poet"}`))
		record("an unknown key", b.as("nobody").chat(chat))
		b.switchVersion()
		record("the chat after a switch of version", b.chat(chat))
		b.stop()
		goldie.New(t).Assert(t, "session", text.Bytes())
	})
}
