package calibrator_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/frankban/quicktest"

	"github.com/coltsfootscale/coltsfootscale/internal/calibrator"
	"github.com/coltsfootscale/coltsfootscale/internal/chooser"
	"github.com/coltsfootscale/coltsfootscale/internal/registrar"
	"github.com/coltsfootscale/coltsfootscale/pkg/identifier"
)

var start = time.Unix(1000, 0)

// customer describes the engines of a deployment and the load on them.
type customer struct {
	fixed    time.Duration
	perToken time.Duration
	// slow is how much longer a third of the engines take, and spans whether 15 % take 2.5 times as long for spans of 600 ms,
	// which they report.
	slow  float64
	spans bool
	// slowFixed is set if the fixed time is longer at slow engines, too.
	slowFixed bool
}

var customers = map[string]customer{
	"FirstCustomer": {fixed: 27 * time.Millisecond, perToken: 29 * time.Microsecond, slow: 1},
	"A":             {fixed: 30 * time.Millisecond, perToken: 32 * time.Microsecond, slow: 1},
	"B":             {fixed: 107 * time.Millisecond, perToken: 25 * time.Microsecond, slow: 1},
	"C":             {fixed: 30 * time.Millisecond, perToken: 7800 * time.Nanosecond, slow: 1.8, spans: true},
	"CWholeCall":    {fixed: 30 * time.Millisecond, perToken: 7800 * time.Nanosecond, slow: 1.8, spans: true, slowFixed: true},
}

// engine is a small fake of an engine that prefills prompts one after the other.
type engine struct {
	target registrar.Target
	factor float64
	busy   time.Time
	seed   uint64
	served float64
}

// slowness returns the momentary slowness of an engine's machine.
func (c *customer) slowness(e *engine, now time.Time) float64 {
	span := uint64(now.Sub(start) / (600 * time.Millisecond))
	if c.spans && rand.New(rand.NewPCG(e.seed, span)).Float64() < 0.15 {
		return 2.5
	}
	return 1
}

// links describes how instances learn from each other: the time between two exchanges, and the jitter of choices that goes with
// it. In a full mesh that is 250 ms; through hubs, a status takes up to 1 s and more.
type links struct{ interval, jitter time.Duration }

var (
	mesh = links{250 * time.Millisecond, 10 * time.Millisecond}
	hubs = links{time.Second, 80 * time.Millisecond}
)

// arrival is the end of a call that an instance observes.
type arrival struct {
	at       time.Time
	instance int
	engine   *engine
	tokens   identifier.Tokens
	took     time.Duration
	idle     bool
	end      func()
}

// fleet is a number of instances that send prompts to the engines of a customer and exchange loads and what
// they learn.
type fleet struct {
	links
	customer  customer
	engines   []*engine
	instances []*calibrator.Calibrator
	states    []*chooser.TargetStates
	random    *rand.Rand
	ends      []arrival
	now       time.Time
	// ratios holds measured over predicted times by size of prompt.
	ratios map[identifier.Tokens][]float64
	offset []uint64
}

// sizes are the tokens that a prompt has to read: from repeated prompts, of which nearly all is cached, to the largest.
var sizes = []identifier.Tokens{200, 1460, 4000, 9200, 17000, 40000}

func newFleet(c customer, engines, instances int, seed uint64) *fleet {
	f := &fleet{links: mesh, customer: c, random: rand.New(rand.NewPCG(seed, 1)), now: start, ratios: map[identifier.Tokens][]float64{}, offset: make([]uint64, instances)}
	for i := range engines {
		e := &engine{factor: 1, seed: uint64(i)}
		if i%3 == 0 {
			e.factor = c.slow
		}
		e.target = registrar.Target{ID: identifier.TargetID(fmt.Sprint("t", i)), Service: "s", Zone: "z", Stage: registrar.Prompts, Slots: 128}
		f.engines = append(f.engines, e)
	}
	for range instances {
		model := &calibrator.Calibrator{}
		f.instances = append(f.instances, model)
		f.states = append(f.states, &chooser.TargetStates{Model: model})
	}
	return f
}

