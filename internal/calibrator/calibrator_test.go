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
}

var customers = map[string]customer{
	"FirstCustomer": {fixed: 27 * time.Millisecond, perToken: 29 * time.Microsecond, slow: 1},
	"A":             {fixed: 30 * time.Millisecond, perToken: 32 * time.Microsecond, slow: 1},
	"B":             {fixed: 107 * time.Millisecond, perToken: 25 * time.Microsecond, slow: 1},
	"C":             {fixed: 30 * time.Millisecond, perToken: 7800 * time.Nanosecond, slow: 1.8, spans: true},
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
// they learn every 250 ms, as in a full mesh.
type fleet struct {
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
	f := &fleet{customer: c, random: rand.New(rand.NewPCG(seed, 1)), now: start, ratios: map[identifier.Tokens][]float64{}, offset: make([]uint64, instances)}
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
	jitter := chooser.Jitter{Seed: f.random.Uint64(), MaximumJitter: 10 * time.Millisecond}
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
	e.served += work.Seconds() / e.factor
	took := e.busy.Add(f.customer.fixed).Sub(f.now)
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
		if f.now.Sub(start)%(250*time.Millisecond) == 0 {
			f.exchange()
		}
	}
}

func median(list []float64) float64 {
	sorted := slices.Sorted(slices.Values(list))
	return sorted[len(sorted)/2]
}

// TestPredictions lets 12 instances, each with 3 prompts a second, learn the engines of each customer: after 5 s, measured over
// predicted times are within 25 % in the median at every size of prompt. It guards against predictions with the engines of
// another customer.
func TestPredictions(t *testing.T) {
	for name, c := range customers {
		for seed := range uint64(3) {
			f := newFleet(c, 30, 12, seed)
			f.run(3, 5*time.Second)
			f.ratios = map[identifier.Tokens][]float64{}
			f.run(3, 20*time.Second)
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
func TestUnequalTargetsShareWork(t *testing.T) {
	for seed := range uint64(3) {
		c := customers["C"]
		f := newFleet(c, 12, 10, seed)
		f.run(4, 5*time.Second)
		for _, e := range f.engines {
			e.served = 0
		}
		f.run(4, 40*time.Second)
		total, capacity, most := 0.0, 0.0, 0.0
		for _, e := range f.engines {
			total += e.served
			capacity += 1 / e.factor
		}
		for _, e := range f.engines {
			most = max(most, e.served/total/(1/e.factor/capacity))
		}
		t.Logf("seed %d: most %.2f times the share by capacity", seed, most)
		quicktest.Check(t, most <= 1.5, quicktest.IsTrue, quicktest.Commentf("seed %d: %.2f times its share", seed, most))
	}
}
