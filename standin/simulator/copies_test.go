package simulator_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/foxtailwharf/foxtailwharf/standin/simulator"
)

const crashingID = "crasher"

// TestCopiesOfCrashingCall sends copies of a call that crashes engines at the same instant, through one or more
// entries. Each copy crashes an engine and is tried once more before the crashes are known. Later copies
// reach no engine through any entry once the call has crashed three.
func TestCopiesOfCrashingCall(t *testing.T) {
	t.Parallel()
	for _, entries := range []int{1, 2, 6} {
		for _, copies := range []int{1, 2, 10} {
			t.Run(fmt.Sprintf("%d copies through %d entries", copies, entries), func(t *testing.T) {
				arrived := newArrivals()
				run(t, simulator.Config{Entries: 6, Engines: 24, Slots: 8, Events: 5, CrashingCalls: []string{crashingID}, OnArrive: arrived.arrive}, 0, func(h *harness) {
					h.checkCopies(copies, entries, arrived)
				})
			})
		}
	}
}

func (h *harness) checkCopies(copies, entries int, arrived *arrivals) {
	const attempts, maxCrashes = 2, 3
	for n := range copies {
		h.callers.Go(func() { h.sendCopy(h.Entries[n%entries]) })
	}
	h.callers.Wait()
	time.Sleep(time.Second)
	crashed := arrived.count()
	if crashed > attempts*copies {
		h.t.Errorf("%d copies were sent to engines %d times", copies, crashed)
	}
	for n := range 2 * len(h.Entries) {
		h.sendCopy(h.Entries[n%len(h.Entries)])
		time.Sleep(500 * time.Millisecond)
	}
	if late := arrived.count() - crashed; late > max(maxCrashes-crashed, 0) {
		h.t.Errorf("after %d crashes %d later copies reach engines", crashed, late)
	}
	h.t.Logf("%d crashes", arrived.count())
}

// count returns how many calls have reached engines.
func (a *arrivals) count() (count int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, calls := range a.at {
		count += len(calls)
	}
	return count
}

// sendCopy sends the call that crashes engines.
func (h *harness) sendCopy(entry *simulator.Entry) {
	r, err := simulator.NewRequest(h.t.Context(), entry.Callers(), "chat", crashingID, simulator.Key, 100)
	if err != nil {
		h.t.Error(err)
		return
	}
	response, err := h.client.Do(r)
	if err != nil {
		return
	}
	var res result
	if h.readEvents(response, crashingID, &res) {
		h.t.Error("a copy got a whole answer")
	}
	_ = response.Body.Close()
}
