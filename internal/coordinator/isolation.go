package coordinator

import (
	"sync"
	"time"
)

// yieldLeases is how many leases an instance that hears none of its peers leaves the duties to them: one until its own has run out, and
// the others for those that come after each other in claiming it.
const yieldLeases = 3

// Isolation decides whether an instance that hears none of its peers leaves the duties to them. Its usage figures lack what the others
// have counted, and nobody else learns of those that it reports. The zero value is ready to use.
type Isolation struct {
	mu    sync.Mutex
	since time.Time
}

// Yields reports whether the instance leaves the duties to its peers now. Once they have had the time to claim them, one that nobody has
// replaced is alone and does them.
func (i *Isolation) Yields(isolated bool, lease time.Duration, now time.Time) bool {
	i.mu.Lock()
	defer i.mu.Unlock()
	switch {
	case !isolated:
		i.since = time.Time{}
		return false
	case i.since.IsZero():
		i.since = now
	}
	return now.Sub(i.since) < yieldLeases*lease
}

// yieldsDuties reports whether this instance leaves the duties to peers that it does not hear.
func (c *Coordinator) yieldsDuties() bool {
	now := time.Now()
	_, instances := c.peers.Place(now)
	return c.isolation.Yields(instances > 1 && len(c.peers.Alive(now)) == 0, c.bounds.Lease, now)
}
