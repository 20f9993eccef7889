package retrylimiter_test

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/foxtailwharf/foxtailwharf/internal/request/retrylimiter"
)

// TestBudget checks that the retries in a window never exceed the ratio of its calls plus the
// extra.
func TestBudget(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const ratio, extra, window = 0.2, 3.0, 10 * time.Second
		start := time.Unix(1000, 0)
		r := retrylimiter.New(retrylimiter.Config{Ratio: ratio, Window: window, Extra: extra}, start)
		var calls, retries []time.Time
		now := start
		for range rapid.IntRange(1, 300).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 400).Draw(t, "pause")) * time.Millisecond)
			if rapid.Bool().Draw(t, "isCall") {
				r.RecordCall(now, "s")
				calls = append(calls, now)
			} else if r.AllowRetry(now, "s") {
				retries = append(retries, now)
			}
		}
		count := func(list []time.Time, until time.Time, length time.Duration) (n float64) {
			for _, at := range list {
				if at.After(until.Add(-length)) && !at.After(until) {
					n++
				}
			}
			return n
		}
		for _, at := range retries {
			have, want := count(retries, at, window), count(calls, at, window)*ratio+extra
			if have > want {
				t.Fatalf("%v retries in a window, want at most %v", have, want)
			}
		}
	})
}

func TestServicesApart(t *testing.T) {
	now := time.Unix(0, 0)
	r := retrylimiter.New(retrylimiter.Config{Ratio: 0, Window: time.Second, Extra: 1}, now)
	if !r.AllowRetry(now, "a") || r.AllowRetry(now, "a") {
		t.Error("one retry of a service should be allowed, and no second")
	}
	if !r.AllowRetry(now, "b") {
		t.Error("each service must have its own budget")
	}
	if !r.AllowRetry(now.Add(2*time.Second), "a") {
		t.Error("the budget should be restored after a window")
	}
}

func TestReturnedRetryIsAllowedAgain(t *testing.T) {
	now := time.Unix(1000, 0)
	r := retrylimiter.New(retrylimiter.Config{Window: 10 * time.Second, Extra: 1}, now)
	for _, pause := range []time.Duration{0, 3 * time.Second} {
		if !r.AllowRetry(now, "s") || r.AllowRetry(now, "s") {
			t.Fatal("want one retry in the window")
		}
		takenAt := now
		now = now.Add(pause)
		r.ReturnRetry(now, takenAt, "s")
	}
	if !r.AllowRetry(now, "s") {
		t.Error("want the returned retry to be allowed again")
	}
}

// TestReturnedRetryFreesItsOwnStep guards against a budget that is exceeded because a retry that was returned
// late makes a younger one look older.
func TestReturnedRetryFreesItsOwnStep(t *testing.T) {
	start := time.Unix(1000, 0)
	r := retrylimiter.New(retrylimiter.Config{Window: 10 * time.Second, Extra: 2}, start)
	if !r.AllowRetry(start, "s") { // taken by a search
		t.Fatal("want a retry")
	}
	made := start.Add(9 * time.Second)
	if !r.AllowRetry(made, "s") {
		t.Fatal("want a second retry")
	}
	r.ReturnRetry(made, start, "s")
	count := 1
	for range 3 {
		if r.AllowRetry(made.Add(2*time.Second), "s") {
			count++
		}
	}
	if count > 2 {
		t.Errorf("%d retries within 2s, want 2 in a window of 10s", count)
	}
}
