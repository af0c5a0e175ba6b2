package exporter

import (
	"encoding/json"
	"maps"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/uber-go/tally/v4"
)

const (
	// maximumMicroseconds is the longest duration that a timer records; longer ones are recorded as this.
	maximumMicroseconds = int64(time.Hour / time.Microsecond)
	significantFigures  = 2
)

// Exporter is a tally.StatsReporter that keeps the latest values; the zero value is empty and ready to use.
type Exporter struct {
	mu       sync.Mutex
	counters map[string]int64
	gauges   map[string]float64
	timers   map[string]*hdrhistogram.Histogram
}

// Timer summarizes a timer, in milliseconds.
type Timer struct {
	Count int64
	P50   float64
	P95   float64
	Max   float64
}

// Values is a snapshot of all metrics.
type Values struct {
	Counters map[string]int64
	Gauges   map[string]float64
	Timers   map[string]Timer
}

// Values returns a snapshot of all metrics.
func (e *Exporter) Values() Values {
	e.mu.Lock()
	defer e.mu.Unlock()
	v := Values{Counters: maps.Clone(e.counters), Gauges: maps.Clone(e.gauges), Timers: map[string]Timer{}}
	for name, h := range e.timers {
		v.Timers[name] = Timer{
			Count: h.TotalCount(),
			P50:   milliseconds(h.ValueAtQuantile(50)),
			P95:   milliseconds(h.ValueAtQuantile(95)),
			Max:   milliseconds(h.Max()),
		}
	}
	return v
}

// ServeHTTP responds with all metrics as JSON.
func (e *Exporter) ServeHTTP(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "application/json")
	json.NewEncoder(w).Encode(e.Values())
}

// ReportCounter adds to a counter.
func (e *Exporter) ReportCounter(name string, tags map[string]string, value int64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.counters == nil {
		e.counters = map[string]int64{}
	}
	e.counters[metricKey(name, tags)] += value
}

// ReportGauge sets a gauge.
func (e *Exporter) ReportGauge(name string, tags map[string]string, value float64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.gauges == nil {
		e.gauges = map[string]float64{}
	}
	e.gauges[metricKey(name, tags)] = value
}

// ReportTimer records one duration.
func (e *Exporter) ReportTimer(name string, tags map[string]string, interval time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.timers == nil {
		e.timers = map[string]*hdrhistogram.Histogram{}
	}
	key := metricKey(name, tags)
	if e.timers[key] == nil {
		e.timers[key] = hdrhistogram.New(1, maximumMicroseconds, significantFigures)
	}
	e.timers[key].RecordValue(min(maximumMicroseconds, interval.Microseconds()))
}

// ReportHistogramValueSamples ignores histograms, which the system does not use.
func (e *Exporter) ReportHistogramValueSamples(string, map[string]string, tally.Buckets, float64, float64, int64) {
}

// ReportHistogramDurationSamples ignores histograms, which the system does not use.
func (e *Exporter) ReportHistogramDurationSamples(string, map[string]string, tally.Buckets, time.Duration, time.Duration, int64) {
}

// Capabilities reports that the exporter supports tags.
func (e *Exporter) Capabilities() tally.Capabilities { return e }

// Reporting returns true.
func (e *Exporter) Reporting() bool { return true }

// Tagging returns true.
func (e *Exporter) Tagging() bool { return true }

// Flush does nothing, because values are stored immediately.
func (e *Exporter) Flush() {}

// metricKey returns the name of a metric followed by its tags in sorted order.
func metricKey(name string, tags map[string]string) string {
	if len(tags) == 0 {
		return name
	}
	var b strings.Builder
	b.WriteString(name)
	for _, k := range slices.Sorted(maps.Keys(tags)) {
		b.WriteString("," + k + "=" + tags[k])
	}
	return b.String()
}

func milliseconds(microseconds int64) float64 { return float64(microseconds) / 1000 }
