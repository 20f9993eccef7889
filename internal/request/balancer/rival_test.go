package balancer_test

import (
	"net/netip"
	"testing"
	"time"

	"github.com/foxtailwharf/foxtailwharf"
	"github.com/foxtailwharf/foxtailwharf/internal/request/balancer"
)

// TestRecordHidesReportedEngine guards against an engine that gets no calls, or whose calls count as lost, since another
// record names its address or its machine, though its agent reports it; and against a record that has not expired.
func TestRecordHidesReportedEngine(t *testing.T) {
	const later = time.Second
	other := func(change func(u *foxtailwharf.Upstream)) foxtailwharf.Upstream {
		u := listed(1, "near", 1)
		u.ID, u.Born = "other", start.Add(later)
		change(&u)
		return u
	}
	same := func(*foxtailwharf.Upstream) {}
	tests := []struct {
		name     string
		other    foxtailwharf.Upstream
		reported time.Time // start that the agent reports
		want     string    // upstream that gets calls; empty for none
		isLost   bool      // the first one
	}{
		{"younger", other(same), start, "u1", false},
		{"younger, of another service", other(func(u *foxtailwharf.Upstream) { u.Service = "t" }), start, "u1", false},
		{"younger, draining", other(func(u *foxtailwharf.Upstream) { u.IsDraining = true }), start, "u1", false},
		{"as old, draining", other(func(u *foxtailwharf.Upstream) { u.Born, u.IsDraining = start, true }), start, "u1", false},
		{"older", other(func(u *foxtailwharf.Upstream) { u.Born = start.Add(-later) }), start, "u1", false},
		{"at another port", other(func(u *foxtailwharf.Upstream) {
			u.Service, u.Address = "t", netip.AddrPortFrom(machine(1), 81)
		}), start, "u1", false},
		{"is the one that runs", other(same), start.Add(later), "other", true},
		{"is of another service and runs", other(func(u *foxtailwharf.Upstream) { u.Service = "t" }), start.Add(later), "", true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			for _, list := range [][]foxtailwharf.Upstream{{listed(1, "near", 1), tt.other}, {tt.other, listed(1, "near", 1)}} {
				b := newBalancer(list...)
				b.Report(start, machine(1), foxtailwharf.UpstreamLoad{Weights: 1, Born: tt.reported, Listeners: 1})
				for range 20 {
					if u, _, _ := b.Pick(start, model); u.ID != tt.want {
						t.Fatalf("a call is given to %q, want %q", u.ID, tt.want)
					}
				}
				if isLost := b.IsLost(start, listed(1, "near", 1)); isLost != tt.isLost {
					t.Errorf("the first one counts as lost: %t, want %t", isLost, tt.isLost)
				}
			}
		})
	}
}

// TestReportAcrossPorts guards against a report that ends or hides an upstream at another port of the agent's machine,
// where the list does not have the start that is reported.
func TestReportAcrossPorts(t *testing.T) {
	tests := []struct {
		name        string
		born        time.Duration // start of the other one, from that of the engine
		load        foxtailwharf.UpstreamLoad
		engineEnded bool
	}{
		{"restart, the other one is younger", time.Second, foxtailwharf.UpstreamLoad{Born: start.Add(time.Minute)}, true},
		{"restart, the other one is as old", 0, foxtailwharf.UpstreamLoad{Born: start.Add(time.Minute)}, true},
		{"restart, the other one is older", -time.Second, foxtailwharf.UpstreamLoad{Born: start.Add(time.Minute)}, true},
		{"without a start, the other one is younger", time.Second, foxtailwharf.UpstreamLoad{IsDown: true}, false},
		{"the agent's clock is behind, the other one is older", -time.Second, foxtailwharf.UpstreamLoad{Born: start.Add(-time.Millisecond)}, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			engine, other := listed(1, "near", 1), listed(2, "near", 0)
			other.Service, other.Born, other.Address = "t", start.Add(tt.born), netip.AddrPortFrom(machine(1), 81)
			for _, list := range [][]foxtailwharf.Upstream{{engine, other}, {other, engine}} {
				b := newBalancer(list...)
				b.Report(start, machine(1), foxtailwharf.UpstreamLoad{Weights: 1, Born: start})
				b.Report(start, machine(1), tt.load)
				if hasEnded := b.HasEnded(start, engine, start.Add(-time.Millisecond)); hasEnded != tt.engineEnded {
					t.Errorf("the engine has ended: %t, want %t", hasEnded, tt.engineEnded)
				}
				if b.HasEnded(start, other, start.Add(-time.Millisecond)) || b.IsSuspect(start, other.ID) {
					t.Error("the other one counts as ended or silent, want neither")
				}
				if isSuspect := b.IsSuspect(start, engine.ID); isSuspect != tt.load.IsDown {
					t.Errorf("the engine is suspect: %t, want %t", isSuspect, tt.load.IsDown)
				}
			}
		})
	}
}