func (f *fleet) targets() []*registrar.Target {
	var list []*registrar.Target
	for _, e := range f.engines {
		list = append(list, &e.target)
	}
	return list
}

// send lets an instance choose an engine for a prompt.
func (f *fleet) send(instance int, tokens identifier.Tokens) {
	parts := []chooser.Part{{ID: identifier.PartID(f.random.Uint64()), Tokens: tokens}}
	jitter := chooser.Jitter{Seed: f.random.Uint64(), MaximumJitter: f.jitter}
	choice, _ := chooser.PromptTarget(&chooser.Prompt{Zone: "z", Parts: parts, Jitter: jitter}, f.states[instance].Candidates(f.targets(), parts, f.now))
	e := f.engines[slices.IndexFunc(f.engines, func(e *engine) bool { return e.target.ID == choice.Target.ID })]
	work := time.Duration(float64(f.customer.perToken) * float64(tokens) * e.factor * f.customer.slowness(e, f.now) * math.Exp(0.05*f.random.NormFloat64()))
	if f.random.Float64() < 0.1 {
		work = time.Duration(float64(work) * (2 + f.random.Float64()))
	}
	begin := f.now
	if e.busy.After(begin) {
		begin = e.busy
	}
	e.busy = begin.Add(work)
	e.served += float64(tokens)
	fixed := f.customer.fixed
	if f.customer.slowFixed {
		fixed = time.Duration(float64(fixed) * e.factor)
	}
	took := e.busy.Add(fixed).Sub(f.now)
	if choice.Idle {
		f.ratios[tokens] = append(f.ratios[tokens], took.Seconds()/choice.Predicted.Seconds())
	}
	f.ends = append(f.ends, arrival{
		at: f.now.Add(took), instance: instance, engine: e, tokens: tokens, took: took, idle: choice.Idle,
		end: f.states[instance].Begin(e.target.ID, chooser.Load{PromptTokens: tokens}, f.now),
	})
}

// observe lets the instances observe the calls that have ended.
func (f *fleet) observe() {
	f.ends = slices.DeleteFunc(f.ends, func(a arrival) bool {
		if a.at.After(f.now) {
			return false
		}
		a.end()
		model := f.instances[a.instance]
		if f.customer.spans {
			model.ObserveLoad(&a.engine.target, calibrator.Load{Slots: 128, Slowness: f.customer.slowness(a.engine, a.at)}, f.now)
		}
		if a.idle {
			model.ObservePrefill(&a.engine.target, a.tokens, a.took, f.now)
		}
		return true
	})
}

// exchange lets all instances report to each other, as in a full mesh.
func (f *fleet) exchange() {
	for from, model := range f.instances {
		sums := model.ReportSums(calibrator.Own, f.now)
		entries, next := model.Report(f.offset[from], calibrator.Own, f.now)
		f.offset[from] = next
		loads := f.states[from].Local()
		for to, peer := range f.instances {
			if to == from {
				continue
			}
			f.states[to].UpdatePeer(fmt.Sprint(from), loads, f.now)
			for _, s := range sums {
				peer.MergeSums(fmt.Sprint(from), false, s, f.now)
			}
			for _, e := range entries {
				peer.Merge(fmt.Sprint(from), false, e, f.now)
			}
		}
	}
}

// run sends the given number of prompts per second and instance.
func (f *fleet) run(rate float64, span time.Duration) {
	const step = 10 * time.Millisecond
	for end := f.now.Add(span); f.now.Before(end); f.now = f.now.Add(step) {
		for i := range f.instances {
			if f.random.Float64() < rate*step.Seconds() {
				f.send(i, sizes[f.random.IntN(len(sizes))])
			}
		}
		f.observe()
		if f.now.Sub(start)%f.interval == 0 {
			f.exchange()
		}
	}
}

