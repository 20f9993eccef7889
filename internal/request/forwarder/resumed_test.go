package forwarder_test

import (
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"testing"

	"github.com/foxtailwharf/foxtailwharf/standin"
)

// chunks returns a body in chunks, one for each part, without the end.
func chunks(parts ...string) string {
	var text strings.Builder
	for _, part := range parts {
		_, _ = fmt.Fprintf(&text, "%x\r\n%s\r\n", len(part), part)
	}
	return text.String()
}

// event returns an event of a stream.
func event(n int) string {
	return "id: " + strconv.Itoa(n) + "\ndata: x\n\n"
}

const (
	streamType = "Content-Type: text/event-stream"
	inChunks   = "Transfer-Encoding: chunked"
	notRunLine = standin.HeaderNotRun + ": 1"
	versionOne = standin.HeaderVersion + ": 1"
)

// brokenStream is a stream that ends inside its fourth event.
var brokenStream = scripted{text: signedHead("200 OK", streamType, inChunks, versionOne) + chunks(event(1), event(2), event(3), "id: 4\nda"), end: closes}

// restOfStream is the same stream from its fourth event on.
var restOfStream = scripted{text: signedHead("200 OK", streamType, inChunks, versionOne) + chunks(event(4), event(5)) + "0\r\n\r\n"}

// TestErrorInResumedStream checks that nothing of another upstream's answer gets into a stream that has
// broken off unless it is the rest of the stream, and that the stream does not look complete then.
func TestErrorInResumedStream(t *testing.T) {
	whole := func(status string, body string, lines ...string) scripted {
		return scripted{text: signedHead(status, append(lines, "Content-Length: "+strconv.Itoa(len(body)))...) + body}
	}
	tests := []struct {
		name     string
		second   scripted
		isNotRun bool // a third upstream gets the call
	}{
		{"500", whole("500 Internal Server Error", "error\n\n"), false},
		{"500 as a stream", whole("500 Internal Server Error", event(4), streamType), false},
		{"503 after a run", whole("503 Service Unavailable", "error\n\n"), false},
		{"503", whole("503 Service Unavailable", "error\n\n", notRunLine), true},
		{"404", whole("404 Not Found", "error\n\n"), false},
		{"429", whole("429 Too Many Requests", "error\n\n"), false},
		{"429 not run", whole("429 Too Many Requests", "error\n\n", notRunLine), true},
		{"421", whole("421 Misdirected Request", "error\n\n", notRunLine), true},
		{"302", whole("302 Found", "", "Location: /"), false},
		{"204", scripted{text: signedHead("204 No Content")}, false},
		{"200 that is no stream", whole("200 OK", "text\n\n", "Content-Type: text/plain", versionOne), false},
		{"200 without a type", whole("200 OK", "text\n\n", versionOne), false},
		{"200 without a body", whole("200 OK", "", "Content-Type: text/plain", versionOne), false},
		{"stream of other weights", whole("200 OK", event(4), streamType, standin.HeaderVersion+": 2"), false},
		{"stream of unknown weights", whole("200 OK", event(4), streamType), false},
		{"head cut off", scripted{text: "HTTP/1.1 500 Internal Server Error\r\nContent-Type: text/plain\r\n", end: closes}, false},
		{"no head", scripted{text: "error\n\n" + event(4), end: closes}, false},
		{"reset", scripted{end: resets}, false},
	}
	for network, runOn := range networks {
		for _, tt := range tests {
			for _, isKept := range []bool{false, true} {
				t.Run(fmt.Sprintf("%s/%s/kept %t", network, tt.name, isKept), func(t *testing.T) {
					runOn(t, func(b *bench) {
						a := b.callScripted("/chat/1", isKept, nil, brokenStream, tt.second, restOfStream)
						want := event(1) + event(2) + event(3)
						if tt.isNotRun {
							want += event(4) + event(5)
						}
						if a.body != want || (a.err == nil) != tt.isNotRun {
							t.Errorf("have %q after %d runs, %v, want %q, whole: %t", a.body, b.ran(a), a.err, want, tt.isNotRun)
						}
					})
				})
			}
		}
	}
}

// TestStreamThatStartsAgain checks that events which the caller has do not come twice when an upstream ignores
// Last-Event-Id and starts from the beginning, whether the forwarder or the caller resumes the stream.
func TestStreamThatStartsAgain(t *testing.T) {
	again := scripted{text: signedHead("200 OK", streamType, inChunks, versionOne) + chunks(event(1), event(2), event(3), event(4)) + "0\r\n\r\n"}
	tests := []struct {
		name      string
		last      string // that the caller has
		responses []scripted
		want      string
		isWhole   bool
	}{
		{"the forwarder resumes", "", []scripted{brokenStream, again}, event(1) + event(2) + event(3), false},
		{"the caller resumes", "3", []scripted{again, restOfStream}, event(4) + event(5), true},
		{"the caller resumes and no upstream does", "3", []scripted{again}, "", false},
		{"both resume", "1", []scripted{brokenAfter(2, 3), again}, event(2) + event(3), false},
		{"the ID is no number", "x3", []scripted{restOfStream}, event(4) + event(5), true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			run(t, func(b *bench) {
				a := b.callScripted("/chat/1", false, func(r *http.Request) {
					if tt.last != "" {
						r.Header.Set(standin.HeaderLastEventID, tt.last)
					}
				}, tt.responses...)
				isWhole, body := a.err == nil && a.status == http.StatusOK, a.body
				if a.status == http.StatusBadGateway {
					body = "" // the refusal
				}
				if body != tt.want || isWhole != tt.isWhole {
					t.Errorf("status %d, %q after %d runs, %v, want %q, whole: %t", a.status, a.body, b.ran(a), a.err, tt.want, tt.isWhole)
				}
			})
		})
	}
}

// brokenAfter returns a stream of two events that breaks off.
func brokenAfter(first, second int) scripted {
	return scripted{text: signedHead("200 OK", streamType, inChunks, versionOne) + chunks(event(first), event(second)), end: closes}
}
