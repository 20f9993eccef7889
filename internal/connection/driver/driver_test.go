package driver_test

import (
	"net/http"
	"net/netip"
	"testing"
	"testing/synctest"
	"time"

	"github.com/foxtailwharf/foxtailwharf/internal/connection/driver"
	"github.com/foxtailwharf/foxtailwharf/standin"
)

// TestReportStatus checks that only a response of success counts as an engine's report.
func TestReportStatus(t *testing.T) {
	tests := []struct {
		name    string
		status  int
		body    string
		want    string
		isError bool
	}{
		{"report", http.StatusOK, `{"Version":"v","Running":1}`, "v", false},
		{"report without a version", http.StatusOK, `{}`, "", false},
		{"no JSON", http.StatusOK, "starting", "", true},
		{"overloaded", http.StatusServiceUnavailable, `{"error":{"message":"overloaded"}}`, "", true},
		{"failed", http.StatusInternalServerError, `{"Version":"other"}`, "", true},
		{"unknown path", http.StatusNotFound, `{}`, "", true},
		{"redirect", http.StatusFound, `{}`, "", true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				host := standin.NewMemoryNetwork(time.Millisecond, 0).Host("d", "r", 0)
				address := netip.MustParseAddrPort("127.0.0.1:1")
				server, err := standin.Serve(t.Context(), host, address, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
					w.WriteHeader(tt.status)
					_, _ = w.Write([]byte(tt.body))
				}))
				if err != nil {
					t.Fatal(err)
				}
				d := driver.New(driver.Config{Network: host, Upstream: address})
				report, err := d.Report(t.Context())
				if report.Version != tt.want || (err != nil) != tt.isError {
					t.Errorf("have version %q, error %v; want %q, error %t", report.Version, err, tt.want, tt.isError)
				}
				d.Close()
				server.Close()
				time.Sleep(time.Minute)
			})
		})
	}
}
