package isolator_test

import (
	"testing"
	"time"

	"github.com/foxtailwharf/foxtailwharf/internal/request/isolator"
)

// banOf returns an isolator with a role that has banned the part bad at 4 s, for a minute.
func banOf(role isolator.Role) *isolator.Isolator {
	i := isolator.New(isolator.Config{BanTime: time.Minute})
	i.SetRole(role)
	crashUnder(i, []string{"bad"}, 1, 2, 3)
	i.Decide(at(4))
	i.TakeUnsent(at(4))
	return i
}

// TestMetBanLasts guards against a ban that ends while calls under it come.
func TestMetBanLasts(t *testing.T) {
	tests := []struct {
		name         string
		every, until float64 // seconds between calls, and the last one
		at           float64
		want         bool // the ban is in force
	}{
		{"calls all the time", 1, 300, 300, true},
		{"calls all the time, then none", 1, 300, 361, false},
		{"a call each 45 s", 45, 300, 300, true},
		{"no calls, within the time", 1000, 0, 62, true},
		{"no calls", 1000, 0, 64, false},
		{"a call too late", 70, 70, 71, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			i := banOf(isolator.RoleNone)
			for s := tt.every; s <= tt.until; s += tt.every {
				i.Meet(at(s), []string{"x", "bad"})
				i.Meet(at(s), []string{"sound"})
			}
			if have := i.BanRemaining(at(tt.at), []string{"bad"}); (have > 0) != tt.want {
				t.Errorf("the ban remains for %s at %v s, want in force %t", have, tt.at, tt.want)
			}
		})
	}
}

// TestMetBanIsTold has one entry meet calls under a ban and another one decide: the ban must last at both, and
// messages must be few.
func TestMetBanIsTold(t *testing.T) {
	met, decider := banOf(isolator.RoleNone), banOf(isolator.RoleDecides)
	told := 0
	for s := 4.0; s < 300; s++ {
		met.Meet(at(s), []string{"bad"})
		if e := met.TakeUnsent(at(s)); len(e.Met) > 0 {
			told++
			decider.Merge(at(s+0.1), isolator.Evidence{Bans: e.Met})
		}
	}
	if have := decider.BanRemaining(at(300), []string{"bad"}); have < 20*time.Second {
		t.Errorf("the ban remains for %s at the entry that decides, want more", have)
	}
	if told < 5 || told > 20 {
		t.Errorf("%d messages in 5 minutes, want one each quarter of a minute at the most", told)
	}
}

// TestTrial has calls under a ban come all the time: one entry lets one run now and then.
func TestTrial(t *testing.T) {
	trials := func(i *isolator.Isolator, until float64) (times []float64) {
		for s := 4.0; s < until; s++ {
			if remaining, isTrial := i.Meet(at(s), []string{"x", "bad"}); isTrial {
				times = append(times, s)
			} else if remaining == 0 {
				t.Fatalf("at %v s the call is not banned", s)
			}
		}
		return times
	}
	for _, role := range []isolator.Role{isolator.RoleNone, isolator.RoleDecides} {
		if have := trials(banOf(role), 1000); len(have) != 0 {
			t.Errorf("trials at %v by an entry with role %d, want none", have, role)
		}
	}
	// A minute after the newest crash, then after twice and four times as long.
	i := banOf(isolator.RoleTries)
	if have := trials(i, 1000); len(have) != 4 || have[0] != 63 || have[1] != 183 || have[2] != 423 {
		t.Errorf("trials at %v, want 63, 183, 423, 903", have)
	}
	i.RecordBegin(at(1000), []string{"x", "bad"})
	if e := i.TakeUnsent(at(1000)); !e.IsLifting || i.BanRemaining(at(1000), []string{"bad"}) != 0 {
		t.Errorf("after a trial that began the ban remains, or the others are not told: %+v", e)
	}
}
