package forwarder_test

import (
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/foxtailwharf/foxtailwharf"
	"github.com/foxtailwharf/foxtailwharf/internal/request/balancer"
	"github.com/foxtailwharf/foxtailwharf/standin"
)

// soundUpstream is the upstream at whose address others are listed.
const soundUpstream = "2"

// claim is another record of the list that names the address or the ID of the sound upstream.
type claim struct {
	name   string
	change func(u *foxtailwharf.Upstream)
}

// claims returns records that do not show that the upstream has ended.
func claims() []claim {
	const later = time.Second
	return []claim{
		{"younger, of another service", func(u *foxtailwharf.Upstream) { u.ID, u.Service, u.Born = "other", "t", u.Born.Add(later) }},
		{"younger, draining", func(u *foxtailwharf.Upstream) { u.ID, u.IsDraining, u.Born = "other", true, u.Born.Add(later) }},
		{"younger", func(u *foxtailwharf.Upstream) { u.ID, u.Born = "other", u.Born.Add(later) }},
		{"started in the future", func(u *foxtailwharf.Upstream) { u.ID, u.Service, u.Born = "other", "t", u.Born.Add(24*time.Hour) }},
		{"as old", func(u *foxtailwharf.Upstream) { u.ID = "other" }},
	}
}

// onlyFor answers calls that expect an upstream, and says to the others that they are misdirected.
func onlyFor(id string, answer http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		if r.Header.Get(standin.HeaderExpectUpstream) != id {
			w.Header().Set(standin.HeaderNotRun, "1")
			w.WriteHeader(http.StatusMisdirectedRequest)
			return
		}
		answer(w, r)
	}
}

// setList passes a list to the forwarder and the assigner. The agents go on to report the upstreams of the view.
func (b *bench) setList(list ...foxtailwharf.Upstream) {
	v := b.view
	v.Upstreams = list
	b.forwarder.SetView(v)
	b.assigner.Update(func(x *balancer.Balancer) { x.Set(list) })
}

// listBeside adds another record beside that of the sound upstream, and returns what removes it.
func (b *bench) listBeside(change func(u *foxtailwharf.Upstream)) (remove func()) {
	other := b.view.Upstreams[0]
	change(&other)
	b.setList(b.view.Upstreams[0], other)
	return b.update
}

// checkWhole fails the test unless an answer is whole and has an end.
func (b *bench) checkWhole(what string, a answer, end string) {
	b.t.Helper()
	if a.err != nil || a.status != http.StatusOK || !strings.Contains(a.body, end) {
		b.t.Errorf("%s: have %d %q, %v, want 200 with %q", what, a.status, a.body, a.err, end)
	}
}

// TestClaimOfAddressEndsCalls guards against sound calls that are ended, and new ones that are refused, since another
// record of the list names the address of their upstream.
func TestClaimOfAddressEndsCalls(t *testing.T) {
	calls := []struct {
		path, end string
		answer    http.HandlerFunc
	}{
		{"/book/1", "part2", silentText(1, silence)},
		{"/look/1", "part2", silentText(1, silence)},
		{"/tale/1", "id: 6", silentStream(4, silence)},
		{"/chat/1", "id: 6", silentStream(1, silence)},
	}
	for _, c := range claims() {
		for _, tt := range calls {
			t.Run(c.name+tt.path, func(t *testing.T) {
				run(t, func(b *bench) {
					b.upstream(2, onlyFor(soundUpstream, tt.answer))
					removed := make(chan func(), 1)
					time.AfterFunc(silence/3, func() { removed <- b.listBeside(c.change) })
					b.checkWhole("a call in progress", b.call(tt.path, nil), tt.end)
					b.checkWhole("a call while the other one is listed", b.call(tt.path, nil), tt.end)
					(<-removed)()
					b.checkWhole("a call after that", b.call(tt.path, nil), tt.end)
				})
			})
		}
	}
}

// TestEndedUpstreamKeepsCalls guards against calls that stay with an upstream which its agent has seen start anew, and
// against the end of calls at a sound one whose record names another start.
func TestEndedUpstreamKeepsCalls(t *testing.T) {
	born := time.Unix(1000, 0)
	const later = time.Second
	old := func(time.Duration) foxtailwharf.UpstreamLoad { return foxtailwharf.UpstreamLoad{Born: born} }
	restarted := func(elapsed time.Duration) foxtailwharf.UpstreamLoad {
		if elapsed < silence/3 {
			return foxtailwharf.UpstreamLoad{Born: born}
		}
		return foxtailwharf.UpstreamLoad{Born: born.Add(later)}
	}
	younger := func(u *foxtailwharf.Upstream) { u.Born = u.Born.Add(later) }
	moved := func(u *foxtailwharf.Upstream) { u.Born, u.Address = u.Born.Add(later), address(9) }
	tests := []struct {
		name   string
		load   func(elapsed time.Duration) foxtailwharf.UpstreamLoad // nil without an agent
		change func(u *foxtailwharf.Upstream)                        // of its record
		want   int
	}{
		{"its agent reports another run", restarted, func(*foxtailwharf.Upstream) {}, http.StatusBadGateway},
		{"its record has another run", nil, younger, http.StatusOK},
		{"its agent contradicts its record", old, younger, http.StatusOK},
		{"another run at another address", nil, moved, http.StatusOK},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			run(t, func(b *bench) {
				b.upstream(2, silentText(1, silence))
				b.view.Upstreams[0].Born = born
				b.update()
				if tt.load != nil {
					r := b.report(tt.load)
					defer r.close()
				}
				time.AfterFunc(silence/3, func() {
					changed := b.view.Upstreams[0]
					tt.change(&changed)
					b.setList(changed)
				})
				if a := b.call("/book/1", nil); a.status != tt.want {
					t.Errorf("have %d %q, %v, want %d", a.status, a.body, a.err, tt.want)
				}
			})
		})
	}
}
