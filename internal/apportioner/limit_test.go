package apportioner_test

import (
	"testing"
	"time"

	"github.com/frankban/quicktest"

	"github.com/coltsfootscale/coltsfootscale/internal/apportioner"
	"github.com/coltsfootscale/coltsfootscale/internal/registrar"
)

var (
	started = time.Unix(1000, 0)
	now     = time.Unix(2000, 0)
)

func newTarget(startedAt time.Time) *registrar.Target {
	return &registrar.Target{ID: "t", Service: "s", StartedAt: startedAt}
}

func named(rate apportioner.Rate, at time.Time) apportioner.Limit {
	return apportioner.Limit{Target: "t", StartedAt: started, Named: true, Rate: rate, At: at}
}

func ended(at time.Time) apportioner.Limit {
	return apportioner.Limit{Target: "t", StartedAt: started, At: at}
}

// TestNewestAnswerTellsTheLimit guards against a limit that ends because of an answer to a request that was sent before the
// target named it.
func TestNewestAnswerTellsTheLimit(t *testing.T) {
	var a apportioner.Apportioner
	check := func(want apportioner.Rate) {
		t.Helper()
		rate, limited := a.Limit(newTarget(started))
		quicktest.Check(t, rate, quicktest.Equals, want)
		quicktest.Check(t, limited, quicktest.Equals, want > 0)
	}
	check(0)
	a.Observe(named(2.5, now), now)
	check(2.5)
	a.Observe(ended(now.Add(-time.Millisecond)), now)
	check(2.5)
	a.Observe(named(1.5, now.Add(time.Second)), now)
	a.Observe(named(2.5, now.Add(500*time.Millisecond)), now)
	check(1.5)
	a.Observe(ended(now.Add(2*time.Second)), now)
	check(0)
	quicktest.Check(t, a.Limited(), quicktest.Equals, 0)
}

// TestLimitHoldsForOneIncarnation checks that a limit ends with the target's process, and that it holds for one that started
// before it was named though its entry did not yet show that.
func TestLimitHoldsForOneIncarnation(t *testing.T) {
	var a apportioner.Apportioner
	a.Observe(named(2.5, now), now)
	_, limited := a.Limit(newTarget(now.Add(-time.Second)))
	quicktest.Check(t, limited, quicktest.IsTrue)
	_, limited = a.Limit(newTarget(now.Add(3 * time.Second)))
	quicktest.Check(t, limited, quicktest.IsFalse)
	a.Retain(nil)
	_, limited = a.Limit(newTarget(started))
	quicktest.Check(t, limited, quicktest.IsFalse)
}

// TestInstanceThatKnowsNoOthersSendsNothing guards against a started instance that takes the shares of all others until it has
// read who they are.
func TestInstanceThatKnowsNoOthersSendsNothing(t *testing.T) {
	known := apportioner.Place{}
	a := apportioner.Apportioner{Place: func(time.Time) apportioner.Place { return known }}
	target := newTarget(started)
	quicktest.Check(t, a.Take(target, now), quicktest.IsTrue, quicktest.Commentf("no limit is known"))
	a.Observe(named(1000, now), now)
	for i := range 100 {
		quicktest.Check(t, a.Take(target, now.Add(time.Duration(i)*10*time.Millisecond)), quicktest.IsFalse)
	}
	quicktest.Check(t, a.Wait(target, now.Add(time.Second)) > 0, quicktest.IsTrue)
	known = apportioner.Place{Instances: 2}
	quicktest.Check(t, a.Take(target, now.Add(2*time.Second)), quicktest.IsTrue)
}
