package main

import (
	"fmt"
	"net/http"
	"sync/atomic"
	"time"
)

// Times of the case "manifest".
const (
	corruptLength  = 4 * time.Second
	observedLength = 90 * time.Second // from the naming of the version
	requestPause   = 250 * time.Millisecond
)

// runManifest lets the origin send manifests with one wrong digit for some seconds after a version was named. The rule is
// broken if the requests for streams are served less than a quarter as often as all.
func runManifest(r *rig) (bool, error) {
	var isCorrupt atomic.Bool
	o := &origin{}
	o.corrupt = func(asker string, hashes []string) {
		if !isCorrupt.Load() {
			r.log("the origin sends %s a sound manifest", asker)
			return
		}
		r.log("the origin sends %s a manifest with one wrong digit", asker)
		digit := byte('0')
		if hashes[7][0] == digit {
			digit = '1'
		}
		hashes[7] = string(digit) + hashes[7][1:]
	}
	_, _, engines, err := r.startModelFleet(o, 3, 3)
	if err != nil {
		return false, err
	}
	p := newPlain(r, "i-booking-1")
	if err := r.serve(r.address(subnetPlain, 0, appOffset), p); err != nil {
		return false, err
	}
	r.register(p, 0)
	time.Sleep(3 * time.Second)
	isCorrupt.Store(r.hasTrouble)
	r.store.put("versions", model, map[string]any{"model": model, "version": 2})
	named := time.Now()
	r.log("version 2 is named")
	s := &sender{r: r}
	var chats, chatsServed, looks, looksServed int
	for n := 0; time.Since(named) < observedLength; n++ {
		isCorrupt.Store(r.hasTrouble && time.Since(named) < corruptLength)
		chats++
		status, isWhole := r.chat(n%3, fmt.Sprintf("c%05d", n))
		if isWhole {
			chatsServed++
		}
		r.log("c%05d sent to entry-%d for a stream: %d, whole: %t", n, n%3+1, status, isWhole)
		looks++
		if s.send(n%3, "") == http.StatusOK {
			looksServed++
		}
		time.Sleep(requestPause)
	}
	for _, e := range engines {
		r.log("%s holds version %d", e.id, e.held())
	}
	streams, all := float64(chatsServed)/float64(chats), float64(chatsServed+looksServed)/float64(chats+looks)
	r.log("served: %d of %d streams, %d of %d other requests; streams %.3f, all %.3f", chatsServed, chats, looksServed, looks, streams, all)
	return streams < all/4, nil
}
