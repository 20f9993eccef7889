package matcher_test

import (
	"testing"

	"github.com/foxtailwharf/foxtailwharf"
	"github.com/foxtailwharf/foxtailwharf/internal/request/matcher"
)

func TestMatch(t *testing.T) {
	m := matcher.New([]foxtailwharf.CallRoute{
		{Name: "all", Host: "a.example", Prefix: "/"},
		{Name: "chat", Host: "a.example", Prefix: "/chat/"},
		{Name: "deep", Host: "a.example", Prefix: "/chat/long/"},
		{Name: "other", Host: "b.example", Prefix: "/chat/"},
	})
	tests := []struct {
		host, path, want string
	}{
		{"a.example", "/chat/1", "chat"},
		{"A.Example:8080", "/chat/long/1", "deep"},
		{"a.example", "/chat", "all"},
		{"b.example", "/chat/x", "other"},
		{"b.example", "/", ""},
		{"c.example", "/chat/", ""},
	}
	for _, tt := range tests {
		have := ""
		if r := m.Match(tt.host, tt.path); r != nil {
			have = r.Name
		}
		if have != tt.want {
			t.Errorf("%s %s: have %q, want %q", tt.host, tt.path, have, tt.want)
		}
	}
}

func TestPick(t *testing.T) {
	r := &foxtailwharf.CallRoute{Targets: []foxtailwharf.CallTarget{{Service: "a", Weight: 90}, {Service: "b", Weight: 10}}}
	for sample, want := range map[float64]string{0: "a", 0.89: "a", 0.91: "b", 0.999: "b"} {
		if have := matcher.Pick(r, sample); have != want {
			t.Errorf("sample %v: have %s, want %s", sample, have, want)
		}
	}
}
