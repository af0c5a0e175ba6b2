package gatekeeper_test

import (
	"testing"
	"time"

	"github.com/frankban/quicktest"

	"github.com/coltsfootscale/coltsfootscale/internal/gatekeeper"
	"github.com/coltsfootscale/coltsfootscale/internal/registrar"
)

var now = time.Unix(1000, 0)

func newTarget(startedAt time.Time) *registrar.Target {
	return &registrar.Target{ID: "t", Service: "s", StartedAt: startedAt}
}

// TestLeavingTargetGetsNothing checks that what a target says binds at once, also for requests that were queued for it,
// and that only a new incarnation is admitted again.
func TestLeavingTargetGetsNothing(t *testing.T) {
	registry := &registrar.Registrar{}
	told := 0
	g := &gatekeeper.Gatekeeper{Registry: registry, OnLeaving: func() { told++ }}
	target := newTarget(now)
	registry.Put(*target, now)
	quicktest.Assert(t, g.Admit(target, now), quicktest.IsNil)
	g.Observe(target, gatekeeper.Notice{Leaving: true}, now, now)
	g.Observe(target, gatekeeper.Notice{Leaving: true}, now, now)
	quicktest.Check(t, g.Admit(target, now), quicktest.ErrorIs, gatekeeper.ErrWithheld)
	quicktest.Check(t, registry.Available("s", now), quicktest.HasLen, 0)
	quicktest.Check(t, told, quicktest.Equals, 1)
	g.Observe(target, gatekeeper.Notice{}, now, now.Add(time.Second))
	quicktest.Check(t, g.Admit(target, now.Add(time.Hour)), quicktest.ErrorIs, gatekeeper.ErrWithheld, quicktest.Commentf("it never goes"))
	quicktest.Check(t, g.Admit(newTarget(now.Add(time.Second)), now), quicktest.IsNil)
}

// TestPauseLastsAsLongAsAsked checks that a paused target gets nothing until the end of the time, and that the time is
// bounded.
func TestPauseLastsAsLongAsAsked(t *testing.T) {
	for _, c := range []struct{ asked, want time.Duration }{
		{200 * time.Millisecond, 200 * time.Millisecond}, {8 * time.Second, 8 * time.Second}, {1000 * time.Hour, gatekeeper.MaximumPause},
	} {
		var g gatekeeper.Gatekeeper
		target := newTarget(now)
		g.Observe(target, gatekeeper.Notice{Pause: c.asked}, now, now)
		g.Observe(target, gatekeeper.Notice{Pause: c.asked / 4}, now, now)
		quicktest.Check(t, g.Admit(target, now.Add(c.want-time.Millisecond)), quicktest.ErrorIs, gatekeeper.ErrWithheld)
		quicktest.Check(t, g.Admit(target, now.Add(c.want+time.Second)), quicktest.IsNil)
		quicktest.Check(t, g.Admit(newTarget(now.Add(time.Second)), now), quicktest.IsNil, quicktest.Commentf("started again"))
		g.Expire(nil, now.Add(c.want+time.Second))
		quicktest.Check(t, g.Paused(target, now), quicktest.Equals, time.Duration(0))
	}
}

// TestPauseSaidByNextIncarnation guards against a pause that is lost because the request that the target turned away was meant
// for the incarnation before: the target had started again before its entry showed it.
func TestPauseSaidByNextIncarnation(t *testing.T) {
	var g gatekeeper.Gatekeeper
	before, restarted := newTarget(now), newTarget(now.Add(10*time.Second))
	said := now.Add(10*time.Second + 20*time.Millisecond)
	g.Observe(before, gatekeeper.Notice{Pause: 5 * time.Second}, now, said)
	quicktest.Check(t, g.Paused(restarted, said.Add(time.Second)) > 0, quicktest.IsTrue)
	quicktest.Check(t, g.Paused(newTarget(said.Add(2*time.Second)), said.Add(3*time.Second)), quicktest.Equals, time.Duration(0), quicktest.Commentf("started after it had asked"))
	g.Observe(restarted, gatekeeper.Notice{Pause: 8 * time.Second}, now, said)
	g.Observe(before, gatekeeper.Notice{Pause: time.Second}, now, said)
	quicktest.Check(t, g.Paused(restarted, said.Add(7*time.Second)) > 0, quicktest.IsTrue, quicktest.Commentf("a late answer shortens no pause"))
}

// TestInstancesReturnApart checks that many instances that a target turned away at the same moment do not return at the
// same moment.
func TestInstancesReturnApart(t *testing.T) {
	const pause, instances = 4 * time.Second, 200
	target := newTarget(now)
	back := 0
	for range instances {
		var g gatekeeper.Gatekeeper
		g.Observe(target, gatekeeper.Notice{Pause: pause}, now, now)
		if g.Admit(target, now.Add(pause+400*time.Millisecond)) == nil {
			back++
		}
	}
	quicktest.Check(t, back > instances/4 && back < instances*3/4, quicktest.IsTrue, quicktest.Commentf("%d of %d back in the middle of the spread", back, instances))
}
