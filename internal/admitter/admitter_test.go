package admitter_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/frankban/quicktest"

	"github.com/coltsfootscale/coltsfootscale/internal/admitter"
	"github.com/coltsfootscale/coltsfootscale/pkg/identifier"
)

var crowdedDay = scenario{factor: 3.5, dark: 0.6}

// crowdedDays runs the crowded day with three seeds.
func crowdedDays(t *testing.T, check func(c *crowd, comment quicktest.Comment)) {
	for seed := range uint64(3) {
		s := crowdedDay
		s.seed = seed
		c := newCrowd(s).run()
		check(c, quicktest.Commentf("seed %d", seed))
	}
}

func ofRank(rank int) func(*job) bool { return func(j *job) bool { return j.rank == rank } }

// TestCrowdedDayRanksInOrder guards against the order of the baseline run, in which the most urgent rank was served least: traffic x 3.5
// while 60 % of the targets are silent for 10 s, and each less urgent rank may be served by 5 in 100 more at most.
func TestCrowdedDayRanksInOrder(t *testing.T) {
	crowdedDays(t, func(c *crowd, comment quicktest.Comment) {
		served := []float64{c.served(ofRank(0)), c.served(ofRank(1)), c.served(ofRank(2))}
		t.Log("served by rank", served)
		quicktest.Check(t, served[0] >= served[1]-0.05 && served[1] >= served[2]-0.05, quicktest.IsTrue, comment)
	})
}

// TestCrowdedDayWorth guards against admission that serves less than 0.9 of the worth that perfect knowledge could.
func TestCrowdedDayWorth(t *testing.T) {
	crowdedDays(t, func(c *crowd, comment quicktest.Comment) {
		served, bound := c.worth()
		open := crowdedDay
		open.seed, open.open = c.seed, true
		without, _ := newCrowd(open).run().worth()
		t.Logf("worth %.3f of the bound, %.3f without admission", served/bound, without/bound)
		quicktest.Check(t, served >= 0.9*bound, quicktest.IsTrue, comment)
	})
}

// TestCrowdedDayNothingWaitsInVain guards against requests that wait to their deadline though, as their target's queue was when they
// were sent, they could have been refused.
func TestCrowdedDayNothingWaitsInVain(t *testing.T) {
	crowdedDays(t, func(c *crowd, comment quicktest.Comment) {
		inVain := 0
		for _, j := range c.jobs {
			if j.outcome == "late" && j.trueWait+j.work > j.deadline-j.sentAt {
				inVain++
			}
		}
		t.Logf("%d of %d waited in vain", inVain, len(c.jobs))
		quicktest.Check(t, inVain, quicktest.Equals, 0, comment)
	})
}

// TestCrowdedDayKnownWaits is TestCrowdedDayNothingWaitsInVain by what the deciding instance knew of the target.
func TestCrowdedDayKnownWaits(t *testing.T) {
	crowdedDays(t, func(c *crowd, comment quicktest.Comment) {
		for _, j := range c.jobs {
			quicktest.Check(t, j.outcome == "late" && j.believed+j.work > j.deadline-j.sentAt, quicktest.IsFalse, comment)
		}
	})
}

// TestCrowdedDayLargeRequests guards against the starvation of large requests: the largest tenth is served at least half as often.
func TestCrowdedDayLargeRequests(t *testing.T) {
	crowdedDays(t, func(c *crowd, comment quicktest.Comment) {
		var sizes []time.Duration
		for _, j := range c.jobs {
			sizes = append(sizes, j.work)
		}
		slices.Sort(sizes)
		large := sizes[len(sizes)*9/10]
		all, largest := c.served(func(*job) bool { return true }), c.served(func(j *job) bool { return j.work >= large })
		t.Logf("served %.3f of all, %.3f of the largest tenth", all, largest)
		quicktest.Check(t, largest >= all/2, quicktest.IsTrue, comment)
	})
}

// TestCrowdedDayRetryAfter guards against clients that are told to return after their time is up, or all together: of those refused in
// a second, no more return in the fullest tenth of a second than a third, and none within less than 50 ms or after a third of its time.
func TestCrowdedDayRetryAfter(t *testing.T) {
	crowdedDays(t, func(c *crowd, comment quicktest.Comment) {
		returns, refused := map[[2]int]int{}, map[int]int{}
		for _, r := range c.refusals {
			quicktest.Check(t, r.after >= 50*time.Millisecond, quicktest.IsTrue, comment)
			quicktest.Check(t, r.after <= max(50*time.Millisecond, r.left/3), quicktest.IsTrue, comment)
			second := int(r.at.Seconds())
			refused[second]++
			returns[[2]int{second, int((r.at + r.after) / (100 * time.Millisecond))}]++
		}
		for k, n := range returns {
			quicktest.Check(t, refused[k[0]] < 30 || 3*n <= refused[k[0]], quicktest.IsTrue, quicktest.Commentf("%d of %d at %v", n, refused[k[0]], k))
		}
	})
}

