package relayer_test

import (
	"fmt"
	"net/http/httptest"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/foxtailwharf/foxtailwharf/internal/request/relayer"
	"github.com/foxtailwharf/foxtailwharf/wire"
)

// TestCrashingRequestsAtOnce guards against requests that crash upstreams and free each other: several are sent again
// and again.
func TestCrashingRequestsAtOnce(t *testing.T) {
	tests := []crashesTest{{1, 100 * time.Millisecond}, {2, 300 * time.Millisecond}, {3, 300 * time.Millisecond}, {3, 700 * time.Millisecond}, {5, 500 * time.Millisecond}}
	for _, tt := range tests {
		t.Run(fmt.Sprintf("%d requests, each every %s", tt.requests, tt.every), func(t *testing.T) { synctest.Test(t, tt.run) })
	}
}

// crashesTest is a number of requests that crash upstreams, and the pause after which all are sent again.
type crashesTest struct {
	requests int
	every    time.Duration
}

func (tt crashesTest) run(t *testing.T) {
	const (
		agents     = 36
		length     = 9 * time.Second
		knownAfter = 3 * time.Second
		maxLate    = 3 // of each request
	)
	begun := time.Now()
	var mu sync.Mutex
	var arrived []time.Time
	var crashing []*agent
	for range agents {
		crashing = append(crashing, &agent{isStream: true, isAborted: true, fault: func(_ *wire.Answer, b *string, _ *wire.End) {
			mu.Lock()
			defer mu.Unlock()
			arrived = append(arrived, time.Now())
			*b = ""
		}})
	}
	b := newBench(t, crashing...)
	defer b.close()
	for time.Since(begun) < length {
		tt.sendAll(b)
		time.Sleep(tt.every)
	}
	late := slices.DeleteFunc(slices.Clone(arrived), func(at time.Time) bool { return at.Before(begun.Add(knownAfter)) })
	t.Logf("%d attempts, %d of them late", len(arrived), len(late))
	if len(late) > maxLate*tt.requests {
		t.Errorf("%d attempts later than %s after the first, want %d at the most", len(late), knownAfter, maxLate*tt.requests)
	}
}

// sendAll sends each request once, all at the same time, and waits for their answers.
func (tt crashesTest) sendAll(b *bench) {
	var callers sync.WaitGroup
	for n := range tt.requests {
		callers.Go(func() {
			if refusal, isAborted := b.relay(httptest.NewRecorder(), relayer.Request{Body: []byte(fmt.Sprint("request ", n))}); refusal == nil && !isAborted {
				b.t.Errorf("request %d got an answer", n)
			}
		})
	}
	callers.Wait()
}
