// Package recorder keeps a process's metrics: histograms of times for each client
// account and rank, bounded in number, and counters.
package recorder

import (
	"net/http"
	"sync"
	"time"

	"github.com/rcrowley/go-metrics"
)

// Constants of the histograms.
const (
	// maxAccounts bounds the accounts with histograms of their own; the others share one.
	maxAccounts   = 200
	sharedAccount = "Others"
	reservoir     = 512
	decay         = 0.015
)

// Measure names what a histogram counts, in microseconds.
type Measure string

// The measures.
const (
	MeasureQueue    Measure = "QueueMicros"
	MeasureFirst    Measure = "FirstTokenMicros"
	MeasureBetween  Measure = "BetweenTokensMicros"
	MeasureWhole    Measure = "WholeMicros"
	CounterRefused          = "Refused."
	CounterRetried          = "Retried"
	CounterResumed          = "Resumed"
	CounterCrossed          = "CrossedAnswers"
	CounterBroken           = "BrokenAnswers"
	CounterAnswered         = "Answered"
)

// separator stands between the parts of a series' name.
const separator = "."

// Recorder holds the metrics of one process.
type Recorder struct {
	registry metrics.Registry

	mu       sync.Mutex
	accounts map[string]bool
}

// New returns a recorder without any series.
func New() *Recorder {
	return &Recorder{registry: metrics.NewRegistry(), accounts: make(map[string]bool)}
}

// Time notes a duration for a client account and rank.
func (r *Recorder) Time(m Measure, account, rank string, elapsed time.Duration) {
	name := string(m) + separator + r.account(account) + separator + rank
	make := func() metrics.Histogram { return metrics.NewHistogram(metrics.NewExpDecaySample(reservoir, decay)) }
	histogram, isHistogram := r.registry.GetOrRegister(name, make).(metrics.Histogram)
	if isHistogram {
		histogram.Update(elapsed.Microseconds())
	}
}

// account bounds the number of series.
func (r *Recorder) account(name string) string {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.accounts[name] {
		return name
	}
	if len(r.accounts) >= maxAccounts {
		return sharedAccount
	}
	r.accounts[name] = true
	return name
}

// Count adds one to a counter.
func (r *Recorder) Count(name string) {
	r.Add(name, 1)
}

// Add adds to a counter.
func (r *Recorder) Add(name string, delta int64) {
	metrics.GetOrRegisterCounter(name, r.registry).Inc(delta)
}

// Counter returns the value of a counter.
func (r *Recorder) Counter(name string) int64 {
	return metrics.GetOrRegisterCounter(name, r.registry).Count()
}

// Gauge makes a value that is read when the metrics are.
func (r *Recorder) Gauge(name string, value func() int64) {
	// The name is registered once, by the owner of the recorder.
	_ = r.registry.Register(name, metrics.NewFunctionalGauge(value))
}

// ServeHTTP answers with all metrics as JSON.
func (r *Recorder) ServeHTTP(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "application/json")
	metrics.WriteJSONOnce(r.registry, w)
}
