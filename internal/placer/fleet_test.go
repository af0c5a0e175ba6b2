package placer_test

import (
	"strings"
	"testing"
	"unicode"

	"github.com/frankban/quicktest"

	"github.com/coltsfootscale/coltsfootscale/internal/placer"
	"github.com/coltsfootscale/coltsfootscale/internal/registrar"
	"github.com/coltsfootscale/coltsfootscale/pkg/identifier"
)

func zones(regular, cheap int, names ...string) []placer.ZoneFleet {
	var list []placer.ZoneFleet
	for _, name := range names {
		list = append(list, placer.ZoneFleet{Zone: identifier.ZoneID(name), Regular: regular, Cheap: cheap})
	}
	return list
}

// TestFleet checks the plan at changing prompt load, on a fleet whose cheap targets may be reclaimed zone by zone.
func TestFleet(t *testing.T) {
	for name, tc := range map[string]struct {
		in      placer.FleetInput
		regular int
		cheap   int
	}{
		"load unknown: cheap targets leave room for regular ones": {placer.FleetInput{Zones: zones(0, 0, "a", "b", "c"), Minimum: 1, Maximum: 8, CheapPriceFraction: 0.2}, 1, 4},
		"load unknown: nothing is withdrawn":                      {placer.FleetInput{Zones: zones(4, 4, "a", "b", "c"), Minimum: 1, Maximum: 8, CheapPriceFraction: 0.2}, 4, 4},
		"high load keeps regular targets":                         {placer.FleetInput{Zones: zones(4, 4, "a", "b", "c"), Minimum: 1, Maximum: 8, CheapPriceFraction: 0.2, Load: 6}, 4, 4},
		"low load withdraws regular targets":                      {placer.FleetInput{Zones: zones(4, 4, "a", "b", "c"), Minimum: 1, Maximum: 8, CheapPriceFraction: 0.2, Load: 1.5}, 1, 4},
		"none withdrawn before cheap targets arrive":              {placer.FleetInput{Zones: zones(4, 0, "a", "b", "c"), Minimum: 1, Maximum: 8, CheapPriceFraction: 0.2, Load: 1.5}, 4, 4},
		"bursts order no regular targets":                         {placer.FleetInput{Zones: zones(2, 6, "a", "b", "c"), Minimum: 1, Maximum: 8, CheapPriceFraction: 0.2, Load: 20}, 2, 6},
		"the minimum is kept":                                     {placer.FleetInput{Zones: zones(3, 3, "a", "b", "c", "d"), Minimum: 2, Maximum: 6, CheapPriceFraction: 0.2, Load: 0.1}, 2, 1},
		"no cheap targets available":                              {placer.FleetInput{Zones: zones(4, 0, "a", "b"), Minimum: 1, Maximum: 8, Load: 4}, 6, 0},
	} {
		for _, plan := range placer.PlanFleet(tc.in) {
			quicktest.Check(t, plan.Regular, quicktest.Equals, tc.regular, quicktest.Commentf("%s: regular", name))
			quicktest.Check(t, plan.Cheap, quicktest.Equals, tc.cheap, quicktest.Commentf("%s: cheap", name))
			quicktest.Check(t, plan.Regular+plan.Cheap <= tc.in.Maximum, quicktest.IsTrue, quicktest.Commentf("%s: more than the maximum", name))
		}
	}
}

// stageEngines returns one engine for each letter of stages, A for decode and P for prefill, in the zones in turn.
func stageEngines(stages string, zones string) []placer.StageEngine {
	var list []placer.StageEngine
	for i, s := range stages {
		e := placer.StageEngine{ID: identifier.TargetID(rune('a' + i)), Zone: identifier.ZoneID(zones[i%len(zones)]), Stage: registrar.Prompts}
		if s == 'A' {
			e.Stage = registrar.Answers
		}
		list = append(list, e)
	}
	return list
}

