// Package counter names the counters of an entry and writes them as text.
//
// Counters of refusals and retries carry the reason in their name, for example
// refusal.queue-full or retry.connection-silent.
//
// # Usage
//
//	cnt := counter.New()
//	cnt.Add(counter.Refusal, "queue-full", 1)
//	cnt.WriteTo(os.Stdout)
package counter

import (
	"fmt"
	"io"
	"sort"
	"strings"

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

// Value returns the value of a counter, 0 when it has never been counted.
func (st *Set) Value(family, reason string) int64 {
	if cnt, ok := st.reg.Get(family + "." + reason).(metrics.Counter); ok {
		return cnt.Count()
	}
	return 0
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

// Write writes one "name value" line for each counter and gauge, sorted by
// name, in the text form that Prometheus scrapes: dots and dashes become
// underscores and every name starts with oleanderwall_.
func (st *Set) Write(out io.Writer) error {
	var lines []string
	st.reg.Each(func(name string, val any) {
		switch v := val.(type) {
		case metrics.Counter:
			lines = append(lines, fmt.Sprintf("%s %d", exported(name), v.Count()))
		case metrics.Gauge:
			lines = append(lines, fmt.Sprintf("%s %d", exported(name), v.Value()))
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

func exported(name string) string {
	return "oleanderwall_" + strings.NewReplacer(".", "_", "-", "_").Replace(name)
}

// Family returns the sum of all counters of a family.
func (st *Set) Family(family string) int64 {
	sum := int64(0)
	st.reg.Each(func(name string, val any) {
		if cnt, ok := val.(metrics.Counter); ok && strings.HasPrefix(name, family+".") {
			sum += cnt.Count()
		}
	})
	return sum
}
