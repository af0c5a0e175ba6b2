package retrier

import "sync"

// Budget is a token bucket that allows retries up to a fraction of the requests; the zero value allows none.
type Budget struct {
	// Share is the number of retries that each request adds.
	Share float64
	// Burst is the largest number of retries that can accumulate, and the number available at the start.
	Burst float64

	mu        sync.Mutex
	started   bool
	available float64
}

// AddRequest counts a request.
func (b *Budget) AddRequest() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.start()
	b.available = min(b.Burst, b.available+b.Share)
}

// TakeRetry reports whether another retry is allowed and, if so, deducts it.
func (b *Budget) TakeRetry() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.start()
	if b.available < 1 {
		return false
	}
	b.available--
	return true
}

// start fills the budget on first use.
func (b *Budget) start() {
	if !b.started {
		b.started = true
		b.available = b.Burst
	}
}