// mostOfShare returns the most that an engine has served, as a multiple of its share by capacity.
func (f *fleet) mostOfShare() float64 {
	total, capacity, most := 0.0, 0.0, 0.0
	for _, e := range f.engines {
		total += e.served
		capacity += 1 / e.factor
	}
	for _, e := range f.engines {
		most = max(most, e.served/total/(1/e.factor/capacity))
	}
	return most
}

func median(list []float64) float64 {
	sorted := slices.Sorted(slices.Values(list))
	return sorted[len(sorted)/2]
}

// TestPredictions lets 12 instances, each with 3 prompts a second, learn the engines of each customer: after 5 s, measured over
// predicted times are within 25 % in the median at every size of prompt. It guards against predictions with the engines of
// another customer.
func TestPredictions(t *testing.T) { testPredictions(t, mesh, 3) }

// TestPredictionsThroughHubs is TestPredictions with news that are up to a second old, and 2 prompts a second. More calls then
// meet queues that nobody knew of; targets that met some must not look slow for it.
func TestPredictionsThroughHubs(t *testing.T) { testPredictions(t, hubs, 2) }

func testPredictions(t *testing.T, l links, rate float64) {
	for name, c := range customers {
		for seed := range uint64(8) {
			f := newFleet(c, 30, 12, seed)
			f.links = l
			f.run(rate, 5*time.Second)
			f.ratios = map[identifier.Tokens][]float64{}
			f.run(rate, 20*time.Second)
			for _, size := range sizes {
				ratio := median(f.ratios[size])
				t.Logf("%s seed %d, %d tokens: median ratio %.2f of %d", name, seed, size, ratio, len(f.ratios[size]))
				quicktest.Check(t, ratio > 0.75 && ratio < 1.25, quicktest.IsTrue, quicktest.Commentf("%s, seed %d, %d tokens: median ratio %.2f", name, seed, size, ratio))
			}
		}
	}
}

// TestUnequalTargetsShareWork lets engines of unequal speed serve half of what they can: none gets more than 1.5 times its
// share by capacity.
func TestUnequalTargetsShareWork(t *testing.T) { testShares(t, mesh) }

// TestUnequalTargetsShareWorkThroughHubs is TestUnequalTargetsShareWork with news that are up to a second old.
func TestUnequalTargetsShareWorkThroughHubs(t *testing.T) { testShares(t, hubs) }

func testShares(t *testing.T, l links) {
	for seed := range uint64(6) {
		c := customers["C"]
		c.slowFixed = seed >= 3
		f := newFleet(c, 12, 10, seed)
		f.links = l
		f.run(4, 5*time.Second)
		for _, e := range f.engines {
			e.served = 0
		}
		f.run(4, 120*time.Second)
		most := f.mostOfShare()
		t.Logf("seed %d: most %.2f times the share by capacity", seed, most)
		quicktest.Check(t, most <= 1.5, quicktest.IsTrue, quicktest.Commentf("seed %d: %.2f times its share", seed, most))
	}
}

// TestUnequalTargetsShareAnswers lets engines of unequal speed generate answers, at a pace that falls with their batch: none gets
// more than 1.5 times its share by capacity.
func TestUnequalTargetsShareAnswers(t *testing.T) {
	const events = 60
	for seed := range uint64(3) {
		f := newFleet(customers["C"], 12, 10, seed)
		batch := map[*engine]int{}
		type answer struct {
			engine *engine
			end    func()
		}
		ending := map[time.Time][]answer{}
		send := func(instance int) {
			jitter := chooser.Jitter{Seed: f.random.Uint64(), MaximumJitter: f.jitter}
			choice, _ := chooser.AnswerTarget("z", jitter, f.states[instance].Candidates(f.targets(), nil, f.now))
			e := f.engines[slices.IndexFunc(f.engines, func(e *engine) bool { return e.target.ID == choice.Target.ID })]
			batch[e]++
			e.served++
			pace := e.factor * f.customer.slowness(e, f.now) * (1 + float64(batch[e])/64) * math.Exp(0.05*f.random.NormFloat64())
			gap := time.Duration(20 * pace * float64(time.Millisecond))
			begin, done := f.states[instance].Begin(e.target.ID, chooser.Load{Answers: 1}, f.now), f.now.Add(events*gap).Truncate(10*time.Millisecond)
			ending[done] = append(ending[done], answer{e, func() {
				begin()
				f.instances[instance].ObserveLoad(&e.target, calibrator.Load{Slots: 128, Slowness: f.customer.slowness(e, f.now)}, f.now)
				f.instances[instance].ObserveAnswer(&e.target, gap, f.now)
			}})
		}
		for f.now = start; f.now.Sub(start) < 40*time.Second; f.now = f.now.Add(10 * time.Millisecond) {
			if f.now.Sub(start) == 10*time.Second {
				for _, e := range f.engines {
					e.served = 0
				}
			}
			for i := range f.instances {
				if f.random.Float64() < 0.15 {
					send(i)
				}
			}
			for _, a := range ending[f.now] {
				batch[a.engine]--
				a.end()
			}
			if f.now.Sub(start)%f.interval == 0 {
				f.exchange()
			}
		}
		most := f.mostOfShare()
		t.Logf("seed %d: most %.2f times the share by capacity", seed, most)
		quicktest.Check(t, most <= 1.5, quicktest.IsTrue, quicktest.Commentf("seed %d: %.2f times its share", seed, most))
	}
}

