package distributor

import (
	"context"
	"slices"
	"strings"
	"time"

	"github.com/foxtailwharf/foxtailwharf"
	"github.com/foxtailwharf/foxtailwharf/internal/process/sleeper"
)

// idleCheckInterval is the time between two checks for idle connections to close.
const idleCheckInterval = time.Second

// idleCloser closes idle connections to upstreams that are no longer listed.
type idleCloser struct {
	d    *Distributor
	done chan struct{}
}

func (c *idleCloser) run(ctx context.Context) {
	defer close(c.done)
	for sleeper.Sleep(ctx, idleCheckInterval) {
		listed := c.d.follower.View().Upstreams
		c.d.requester.CloseStale(func(peer string) bool { return isListed(listed, peer) })
	}
}

// isListed reports whether a list, which is sorted by ID, has the upstream that a requester knows as that peer.
func isListed(list []foxtailwharf.Upstream, peer string) bool {
	i := strings.LastIndexByte(peer, '@')
	if i < 0 {
		return false
	}
	n, isFound := slices.BinarySearchFunc(list, peer[:i], func(u foxtailwharf.Upstream, id string) int { return strings.Compare(u.ID, id) })
	return isFound && list[n].Address.String() == peer[i+1:]
}

func (c *idleCloser) ended() <-chan struct{} {
	return c.done
}
