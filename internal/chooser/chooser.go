package chooser

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/coltsfootscale/coltsfootscale/internal/registrar"
	"github.com/coltsfootscale/coltsfootscale/pkg/identifier"
)

// A prompt goes to the target with the lowest predicted time until it is prefilled. The prediction covers the prompt
// tokens queued at the target and the tokens of this prompt that it has not cached, at the target's own speed where that is
// measured. A target in another availability zone costs extra, and so does prefilling shared parts on a target that is not their
// owner by rendezvous hashing: this way instances agree even before they have received each other's gossip messages. An answer
// goes to the target with the fewest answers in its batch for its speed.

const (
	// crossZoneCost expresses the price of traffic between availability zones as time.
	crossZoneCost = 40 * time.Millisecond
	// nonOwnerFactor is the cost of prefilling shared parts on a target that is not their owner, and duplicateFactor
	// that of prefilling parts that another target has cached, both as a multiple of the prefill time: a part that two
	// targets cache takes up memory twice and evicts other parts.
	nonOwnerFactor  = 1.3
	duplicateFactor = 0.5
	// answerCost is how much one more answer slows down the rest of the batch on an engine of the usual speed. It only has to be
	// in proportion to the other costs of a choice.
	answerCost = 8 * time.Millisecond
	// warmUpCost is the cost of a target that has just started; it declines to zero in the last second of the warm-up.
	warmUpCost = 150 * time.Millisecond
	// failureCost is the cost of each point of the failure score.
	failureCost = 250 * time.Millisecond
	// fullCost is the cost of a target without a free slot for one more answer.
	fullCost = time.Second
	// AvoidanceCost is the surcharge of a target that is expected to refuse requests. It is below fullCost: avoiding is a
	// preference, and the target may be ready before that is known here.
	AvoidanceCost = 900 * time.Millisecond
)

// Part is a part of a prompt; two requests share their parts up to the first one that differs.
type Part struct {
	ID     identifier.PartID
	Tokens identifier.Tokens
}

// Load is work in flight at a target.
type Load struct {
	// PromptTokens is the number of tokens to prefill.
	PromptTokens identifier.Tokens
	Answers      int
	// AnswerTokens is the number of prompt tokens and maximum output tokens of the answers.
	AnswerTokens identifier.Tokens
}

// Candidate describes a target for a choice.
type Candidate struct {
	Target *registrar.Target
	// Load is the load over all instances, as far as peers have reported theirs.
	Load Load
	// Cached is the number of leading prompt tokens in the target's KV cache.
	Cached identifier.Tokens
	// FailureScore counts failures; it decays with failureHalfLife.
	FailureScore float64
	// Age is the time since this instance first saw the target.
	Age time.Duration
	// Surcharge is an additional cost.
	Surcharge time.Duration
	// Busy is set if a prompt target has just said that requests wait for it.
	Busy bool
	// Capability is what the target can do; the zero value stands for the defaults.
	Capability Capability
}

// Jitter adds a random cost of up to MaximumJitter to each target. It spreads the choices of instances that see the
// same loads, which are one or two gossip intervals old.
type Jitter struct {
	Seed          uint64
	MaximumJitter time.Duration
	// Spread is the scale of a further random cost, of Gumbel's distribution, for targets that all have queues.
	Spread time.Duration
}

func (j Jitter) offset(t *registrar.Target) time.Duration {
	if j.MaximumJitter <= 0 && j.Spread <= 0 {
		return 0
	}
	hash, offset := mixBits(j.Seed^xxhash.Sum64String(string(t.ID))), time.Duration(0)
	if j.MaximumJitter > 0 {
		offset = time.Duration(hash % uint64(j.MaximumJitter))
	}
	if j.Spread > 0 {
		offset += spreadOffset(mixBits(hash), j.Spread)
	}
	return offset
}

// Prompt describes a prompt for the choice of its target.
type Prompt struct {
	Zone   identifier.ZoneID
	Parts  []Part
	Jitter Jitter
}

// Tokens returns the number of tokens in all parts.
func (p *Prompt) Tokens() identifier.Tokens {
	total := identifier.Tokens(0)
	for _, part := range p.Parts {
		total += part.Tokens
	}
	return total
}

// sharedTokens returns the number of tokens in all parts but the last, which belongs to the request or its session.
func (p *Prompt) sharedTokens() identifier.Tokens {
	if len(p.Parts) == 0 {
		return 0
	}
	return p.Tokens() - p.Parts[len(p.Parts)-1].Tokens
}

func maximumCached(candidates []Candidate) identifier.Tokens {
	most := identifier.Tokens(0)
	for i := range candidates {
		most = max(most, candidates[i].Cached)
	}
	return most
}

// Choice is the chosen target with the prediction that decided it.
type Choice struct {
	Target    *registrar.Target
	Predicted time.Duration
	// Uncached is the number of prompt tokens that the target has to prefill.
	Uncached identifier.Tokens
	// Idle is set if the target had nothing to prefill before, as far as is known.
	Idle bool
}

