package splitter_test

import (
	"flag"
	"fmt"
	"io"
	"strings"
	"testing"
	"testing/iotest"

	"github.com/pkg/errors"
	"pgregory.net/rapid"

	"github.com/foxtailwharf/foxtailwharf/internal/request/splitter"
)

func init() {
	// A fixed seed makes runs reproducible; -rapid.seed overrides it.
	_ = flag.Set("rapid.seed", "1")
}

// TestTruncatedStream truncates a stream at any byte: Next must return exactly the complete
// events in order, and io.EOF only if the cut is between two events.
func TestTruncatedStream(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var text strings.Builder
		ends := map[int]int{0: 0}
		count := rapid.IntRange(1, 6).Draw(t, "events")
		newline := rapid.SampledFrom([]string{"\n", "\r\n"}).Draw(t, "newline")
		for n := 1; n <= count; n++ {
			data := strings.Repeat("x", rapid.SampledFrom([]int{0, 1, 4089, 4090, 5000}).Draw(t, "size"))
			fmt.Fprintf(&text, "id: %d%sdata: %s%s%s", n, newline, data, newline, newline)
			ends[text.Len()] = n
		}
		cut := rapid.IntRange(0, text.Len()).Draw(t, "cut")
		if rapid.Bool().Draw(t, "atEnd") {
			cut = text.Len()
		}
		got, n, err := readAll(t, text.String()[:cut])
		whole, isClean := ends[cut]
		if errors.Is(err, io.EOF) != isClean || (isClean && whole != n) {
			t.Fatalf("cut at %d: %d events and %v", cut, n, err)
		}
		if !strings.HasPrefix(text.String(), got) || ends[len(got)] != n {
			t.Fatalf("cut at %d: got %d bytes that are not %d complete events", cut, len(got), n)
		}
	})
}

// readAll reads events until an error. It returns their text, their number and the error.
func readAll(t *rapid.T, text string) (got string, n int, err error) {
	s := splitter.New(iotest.OneByteReader(strings.NewReader(text)))
	for {
		var event splitter.Event
		if event, err = s.Next(); err != nil {
			return got, n, err
		}
		n++
		got += string(event.Text)
		if event.ID != fmt.Sprint(n) {
			t.Fatalf("event %d has ID %q", n, event.ID)
		}
	}
}

// TestBlankLinesAtEnd has blank lines after the last event, which are not the begin of another one.
func TestBlankLinesAtEnd(t *testing.T) {
	for _, end := range []string{"", "\n", "\r\n", "\n\n"} {
		s := splitter.New(strings.NewReader("data: x\n\n" + end))
		withData := 0
		var err error
		for err == nil {
			var event splitter.Event
			if event, err = s.Next(); event.HasData {
				withData++
			}
		}
		if withData != 1 || !errors.Is(err, io.EOF) {
			t.Errorf("%q at the end: have %d events with data and %v, want one and the end", end, withData, err)
		}
	}
}

func TestVersion(t *testing.T) {
	tests := []struct{ text, want string }{
		{`data: {"system_fingerprint":"v1","x":1}`, "v1"},
		{`data: {"x":1}`, ""},
		{`data: {"system_fingerprint":""}`, ""},
	}
	for _, tt := range tests {
		if got, _ := (splitter.Event{Text: []byte(tt.text)}).Version(); got != tt.want {
			t.Errorf("%s: got %q, want %q", tt.text, got, tt.want)
		}
	}
}
