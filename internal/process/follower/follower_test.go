package follower_test

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"go.uber.org/zap"

	"github.com/foxtailwharf/foxtailwharf"
	"github.com/foxtailwharf/foxtailwharf/internal/process/follower"
	"github.com/foxtailwharf/foxtailwharf/standin"
)

// bench runs a follower against a fake store under fake time.
type bench struct {
	store    *standin.FleetStore
	follower *follower.Follower
	boot     *atomic.Int64 // time spent suspended, in ns; added to the clock
	started  time.Time
}

// run runs a scenario under fake time, one second after the follower's start.
func run(t *testing.T, scenario func(b *bench)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		b := &bench{store: standin.NewFleetStore(), boot: &atomic.Int64{}, started: time.Now()}
		b.follower = follower.New(follower.Config{
			Store:    b.store.View("a"),
			Clock:    b.clock,
			OnChange: func(follower.View) {},
			Log:      zap.NewNop(),
		})
		b.store.PutConfiguration(foxtailwharf.Configuration{Version: 3})
		b.follower.Start(ctx)
		time.Sleep(time.Second)
		scenario(b)
		cancel()
		b.follower.Wait()
	})
}

func (b *bench) clock() time.Duration {
	return time.Since(b.started) + time.Duration(b.boot.Load())
}

func (b *bench) version() int64 {
	if c := b.follower.View().Configuration; c != nil {
		return c.Version
	}
	return 0
}

func (b *bench) ids() (list []string) {
	for _, u := range b.follower.View().Upstreams {
		list = append(list, u.ID)
	}
	return list
}

func (b *bench) proofAge() time.Duration {
	return b.clock() - b.follower.View().ConfiguredAt
}

// TestFirstReadAfterRestore guards against an entry that has the state of others from before a restore, reads the store
// itself for the first time after it, and takes the older copy for current and complete.
func TestFirstReadAfterRestore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		var isReading atomic.Bool
		b := &bench{store: standin.NewFleetStore(), boot: &atomic.Int64{}, started: time.Now()}
		b.follower = follower.New(follower.Config{
			Store: b.store.View("a"), Clock: b.clock, OnChange: func(follower.View) {}, Log: zap.NewNop(),
			IsDelegated: func() bool { return !isReading.Load() },
		})
		b.store.PutConfiguration(foxtailwharf.Configuration{Version: 3})
		b.follower.Start(ctx)
		time.Sleep(time.Second)
		provedAt := b.clock()
		b.follower.Merge(follower.PeerState{
			Version: 3, Configuration: &foxtailwharf.Configuration{Version: 3}, HasProof: true, ConfiguredAt: provedAt,
			Revisions: follower.Revisions{Configuration: 1, Upstreams: 1, Releases: 1},
		})
		b.store.Restore(b.store.Copy())
		isReading.Store(true)
		for range 20 {
			time.Sleep(90 * time.Millisecond)
			if have := b.follower.View().ConfiguredAt; have != provedAt {
				t.Fatalf("the configuration counts as proved at %s, want %s: the store has just come back from an older copy", have, provedAt)
			}
		}
		time.Sleep(2 * time.Second)
		if age := b.proofAge(); age > 2*time.Second {
			t.Errorf("the proof is %s old, some time after the restore", age)
		}
		cancel()
		b.follower.Wait()
	})
}

func TestNoOlderConfiguration(t *testing.T) {
	run(t, func(b *bench) {
		b.store.PutConfiguration(foxtailwharf.Configuration{Version: 7})
		time.Sleep(time.Second)
		b.store.PutConfiguration(foxtailwharf.Configuration{Version: 5})
		b.follower.Merge(follower.PeerState{Version: 4, Configuration: &foxtailwharf.Configuration{Version: 4}, HasProof: true, ConfiguredAt: b.clock()})
		time.Sleep(3 * time.Second)
		if b.version() != 7 {
			t.Errorf("version %d is in force, want 7", b.version())
		}
	})
}

// TestProof checks that the age of the proof stays small while the store answers, grows while it
// does not, and includes time for which the machine is suspended.
func TestProof(t *testing.T) {
	run(t, func(b *bench) {
		for range 40 {
			time.Sleep(250 * time.Millisecond)
			if age := b.proofAge(); age > 4*time.Second {
				t.Fatalf("the proof is %s old while the store answers", age)
			}
		}
		b.store.SetUnavailable("a", true)
		before := b.proofAge()
		time.Sleep(6 * time.Second)
		if age := b.proofAge(); age < before+6*time.Second {
			t.Errorf("the proof is %s old after 6 s without the store", age)
		}
		b.store.SetUnavailable("a", false)
		time.Sleep(time.Second)
		b.boot.Add(int64(10 * time.Second))
		if age := b.proofAge(); age < 10*time.Second {
			t.Errorf("the proof is %s old after a suspension of 10 s", age)
		}
	})
}

