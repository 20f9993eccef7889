package main

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"maps"
	"net"
	"net/http"
	"net/http/httptrace"
	"strconv"
	"sync"
	"sync/atomic"
	"time"
)

// Load of the case "bodies".
const (
	frontMemory  = 284 << 20 // memory-mb of a front machine
	bodyBytes    = 4194304   // body-bytes of the configuration
	usualClients = 16        // of each entry, one request at a time
	burstClients = 40        // 2.5 times as many
	burstLength  = 6 * time.Second
	linkBytes    = 125_000_000 // a second, link-mbps of a front machine
	clientBytes  = 2_500_000   // a second, of one client; all together leave a fifth of the link free
	linkBlock    = 64 << 10
	firstEvent   = time.Second            // of a stream, the aim of the longest kind of request
	streamLength = 500 * time.Millisecond // after it
	mostLost     = 3                      // requests that a machine may leave without an answer
)

// link is the link of a front machine, which all of its clients share.
type link struct {
	mu      sync.Mutex
	next    time.Time
	longest time.Duration // wait of a packet
}

// await blocks until the link has taken some bytes.
func (l *link) await(count int) {
	l.mu.Lock()
	now := time.Now()
	if l.next.Before(now) {
		l.next = now
	}
	l.next = l.next.Add(time.Duration(float64(count) / linkBytes * float64(time.Second)))
	until := l.next
	l.longest = max(l.longest, until.Sub(now))
	l.mu.Unlock()
	time.Sleep(time.Until(until))
}

// linkReader reads a body at the rate of a link.
type linkReader struct {
	*bytes.Reader
	l *link
}

// Read reads at most one block, once the link has room for it.
func (b *linkReader) Read(p []byte) (int, error) {
	n, err := b.Reader.Read(p[:min(len(p), linkBlock)])
	time.Sleep(time.Duration(float64(n) / clientBytes * float64(time.Second)))
	b.l.await(n)
	return n, err
}

// uploader sends requests with the largest bodies to an entry, one after the other.
type uploader struct {
	r             *rig
	l             *link
	entry, number int
	body          []byte
	until         time.Time
	served        *atomic.Int64
	sent          *atomic.Int64
	cut           []string // requests on kept channels that were closed without an answer
}

func (u *uploader) run() {
	client := http.Client{Timeout: 6 * time.Second, Transport: &http.Transport{}}
	for k := 0; time.Now().Before(u.until); k++ {
		id := fmt.Sprintf("b%d-%d-%d", u.entry, u.number, k)
		body := &linkReader{Reader: bytes.NewReader(u.body), l: u.l}
		request, err := http.NewRequest(http.MethodPost, "http://"+u.r.address(subnetFront, u.entry, callersOffset)+"/chat/"+id+"/"+strconv.FormatInt(streamLength.Milliseconds(), 10), body)
		if err != nil {
			return
		}
		request.ContentLength = int64(len(u.body))
		request.Host = "review.example"
		request.Header.Set("Foxtailwharf-Request-Id", id)
		request.Header.Set("Foxtailwharf-Deadline-Ms", "6000")
		isKept := false
		trace := &httptrace.ClientTrace{GotConn: func(c httptrace.GotConnInfo) { isKept = c.Reused }}
		u.sent.Add(1)
		response, err := client.Do(request.WithContext(httptrace.WithClientTrace(request.Context(), trace)))
		if err != nil {
			u.r.log("%s sent to entry-%d, on a kept channel: %t: %v", id, u.entry+1, isKept, err)
			if isKept && !isTimeout(err) {
				u.cut = append(u.cut, id)
			}
			time.Sleep(100 * time.Millisecond)
			continue
		}
		u.r.log("%s sent to entry-%d: %d", id, u.entry+1, response.StatusCode)
		_, err = io.Copy(io.Discard, response.Body)
		_ = response.Body.Close()
		if err == nil && response.StatusCode == http.StatusOK {
			u.served.Add(1)
		}
	}
}

func isTimeout(err error) bool {
	var timeout net.Error
	return errors.As(err, &timeout) && timeout.Timeout()
}

// runBodies lets two and a half times as many clients as usual come at once, with bodies as long as the configuration
// allows. The rule is broken if an entry has passed more than three requests from kept channels on to a runner, which ran
// them, and closes these channels without an answer.
func runBodies(r *rig) (bool, error) {
	const entries = 3
	fronts, _, engines, err := r.startModelFleet(&origin{}, entries, 6)
	if err != nil {
		return false, err
	}
	for _, e := range engines {
		e.firstEvent = firstEvent
	}
	time.Sleep(4 * time.Second)
	var guards []*guard
	for _, p := range fronts {
		guards = append(guards, watchMemory(p, frontMemory))
	}
	var served, sent atomic.Int64
	body := bytes.Repeat([]byte("x"), bodyBytes)
	begin := time.Now().Add(6 * time.Second)
	end := begin.Add(burstLength + 2*time.Second)
	var clients sync.WaitGroup
	var uploaders []*uploader
	links := make([]*link, entries)
	for entry := range entries {
		links[entry] = &link{}
		for number := range burstClients {
			u := &uploader{r: r, l: links[entry], entry: entry, number: number, body: body, until: end, served: &served, sent: &sent}
			uploaders = append(uploaders, u)
			u.start(&clients, begin)
		}
	}
	r.log("%d clients at each of %d entries, bodies of %d bytes", usualClients, entries, bodyBytes)
	if r.hasTrouble {
		time.Sleep(time.Until(begin))
		r.log("%d clients at each entry for %s", burstClients, burstLength)
	}
	clients.Wait()
	r.log("%d of %d requests served", served.Load(), sent.Load())
	isOver := endGuards(r, guards)
	r.log("two machines have exceeded their memory three times: %t", isOver)
	return r.countCut(uploaders, engines, links), nil
}

// start lets the client run: the usual ones at once, the others for the length of the burst.
func (u *uploader) start(clients *sync.WaitGroup, begin time.Time) {
	switch {
	case u.number < usualClients:
		clients.Go(func() {
			time.Sleep(time.Duration(u.number) * 200 * time.Millisecond)
			u.run()
		})
	case u.r.hasTrouble:
		u.until = begin.Add(burstLength)
		clients.Go(func() {
			time.Sleep(time.Until(begin))
			u.run()
		})
	}
}

// countCut reports whether an entry has closed too many kept channels without an answer to a request that a runner ran.
func (r *rig) countCut(uploaders []*uploader, engines []*engine, links []*link) (isBroken bool) {
	ran := make(map[string]bool)
	for _, e := range engines {
		maps.Copy(ran, e.ran())
	}
	lost := make([]int, len(links))
	for _, u := range uploaders {
		for _, id := range u.cut {
			if ran[id] {
				lost[u.entry]++
				r.log("%s: a runner ran it, and its kept channel was closed without an answer", id)
			}
		}
	}
	for entry, count := range lost {
		r.log("entry-%d: %d requests from kept channels, which a runner ran, without an answer; longest wait of a packet at its link %s", entry+1, count, links[entry].longest)
		isBroken = isBroken || count > mostLost
	}
	return isBroken
}
