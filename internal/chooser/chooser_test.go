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

// TestInstancesAgree sends the same new shared part from instances that have not heard of each other.
func TestInstancesAgree(t *testing.T) {
	list := targets(9, registrar.PrefillStage)
	chosen := map[identifier.TargetID]int{}
	for _, zone := range []identifier.ZoneID{"z0", "z1", "z2"} {
		var book chooser.TargetStates
		v, ok := chooser.PromptTarget(&chooser.Prompt{Zone: zone, Parts: parts(7, 8)}, book.Candidates(list, parts(7, 8), now))
		quicktest.Assert(t, ok, quicktest.IsTrue)
		chosen[v.Target.ID]++
	}
	quicktest.Assert(t, chosen, quicktest.HasLen, 1)
}

// TestAffinityAgainstLoad answers a burst on one shared part: its holder is used until the queue there costs more than
// to read the part again.
func TestAffinityAgainstLoad(t *testing.T) {
	list := targets(6, registrar.PrefillStage)
	var book chooser.TargetStates
	book.Prefilled("t3", parts(1, 2)[:1], now)
	choose := func() chooser.Choice {
		v, _ := chooser.PromptTarget(&chooser.Prompt{Zone: "z0", Parts: parts(1, 9)}, book.Candidates(list, parts(1, 9), now))
		return v
	}
	v := choose()
	quicktest.Assert(t, v.Target.ID, quicktest.Equals, identifier.TargetID("t3"))
	quicktest.Assert(t, int(v.Uncached), quicktest.Equals, 3_700)
	book.Begin("t3", chooser.Load{PromptTokens: 8_000}, now)
	quicktest.Assert(t, choose().Target.ID, quicktest.Equals, identifier.TargetID("t3"))
	end := book.Begin("t3", chooser.Load{PromptTokens: 20_000}, now)
	quicktest.Assert(t, choose().Target.ID, quicktest.Not(quicktest.Equals), identifier.TargetID("t3"))
	end()
	end()
	quicktest.Assert(t, choose().Target.ID, quicktest.Equals, identifier.TargetID("t3"), quicktest.Commentf("work that has ended counts no more, however often it ends"))
}

func TestRestartedTargetsHoldNothing(t *testing.T) {
	list := targets(1, registrar.PrefillStage)
	var book chooser.TargetStates
	book.Candidates(list, nil, now)
	book.Prefilled("t0", parts(1, 2), now)
	quicktest.Assert(t, int(book.Candidates(list, parts(1, 2), now)[0].Cached), quicktest.Equals, 17_000)
	quicktest.Assert(t, int(book.Candidates(list, parts(5, 2), now)[0].Cached), quicktest.Equals, 0, quicktest.Commentf("a part counts only if all before it are held"))
	again := *list[0]
	again.StartedAt = now
	quicktest.Assert(t, int(book.Candidates([]*registrar.Target{&again}, parts(1, 2), now)[0].Cached), quicktest.Equals, 0)
}

func TestPeersLoads(t *testing.T) {
	list := targets(2, registrar.DecodeStage)
	var book chooser.TargetStates
	load := func() chooser.Load { return book.Candidates(list, nil, now)[0].Load }
	book.SetPeerLoads("peer", map[identifier.TargetID]chooser.Load{"t0": {Answers: 5}}, now)
	book.SetPeerLoads("other", map[identifier.TargetID]chooser.Load{"t0": {Answers: 1}}, now)
	quicktest.Assert(t, load().Answers, quicktest.Equals, 6)
	book.SetPeerLoads("peer", map[identifier.TargetID]chooser.Load{"t1": {Answers: 2}}, now)
	quicktest.Assert(t, load().Answers, quicktest.Equals, 1)
	v, _ := chooser.AnswerTarget("z0", chooser.Jitter{}, book.Candidates(list, nil, now))
	quicktest.Assert(t, v.Target.ID, quicktest.Equals, identifier.TargetID("t0"))
	book.Retain(list, now.Add(time.Minute))
	quicktest.Assert(t, load(), quicktest.Equals, chooser.Load{}, quicktest.Commentf("a peer without news does no work"))
}

// TestSickTargetsRest sends to a target that fails only until it has failed, and again after a while.
func TestSickTargetsRest(t *testing.T) {
	list := targets(3, registrar.AnyStage)
	var book chooser.TargetStates
	choose := func(at time.Time) identifier.TargetID {
		v, _ := chooser.PlainTarget("z0", 20*time.Millisecond, book.Candidates(list, nil, at))
		return v.Target.ID
	}
	quicktest.Assert(t, choose(now), quicktest.Equals, identifier.TargetID("t0"))
	book.Failed("t0", now)
	quicktest.Assert(t, choose(now), quicktest.Not(quicktest.Equals), identifier.TargetID("t0"))
	quicktest.Assert(t, choose(now.Add(20*time.Second)), quicktest.Equals, identifier.TargetID("t0"))
}

