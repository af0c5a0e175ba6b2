package counter

import (
	"sync"
	"time"

	"github.com/coltsfootscale/coltsfootscale/pkg/identifier"
)

// Count is the number of requests of a team in a usage window at one incarnation of an entry instance.
type Count struct {
	Incarnation string
	Window      int64
	Team        identifier.TeamID
	Requests    uint64
}

// retainedWindows is the number of windows that Prune keeps before the given one.
const retainedWindows = 6

// retainedChanges is the minimum number of latest changes kept for peers: those of some seconds in a large fleet.
const retainedChanges = 4096

// Counter holds the counts of all incarnations; the zero value is ready to use.
//
// A count only increases, so counts may be merged in any order and more than once.
type Counter struct {
	mu     sync.Mutex
	counts map[key]uint64
	// changes are the latest changes of counts; the last one has the number next-1.
	changes []change
	next    uint64
}

// change is the key of a changed count; relayed is set if a peer had received the count from another instance.
type change struct {
	key
	relayed bool
}

type key struct {
	incarnation string
	window      int64
	team        identifier.TeamID
}

// Window returns the number of the usage window that contains a time, counted from the start of 1970.
func Window(at time.Time, length time.Duration) int64 { return at.UnixMilli() / length.Milliseconds() }

// Add counts one request.
func (c *Counter) Add(incarnation string, window int64, team identifier.TeamID) {
	c.mu.Lock()
	defer c.mu.Unlock()
	k := key{incarnation, window, team}
	c.set(k, c.counts[k]+1, false)
}

// Merge applies a count that a peer reported.
func (c *Counter) Merge(count Count) { c.merge(count, false) }

// MergeRelayed applies a count that a peer reported and sends to all hubs itself.
func (c *Counter) MergeRelayed(count Count) { c.merge(count, true) }

func (c *Counter) merge(count Count, relayed bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	k := key{count.Incarnation, count.Window, count.Team}
	if count.Requests > c.counts[k] {
		c.set(k, count.Requests, relayed)
	}
}

func (c *Counter) set(k key, n uint64, relayed bool) {
	if c.counts == nil {
		c.counts = map[key]uint64{}
	}
	c.counts[k] = n
	c.changes = append(c.changes, change{k, relayed})
	c.next++
	if len(c.changes) > 2*retainedChanges {
		c.changes = append([]change(nil), c.changes[len(c.changes)-retainedChanges:]...)
	}
}

// ChangedSince returns the counts that changed from a change number on, each once, and the number to continue from.
func (c *Counter) ChangedSince(from uint64) ([]Count, uint64) { return c.changedSince(from, true) }

// FirstHandSince is ChangedSince without the counts of MergeRelayed.
func (c *Counter) FirstHandSince(from uint64) ([]Count, uint64) { return c.changedSince(from, false) }

func (c *Counter) changedSince(from uint64, relayed bool) ([]Count, uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	first := c.next - uint64(len(c.changes))
	from = min(max(from, first), c.next)
	seen := map[key]bool{}
	var counts []Count
	for _, changed := range c.changes[from-first:] {
		k := changed.key
		n, known := c.counts[k]
		if seen[k] || !known || changed.relayed && !relayed {
			continue
		}
		seen[k] = true
		counts = append(counts, Count{Incarnation: k.incarnation, Window: k.window, Team: k.team, Requests: n})
	}
	return counts, c.next
}

// Total returns the requests of each team in a window, summed over all incarnations.
func (c *Counter) Total(window int64) map[identifier.TeamID]uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	total := map[identifier.TeamID]uint64{}
	for k, n := range c.counts {
		if k.window == window {
			total[k.team] += n
		}
	}
	return total
}

// Prune drops the windows that are more than retainedWindows before the given one.
func (c *Counter) Prune(window int64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for k := range c.counts {
		if k.window < window-retainedWindows {
			delete(c.counts, k)
		}
	}
}
