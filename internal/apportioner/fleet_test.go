package apportioner_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/frankban/quicktest"

	"github.com/coltsfootscale/coltsfootscale/internal/apportioner"
)

// Bounds of the users: from limitGrace after a target first named a limit, it gets in any limitWindow at most limitFactor times
// what the limit allows, and limitSlack requests more, from instances that it told toldBefore or earlier.
const (
	limitGrace  = 3 * time.Second
	limitWindow = 4 * time.Second
	limitFactor = 1.5
	limitSlack  = 5
	toldBefore  = 500 * time.Millisecond

	step           = 5 * time.Millisecond
	answerTime     = 30 * time.Millisecond
	gossipInterval = 250 * time.Millisecond
)

// fleet is a target with a limit that changes, and instances that all want to send it more than that, in steps of virtual time.
type fleet struct {
	rng       *rand.Rand
	limit     func(after time.Duration) float64
	demand    float64
	instances []*instance
	arrivals  []time.Time
	now       time.Time
}

// instance is one instance of a fleet.
type instance struct {
	*apportioner.Apportioner
	place apportioner.Place
	// clock is by how much its time of day is off.
	clock time.Duration
	// toldAt is when the target first told this process of its limit; zero if it has not.
	toldAt      time.Time
	cut, frozen bool
	// reports are those of peers in transit.
	reports []report
	answers []answer
	// waiting is the number of requests that want to be sent to the target.
	waiting float64
}

type report struct {
	limits []apportioner.Limit
	at     time.Time
}

type answer struct {
	limit      float64
	sentAt, at time.Time
}

func newFleet(seed uint64, instances int, demand float64, limit func(time.Duration) float64) *fleet {
	f := &fleet{rng: rand.New(rand.NewPCG(seed, 29)), limit: limit, demand: demand, now: now}
	for i := range instances {
		n := &instance{place: apportioner.Place{Rank: i, Instances: instances}, clock: time.Duration(f.rng.IntN(200)-100) * time.Millisecond}
		f.instances = append(f.instances, n)
		n.restart()
	}
	return f
}

// restart replaces the process of an instance, which then knows nothing.
func (n *instance) restart() {
	n.Apportioner = &apportioner.Apportioner{
		Place:     func(time.Time) apportioner.Place { return n.place },
		TimeOfDay: func(t time.Time) time.Time { return t.Add(n.clock) },
	}
	n.toldAt, n.reports, n.answers, n.waiting = time.Time{}, nil, nil, 0
}

// run plays the fleet for a time. It calls event, which may be nil, at each step.
func (f *fleet) run(length time.Duration, event func(after time.Duration)) {
	target := newTarget(started)
	for after := time.Duration(0); after < length; after += step {
		f.now = now.Add(after)
		if event != nil {
			event(after)
		}
		for _, n := range f.instances {
			n.waiting = min(n.waiting+f.rng.ExpFloat64()*f.demand*step.Seconds(), 8)
			if n.frozen {
				continue
			}
			f.deliver(n)
			for n.waiting >= 1 {
				n.waiting--
				if !n.Take(target, f.now) {
					continue
				}
				if !n.toldAt.IsZero() && f.now.Sub(n.toldAt) >= toldBefore {
					f.arrivals = append(f.arrivals, f.now)
				}
				n.answers = append(n.answers, answer{f.limit(after), f.now, f.now.Add(answerTime)})
			}
		}
		if after%gossipInterval == 0 {
			f.gossip()
		}
	}
}

// deliver hands an instance the answers and reports that have arrived.
func (f *fleet) deliver(n *instance) {
	n.answers = slices.DeleteFunc(n.answers, func(a answer) bool {
		if a.at.After(f.now) {
			return false
		}
		if a.limit > 0 {
			n.Observe(named(apportioner.Rate(a.limit), f.now), f.now)
			if n.toldAt.IsZero() {
				n.toldAt = f.now
			}
		} else {
			n.Observe(ended(a.sentAt), f.now)
			n.toldAt = time.Time{}
		}
		return true
	})
	n.reports = slices.DeleteFunc(n.reports, func(r report) bool {
		if r.at.After(f.now) {
			return false
		}
		n.Apply(r.limits, f.now)
		return true
	})
}

// gossip sends the reports of all instances that can be reached. They arrive up to an interval later.
func (f *fleet) gossip() {
	for _, from := range f.instances {
		list := from.Report(false, f.now)
		if from.cut || from.frozen || len(list) == 0 {
			continue
		}
		for _, to := range f.instances {
			if to != from && !to.cut {
				to.reports = append(to.reports, report{list, f.now.Add(time.Duration(f.rng.Int64N(int64(gossipInterval))))})
			}
		}
	}
}

