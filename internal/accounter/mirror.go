package accounter

import (
	"sync"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/coltsfootscale/coltsfootscale/internal/recorder"
)

// Mirror keeps copies of other instances' usage and returns those of instances that fell silent; the zero value is empty.
type Mirror struct {
	mu      sync.Mutex
	origins map[string]*mirrored
}

type mirrored struct {
	deltas []*recorder.UsageDelta
	heard  time.Time
}

// Hold replaces the copies of an origin.
func (m *Mirror) Hold(origin string, deltas []*recorder.UsageDelta) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.origins == nil {
		m.origins = map[string]*mirrored{}
	}
	m.origins[origin] = &mirrored{deltas: deltas, heard: time.Now()}
}

// Overdue returns the next delta to append for each origin that has been silent for at least silence.
//
// last returns the delta that the log counted last for an origin. A counted delta that lacks some of
// the copy's usage passes the difference on to the next sequence.
func (m *Mirror) Overdue(silence time.Duration, last func(origin string) *recorder.UsageDelta) []*recorder.UsageDelta {
	m.mu.Lock()
	defer m.mu.Unlock()
	var due []*recorder.UsageDelta
	for origin, o := range m.origins {
		o.deltas = settleCopies(o.deltas, last(origin))
		if time.Since(o.heard) < silence {
			continue
		}
		if len(o.deltas) == 0 {
			delete(m.origins, origin)
			continue
		}
		due = append(due, proto.Clone(o.deltas[0]).(*recorder.UsageDelta))
	}
	return due
}

// settleCopies drops the copies that the log has counted and carries over what it lacks of the newest of them.
func settleCopies(deltas []*recorder.UsageDelta, last *recorder.UsageDelta) []*recorder.UsageDelta {
	for len(deltas) > 0 && deltas[0].Sequence <= last.GetSequence() {
		settled := deltas[0]
		deltas = deltas[1:]
		if settled.Sequence < last.GetSequence() {
			continue
		}
		rest := Difference(settled, last)
		if len(rest) == 0 {
			continue
		}
		deltas = carryOver(deltas, settled, rest)
	}
	return deltas
}

func carryOver(deltas []*recorder.UsageDelta, settled *recorder.UsageDelta, rest []*recorder.TeamUsage) []*recorder.UsageDelta {
	next := &recorder.UsageDelta{Origin: settled.Origin, Sequence: settled.Sequence + 1}
	if len(deltas) > 0 && deltas[0].Sequence == next.Sequence {
		rest = append(rest, deltas[0].Teams...)
		deltas = deltas[1:]
	}
	totals := map[string]*recorder.TeamUsage{}
	for _, u := range rest {
		Add(totals, u)
	}
	next.Teams = sortedUsage(totals)
	return append([]*recorder.UsageDelta{next}, deltas...)
}