// measured returns a calibrator that has learned targets of 30 ms + 10 us per token, t0 among them.
func measured(targets int) (*calibrator.Calibrator, []*registrar.Target, time.Time) {
	f := newFleet(customer{slow: 1}, targets, 1, 1)
	c, now := f.instances[0], start
	for range 12 {
		now = now.Add(200 * time.Millisecond)
		for _, t := range f.targets() {
			for _, tokens := range []identifier.Tokens{1000, 20000} {
				c.ObservePrefill(t, tokens, 30*time.Millisecond+time.Duration(tokens)*10*time.Microsecond, now)
			}
		}
	}
	return c, f.targets(), now
}

func milliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

// TestZeroValue checks the defaults, and that the measurements of engines like the first customer's leave them nearly unchanged.
// It guards against earlier deployments being served differently.
func TestZeroValue(t *testing.T) {
	var c calibrator.Calibrator
	target := &registrar.Target{ID: "t", Service: "s"}
	quicktest.Check(t, c.Prefill(target, 36_700, start).Round(time.Microsecond), quicktest.Equals, 1025*time.Millisecond)
	quicktest.Check(t, c.Plain(target, start), quicktest.Equals, 20*time.Millisecond)
	quicktest.Check(t, math.Abs(c.EngineRate("s")-36_700) < 1, quicktest.IsTrue)
	for _, perToken := range []time.Duration{27 * time.Microsecond, 32 * time.Microsecond} {
		for _, fixed := range []time.Duration{25 * time.Millisecond, 30 * time.Millisecond} {
			f := newFleet(customer{fixed: fixed, perToken: perToken, slow: 1}, 15, 8, 1)
			f.run(2, 20*time.Second)
			for _, tokens := range sizes {
				ratio := float64(f.instances[0].Prefill(&f.engines[0].target, tokens, f.now)) / float64(c.Prefill(target, tokens, start))
				quicktest.Check(t, ratio > 0.75 && ratio < 1.25, quicktest.IsTrue, quicktest.Commentf("%s, %s per token, %d tokens: %.2f of the default", fixed, perToken, tokens, ratio))
			}
			rate := f.instances[0].EngineRate("s")
			quicktest.Check(t, rate > 0.75*36_700 && rate < 1.25*36_700, quicktest.IsTrue, quicktest.Commentf("rate %.0f", rate))
		}
	}
}

