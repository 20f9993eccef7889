package callerlimiter_test

import (
	"testing"
	"time"

	"github.com/foxtailwharf/foxtailwharf"
	"github.com/foxtailwharf/foxtailwharf/internal/connection/callerlimiter"
)

// TestDeadline checks when phases end that began before and after a change, which is at second 100 and
// has a grace period of a second for heads, and of two for idle connections.
func TestDeadline(t *testing.T) {
	second := func(s float64) time.Time {
		return time.Unix(0, 0).Add(time.Duration(s * float64(time.Second)))
	}
	short := foxtailwharf.CallLimits{IdleTimeout: 5 * time.Second, HeaderTimeout: 2 * time.Second}
	long := foxtailwharf.CallLimits{IdleTimeout: 50 * time.Second, HeaderTimeout: 20 * time.Second}
	tests := []struct {
		name          string
		before, after foxtailwharf.CallLimits
		phase         callerlimiter.Phase
		since         float64
		want          time.Time
	}{
		{"idle, began long before, shrinking", long, short, callerlimiter.PhaseIdle, 60, second(102)},
		{"idle, its end is in the grace period", long, short, callerlimiter.PhaseIdle, 50.5, second(100.5)},
		{"idle, its end is late in the grace period", long, short, callerlimiter.PhaseIdle, 51.5, second(101.5)},
		{"idle, began just before, shrinking", long, short, callerlimiter.PhaseIdle, 99, second(104)},
		{"idle, began after, shrinking", long, short, callerlimiter.PhaseIdle, 100.5, second(105.5)},
		{"idle, began before, growing", short, long, callerlimiter.PhaseIdle, 96, second(146)},
		{"idle, began after, growing", short, long, callerlimiter.PhaseIdle, 103, second(153)},
		{"head, began before, shrinking", long, short, callerlimiter.PhaseHead, 90, second(101)},
		{"head, began just before, shrinking", long, short, callerlimiter.PhaseHead, 99.5, second(101.5)},
		{"head, began before, growing", short, long, callerlimiter.PhaseHead, 99, second(119)},
		{"served, shrinking", long, short, callerlimiter.PhaseServing, 50, time.Time{}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			l := callerlimiter.Limits{Current: tt.before}.Changed(tt.after, second(100))
			if deadline := l.Deadline(tt.phase, second(tt.since)); !deadline.Equal(tt.want) {
				t.Errorf("deadline %s, want %s", deadline.UTC(), tt.want.UTC())
			}
		})
	}
}

// TestChangesInGracePeriod guards against a change that ends or prolongs the grace period of limits that were replaced
// before it.
func TestChangesInGracePeriod(t *testing.T) {
	start := time.Unix(100, 0)
	for _, changes := range []int{2, 3, 10, 50} {
		l, step := callerlimiter.Limits{Current: foxtailwharf.CallLimits{HeaderBytes: 100_000}}, time.Second/time.Duration(changes)
		for i := range changes {
			l = l.Changed(foxtailwharf.CallLimits{HeaderBytes: 100_000 - 1000*(i+1)}, start.Add(time.Duration(i)*step))
		}
		for i := range changes {
			end := start.Add(time.Duration(i)*step + time.Second)
			for at, want := range map[time.Time]int{end.Add(-time.Nanosecond): 100_000 - 1000*i, end: 100_000 - 1000*(i+1)} {
				if bytes := l.At(at).HeaderBytes; bytes != want {
					t.Errorf("limit %d bytes %s after the first of %d changes, want %d", bytes, at.Sub(start), changes, want)
				}
			}
		}
	}
}

// TestLongestOfReplacedLimits guards against a phase that ends by the limits of the last change alone.
func TestLongestOfReplacedLimits(t *testing.T) {
	start := time.Unix(100, 0)
	l := callerlimiter.Limits{Current: foxtailwharf.CallLimits{HeaderTimeout: 9 * time.Second}}
	for i, timeout := range []time.Duration{time.Second, 2 * time.Second, 100 * time.Millisecond} {
		l = l.Changed(foxtailwharf.CallLimits{HeaderTimeout: timeout}, start.Add(time.Duration(i)*400*time.Millisecond))
	}
	for since, want := range map[time.Duration]time.Duration{
		-5 * time.Second:        time.Second,             // until the end of the first grace period
		300 * time.Millisecond:  1800 * time.Millisecond, // until that of the third one
		-500 * time.Millisecond: 1500 * time.Millisecond, // the third timeout
		1700 * time.Millisecond: 1800 * time.Millisecond, // the current timeout
	} {
		if deadline := l.Deadline(callerlimiter.PhaseHead, start.Add(since)); !deadline.Equal(start.Add(want)) {
			t.Errorf("a head that began at %s may take until %s, want %s", since, deadline.Sub(start), want)
		}
	}
}

// TestBounded checks the limits that apply where the operators set none or too large ones.
func TestBounded(t *testing.T) {
	largest := foxtailwharf.CallLimits{
		HeaderBytes: foxtailwharf.MaxHeaderBytes, BodyBytes: foxtailwharf.MaxBodyBytes,
		HeaderTimeout: foxtailwharf.MaxHeaderTimeout, IdleTimeout: foxtailwharf.MaxIdleTimeout,
	}
	within := foxtailwharf.CallLimits{HeaderBytes: 1, BodyBytes: 2, HeaderTimeout: 3, IdleTimeout: 4}
	tests := []struct {
		name         string
		limits, want foxtailwharf.CallLimits
	}{
		{"none", foxtailwharf.CallLimits{}, largest},
		{"negative", foxtailwharf.CallLimits{HeaderBytes: -1, BodyBytes: -1, HeaderTimeout: -1, IdleTimeout: -1}, largest},
		{"too large", foxtailwharf.CallLimits{HeaderBytes: 1 << 30, BodyBytes: 1 << 40, HeaderTimeout: time.Hour, IdleTimeout: time.Hour}, largest},
		{"within", within, within},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			if limits := tt.limits.Bounded(); limits != tt.want {
				t.Errorf("limits %+v, want %+v", limits, tt.want)
			}
		})
	}
}
