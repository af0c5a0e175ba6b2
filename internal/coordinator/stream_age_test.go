package coordinator_test

import (
	"testing"
	"time"

	"github.com/frankban/quicktest"

	"github.com/coltsfootscale/coltsfootscale/internal/coordinator"
	"github.com/coltsfootscale/coltsfootscale/internal/gossiper"
	"github.com/coltsfootscale/coltsfootscale/internal/pinner"
)

// TestStreamsTakenUpLateInLongDeadlines guards against ORDER: a stream that was taken up after the targets of its build had left, later
// than one and a half timeouts but within the client's deadline, went on at the build that was left.
func TestStreamsTakenUpLateInLongDeadlines(t *testing.T) {
	const (
		timeout, deadline = 3 * time.Second, 6 * time.Second
		leaves            = 70 * time.Second // Long after the first minute.
	)
	start := time.Now()
	began, peer := &coordinator.Builds{}, &coordinator.Builds{}
	for at := time.Duration(0); at <= leaves+time.Minute; at += 100 * time.Millisecond {
		now := start.Add(at)
		list := coordinator.BuildList{AsOf: now, Pins: []pinner.Pin{{Service: "s", Build: "v2"}}}
		if at < leaves {
			list.Pins = append(list.Pins, pinner.Pin{Service: "s", Build: "v1"})
			began.SawDeadline(deadline, now)
		}
		contact := coordinator.Contact{Alive: 2, Running: 2}
		for _, b := range []*coordinator.Builds{began, peer} {
			b.SetLongestTimeout(timeout, now)
			b.Record(list, contact, now)
		}
		m := &gossiper.Beat{}
		began.Compose(m, &gossiper.Beat{}, now)
		peer.Apply(m, now, now)
		if at < leaves {
			continue
		}
		for name, b := range map[string]*coordinator.Builds{"began": began, "peer": peer} {
			_, err := b.Sole("s", list, contact, now, now)
			if at < leaves+deadline {
				quicktest.Check(t, err, quicktest.ErrorIs, coordinator.ErrSeveralBuilds, quicktest.Commentf("%s, %v after", name, at-leaves))
			}
			if at > leaves+2*deadline {
				quicktest.Check(t, err, quicktest.IsNil, quicktest.Commentf("%s, %v after", name, at-leaves))
			}
		}
	}
}
