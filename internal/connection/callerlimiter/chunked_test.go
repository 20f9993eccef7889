package callerlimiter_test

import (
	"fmt"
	"net/http"
	"testing"
	"time"
)

// TestRequestAfterChunkedBody guards against requests that are refused, or closed as idle, since a part of their head
// was read together with the chunked body before it.
func TestRequestAfterChunkedBody(t *testing.T) {
	runFake(t, func(b *bench) {
		b.set(limits)
		for n := 3800; n < 4100; n++ {
			c := b.connect()
			c.send(chunked("/1", n) + post("/2", 1000))
			c.check(http.StatusOK, fmt.Sprintf("/1 %d", n))
			c.check(http.StatusOK, "/2 1000")
			time.Sleep(limits.IdleTimeout * 4 / 5)
			c.send(post("/3", 1000) + get("/4", 500))
			c.check(http.StatusOK, "/3 1000")
			c.check(http.StatusOK, "/4 0")
			_ = c.Close()
			if t.Failed() {
				t.Errorf("with a body of %d bytes", n)
				break
			}
		}
	})
}

// TestChunkedForms has chunked bodies of all forms, in two parts that are cut anywhere, and a request after each.
func TestChunkedForms(t *testing.T) {
	const head = "POST /1 HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n"
	tests := []struct {
		name, body string
		want       int // length of the body
	}{
		{"empty", "0\r\n\r\n", 0},
		{"one chunk", "3\r\nabc\r\n0\r\n\r\n", 3},
		{"several chunks", "1\r\na\r\n2\r\nbc\r\n10\r\n0123456789abcdef\r\n0\r\n\r\n", 19},
		{"large digits", "0A\r\n0123456789\r\n000\r\n\r\n", 10},
		{"extension", "3;x=1;y=\"2\"\r\nabc\r\n0;z\r\n\r\n", 3},
		{"lines in a chunk", "8\r\n0\r\n\r\n0\r\n\r\n0\r\n\r\n", 8},
		{"trailer", "3\r\nabc\r\n0\r\nX-First: 1\r\nX-Second: 2\r\n\r\n", 3},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			runFake(t, func(b *bench) {
				b.set(limits)
				request := head + tt.body + post("/2", 1000)
				for i := len(head); i < len(head)+len(tt.body); i++ {
					c := b.connect()
					c.send(request[:i])
					time.Sleep(10 * time.Millisecond)
					c.send(request[i:])
					c.check(http.StatusOK, fmt.Sprintf("/1 %d", tt.want))
					c.check(http.StatusOK, "/2 1000")
					c.send(get("/3", 501))
					c.check(http.StatusRequestHeaderFieldsTooLarge, "")
					_ = c.Close()
				}
			})
		})
	}
}
