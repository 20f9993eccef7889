package meter

import (
	"cmp"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strings"

	"github.com/rcrowley/go-metrics"
)

// quantiles are the quantiles served for each histogram.
var quantiles = []float64{0.5, 0.95, 0.99}

// sample is one line of the text format.
type sample struct {
	name        string
	labels      string // formatted, in braces; empty for none
	value       string
	isHistogram bool
}

// ServeText serves all metrics as text, one line per value: name, labels, value. A histogram has a
// line for each quantile, for the number of durations and for the longest one kept. Histograms come last: they
// are long, and a reader that keeps the first kilobytes alone needs the counters.
func (m *Meter) ServeText(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "text/plain; charset=utf-8")
	if err := m.writeText(w); err != nil {
		// The client has disconnected, so the error cannot be reported to it.
		return
	}
}

func (m *Meter) writeText(w io.Writer) error {
	var samples []sample
	m.registry.Each(func(name string, metric any) {
		samples = append(samples, samplesOf(name, metric)...)
	})
	slices.SortFunc(samples, func(a, b sample) int {
		return cmp.Or(compareBools(a.isHistogram, b.isHistogram), cmp.Compare(a.name, b.name), cmp.Compare(a.labels, b.labels))
	})
	for _, s := range samples {
		if _, err := fmt.Fprintf(w, "%s%s %s\n", s.name, s.labels, s.value); err != nil {
			return err
		}
	}
	return nil
}

// compareBools orders false before true.
func compareBools(a, b bool) int {
	switch {
	case a == b:
		return 0
	case b:
		return -1
	default:
		return 1
	}
}

// samplesOf returns the lines of one metric; none for an unknown type.
func samplesOf(name string, metric any) []sample {
	switch m := metric.(type) {
	case metrics.Counter:
		base, reason, _ := strings.Cut(name, separator)
		return []sample{{name: base + "Total", labels: label("Reason", reason), value: fmt.Sprint(m.Count())}}
	case metrics.Gauge:
		return []sample{{name: name, value: fmt.Sprint(m.Value())}}
	case metrics.Histogram:
		return histogramSamples(name, m.Snapshot())
	default:
		return nil
	}
}

func histogramSamples(name string, h metrics.Histogram) (samples []sample) {
	parts := strings.SplitN(name, separator, 3)
	for len(parts) < 3 {
		parts = append(parts, "")
	}
	series := fmt.Sprintf("Account=%q,Rank=%q", parts[1], parts[2])
	for i, value := range h.Percentiles(quantiles) {
		samples = append(samples, sample{name: parts[0], labels: fmt.Sprintf("{%s,Quantile=%q}", series, fmt.Sprint(quantiles[i])), value: fmt.Sprintf("%.0f", value), isHistogram: true})
	}
	return append(samples,
		sample{name: parts[0] + "Count", labels: "{" + series + "}", value: fmt.Sprint(h.Count()), isHistogram: true},
		sample{name: parts[0] + "Max", labels: "{" + series + "}", value: fmt.Sprint(h.Max()), isHistogram: true})
}

// label formats a single label; it returns an empty string if the value is empty.
func label(name, value string) string {
	if value == "" {
		return ""
	}
	return fmt.Sprintf("{%s=%q}", name, value)
}
