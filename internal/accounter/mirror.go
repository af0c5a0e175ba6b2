package accounter

import (
	"sync"
	"time"

	"github.com/coltsfootscale/coltsfootscale/internal/recorder"
)

// Mirror keeps copies of other instances' usage, to append them to the log in place of an instance that became silent.
// The zero value is empty.
type Mirror struct {
	mu      sync.Mutex
	origins map[string]*originCopy
}

// originCopy is the latest known totals of one origin.
type originCopy struct {
	totals     map[string]*recorder.TeamUsage
	receivedAt time.Time
}

// Hold merges a delta into the copy of its origin; a delta without teams only shows that the origin is still running.
func (m *Mirror) Hold(d *recorder.UsageDelta) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.origins == nil {
		m.origins = map[string]*originCopy{}
	}
	o := m.origins[d.GetOrigin()]
	if o == nil {
		o = &originCopy{totals: map[string]*recorder.TeamUsage{}}
		m.origins[d.GetOrigin()] = o
	}
	o.receivedAt = time.Now()
	for _, u := range d.GetTeams() {
		if excess := Excess(u, o.totals[u.Team]); excess != nil {
			Add(o.totals, excess)
		}
	}
}

// Overdue returns the usage not yet in the log of each origin from which nothing was received for at least silence, and
// drops the copies of those whose usage is all in the log.
//
// counted returns the usage that the log has counted for an origin.
func (m *Mirror) Overdue(silence time.Duration, counted func(origin string) map[string]*recorder.TeamUsage) []*recorder.UsageDelta {
	m.mu.Lock()
	defer m.mu.Unlock()
	var due []*recorder.UsageDelta
	for origin, o := range m.origins {
		if time.Since(o.receivedAt) < silence {
			continue
		}
		d := Uncounted(origin, o.totals, counted(origin))
		if d == nil {
			delete(m.origins, origin)
			continue
		}
		due = append(due, d)
	}
	return due
}
