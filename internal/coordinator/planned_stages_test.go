package coordinator_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/frankban/quicktest"

	"github.com/coltsfootscale/coltsfootscale/internal/coordinator"
	"github.com/coltsfootscale/coltsfootscale/internal/placer"
	"github.com/coltsfootscale/coltsfootscale/internal/registrar"
	"github.com/coltsfootscale/coltsfootscale/pkg/identifier"
)

// arrive adds new targets to a fleet, a third of them in the prompt stage.
func arrive(random *rand.Rand, fleet []placer.StageEngine, n int, zone string, cheap bool) []placer.StageEngine {
	for range n {
		e := placer.StageEngine{
			ID: identifier.TargetID(fmt.Sprintf("i-%08x", random.Uint32())), Zone: identifier.ZoneID(zone), Stage: registrar.Answers, Cheap: cheap,
		}
		if random.IntN(3) == 0 {
			e.Stage = registrar.Prompts
		}
		fleet = append(fleet, e)
	}
	placer.SortEngines(fleet)
	return fleet
}

// TestPlanAfterRestartFindsChangingTargets guards against requests to targets that are changing their stage right after a restart of all
// instances: nobody knows which orders are in progress, and the entries show the stages before them.
func TestPlanAfterRestartFindsChangingTargets(t *testing.T) {
	changing, found, avoided, left := 0, 0, 0, 0
	for seed := range uint64(200) {
		random := rand.New(rand.NewPCG(seed, 2))
		var fleet []placer.StageEngine
		for _, zone := range []string{"a", "b", "c"} {
			fleet = arrive(random, fleet, 14, zone, false)
		}
		placer.PlanStages(fleet, placer.WantedDecodeEngines(len(fleet)))
		for i := range fleet {
			fleet[i].Busy = false
		}
		// Cheap targets arrive in one zone after the other, and the holder of the duties orders the changes after each.
		entries := map[identifier.TargetID]registrar.Stage{}
		for _, zone := range []string{"a", "b", "c"}[:1+random.IntN(3)] {
			fleet = arrive(random, fleet, 26, zone, true)
			before := map[identifier.TargetID]registrar.Stage{}
			for _, e := range fleet {
				before[e.ID] = e.Stage
			}
			for _, change := range placer.PlanStages(fleet, placer.WantedDecodeEngines(len(fleet))) {
				entries[change.ID] = before[change.ID]
			}
		}
		// Some have carried out their orders when the instances are back.
		seen := slices.Clone(fleet)
		for i := range seen {
			seen[i].Busy = false
			if stage, ordered := entries[seen[i].ID]; ordered && random.IntN(3) == 0 {
				delete(entries, seen[i].ID)
			} else if ordered {
				seen[i].Stage = stage
			}
		}
		var planned coordinator.PlannedStages
		avoid := planned.Changing("s", time.Now(), func() []placer.StageEngine { return seen })
		answering := 0
		for _, e := range seen {
			if e.Stage == registrar.Answers && !avoid[e.ID] {
				answering++
			}
		}
		quicktest.Assert(t, answering > 0, quicktest.IsTrue, quicktest.Commentf("seed %d: no target left for answers", seed))
		left += answering
		changing += len(entries)
		avoided += len(avoid)
		for id := range avoid {
			if _, ok := entries[id]; ok {
				found++
			}
		}
	}
	t.Logf("%d targets are changing, %d of them are avoided, and %d others; %d are left for answers", changing, found, avoided-found, left)
	quicktest.Check(t, float64(found) >= 0.9*float64(changing), quicktest.IsTrue)
}

// TestPlanIsComputedSeldom guards against a plan that is computed for each request.
func TestPlanIsComputedSeldom(t *testing.T) {
	var planned coordinator.PlannedStages
	calls := 0
	start := time.Now()
	for i := range 1000 {
		planned.Changing("s", start.Add(time.Duration(i)*time.Millisecond), func() []placer.StageEngine { calls++; return nil })
	}
	quicktest.Check(t, calls <= 10, quicktest.IsTrue, quicktest.Commentf("%d in a second", calls))
	synctest.Test(t, func(t *testing.T) {
		var slow coordinator.PlannedStages
		calls, start := 0, time.Now()
		for time.Since(start) < time.Second {
			slow.Changing("s", time.Now(), func() []placer.StageEngine { calls++; time.Sleep(10 * time.Millisecond); return nil })
			time.Sleep(time.Millisecond)
		}
		quicktest.Check(t, calls <= 5, quicktest.IsTrue, quicktest.Commentf("%d in a second, of 10 ms each", calls))
	})
}

// TestSpareAnswerTargetsAreUsed guards against answers that all go to one of two targets while the holder of the duties keeps a second
// one because targets are being withdrawn.
func TestSpareAnswerTargetsAreUsed(t *testing.T) {
	var planned coordinator.PlannedStages
	engines := []placer.StageEngine{{ID: "a", Stage: registrar.Answers}, {ID: "b", Stage: registrar.Answers}, {ID: "c", Stage: registrar.Prompts}}
	changing := planned.Changing("s", time.Now(), func() []placer.StageEngine { return engines })
	quicktest.Check(t, changing, quicktest.HasLen, 0)
}
