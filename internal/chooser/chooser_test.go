package chooser_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/frankban/quicktest"

	"github.com/coltsfootscale/coltsfootscale/internal/chooser"
	"github.com/coltsfootscale/coltsfootscale/internal/registrar"
	"github.com/coltsfootscale/coltsfootscale/pkg/identifier"
)

var now = time.Unix(1000, 0)

func targets(n int, stage registrar.Stage) []*registrar.Target {
	var list []*registrar.Target
	for i := range n {
		list = append(list, &registrar.Target{
			ID: identifier.TargetID(fmt.Sprint("t", i)), Zone: identifier.ZoneID(fmt.Sprint("z", i%3)), Stage: stage, Slots: 64,
		})
	}
	return list
}

func parts(shared, own identifier.PartID) []chooser.Part {
	return []chooser.Part{{ID: shared, Tokens: 13_300}, {ID: own, Tokens: 3_700}}
}

// TestInstancesAgree lets instances in three zones, which have not exchanged gossip messages, choose a target for the
// same shared part that no target has cached. All must choose its owner.
func TestInstancesAgree(t *testing.T) {
	list := targets(9, registrar.Prompts)
	chosen := map[identifier.TargetID]int{}
	for _, zone := range []identifier.ZoneID{"z0", "z1", "z2"} {
		var states chooser.TargetStates
		choice, ok := chooser.PromptTarget(&chooser.Prompt{Zone: zone, Parts: parts(7, 8)}, states.Candidates(list, parts(7, 8), now))
		quicktest.Assert(t, ok, quicktest.IsTrue)
		chosen[choice.Target.ID]++
	}
	quicktest.Assert(t, chosen, quicktest.HasLen, 1)
}

// TestAffinityAgainstLoad sends a burst with one shared part: the target that has cached it is chosen until its queue
// costs more than prefilling the part elsewhere.
func TestAffinityAgainstLoad(t *testing.T) {
	list := targets(6, registrar.Prompts)
	var states chooser.TargetStates
	states.Prefilled("t3", parts(1, 2)[:1], now)
	choose := func() chooser.Choice {
		choice, _ := chooser.PromptTarget(&chooser.Prompt{Zone: "z0", Parts: parts(1, 9)}, states.Candidates(list, parts(1, 9), now))
		return choice
	}
	choice := choose()
	quicktest.Assert(t, choice.Target.ID, quicktest.Equals, identifier.TargetID("t3"))
	quicktest.Assert(t, int(choice.Uncached), quicktest.Equals, 3_700)
	states.Begin("t3", chooser.Load{PromptTokens: 8_000}, now)
	quicktest.Assert(t, choose().Target.ID, quicktest.Equals, identifier.TargetID("t3"))
	end := states.Begin("t3", chooser.Load{PromptTokens: 20_000}, now)
	quicktest.Assert(t, choose().Target.ID, quicktest.Not(quicktest.Equals), identifier.TargetID("t3"))
	end()
	end()
	quicktest.Assert(t, choose().Target.ID, quicktest.Equals, identifier.TargetID("t3"), quicktest.Commentf("work that has ended is subtracted only once, however often end is called"))
}

func TestRestartedTargetsHaveEmptyCaches(t *testing.T) {
	list := targets(1, registrar.Prompts)
	var states chooser.TargetStates
	states.Candidates(list, nil, now)
	states.Prefilled("t0", parts(1, 2), now)
	quicktest.Assert(t, int(states.Candidates(list, parts(1, 2), now)[0].Cached), quicktest.Equals, 17_000)
	quicktest.Assert(t, int(states.Candidates(list, parts(5, 2), now)[0].Cached), quicktest.Equals, 0, quicktest.Commentf("a part counts only if all parts before it are cached"))
	restarted := *list[0]
	restarted.StartedAt = now
	quicktest.Assert(t, int(states.Candidates([]*registrar.Target{&restarted}, parts(1, 2), now)[0].Cached), quicktest.Equals, 0)
}

