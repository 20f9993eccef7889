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
	// A fixed seed makes runs reproducible; -rapid.seed overrides it.
	_ = flag.Set("rapid.seed", "1")
}

func agent(incarnation string, sequence uint64) foxtailwharf.Instance {
	return foxtailwharf.Instance{Name: "agent-1", Incarnation: incarnation, Role: foxtailwharf.RoleAgent, Sequence: sequence}
}

// all returns all records, read one page at a time.
func all(v *tracker.Tracker) (records []foxtailwharf.Instance) {
	var since uint64
	for since < v.Sequence() {
		var page []foxtailwharf.Instance
		page, since = v.Since(since, 1, func(foxtailwharf.Instance) bool { return true })
		records = append(records, page...)
	}
	return records
}

// TestMerge applies the same records in two orders: both views end up equal, and an instance that
// was ever reported as leaving stays so.
func TestMerge(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		records := rapid.SliceOfN(rapid.Custom(func(t *rapid.T) foxtailwharf.Instance {
			i := agent(fmt.Sprint("incarnation-", rapid.IntRange(0, 2).Draw(t, "incarnation")), uint64(rapid.IntRange(1, 4).Draw(t, "sequence")))
			i.IsLeaving = rapid.IntRange(0, 3).Draw(t, "leaving") == 0
			i.IsGone = rapid.IntRange(0, 3).Draw(t, "gone") == 0
			// Incarnation and sequence identify a record, so its content follows from them.
			i.Version = fmt.Sprint(i.Incarnation, i.Sequence)
			return i
		}), 1, 20).Draw(t, "records")
		now := time.Unix(0, 0)
		a, b := tracker.New(tracker.Config{}), tracker.New(tracker.Config{})
		left := make(map[string]bool)
		for _, i := range records {
			now = now.Add(time.Second)
			a.ApplyRelayed(now, i)
			left[i.Incarnation] = left[i.Incarnation] || i.IsLeaving
			if got, _ := a.Find(i.Incarnation); got.IsLeaving != left[i.Incarnation] {
				t.Fatalf("%s has IsLeaving %t, want %t", i.Incarnation, got.IsLeaving, left[i.Incarnation])
			}
		}
		for _, i := range rapid.Permutation(records).Draw(t, "order") {
			b.ApplyRelayed(now, i)
		}
		for _, i := range records {
			gotA, _ := a.Find(i.Incarnation)
			gotB, _ := b.Find(i.Incarnation)
			if gotA != gotB {
				t.Fatalf("views differ by the order of records: %+v and %+v", gotA, gotB)
			}
		}
	})
}

// TestRefute checks a live instance that others consider gone: a process that hears from it directly
// keeps it and has it refute, and the others accept the higher sequence.
func TestRefute(t *testing.T) {
	now := time.Unix(0, 0)
	near, far := tracker.New(tracker.Config{}), tracker.New(tracker.Config{})
	i := agent("a", 5)
	near.ApplyDirect(now, i)
	far.ApplyRelayed(now, i)
	far.MarkLost(now, "a")
	for _, record := range all(far) {
		near.ApplyRelayed(now, record)
	}
	if len(near.Live(foxtailwharf.RoleAgent)) != 1 {
		t.Error("a process that hears from the instance directly considers it gone")
	}
	if !near.ApplyDirect(now, i) {
		t.Error("the instance is not asked to refute")
	}
	i.Sequence++
	if near.ApplyDirect(now, i) {
		t.Error("the instance is asked to refute again")
	}
	for _, record := range all(near) {
		far.ApplyRelayed(now, record)
	}
	if len(far.Live(foxtailwharf.RoleAgent)) != 1 {
		t.Error("the record with the higher sequence is not accepted")
	}
}

// TestReplaced checks a new incarnation under the same name: the old one is gone, and a late record
// does not make it live again.
func TestReplaced(t *testing.T) {
	now := time.Unix(0, 0)
	v := tracker.New(tracker.Config{})
	v.ApplyDirect(now, agent("old", 9))
	now = now.Add(time.Minute)
	v.ApplyDirect(now, agent("new", 1))
	v.ApplyRelayed(now, agent("old", 9))
	live := v.Live(foxtailwharf.RoleAgent)
	if len(live) != 1 || live[0].Incarnation != "new" {
		t.Errorf("got %+v, want only the new incarnation", live)
	}
}

// TestList checks the effect of the lagging platform list: instances that it marks as leaving are
// leaving while it does so, and only missing instances that are also silent count as gone.
func TestList(t *testing.T) {
	now := time.Unix(0, 0)
	v := tracker.New(tracker.Config{ListLag: time.Minute, SilenceTimeout: 5 * time.Second})
	v.ApplyDirect(now, agent("a", 1))
	v.ApplyList(now, []foxtailwharf.Instance{{Name: "agent-1", IsLeaving: true}})
	if live := v.Live(foxtailwharf.RoleAgent); !live[0].IsLeaving {
		t.Error("an instance that the list marks as leaving is not leaving")
	}
	v.ApplyList(now, []foxtailwharf.Instance{{Name: "agent-1"}})
	if live := v.Live(foxtailwharf.RoleAgent); live[0].IsLeaving {
		t.Error("an instance is still leaving although the list no longer says so")
	}
	never := agent("never listed", 1)
	never.Name = "agent-2"
	v.ApplyRelayed(now, never)
	now = now.Add(2 * time.Minute)
	v.ApplyDirect(now, agent("a", 1))
	v.ApplyList(now, nil)
	if len(v.Live(foxtailwharf.RoleAgent)) != 2 {
		t.Error("the list removed an instance that is not silent, or one that was never listed")
	}
	v.ApplyList(now.Add(6*time.Second), nil)
	if live := v.Live(foxtailwharf.RoleAgent); len(live) != 1 || live[0].Name != "agent-2" {
		t.Errorf("got %+v, want only the instance that was never listed", live)
	}
}