// TestReportOfUnlistedEngine guards against a report that ends an upstream at another port of the agent's machine, where
// the engine has lapsed from the list.
func TestReportOfUnlistedEngine(t *testing.T) {
	engine, other := listed(1, "near", 1), listed(2, "near", 0)
	other.Service, other.Address = "t", netip.AddrPortFrom(machine(1), 81)
	b := newBalancer(engine, other)
	b.Report(start, machine(1), foxtailwharf.UpstreamLoad{Weights: 1, Born: start})
	b.Set([]foxtailwharf.Upstream{other})
	b.Report(start, machine(1), foxtailwharf.UpstreamLoad{Weights: 1, Born: start.Add(time.Minute)})
	if b.HasEnded(start, other, start.Add(-time.Millisecond)) {
		t.Error("the other one counts as ended, want it not to")
	}
}

// TestFaultsHideDoubtfulUpstream guards against calls that are refused because the only upstream of their service has
// failed some of them, where a record that may be wrong names its address.
func TestFaultsHideDoubtfulUpstream(t *testing.T) {
	tests := []struct {
		name   string
		result balancer.Result
		want   bool // it gets the next call
	}{
		{"answered", balancer.Answered, true},
		{"failed", balancer.Failed, true},
		{"took no connection", balancer.Unreached, true},
		{"stalled", balancer.Stalled, true},
		{"another upstream answered", balancer.Moved, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			rival := listed(2, "near", 0)
			rival.Service, rival.Address, rival.Born = "t", listed(1, "near", 0).Address, start.Add(time.Second)
			b := newBalancer(listed(1, "near", 0), rival)
			for range 3 {
				b.Sent(start, "u1", 0)
				b.Finished(start, "u1", tt.result)
			}
			if u, isFound, _ := b.Pick(start, balancer.Requirements{Service: "s"}); isFound != tt.want {
				t.Errorf("a call is given to %q, want it to be given: %t", u.ID, tt.want)
			}
		})
	}
}

// TestOlderRecordsInAnyOrder guards against a record at a reused address that gets calls because of its place in the list.
func TestOlderRecordsInAnyOrder(t *testing.T) {
	at := func(n int, born time.Duration, service string) foxtailwharf.Upstream {
		u := listed(n, "near", 0)
		u.Service, u.Address, u.Born = service, listed(1, "near", 0).Address, start.Add(born)
		return u
	}
	older, asOld, younger, sound := at(1, 0, "s"), at(2, 0, "t"), at(3, time.Second, "t"), listed(4, "near", 0)
	for _, list := range [][]foxtailwharf.Upstream{
		{older, asOld, younger, sound}, {asOld, older, younger, sound}, {older, younger, asOld, sound}, {younger, older, asOld, sound},
	} {
		b := newBalancer(list...)
		for range 20 {
			if u, _, _ := b.Pick(start, balancer.Requirements{Service: "s"}); u.ID != sound.ID {
				t.Errorf("the list begins with %s and %s: a call is given to %q, want %q", list[0].ID, list[1].ID, u.ID, sound.ID)
				break
			}
		}
	}
}

