package tracker_test

import (
	"flag"
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/foxtailwharf/foxtailwharf"
	"github.com/foxtailwharf/foxtailwharf/internal/process/tracker"
)

func init() {
	// A fixed seed gives the same verdict on every run; -rapid.seed overrides it.
	_ = flag.Set("rapid.seed", "1")
}

func agent(incarnation string, sequence uint64) foxtailwharf.Instance {
	return foxtailwharf.Instance{Name: "agent-1", Incarnation: incarnation, Role: foxtailwharf.RoleAgent, Sequence: sequence}
}

// all returns all records, a page at a time.
func all(v *tracker.Tracker) (records []foxtailwharf.Instance) {
	var since uint64
	for since < v.Sequence() {
		var page []foxtailwharf.Instance
		page, since = v.Since(since, 1, func(foxtailwharf.Instance) bool { return true })
		records = append(records, page...)
	}
	return records
}

// TestMerge hears the same records in two orders: both views end alike, and one that
// has heard of leaving never takes it back.
func TestMerge(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		records := rapid.SliceOfN(rapid.Custom(func(t *rapid.T) foxtailwharf.Instance {
			i := agent(fmt.Sprint("incarnation-", rapid.IntRange(0, 2).Draw(t, "incarnation")), uint64(rapid.IntRange(1, 4).Draw(t, "sequence")))
			i.IsLeaving = rapid.IntRange(0, 3).Draw(t, "leaving") == 0
			i.IsGone = rapid.IntRange(0, 3).Draw(t, "gone") == 0
			// A record is what its instance wrote at that sequence.
			i.Version = fmt.Sprint(i.Incarnation, i.Sequence)
			return i
		}), 1, 20).Draw(t, "records")
		now := time.Unix(0, 0)
		a, b := tracker.New(tracker.Config{}), tracker.New(tracker.Config{})
		left := make(map[string]bool)
		for _, i := range records {
			now = now.Add(time.Second)
			a.Hear(now, i)
			left[i.Incarnation] = left[i.Incarnation] || i.IsLeaving
			if got, _ := a.Find(i.Incarnation); got.IsLeaving != left[i.Incarnation] {
				t.Fatalf("%s is leaving %t, was told %t", i.Incarnation, got.IsLeaving, left[i.Incarnation])
			}
		}
		for _, i := range rapid.Permutation(records).Draw(t, "order") {
			b.Hear(now, i)
		}
		for _, i := range records {
			gotA, _ := a.Find(i.Incarnation)
			gotB, _ := b.Find(i.Incarnation)
			if gotA != gotB {
				t.Fatalf("views differ by order: %+v and %+v", gotA, gotB)
			}
		}
	})
}

// TestRefute has a live instance found gone by others: who hears it directly keeps
// it, has it refute, and all believe the higher sequence.
func TestRefute(t *testing.T) {
	now := time.Unix(0, 0)
	near, far := tracker.New(tracker.Config{}), tracker.New(tracker.Config{})
	i := agent("a", 5)
	near.HearDirect(now, i)
	far.Hear(now, i)
	far.Lost(now, "a")
	for _, record := range all(far) {
		near.Hear(now, record)
	}
	if len(near.Live(foxtailwharf.RoleAgent)) != 1 {
		t.Error("who hears the instance directly believed that it is gone")
	}
	if !near.HearDirect(now, i) {
		t.Error("the instance is not asked to refute")
	}
	i.Sequence++
	if near.HearDirect(now, i) {
		t.Error("the instance is asked to refute again")
	}
	for _, record := range all(near) {
		far.Hear(now, record)
	}
	if len(far.Live(foxtailwharf.RoleAgent)) != 1 {
		t.Error("the higher sequence is not believed")
	}
}

// TestReplaced has a new incarnation in the slot: the old one is gone, and a late
// record of it does not bring it back.
func TestReplaced(t *testing.T) {
	now := time.Unix(0, 0)
	v := tracker.New(tracker.Config{})
	v.HearDirect(now, agent("old", 9))
	now = now.Add(time.Minute)
	v.HearDirect(now, agent("new", 1))
	v.Hear(now, agent("old", 9))
	live := v.Live(foxtailwharf.RoleAgent)
	if len(live) != 1 || live[0].Incarnation != "new" {
		t.Errorf("got %+v, want the new incarnation alone", live)
	}
}

// TestList has the platform's list lag: names it says are leaving are marked while
// it says so, and only instances that are silent too count as gone.
func TestList(t *testing.T) {
	now := time.Unix(0, 0)
	v := tracker.New(tracker.Config{ListLag: time.Minute, Silence: 5 * time.Second})
	v.HearDirect(now, agent("a", 1))
	v.HearList(now, []foxtailwharf.Instance{{Name: "agent-1", IsLeaving: true}})
	if live := v.Live(foxtailwharf.RoleAgent); !live[0].IsLeaving {
		t.Error("the list's word is not taken")
	}
	v.HearList(now, []foxtailwharf.Instance{{Name: "agent-1"}})
	if live := v.Live(foxtailwharf.RoleAgent); live[0].IsLeaving {
		t.Error("the list's word outlives the list")
	}
	never := agent("never listed", 1)
	never.Name = "agent-2"
	v.Hear(now, never)
	now = now.Add(2 * time.Minute)
	v.HearDirect(now, agent("a", 1))
	v.HearList(now, nil)
	if len(v.Live(foxtailwharf.RoleAgent)) != 2 {
		t.Error("the list removed an instance that speaks, or one that it never held")
	}
	v.HearList(now.Add(6*time.Second), nil)
	if live := v.Live(foxtailwharf.RoleAgent); len(live) != 1 || live[0].Name != "agent-2" {
		t.Errorf("got %+v, want the never listed instance alone", live)
	}
}
