package gauger_test

import (
	"net/netip"
	"testing"
	"time"

	"github.com/foxtailwharf/foxtailwharf/internal/connection/gauger"
)

// way carries datagrams to a gauger over a queue of changing length.
type way struct {
	g      *gauger.Gauger
	start  time.Time
	clocks map[netip.Addr]time.Duration // what each sender's clock is ahead
}

func machine(n int) netip.Addr {
	return netip.AddrFrom4([4]byte{10, 0, 0, byte(n)})
}

func (w *way) send(at time.Duration, from netip.Addr, queue time.Duration) time.Duration {
	const flight = time.Millisecond
	arrived := at + flight + queue
	return w.g.Note(w.start.Add(arrived), from, at+w.clocks[from], arrived)
}

func newWay() *way {
	return &way{g: gauger.New(), start: time.Unix(1000, 0), clocks: map[netip.Addr]time.Duration{
		machine(1): 77 * time.Hour, machine(2): -3 * time.Second, machine(3): 0,
	}}
}

// TestQueue checks that the wait in a queue shows, whatever the senders' clocks say, and goes
// with the queue.
func TestQueue(t *testing.T) {
	w := newWay()
	for at := time.Duration(0); at < 4*time.Second; at += 100 * time.Millisecond {
		if have := w.send(at, machine(1), 0); have != 0 {
			t.Fatalf("%s of waiting without a queue", have)
		}
	}
	if have := w.send(4*time.Second, machine(1), 300*time.Millisecond); have != 0 {
		t.Errorf("have %s after one late datagram, want 0", have)
	}
	w.send(4100*time.Millisecond, machine(1), 300*time.Millisecond)
	if have, want := w.send(4200*time.Millisecond, machine(1), 300*time.Millisecond), 300*time.Millisecond; have != want {
		t.Errorf("have %s, want %s", have, want)
	}
	if have := w.send(5*time.Second, machine(1), 0); have != 0 {
		t.Errorf("%s of waiting after the queue", have)
	}
}

// TestLeast checks that one full link of a sender is not taken for the own, and that the own
// shows in the words of all senders.
func TestLeast(t *testing.T) {
	w := newWay()
	for n := 1; n <= 3; n++ {
		w.send(0, machine(n), 0)
	}
	w.send(time.Second, machine(1), 500*time.Millisecond)
	w.send(time.Second, machine(2), 0)
	now := w.start.Add(1600 * time.Millisecond)
	if have := w.g.Least(now); have != 0 {
		t.Errorf("have %s with one full link of three, want 0", have)
	}
	for n := 1; n <= 3; n++ {
		for i := range 3 {
			w.send(2*time.Second+time.Duration(i)*20*time.Millisecond, machine(n), 200*time.Millisecond)
		}
	}
	if have, want := w.g.Least(w.start.Add(2300*time.Millisecond)), 200*time.Millisecond; have != want {
		t.Errorf("have %s with the own link full, want %s", have, want)
	}
	if have := w.g.Least(w.start.Add(time.Minute)); have != 0 {
		t.Errorf("have %s after a minute of silence, want 0", have)
	}
}

// TestClockStep checks that a sender whose clock stood still does not seem far away for ever.
func TestClockStep(t *testing.T) {
	w := newWay()
	for at := time.Duration(0); at < 3*time.Second; at += 100 * time.Millisecond {
		w.send(at, machine(1), 0)
	}
	w.clocks[machine(1)] -= 4 * time.Second
	have := time.Duration(0)
	for at := 7 * time.Second; at < 20*time.Second; at += 100 * time.Millisecond {
		have = w.send(at, machine(1), 0)
	}
	if have != 0 {
		t.Errorf("%s of waiting 13 s after the step, want 0", have)
	}
}
