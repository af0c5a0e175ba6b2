package generator

import (
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	highestMicroseconds = int64(time.Hour / time.Microsecond)
	significantFigures  = 3
)

// Result holds the measurements of a run.
type Result struct {
	Elapsed  time.Duration
	Finished int64
	Tokens   int64
	Failures map[string]int64

	mu sync.Mutex
	// first and between hold latencies in microseconds.
	first   *hdrhistogram.Histogram
	between *hdrhistogram.Histogram
}

// Latency summarizes a latency distribution in milliseconds.
type Latency struct {
	P50 float64
	P95 float64
	Max float64
}

func newResult() *Result {
	return &Result{
		Failures: map[string]int64{},
		first:    hdrhistogram.New(1, highestMicroseconds, significantFigures),
		between:  hdrhistogram.New(1, highestMicroseconds, significantFigures),
	}
}

func (r *Result) recordToken(first bool, d time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	h := r.between
	if first {
		h = r.first
	}
	h.RecordValue(min(highestMicroseconds, d.Microseconds()))
}

func (r *Result) finish(tokens int64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.Finished++
	r.Tokens += tokens
}

func (r *Result) fail(code string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.Failures[code]++
}

func (r *Result) summary() string {
	r.mu.Lock()
	defer r.mu.Unlock()
	failed := int64(0)
	for _, n := range r.Failures {
		failed += n
	}
	return fmt.Sprintf("%d finished, %d failed", r.Finished, failed)
}

// FirstToken summarizes the time from a request to its first token.
func (r *Result) FirstToken() Latency { return r.latency(r.first) }

// BetweenTokens summarizes the time between two consecutive tokens of a response.
func (r *Result) BetweenTokens() Latency { return r.latency(r.between) }

func (r *Result) latency(h *hdrhistogram.Histogram) Latency {
	r.mu.Lock()
	defer r.mu.Unlock()
	milliseconds := func(q float64) float64 { return float64(h.ValueAtQuantile(q)) / 1000 }
	return Latency{P50: milliseconds(50), P95: milliseconds(95), Max: milliseconds(100)}
}

// WriteTable prints the result as a table for people.
func (r *Result) WriteTable(w io.Writer) {
	fmt.Fprintf(w, "%-24s %10s %10s %10s\n", "milliseconds", "P50", "P95", "Max")
	for _, row := range []struct {
		name string
		l    Latency
	}{{"first token", r.FirstToken()}, {"between tokens", r.BetweenTokens()}} {
		fmt.Fprintf(w, "%-24s %10.2f %10.2f %10.2f\n", row.name, row.l.P50, row.l.P95, row.l.Max)
	}
	seconds := r.Elapsed.Seconds()
	fmt.Fprintf(w, "%d finished in %.1f s: %.1f requests/s, %.1f tokens/s\n", r.Finished, seconds, float64(r.Finished)/seconds, float64(r.Tokens)/seconds)
	for _, code := range slices.Sorted(maps.Keys(r.Failures)) {
		fmt.Fprintf(w, "%d failed: %s\n", r.Failures[code], code)
	}
}

// WriteJSON prints the result as one line of JSON.
func (r *Result) WriteJSON(w io.Writer) error {
	return json.NewEncoder(w).Encode(struct {
		TookMilliseconds          int64
		Finished, Tokens          int64
		Failures                  map[string]int64
		FirstToken, BetweenTokens Latency
	}{r.Elapsed.Milliseconds(), r.Finished, r.Tokens, r.Failures, r.FirstToken(), r.BetweenTokens()})
}