// TestCrowdedDayReturns guards against clients that come back in vain: those of the lower ranks are served more often when they return
// than on their first attempt, between 7 and 15 s.
func TestCrowdedDayReturns(t *testing.T) {
	crowdedDays(t, func(c *crowd, comment quicktest.Comment) {
		first, again, served, servedAgain := 0, 0, 0, 0
		for _, j := range c.jobs {
			if j.rank == 0 || j.arrival < 7*time.Second || j.arrival > 15*time.Second {
				continue
			}
			first++
			switch {
			case j.returning:
				again++
				if j.outcome == "served" {
					servedAgain++
				}
			case j.outcome == "served":
				served++
			}
		}
		t.Logf("served %d of %d on the first attempt, %d of %d that returned", served, first, servedAgain, again)
		quicktest.Check(t, servedAgain*first >= served*again, quicktest.IsTrue, comment)
	})
}

// TestQuietDay guards against refusals on a day without overload.
func TestQuietDay(t *testing.T) {
	for seed := range uint64(10) {
		c := newCrowd(scenario{seed: seed, factor: 1}).run()
		quicktest.Check(t, c.refusals, quicktest.HasLen, 0, quicktest.Commentf("seed %d", seed))
	}
}

// TestStaleState guards against refusals that rest on loads more than two seconds old: at instances that hear no other, and on a
// crowded day at those that are cut off.
func TestStaleState(t *testing.T) {
	s := crowdedDay
	s.noReports = true
	quicktest.Check(t, newCrowd(s).run().refusals, quicktest.HasLen, 0)
	s = crowdedDay
	s.cutOff = 20
	for _, r := range newCrowd(s).run().refusals {
		quicktest.Check(t, r.instance < 20 && r.at >= 7*time.Second && r.at < 20*time.Second, quicktest.IsFalse)
	}
}

// pressed returns an admitter under a pressure of three times the promised latency, at the given time, and a request of a rank that it
// refuses.
func pressed() (a *admitter.Admitter, r admitter.Request, now time.Time) {
	a, now = &admitter.Admitter{}, crowdStart
	r = admitter.Request{
		Service: "s", Route: "r", Team: "returning", Predicted: 3100 * time.Millisecond, Alone: 100 * time.Millisecond, MeanWait: 3 * time.Second,
		Remaining: 5 * time.Second, Promised: time.Second, Capacity: 1, Instances: 2,
	}
	for i := range 300 {
		other := r
		other.ID, other.Team, other.Rank = identifier.RequestID(fmt.Sprint(i)), identifier.TeamID(fmt.Sprint(i)), i%3
		a.Judge(&other, now)
		now = now.Add(10 * time.Millisecond)
	}
	r.Rank = 1
	return a, r, now
}

// TestReturningClient guards against a client that is refused again when it returns as it was asked to, and against one that is
// preferred twice.
func TestReturningClient(t *testing.T) {
	admitted := func(delay float64, times int) (n int) {
		for i := range 100 {
			a, r, now := pressed()
			r.ID = identifier.RequestID(fmt.Sprint("returning", i))
			v := a.Judge(&r, now)
			quicktest.Assert(t, v.Reason, quicktest.Equals, admitter.LessUrgent)
			for range times {
				v = a.Judge(&r, now.Add(time.Duration(delay*float64(v.RetryAfter))))
			}
			if v.Returned {
				n++
			}
		}
		return n
	}
	quicktest.Check(t, admitted(1, 1), quicktest.Equals, 100)
	quicktest.Check(t, admitted(0.1, 1), quicktest.Equals, 0, quicktest.Commentf("it did not wait"))
	quicktest.Check(t, admitted(4, 1), quicktest.Equals, 0, quicktest.Commentf("it came too late"))
	a, r, now := pressed()
	r.ID = "x"
	v := a.Judge(&r, now)
	quicktest.Check(t, a.Judge(&r, now.Add(v.RetryAfter)).Rank, quicktest.Equals, 0)
	quicktest.Check(t, a.Judge(&r, now.Add(v.RetryAfter)).Rank, quicktest.Equals, 1, quicktest.Commentf("each refusal counts once"))
	r.GoesOn = true
	quicktest.Check(t, a.Judge(&r, now).Rank, quicktest.Equals, 0, quicktest.Commentf("its first part is with the client"))
}