func TestSplit(t *testing.T) {
	// Most engines start on decode, but prefill is most of the load.
	list := stageEngines("AAAAAAAPPPPP", "xyz")
	wanted := placer.WantedDecodeEngines(len(list))
	quicktest.Assert(t, wanted, quicktest.Equals, 2)
	changes := placer.PlanStages(list, wanted)
	quicktest.Assert(t, changes, quicktest.HasLen, 5)
	decoding := map[identifier.ZoneID]int{}
	for _, e := range list {
		if e.Stage == registrar.Answers {
			decoding[e.Zone]++
		}
	}
	for zone, n := range decoding {
		quicktest.Check(t, n, quicktest.Equals, 1, quicktest.Commentf("zone %s", zone))
	}
	quicktest.Assert(t, placer.PlanStages(list, wanted), quicktest.HasLen, 0, quicktest.Commentf("a balanced fleet is not changed"))

	// All decode engines were reclaimed.
	list = stageEngines("PPPPPP", "xy")
	quicktest.Assert(t, placer.PlanStages(list, 1), quicktest.DeepEquals, []placer.StageChange{{ID: "a", Stage: registrar.Answers}})

	// Cheap engines decode only if no regular one can, because reclaiming them cuts off answers.
	list = stageEngines("PPPP", "x")
	list[0].Cheap = true
	quicktest.Assert(t, placer.PlanStages(list, 1)[0].ID, quicktest.Equals, identifier.TargetID("b"))

	// Engines that are still changing to decode do not replace one that decodes.
	list = stageEngines("AAAPPP", "xyz")
	list[1].Busy, list[2].Busy = true, true
	quicktest.Assert(t, placer.PlanStages(list, 1), quicktest.HasLen, 0)

	// Engines that are already changing are not ordered again.
	list = stageEngines("PP", "x")
	list[0].Busy = true
	quicktest.Assert(t, placer.PlanStages(list, 1)[0].ID, quicktest.Equals, identifier.TargetID("b"))

	quicktest.Assert(t, placer.WantedDecodeEngines(1), quicktest.Equals, 1)
	quicktest.Assert(t, placer.WantedDecodeEngines(2), quicktest.Equals, 1)
}

// TestLimitedAnswerEnginesAreReplaced guards against a service whose only answer engines name a limit, while engines without one go on
// with prompts. Lower-case letters are engines with a limit.
func TestLimitedAnswerEnginesAreReplaced(t *testing.T) {
	for _, tc := range []struct {
		stages  string
		changes []placer.StageChange
	}{
		{"APPP", nil},
		{"aPPP", []placer.StageChange{{ID: "b", Stage: registrar.Answers}}},
		{"aAPP", nil},
		{"ApPP", nil},
		{"aAPPPPPPPPP", nil}, // One of two that decode is without a limit.
		{"aaPPPPPPPPP", []placer.StageChange{{ID: "c", Stage: registrar.Answers}}},
		{"aPpp", nil}, // The last engine without a limit goes on with prompts.
		{"aP", nil},
		{"a", nil},
		{"AAPP", []placer.StageChange{{ID: "a", Stage: registrar.Prompts}}}, // The limit has ended.
	} {
		list := stageEngines(strings.ToUpper(tc.stages), "x")
		for i, letter := range tc.stages {
			list[i].Limited = unicode.IsLower(letter)
		}
		changes := placer.PlanStages(list, placer.WantedDecodeEngines(len(list)))
		quicktest.Check(t, changes, quicktest.DeepEquals, tc.changes, quicktest.Commentf(tc.stages))
	}
}

// TestSeveralBuildsDecode guards against streams that cannot go on because the lost engine was the only one of its build that
// decoded, while others of it went on with prompts. Lower-case letters are engines of another build.
func TestSeveralBuildsDecode(t *testing.T) {
	answers, prompts := registrar.Answers, registrar.Prompts
	for _, tc := range []struct {
		stages  string
		changes []placer.StageChange
	}{
		{"AAPPPPPPP", nil},
		{"AAPPPppp", nil},
		{"APPPPPppp", []placer.StageChange{{ID: "b", Stage: answers}}},
		{"AaPPPPppp", []placer.StageChange{{ID: "c", Stage: answers}}},
		{"aaPPPPPpp", []placer.StageChange{{ID: "c", Stage: answers}, {ID: "d", Stage: answers}}},
		{"aaAAPPPpp", []placer.StageChange{{ID: "a", Stage: prompts}, {ID: "b", Stage: prompts}}}, // The others are ready.
		{"aPPp", []placer.StageChange{{ID: "d", Stage: answers}}},
		{"APp", nil}, // Too few engines for two that decode.
	} {
		list := stageEngines(strings.ToUpper(tc.stages), "x")
		for i, letter := range tc.stages {
			list[i].Build = "v1"
			if unicode.IsLower(letter) {
				list[i].Build = "v2"
			}
		}
		changes := placer.PlanStages(list, placer.WantedDecodeEngines(len(list)))
		quicktest.Check(t, changes, quicktest.DeepEquals, tc.changes, quicktest.Commentf(tc.stages))
	}
}