func TestPeerLoads(t *testing.T) {
	list := targets(2, registrar.Answers)
	var states chooser.TargetStates
	load := func() chooser.Load { return states.Candidates(list, nil, now)[0].Load }
	states.UpdatePeer("peer", map[identifier.TargetID]chooser.Load{"t0": {Answers: 5}}, now)
	states.UpdatePeer("other", map[identifier.TargetID]chooser.Load{"t0": {Answers: 1}}, now)
	quicktest.Assert(t, load().Answers, quicktest.Equals, 6)
	states.UpdatePeer("peer", map[identifier.TargetID]chooser.Load{"t1": {Answers: 2}}, now)
	quicktest.Assert(t, load().Answers, quicktest.Equals, 1)
	choice, _ := chooser.AnswerTarget("z0", chooser.Jitter{}, states.Candidates(list, nil, now))
	quicktest.Assert(t, choice.Target.ID, quicktest.Equals, identifier.TargetID("t0"))
	states.Retain(list, now.Add(time.Minute))
	quicktest.Assert(t, load(), quicktest.Equals, chooser.Load{}, quicktest.Commentf("the loads of a peer without reports expire"))
}

// TestFailedTargetsAreAvoided checks that a target is avoided right after a failure and chosen again later.
func TestFailedTargetsAreAvoided(t *testing.T) {
	list := targets(3, registrar.AnyStage)
	var states chooser.TargetStates
	choose := func(at time.Time) identifier.TargetID {
		choice, _ := chooser.PlainTarget("z0", 20*time.Millisecond, states.Candidates(list, nil, at))
		return choice.Target.ID
	}
	quicktest.Assert(t, choose(now), quicktest.Equals, identifier.TargetID("t0"))
	states.Failed("t0", now)
	quicktest.Assert(t, choose(now), quicktest.Not(quicktest.Equals), identifier.TargetID("t0"))
	quicktest.Assert(t, choose(now.Add(20*time.Second)), quicktest.Equals, identifier.TargetID("t0"))
}

func TestPartsAreReportedOnce(t *testing.T) {
	var states, peer chooser.TargetStates
	states.Prefilled("t0", parts(1, 2), now)
	states.Prefilled("t0", parts(1, 3), now.Add(time.Second))
	cached, next := states.PartsSince(0)
	quicktest.Assert(t, cached, quicktest.HasLen, 3, quicktest.Commentf("the shared part is not reported again at once"))
	for range 2 {
		for _, part := range cached {
			peer.AddReported(part, now)
		}
	}
	relayed, _ := peer.PartsSince(0)
	quicktest.Assert(t, relayed, quicktest.HasLen, 3, quicktest.Commentf("a part that is reported twice is relayed once, so parts do not circulate forever"))
	cached, _ = states.PartsSince(next)
	quicktest.Assert(t, cached, quicktest.HasLen, 0)
}

func BenchmarkPromptTarget(b *testing.B) {
	list := targets(720, registrar.Prompts)
	var states chooser.TargetStates
	p := &chooser.Prompt{Zone: "z0", Parts: parts(1, 2)}
	b.ReportAllocs()
	for b.Loop() {
		candidates := states.Candidates(list, p.Parts, now)
		chooser.PromptTarget(p, candidates)
		states.Release(candidates)
	}
}

// TestBaselines checks the policies LeastLoad and RoundRobin.
func TestBaselines(t *testing.T) {
	candidates := []chooser.Candidate{
		{Target: &registrar.Target{ID: "a"}, Load: chooser.Load{PromptTokens: 900, Answers: 1}},
		{Target: &registrar.Target{ID: "b"}, Load: chooser.Load{PromptTokens: 100, Answers: 5}},
	}
	leastLoad := &chooser.Chooser{Policy: chooser.LeastLoad}
	choice, _ := leastLoad.Prompt(&chooser.Prompt{}, candidates)
	quicktest.Check(t, choice.Target.ID, quicktest.Equals, identifier.TargetID("b"))
	choice, _ = leastLoad.Answer("z", chooser.Jitter{}, candidates)
	quicktest.Check(t, choice.Target.ID, quicktest.Equals, identifier.TargetID("a"))
	roundRobin, chosen := &chooser.Chooser{Policy: chooser.RoundRobin}, map[identifier.TargetID]int{}
	for range 10 {
		choice, _ := roundRobin.Plain("z", time.Millisecond, candidates)
		chosen[choice.Target.ID]++
	}
	quicktest.Check(t, chosen, quicktest.DeepEquals, map[identifier.TargetID]int{"a": 5, "b": 5})
	_, ok := roundRobin.Plain("z", time.Millisecond, nil)
	quicktest.Check(t, ok, quicktest.IsFalse)
}

