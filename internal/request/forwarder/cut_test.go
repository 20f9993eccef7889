package forwarder_test

import (
	"fmt"
	"net/http"
	"strings"
	"testing"

	"github.com/foxtailwharf/foxtailwharf/standin"
)

// cutAnswer is an answer of which a part arrives.
type cutAnswer struct {
	name, text string
	body       string // what the caller gets of the whole
	end        int    // the first cut after which the answer can't be told from a whole one; 0 for none
	isOverTCP  bool
}

const (
	wholeBody   = "one two three"
	textType    = "Content-Type: text/plain"
	lastChunk   = "0\r\n\r\n"
	lastTrailer = "0\r\nX-First: 1\r\nX-Second: 2\r\n\r\n"
)

// cutAnswers returns the answers that are no streams, and the streams.
func cutAnswers() (answers, streams []cutAnswer) {
	bodyChunks := chunks("one ", "two", " three")
	eventText := event(1) + event(2) + event(3)
	eventChunks := chunks(event(1), event(2)+event(3)[:5], event(3)[5:])
	length := func(body string) string { return fmt.Sprintf("Content-Length: %d", len(body)) }
	answers = []cutAnswer{
		{name: "length", isOverTCP: true, text: signedHead("200 OK", textType, length(wholeBody)) + wholeBody},
		{name: "length first", text: strings.Replace(signedHead("200 OK", textType), "\r\n", "\r\n"+length(wholeBody)+"\r\n", 1) + wholeBody},
		{name: "chunks", text: signedHead("200 OK", textType, inChunks) + bodyChunks + lastChunk},
		{name: "trailers", isOverTCP: true, text: signedHead("200 OK", "Trailer: X-First, X-Second", inChunks) + bodyChunks + lastTrailer},
		{name: "an early hint", text: "HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n" + signedHead("200 OK", length(wholeBody)) + wholeBody},
		{name: "lines without CR", text: strings.ReplaceAll(signedHead("200 OK", textType, length(wholeBody)), "\r\n", "\n") + wholeBody},
	}
	head := signedHead("200 OK", textType)
	answers = append(answers, cutAnswer{name: "no length", isOverTCP: true, text: head + wholeBody, end: len(head)})
	for n := range answers {
		answers[n].body = wholeBody
	}
	streams = []cutAnswer{
		{name: "stream with a length", text: signedHead("200 OK", streamType, length(eventText)) + eventText},
		{name: "stream in chunks", text: signedHead("200 OK", streamType, inChunks) + eventChunks + lastChunk},
		{name: "stream with trailers", isOverTCP: true, text: signedHead("200 OK", streamType, inChunks) + eventChunks + lastTrailer},
	}
	for n := range streams {
		streams[n].body = eventText
	}
	return answers, streams
}

// cutEverywhere calls check with each beginning of an answer, on new and on kept connections. Over TCP, where
// it takes longer, every other cut is on a kept connection, and the connection is also reset.
func cutEverywhere(t *testing.T, c cutAnswer, check func(b *bench, isKept bool, cut scripted)) {
	end := c.end
	if end == 0 {
		end = len(c.text)
	}
	t.Run(c.name, func(t *testing.T) {
		for n := range end {
			cut := scripted{text: c.text[:n], end: closes}
			run(t, func(b *bench) { check(b, false, cut) })
			run(t, func(b *bench) { check(b, true, cut) })
		}
	})
	if !c.isOverTCP {
		return
	}
	t.Run(c.name+" over TCP", func(t *testing.T) {
		for n := range len(c.text) {
			if n < end {
				runTCP(t, func(b *bench) { check(b, n%2 == 0, scripted{text: c.text[:n], end: closes}) })
			}
			runTCP(t, func(b *bench) { check(b, n%2 == 1, scripted{text: c.text[:n], end: resets}) })
		}
	})
}

