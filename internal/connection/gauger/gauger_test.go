package gauger_test

import (
	"net/netip"
	"testing"
	"time"

	"github.com/foxtailwharf/foxtailwharf/internal/connection/gauger"
)

// full is the wait from which on a link counts as full here.
const full = 35 * time.Millisecond

// way carries datagrams to a gauger over a queue of changing length.
type way struct {
	g        *gauger.Gauger
	start    time.Time
	clocks   map[netip.Addr]time.Duration // what each sender's clock is ahead
	sequence map[netip.Addr]int64
}

func machine(n int) netip.Addr {
	return netip.AddrFrom4([4]byte{10, 0, 0, byte(n)})
}

// lost stands for a datagram that is dropped.
const lost = -1

// send sends datagrams every tenth of a second for a while, and returns the time after it.
func (w *way) send(at, length time.Duration, from netip.Addr, queue func(n int) time.Duration) time.Time {
	const flight, interval = time.Millisecond, 100 * time.Millisecond
	for n := range int(length / interval) {
		sent := at + time.Duration(n)*interval
		w.sequence[from]++
		if wait := queue(n); wait != lost {
			arrived := sent + flight + wait
			w.g.Observe(w.start.Add(arrived), from, gauger.Stamp{Sequence: w.sequence[from], Sent: sent + w.clocks[from]}, arrived)
		}
	}
	return w.start.Add(at + length)
}

func steady(wait time.Duration) func(int) time.Duration {
	return func(int) time.Duration { return wait }
}

func newWay() *way {
	return &way{g: gauger.New(), start: time.Unix(1000, 0), sequence: make(map[netip.Addr]int64), clocks: map[netip.Addr]time.Duration{
		machine(1): 77 * time.Hour, machine(2): -3 * time.Second, machine(3): 0,
	}}
}

// TestDelay plays a quiet way of four seconds, and then one second of each kind.
func TestDelay(t *testing.T) {
	tests := []struct {
		name   string
		queue  func(n int) time.Duration
		isFull bool
	}{
		{"no queue", steady(0), false},
		{"a queue", steady(200 * time.Millisecond), true},
		{"one late datagram", func(n int) time.Duration {
			if n == 4 {
				return 300 * time.Millisecond
			}
			return 0
		}, false},
		{"three in a hundred are lost", func(n int) time.Duration {
			if n == 7 {
				return lost
			}
			return 0
		}, false},
		{"half of them are lost", func(n int) time.Duration {
			if n%2 == 0 {
				return lost
			}
			return 0
		}, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			w := newWay()
			now := w.send(0, 4*time.Second, machine(1), steady(0))
			if have, _ := w.g.Delay(now, machine(1)); have != 0 {
				t.Fatalf("%s of waiting without a queue", have)
			}
			now = w.send(4*time.Second, time.Second, machine(1), tt.queue)
			if have, isKnown := w.g.Delay(now, machine(1)); !isKnown || (have >= full) != tt.isFull {
				t.Errorf("have %s, want a full link: %t", have, tt.isFull)
			}
		})
	}
}

// TestCommon checks that one full link of a sender is not taken for the own, and that the own
// shows in the datagrams of all senders.
func TestCommon(t *testing.T) {
	w := newWay()
	play := func(at time.Duration, first, others time.Duration) time.Duration {
		w.send(at, time.Second, machine(1), steady(first))
		w.send(at, time.Second, machine(2), steady(others))
		return w.g.Common(w.send(at, time.Second, machine(3), steady(others)))
	}
	if have := play(0, 0, 0); have != 0 {
		t.Errorf("have %s without queues, want 0", have)
	}
	if have := play(time.Second, 500*time.Millisecond, 0); have != 0 {
		t.Errorf("have %s with one full link of three, want 0", have)
	}
	if have := play(2*time.Second, 200*time.Millisecond, 200*time.Millisecond); have < full {
		t.Errorf("have %s with the own link full", have)
	}
	if have := w.g.Common(w.start.Add(time.Minute)); have != 0 {
		t.Errorf("have %s after a minute of silence, want 0", have)
	}
}

// TestClockStep checks that a sender whose clock stood still does not seem far away for ever,
// and that one which starts anew does not seem to have lost datagrams.
func TestClockStep(t *testing.T) {
	w := newWay()
	w.send(0, 3*time.Second, machine(1), steady(0))
	w.clocks[machine(1)] -= 4 * time.Second
	w.sequence[machine(1)] = 0
	now := w.send(7*time.Second, 13*time.Second, machine(1), steady(0))
	if have, _ := w.g.Delay(now, machine(1)); have != 0 {
		t.Errorf("%s of waiting 13 s after the step, want 0", have)
	}
}
