package main

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"time"
)

// Times of the case "restore".
const (
	revokeBound  = 5 * time.Second         // revoke-ms
	rewriteDelay = 1800 * time.Millisecond // from the store's return until the operator's write is there again
	storeAway    = time.Second
)

const revokedKey, keptKey = "key-that-is-taken-away", "key-that-stays"

// lookRoute returns an idempotent route to the plain service.
func lookRoute(isPublic bool) map[string]any {
	return map[string]any{
		"name": "look", "host": "review.example", "path-prefix": "/look/", "kind": "idempotent", "service": "booking", "attempts": 2,
		"timeout-ms": 1200, "goal-ms": 150, "priority": 1, "public": isPublic,
	}
}

// restoreConfig returns the configuration of a version with some keys.
func restoreConfig(version int, keys ...string) map[string]any {
	return map[string]any{
		"version":  version,
		"routes":   []any{lookRoute(false)},
		"services": []any{map[string]any{"name": "booking", "max-conns": 110, "health-path": "/health", "protocol": "h1", "tls": false}},
		"limits":   map[string]any{"header-bytes": 16384, "body-bytes": 4194304, "header-timeout-ms": 5000, "idle-timeout-ms": 10000},
		"tenants":  []any{map[string]any{"name": "tenant-1", "api-keys": keys}},
	}
}

// sent is a request of a client.
type sent struct {
	id, key string
	entry   int
	at      time.Time
	status  int // 0 for no answer
}

// sender sends requests and keeps what became of them.
type sender struct {
	r *rig

	mu    sync.Mutex
	count int
	list  []sent
}

// send sends one request to an entry on a channel of its own and returns its status.
func (s *sender) send(entry int, key string) int {
	s.mu.Lock()
	s.count++
	q := sent{id: fmt.Sprintf("q%05d", s.count), key: key, entry: entry, at: time.Now()}
	s.mu.Unlock()
	request, err := http.NewRequest(http.MethodGet, "http://"+s.r.address(subnetFront, entry, callersOffset)+"/look/"+q.id, nil)
	if err != nil {
		return 0
	}
	request.Host = "review.example"
	request.Header.Set("Foxtailwharf-Request-Id", q.id)
	request.Header.Set("Foxtailwharf-Deadline-Ms", "1000")
	if key != "" {
		request.Header.Set("X-Api-Key", key)
	}
	client := http.Client{Timeout: 1500 * time.Millisecond, Transport: &http.Transport{DisableKeepAlives: true}}
	if response, err := client.Do(request); err == nil {
		_, _ = io.Copy(io.Discard, response.Body)
		_ = response.Body.Close()
		q.status = response.StatusCode
	}
	s.mu.Lock()
	s.list = append(s.list, q)
	s.mu.Unlock()
	s.r.log("%s sent to entry-%d with key %q: %d", q.id, entry+1, key, q.status)
	return q.status
}

// restoreFleet is the small fleet of the case: an entry in each zone, and the runners of a plain service.
type restoreFleet struct {
	r        *rig
	s        *sender
	services []*plain
	entries  []*process
}

func (f *restoreFleet) start() error {
	const entries, runners = 3, 2
	for n := range runners {
		p := newPlain(f.r, fmt.Sprintf("i-booking-%d", n+1))
		f.services = append(f.services, p)
		if err := f.r.serve(f.r.address(subnetPlain, n, appOffset), p); err != nil {
			return err
		}
		f.r.register(p, n)
	}
	f.r.store.put("config", "main", restoreConfig(3, revokedKey, keptKey))
	if err := f.r.startEntries(entries); err != nil {
		return err
	}
	f.entries = f.r.processes
	return f.expect(http.StatusOK)
}

// expect checks what the entries answer to the key that is taken away.
func (f *restoreFleet) expect(status int) error {
	for n := range f.entries {
		if got := f.s.send(n, revokedKey); got != status {
			return fmt.Errorf("entry %d answers %d, want %d", n+1, got, status)
		}
	}
	return nil
}

// runRestore takes a key away, restarts an entry, and lets the store come back meanwhile from a copy that still has the
// key. The rule is broken if a request runs whose key was taken away more than revoke-ms before it was sent.
func runRestore(r *rig) (bool, error) {
	f := &restoreFleet{r: r, s: &sender{r: r}}
	if err := f.start(); err != nil {
		return false, err
	}
	time.Sleep(2 * time.Second)
	older, copiedAt := r.store.copy(), time.Now()
	r.log("the store is copied")
	time.Sleep(500 * time.Millisecond)
	r.store.put("config", "main", restoreConfig(7, keptKey))
	revokedAt := time.Now()
	r.log("configuration 7, which takes the key away, is acknowledged")
	time.Sleep(2 * time.Second)
	if err := f.expect(http.StatusUnauthorized); err != nil {
		return false, err
	}
	r.log("entry-1 gets SIGTERM")
	f.entries[0].stop()
	time.Sleep(time.Until(revokedAt.Add(revokeBound + 500*time.Millisecond)))
	if r.hasTrouble {
		r.store.leave()
		r.log("the store is away")
	}
	time.Sleep(storeAway)
	if r.hasTrouble {
		r.store.restore(older)
		r.log("the store is back from a copy that is %.1f s old, in its next era", time.Since(copiedAt).Seconds())
	}
	if err := f.entries[0].start(); err != nil {
		return false, err
	}
	f.sendAround(time.Now())
	return r.checkRevoked(f.s, f.services, revokedAt), nil
}

// sendAround sends requests with both keys to all entries, while the operator writes the lost configuration again.
func (f *restoreFleet) sendAround(back time.Time) {
	isRewritten := !f.r.hasTrouble
	for time.Since(back) < 4*time.Second {
		if !isRewritten && time.Since(back) >= rewriteDelay {
			f.r.store.put("config", "main", restoreConfig(7, keptKey))
			f.r.log("the operator has written configuration 7 again")
			isRewritten = true
		}
		for n := range f.entries {
			f.s.send(n, revokedKey)
			f.s.send(n, keptKey)
		}
		time.Sleep(100 * time.Millisecond)
	}
}

// checkRevoked reports whether a request ran that was sent with the revoked key too late.
func (r *rig) checkRevoked(s *sender, services []*plain, revokedAt time.Time) (isBroken bool) {
	ran := make(map[string]run)
	for _, p := range services {
		for _, x := range p.taken() {
			ran[strings.TrimPrefix(x.path, "/look/")] = x
		}
	}
	kept, count := 0, 0
	for _, q := range s.list {
		x, hasRun := ran[q.id]
		if q.key == keptKey && hasRun {
			kept++
		}
		if q.key == revokedKey && hasRun && q.at.After(revokedAt.Add(revokeBound)) {
			count++
			r.log("%s, sent to entry-%d %.1f s after the key was taken away, ran at %s for %s", q.id, q.entry+1, q.at.Sub(revokedAt).Seconds(), x.runner, x.tenant)
		}
	}
	r.log("%d requests ran with the key that stays; %d ran with the key that was taken away, sent later than %s after that", kept, count, revokeBound)
	return count > 0
}
