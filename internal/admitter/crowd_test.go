package admitter_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/coltsfootscale/coltsfootscale/internal/admitter"
	"github.com/coltsfootscale/coltsfootscale/pkg/identifier"
)

// The crowd is a service whose targets answer one request at a time in the order of arrival, and whose deciding instances know their
// own work at once and that of the others from half a second to a second late.

const (
	crowdEngines   = 60
	crowdInstances = 77
	// crowdRate is the rate of requests on a quiet day, and crowdFixed and crowdToken the work of one, as measured on deployment B.
	crowdRate  = 205.0
	crowdFixed = 107 * time.Millisecond
	crowdToken = 25 * time.Microsecond
	// crowdTokens is the mean number of tokens to prefill.
	crowdTokens = 2000.0
	crowdTick   = 5 * time.Millisecond
	crowdEnd    = 30 * time.Second
	// reportInterval is the time between the statuses of an instance, and reportDelay their way to all others.
	reportInterval = 500 * time.Millisecond
	reportDelay    = 500 * time.Millisecond
	// noticedAfter is the time until a silent target is known to be unreachable, and triedElsewhereAfter that until an attempt at one
	// is repeated.
	noticedAfter        = 850 * time.Millisecond
	triedElsewhereAfter = 200 * time.Millisecond
)

var (
	crowdPromised  = []time.Duration{800 * time.Millisecond, 1200 * time.Millisecond, 3 * time.Second}
	crowdDeadlines = []time.Duration{3 * time.Second, 4 * time.Second, 5 * time.Second}
	crowdWorth     = []float64{4, 2, 1}
	crowdStart     = time.Unix(1000, 0)
)

// scenario is what happens to the crowd.
type scenario struct {
	seed uint64
	// factor multiplies the traffic from 4 to 18 s; dark is the share of the targets that are silent from 6 to 16 s.
	factor float64
	dark   float64
	// cutOff is the number of instances that get no status from 5 to 20 s.
	cutOff int
	// open switches admission control off.
	open bool
	// noReports is set if no instance hears of another.
	noReports bool
}

// job is one client request.
type job struct {
	id       identifier.RequestID
	rank     int
	team     identifier.TeamID
	instance int
	work     time.Duration
	arrival  time.Duration
	deadline time.Duration
	// returning is set on its second arrival, after a refusal that was to end at returnAt.
	returning bool
	judged    bool
	sentAt    time.Duration
	// outcome is served, refused or late: its deadline passed while it waited at a target.
	outcome string
	// believed is the wait that was known to its instance at its last send, and trueWait the actual one.
	believed time.Duration
	trueWait time.Duration
	// hitDark is set if its target went silent under it.
	hitDark bool
}

// crowd is one run.
type crowd struct {
	scenario
	rng       *rand.Rand
	now       time.Duration
	admitters []*admitter.Admitter
	// own is the work in flight by instance and target; reported is that of the last status that has arrived, sum its total.
	own      [][]time.Duration
	reported [][]time.Duration
	sum      []time.Duration
	known    time.Duration
	queues   [][]*job
	running  []*job
	freeAt   []time.Duration
	pending  []event
	jobs     []*job
	refusals []refusal
}

// refusal is one refusal, with its Retry-After and the time that was left.
type refusal struct {
	instance        int
	at, after, left time.Duration
}

// event is something that happens later.
type event struct {
	at time.Duration
	do func()
}

func newCrowd(s scenario) *crowd {
	c := &crowd{scenario: s, rng: rand.New(rand.NewPCG(s.seed, 7)), queues: make([][]*job, crowdEngines), running: make([]*job, crowdEngines),
		freeAt: make([]time.Duration, crowdEngines), sum: make([]time.Duration, crowdEngines)}
	for range crowdInstances {
		c.admitters = append(c.admitters, &admitter.Admitter{})
		c.own = append(c.own, make([]time.Duration, crowdEngines))
		c.reported = append(c.reported, make([]time.Duration, crowdEngines))
	}
	return c
}

func (c *crowd) isDark(engine int, at time.Duration) bool {
	return at >= 6*time.Second && at < 16*time.Second && engine < int(c.dark*crowdEngines)
}

// knownDark reports whether instances know that a target cannot be reached.
func (c *crowd) knownDark(engine int) bool {
	return c.isDark(engine, c.now-noticedAfter) || c.isDark(engine, c.now) && c.now-6*time.Second >= noticedAfter
}

func (c *crowd) after(d time.Duration, do func()) {
	c.pending = append(c.pending, event{c.now + d, do})
}