// TestLyingTarget lets one of ten targets claim absurd slowness and take absurd times: its own factor stays within bounds, and the
// predictions of the others within the 25 % of the goal.
func TestLyingTarget(t *testing.T) {
	for _, took := range []time.Duration{time.Nanosecond, 59 * time.Minute, 48 * time.Hour, -time.Second} {
		c, targets, now := measured(10)
		before := c.Prefill(targets[1], 10_000, now)
		for _, slowness := range []float64{-1, 1e9, math.Inf(1), math.NaN(), 1e-9} {
			c.ObserveLoad(targets[0], calibrator.Load{Slots: 1, Slowness: slowness}, now)
			for range 4 {
				c.ObservePrefill(targets[0], 10_000, took, now)
			}
		}
		after := float64(c.Prefill(targets[1], 10_000, now)) / float64(before)
		quicktest.Check(t, after > 0.75 && after < 1.25, quicktest.IsTrue, quicktest.Commentf("%s: others by %.3f", took, after))
		own := c.Capability(targets[0], now).PerToken / c.Capability(targets[1], now).PerToken
		quicktest.Check(t, own > 0.199 && own < 20.01, quicktest.IsTrue, quicktest.Commentf("%s: own factor %.2f", took, own))
	}
}

// TestNoisySample checks that one call that took a thousand times as long moves the predictions of its own target by less than 5 %.
func TestNoisySample(t *testing.T) {
	c, targets, now := measured(3)
	before := c.Prefill(targets[0], 10_000, now)
	c.ObservePrefill(targets[0], 10_000, time.Minute, now)
	ratio := float64(c.Prefill(targets[0], 10_000, now)) / float64(before)
	quicktest.Check(t, ratio > 0.95 && ratio < 1.05, quicktest.IsTrue, quicktest.Commentf("%.3f", ratio))
}

// TestReportedSlownessFades checks that a reported slowness counts in full for 300 ms and no more after a second, when the reports
// of a target stop: it would otherwise be avoided, or preferred, for as long as it is silent.
func TestReportedSlownessFades(t *testing.T) {
	c, targets, now := measured(3)
	usual := c.Prefill(targets[0], 10_000, now)
	for range 10 {
		c.ObserveLoad(targets[0], calibrator.Load{Slots: 1, Slowness: 1}, now)
	}
	c.ObserveLoad(targets[0], calibrator.Load{Slots: 1, Slowness: 2.5}, now)
	ratio := func(age time.Duration) float64 {
		return milliseconds(c.Prefill(targets[0], 10_000, now.Add(age))-30*time.Millisecond) / milliseconds(usual-30*time.Millisecond)
	}
	quicktest.Check(t, math.Abs(ratio(299*time.Millisecond)-2.5) < 0.1, quicktest.IsTrue, quicktest.Commentf("%.2f", ratio(299*time.Millisecond)))
	quicktest.Check(t, ratio(600*time.Millisecond) < 2.2, quicktest.IsTrue)
	quicktest.Check(t, math.Abs(ratio(time.Second)-1) < 0.1, quicktest.IsTrue, quicktest.Commentf("%.2f", ratio(time.Second)))
}

// TestUsualSlownessIsLearned lets a target always report 180: whether 100 means the usual of the target or that of its service,
// the prediction without a fresh report is what was measured.
func TestUsualSlownessIsLearned(t *testing.T) {
	c, targets, now := measured(6)
	for range 20 {
		now = now.Add(200 * time.Millisecond)
		c.ObserveLoad(targets[0], calibrator.Load{Slots: 1, Slowness: 1.8}, now)
		c.ObservePrefill(targets[0], 20_000, 390*time.Millisecond, now)
	}
	for _, age := range []time.Duration{0, 2 * time.Second} {
		predicted := milliseconds(c.Prefill(targets[0], 20_000, now.Add(age)))
		quicktest.Check(t, math.Abs(predicted-390) < 40, quicktest.IsTrue, quicktest.Commentf("after %s: %.0f ms", age, predicted))
	}
}

