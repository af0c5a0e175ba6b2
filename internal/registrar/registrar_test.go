package registrar_test

import (
	"testing"
	"time"

	"github.com/frankban/quicktest"

	"github.com/coltsfootscale/coltsfootscale/internal/registrar"
)

var (
	now       = time.Unix(1000, 0)
	startedAt = time.Unix(900, 0)
)

func target(revision uint64, leaving bool) registrar.Target {
	return registrar.Target{ID: "t", Service: "s", StartedAt: startedAt, Revision: revision, Leaving: leaving, Stage: registrar.Prompts}
}

// TestDelayedEntriesAreIgnored guards against entries that arrive late: they must not revive a target that is leaving
// or was removed. A restarted target has a new start time and is accepted.
func TestDelayedEntriesAreIgnored(t *testing.T) {
	var r registrar.Registrar
	quicktest.Assert(t, r.Put(target(5, false), now), quicktest.IsTrue)
	quicktest.Assert(t, r.Put(target(9, true), now), quicktest.IsTrue)
	quicktest.Assert(t, r.Available("s", now), quicktest.HasLen, 0)
	quicktest.Check(t, r.Put(target(6, false), now), quicktest.IsFalse, quicktest.Commentf("an older entry arrives late"))
	quicktest.Check(t, r.Put(target(10, false), now), quicktest.IsFalse, quicktest.Commentf("leaving is final within an incarnation"))
	quicktest.Check(t, r.Available("s", now), quicktest.HasLen, 0)
	r.Remove("t", now)
	quicktest.Check(t, r.Put(target(6, false), now.Add(time.Second)), quicktest.IsFalse, quicktest.Commentf("a late entry of a removed target"))
	restarted := target(1, false)
	restarted.StartedAt = now
	quicktest.Check(t, r.Put(restarted, now), quicktest.IsTrue, quicktest.Commentf("a restarted target with the same id"))
	quicktest.Check(t, r.Available("s", now), quicktest.HasLen, 1)
}

// TestLapsedTargetsReturnAfterAnOutage guards against losing targets whose entries lapsed during a store outage and are
// renewed shortly after it.
func TestLapsedTargetsReturnAfterAnOutage(t *testing.T) {
	r := registrar.Registrar{StoreRestoredAt: func() time.Time { return now }}
	r.Put(target(5, false), now)
	r.Remove("t", now.Add(time.Second))
	quicktest.Assert(t, r.Available("s", now), quicktest.HasLen, 1, quicktest.Commentf("it may return within two seconds"))
	r.Put(target(6, false), now.Add(1500*time.Millisecond))
	r.Expire(now.Add(5 * time.Second))
	quicktest.Assert(t, r.Available("s", now), quicktest.HasLen, 1)
	r.Remove("t", now.Add(1900*time.Millisecond))
	r.Expire(now.Add(2100 * time.Millisecond))
	quicktest.Assert(t, r.Available("s", now), quicktest.HasLen, 0, quicktest.Commentf("a target that did not return is removed"))
}

func TestOrderedTargetsTakeNoWork(t *testing.T) {
	var r registrar.Registrar
	r.Put(target(1, false), now)
	r.RecordOrder("t", registrar.Answers, now.Add(6*time.Second))
	quicktest.Assert(t, r.Available("s", now), quicktest.HasLen, 0)
	quicktest.Assert(t, r.NotLeaving("s"), quicktest.HasLen, 1)
	quicktest.Assert(t, r.Orders(now), quicktest.DeepEquals, []registrar.StageOrder{{Target: "t", Service: "s", Stage: registrar.Answers, Remaining: 6 * time.Second}})
	changed := target(2, false)
	changed.Stage = registrar.Answers
	r.Put(changed, now)
	quicktest.Assert(t, r.Available("s", now), quicktest.HasLen, 1)
	r.RecordOrder("t", registrar.Prompts, now.Add(time.Second))
	quicktest.Assert(t, r.Available("s", now.Add(2*time.Second)), quicktest.HasLen, 1, quicktest.Commentf("an order without effect expires"))
}
