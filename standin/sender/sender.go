// Package sender is an open-loop load generator: it sends requests at scheduled times, whether
// earlier ones have been answered or not, so that a stall shows in every request that it delays.
// Latencies are measured from the scheduled time.
package sender

import (
	"context"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/goccy/go-yaml"
	"github.com/pkg/errors"
)

// Limits of a run.
const (
	maxRate           = 10_000 // requests per second of one flow
	maxDuration       = time.Hour
	maxInFlight       = 20_000
	maxLatency        = 10 * time.Minute
	significantDigits = 3
	minRecordedMicros = 1
)

// Profile describes the load of a run.
type Profile struct {
	Duration time.Duration `yaml:"Duration"`
	Flows    []Flow        `yaml:"Flows"`
}

// Flow is a stream of equal requests.
type Flow struct {
	Name   string  `yaml:"Name"`
	Rank   string  `yaml:"Rank"`   // only copied to the Row
	Member string  `yaml:"Member"` // only copied to the Row
	Key    string  `yaml:"Key"`    // API key, sent as bearer token
	Path   string  `yaml:"Path"`
	Body   string  `yaml:"Body"`
	Rate   float64 `yaml:"Rate"` // mean requests per second
}

// ParseProfile parses and validates a profile in YAML. It rejects unknown fields.
func ParseProfile(text []byte) (p Profile, err error) {
	if err = yaml.UnmarshalWithOptions(text, &p, yaml.Strict()); err != nil {
		return p, errors.Wrap(err, "ParseProfile")
	}
	if p.Duration <= 0 || p.Duration > maxDuration || len(p.Flows) == 0 {
		return p, errors.Errorf("ParseProfile: Duration must be above 0 and up to %s, and Flows must not be empty", maxDuration)
	}
	for _, f := range p.Flows {
		if f.Name == "" || !strings.HasPrefix(f.Path, "/") || f.Rate <= 0 || f.Rate > maxRate {
			return p, errors.Errorf("ParseProfile: flow %q needs a Name, a Path that starts with / and a Rate up to %d", f.Name, maxRate)
		}
	}
	return p, nil
}

// Row holds the results of one flow. Whole counts responses with a 2xx status that were read to
// their end; only these count in the latencies. Refused counts those of another status, Broken the
// requests and responses that failed on the way.
type Row struct {
	Name        string
	Rank        string
	Member      string
	Sent        int64
	Whole       int64
	Refused     int64
	Broken      int64
	Dropped     int64 // not sent, because too many requests were in flight
	FirstMicros Times
	WholeMicros Times
}

// Times are percentiles of a latency, in microseconds.
type Times struct {
	P50 int64
	P95 int64
	P99 int64
	Max int64
}

// Config holds the settings of a Sender.
type Config struct {
	Base    string // URL of an entry, without a path
	Profile Profile
	Seed    uint64
}

// Sender sends the load of one profile.
type Sender struct {
	c        Config
	client   *http.Client
	inFlight chan struct{}
}

// New returns a sender. It opens no connection before Run.
func New(c Config) *Sender {
	transport := &http.Transport{MaxIdleConnsPerHost: maxInFlight}
	return &Sender{c: c, client: &http.Client{Transport: transport}, inFlight: make(chan struct{}, maxInFlight)}
}

// flowRunner sends the requests of one flow and collects their results.
type flowRunner struct {
	s        *Sender
	flow     Flow
	mu       sync.Mutex
	row      Row
	first    *hdrhistogram.Histogram // to the first byte
	whole    *hdrhistogram.Histogram // to the last byte
	requests sync.WaitGroup
	done     chan struct{}
}

// Run sends requests until the profile's duration is over or ctx is done, waits for the last
// responses and returns a row for each flow, in the order of the profile.
func (s *Sender) Run(ctx context.Context) (rows []Row) {
	runners := make([]*flowRunner, 0, len(s.c.Profile.Flows))
	for _, f := range s.c.Profile.Flows {
		fr := &flowRunner{
			s:     s,
			flow:  f,
			row:   Row{Name: f.Name, Rank: f.Rank, Member: f.Member},
			first: hdrhistogram.New(minRecordedMicros, maxLatency.Microseconds(), significantDigits),
			whole: hdrhistogram.New(minRecordedMicros, maxLatency.Microseconds(), significantDigits),
			done:  make(chan struct{}),
		}
		runners = append(runners, fr)
		go fr.run(ctx)
	}
	for _, fr := range runners {
		<-fr.done
		fr.requests.Wait()
		fr.row.FirstMicros, fr.row.WholeMicros = percentiles(fr.first), percentiles(fr.whole)
		rows = append(rows, fr.row)
	}
	s.client.CloseIdleConnections()
	return rows
}

func percentiles(h *hdrhistogram.Histogram) Times {
	return Times{P50: h.ValueAtQuantile(50), P95: h.ValueAtQuantile(95), P99: h.ValueAtQuantile(99), Max: h.Max()}
}

// run sends a flow's requests as a Poisson process of its rate.
func (fr *flowRunner) run(ctx context.Context) {
	defer close(fr.done)
	random := rand.New(rand.NewPCG(fr.s.c.Seed, uint64(len(fr.flow.Name))))
	scheduled := time.Now()
	for end := scheduled.Add(fr.s.c.Profile.Duration); scheduled.Before(end) && ctx.Err() == nil; {
		time.Sleep(time.Until(scheduled))
		select {
		case fr.s.inFlight <- struct{}{}:
			r := &request{fr: fr, scheduled: scheduled}
			fr.requests.Add(1)
			go r.run(ctx)
		default:
			fr.mu.Lock()
			fr.row.Dropped++
			fr.mu.Unlock()
		}
		scheduled = scheduled.Add(time.Duration(random.ExpFloat64() / fr.flow.Rate * float64(time.Second)))
	}
}

// request is one request in flight.
type request struct {
	fr        *flowRunner
	scheduled time.Time
}

func (r *request) run(ctx context.Context) {
	defer r.fr.requests.Done()
	defer func() { <-r.fr.s.inFlight }()
	status, first, err := r.send(ctx)
	whole := time.Since(r.scheduled)
	r.fr.mu.Lock()
	defer r.fr.mu.Unlock()
	r.fr.row.Sent++
	switch {
	case err != nil:
		r.fr.row.Broken++
	case status/100 != 2:
		r.fr.row.Refused++
	default:
		r.fr.row.Whole++
		// Latencies above maxLatency are recorded as maxLatency.
		_ = r.fr.first.RecordValue(min(first, maxLatency).Microseconds())
		_ = r.fr.whole.RecordValue(min(whole, maxLatency).Microseconds())
	}
}

// send sends the request and reads the response to its end.
func (r *request) send(ctx context.Context) (status int, first time.Duration, err error) {
	f := r.fr.flow
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, r.fr.s.c.Base+f.Path, strings.NewReader(f.Body))
	if err != nil {
		return 0, 0, errors.Wrap(err, "request.send")
	}
	request.Header.Set("Authorization", "Bearer "+f.Key)
	response, err := r.fr.s.client.Do(request)
	if err != nil {
		return 0, 0, errors.Wrap(err, "request.send")
	}
	defer func() { _ = response.Body.Close() }()
	buffer := make([]byte, 1)
	_, err = response.Body.Read(buffer)
	first = time.Since(r.scheduled)
	if err == nil {
		_, err = io.Copy(io.Discard, response.Body)
	}
	if errors.Is(err, io.EOF) {
		err = nil
	}
	return response.StatusCode, first, err
}