// TestCommonFirstPart checks that sessions which share only a short first part are spread over the targets. An owner by
// the first part alone would receive most requests.
func TestCommonFirstPart(t *testing.T) {
	list := targets(20, registrar.Prompts)
	var states chooser.TargetStates
	chosen := map[identifier.TargetID]int{}
	const sessions = 200
	for i := range identifier.PartID(sessions) {
		parts := []chooser.Part{{ID: 1, Tokens: 2500}, {ID: 1000 + i, Tokens: 3800}, {ID: 5000 + i, Tokens: 2900}}
		choice, _ := chooser.PromptTarget(&chooser.Prompt{Zone: "z0", Parts: parts}, states.Candidates(list, parts, now))
		states.Prefilled(choice.Target.ID, parts, now)
		chosen[choice.Target.ID]++
	}
	for id, n := range chosen {
		quicktest.Check(t, n < sessions/4, quicktest.IsTrue, quicktest.Commentf("%s was chosen for %d of %d sessions", id, n, sessions))
	}
	quicktest.Check(t, len(chosen) >= 15, quicktest.IsTrue, quicktest.Commentf("%d targets used", len(chosen)))
}

// TestJitterSpreadsBursts lets 120 choices see the same idle targets, as in a burst that arrives at many instances.
// Without jitter all would take the same target.
func TestJitterSpreadsBursts(t *testing.T) {
	list := targets(12, registrar.Answers)
	var states chooser.TargetStates
	chosen := map[identifier.TargetID]int{}
	for i := range uint64(120) {
		choice, _ := chooser.AnswerTarget("z0", chooser.Jitter{Seed: i, MaximumJitter: 80 * time.Millisecond}, states.Candidates(list, nil, now))
		chosen[choice.Target.ID]++
	}
	for id, n := range chosen {
		quicktest.Check(t, n < 50, quicktest.IsTrue, quicktest.Commentf("%s was chosen %d times of 120", id, n))
	}
	quicktest.Check(t, len(chosen) >= 4, quicktest.IsTrue)
}

// TestReportedParts checks what a hub reports: to other hubs only what it has at first hand, and in a large fleet no part
// that belongs to a single request.
func TestReportedParts(t *testing.T) {
	large := false
	states := &chooser.TargetStates{SharedPartsOnly: func() bool { return large }}
	part := func(id identifier.PartID) chooser.Part { return chooser.Part{ID: id, Tokens: 100} }
	now := time.Now()
	states.Prefilled("t", []chooser.Part{part(1), part(2)}, now)
	large = true
	states.Prefilled("t", []chooser.Part{part(3), part(4)}, now)
	states.AddReported(chooser.CachedPart{Target: "t", Part: part(5)}, now)
	states.AddRelayed(chooser.CachedPart{Target: "t", Part: part(6)}, now)
	ids := func(parts []chooser.CachedPart, _ uint64) (list []identifier.PartID) {
		for _, p := range parts {
			list = append(list, p.Part.ID)
		}
		return list
	}
	quicktest.Check(t, ids(states.PartsSince(0)), quicktest.DeepEquals, []identifier.PartID{1, 2, 3, 5, 6})
	quicktest.Check(t, ids(states.FirstHandSince(0)), quicktest.DeepEquals, []identifier.PartID{1, 2, 3, 5})
	candidates := states.Candidates([]*registrar.Target{{ID: "t"}}, []chooser.Part{part(3), part(4)}, now)
	quicktest.Check(t, candidates[0].Cached, quicktest.Equals, identifier.Tokens(200), quicktest.Commentf("known to this instance"))
}

// TestRefusalWithFreeSlots guards against a target that is chosen again within half a second after a refusal that its load does not
// explain, and against avoiding one that refused because it was full.
func TestRefusalWithFreeSlots(t *testing.T) {
	target := &registrar.Target{ID: "t", Slots: 2}
	var states chooser.TargetStates
	surcharge := func(at time.Time) time.Duration {
		return states.Candidates([]*registrar.Target{target}, nil, at)[0].Surcharge
	}
	end := states.Begin("t", chooser.Load{Answers: 2}, now)
	states.Refused(target, now)
	quicktest.Check(t, surcharge(now), quicktest.Equals, time.Duration(0), quicktest.Commentf("it is full"))
	end()
	states.Refused(target, now)
	quicktest.Check(t, surcharge(now.Add(499*time.Millisecond)), quicktest.Equals, chooser.AvoidanceCost)
	quicktest.Check(t, surcharge(now.Add(500*time.Millisecond)), quicktest.Equals, time.Duration(0))
}