// run lets the day pass.
func (c *crowd) run() *crowd {
	for c.now = 0; c.now < crowdEnd; c.now += crowdTick {
		if c.now%reportInterval == 0 {
			c.report()
		}
		due := c.pending
		c.pending = nil
		for _, e := range due {
			if e.at <= c.now {
				e.do()
			} else {
				c.pending = append(c.pending, e)
			}
		}
		rate := crowdRate
		if c.now >= 4*time.Second && c.now < 18*time.Second {
			rate *= c.factor
		}
		if c.now < 24*time.Second {
			for range c.poisson(rate * crowdTick.Seconds()) {
				c.arrive()
			}
		}
		for e := range crowdEngines {
			c.serve(e)
		}
	}
	return c
}

func (c *crowd) poisson(mean float64) int {
	limit, product, n := math.Exp(-mean), c.rng.Float64(), 0
	for product > limit {
		product *= c.rng.Float64()
		n++
	}
	return n
}

// report sends the status of all instances, which arrives after reportDelay.
func (c *crowd) report() {
	var snapshot [][]time.Duration
	for _, own := range c.own {
		snapshot = append(snapshot, slices.Clone(own))
	}
	at := c.now
	c.after(reportDelay, func() {
		c.reported, c.known = snapshot, at
		for e := range crowdEngines {
			c.sum[e] = 0
			for i := range snapshot {
				c.sum[e] += snapshot[i][e]
			}
		}
	})
}

func (c *crowd) arrive() {
	rank := c.rng.IntN(len(crowdPromised))
	tokens := crowdTokens * math.Exp(c.rng.NormFloat64()-0.5)
	j := &job{
		id: identifier.RequestID(fmt.Sprint(len(c.jobs), "-", c.rng.Uint64())), rank: rank, team: identifier.TeamID(fmt.Sprint(c.rng.IntN(79))),
		instance: c.rng.IntN(crowdInstances), work: crowdFixed + time.Duration(tokens*float64(crowdToken)), arrival: c.now,
		deadline: c.now + crowdDeadlines[rank],
	}
	c.jobs = append(c.jobs, j)
	c.send(j)
}

// wait returns what an instance believes of the wait at a target.
func (c *crowd) wait(instance, engine int) time.Duration {
	if c.cutOffNow(instance) {
		return c.own[instance][engine]
	}
	return c.sum[engine] - c.reported[instance][engine] + c.own[instance][engine]
}

func (c *crowd) cutOffNow(instance int) bool {
	return c.noReports || instance < c.cutOff && c.now >= 5*time.Second && c.now < 20*time.Second
}

func (c *crowd) loadAge(instance int) time.Duration {
	if c.noReports {
		return time.Hour
	}
	if c.cutOffNow(instance) {
		return c.now - 5*time.Second
	}
	return c.now - c.known - reportDelay
}

// send chooses the target with the least wait, with a jitter for the age of the loads, and sends the request if it is admitted.
func (c *crowd) send(j *job) {
	best, bestCost, capacity, free := -1, time.Duration(0), 0, 0
	total := time.Duration(0)
	for e := range crowdEngines {
		if !c.knownDark(e) {
			capacity++
			total += c.wait(j.instance, e)
		}
	}
	mean := total / time.Duration(capacity)
	spread := time.Duration(0)
	if !c.open {
		spread = admitter.Spread(mean)
	}
	for e := range crowdEngines {
		if c.knownDark(e) {
			continue
		}
		w := c.wait(j.instance, e)
		if w == 0 {
			free++
		}
		if cost := w + time.Duration(c.rng.Int64N(int64(80*time.Millisecond))) - time.Duration(float64(spread)*-math.Log(c.rng.ExpFloat64())); best < 0 || cost < bestCost {
			best, bestCost = e, cost
		}
	}
	wait, idle := c.wait(j.instance, best), admitter.Idle(free, capacity)
	if !c.open {
		v := c.admitters[j.instance].Judge(&admitter.Request{
			ID: j.id, Service: "s", Route: identifier.RouteID(fmt.Sprint("r", j.rank)), Team: j.team, Rank: j.rank,
			Predicted: wait + j.work, Alone: j.work, MeanWait: mean, Remaining: j.deadline - c.now, Promised: crowdPromised[j.rank],
			LoadAge: c.loadAge(j.instance), Idle: idle, Capacity: capacity, Instances: crowdInstances, Repeated: j.judged,
		}, crowdStart.Add(c.now))
		j.judged = true
		if v.Reason != "" {
			c.refuse(j, v)
			return
		}
	}
	j.sentAt = c.now
	c.own[j.instance][best] += j.work
	j.believed = wait
	j.trueWait = max(0, c.freeAt[best]-c.now)
	for _, q := range c.queues[best] {
		j.trueWait += q.work
	}
	if c.isDark(best, c.now) {
		j.hitDark = true
		c.after(triedElsewhereAfter, func() {
			c.own[j.instance][best] -= j.work
			c.send(j)
		})
		return
	}
	j.hitDark = false
	c.queues[best] = append(c.queues[best], j)
}

