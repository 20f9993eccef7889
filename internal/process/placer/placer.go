// Package placer decides which agents of a service hold its version: the highest
// by rendezvous score, as many as the document wants. All processes compute the
// same; hysteresis keeps lagging lists from moving a version back and forth. It
// does no I/O and holds no clock.
package placer

import (
	"slices"
	"time"

	"github.com/foxtailwharf/foxtailwharf"
)

// Times of the hysteresis.
const (
	// takeTime is how long an agent must be among the chosen before it takes a version.
	takeTime = time.Second
	// dropTime is how long it must be out of them before it lets go.
	dropTime = 30 * time.Second
)

// Chosen returns the agents that should hold a service's version, by the given
// order. replicas 0 means all.
func Chosen(service string, replicas int, agents []foxtailwharf.Instance) (chosen []foxtailwharf.Instance) {
	for _, i := range agents {
		if i.Service == service && !i.IsLeaving && !i.IsGone {
			chosen = append(chosen, i)
		}
	}
	if replicas == 0 || replicas >= len(chosen) {
		return chosen
	}
	scores := make([]uint64, 0, len(chosen))
	for _, i := range chosen {
		scores = append(scores, foxtailwharf.Score(service, i.Name))
	}
	slices.Sort(scores)
	lowest := scores[len(scores)-replicas]
	return slices.DeleteFunc(chosen, func(i foxtailwharf.Instance) bool {
		return foxtailwharf.Score(service, i.Name) < lowest
	})
}

// Placer holds one agent's own decision.
type Placer struct {
	isHolding bool
	changed   time.Time // since when the computed answer has differed from the decision
}

// Decide returns whether the agent should hold the version now.
func (p *Placer) Decide(now time.Time, isChosen bool) bool {
	if isChosen == p.isHolding {
		p.changed = time.Time{}
		return p.isHolding
	}
	if p.changed.IsZero() {
		p.changed = now
	}
	needed := dropTime
	if isChosen {
		needed = takeTime
	}
	if now.Sub(p.changed) >= needed {
		p.isHolding = isChosen
		p.changed = time.Time{}
	}
	return p.isHolding
}
