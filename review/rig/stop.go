package main

import (
	"bufio"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"time"
)

// Times of the case "stop", from the SIGTERM.
const (
	stopClients  = 8
	leadTime     = 500 * time.Millisecond  // from the first requests until the SIGTERM
	firstEnd     = 3100 * time.Millisecond // of the shortest of the first streams
	firstEndStep = 50 * time.Millisecond
	secondLength = 4300 * time.Millisecond
	excusedUntil = 3 * time.Second // a request that was sent later has to be answered
	graceTime    = 8 * time.Second // grace-s
	streamPause  = 100 * time.Millisecond
)

// stopClient sends two requests for streams on one channel, the second one as soon as it has the whole first answer.
type stopClient struct {
	r      *rig
	number int
	client *http.Client

	first, second exchanged
}

// exchanged is what became of a request.
type exchanged struct {
	id       string
	sentAt   time.Time
	endedAt  time.Time
	status   int
	isWhole  bool
	isClosed bool // the answer says that the channel closes after it
	err      error
}

func (c *stopClient) run() {
	length := leadTime + firstEnd + time.Duration(c.number)*firstEndStep
	c.first = c.ask(fmt.Sprintf("first%d", c.number), length)
	if c.first.isWhole && !c.first.isClosed {
		c.second = c.ask(fmt.Sprintf("second%d", c.number), secondLength)
	}
}

// ask sends a request for a stream of a length and reads the answer.
func (c *stopClient) ask(id string, length time.Duration) (x exchanged) {
	x.id = id
	path := fmt.Sprintf("/chat/%s/%d", id, length.Milliseconds())
	request, err := http.NewRequest(http.MethodPost, "http://"+c.r.address(subnetFront, 0, callersOffset)+path, strings.NewReader("hello"))
	if err != nil {
		x.err = err
		return x
	}
	request.Host = "review.example"
	request.Header.Set("Foxtailwharf-Request-Id", id)
	request.Header.Set("Foxtailwharf-Deadline-Ms", "6000")
	request.Header.Set("Foxtailwharf-Model", model)
	request.Header.Set("Foxtailwharf-Token-Usage", "600,80")
	x.sentAt = time.Now()
	response, err := c.client.Do(request)
	if err != nil {
		x.err, x.endedAt = err, time.Now()
		return x
	}
	defer func() { _ = response.Body.Close() }()
	x.status, x.isClosed = response.StatusCode, response.Close
	body, err := io.ReadAll(bufio.NewReader(response.Body))
	x.endedAt, x.err = time.Now(), err
	x.isWhole = err == nil && strings.Contains(string(body), id+" last")
	return x
}

func (x exchanged) log(r *rig, stoppedAt time.Time) {
	r.log("%s sent %.3f s after the SIGTERM, ended %.3f s after it: status %d, whole: %t, says close: %t, error: %v",
		x.id, x.sentAt.Sub(stoppedAt).Seconds(), x.endedAt.Sub(stoppedAt).Seconds(), x.status, x.isWhole, x.isClosed, x.err)
}

// runStop stops an entry while clients have streams on kept channels, and use the channels again. The rule is broken if a
// request that was sent later than 3 s after the SIGTERM and passed on to a runner has no complete answer.
func runStop(r *rig) (bool, error) {
	fronts, _, engines, err := r.startModelFleet(&origin{}, 2, 3)
	if err != nil {
		return false, err
	}
	time.Sleep(3 * time.Second)
	var clients []*stopClient
	var group sync.WaitGroup
	for number := range stopClients {
		c := &stopClient{r: r, number: number, client: &http.Client{Transport: &http.Transport{MaxConnsPerHost: 1}}}
		clients = append(clients, c)
		group.Go(c.run)
	}
	time.Sleep(leadTime)
	stoppedAt := time.Now()
	if r.hasTrouble {
		r.log("entry-1 gets SIGTERM")
		group.Go(fronts[0].stop)
	}
	group.Wait()
	ran := make(map[string]bool)
	for _, e := range engines {
		for id := range e.ran() {
			ran[id] = true
		}
	}
	broken := 0
	for _, c := range clients {
		c.first.log(r, stoppedAt)
		x := c.second
		if x.id == "" {
			r.log("second%d was not sent, since the channel was to close", c.number)
			continue
		}
		x.log(r, stoppedAt)
		isLate := x.sentAt.Sub(stoppedAt) > excusedUntil
		hasAnswer := x.err == nil && (x.isWhole || x.status != http.StatusOK)
		isInTime := x.endedAt.Sub(stoppedAt) <= graceTime+time.Second
		if isLate && isInTime && ran[x.id] && !hasAnswer {
			broken++
		}
	}
	r.log("%d requests that were sent over 3 s after the SIGTERM, and that a runner ran, have no complete answer", broken)
	return broken > 0, nil
}