// TestConfirm checks that a confirmation counts only for its own version and never makes the proof
// older.
func TestConfirm(t *testing.T) {
	run(t, func(b *bench) {
		b.store.SetUnavailable("a", true)
		time.Sleep(5 * time.Second)
		b.follower.Confirm(2, b.clock())
		if b.proofAge() < 4*time.Second {
			t.Error("a confirmation of another version was counted")
		}
		b.follower.Confirm(3, b.clock()-time.Second)
		if age := b.proofAge(); age != time.Second {
			t.Errorf("the proof is %s old, want 1s", age)
		}
		b.follower.Confirm(3, b.clock()-2*time.Second)
		if age := b.proofAge(); age != time.Second {
			t.Errorf("the proof is %s old after an older confirmation, want 1s", age)
		}
	})
}

func TestHistoryGone(t *testing.T) {
	run(t, func(b *bench) {
		b.store.PutUpstream(foxtailwharf.Upstream{ID: "u1"})
		time.Sleep(time.Second)
		b.store.SetUnavailable("a", true)
		time.Sleep(time.Second)
		b.store.PutUpstream(foxtailwharf.Upstream{ID: "u2"})
		b.store.RemoveUpstream("u1")
		b.store.Compact()
		b.store.SetUnavailable("a", false)
		time.Sleep(5 * time.Second)
		if have := b.ids(); len(have) != 1 || have[0] != "u2" {
			t.Errorf("have %v, want u2 alone", have)
		}
	})
}

// TestExpiredInOutage checks upstreams whose entries expire while the store is unreachable: one
// that returns within the grace period is never removed, and one that does not is removed after it.
func TestExpiredInOutage(t *testing.T) {
	run(t, func(b *bench) {
		b.store.PutUpstream(foxtailwharf.Upstream{ID: "back"})
		b.store.PutUpstream(foxtailwharf.Upstream{ID: "lost"})
		time.Sleep(time.Second)
		b.store.SetUnavailable("a", true)
		time.Sleep(4 * time.Second)
		b.store.RemoveUpstream("back")
		b.store.RemoveUpstream("lost")
		b.store.SetUnavailable("a", false)
		time.Sleep(1200 * time.Millisecond)
		if have := b.ids(); len(have) != 2 {
			t.Errorf("have %v right after the outage, want both", have)
		}
		b.store.PutUpstream(foxtailwharf.Upstream{ID: "back"})
		time.Sleep(4 * time.Second)
		if have := b.ids(); len(have) != 1 || have[0] != "back" {
			t.Errorf("have %v after the grace period, want back alone", have)
		}
	})
}

// TestRemovalAfterOutage checks an upstream that is removed some time after an outage without
// changes: it did not expire in the outage and gets no grace period.
func TestRemovalAfterOutage(t *testing.T) {
	run(t, func(b *bench) {
		b.store.PutUpstream(foxtailwharf.Upstream{ID: "u1"})
		time.Sleep(time.Second)
		b.store.SetUnavailable("a", true)
		time.Sleep(4 * time.Second)
		b.store.SetUnavailable("a", false)
		time.Sleep(3500 * time.Millisecond)
		b.store.RemoveUpstream("u1")
		time.Sleep(500 * time.Millisecond)
		if have := b.ids(); len(have) != 0 {
			t.Errorf("have %v half a second after the removal, want none", have)
		}
	})
}

// TestDrainingIsSeenSoon checks that an upstream which starts to drain is seen as draining within
// the time for which calls may still reach it.
func TestDrainingIsSeenSoon(t *testing.T) {
	run(t, func(b *bench) {
		b.store.PutUpstream(foxtailwharf.Upstream{ID: "u1"})
		time.Sleep(900 * time.Millisecond)
		b.store.PutUpstream(foxtailwharf.Upstream{ID: "u2"})
		time.Sleep(100 * time.Millisecond)
		b.store.PutUpstream(foxtailwharf.Upstream{ID: "u1", IsDraining: true})
		time.Sleep(1200 * time.Millisecond)
		if list := b.follower.View().Upstreams; len(list) != 2 || !list[0].IsDraining {
			t.Errorf("have %+v, want u1 draining", list)
		}
	})
}

// drainingBound is the time after which a draining upstream may get no more calls, counted from
// the end of the last fault of the store: the shortest time after which processes count as in
// contact again, and the shortest limit for draining upstreams.
const drainingBound = 3*time.Second + 2*time.Second

// TestDrainingIsSeenAfterLostAnswers checks that an upstream which starts to drain after a fault of
// the store is seen as draining in time, although a call for the list got no answer in the fault.
func TestDrainingIsSeenAfterLostAnswers(t *testing.T) {
	tests := []struct {
		name  string
		fault func(b *bench)
	}{
		{"a call of each subject is ignored, and that for the configuration ends after the fault", func(b *bench) {
			b.store.PutUpstream(foxtailwharf.Upstream{ID: "u1"})
			time.Sleep(800 * time.Millisecond)
			b.store.SetSilent("a", true)
			time.Sleep(2100 * time.Millisecond)
			b.store.SetSilent("a", false)
		}},
		{"the answer to a call for the list is lost, and those for other subjects arrive", func(b *bench) {
			b.store.DropAnswer("a", foxtailwharf.SubjectUpstreams)
			b.store.PutUpstream(foxtailwharf.Upstream{ID: "u1"})
			time.Sleep(time.Second)
		}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			run(t, func(b *bench) {
				tt.fault(b)
				time.Sleep(drainingBound - 2*time.Second)
				b.store.PutUpstream(foxtailwharf.Upstream{ID: "u1", IsDraining: true})
				time.Sleep(2 * time.Second)
				if list := b.follower.View().Upstreams; len(list) != 1 || !list[0].IsDraining {
					t.Errorf("have %+v %s after the fault, want u1 draining", list, drainingBound)
				}
			})
		})
	}
}

