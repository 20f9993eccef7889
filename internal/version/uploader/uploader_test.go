package uploader_test

import (
	"net/http"
	"net/http/httptest"
	"testing"
	"testing/synctest"
	"time"

	"github.com/foxtailwharf/foxtailwharf"
	"github.com/foxtailwharf/foxtailwharf/internal/version/downloader"
	"github.com/foxtailwharf/foxtailwharf/internal/version/holder"
	"github.com/foxtailwharf/foxtailwharf/internal/version/uploader"
)

// TestPreferredWait checks how long a request for a missing chunk is held.
func TestPreferredWait(t *testing.T) {
	tests := []struct {
		prefer string
		want   time.Duration
	}{
		{"", 0},
		{"wait=0", 0},
		{"wait=3", 3 * time.Second},
		{"wait=60", time.Minute},
		{"wait=61", time.Minute},
		{"wait=9223372036", time.Minute},
		{"wait=9223372037", time.Minute}, // more seconds than a time.Duration holds
		{"wait=99999999999999999999999", time.Minute},
		{"wait=-1", 0},
		{"wait=-99999999999999999999999", 0},
		{"wait=soon", 0},
		{"respond-async", 0},
	}
	for _, tt := range tests {
		t.Run(tt.prefer, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				u := uploader.New(uploader.Config{Holder: holder.New(), Uploads: 1})
				r := httptest.NewRequestWithContext(t.Context(), http.MethodGet, downloader.PathChunks+foxtailwharf.Digest(nil), nil)
				r.Header.Set("Prefer", tt.prefer)
				w := httptest.NewRecorder()
				started := time.Now()
				u.ServeChunk(w, r)
				if have := time.Since(started); have != tt.want || w.Code != http.StatusNotFound {
					t.Errorf("status %d after %s, want 404 after %s", w.Code, have, tt.want)
				}
			})
		})
	}
}
