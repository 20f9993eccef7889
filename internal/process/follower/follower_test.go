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

// bench is a follower of a stand-in store under fake time.
type bench struct {
	store    *standin.FleetStore
	follower *follower.Follower
	boot     *atomic.Int64 // what suspensions add to the clock, in ns
	started  time.Time
}

// run plays a scenario under fake time.
func run(t *testing.T, play func(b *bench)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		b := &bench{store: standin.NewFleetStore(), boot: &atomic.Int64{}, started: time.Now()}
		b.follower = follower.New(follower.Config{
			Store:   b.store.View("a"),
			Clock:   b.clock,
			Changed: func(follower.View) {},
			Log:     zap.NewNop(),
		})
		b.store.Configure(foxtailwharf.Configuration{Version: 3})
		b.follower.Start(ctx)
		time.Sleep(time.Second)
		play(b)
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

func TestNeverBack(t *testing.T) {
	run(t, func(b *bench) {
		b.store.Configure(foxtailwharf.Configuration{Version: 7})
		time.Sleep(time.Second)
		b.store.Configure(foxtailwharf.Configuration{Version: 5})
		b.follower.Hear(follower.Word{Version: 4, Configuration: &foxtailwharf.Configuration{Version: 4}, HasProof: true, ConfiguredAt: b.clock()})
		time.Sleep(3 * time.Second)
		if b.version() != 7 {
			t.Errorf("version %d is in force, want 7", b.version())
		}
	})
}

// TestProof checks that the age of the proof stays small while the store answers, grows
// while it does not, and counts a suspension of the machine.
func TestProof(t *testing.T) {
	run(t, func(b *bench) {
		for range 40 {
			time.Sleep(250 * time.Millisecond)
			if age := b.proofAge(); age > 4*time.Second {
				t.Fatalf("the proof is %s old while the store answers", age)
			}
		}
		b.store.SetAway("a", true)
		before := b.proofAge()
		time.Sleep(6 * time.Second)
		if age := b.proofAge(); age < before+6*time.Second {
			t.Errorf("the proof is %s old after 6 s without the store", age)
		}
		b.store.SetAway("a", false)
		time.Sleep(time.Second)
		b.boot.Add(int64(10 * time.Second))
		if age := b.proofAge(); age < 10*time.Second {
			t.Errorf("the proof is %s old after a suspension of 10 s", age)
		}
	})
}

// TestConfirm checks that another entry's word counts for the version that it is about,
// and never makes a proof older.
func TestConfirm(t *testing.T) {
	run(t, func(b *bench) {
		b.store.SetAway("a", true)
		time.Sleep(5 * time.Second)
		b.follower.Confirm(2, b.clock())
		if b.proofAge() < 4*time.Second {
			t.Error("a word about another version must not count")
		}
		b.follower.Confirm(3, b.clock()-time.Second)
		if age := b.proofAge(); age != time.Second {
			t.Errorf("the proof is %s old, want 1s", age)
		}
		b.follower.Confirm(3, b.clock()-2*time.Second)
		if age := b.proofAge(); age != time.Second {
			t.Errorf("the proof is %s old after an older word, want 1s", age)
		}
	})
}

func TestHistoryGone(t *testing.T) {
	run(t, func(b *bench) {
		b.store.List(foxtailwharf.Upstream{ID: "u1"})
		time.Sleep(time.Second)
		b.store.SetAway("a", true)
		time.Sleep(time.Second)
		b.store.List(foxtailwharf.Upstream{ID: "u2"})
		b.store.Unlist("u1")
		b.store.Compact()
		b.store.SetAway("a", false)
		time.Sleep(5 * time.Second)
		if have := b.ids(); len(have) != 1 || have[0] != "u2" {
			t.Errorf("have %v, want u2 alone", have)
		}
	})
}

// TestLapsed plays entries that lapse while the store is away: those that come back within
// the agreed time were never gone, and those that do not are gone after it.
func TestLapsed(t *testing.T) {
	run(t, func(b *bench) {
		b.store.List(foxtailwharf.Upstream{ID: "back"})
		b.store.List(foxtailwharf.Upstream{ID: "lost"})
		time.Sleep(time.Second)
		b.store.SetAway("a", true)
		time.Sleep(4 * time.Second)
		b.store.Unlist("back")
		b.store.Unlist("lost")
		b.store.SetAway("a", false)
		time.Sleep(1200 * time.Millisecond)
		if have := b.ids(); len(have) != 2 {
			t.Errorf("have %v right after the outage, want both", have)
		}
		b.store.List(foxtailwharf.Upstream{ID: "back"})
		time.Sleep(4 * time.Second)
		if have := b.ids(); len(have) != 1 || have[0] != "back" {
			t.Errorf("have %v later, want back alone", have)
		}
	})
}

// TestRemovalAfterOutage removes an upstream a while after an outage in which nothing changed:
// it did not lapse in the outage, and is gone at once.
func TestRemovalAfterOutage(t *testing.T) {
	run(t, func(b *bench) {
		b.store.List(foxtailwharf.Upstream{ID: "u1"})
		time.Sleep(time.Second)
		b.store.SetAway("a", true)
		time.Sleep(4 * time.Second)
		b.store.SetAway("a", false)
		time.Sleep(3500 * time.Millisecond)
		b.store.Unlist("u1")
		time.Sleep(500 * time.Millisecond)
		if have := b.ids(); len(have) != 0 {
			t.Errorf("have %v half a second after the removal, want none", have)
		}
	})
}

// TestLeavingIsSeenSoon checks that an upstream which starts to leave is seen within the
// time that callers' calls may still reach it.
func TestLeavingIsSeenSoon(t *testing.T) {
	run(t, func(b *bench) {
		b.store.List(foxtailwharf.Upstream{ID: "u1"})
		time.Sleep(900 * time.Millisecond)
		b.store.List(foxtailwharf.Upstream{ID: "u2"})
		time.Sleep(100 * time.Millisecond)
		b.store.List(foxtailwharf.Upstream{ID: "u1", IsDraining: true})
		time.Sleep(1200 * time.Millisecond)
		if list := b.follower.View().Upstreams; len(list) != 2 || !list[0].IsDraining {
			t.Errorf("have %+v, want u1 leaving", list)
		}
	})
}

// TestOlderListIsNotTaken plays another entry whose list was asked for later but knows
// less: an upstream that has gone must not come back by it.
func TestOlderListIsNotTaken(t *testing.T) {
	run(t, func(b *bench) {
		b.store.List(foxtailwharf.Upstream{ID: "u1"})
		time.Sleep(time.Second)
		v := b.follower.View()
		other := follower.Word{HasList: true, IsWhole: true, Upstreams: v.Upstreams, Revisions: v.Revisions}
		b.store.Unlist("u1")
		time.Sleep(time.Second)
		b.follower.Hear(other)
		if have := b.ids(); len(have) != 0 {
			t.Errorf("have %v, want none", have)
		}
		other.Revisions.Upstreams = b.follower.View().Revisions.Upstreams + 1
		b.follower.Hear(other)
		if have := b.ids(); len(have) != 1 {
			t.Errorf("have %v, want the newer list's upstream", have)
		}
	})
}