// refuse ends a request, or lets its client return once.
func (c *crowd) refuse(j *job, v admitter.Verdict) {
	c.refusals = append(c.refusals, refusal{j.instance, c.now, v.RetryAfter, j.deadline - c.now})
	j.outcome = "refused"
	if j.returning {
		return
	}
	c.after(v.RetryAfter, func() {
		j.outcome, j.returning, j.judged = "", true, false
		c.send(j)
	})
}

// serve lets a target go on with its work.
func (c *crowd) serve(e int) {
	if c.isDark(e, c.now) {
		// Its clients try elsewhere; what ran is lost.
		lost := c.queues[e]
		if c.running[e] != nil {
			lost = append(lost, c.running[e])
		}
		c.queues[e], c.running[e], c.freeAt[e] = nil, nil, 0
		for _, j := range lost {
			j.hitDark = true
			c.after(triedElsewhereAfter, func() {
				c.own[j.instance][e] -= j.work
				c.send(j)
			})
		}
		return
	}
	c.queues[e] = slices.DeleteFunc(c.queues[e], func(j *job) bool {
		if j.deadline > c.now {
			return false
		}
		// Its instance ends the attempt.
		c.own[j.instance][e] -= j.work
		j.outcome = "late"
		return true
	})
	for c.now >= c.freeAt[e] {
		if j := c.running[e]; j != nil {
			c.own[j.instance][e] -= j.work
			j.outcome, c.running[e] = "served", nil
		}
		if len(c.queues[e]) == 0 {
			return
		}
		j := c.queues[e][0]
		c.queues[e] = c.queues[e][1:]
		if c.now+j.work > j.deadline {
			// The target sees the deadline and does not begin.
			c.own[j.instance][e] -= j.work
			j.outcome = "late"
			continue
		}
		c.running[e], c.freeAt[e] = j, max(c.freeAt[e], c.now-crowdTick)+j.work
	}
}

// served returns the share of the requests that were served among those for which a condition holds.
func (c *crowd) served(of func(*job) bool) float64 {
	n, served := 0, 0
	for _, j := range c.jobs {
		if of(j) {
			n++
			if j.outcome == "served" {
				served++
			}
		}
	}
	return float64(served) / float64(max(1, n))
}

// worth returns the worth of the work that was served, and the most that any schedule could serve: work of the more urgent ranks first,
// in the order of deadlines, divisible and at any target.
func (c *crowd) worth() (served, bound float64) {
	for _, j := range c.jobs {
		if j.outcome == "served" {
			served += crowdWorth[j.rank] * j.work.Seconds()
		}
	}
	for rank, worth := range crowdWorth {
		next := 0.0
		if rank+1 < len(crowdWorth) {
			next = crowdWorth[rank+1]
		}
		bound += (worth - next) * c.mostWork(rank)
	}
	return served, bound
}

// mostWork returns the most work, in seconds, of ranks up to the given one that can be done before its deadlines.
func (c *crowd) mostWork(rank int) float64 {
	type piece struct{ deadline, left time.Duration }
	var open []piece
	done, next := time.Duration(0), 0
	for now := time.Duration(0); now < crowdEnd; now += crowdTick {
		for ; next < len(c.jobs) && c.jobs[next].arrival <= now; next++ {
			if j := c.jobs[next]; j.rank <= rank {
				i, _ := slices.BinarySearchFunc(open, j.deadline, func(p piece, d time.Duration) int { return int(p.deadline - d) })
				open = slices.Insert(open, i, piece{j.deadline, j.work})
			}
		}
		budget := time.Duration(0)
		for e := range crowdEngines {
			if !c.isDark(e, now) {
				budget += crowdTick
			}
		}
		for len(open) > 0 && (budget > 0 || open[0].deadline <= now) {
			if open[0].deadline <= now {
				open = open[1:]
				continue
			}
			part := min(budget, open[0].left)
			done, budget, open[0].left = done+part, budget-part, open[0].left-part
			if open[0].left == 0 {
				open = open[1:]
			}
		}
	}
	return done.Seconds()
}
