package chooser_test

import (
	"testing"
	"time"

	"github.com/frankban/quicktest"

	"github.com/coltsfootscale/coltsfootscale/internal/chooser"
	"github.com/coltsfootscale/coltsfootscale/internal/registrar"
	"github.com/coltsfootscale/coltsfootscale/pkg/identifier"
)

// model gives each target a capability.
type model map[identifier.TargetID]chooser.Capability

func (m model) Assess(candidates []chooser.Candidate, _ time.Time) {
	for i := range candidates {
		candidates[i].Capability = m[candidates[i].Target.ID]
	}
}

// TestChoicesFollowCapabilities checks that prompts, answers and plain calls prefer the faster target, up to the load at which the
// slower one is predicted to be done first, and that the fixed time is counted once, however many prompts are queued.
func TestChoicesFollowCapabilities(t *testing.T) {
	fixed, perToken := 107*time.Millisecond, float64(10*time.Microsecond)
	states := chooser.TargetStates{Model: model{
		"t0": {Fixed: fixed, PerToken: 1.8 * perToken, Slowness: 1.8, Plain: 18 * time.Millisecond},
		"t1": {Fixed: fixed, PerToken: perToken, Slowness: 1, Plain: 10 * time.Millisecond},
	}}
	list := targets(2, registrar.Prompts)
	list[1].Zone = list[0].Zone
	prompt := &chooser.Prompt{Zone: "z0", Parts: []chooser.Part{{ID: 1, Tokens: 10_000}}}
	choose := func() (p, a, plain chooser.Choice) {
		p, _ = chooser.PromptTarget(prompt, states.Candidates(list, prompt.Parts, now))
		a, _ = chooser.AnswerTarget("z0", chooser.Jitter{}, states.Candidates(list, nil, now))
		plain, _ = chooser.PlainTarget("z0", 20*time.Millisecond, states.Candidates(list, nil, now))
		return p, a, plain
	}
	p, a, plain := choose()
	for _, choice := range []chooser.Choice{p, a, plain} {
		quicktest.Check(t, choice.Target.ID, quicktest.Equals, identifier.TargetID("t1"))
	}
	quicktest.Check(t, p.Predicted, quicktest.Equals, fixed+100*time.Millisecond)
	quicktest.Check(t, p.Idle, quicktest.IsTrue)
	quicktest.Check(t, plain.Predicted, quicktest.Equals, 10*time.Millisecond)
	states.Begin("t1", chooser.Load{PromptTokens: 7_000, Answers: 60}, now)
	p, a, plain = choose()
	quicktest.Check(t, p.Target.ID, quicktest.Equals, identifier.TargetID("t1"))
	quicktest.Check(t, p.Predicted, quicktest.Equals, fixed+170*time.Millisecond)
	quicktest.Check(t, p.Idle, quicktest.IsFalse)
	quicktest.Check(t, a.Target.ID, quicktest.Equals, identifier.TargetID("t0"))
	quicktest.Check(t, plain.Target.ID, quicktest.Equals, identifier.TargetID("t0"))
	states.Begin("t1", chooser.Load{PromptTokens: 2_000}, now)
	p, _, _ = choose()
	quicktest.Check(t, p.Target.ID, quicktest.Equals, identifier.TargetID("t0"))
}

// TestReportedLoadReplacesPeerLoads checks that a target's own count of its requests replaces what peers reported for 300 ms, and no
// longer: loads of peers are older than that.
func TestReportedLoadReplacesPeerLoads(t *testing.T) {
	var states chooser.TargetStates
	list := targets(1, registrar.Answers)
	states.UpdatePeer("peer", map[identifier.TargetID]chooser.Load{"t0": {Answers: 5, AnswerTokens: 900}}, now)
	end := states.Begin("t0", chooser.Load{Answers: 1}, now)
	states.ObserveLoad("t0", 20, 2, now)
	load := func(at time.Time) chooser.Load { return states.Candidates(list, nil, at)[0].Load }
	quicktest.Check(t, load(now), quicktest.Equals, chooser.Load{Answers: 22, AnswerTokens: 900})
	end()
	quicktest.Check(t, load(now.Add(299*time.Millisecond)).Answers, quicktest.Equals, 21)
	quicktest.Check(t, load(now.Add(300*time.Millisecond)).Answers, quicktest.Equals, 5)
	states.ObserveLoad("t0", 0, 0, now)
	quicktest.Check(t, load(now).Answers, quicktest.Equals, 0)
	list[0].StartedAt = now
	quicktest.Check(t, load(now).Answers, quicktest.Equals, 5, quicktest.Commentf("a restarted target has reported nothing"))
}

// TestWaitingPromptsAreNoIdleTarget checks that a prompt target at which requests wait does not count as idle: a measurement on it
// would contain the wait.
func TestWaitingPromptsAreNoIdleTarget(t *testing.T) {
	var states chooser.TargetStates
	list := targets(1, registrar.Prompts)
	idle := func(at time.Time) bool {
		choice, _ := chooser.PromptTarget(&chooser.Prompt{Zone: "z0", Parts: parts(1, 2)}, states.Candidates(list, nil, at))
		return choice.Idle
	}
	quicktest.Check(t, idle(now), quicktest.IsTrue)
	states.ObserveLoad("t0", 1, 1, now)
	quicktest.Check(t, idle(now), quicktest.IsFalse)
	quicktest.Check(t, idle(now.Add(time.Second)), quicktest.IsTrue)
}

// TestCacheSizeOfTheConfiguration checks that a target is assumed to keep as many parts as its configured memory holds.
func TestCacheSizeOfTheConfiguration(t *testing.T) {
	for capacity, want := range map[identifier.Tokens]int{0: 14, 900_000: 40} {
		states := chooser.TargetStates{CacheTokens: func(identifier.ServiceID) identifier.Tokens { return capacity }}
		list := targets(1, registrar.Prompts)
		states.Candidates(list, nil, now)
		for i := range identifier.PartID(40) {
			states.Prefilled("t0", []chooser.Part{{ID: i + 1, Tokens: 15_000}}, now.Add(time.Duration(i)*time.Second))
		}
		kept := 0
		for i := range identifier.PartID(40) {
			part := []chooser.Part{{ID: i + 1, Tokens: 15_000}}
			if states.Candidates(list, part, now)[0].Cached > 0 {
				kept++
			}
		}
		quicktest.Check(t, kept, quicktest.Equals, want, quicktest.Commentf("capacity %d", capacity))
	}
}