// TestDecide checks the first rule, its exceptions, and the use of a state that is too old or too new.
func TestDecide(t *testing.T) {
	base := admitter.Input{
		Predicted: time.Second, Wait: 900 * time.Millisecond, Remaining: 3 * time.Second, Promised: 300 * time.Millisecond, Pressure: 3,
		Offered: 4, Position: 0.9,
	}
	for name, tc := range map[string]struct {
		change func(*admitter.Input)
		reason admitter.Reason
	}{
		"pressure":                   {func(*admitter.Input) {}, admitter.LessUrgent},
		"most urgent":                {func(in *admitter.Input) { in.Position = 0 }, ""},
		"out of time":                {func(in *admitter.Input) { in.Position, in.Remaining = 0, 900*time.Millisecond }, admitter.OutOfTime},
		"out of time, at start":      {func(in *admitter.Input) { in.Starting, in.Remaining = true, 900*time.Millisecond }, admitter.OutOfTime},
		"at start":                   {func(in *admitter.Input) { in.Starting = true }, ""},
		"targets idle":               {func(in *admitter.Input) { in.Idle = true }, ""},
		"out of time, targets idle":  {func(in *admitter.Input) { in.Idle, in.Remaining = true, 0 }, ""},
		"loads are old":              {func(in *admitter.Input) { in.LoadAge = 2100 * time.Millisecond }, ""},
		"out of time, loads are old": {func(in *admitter.Input) { in.LoadAge, in.Remaining = 2100*time.Millisecond, 900*time.Millisecond }, admitter.OutOfTime},
		"pressure is old":            {func(in *admitter.Input) { in.PressureAge = 2100 * time.Millisecond }, ""},
		"no overload":                {func(in *admitter.Input) { in.Offered, in.Pressure = 0.5, 0.9 }, ""},
		"no wait":                    {func(in *admitter.Input) { in.Pressure = 0.2 }, ""},
	} {
		in := base
		tc.change(&in)
		quicktest.Check(t, admitter.Decide(&in).Reason, quicktest.Equals, tc.reason, quicktest.Commentf(name))
	}
}

// TestAdmittedShare guards against steps: with rising pressure the share falls, by at most a tenth for each hundredth.
func TestAdmittedShare(t *testing.T) {
	last := 1.0
	for p := 0.0; p < 5; p += 0.01 {
		share := admitter.AdmittedShare(&admitter.Input{Pressure: p, Promised: time.Second, Offered: 4})
		quicktest.Check(t, share <= last && share > last-0.1 && share > 0, quicktest.IsTrue, quicktest.Commentf("%.2f: %f", p, share))
		last = share
	}
}

// TestRetryAfterIsTrue guards against a Retry-After before which nothing changes: once the wait has fallen by it, a client with a new
// deadline is admitted.
func TestRetryAfterIsTrue(t *testing.T) {
	for _, in := range []admitter.Input{
		{Predicted: 1100 * time.Millisecond, Wait: time.Second, Remaining: 6 * time.Second, Promised: time.Second, Pressure: 1, Offered: 5, Position: 0.9},
		{Predicted: 3 * time.Second, Wait: 2900 * time.Millisecond, Remaining: 2500 * time.Millisecond, Promised: time.Second, Pressure: 3, Offered: 5},
	} {
		d := admitter.Decide(&in)
		quicktest.Assert(t, d.Reason, quicktest.Not(quicktest.Equals), admitter.Reason(""))
		later := in
		later.Predicted, later.Wait = in.Predicted-d.RetryAfter, in.Wait-d.RetryAfter
		later.Pressure = later.Wait.Seconds() / in.Promised.Seconds()
		quicktest.Check(t, admitter.Decide(&later).Reason, quicktest.Equals, admitter.Reason(""), quicktest.Commentf("%s after %v", d.Reason, d.RetryAfter))
	}
}

// TestRetryAfterIsSpread guards against clients that return together because the limit of a third of the time left cuts the random
// part of their Retry-After off.
func TestRetryAfterIsSpread(t *testing.T) {
	least, most := time.Hour, time.Duration(0)
	for i := range 100 {
		a, r, now := pressed()
		r.ID, r.Rank, r.Remaining = identifier.RequestID(fmt.Sprint("spread", i)), 2, 3300*time.Millisecond
		v := a.Judge(&r, now)
		quicktest.Assert(t, v.Reason, quicktest.Equals, admitter.LessUrgent)
		quicktest.Check(t, v.RetryAfter <= 1100*time.Millisecond, quicktest.IsTrue)
		least, most = min(least, v.RetryAfter), max(most, v.RetryAfter)
	}
	quicktest.Check(t, most > least*14/10, quicktest.IsTrue, quicktest.Commentf("%v to %v", least, most))
}
