package main

import (
	"bytes"
	"fmt"
	"io"
	"net/http"
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
	linkBlock    = 64 << 10
)

// link is the link of a front machine, which all of its clients share.
type link struct {
	mu   sync.Mutex
	next time.Time
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
}

func (u *uploader) run() {
	client := http.Client{Timeout: 6 * time.Second, Transport: &http.Transport{}}
	for k := 0; time.Now().Before(u.until); k++ {
		id := fmt.Sprintf("b%d-%d-%d", u.entry, u.number, k)
		body := &linkReader{Reader: bytes.NewReader(u.body), l: u.l}
		request, err := http.NewRequest(http.MethodPost, "http://"+u.r.address(subnetFront, u.entry, callersOffset)+"/chat/"+id, body)
		if err != nil {
			return
		}
		request.ContentLength = int64(len(u.body))
		request.Host = "review.example"
		request.Header.Set("Foxtailwharf-Request-Id", id)
		request.Header.Set("Foxtailwharf-Deadline-Ms", "6000")
		u.sent.Add(1)
		response, err := client.Do(request)
		if err != nil {
			u.r.log("%s sent to entry-%d: %v", id, u.entry+1, err)
			time.Sleep(100 * time.Millisecond)
			continue
		}
		u.r.log("%s sent to entry-%d: %d", id, u.entry+1, response.StatusCode)
		_, _ = io.Copy(io.Discard, response.Body)
		_ = response.Body.Close()
		if response.StatusCode == http.StatusOK {
			u.served.Add(1)
		}
	}
}

// runBodies lets two and a half times as many clients as usual come at once, with bodies as long as the configuration
// allows. The rule is broken if two entries exceed their memory three times.
func runBodies(r *rig) (bool, error) {
	const entries = 3
	fronts, _, _, err := r.startModelFleet(&origin{}, entries, 6)
	if err != nil {
		return false, err
	}
	time.Sleep(3 * time.Second)
	var guards []*guard
	for _, p := range fronts {
		guards = append(guards, watchMemory(p, frontMemory))
	}
	var served, sent atomic.Int64
	body := bytes.Repeat([]byte("x"), bodyBytes)
	begin := time.Now().Add(2 * time.Second)
	end := begin.Add(burstLength + 2*time.Second)
	var clients sync.WaitGroup
	for entry := range entries {
		l := &link{}
		for number := range burstClients {
			u := &uploader{r: r, l: l, entry: entry, number: number, body: body, until: end, served: &served, sent: &sent}
			if number < usualClients {
				clients.Go(u.run)
				continue
			}
			if !r.hasTrouble {
				continue
			}
			u.until = begin.Add(burstLength)
			clients.Go(func() {
				time.Sleep(time.Until(begin))
				u.run()
			})
		}
	}
	r.log("%d clients at each of %d entries, bodies of %d bytes", usualClients, entries, bodyBytes)
	if r.hasTrouble {
		time.Sleep(time.Until(begin))
		r.log("%d clients at each entry for %s", burstClients, burstLength)
	}
	clients.Wait()
	r.log("%d of %d requests served", served.Load(), sent.Load())
	return endGuards(r, guards), nil
}
