package collector_test

import (
	"io"
	"strings"
	"testing"
	"testing/iotest"

	"github.com/pkg/errors"

	"github.com/foxtailwharf/foxtailwharf/internal/request/collector"
)

func newCollector() *collector.Collector {
	return collector.New(collector.Config{MaxAnswer: 100_000, MaxTotal: 150_000, Unshared: 10_000})
}

func ignore() {}

func TestCollect(t *testing.T) {
	broken := errors.New("connection reset")
	tests := []struct {
		name   string
		reader io.Reader
		size   int
		want   error
	}{
		{"empty", strings.NewReader(""), 0, nil},
		{"small", iotest.OneByteReader(strings.NewReader(strings.Repeat("x", 9000))), 9000, nil},
		{"at the bound", strings.NewReader(strings.Repeat("x", 100_000)), 100_000, nil},
		{"over the bound", strings.NewReader(strings.Repeat("x", 100_001)), 0, &collector.LimitError{Read: 100_001}},
		{"broken", io.MultiReader(strings.NewReader("x"), iotest.ErrReader(broken)), 0, broken},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			b, err := newCollector().Collect(tt.reader, ignore)
			if tt.want != nil {
				if err == nil || err.Error() != tt.want.Error() {
					t.Errorf("have error %v, want %v", err, tt.want)
				}
				return
			}
			if err != nil || len(b.Bytes) != tt.size {
				t.Errorf("have %v, want %d bytes", err, tt.size)
			}
		})
	}
}

// TestTotal checks that large answers which are held at once are bounded together, that small ones
// still get through, and that a released answer makes room.
func TestTotal(t *testing.T) {
	c := newCollector()
	large := strings.Repeat("x", 60_000)
	var held []*collector.Body
	for range 3 {
		b, err := c.Collect(strings.NewReader(large), ignore)
		if err != nil {
			var limit *collector.LimitError
			if !errors.As(err, &limit) || !limit.IsTotal {
				t.Fatalf("have %v, want the bound for all answers", err)
			}
			break
		}
		held = append(held, b)
	}
	if len(held) == 0 || len(held) == 3 {
		t.Fatalf("%d large answers are held, want one or two", len(held))
	}
	if _, err := c.Collect(strings.NewReader("small"), ignore); err != nil {
		t.Errorf("a small answer beside large ones: %v", err)
	}
	held[0].Release()
	if _, err := c.Collect(strings.NewReader(large), ignore); err != nil {
		t.Errorf("a large answer after one was released: %v", err)
	}
}

// TestProgress checks that single bytes make no progress until there are many.
func TestProgress(t *testing.T) {
	calls := 0
	text := strings.Repeat("x", 2*collector.ProgressBytes+1)
	if _, err := newCollector().Collect(iotest.OneByteReader(strings.NewReader(text)), func() { calls++ }); err != nil {
		t.Fatal(err)
	}
	if calls != 2 {
		t.Errorf("progress was reported %d times, want twice", calls)
	}
}
