package registrar_test

import (
	"testing"
	"time"

	"github.com/frankban/quicktest"

	"github.com/coltsfootscale/coltsfootscale/internal/registrar"
)

var (
	now  = time.Unix(1000, 0)
	born = time.Unix(900, 0)
)

func target(beat uint64, leaving bool) registrar.Target {
	return registrar.Target{ID: "t", Service: "s", StartedAt: born, Sequence: beat, Leaving: leaving, Stage: registrar.PrefillStage}
}

func TestHeldUpEntriesChangeNothing(t *testing.T) {
	var r registrar.Registrar
	quicktest.Assert(t, r.Put(target(5, false), now), quicktest.IsTrue)
	quicktest.Assert(t, r.Put(target(9, true), now), quicktest.IsTrue)
	quicktest.Assert(t, r.Available("s", now), quicktest.HasLen, 0)
	quicktest.Check(t, r.Put(target(6, false), now), quicktest.IsFalse, quicktest.Commentf("an older entry came later"))
	quicktest.Check(t, r.Put(target(10, false), now), quicktest.IsFalse, quicktest.Commentf("a target that leaves does not stay"))
	quicktest.Check(t, r.Available("s", now), quicktest.HasLen, 0)
	r.Remove("t", now)
	quicktest.Check(t, r.Put(target(6, false), now.Add(time.Second)), quicktest.IsFalse, quicktest.Commentf("an entry of a target that is gone"))
	again := target(1, false)
	again.StartedAt = now
	quicktest.Check(t, r.Put(again, now), quicktest.IsTrue, quicktest.Commentf("the same id after a restart"))
	quicktest.Check(t, r.Available("s", now), quicktest.HasLen, 1)
}

func TestLapsedTargetsReturnAfterAnOutage(t *testing.T) {
	r := registrar.Registrar{StoreRestoredAt: func() time.Time { return now }}
	r.Put(target(5, false), now)
	r.Remove("t", now.Add(time.Second))
	quicktest.Assert(t, r.Available("s", now), quicktest.HasLen, 1, quicktest.Commentf("it may be back within two seconds"))
	r.Put(target(6, false), now.Add(1500*time.Millisecond))
	r.Expire(now.Add(5 * time.Second))
	quicktest.Assert(t, r.Available("s", now), quicktest.HasLen, 1)
	r.Remove("t", now.Add(1900*time.Millisecond))
	r.Expire(now.Add(2100 * time.Millisecond))
	quicktest.Assert(t, r.Available("s", now), quicktest.HasLen, 0, quicktest.Commentf("one that is still missing is gone"))
}

func TestOrderedTargetsTakeNoWork(t *testing.T) {
	var r registrar.Registrar
	r.Put(target(1, false), now)
	r.RecordOrder("t", registrar.DecodeStage, now.Add(6*time.Second))
	quicktest.Assert(t, r.Available("s", now), quicktest.HasLen, 0)
	quicktest.Assert(t, r.NotLeaving("s"), quicktest.HasLen, 1)
	quicktest.Assert(t, r.PendingOrders(now), quicktest.DeepEquals, []registrar.StageOrder{{Target: "t", Service: "s", Stage: registrar.DecodeStage, Remaining: 6 * time.Second}})
	changed := target(2, false)
	changed.Stage = registrar.DecodeStage
	r.Put(changed, now)
	quicktest.Assert(t, r.Available("s", now), quicktest.HasLen, 1)
	r.RecordOrder("t", registrar.PrefillStage, now.Add(time.Second))
	quicktest.Assert(t, r.Available("s", now.Add(2*time.Second)), quicktest.HasLen, 1, quicktest.Commentf("an order that had no effect is forgotten"))
}
