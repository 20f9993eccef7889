// Package matcher finds the route of a call by its host and path. It does no I/O.
package matcher

import (
	"net"
	"slices"
	"strings"

	"github.com/foxtailwharf/foxtailwharf"
)

// Matcher holds the routes of one configuration.
type Matcher struct {
	byHost map[string][]*foxtailwharf.CallRoute // longest prefix first
}

// New returns a matcher of routes.
func New(routes []foxtailwharf.CallRoute) *Matcher {
	m := &Matcher{byHost: make(map[string][]*foxtailwharf.CallRoute)}
	for i := range routes {
		host := routes[i].Host
		m.byHost[host] = append(m.byHost[host], &routes[i])
	}
	for _, list := range m.byHost {
		slices.SortStableFunc(list, func(a, b *foxtailwharf.CallRoute) int { return len(b.Prefix) - len(a.Prefix) })
	}
	return m
}

// Match returns the route of the longest prefix that begins the path, nil for none.
func (m *Matcher) Match(host, path string) *foxtailwharf.CallRoute {
	name := strings.ToLower(host)
	if bare, _, err := net.SplitHostPort(name); err == nil {
		name = bare
	}
	for _, r := range m.byHost[name] {
		if strings.HasPrefix(path, r.Prefix) {
			return r
		}
	}
	return nil
}

// Pick chooses the service of a call by the weights of the route's targets; draw is
// uniform in [0, 1).
func Pick(r *foxtailwharf.CallRoute, draw float64) string {
	total := 0.0
	for _, t := range r.Targets {
		total += max(t.Weight, 0)
	}
	draw *= total
	for _, t := range r.Targets {
		if draw -= max(t.Weight, 0); draw < 0 {
			return t.Service
		}
	}
	return r.Targets[len(r.Targets)-1].Service
}
