// Package grouper lists machines by failure domain as the processes of a fleet tell each other, in an order
// that does not depend on the process, and computes digests by which they compare such lists.
package grouper

import (
	"slices"
	"strings"

	"github.com/foxtailwharf/foxtailwharf"
	"github.com/foxtailwharf/foxtailwharf/wire"
)

// digestDigits is the length of a digest. It is enough to tell two lists apart.
const digestDigits = 12

// List sorts the failure domains by name and the machines within each.
func List(byName map[string][]string) (domains []wire.FleetDomain) {
	for name, members := range byName {
		slices.Sort(members)
		domains = append(domains, wire.FleetDomain{Name: name, Members: members})
	}
	slices.SortFunc(domains, func(a, b wire.FleetDomain) int { return strings.Compare(a.Name, b.Name) })
	return domains
}

// Digest identifies a list.
func Digest(domains []wire.FleetDomain) string {
	var text strings.Builder
	for _, domain := range domains {
		text.WriteString(domain.Name + " " + strings.Join(domain.Members, " ") + "\n")
	}
	return foxtailwharf.Digest([]byte(text.String()))[:digestDigits]
}
