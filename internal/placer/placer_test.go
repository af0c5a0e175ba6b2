package placer_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/frankban/quicktest"

	"github.com/coltsfootscale/coltsfootscale/internal/placer"
	"github.com/coltsfootscale/coltsfootscale/internal/recorder"
	"github.com/coltsfootscale/coltsfootscale/pkg/identifier"
)

// engines returns n engines in three zones, the first ones (as many as prefill) with the prefill role.
func engines(n, prefill int) []placer.Engine {
	list := make([]placer.Engine, n)
	for i := range list {
		list[i] = placer.Engine{ID: identifier.TargetID(fmt.Sprintf("%02d", i)), Zone: identifier.ZoneID(fmt.Sprint(i % 3)), Orderable: true, PrefillPerSecond: 100, DecodePerSecond: 100}
		if i < prefill {
			list[i].Role = recorder.Role_Prefill
		}
	}
	return list
}

func TestRoles(t *testing.T) {
	demand := func(prompt, output float64) placer.Demand { return placer.Demand{Prompt: prompt, Output: output} }
	for name, tc := range map[string]struct {
		in      placer.RoleInput
		changes int
		role    recorder.Role
	}{
		"light load changes nothing":             {placer.RoleInput{Engines: engines(12, 0), Short: demand(200, 200), Long: demand(200, 200)}, 0, 0},
		"many prompts add prefill engines":       {placer.RoleInput{Engines: engines(12, 0), Short: demand(660, 200), Long: demand(660, 200)}, 4, recorder.Role_Prefill},
		"a short burst changes nothing":          {placer.RoleInput{Engines: engines(12, 0), Short: demand(660, 200), Long: demand(300, 200)}, 0, 0},
		"no change soon after the last change":   {placer.RoleInput{Engines: engines(12, 0), Short: demand(660, 200), Long: demand(660, 200), SinceChange: time.Second}, 0, 0},
		"fewer prompts return engines to mixed":  {placer.RoleInput{Engines: engines(12, 5), Short: demand(100, 300), Long: demand(100, 300)}, 4, recorder.Role_Mixed},
		"slightly less demand changes nothing":   {placer.RoleInput{Engines: engines(12, 5), Short: demand(570, 200), Long: demand(570, 200)}, 0, 0},
		"full batches add prefill engines":       {placer.RoleInput{Engines: engines(12, 0), Short: demand(200, 800), Long: demand(200, 800)}, 2, recorder.Role_Prefill},
		"no change while an engine is changing":  {placer.RoleInput{Engines: withChanging(engines(12, 0)), Short: demand(660, 200), Long: demand(660, 200)}, 0, 0},
		"engines that take no orders keep roles": {placer.RoleInput{Engines: notOrderable(engines(12, 0)), Short: demand(660, 200), Long: demand(660, 200)}, 0, 0},
		"a single engine stays mixed":            {placer.RoleInput{Engines: engines(1, 0), Short: demand(90, 10), Long: demand(90, 10)}, 0, 0},
	} {
		if tc.in.SinceChange == 0 {
			tc.in.SinceChange = time.Minute
		}
		got := placer.PlanRoles(tc.in)
		quicktest.Check(t, got, quicktest.HasLen, tc.changes, quicktest.Commentf(name))
		for _, c := range got {
			quicktest.Check(t, c.Role, quicktest.Equals, tc.role, quicktest.Commentf(name))
		}
	}
}

func withChanging(list []placer.Engine) []placer.Engine {
	list[3].Changing = true
	return list
}

func notOrderable(list []placer.Engine) []placer.Engine {
	for i := range list {
		list[i].Orderable = false
	}
	return list
}

func targetStates(zones ...string) []placer.TargetState {
	var list []placer.TargetState
	for i, zone := range zones {
		list = append(list, placer.TargetState{ID: identifier.TargetID(fmt.Sprint(i)), Zone: identifier.ZoneID(zone), Acquired: i > 0})
	}
	return list
}

func TestTargets(t *testing.T) {
	zones := []identifier.ZoneID{"a", "b", "c"}
	for name, tc := range map[string]struct {
		in   placer.TargetInput
		want []placer.TargetChange
	}{
		"enough after any zone is lost": {placer.TargetInput{Zones: zones, Targets: targetStates("a", "b", "c"), NeededEngines: 1.4, Maximum: 9, SurvivingShare: 1}, nil},
		"too few after a zone is lost":  {placer.TargetInput{Zones: zones, Targets: targetStates("a", "b"), NeededEngines: 1, Maximum: 9, SurvivingShare: 1}, []placer.TargetChange{{Zone: "c"}}},
		"cheap within its share":        {placer.TargetInput{Zones: zones, Targets: targetStates("a", "b"), NeededEngines: 1, Maximum: 9, SurvivingShare: 1, CheapShare: 0.5}, []placer.TargetChange{{Zone: "c", Cheap: true}}},
		"no more than the maximum":      {placer.TargetInput{Zones: zones, Targets: targetStates("a", "b"), NeededEngines: 5, Maximum: 2, SurvivingShare: 1}, nil},
		"no zone to order in":           {placer.TargetInput{Targets: targetStates("a", "b"), NeededEngines: 5, Maximum: 9, SurvivingShare: 1}, nil},
		"withdraws an unneeded target":  {placer.TargetInput{Zones: zones, Targets: targetStates("a", "b", "c", "b", "a"), NeededEngines: 0.1, Maximum: 9, SurvivingShare: 1}, []placer.TargetChange{{Withdraw: "1"}}},
	} {
		quicktest.Check(t, placer.PlanTargets(tc.in), quicktest.DeepEquals, tc.want, quicktest.Commentf(name))
	}
}
