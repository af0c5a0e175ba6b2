package retrier

import "sync"

// Budget allows retries up to a share of the requests seen; the zero value allows none.
type Budget struct {
	// Share is the number of retries earned by each request.
	Share float64
	// Reserve is the greatest number of retries that can be saved up.
	Reserve float64

	mu      sync.Mutex
	started bool
	saved   float64
}

// Note counts a request.
func (b *Budget) Note() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.start()
	b.saved = min(b.Reserve, b.saved+b.Share)
}

// Take reports whether one more retry is allowed, and spends it.
func (b *Budget) Take() bool {
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
		b.saved = b.Reserve
	}
}