// TestRestartedTargetBeginsAnew checks that what was learned of an earlier incarnation, here or at a peer, does not count.
func TestRestartedTargetBeginsAnew(t *testing.T) {
	c, targets, now := measured(4)
	for range 10 {
		c.ObservePrefill(targets[0], 20_000, 900*time.Millisecond, now)
	}
	slow := c.Prefill(targets[0], 20_000, now)
	usual := c.Prefill(targets[1], 20_000, now)
	quicktest.Check(t, slow > 2*usual, quicktest.IsTrue)
	restarted := *targets[0]
	restarted.StartedAt = now
	quicktest.Check(t, c.Prefill(&restarted, 20_000, now), quicktest.Equals, usual)
	c.ObservePrefill(&restarted, 20_000, 230*time.Millisecond, now)
	c.Merge("peer", false, calibrator.Entry{Service: "s", Target: "t0", Kind: calibrator.PerToken, Seconds: 1e-3, Samples: 100}, now)
	ratio := float64(c.Prefill(&restarted, 20_000, now)) / float64(usual)
	quicktest.Check(t, ratio < 1.05, quicktest.IsTrue, quicktest.Commentf("%.2f", ratio))
}

// TestPeersAreForgotten checks that a peer's news count for ten seconds, and impossible ones not at all.
func TestPeersAreForgotten(t *testing.T) {
	c, targets, now := measured(4)
	c.Retain(targets, now)
	usual := c.Prefill(targets[0], 20_000, now)
	for _, v := range []float64{0, -1, math.NaN(), math.Inf(1), 1e9} {
		c.Merge("peer", false, calibrator.Entry{Service: "s", Target: "t0", Seconds: v, Samples: 100}, now)
		c.Merge("peer", false, calibrator.Entry{Service: "s", Target: "t0", Seconds: 1e-4, Samples: v - 1}, now)
		c.MergeSums("peer", false, calibrator.ServiceSums{Service: "s", Sums: calibrator.Sums{Samples: v, W: v, X: 1, XX: v, Y: v, XY: v}}, now)
	}
	c.Merge("peer", false, calibrator.Entry{Service: "s", Target: "t0", Kind: 99, Seconds: 1e-4, Samples: 100}, now)
	quicktest.Check(t, c.Prefill(targets[0], 20_000, now), quicktest.Equals, usual)
	c.Merge("peer", false, calibrator.Entry{Service: "s", Target: "t0", Seconds: 5e-5, Samples: 100}, now)
	quicktest.Check(t, c.Prefill(targets[0], 20_000, now) > 3*usual, quicktest.IsTrue)
	later := now.Add(11 * time.Second)
	c.Retain(targets, later)
	ratio := float64(c.Prefill(targets[0], 20_000, later)) / float64(usual)
	quicktest.Check(t, ratio < 1.05, quicktest.IsTrue, quicktest.Commentf("%.2f", ratio))
	c.Retain(nil, later)
	quicktest.Check(t, c.Slowness(later), quicktest.HasLen, 0)
}

// TestPlainAndAnswers lets one of four targets take three times as long: it gets a longer prediction and a larger slowness.
func TestPlainAndAnswers(t *testing.T) {
	var c calibrator.Calibrator
	f := newFleet(customer{}, 4, 1, 1)
	for range 8 {
		for i, target := range f.targets() {
			d := 10 * time.Millisecond
			if i == 0 {
				d *= 3
			}
			c.ObservePlain(target, 5*d, start)
			c.ObserveAnswer(target, d, start)
		}
	}
	slow, usual := c.Capability(f.targets()[0], start), c.Capability(f.targets()[1], start)
	quicktest.Check(t, slow.Slowness > 2.2*usual.Slowness && slow.Slowness < 3.5*usual.Slowness, quicktest.IsTrue, quicktest.Commentf("%+v", slow))
	quicktest.Check(t, slow.Plain > 110*time.Millisecond && usual.Plain > 40*time.Millisecond && usual.Plain < 60*time.Millisecond, quicktest.IsTrue, quicktest.Commentf("%+v %+v", slow, usual))
}

// TestReportsAreBounded checks that a message holds at most 256 estimates, that the next ones hold the rest, and that none is
// repeated without a change.
func TestReportsAreBounded(t *testing.T) {
	c, targets, now := measured(300)
	first, next := c.Report(0, calibrator.Own, now)
	second, next := c.Report(next, calibrator.Own, now)
	quicktest.Check(t, first, quicktest.HasLen, 256)
	quicktest.Check(t, second, quicktest.HasLen, 256)
	rest, next := c.Report(next, calibrator.Own, now)
	quicktest.Check(t, rest, quicktest.HasLen, 2*len(targets)-2*256)
	none, _ := c.Report(next, calibrator.Own, now)
	quicktest.Check(t, none, quicktest.HasLen, 0)
}

