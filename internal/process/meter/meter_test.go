package meter_test

import (
	"fmt"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/sebdah/goldie/v2"

	"github.com/foxtailwharf/foxtailwharf/internal/process/meter"
)

// TestText compares the text format with a golden file.
func TestText(t *testing.T) {
	r := meter.New()
	for n := range 100 {
		r.RecordDuration(meter.MeasureFirstToken, "a1", "0", time.Duration(n+1)*time.Millisecond)
	}
	r.RecordDuration(meter.MeasureTotal, "with \"quotes\"", "2", time.Second)
	r.Increment(meter.CounterRefused + "QueueFull")
	r.Increment(meter.CounterRetried)
	r.Gauge("Waiting", func() int64 { return 7 })
	w := httptest.NewRecorder()
	r.ServeText(w, nil)
	goldie.New(t).Assert(t, "text", w.Body.Bytes())
}

// TestManyAccounts checks that the number of series stays bounded with many accounts.
func TestManyAccounts(t *testing.T) {
	const maxSeries = 201 // 200 accounts with their own series, and one series for all others
	r := meter.New()
	for n := range 1000 {
		r.RecordDuration(meter.MeasureFirstToken, fmt.Sprint("account-", n), "0", time.Millisecond)
	}
	w := httptest.NewRecorder()
	r.ServeText(w, nil)
	if lines := strings.Count(w.Body.String(), "FirstTokenMicrosCount"); lines > maxSeries {
		t.Errorf("have %d series, want at most %d", lines, maxSeries)
	}
}
