package registrar_test

import (
	"testing"
	"time"

	"github.com/frankban/quicktest"

	"github.com/coltsfootscale/coltsfootscale/internal/registrar"
	"github.com/coltsfootscale/coltsfootscale/pkg/identifier"
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

// TestMarkOutlivesTheStore checks that a target that has said that it leaves takes no requests, whatever the store says
// afterwards, until it has started again.
func TestMarkOutlivesTheStore(t *testing.T) {
	var r registrar.Registrar
	r.Put(target(5, false), now)
	quicktest.Check(t, r.MarkLeaving("t", startedAt, now), quicktest.IsTrue)
	quicktest.Check(t, r.MarkLeaving("t", startedAt, now), quicktest.IsFalse)
	quicktest.Check(t, r.Available("s", now), quicktest.HasLen, 0)
	quicktest.Check(t, r.Put(target(6, false), now), quicktest.IsFalse)
	r.Remove("t", now)
	quicktest.Check(t, r.Put(target(7, false), now.Add(30*time.Second)), quicktest.IsFalse)
	quicktest.Check(t, r.Departed("t", startedAt), quicktest.IsTrue)
	restarted := target(1, false)
	restarted.StartedAt = now
	quicktest.Check(t, r.Put(restarted, now), quicktest.IsTrue)
	quicktest.Check(t, r.Departed("t", now), quicktest.IsFalse)
	quicktest.Check(t, r.MarkLeaving("t", startedAt, now), quicktest.IsFalse, quicktest.Commentf("said by the earlier incarnation"))
	quicktest.Check(t, r.Available("s", now), quicktest.HasLen, 1)
}

// TestRemovedTargetStaysAwayAfterAReturn brings the entry of a removed target back with an older copy of the store, at
// the instance that saw it removed and at one that has it from a peer only.
func TestRemovedTargetStaysAwayAfterAReturn(t *testing.T) {
	era := identifier.Era(0)
	r := registrar.Registrar{Era: func() identifier.Era { return era }}
	peer := registrar.Registrar{Era: func() identifier.Era { return era }}
	r.Put(target(5, false), now)
	r.Remove("t", now)
	quicktest.Check(t, r.Put(target(5, false), now), quicktest.IsTrue, quicktest.Commentf("written again in the same era"))
	r.Remove("t", now)
	era = 1
	quicktest.Check(t, r.Put(target(5, false), now), quicktest.IsFalse)
	for _, d := range r.Departures(time.Minute, now) {
		quicktest.Check(t, peer.AddDeparture(d, now), quicktest.IsTrue)
	}
	quicktest.Check(t, peer.Put(target(5, false), now), quicktest.IsFalse)
	quicktest.Check(t, peer.Put(target(6, false), now), quicktest.IsTrue, quicktest.Commentf("the target has written since"))
	quicktest.Check(t, peer.AddDeparture(registrar.Departure{Target: "t", StartedAt: startedAt, Revision: 5, Gone: true}, now), quicktest.IsFalse)
	quicktest.Check(t, peer.Available("s", now), quicktest.HasLen, 1)
}

// TestOrderReportedByPeersKeepsItsEnd guards against an order whose end moves with each message about it: peers understate what is
// left of it.
func TestOrderReportedByPeersKeepsItsEnd(t *testing.T) {
	var r registrar.Registrar
	r.Put(target(1, false), now)
	end := now.Add(6 * time.Second)
	r.RecordOrder("t", registrar.Answers, end)
	r.RecordOrder("t", registrar.Answers, end.Add(-time.Second))
	quicktest.Check(t, r.Available("s", end.Add(-time.Millisecond)), quicktest.HasLen, 0)
	quicktest.Check(t, r.Available("s", end), quicktest.HasLen, 1)
	r.RecordOrder("t", registrar.Prompts, end.Add(-2*time.Second))
	quicktest.Check(t, r.Orders(end.Add(-3*time.Second)), quicktest.HasLen, 0, quicktest.Commentf("an order back to its stage replaces the other"))
}
