package mirrorer_test

import (
	"testing"
	"time"

	"github.com/frankban/quicktest"

	"github.com/coltsfootscale/coltsfootscale/internal/mirrorer"
)

var start = time.Unix(1000, 0)

func at(seconds float64) time.Time { return start.Add(time.Duration(seconds * float64(time.Second))) }

func TestOutageNeedsFailuresAndNoFreshData(t *testing.T) {
	failing := 10 * time.Second
	m := &mirrorer.Mirror{OutageThreshold: 2 * time.Second, FailingFor: func(time.Time) time.Duration { return failing }}
	m.Apply(0, nil, 1, at(0))
	quicktest.Assert(t, m.RecoveredAt().IsZero(), quicktest.IsTrue, quicktest.Commentf("the first data does not end an outage"))
	// The store refuses this instance for many seconds while peers send fresh data.
	for s := 1.0; s < 20; s++ {
		m.Apply(0, nil, 1, at(s))
	}
	m.Apply(0, []mirrorer.Record{{Key: "a", Value: []byte("1"), Offset: 1}}, 2, at(20))
	quicktest.Assert(t, m.RecoveredAt().IsZero(), quicktest.IsTrue)
	m.Apply(0, nil, 1, at(25))
	quicktest.Assert(t, m.RecoveredAt().IsZero(), quicktest.IsTrue, quicktest.Commentf("data from a peer at a lower offset is not fresh"))
	recoveredAt := time.Time{}
	m.OnChange = func(mirrorer.Record) { recoveredAt = m.RecoveredAt() }
	m.Apply(0, []mirrorer.Record{{Key: "a", Offset: 2}}, 3, at(26))
	quicktest.Assert(t, recoveredAt, quicktest.Equals, at(26), quicktest.Commentf("set before OnChange is called"))
	m.Apply(0, nil, 3, at(27))
	quicktest.Assert(t, m.RecoveredAt(), quicktest.Equals, at(26))
	// This instance was paused, or its peers restarted, so its own calls have not failed.
	failing = 0
	m.Apply(0, nil, 3, at(37))
	quicktest.Assert(t, m.RecoveredAt(), quicktest.Equals, at(26), quicktest.Commentf("a pause is not an outage"))
}

// TestHistoryIsNotOverstated guards against a mirror that offers removals which it has not kept: a whole copy arrives after the mirror has
// advanced by another way, and what the copy tells of keys that the mirror does not know is left out.
func TestHistoryIsNotOverstated(t *testing.T) {
	m := &mirrorer.Mirror{}
	quicktest.Check(t, int(m.HistoryFrom()), quicktest.Equals, 0)
	m.Replace(mirrorer.Copy{Records: []mirrorer.Record{{Key: "a", Value: []byte("1"), Offset: 3}}, Next: 10, HistoryFrom: 10, AsOf: at(0)})
	quicktest.Check(t, int(m.HistoryFrom()), quicktest.Equals, 10)
	late := []mirrorer.Record{{Key: "gone", Offset: 2}, {Key: "a", Value: []byte("1"), Offset: 3}, {Key: "gone later", Offset: 11}}
	m.Replace(mirrorer.Copy{Records: late, Next: 12, AsOf: at(1)})
	quicktest.Check(t, int(m.HistoryFrom()), quicktest.Equals, 10)
	_, known := m.Get("gone later")
	quicktest.Check(t, known, quicktest.IsTrue)
	m.Replace(mirrorer.Copy{Records: late, Next: 20, HistoryFrom: 20, AsOf: at(2)})
	quicktest.Check(t, int(m.HistoryFrom()), quicktest.Equals, 20)
}