// PromptTarget returns the target with the lowest cost for prefilling a prompt, or false without candidates.
func PromptTarget(p *Prompt, candidates []Candidate) (Choice, bool) {
	var best Choice
	var bestCost time.Duration
	total := p.Tokens()
	owner := ownerOf(p, candidates)
	mostCached := maximumCached(candidates)
	sharedTokens := p.sharedTokens()
	for i := range candidates {
		c := &candidates[i]
		can := c.Capability.withDefaults()
		choice := Choice{Target: c.Target, Uncached: max(0, total-c.Cached), Idle: c.idle()}
		choice.Predicted = can.Fixed + can.prefillTime(c.Load.PromptTokens+choice.Uncached)
		cost := choice.Predicted + penalty(c, p.Zone)
		// Most requests share the first parts. A target that has cached only these must not keep the rest from the owner.
		if mostCached >= sharedTokens {
			cost += time.Duration(duplicateFactor * float64(can.prefillTime(mostCached-c.Cached)))
		}
		if i != owner {
			cost += time.Duration(nonOwnerFactor * float64(can.prefillTime(max(0, sharedTokens-c.Cached))))
		}
		cost += p.Jitter.offset(c.Target)
		if best.Target == nil || cost < bestCost {
			best, bestCost = choice, cost
		}
	}
	return best, best.Target != nil
}

// AnswerTarget returns the target whose batch is slowed down least by another answer, or false without candidates.
func AnswerTarget(zone identifier.ZoneID, jitter Jitter, candidates []Candidate) (Choice, bool) {
	var best Choice
	var bestCost time.Duration
	for i := range candidates {
		c := &candidates[i]
		slowness := c.Capability.withDefaults().Slowness
		// A slow target costs more also for its first answer; at the usual speed that cancels out.
		cost := time.Duration(float64(c.Load.Answers)*slowness*float64(answerCost)+(slowness-1)*float64(answerCost)) +
			penalty(c, zone) + jitter.offset(c.Target)
		if c.Target.Slots > 0 && c.Load.Answers >= c.Target.Slots {
			cost += fullCost
		}
		if best.Target == nil || cost < bestCost {
			best, bestCost = Choice{Target: c.Target, Predicted: cost}, cost
		}
	}
	return best, best.Target != nil
}

// PlainTarget returns the target of a plain service that is predicted to answer first, by its speed and its queue for its slots,
// or false without candidates. The service time applies to targets whose speed is not known.
func PlainTarget(zone identifier.ZoneID, serviceTime time.Duration, candidates []Candidate) (Choice, bool) {
	var best Choice
	var bestCost time.Duration
	for i := range candidates {
		c := &candidates[i]
		slots := max(1, c.Target.Slots)
		duration := c.Capability.Plain
		if duration <= 0 {
			duration = serviceTime
		}
		wait := duration * time.Duration(c.Load.Answers) / time.Duration(slots)
		cost := wait + duration + penalty(c, zone)/8
		if best.Target == nil || cost < bestCost {
			best, bestCost = Choice{Target: c.Target, Predicted: wait + duration, Idle: c.Load.Answers < slots}, cost
		}
	}
	return best, best.Target != nil
}

// idle reports whether a prompt would find nothing to wait for, as far as is known.
func (c *Candidate) idle() bool { return c.Load.PromptTokens <= 0 && !c.Busy }

// penalty returns the cost of a target apart from its load.
func penalty(c *Candidate, zone identifier.ZoneID) time.Duration {
	cost := c.Surcharge + time.Duration(c.FailureScore*float64(failureCost))
	if c.Target.Zone != zone {
		cost += crossZoneCost
	}
	if warmUp := c.Target.WarmUpRemaining - c.Age; warmUp > 0 {
		cost += time.Duration(float64(warmUpCost) * min(1, warmUp.Seconds()))
	}
	return cost
}

// ownerOf returns the index of the candidate that owns the prompt by rendezvous hashing, or -1 without shared parts.
// All shared parts are hashed: the first ones alone may be common to most requests, which would then go to few targets.
func ownerOf(p *Prompt, candidates []Candidate) int {
	if len(p.Parts) < 2 {
		return -1
	}
	chain := uint64(0)
	for _, part := range p.Parts[:len(p.Parts)-1] {
		chain = mixBits(chain ^ uint64(part.ID))
	}
	best, highest := -1, uint64(0)
	for i := range candidates {
		weight := mixBits(chain ^ xxhash.Sum64String(string(candidates[i].Target.ID)))
		if best < 0 || weight > highest {
			best, highest = i, weight
		}
	}
	return best
}

// mixBits mixes the bits of a hash with the finalizer of SplitMix64.
func mixBits(x uint64) uint64 {
	x += 0x9e3779b97f4a7c15
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}