// TestExpiringAtPeer checks upstreams in a grace period at another entry: one that is not listed here
// is not added, one that is listed here is removed when its time ends there, although that entry's
// removal is never heard of, and repeated messages do not extend the time.
func TestExpiringAtPeer(t *testing.T) {
	run(t, func(b *bench) {
		b.store.PutUpstream(foxtailwharf.Upstream{ID: "u1"})
		b.store.PutUpstream(foxtailwharf.Upstream{ID: "u2"})
		time.Sleep(time.Second)
		b.store.SetUnavailable("a", true)
		time.Sleep(100 * time.Millisecond)
		other := follower.PeerState{
			HasList: true, IsWhole: true, Upstreams: []foxtailwharf.Upstream{{ID: "u1"}, {ID: "u2"}, {ID: "u3"}}, Expiring: []string{"u2", "u3"},
			ExpiringFor: time.Second, Revisions: b.follower.View().Revisions,
		}
		for range 5 {
			other.Revisions.Upstreams++
			b.follower.Merge(other)
			if have := b.ids(); len(have) != 2 {
				t.Fatalf("have %v, want u1 and u2", have)
			}
			time.Sleep(100 * time.Millisecond)
		}
		time.Sleep(600 * time.Millisecond)
		b.follower.Merge(follower.PeerState{})
		if have := b.ids(); len(have) != 1 || have[0] != "u1" {
			t.Errorf("have %v 1.1 s after the upstream began to expire, want u1 alone", have)
		}
	})
}

// TestGoneAtPeer checks that an upstream in a grace period is removed as soon as another entry has
// removed it.
func TestGoneAtPeer(t *testing.T) {
	run(t, func(b *bench) {
		b.store.PutUpstream(foxtailwharf.Upstream{ID: "u1"})
		time.Sleep(time.Second)
		state := follower.PeerState{HasList: true, Expiring: []string{"u1"}, ExpiringFor: 2 * time.Second, Revisions: b.follower.View().Revisions}
		state.Revisions.Upstreams++
		b.follower.Merge(state)
		state.Revisions.Upstreams++
		state.Expiring, state.Gone = nil, []string{"u1"}
		b.follower.Merge(state)
		if have := b.ids(); len(have) != 0 {
			t.Errorf("have %v, want none", have)
		}
	})
}

// TestIsSame checks that views which differ only in their proof are the same, and that a change of
// the list, the releases or the configuration tells views apart.
func TestIsSame(t *testing.T) {
	run(t, func(b *bench) {
		changes := []struct {
			name   string
			change func()
			want   bool
		}{
			{"nothing but a newer proof", func() {}, true},
			{"a new upstream", func() { b.store.PutUpstream(foxtailwharf.Upstream{ID: "u1"}) }, false},
			{"a new release", func() { b.store.Release(foxtailwharf.Release{Model: "m", Version: 2}) }, false},
			{"a new configuration", func() { b.store.PutConfiguration(foxtailwharf.Configuration{Version: 9}) }, false},
		}
		for _, tt := range changes {
			before := b.follower.View()
			tt.change()
			time.Sleep(2 * time.Second)
			after := b.follower.View()
			if after.ConfiguredAt == before.ConfiguredAt {
				t.Errorf("%s: the proof is as old as before", tt.name)
			}
			if have := after.IsSame(before); have != tt.want {
				t.Errorf("%s: have %t, want %t", tt.name, have, tt.want)
			}
		}
	})
}

// TestOlderListIsIgnored checks that a list of another entry which was read later but at an older
// revision does not bring back a removed upstream.
func TestOlderListIsIgnored(t *testing.T) {
	run(t, func(b *bench) {
		b.store.PutUpstream(foxtailwharf.Upstream{ID: "u1"})
		time.Sleep(time.Second)
		v := b.follower.View()
		other := follower.PeerState{HasList: true, IsWhole: true, Upstreams: v.Upstreams, Revisions: v.Revisions}
		b.store.RemoveUpstream("u1")
		time.Sleep(time.Second)
		b.follower.Merge(other)
		if have := b.ids(); len(have) != 0 {
			t.Errorf("have %v, want none", have)
		}
		other.Revisions.Upstreams = b.follower.View().Revisions.Upstreams + 1
		b.follower.Merge(other)
		if have := b.ids(); len(have) != 1 {
			t.Errorf("have %v, want the newer list's upstream", have)
		}
	})
}
