// Package meter holds the metrics of a process: counters, gauges, and histograms of durations
// by client account and rank, of which the number is bounded.
package meter

import (
	"net/http"
	"sync"
	"time"

	"github.com/rcrowley/go-metrics"
)

const (
	// maxAccounts is the number of accounts with histograms of their own; all others share those
	// of sharedAccount.
	maxAccounts   = 200
	sharedAccount = "Others"
	reservoir     = 512   // durations kept for each histogram
	decay         = 0.015 // rate per second at which older durations lose weight
)

// Measure is the name of a histogram of durations in microseconds.
type Measure string

// Names of the histograms and counters. The reason of a refusal is appended to CounterRefused,
// the limit for which a caller's connection was closed to CounterCallersClosed, and the cause for which
// a request that was read whole has no whole answer to CounterUnanswered.
const (
	MeasureQueue             Measure = "QueueMicros"
	MeasureFirstToken        Measure = "FirstTokenMicros"
	MeasureBetweenTokens     Measure = "BetweenTokensMicros"
	MeasureTotal             Measure = "WholeMicros"
	CounterRefused                   = "Refused."
	CounterRetried                   = "Retried"
	CounterResumed                   = "Resumed"
	CounterMismatchedAnswers         = "CrossedAnswers"
	CounterBrokenAnswers             = "BrokenAnswers"
	CounterAnswered                  = "Answered"
	CounterCallersClosed             = "CallersClosed."
	CounterUnanswered                = "Unanswered."
	CounterWarnings                  = "Warnings"
)

// separator separates the parts of a metric's name in the registry.
const separator = "."

// Meter holds the metrics of one process. It is safe for concurrent use, and serves the metrics
// as JSON.
type Meter struct {
	registry metrics.Registry

	mu       sync.Mutex
	accounts map[string]bool
}

// New returns a meter without metrics.
func New() *Meter {
	return &Meter{registry: metrics.NewRegistry(), accounts: make(map[string]bool)}
}

// RecordDuration adds a duration to the histogram of a client account and rank.
func (m *Meter) RecordDuration(measure Measure, account, rank string, elapsed time.Duration) {
	name := string(measure) + separator + m.account(account) + separator + rank
	make := func() metrics.Histogram { return metrics.NewHistogram(metrics.NewExpDecaySample(reservoir, decay)) }
	histogram, isHistogram := m.registry.GetOrRegister(name, make).(metrics.Histogram)
	if isHistogram {
		histogram.Update(elapsed.Microseconds())
	}
}

// account returns the account's name, or sharedAccount once maxAccounts others have
// histograms.
func (m *Meter) account(name string) string {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.accounts[name] {
		return name
	}
	if len(m.accounts) >= maxAccounts {
		return sharedAccount
	}
	m.accounts[name] = true
	return name
}

// Increment increments a counter by one, creating it if necessary.
func (m *Meter) Increment(name string) {
	m.Add(name, 1)
}

// Add increments a counter by delta, creating it if necessary.
func (m *Meter) Add(name string, delta int64) {
	metrics.GetOrRegisterCounter(name, m.registry).Inc(delta)
}

// Counter returns the value of a counter; 0 if it was never incremented.
func (m *Meter) Counter(name string) int64 {
	return metrics.GetOrRegisterCounter(name, m.registry).Count()
}

// Gauge registers a metric whose value is read whenever the metrics are.
func (m *Meter) Gauge(name string, value func() int64) {
	// Registering fails only for a duplicate name, and the owner of the meter uses each name
	// once.
	_ = m.registry.Register(name, metrics.NewFunctionalGauge(value))
}

// ServeHTTP serves all metrics as JSON.
func (m *Meter) ServeHTTP(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "application/json")
	metrics.WriteJSONOnce(m.registry, w)
}