// worst returns by how many requests the busiest window exceeds what is allowed, and when it begins. A lower limit binds half a
// second after it was first named, and a window that is partly without a limit has none.
func (f *fleet) worst() (excess float64, begins time.Duration) {
	excess = math.Inf(-1)
	for i, first := range f.arrivals {
		if first.Before(now.Add(limitGrace)) {
			continue
		}
		allowed := float64(limitSlack)
		for t := first; t.Before(first.Add(limitWindow)); t = t.Add(step) {
			after := t.Sub(now)
			limit, before := f.limit(after), f.limit(max(0, after-toldBefore))
			if limit == 0 || before == 0 {
				allowed = math.Inf(1)
				break
			}
			allowed += limitFactor * max(limit, before) * step.Seconds()
		}
		n := 0
		for n < len(f.arrivals)-i && f.arrivals[i+n].Sub(first) < limitWindow {
			n++
		}
		if over := float64(n) - allowed; over > excess {
			excess, begins = over, first.Sub(now)
		}
	}
	return excess, begins
}

// check fails the test if a window has more requests than are allowed.
func (f *fleet) check(t *testing.T, comment quicktest.Comment) {
	t.Helper()
	excess, begins := f.worst()
	if excess > 0 {
		t.Logf("%.1f requests too many in %v from %v on", excess, limitWindow, begins)
	}
	quicktest.Check(t, excess <= 0, quicktest.IsTrue, comment)
}

func constant(limit float64) func(time.Duration) float64 {
	return func(time.Duration) float64 { return limit }
}

// TestFleetsKeepLimitsTogether guards against limits that each of many instances keeps alone, at any size, and against instances that
// leave most of what a target accepts unused.
func TestFleetsKeepLimitsTogether(t *testing.T) {
	for _, instances := range []int{1, 2, 6, 64} {
		for _, limit := range []float64{0, 0.3, 1.2, 2.7, 20, 300} {
			const length = 40 * time.Second
			f := newFleet(uint64(instances), instances, max(4, 2*limit/float64(instances)), constant(max(limit, 1e-9)))
			f.run(length, nil)
			comment := quicktest.Commentf("%d instances, limit %v: %d requests", instances, limit, len(f.arrivals))
			f.check(t, comment)
			quicktest.Check(t, float64(len(f.arrivals)) >= 0.7*limit*(length-4*time.Second).Seconds()-1, quicktest.IsTrue, comment)
		}
	}
}

// TestLimitsThatFallRiseAndEnd checks that 64 instances follow a limit that falls and rises, and that it ends for all of them,
// and is used up when it is high again.
func TestLimitsThatFallRiseAndEnd(t *testing.T) {
	limits := []float64{40, 2, 60, 0.5, 0, 8, 0, 90}
	limit := func(after time.Duration) float64 { return limits[min(len(limits)-1, int(after/(8*time.Second)))] }
	for seed := range uint64(5) {
		f := newFleet(seed, 64, 4, limit)
		f.run(time.Duration(len(limits))*8*time.Second, nil)
		comment := quicktest.Commentf("seed %d", seed)
		f.check(t, comment)
		late := 0
		for _, at := range f.arrivals {
			if after := at.Sub(now); after > 20*time.Second && after < 24*time.Second {
				late++
			}
		}
		quicktest.Check(t, float64(late) > 0.7*4*60, quicktest.IsTrue, quicktest.Commentf("%d requests in 4 s, limit 60, 4 s after it had risen", late))
		for i, n := range f.instances {
			rate, limited := n.Limit(newTarget(started))
			quicktest.Check(t, fmt.Sprint(rate, limited), quicktest.Equals, "90 true", quicktest.Commentf("seed %d, instance %d", seed, i))
		}
	}
}

// TestLimitsThroughRestartsFreezesAndCuts checks that the limit holds while instances start again, stand still and are cut
// off from each other, in series and at once.
func TestLimitsThroughRestartsFreezesAndCuts(t *testing.T) {
	for seed := range uint64(10) {
		for _, instances := range []int{6, 64} {
			limit := []float64{1.2, 2.7, 20}[seed%3]
			f := newFleet(seed, instances, 3, constant(limit))
			f.run(60*time.Second, func(after time.Duration) {
				if after%(100*time.Millisecond) != 0 {
					return
				}
				n := f.instances[f.rng.IntN(instances)]
				switch f.rng.IntN(4) {
				case 0:
					n.restart()
				case 1:
					n.frozen = !n.frozen
				case 2:
					n.cut = !n.cut
				case 3:
					n.clock = time.Duration(f.rng.IntN(2000)-1000) * time.Millisecond
				}
			})
			f.check(t, quicktest.Commentf("seed %d, %d instances, limit %v", seed, instances, limit))
		}
	}
}