// TestScopes checks what a hub passes on: to other hubs nothing that a hub has reported, and what is its own to all.
func TestScopes(t *testing.T) {
	var c calibrator.Calibrator
	entry := func(id identifier.TargetID) calibrator.Entry {
		return calibrator.Entry{Service: "s", Target: id, Kind: calibrator.Gap, Seconds: 0.01, Samples: 2}
	}
	c.ObserveAnswer(&registrar.Target{ID: "own", Service: "s"}, 10*time.Millisecond, start)
	c.Merge("instance", false, entry("zone"), start)
	c.Merge("hub", true, entry("far"), start)
	ids := func(scope calibrator.Scope) (list []identifier.TargetID) {
		entries, _ := c.Report(0, scope, start)
		for _, e := range entries {
			if e.Target != "" {
				list = append(list, e.Target)
			}
		}
		return list
	}
	quicktest.Check(t, ids(calibrator.Own), quicktest.DeepEquals, []identifier.TargetID{"own"})
	quicktest.Check(t, ids(calibrator.FirstHand), quicktest.DeepEquals, []identifier.TargetID{"own", "zone"})
	quicktest.Check(t, ids(calibrator.All), quicktest.DeepEquals, []identifier.TargetID{"own", "zone", "far"})
}

// BenchmarkChoice measures a choice among 720 targets that all have been measured. The goal is 50 us.
func BenchmarkChoice(b *testing.B) {
	c, targets, now := measured(720)
	for _, target := range targets {
		c.ObserveLoad(target, calibrator.Load{Slots: 1, Slowness: 1.2}, now)
	}
	states := chooser.TargetStates{Model: c}
	p := &chooser.Prompt{Zone: "z", Parts: []chooser.Part{{ID: 1, Tokens: 13_300}, {ID: 2, Tokens: 3_700}}}
	b.ReportAllocs()
	for b.Loop() {
		candidates := states.Candidates(targets, p.Parts, now)
		chooser.PromptTarget(p, candidates)
		states.Release(candidates)
	}
}

// TestShortPlainCallsAreAlike lets one of two idle targets take 2 ms instead of 1: the other must not get all calls for that. A
// target that has started again got none, and limits of others stayed unused (platform tests).
func TestShortPlainCallsAreAlike(t *testing.T) {
	var c calibrator.Calibrator
	list := newFleet(customer{}, 2, 1, 1).targets()
	for range 8 {
		c.ObservePlain(list[0], 2*time.Millisecond, start)
		c.ObservePlain(list[1], time.Millisecond, start)
	}
	quicktest.Check(t, c.Plain(list[0], start), quicktest.Equals, c.Plain(list[1], start))
}

// TestOverflowingSumsAreNotKept checks that sums of a peer that overflow the fit do not outlast it: a line that is not a number would
// give all later samples weights that are not numbers either, and predictions would stay unusable.
func TestOverflowingSumsAreNotKept(t *testing.T) {
	c, targets, now := measured(4)
	usual := c.Prefill(targets[0], 20_000, now)
	c.MergeSums("peer", false, calibrator.ServiceSums{Service: "s", Sums: calibrator.Sums{Samples: 1, W: 1e300, X: 1e300, XX: 1e300, Y: 1e300, XY: 1e300}}, now)
	quicktest.Check(t, c.Prefill(targets[0], 20_000, now) > 0, quicktest.IsTrue)
	later := now.Add(11 * time.Second)
	c.Retain(targets, later)
	ratio := float64(c.Prefill(targets[0], 20_000, later)) / float64(usual)
	quicktest.Check(t, ratio > 0.95 && ratio < 1.05, quicktest.IsTrue, quicktest.Commentf("%.2f", ratio))
}
