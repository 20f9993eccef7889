package balancer_test

import (
	"testing"
	"time"

	"github.com/foxtailwharf/foxtailwharf"
	"github.com/foxtailwharf/foxtailwharf/internal/request/balancer"
)

var (
	naming   = foxtailwharf.Reply{IsAuthentic: true, Signals: foxtailwharf.Signals{HasLimit: true, Limit: 1}}
	silent   = foxtailwharf.Reply{IsAuthentic: true}
	rejected = foxtailwharf.Reply{IsNotRun: true}
	plain    = balancer.Requirements{Service: "s"}
)

// pickID returns the ID of the upstream that gets a call; empty if none does.
func pickID(b *balancer.Balancer, now time.Time, req balancer.Requirements) string {
	u, isFound, _ := b.Pick(now, req)
	if !isFound {
		return ""
	}
	b.Sent(now, u.ID, 0)
	return u.ID
}

// services are calls to engines and to plain services, which name limits alike.
var services = []balancer.Requirements{model, plain}

// newLimited returns a balancer whose first upstream has named a limit, of which the entry that keeps it
// was told and answered with a permit or a refusal.
func newLimited(answer foxtailwharf.Permit, list ...foxtailwharf.Upstream) *balancer.Balancer {
	b := newBalancer(list...)
	b.HandleReply(start, list[0], start, naming)
	b.TakeAsks(start)
	b.HandlePermit(start, list[0], answer)
	return b
}

// TestLimitedElsewhere checks that a call without a permit goes elsewhere and that a permit is asked for.
func TestLimitedElsewhere(t *testing.T) {
	for _, req := range services {
		b := newLimited(foxtailwharf.Permit{}, listed(1, "near", 1), listed(2, "far", 1))
		if have := pickID(b, start, req); have != "u2" {
			t.Errorf("the call goes to %q, want u2", have)
		}
		if asks := b.TakeAsks(start); len(asks) != 1 || !asks[0].Request.IsWanted || asks[0].Request.Limit.PerSecond != 1 {
			t.Errorf("have requests %+v, want one for a permit", asks)
		}
	}
}

// TestLimitedPermit checks that a permit is for one call, and that the next call waits.
func TestLimitedPermit(t *testing.T) {
	for _, req := range services {
		b := newLimited(foxtailwharf.Permit{IsGranted: true}, listed(1, "near", 1))
		if have := pickID(b, start, req); have != "u1" {
			t.Errorf("the call goes to %q, want u1", have)
		}
		if have := pickID(b, start, req); have != "" {
			t.Errorf("a second call goes to %q, want that it waits", have)
		}
		if b.IsLimited(start, req) {
			t.Error("a call is refused before a permit was refused")
		}
	}
}

// TestLimitedRefusal checks that calls are refused while no permit is to be had.
func TestLimitedRefusal(t *testing.T) {
	for _, req := range services {
		b := newLimited(foxtailwharf.Permit{RetryIn: time.Second}, listed(1, "near", 1))
		if _, _, hasCandidates := b.Pick(start, req); hasCandidates || !b.IsLimited(start, req) {
			t.Error("the call waits")
		}
		if _, _, hasCandidates := b.Pick(start.Add(time.Second), req); !hasCandidates {
			t.Error("the call does not wait once permits may be had again")
		}
	}
}

// TestLimitedUnused checks that a permit expires and is given back.
func TestLimitedUnused(t *testing.T) {
	b := newLimited(foxtailwharf.Permit{IsGranted: true}, listed(1, "near", 1))
	later := start.Add(foxtailwharf.PermitLife + time.Millisecond)
	if have := pickID(b, later, plain); have != "" {
		t.Errorf("the call goes to %q with a permit that has expired", have)
	}
	if asks := b.TakeAsks(later); len(asks) != 1 || asks[0].Request.Unused != 1 {
		t.Errorf("have requests %+v, want one with an unused permit", asks)
	}
}

