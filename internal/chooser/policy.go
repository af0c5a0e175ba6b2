package chooser

import (
	"cmp"
	"slices"
	"sync/atomic"
	"time"

	"github.com/coltsfootscale/coltsfootscale/pkg/identifier"
)

// Policy names a way to choose targets.
type Policy string

// Policies. All but Predicted are baselines for measurements.
const (
	// Predicted chooses by predicted time, cached parts and availability zone.
	Predicted Policy = "Predicted"
	// RoundRobin takes the targets in turn.
	RoundRobin Policy = "RoundRobin"
	// LeastLoad takes the target with the least work in flight, including the loads that peers reported.
	LeastLoad Policy = "LeastLoad"
)

// Policies lists all policies.
var Policies = []Policy{Predicted, RoundRobin, LeastLoad}

// Chooser chooses targets by a policy; the zero value uses Predicted.
type Chooser struct {
	Policy Policy
	turn   atomic.Uint64
}

// Prompt returns the target that prefills a prompt, or false without candidates.
func (c *Chooser) Prompt(p *Prompt, candidates []Candidate) (Choice, bool) {
	if c.predicts() {
		return PromptTarget(p, candidates)
	}
	choice, ok := c.baseline(candidates, func(l Load) int { return int(l.PromptTokens) })
	choice.Uncached = p.Tokens()
	return choice, ok
}

// Answer returns the target that generates an answer, or false without candidates.
func (c *Chooser) Answer(zone identifier.ZoneID, jitter Jitter, candidates []Candidate) (Choice, bool) {
	if c.predicts() {
		return AnswerTarget(zone, jitter, candidates)
	}
	return c.baseline(candidates, func(l Load) int { return l.Answers })
}

// Plain returns the target of a plain service, or false without candidates.
func (c *Chooser) Plain(zone identifier.ZoneID, serviceTime time.Duration, candidates []Candidate) (Choice, bool) {
	if c.predicts() {
		return PlainTarget(zone, serviceTime, candidates)
	}
	return c.baseline(candidates, func(l Load) int { return l.Answers })
}

func (c *Chooser) predicts() bool { return c.Policy == Predicted || c.Policy == "" }

func (c *Chooser) baseline(candidates []Candidate, measure func(Load) int) (Choice, bool) {
	if len(candidates) == 0 {
		return Choice{}, false
	}
	if c.Policy == RoundRobin {
		return Choice{Target: candidates[c.turn.Add(1)%uint64(len(candidates))].Target}, true
	}
	least := slices.MinFunc(candidates, func(a, b Candidate) int { return cmp.Compare(measure(a.Load), measure(b.Load)) })
	return Choice{Target: least.Target}, true
}