// TestHasEnded guards against calls that are ended on the word of a record, or of a first report, which may only correct a
// wrong start, and against ones that stay with a run which the agent has seen replaced.
func TestHasEnded(t *testing.T) {
	const later = time.Second
	tests := []struct {
		name                string
		reports             []time.Time // starts, the first one before the call is sent
		listed              time.Time   // in the record, once the call is sent; zero for no change
		ended, mayHaveEnded bool
	}{
		{"no agent, same record", nil, time.Time{}, false, false},
		{"no agent, younger record", nil, start.Add(later), false, true},
		{"no agent, older record", nil, start.Add(-later), false, false},
		{"restart seen by the agent", []time.Time{start, start.Add(later)}, time.Time{}, true, true},
		{"restart seen by the agent, younger record", []time.Time{start, start.Add(later)}, start.Add(later), true, true},
		{"two restarts seen by the agent", []time.Time{start, start.Add(later), start.Add(2 * later)}, time.Time{}, true, true},
		{"first report of another run", []time.Time{{}, start.Add(later)}, time.Time{}, false, true},
		{"the agent contradicts a younger record", []time.Time{start, start}, start.Add(later), false, false},
		{"the agent's clock goes back", []time.Time{start, start.Add(-later)}, time.Time{}, false, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			sentTo, sentAt := listed(1, "near", 1), start.Add(-time.Millisecond)
			b := newBalancer(sentTo)
			for n, born := range tt.reports {
				at := start
				if n == 0 {
					at = sentAt.Add(-time.Millisecond)
				}
				b.Report(at, machine(1), foxtailwharf.UpstreamLoad{Weights: 1, Born: born})
			}
			if !tt.listed.IsZero() {
				u := sentTo
				u.Born = tt.listed
				b.Set([]foxtailwharf.Upstream{u})
				if n := len(tt.reports); n > 0 {
					b.Report(start, machine(1), foxtailwharf.UpstreamLoad{Weights: 1, Born: tt.reports[n-1]})
				}
			}
			if ended, mayHaveEnded := b.HasEnded(start, sentTo, sentAt), b.MayHaveEnded(start, sentTo); ended != tt.ended || mayHaveEnded != tt.mayHaveEnded {
				t.Errorf("it has ended: %t, it may have: %t; want %t and %t", ended, mayHaveEnded, tt.ended, tt.mayHaveEnded)
			}
		})
	}
}

// TestRecordGoesBack guards against the end of calls that were sent by a record which has gone back to a run that the agent
// had reported in its time, and against calls that stay with a run which was replaced while its record had lapsed.
func TestRecordGoesBack(t *testing.T) {
	const later = time.Second
	before, after := listed(1, "near", 1), listed(1, "near", 1)
	after.Born = start.Add(later)
	report := func(b *balancer.Balancer, at time.Time, u foxtailwharf.Upstream) {
		b.Report(at, machine(1), foxtailwharf.UpstreamLoad{Weights: 1, Born: u.Born})
	}
	tests := []struct {
		name          string
		lists         [][]foxtailwharf.Upstream // from the first report until the second one
		sentAt, until time.Duration             // of the call and of the check, from the second report
		ended         bool
	}{
		{"restored after the restart", [][]foxtailwharf.Upstream{{after}, {before}}, later, 2 * later, false},
		{"lapsed during the restart", [][]foxtailwharf.Upstream{nil, {after}}, -later, 0, true},
		{"listed all the time", [][]foxtailwharf.Upstream{{after}}, -later, 0, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			b := newBalancer(before)
			report(b, start.Add(-2*later), before)
			for _, list := range tt.lists {
				b.Set(list)
				if len(list) > 0 && list[0].Born.Equal(after.Born) {
					report(b, start, after)
				}
			}
			report(b, start.Add(tt.until), after)
			if ended := b.HasEnded(start.Add(tt.until), before, start.Add(tt.sentAt)); ended != tt.ended {
				t.Errorf("it has ended: %t, want %t", ended, tt.ended)
			}
		})
	}
}
