package main

import (
	"fmt"
	"net/http"
	"sync/atomic"
	"syscall"
	"time"
)

// Times of the case "manifest".
const (
	calmBefore    = 10 * time.Second // with version 2 in all runners, before the final fault
	powerLost     = 700 * time.Millisecond
	corruptLength = 4 * time.Second  // from the return of the machines
	recoveryTime  = 12 * time.Second // recovery-s
	judgedLength  = 40 * time.Second // after it
	requestPause  = 100 * time.Millisecond
	streamsToOne  = 9 // streams to one other request, as on the sheet
)

// share counts requests and those that were served.
type share struct {
	sent, served int
}

func (s share) fraction() float64 {
	return float64(s.served) / float64(max(s.sent, 1))
}

// powerCut is the fleet of the case.
type powerCut struct {
	r         *rig
	s         *sender
	isCorrupt atomic.Bool
	processes []*process
	engines   []*engine
	count     int
}

// corrupt puts a wrong digit into one of the hashes of a manifest, if the origin's manifests are corrupt now.
func (f *powerCut) corrupt(asker string, hashes []string) {
	f.r.log("the origin sends %s a manifest, corrupt: %t", asker, f.isCorrupt.Load())
	if !f.isCorrupt.Load() {
		return
	}
	digit := byte('0')
	if hashes[7][0] == digit {
		digit = '1'
	}
	hashes[7] = string(digit) + hashes[7][1:]
}

// send sends requests for a time and counts them.
func (f *powerCut) send(until time.Time) (s share) {
	for ; time.Now().Before(until); f.count++ {
		var isServed bool
		if f.count%(streamsToOne+1) == 0 {
			isServed = f.s.send(f.count%3, "") == http.StatusOK
		} else {
			var status int
			id := fmt.Sprintf("c%05d", f.count)
			status, isServed = f.r.chat(f.count%3, id)
			f.r.log("%s sent to entry-%d for a stream: %d, whole: %t", id, f.count%3+1, status, isServed)
		}
		s.sent++
		if isServed {
			s.served++
		}
		time.Sleep(requestPause)
	}
	return s
}

// cutPower takes the power of all machines of the system right after a configuration was acknowledged, and starts them again.
func (f *powerCut) cutPower() error {
	f.r.store.put("config", "main", f.r.modelConfig(7))
	f.r.log("configuration 7 is acknowledged; all machines lose power")
	for _, p := range f.processes {
		p.signal(syscall.SIGKILL)
	}
	for _, e := range f.engines {
		e.losePower()
	}
	for _, p := range f.processes {
		p.kill()
	}
	time.Sleep(powerLost)
	f.isCorrupt.Store(f.r.hasTrouble)
	for _, e := range f.engines {
		if err := e.start(); err != nil {
			return err
		}
	}
	for _, p := range f.processes {
		if err := p.start(); err != nil {
			return err
		}
	}
	f.r.log("all machines are back")
	return nil
}

// runManifest ends a day with a loss of power of all machines, after which the origin's manifests have one wrong digit for
// some seconds. The rule is broken if, later than recovery-s after the machines are back, less than a quarter is served.
func runManifest(r *rig) (bool, error) {
	f := &powerCut{r: r, s: &sender{r: r}}
	fronts, sides, engines, err := r.startModelFleet(&origin{corrupt: f.corrupt}, 3, 3)
	if err != nil {
		return false, err
	}
	f.processes, f.engines = append(fronts, sides...), engines
	p := newPlain(r, "i-booking-1")
	if err := r.serve(r.address(subnetPlain, 0, appOffset), p); err != nil {
		return false, err
	}
	r.register(p, 0)
	r.store.put("versions", model, map[string]any{"model": model, "version": 2})
	r.log("version 2 is named")
	before := f.send(time.Now().Add(calmBefore))
	if err := f.cutPower(); err != nil {
		return false, err
	}
	back := time.Now()
	time.Sleep(corruptLength)
	f.isCorrupt.Store(false)
	r.log("the origin is sound")
	f.send(back.Add(recoveryTime))
	after := f.send(back.Add(recoveryTime + judgedLength))
	for _, e := range engines {
		r.log("%s holds version %d", e.id, e.held())
	}
	r.log("served before the final fault: %d of %d; later than 12 s after the return: %d of %d", before.served, before.sent, after.served, after.sent)
	return before.fraction() >= 0.25 && after.fraction() < 0.25, nil
}
