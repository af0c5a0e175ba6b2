package coordinator

import (
	"sync"
	"time"
)

// Suspensions converts times of a clock that stands still while the machine is suspended. What was before a suspension must not seem to be
// after it: a list that was read before it would count as new. The zero value has seen none.
type Suspensions struct {
	mu sync.Mutex
	// total is how long the machine was suspended, and before how long it was up to the last suspension, which was noticed at noticedAt.
	total, before time.Duration
	noticedAt     time.Time
}

// minimumSuspension is the least difference of two clocks that is no inaccuracy of reading them one after the other.
const minimumSuspension = 20 * time.Millisecond

// Observe takes how long the machine was suspended up to now.
func (s *Suspensions) Observe(total time.Duration, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if total-s.total >= minimumSuspension {
		s.before, s.total, s.noticedAt = s.total, total, now
	}
}

// Now returns the present time of the clock plus how long the machine was suspended.
func (s *Suspensions) Now(now time.Time) time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	return now.Add(s.total)
}

// Past returns a past time of the clock plus how long the machine had been suspended by then. Of times before the last suspension was
// noticed it is assumed that they were before it.
func (s *Suspensions) Past(t time.Time) time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	if t.Before(s.noticedAt) {
		return t.Add(s.before)
	}
	return t.Add(s.total)
}
