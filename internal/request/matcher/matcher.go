// Package matcher finds the route of a call by its host and path, and selects one of the route's
// services. It does no I/O.
package matcher

import (
	"net"
	"slices"
	"strings"

	"github.com/foxtailwharf/foxtailwharf"
)

// Matcher holds the routes of one configuration. It is safe for concurrent use.
type Matcher struct {
	byHost map[string][]*foxtailwharf.CallRoute // by descending length of the prefix
}

// New returns a matcher for the routes. It keeps pointers into the slice. The hosts must be in
// lower case and without a port.
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

// Match returns the route with the longest prefix of the path among those of the host; nil for
// none. The host may have a port and is compared without regard to case.
func (m *Matcher) Match(host, path string) *foxtailwharf.CallRoute {
	name := strings.ToLower(host)
	if hostname, _, err := net.SplitHostPort(name); err == nil {
		name = hostname
	}
	for _, r := range m.byHost[name] {
		if strings.HasPrefix(path, r.Prefix) {
			return r
		}
	}
	return nil
}

// Pick selects a service of the route at random by the weights of its targets. The sample must be
// uniform in [0, 1). The route must have a target.
func Pick(r *foxtailwharf.CallRoute, sample float64) string {
	total := 0.0
	for _, t := range r.Targets {
		total += max(t.Weight, 0)
	}
	sample *= total
	for _, t := range r.Targets {
		if sample -= max(t.Weight, 0); sample < 0 {
			return t.Service
		}
	}
	return r.Targets[len(r.Targets)-1].Service
}
