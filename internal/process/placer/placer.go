// Package placer decides which agents of a service hold its version: those with the highest
// rendezvous scores, as many as the service's document asks for. All processes compute the same
// result. Hysteresis prevents instance lists that lag from moving a version back and forth. The
// package does no I/O and reads no clock.
package placer

import (
	"slices"
	"time"

	"github.com/foxtailwharf/foxtailwharf"
)

// Delays of the hysteresis.
const (
	// acquireDelay is how long an agent must be chosen before it takes a version.
	acquireDelay = time.Second
	// dropDelay is how long an agent must not be chosen before it drops its version.
	dropDelay = 30 * time.Second
)

// Chosen returns the agents that should hold a service's version, in the order in which they are
// given. With 0 replicas it returns all agents of the service that are neither leaving nor gone.
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
		scores = append(scores, foxtailwharf.RendezvousScore(service, i.Name))
	}
	slices.Sort(scores)
	lowest := scores[len(scores)-replicas]
	return slices.DeleteFunc(chosen, func(i foxtailwharf.Instance) bool {
		return foxtailwharf.RendezvousScore(service, i.Name) < lowest
	})
}

// Placer applies the hysteresis for one agent. The zero value holds no version.
type Placer struct {
	isHolding    bool
	differsSince time.Time // since when isChosen has differed from isHolding; zero if it does not
}

// Decide returns whether the agent should hold the version at the given time. isChosen is whether
// Chosen currently includes the agent.
func (p *Placer) Decide(now time.Time, isChosen bool) bool {
	if isChosen == p.isHolding {
		p.differsSince = time.Time{}
		return p.isHolding
	}
	if p.differsSince.IsZero() {
		p.differsSince = now
	}
	needed := dropDelay
	if isChosen {
		needed = acquireDelay
	}
	if now.Sub(p.differsSince) >= needed {
		p.isHolding = isChosen
		p.differsSince = time.Time{}
	}
	return p.isHolding
}