func TestPartsAreToldOnce(t *testing.T) {
	var book, peer chooser.TargetStates
	book.Prefilled("t0", parts(1, 2), now)
	book.Prefilled("t0", parts(1, 3), now.Add(time.Second))
	sent, next := book.PartsSince(0)
	quicktest.Assert(t, sent, quicktest.HasLen, 3, quicktest.Commentf("the shared part is no news the second time"))
	for range 2 {
		for _, s := range sent {
			peer.AddReported(s, now)
		}
	}
	relayed, _ := peer.PartsSince(0)
	quicktest.Assert(t, relayed, quicktest.HasLen, 3, quicktest.Commentf("what is passed on does not come back for ever"))
	sent, _ = book.PartsSince(next)
	quicktest.Assert(t, sent, quicktest.HasLen, 0)
}

func BenchmarkPromptTarget(b *testing.B) {
	list := targets(720, registrar.PrefillStage)
	var book chooser.TargetStates
	p := &chooser.Prompt{Zone: "z0", Parts: parts(1, 2)}
	for b.Loop() {
		chooser.PromptTarget(p, book.Candidates(list, p.Parts, now))
	}
}

// TestCommonFirstPart spreads sessions that share a short first part, as most requests of a kind do, over all targets.
func TestBaselines(t *testing.T) {
	candidates := []chooser.Candidate{
		{Target: &registrar.Target{ID: "a"}, Load: chooser.Load{PromptTokens: 900, Answers: 1}},
		{Target: &registrar.Target{ID: "b"}, Load: chooser.Load{PromptTokens: 100, Answers: 5}},
	}
	least := &chooser.Chooser{Policy: chooser.LeastLoad}
	v, _ := least.Prompt(&chooser.Prompt{}, candidates)
	quicktest.Check(t, v.Target.ID, quicktest.Equals, identifier.TargetID("b"))
	v, _ = least.Answer("z", chooser.Jitter{}, candidates)
	quicktest.Check(t, v.Target.ID, quicktest.Equals, identifier.TargetID("a"))
	turns, taken := &chooser.Chooser{Policy: chooser.RoundRobin}, map[identifier.TargetID]int{}
	for range 10 {
		v, _ := turns.Plain("z", time.Millisecond, candidates)
		taken[v.Target.ID]++
	}
	quicktest.Check(t, taken, quicktest.DeepEquals, map[identifier.TargetID]int{"a": 5, "b": 5})
	_, ok := turns.Plain("z", time.Millisecond, nil)
	quicktest.Check(t, ok, quicktest.IsFalse)
}

func TestCommonFirstPart(t *testing.T) {
	list := targets(20, registrar.PrefillStage)
	var book chooser.TargetStates
	chosen := map[identifier.TargetID]int{}
	const sessions = 200
	for i := range identifier.PartID(sessions) {
		parts := []chooser.Part{{ID: 1, Tokens: 2500}, {ID: 1000 + i, Tokens: 3800}, {ID: 5000 + i, Tokens: 2900}}
		v, _ := chooser.PromptTarget(&chooser.Prompt{Zone: "z0", Parts: parts}, book.Candidates(list, parts, now))
		book.Prefilled(v.Target.ID, parts, now)
		chosen[v.Target.ID]++
	}
	for id, n := range chosen {
		quicktest.Check(t, n < sessions/4, quicktest.IsTrue, quicktest.Commentf("%s got %d of %d", id, n, sessions))
	}
	quicktest.Check(t, len(chosen) >= 15, quicktest.IsTrue, quicktest.Commentf("%d targets used", len(chosen)))
}

// TestIdleTargetsShareABurst sends from many instances that all see the same idle targets.
func TestIdleTargetsShareABurst(t *testing.T) {
	list := targets(12, registrar.DecodeStage)
	var book chooser.TargetStates
	chosen := map[identifier.TargetID]int{}
	for i := range uint64(120) {
		v, _ := chooser.AnswerTarget("z0", chooser.Jitter{Seed: i, Maximum: 80 * time.Millisecond}, book.Candidates(list, nil, now))
		chosen[v.Target.ID]++
	}
	for id, n := range chosen {
		quicktest.Check(t, n < 50, quicktest.IsTrue, quicktest.Commentf("%s got %d of 120", id, n))
	}
	quicktest.Check(t, len(chosen) >= 4, quicktest.IsTrue)
}
