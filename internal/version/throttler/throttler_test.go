package throttler_test

import (
	"testing"
	"time"

	"github.com/foxtailwharf/foxtailwharf/internal/version/throttler"
)

// link simulates the queue of a link that uploads fill and that drains at a rate.
type link struct {
	rate  float64 // bytes a second
	queue float64 // bytes
}

// TestNarrowLink simulates uploads over a link whose bandwidth drops to about an eighth. After 6 s
// the queueing delay has to be at most 250 ms while uploads still use the link. Once the bandwidth
// is back, the full rate has to be reached within 4 s.
func TestNarrowLink(t *testing.T) {
	const wide, narrow, tick = 1_000_000, 130_000, 50 * time.Millisecond
	th := throttler.New(throttler.Config{Downloads: 6, Rate: wide})
	l := link{rate: wide * 1.1}
	now := time.Unix(0, 0)
	var sent float64
	simulate := func(length time.Duration) (longest time.Duration) {
		sent = 0
		for end := now.Add(length); now.Before(end); now = now.Add(tick) {
			bytes := float64(th.Rate()) * tick.Seconds()
			sent += bytes
			l.queue = max(l.queue+bytes-l.rate*tick.Seconds(), 0)
			wait := time.Duration(l.queue / l.rate * float64(time.Second))
			longest = max(longest, wait)
			th.Update(now, 0, wait)
		}
		return longest
	}
	if wait := simulate(2 * time.Second); wait > 12*time.Millisecond {
		t.Errorf("queueing delay of %s on a wide link, want 12ms at most", wait)
	}
	l.rate = narrow
	simulate(6 * time.Second) // adapts to the new bandwidth
	if wait := simulate(4 * time.Second); wait > 250*time.Millisecond {
		t.Errorf("queueing delay of %s on a narrow link after 6 s, want 250ms at most", wait)
	}
	if sent < 0.4*narrow*4 {
		t.Errorf("uploads use %.2f of the narrow link, want 0.4 at least", sent/(narrow*4))
	}
	l.rate = wide * 1.1
	simulate(4 * time.Second)
	if have := th.Rate(); have != wide {
		t.Errorf("%d bytes per second 4 s after the link is wide again, want %d", have, wide)
	}
}

func TestDownloads(t *testing.T) {
	th := throttler.New(throttler.Config{Downloads: 6, Rate: 100})
	now := time.Unix(0, 0)
	note := func(down time.Duration, times int) int {
		for range times {
			now = now.Add(200 * time.Millisecond)
			th.Update(now, down, 0)
		}
		return th.Downloads()
	}
	tests := []struct {
		down  time.Duration
		times int
		want  int
	}{
		{0, 5, 6},
		{300 * time.Millisecond, 1, 3},
		{300 * time.Millisecond, 9, 1},
		{20 * time.Millisecond, 9, 1},
		{0, 2, 3},
		{0, 9, 6},
	}
	for _, tt := range tests {
		if have := note(tt.down, tt.times); have != tt.want {
			t.Errorf("%d chunks at a time after %d delays of %s, want %d", have, tt.times, tt.down, tt.want)
		}
	}
}
