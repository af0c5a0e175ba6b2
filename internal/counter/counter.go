package counter

import (
	"sync"
	"time"

	"github.com/coltsfootscale/coltsfootscale/pkg/identifier"
)

// Count is one count of one incarnation of an entry instance.
type Count struct {
	Incarnation string
	Window      int64
	Team        identifier.TeamID
	Requests    uint64
}

// keptWindows is how many windows are kept after the newest.
const keptWindows = 6

// keptChanges is how many changes are kept for peers: some seconds of a large fleet.
const keptChanges = 4096

// Counter holds the counts of all incarnations; the zero value is ready.
//
// A count only rises, so cells may come in any order and more than once.
type Counter struct {
	mu    sync.Mutex
	cells map[key]uint64
	// changes are the keys of the last changed cells; the last one has the number next-1.
	changes []key
	next    uint64
}

type key struct {
	incarnation string
	window      int64
	team        identifier.TeamID
}

// Window returns the number of the usage window at a time, counted from the start of 1970.
func Window(at time.Time, length time.Duration) int64 { return at.UnixMilli() / length.Milliseconds() }

// Add counts one request.
func (c *Counter) Add(incarnation string, window int64, team identifier.TeamID) {
	c.mu.Lock()
	defer c.mu.Unlock()
	k := key{incarnation, window, team}
	c.set(k, c.cells[k]+1)
}

// Merge takes a cell of a peer.
func (c *Counter) Merge(cell Count) {
	c.mu.Lock()
	defer c.mu.Unlock()
	k := key{cell.Incarnation, cell.Window, cell.Team}
	if cell.Requests > c.cells[k] {
		c.set(k, cell.Requests)
	}
}

func (c *Counter) set(k key, n uint64) {
	if c.cells == nil {
		c.cells = map[key]uint64{}
	}
	c.cells[k] = n
	c.changes = append(c.changes, k)
	c.next++
	if len(c.changes) > 2*keptChanges {
		c.changes = append([]key(nil), c.changes[len(c.changes)-keptChanges:]...)
	}
}

// ChangedSince returns the cells that changed from a number on, each once, and the number to go on with.
func (c *Counter) ChangedSince(from uint64) ([]Count, uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	first := c.next - uint64(len(c.changes))
	from = min(max(from, first), c.next)
	seen := map[key]bool{}
	var cells []Count
	for _, k := range c.changes[from-first:] {
		n, kept := c.cells[k]
		if seen[k] || !kept {
			continue
		}
		seen[k] = true
		cells = append(cells, Count{Incarnation: k.incarnation, Window: k.window, Team: k.team, Requests: n})
	}
	return cells, c.next
}

// Total sums a window over all incarnations.
func (c *Counter) Total(window int64) map[identifier.TeamID]uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	total := map[identifier.TeamID]uint64{}
	for k, n := range c.cells {
		if k.window == window {
			total[k.team] += n
		}
	}
	return total
}

// Prune drops windows that lie far before the given one.
func (c *Counter) Prune(window int64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for k := range c.cells {
		if k.window < window-keptWindows {
			delete(c.cells, k)
		}
	}
}
