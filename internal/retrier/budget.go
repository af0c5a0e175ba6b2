package retrier

import "sync"

// Budget allows retries up to a share of the requests seen; the zero value allows none.
type Budget struct {
	// Ratio is the number of retries earned by each request.
	Ratio float64
	// Burst is the greatest number of retries that can be saved up.
	Burst float64

	mu      sync.Mutex
	started bool
	saved   float64
}

// AddRequest counts a request.
func (b *Budget) AddRequest() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.start()
	b.saved = min(b.Burst, b.saved+b.Ratio)
}

// TakeRetry reports whether one more retry is allowed, and spends it.
func (b *Budget) TakeRetry() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.start()
	if b.saved < 1 {
		return false
	}
	b.saved--
	return true
}

// start grants the reserve once.
func (b *Budget) start() {
	if !b.started {
		b.started = true
		b.saved = b.Burst
	}
}
