package forwarder_test

import (
	"bufio"
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/foxtailwharf/foxtailwharf/standin"
)

// TestLateBodyIsNoBadRequest guards against a body that did not arrive in time and is refused as malformed, which callers
// do not send again.
func TestLateBodyIsNoBadRequest(t *testing.T) {
	const body = "3\r\nabc\r\n0\r\n\r\n"
	for sent := range body {
		t.Run(fmt.Sprintf("%d of %d bytes", sent, len(body)), func(t *testing.T) {
			run(t, func(b *bench) {
				b.upstream(2, text(http.StatusOK, ""))
				conn, err := b.network.Dial(b.t.Context(), address(1))
				if err != nil {
					t.Fatal(err)
				}
				head := "POST /look/1 HTTP/1.1\r\nHost: h\r\n%s: c\r\n%s: k1\r\n%s: 700\r\nTransfer-Encoding: chunked\r\n\r\n"
				if _, err := fmt.Fprintf(conn, head+body[:sent], standin.HeaderCall, standin.HeaderKey, standin.HeaderTimeout); err != nil {
					t.Error(err)
				}
				response, err := http.ReadResponse(bufio.NewReader(conn), nil)
				if err != nil {
					t.Fatal(err)
				}
				if response.StatusCode != http.StatusServiceUnavailable {
					t.Errorf("status %d, want 503", response.StatusCode)
				}
				_ = response.Body.Close()
				_ = conn.Close()
				time.Sleep(5 * time.Second)
			})
		})
	}
}
