package bodyreader_test

import (
	"errors"
	"io"
	"strings"
	"testing"
	"testing/iotest"

	"github.com/foxtailwharf/foxtailwharf/internal/connection/bodyreader"
)

// TestReadAll guards against bodies that are cut and taken for whole ones.
func TestReadAll(t *testing.T) {
	tests := []struct {
		name  string
		body  io.Reader
		want  string
		limit bool
		err   error
	}{
		{name: "empty", body: strings.NewReader("")},
		{name: "as long as the limit", body: strings.NewReader("abcd"), want: "abcd"},
		{name: "byte by byte", body: iotest.OneByteReader(strings.NewReader("abcd")), want: "abcd"},
		{name: "longer than the limit", body: strings.NewReader("abcde"), limit: true},
		{name: "broken off", body: io.MultiReader(strings.NewReader("ab"), iotest.ErrReader(io.ErrUnexpectedEOF)), err: io.ErrUnexpectedEOF},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			data, err := bodyreader.ReadAll(tt.body, 4)
			var limit *bodyreader.LimitError
			if isLimit := errors.As(err, &limit); isLimit != tt.limit || (!tt.limit && !errors.Is(err, tt.err)) || string(data) != tt.want {
				t.Errorf("have %q, %v; want %q, %v, over the limit: %t", data, err, tt.want, tt.err, tt.limit)
			}
		})
	}
}
