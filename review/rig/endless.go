package main

import "time"

// Bounds of the case "endless".
const (
	sideMemory    = 152 << 20 // memory-mb of a side machine
	troubleLength = 8 * time.Second
)

// runEndless lets two engines answer the reads of their staged pieces with bytes without end while new weights are
// installed. The rule is broken if the agents of two machines exceed their memory three times.
func runEndless(r *rig) (bool, error) {
	_, sides, engines, err := r.startModelFleet(&origin{}, 3, 6)
	if err != nil {
		return false, err
	}
	var guards []*guard
	for _, p := range sides {
		guards = append(guards, watchMemory(p, sideMemory))
	}
	time.Sleep(4 * time.Second)
	r.store.put("versions", model, map[string]any{"model": model, "version": 2})
	r.log("version 2 is named")
	if r.hasTrouble {
		for _, e := range engines[:brokenToBreak] {
			e.setEndless(true)
		}
		r.log("two runners answer reads of staged pieces with bytes without end")
	}
	time.Sleep(troubleLength)
	for _, e := range engines {
		e.setEndless(false)
	}
	r.log("the trouble is over")
	time.Sleep(8 * time.Second)
	for _, e := range engines {
		r.log("%s has begun %d answers without end and holds version %d", e.id, e.endlessCount(), e.held())
	}
	return endGuards(r, guards), nil
}