// TestCutAnswer cuts off answers at each byte of head, body, chunks and trailers. A caller never gets a part
// that looks whole, and a call that may be repeated gets the answer of another upstream.
func TestCutAnswer(t *testing.T) {
	answers, _ := cutAnswers()
	for _, c := range answers {
		cutEverywhere(t, c, func(b *bench, isKept bool, cut scripted) {
			whole := scripted{text: c.text, end: closes}
			if a := b.callScripted("/look/1", isKept, nil, cut, whole); a.err != nil || a.status != http.StatusOK || a.body != c.body || b.ran(a) != 2 {
				b.t.Errorf("repeatable, cut after %q: status %d, %q, %v after %d runs, want the answer of the second", cut.text, a.status, a.body, a.err, b.ran(a))
			}
		})
		cutEverywhere(t, c, func(b *bench, isKept bool, cut scripted) {
			if a := b.callScripted("/book/1", isKept, nil, cut); a.status != http.StatusBadGateway || a.header.Get(standin.HeaderSigned) != "" || b.ran(a) != 1 {
				b.t.Errorf("once, cut after %q: status %d, %q, %v after %d runs, want 502 after one", cut.text, a.status, a.body, a.err, b.ran(a))
			}
		})
	}
}

// TestCutStream cuts off streams at each byte. A stream that may not be resumed ends as incomplete, and one
// that may goes on with the next event.
func TestCutStream(t *testing.T) {
	_, streams := cutAnswers()
	for _, c := range streams {
		cutEverywhere(t, c, func(b *bench, isKept bool, cut scripted) {
			a := b.callScripted("/tale/1", isKept, nil, cut)
			isRefused := a.status == http.StatusBadGateway && a.header.Get(standin.HeaderSigned) == ""
			isCut := a.status == http.StatusOK && a.err != nil && strings.HasPrefix(c.body, a.body) && len(a.body)%len(event(1)) == 0
			if (!isRefused && !isCut) || b.ran(a) != 1 {
				b.t.Errorf("cut after %q: status %d, %q, %v after %d runs", cut.text, a.status, a.body, a.err, b.ran(a))
			}
		})
		cutEverywhere(t, c, func(b *bench, isKept bool, cut scripted) {
			rest := scripted{text: signedHead("200 OK", streamType, inChunks) + "REST" + lastChunk}
			a := b.callScripted("/chat/1", isKept, nil, cut, rest)
			if a.status != http.StatusOK || a.err != nil || a.body != c.body || b.ran(a) != 2 {
				b.t.Errorf("resumable, cut after %q: status %d, %q, %v after %d runs, want all events", cut.text, a.status, a.body, a.err, b.ran(a))
			}
		})
	}
}

// TestTornHeadBeforeAnswer has upstreams write the beginning of another head right before an answer. A caller
// never gets an error of an upstream under the status of the other head.
func TestTornHeadBeforeAnswer(t *testing.T) {
	const body = "error"
	failure := signedHead("500 Internal Server Error", "Content-Length: 5") + body
	heads := map[string]string{
		"own head":            signedHead("200 OK", textType, "Content-Length: 5"),
		"head of another":     strings.ReplaceAll(signedHead("200 OK", textType), "CALL", "another"),
		"head of an event":    signedHead("200 OK", streamType),
		"refusal, own":        signedHead("503 Service Unavailable", notRunLine),
		"head that names all": "HTTP/1.1 200 OK\r\nServer: s\r\n\r\n",
	}
	for name, head := range heads {
		for _, path := range []string{"/look/1", "/book/1", "/tale/1"} {
			t.Run(name+" "+path, func(t *testing.T) {
				for n := 1; n < len(head)-len("\r\n\r\n"); n++ {
					run(t, func(b *bench) {
						a := b.callScripted(path, false, nil, scripted{text: head[:n] + failure, end: closes})
						if a.status != http.StatusBadGateway && (a.status != http.StatusInternalServerError || a.body != body) {
							t.Errorf("after %q: status %d, %q, %v, want 502, or the 500", head[:n], a.status, a.body, a.err)
						}
					})
				}
			})
		}
	}
}
