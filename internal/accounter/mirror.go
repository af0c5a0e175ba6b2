package accounter

import (
	"sync"
	"time"

	"github.com/coltsfootscale/coltsfootscale/internal/recorder"
)

// Mirror keeps copies of other instances' usage and returns those of instances that fell silent; the zero value is empty.
type Mirror struct {
	mu      sync.Mutex
	origins map[string]*copies
}

// copies is the newest totals of one origin.
type copies struct {
	totals map[string]*recorder.TeamUsage
	heard  time.Time
}

// Hold takes over an origin's totals; a delta without teams only shows that the origin lives.
func (m *Mirror) Hold(d *recorder.UsageDelta) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.origins == nil {
		m.origins = map[string]*copies{}
	}
	o := m.origins[d.GetOrigin()]
	if o == nil {
		o = &copies{totals: map[string]*recorder.TeamUsage{}}
		m.origins[d.GetOrigin()] = o
	}
	o.heard = time.Now()
	for _, u := range d.GetTeams() {
		if excess := Excess(u, o.totals[u.Team]); excess != nil {
			Add(o.totals, excess)
		}
	}
}

// Overdue returns what the log lacks of each origin that has been silent for at least silence.
//
// counted returns what the log has counted for an origin.
func (m *Mirror) Overdue(silence time.Duration, counted func(origin string) map[string]*recorder.TeamUsage) []*recorder.UsageDelta {
	m.mu.Lock()
	defer m.mu.Unlock()
	var due []*recorder.UsageDelta
	for origin, o := range m.origins {
		if time.Since(o.heard) < silence {
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
