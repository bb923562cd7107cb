// Package counter holds the metrics of an entry and writes them as text.
//
// Counters of refusals and retries carry the reason in their name, for example
// refusal.queue-full or retry.connection-silent.
//
// # Usage
//
//	cnt := counter.New()
//	cnt.Add(counter.Refusal, "queue-full", 1)
//	err := cnt.Write(os.Stdout)
package counter

import (
	"fmt"
	"io"
	"sort"
	"strings"
	"time"

	"github.com/rcrowley/go-metrics"
)

// The families of counters.
const (
	Refusal   = "refusal"
	Retry     = "retry"
	Request   = "request"
	Job       = "job"
	Table     = "table"
	Peer      = "peer"
	Operation = "operation"
)

// Set is a registry of counters, gauges and histograms.
type Set struct {
	reg metrics.Registry
}

// New returns an empty set.
func New() *Set {
	return &Set{reg: metrics.NewRegistry()}
}

// Add adds n to the counter of the reason in the family.
func (st *Set) Add(family, reason string, n int64) {
	metrics.GetOrRegisterCounter(family+"."+reason, st.reg).Inc(n)
}

// Value returns the value of a counter, 0 for an unknown one.
func (st *Set) Value(family, reason string) int64 {
	if cnt, ok := st.reg.Get(family + "." + reason).(metrics.Counter); ok {
		return cnt.Count()
	}
	return 0
}

// histogramSamples and histogramDecay are the usual settings of an
// exponentially decaying sample: about five minutes of values.
const (
	histogramSamples = 1028
	histogramDecay   = 0.015
	// latencyPrefix separates histograms from counters of the same name.
	latencyPrefix = "latency."
)

// Observe adds a latency to the histogram of the name.
func (st *Set) Observe(name string, took time.Duration) {
	hi := st.reg.GetOrRegister(latencyPrefix+name, func() metrics.Histogram {
		return metrics.NewHistogram(metrics.NewExpDecaySample(histogramSamples, histogramDecay))
	})
	if hist, ok := hi.(metrics.Histogram); ok {
		hist.Update(took.Microseconds())
	}
}

// quantiles are the exported quantiles of a histogram.
var quantiles = []float64{0.5, 0.9, 0.99}

func histogramLines(name string, hist metrics.Histogram) []string {
	snap := hist.Snapshot()
	lines := []string{fmt.Sprintf("%s_count %d", prometheusName(name), snap.Count())}
	for num, val := range snap.Percentiles(quantiles) {
		lines = append(lines, fmt.Sprintf("%s_microseconds{quantile=\"%g\"} %.0f", prometheusName(name), quantiles[num], val))
	}
	return lines
}

// Gauge sets the gauge of the name.
func (st *Set) Gauge(name string, val int64) {
	metrics.GetOrRegisterGauge(name, st.reg).Update(val)
}

// GaugeValue returns the value of a gauge, 0 when it has never been set.
func (st *Set) GaugeValue(name string) int64 {
	if ga, ok := st.reg.Get(name).(metrics.Gauge); ok {
		return ga.Value()
	}
	return 0
}

// Write writes one "name value" line for each counter, gauge and quantile of a
// histogram, sorted by name, in the text format of Prometheus: dots and dashes
// become underscores, and every name starts with oleanderwall_.
func (st *Set) Write(out io.Writer) error {
	var lines []string
	st.reg.Each(func(name string, val any) {
		switch v := val.(type) {
		case metrics.Counter:
			lines = append(lines, fmt.Sprintf("%s %d", prometheusName(name), v.Count()))
		case metrics.Gauge:
			lines = append(lines, fmt.Sprintf("%s %d", prometheusName(name), v.Value()))
		case metrics.Histogram:
			lines = append(lines, histogramLines(name, v)...)
		}
	})
	sort.Strings(lines)
	for _, line := range lines {
		if _, err := fmt.Fprintln(out, line); err != nil {
			return err
		}
	}
	return nil
}

func prometheusName(name string) string {
	return "oleanderwall_" + strings.NewReplacer(".", "_", "-", "_").Replace(name)
}

// Sum returns the sum of all counters of a family.
func (st *Set) Sum(family string) int64 {
	sum := int64(0)
	st.reg.Each(func(name string, val any) {
		if cnt, ok := val.(metrics.Counter); ok && strings.HasPrefix(name, family+".") {
			sum += cnt.Count()
		}
	})
	return sum
}
