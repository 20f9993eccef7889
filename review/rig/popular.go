package main

import (
	"fmt"
	"io"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"
)

// Load and times of the case "popular".
const (
	popularClients = 10          // of tenant-2, 28 in 100 of all, which ask for one thing
	otherClients   = 26          // of tenant-1, each request for another thing
	firstLength    = time.Second // with a pause between two requests of a client
	busyLength     = time.Second // without one; the runners crash in its middle
	downLength     = 4500 * time.Millisecond
	calmLength     = 80 * time.Second
	calmPause      = 250 * time.Millisecond
	maxRetryAfter  = 800 * time.Millisecond // a third of the time that clients have
)

// crashable is a runner of the plain service that can crash.
type crashable struct {
	r      *rig
	n      int
	p      *plain
	server *http.Server
}

// start starts the runner under an ID.
func (c *crashable) start(id string) (err error) {
	c.p = newPlain(c.r, id)
	c.p.isQuiet = true
	if c.server, err = c.r.serveAs(c.r.address(subnetPlain, c.n, appOffset), c.p); err != nil {
		return err
	}
	c.r.register(c.p, c.n)
	c.r.log("%s is up", id)
	return nil
}

// crash closes all connections and the listener.
func (c *crashable) crash() {
	_ = c.server.Close()
	c.r.log("%s has crashed", c.p.id)
}

// tally counts the answers to one tenant.
type tally struct {
	mu     sync.Mutex
	sent   int
	served int
	second map[int]map[int]int // answers of each second, by status
	reason map[string]bool     // refusals that were logged
}

func (t *tally) add(r *rig, name string, status int, body string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.sent++
	if status == http.StatusOK {
		t.served++
	}
	second := int(time.Since(r.begun).Seconds())
	if t.second[second] == nil {
		t.second[second] = make(map[int]int)
	}
	t.second[second][status]++
	if status != http.StatusOK && !t.reason[body] {
		t.reason[body] = true
		r.log("%s: first answer of this kind: %d %s", name, status, body)
	}
}

// log writes the counts of each second.
func (t *tally) log(r *rig, name string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	var seconds []int
	for second := range t.second {
		seconds = append(seconds, second)
	}
	slices.Sort(seconds)
	for _, second := range seconds {
		r.log("%s, second %d: answers by status %v", name, second, t.second[second])
	}
	r.log("%s: %d of %d requests served", name, t.served, t.sent)
}

// asker is a client that sends one request after the other.
type asker struct {
	r         *rig
	t         *tally
	number    int
	name, key string
	isPopular bool
	busyFrom  time.Time
	busyUntil time.Time
	until     time.Time
}

func (a *asker) run() {
	client := http.Client{Timeout: 3 * time.Second, Transport: &http.Transport{}}
	for k := 0; time.Now().Before(a.until); k++ {
		path := fmt.Sprintf("/look/%d-%d", a.number, k)
		if a.isPopular {
			path = "/look/popular"
		}
		request, err := http.NewRequest(http.MethodGet, "http://"+a.r.address(subnetFront, a.number%3, callersOffset)+path, nil)
		if err != nil {
			return
		}
		request.Host = "review.example"
		request.Header.Set("Foxtailwharf-Request-Id", fmt.Sprintf("p%d-%d", a.number, k))
		request.Header.Set("Foxtailwharf-Deadline-Ms", "2500")
		request.Header.Set("X-Api-Key", a.key)
		status, body, wait := 0, "", calmPause
		if response, err := client.Do(request); err == nil {
			data, _ := io.ReadAll(response.Body)
			_ = response.Body.Close()
			status = response.StatusCode
			if status != http.StatusOK {
				body = string(data)
			}
			seconds, _ := strconv.ParseFloat(response.Header.Get("Retry-After"), 64)
			wait = max(wait, min(time.Duration(seconds*float64(time.Second)), maxRetryAfter))
		}
		a.t.add(a.r, a.name, status, body)
		now := time.Now()
		isBusy := now.After(a.busyFrom) && now.Before(a.busyUntil)
		if status != http.StatusOK || !isBusy {
			time.Sleep(wait)
		}
	}
}

// runPopular lets all runners of a service crash at once while one tenant's clients all ask for the same thing. The rule is
// broken if this tenant's requests are served less than a quarter as often as all.
func runPopular(r *rig) (bool, error) {
	const runners, entries = 3, 3
	var list []*crashable
	for n := range runners {
		c := &crashable{r: r, n: n}
		list = append(list, c)
		if err := c.start(fmt.Sprintf("i-booking-%d", n+1)); err != nil {
			return false, err
		}
	}
	config := restoreConfig(3)
	config["tenants"] = []any{
		map[string]any{"name": "tenant-1", "api-keys": []string{"key-1"}}, map[string]any{"name": "tenant-2", "api-keys": []string{"key-2"}},
	}
	r.store.put("config", "main", config)
	if err := r.startEntries(entries); err != nil {
		return false, err
	}
	busyFrom := time.Now().Add(firstLength)
	busyUntil := busyFrom.Add(busyLength)
	until := busyUntil.Add(downLength + calmLength)
	others, popular := newTally(), newTally()
	var clients sync.WaitGroup
	for number := range popularClients + otherClients {
		a := &asker{r: r, t: others, number: number, name: "tenant-1", key: "key-1", busyFrom: busyFrom, busyUntil: busyUntil, until: until}
		if number < popularClients {
			a.t, a.name, a.key, a.isPopular = popular, "tenant-2", "key-2", true
		}
		clients.Go(a.run)
	}
	time.Sleep(time.Until(busyFrom.Add(busyLength / 2)))
	if r.hasTrouble {
		if err := crashAll(r, list); err != nil {
			return false, err
		}
	}
	clients.Wait()
	others.log(r, "tenant-1")
	popular.log(r, "tenant-2")
	share := float64(popular.served) / float64(popular.sent)
	all := float64(popular.served+others.served) / float64(popular.sent+others.sent)
	r.log("tenant-2 is served %.3f, all are served %.3f", share, all)
	return share < all/4, nil
}

func newTally() *tally {
	return &tally{second: make(map[int]map[int]int), reason: make(map[string]bool)}
}

// crashAll lets all runners crash at once and start again under new IDs.
func crashAll(r *rig, list []*crashable) error {
	var crashes sync.WaitGroup
	for _, c := range list {
		crashes.Go(c.crash)
	}
	crashes.Wait()
	time.Sleep(downLength)
	for n, c := range list {
		r.store.remove("servers", c.p.id)
		if err := c.start(fmt.Sprintf("i-booking-%d-again", n+1)); err != nil {
			return err
		}
	}
	return nil
}
