package retrier

import (
	"sync"
	"time"

	"github.com/coltsfootscale/coltsfootscale/pkg/identifier"
)

const (
	// buckets is into how many parts the window of a Windowed budget slides.
	buckets = 10
	// safety is the part of the allowance that is used: other instances count their members a little differently,
	// and what a restarted instance spent before is forgotten.
	safety = 0.7
)

// WindowedBudget is one instance's share of a budget that all instances have in common; fields must be set before use.
//
// In any window the retries of all instances stay under Ratio times the requests plus Slack: each instance takes
// Ratio of its own requests, and an even part of the slack.
type WindowedBudget struct {
	Ratio       float64
	Slack       float64
	Window      time.Duration
	MemberCount func() int

	mu       sync.Mutex
	services map[identifier.ServiceID]*sliding
}

type sliding struct {
	requests [buckets + 1]float64
	retries  [buckets + 1]float64
	at       int64
}

// AddRequest counts a request to a service.
func (w *WindowedBudget) AddRequest(service identifier.ServiceID) {
	w.mu.Lock()
	defer w.mu.Unlock()
	s := w.slide(service, time.Now())
	s.requests[s.at%int64(len(s.requests))]++
}

// TakeRetry reports whether one more retry to a service is allowed, and spends it.
func (w *WindowedBudget) TakeRetry(service identifier.ServiceID) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	s := w.slide(service, time.Now())
	allowed := safety * (w.Ratio*sum(s.requests) + w.Slack/float64(max(1, w.MemberCount())))
	if sum(s.retries)+1 > allowed {
		return false
	}
	s.retries[s.at%int64(len(s.retries))]++
	return true
}

// slide empties the buckets that have left the window.
func (w *WindowedBudget) slide(service identifier.ServiceID, now time.Time) *sliding {
	if w.services == nil {
		w.services = map[identifier.ServiceID]*sliding{}
	}
	s := w.services[service]
	if s == nil {
		s = &sliding{}
		w.services[service] = s
	}
	at := now.UnixNano() / max(1, int64(w.Window)/buckets)
	for i := max(s.at+1, at-int64(len(s.requests))+1); i <= at; i++ {
		s.requests[i%int64(len(s.requests))] = 0
		s.retries[i%int64(len(s.retries))] = 0
	}
	s.at = max(s.at, at)
	return s
}

func sum(values [buckets + 1]float64) float64 {
	total := 0.0
	for _, v := range values {
		total += v
	}
	return total
}
