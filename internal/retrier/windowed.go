package retrier

import (
	"sync"
	"time"

	"github.com/coltsfootscale/coltsfootscale/pkg/identifier"
)

const (
	// bucketCount is the number of buckets in the sliding window of a WindowedBudget.
	bucketCount = 10
	// safetyFactor is the fraction of the allowance that is used: instances may count their members differently, and a
	// restarted instance forgets the retries that it made before.
	safetyFactor = 0.7
)

// WindowedBudget is one instance's share of a retry budget that all instances have in common; its exported fields must
// be set before use.
//
// In any window the retries of all instances stay under Share times the requests plus Slack: each instance may use
// Share times its own requests plus an equal share of Slack.
type WindowedBudget struct {
	Share  float64
	Slack  float64
	Window time.Duration
	// MemberCount returns the number of instances that may be running, or zero if it is not known.
	MemberCount func() int

	mu       sync.Mutex
	services map[identifier.ServiceID]*slidingWindow
}

// slidingWindow counts in bucketCount complete buckets and the current one.
type slidingWindow struct {
	requests [bucketCount + 1]float64
	retries  [bucketCount + 1]float64
	current  int64
}

// AddRequest counts a request to a service.
func (w *WindowedBudget) AddRequest(service identifier.ServiceID) {
	w.mu.Lock()
	defer w.mu.Unlock()
	s := w.slide(service, time.Now())
	s.requests[s.current%int64(len(s.requests))]++
}

// TakeRetry reports whether another retry to a service is allowed and, if so, counts it.
func (w *WindowedBudget) TakeRetry(service identifier.ServiceID) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	s := w.slide(service, time.Now())
	allowed := w.Share * sum(s.requests)
	if members := w.MemberCount(); members > 0 {
		allowed += w.Slack / float64(members)
	}
	allowed *= safetyFactor
	if sum(s.retries)+1 > allowed {
		return false
	}
	s.retries[s.current%int64(len(s.retries))]++
	return true
}

// slide clears the buckets that have left the window and returns the window of the service.
func (w *WindowedBudget) slide(service identifier.ServiceID, now time.Time) *slidingWindow {
	if w.services == nil {
		w.services = map[identifier.ServiceID]*slidingWindow{}
	}
	s := w.services[service]
	if s == nil {
		s = &slidingWindow{}
		w.services[service] = s
	}
	current := now.UnixNano() / max(1, int64(w.Window)/bucketCount)
	for i := max(s.current+1, current-int64(len(s.requests))+1); i <= current; i++ {
		s.requests[i%int64(len(s.requests))] = 0
		s.retries[i%int64(len(s.retries))] = 0
	}
	s.current = max(s.current, current)
	return s
}

func sum(values [bucketCount + 1]float64) float64 {
	total := 0.0
	for _, v := range values {
		total += v
	}
	return total
}
