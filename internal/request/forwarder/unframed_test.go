package forwarder_test

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"github.com/foxtailwharf/foxtailwharf/standin"
)

// answerAndClose serves one request with an answer and then ends the connection. CALL in the answer is
// replaced by the ID of the call.
func answerAndClose(text string) func(conn net.Conn) {
	return func(conn net.Conn) {
		defer func() { _ = conn.Close() }()
		r, err := http.ReadRequest(bufio.NewReader(conn))
		if err != nil {
			return
		}
		// Closing a connection with unread bytes resets it.
		_, _ = io.Copy(io.Discard, r.Body)
		_, _ = io.WriteString(conn, strings.ReplaceAll(text, "CALL", r.Header.Get(standin.HeaderCall)))
	}
}

// TestAnswerWithoutLength checks answers that have neither a length nor chunks and end with their
// connection. A stream that ends inside an event has been broken off.
func TestAnswerWithoutLength(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\n" + standin.HeaderCall + ": CALL\r\n" + standin.HeaderSigned + ": 2\r\n\r\n"
	const two = "id: 1\ndata: a\n\nid: 2\ndata: b\n\n"
	tests := []struct {
		name, path, body string
		isWhole          bool
		want             string // what the caller gets
	}{
		{"answer", "/look/1", "some text", true, "some text"},
		{"empty answer", "/look/1", "", true, ""},
		{"stream", "/tale/1", two, true, two},
		{"stream that ends before its first event", "/tale/1", "", false, ""},
		{"stream that ends after a comment", "/tale/1", ": still here\n\n", false, ""},
		{"stream that ends inside an event", "/tale/1", two + "id: 3\ndata: c\n", false, two},
		{"stream that ends inside a line", "/tale/1", two + "id: 3\nda", false, two},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			run(t, func(b *bench) {
				u := b.raw(2, answerAndClose(head+tt.body))
				a := b.call(tt.path, nil)
				isWhole, got := a.err == nil && a.status == http.StatusOK, a.body
				if a.status == http.StatusBadGateway {
					got = "" // the refusal
				}
				if got = strings.TrimPrefix(got, ": still here\n\n"); isWhole != tt.isWhole || got != tt.want {
					t.Errorf("status %d, %q, %v, want %q, whole: %t", a.status, a.body, a.err, tt.want, tt.isWhole)
				}
				u.close()
			})
		})
	}
}
