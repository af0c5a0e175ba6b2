package chooser

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/coltsfootscale/coltsfootscale/internal/registrar"
	"github.com/coltsfootscale/coltsfootscale/pkg/identifier"
)

// A prompt goes to the target with the lowest predicted time until it is computed: the prompt tokens that are queued
// there, those of this prompt that the target does not hold, and the way to another availability zone. Parts that no
// target holds pull weakly towards one target by rendezvous hashing, so that instances that have not yet heard of each
// other's sends agree. An answer goes to the target with the fewest answers for its batch.

const (
	// promptTokensPerSecond is what an engine of the users' sheets computes.
	promptTokensPerSecond = 36_700
	// promptSetup is what each prompt takes besides its tokens.
	promptSetup = 25 * time.Millisecond
	// zoneCost weighs bytes between availability zones against time.
	zoneCost = 40 * time.Millisecond
	// strayPart is what a target other than the hashed one costs for shared parts that nobody holds, and rereadPart what
	// one costs for parts that another target holds, as a part of the time that it takes to compute them: they then
	// take up memory twice and push others out.
	strayPart  = 1.3
	rereadPart = 0.5
	// answerCost is what one more answer in the batch costs the others.
	answerCost = 8 * time.Millisecond
	// coldCost is what a target costs right after its start, less as it warms up.
	coldCost = 150 * time.Millisecond
	// sickCost is what each recent failure adds; failures fade with sickHalfLife.
	sickCost = 250 * time.Millisecond
)

// Part is a piece of a prompt; requests share pieces up to the first one that differs.
type Part struct {
	ID     identifier.PartID
	Tokens identifier.Tokens
}

// Load is the work in flight at a target, over all instances.
type Load struct {
	PromptTokens identifier.Tokens
	Answers      int
	AnswerTokens identifier.Tokens
}

// Candidate is what is known of a target.
type Candidate struct {
	Target *registrar.Target
	Load   Load
	// Cached is how many leading tokens of the prompt the target holds.
	Cached identifier.Tokens
	// FailureScore counts recent failures.
	FailureScore float64
	// Age is how long the target has been known here.
	Age time.Duration
}

// Jitter spreads the choices of instances that have seen the same loads, which are old by a beat or two: each adds a
// chance of up to Spread to a target's cost.
type Jitter struct {
	Seed    uint64
	Maximum time.Duration
}

func (d Jitter) chance(t *registrar.Target) time.Duration {
	if d.Maximum <= 0 {
		return 0
	}
	return time.Duration(mix(d.Seed^xxhash.Sum64String(string(t.ID))) % uint64(d.Maximum))
}

// Prompt is what the choice of a prompt target depends on.
type Prompt struct {
	Zone   identifier.ZoneID
	Parts  []Part
	Jitter Jitter
}

// Tokens sums the parts.
func (p *Prompt) Tokens() identifier.Tokens {
	total := identifier.Tokens(0)
	for _, part := range p.Parts {
		total += part.Tokens
	}
	return total
}

// shared sums the parts but the last one, which belongs to the request or its session.
func (p *Prompt) shared() identifier.Tokens {
	if len(p.Parts) == 0 {
		return 0
	}
	return p.Tokens() - p.Parts[len(p.Parts)-1].Tokens
}

func mostCached(candidates []Candidate) identifier.Tokens {
	most := identifier.Tokens(0)
	for i := range candidates {
		most = max(most, candidates[i].Cached)
	}
	return most
}

// Choice is a choice with the prediction that decided it.
type Choice struct {
	Target    *registrar.Target
	Predicted time.Duration
	// Uncached is how many tokens of the prompt the target has to compute.
	Uncached identifier.Tokens
}

// PromptTarget returns the target that computes a prompt soonest, or false without candidates.
func PromptTarget(p *Prompt, candidates []Candidate) (Choice, bool) {
	var best Choice
	var bestCost time.Duration
	total := p.Tokens()
	home := homeOf(p, candidates)
	held := mostCached(candidates)
	shared := p.shared()
	for i := range candidates {
		c := &candidates[i]
		v := Choice{Target: c.Target, Uncached: max(0, total-c.Cached)}
		v.Predicted = promptSetup + promptTime(c.Load.PromptTokens+v.Uncached)
		cost := v.Predicted + handicap(c, p.Zone)
		// A holder of only the first parts, which are common to most requests, is no reason not to read them at home.
		if held >= shared {
			cost += time.Duration(rereadPart * float64(promptTime(held-c.Cached)))
		}
		if i != home {
			cost += time.Duration(strayPart * float64(promptTime(max(0, shared-c.Cached))))
		}
		cost += p.Jitter.chance(c.Target)
		if best.Target == nil || cost < bestCost {
			best, bestCost = v, cost
		}
	}
	return best, best.Target != nil
}

// AnswerTarget returns the target whose batch suffers least, or false without candidates.
func AnswerTarget(zone identifier.ZoneID, draw Jitter, candidates []Candidate) (Choice, bool) {
	var best Choice
	var bestCost time.Duration
	for i := range candidates {
		c := &candidates[i]
		cost := time.Duration(c.Load.Answers)*answerCost + handicap(c, zone) + draw.chance(c.Target)
		if c.Target.Slots > 0 && c.Load.Answers >= c.Target.Slots {
			cost += time.Second
		}
		if best.Target == nil || cost < bestCost {
			best, bestCost = Choice{Target: c.Target, Predicted: cost}, cost
		}
	}
	return best, best.Target != nil
}

// PlainTarget returns the target of a plain service with the shortest queue for its slots, or false without candidates.
func PlainTarget(zone identifier.ZoneID, work time.Duration, candidates []Candidate) (Choice, bool) {
	var best Choice
	var bestCost time.Duration
	for i := range candidates {
		c := &candidates[i]
		slots := max(1, c.Target.Slots)
		wait := work * time.Duration(c.Load.Answers) / time.Duration(slots)
		cost := wait + handicap(c, zone)/8
		if best.Target == nil || cost < bestCost {
			best, bestCost = Choice{Target: c.Target, Predicted: wait + work}, cost
		}
	}
	return best, best.Target != nil
}

func promptTime(tokens identifier.Tokens) time.Duration {
	return time.Duration(float64(tokens) / promptTokensPerSecond * float64(time.Second))
}

// handicap is what speaks against a target besides its load.
func handicap(c *Candidate, zone identifier.ZoneID) time.Duration {
	cost := time.Duration(c.FailureScore * float64(sickCost))
	if c.Target.Zone != zone {
		cost += zoneCost
	}
	if cold := c.Target.WarmUpRemaining - c.Age; cold > 0 {
		cost += time.Duration(float64(coldCost) * min(1, cold.Seconds()))
	}
	return cost
}

// homeOf is the candidate that rendezvous hashing gives for all shared parts: the first ones alone may be common to
// most requests, and would lead them to few targets.
func homeOf(p *Prompt, candidates []Candidate) int {
	if len(p.Parts) < 2 {
		return -1
	}
	chain := uint64(0)
	for _, part := range p.Parts[:len(p.Parts)-1] {
		chain = mix(chain ^ uint64(part.ID))
	}
	best, highest := -1, uint64(0)
	for i := range candidates {
		weight := mix(chain ^ xxhash.Sum64String(string(candidates[i].Target.ID)))
		if best < 0 || weight > highest {
			best, highest = i, weight
		}
	}
	return best
}

// mix spreads the bits of a hash (the finalizer of SplitMix64).
func mix(x uint64) uint64 {
	x += 0x9e3779b97f4a7c15
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}