// TestLimitKnowledge checks which responses and announcements set and lift a limit.
func TestLimitKnowledge(t *testing.T) {
	one := listed(1, "near", 1)
	later := start.Add(time.Second)
	announced := foxtailwharf.NamedLimit{Upstream: "u1", Born: start, PerSecond: 1}
	lifted := foxtailwharf.NamedLimit{Upstream: "u1", Born: start, IsLifted: true}
	restarted := announced
	restarted.Born = later
	old := lifted
	old.Age = 2 * time.Second
	tests := []struct {
		name   string
		change func(b *balancer.Balancer)
		want   bool // whether the upstream is limited
	}{
		{"a response", func(b *balancer.Balancer) { b.HandleReply(start, one, start, naming) }, true},
		{"a rejection with a limit", func(b *balancer.Balancer) {
			b.HandleReply(start, one, start, foxtailwharf.Reply{IsNotRun: true, Signals: foxtailwharf.Signals{HasLimit: true, Limit: 1}})
		}, true},
		{"a response of another upstream at the address", func(b *balancer.Balancer) {
			b.HandleReply(start, one, start, foxtailwharf.Reply{IsNotRun: true, IsMisdirected: true, Signals: foxtailwharf.Signals{HasLimit: true, Limit: 1}})
		}, false},
		{"an announcement", func(b *balancer.Balancer) { b.LearnLimit(start, announced) }, true},
		{"an announcement for a later run", func(b *balancer.Balancer) { b.LearnLimit(start, restarted) }, false},
		{"a response without a limit to a call sent before", func(b *balancer.Balancer) {
			b.LearnLimit(later, announced)
			b.HandleReply(later, one, start, silent)
		}, true},
		{"a response without a limit to a call sent after", func(b *balancer.Balancer) {
			b.LearnLimit(start, announced)
			b.HandleReply(later, one, later, silent)
		}, false},
		{"a rejection without a limit", func(b *balancer.Balancer) {
			b.LearnLimit(start, announced)
			b.HandleReply(later, one, later, rejected)
		}, true},
		{"an announced end", func(b *balancer.Balancer) {
			b.LearnLimit(start, announced)
			b.LearnLimit(later, lifted)
		}, false},
		{"an announced end that is older", func(b *balancer.Balancer) {
			b.LearnLimit(start, announced)
			b.LearnLimit(later, old)
		}, true},
		{"not listed for a time", func(b *balancer.Balancer) {
			b.HandleReply(start, one, start, naming)
			b.Set(nil)
			b.Set([]foxtailwharf.Upstream{one})
		}, true},
		{"a permit while it is not listed", func(b *balancer.Balancer) {
			b.HandleReply(start, one, start, naming)
			b.TakeAsks(start)
			b.Set(nil)
			b.HandlePermit(later, one, foxtailwharf.Permit{IsGranted: true})
			b.Set([]foxtailwharf.Upstream{one})
		}, false},
		{"the answer to a request", func(b *balancer.Balancer) {
			b.LearnLimit(start, announced)
			b.HandlePermit(start, one, foxtailwharf.Permit{IsLifted: true})
		}, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			b := newBalancer(one)
			tt.change(b)
			if _, isFound, _ := b.Pick(later, plain); isFound == tt.want {
				t.Errorf("the upstream is limited: %t, want %t", !isFound, tt.want)
			}
		})
	}
}

// TestLimitedBatch checks that an entry asks for more permits while it uses all, and for fewer when some expire.
func TestLimitedBatch(t *testing.T) {
	b := newLimited(foxtailwharf.Permit{IsGranted: true}, listed(1, "near", 1))
	now := start
	for n, tt := range []struct{ granted, used, want int }{{1, 1, 2}, {2, 2, 4}, {4, 4, 8}, {8, 8, 8}, {8, 7, 4}, {4, 0, 2}, {2, 0, 1}, {1, 0, 1}, {1, 1, 2}} {
		if n > 0 {
			b.HandlePermit(now, listed(1, "near", 1), foxtailwharf.Permit{IsGranted: true, Calls: tt.granted})
		}
		for range tt.used {
			if have := pickID(b, now, model); have != "u1" {
				t.Errorf("grant %d: the call goes to %q, want u1", n, have)
			}
			b.Finished(now, "u1", balancer.Answered)
		}
		now = now.Add(2 * foxtailwharf.PermitLife)
		if have := pickID(b, now, model); have != "" {
			t.Errorf("grant %d: a call goes to %q after all permits have been used or expired", n, have)
		}
		if asks := b.TakeAsks(now); len(asks) != 1 || asks[0].Request.Calls != tt.want || asks[0].Request.Unused != tt.granted-tt.used {
			t.Errorf("grant %d: have requests %+v, want one for %d calls that gives %d back", n, asks, tt.want, tt.granted-tt.used)
		}
	}
}
