package placer_test

import (
	"testing"

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

// TestFleet answers swings of prompts on a fleet whose cheap targets vanish a zone at a time.
func TestFleet(t *testing.T) {
	for name, tc := range map[string]struct {
		s       placer.FleetInput
		regular int
		cheap   int
	}{
		"nothing known: cheap ones beside what may be there": {placer.FleetInput{Zones: zones(0, 0, "a", "b", "c"), Minimum: 1, Maximum: 8, CheapPriceFraction: 0.2}, 1, 4},
		"no load yet: nothing is given back":                 {placer.FleetInput{Zones: zones(4, 4, "a", "b", "c"), Minimum: 1, Maximum: 8, CheapPriceFraction: 0.2}, 4, 4},
		"high load keeps the others":                         {placer.FleetInput{Zones: zones(4, 4, "a", "b", "c"), Minimum: 1, Maximum: 8, CheapPriceFraction: 0.2, PeakLoad: 6}, 4, 4},
		"low load gives the others back":                     {placer.FleetInput{Zones: zones(4, 4, "a", "b", "c"), Minimum: 1, Maximum: 8, CheapPriceFraction: 0.2, PeakLoad: 1.5}, 1, 4},
		"not before cheap ones have come":                    {placer.FleetInput{Zones: zones(4, 0, "a", "b", "c"), Minimum: 1, Maximum: 8, CheapPriceFraction: 0.2, PeakLoad: 1.5}, 4, 4},
		"bursts order no dear ones":                          {placer.FleetInput{Zones: zones(2, 6, "a", "b", "c"), Minimum: 1, Maximum: 8, CheapPriceFraction: 0.2, PeakLoad: 20}, 2, 6},
		"the minimum stays":                                  {placer.FleetInput{Zones: zones(3, 3, "a", "b", "c", "d"), Minimum: 2, Maximum: 6, CheapPriceFraction: 0.2, PeakLoad: 0.1}, 2, 1},
		"no cheap ones to be had":                            {placer.FleetInput{Zones: zones(4, 0, "a", "b"), Minimum: 1, Maximum: 8, PeakLoad: 4}, 6, 0},
	} {
		for _, w := range placer.PlanFleet(tc.s) {
			quicktest.Check(t, w.Regular, quicktest.Equals, tc.regular, quicktest.Commentf("%s: regular", name))
			quicktest.Check(t, w.Cheap, quicktest.Equals, tc.cheap, quicktest.Commentf("%s: cheap", name))
			quicktest.Check(t, w.Regular+w.Cheap <= tc.s.Maximum, quicktest.IsTrue, quicktest.Commentf("%s: more than the maximum", name))
		}
	}
}

func stageEngines(stages string, zones string) []placer.StageEngine {
	var list []placer.StageEngine
	for i, s := range stages {
		e := placer.StageEngine{ID: identifier.TargetID(rune('a' + i)), Zone: identifier.ZoneID(zones[i%len(zones)]), Stage: registrar.PrefillStage}
		if s == 'A' {
			e.Stage = registrar.DecodeStage
		}
		list = append(list, e)
	}
	return list
}

func TestSplit(t *testing.T) {
	// A fleet that starts with most engines answering: prompts are the load.
	list := stageEngines("AAAAAAAPPPPP", "xyz")
	wanted := placer.WantedDecodeEngines(len(list))
	quicktest.Assert(t, wanted, quicktest.Equals, 2)
	changes := placer.PlanStages(list, wanted)
	quicktest.Assert(t, changes, quicktest.HasLen, 5)
	left := map[identifier.ZoneID]int{}
	for _, e := range list {
		if e.Stage == registrar.DecodeStage {
			left[e.Zone]++
		}
	}
	for zone, n := range left {
		quicktest.Check(t, n, quicktest.Equals, 1, quicktest.Commentf("zone %s", zone))
	}
	quicktest.Assert(t, placer.PlanStages(list, wanted), quicktest.HasLen, 0, quicktest.Commentf("a settled fleet is left alone"))

	// The answering engines of a zone were reclaimed.
	list = stageEngines("PPPPPP", "xy")
	quicktest.Assert(t, placer.PlanStages(list, 1), quicktest.DeepEquals, []placer.StageChange{{ID: "a", Stage: registrar.DecodeStage}})

	// Cheap engines answer only where no other can, because answers are cut when they go.
	list = stageEngines("PPPP", "x")
	list[0].Cheap = true
	quicktest.Assert(t, placer.PlanStages(list, 1)[0].ID, quicktest.Equals, identifier.TargetID("b"))

	// Engines that are still changing to answers replace none that answers.
	list = stageEngines("AAAPPP", "xyz")
	list[1].Busy, list[2].Busy = true, true
	quicktest.Assert(t, placer.PlanStages(list, 1), quicktest.HasLen, 0)

	// Engines that are changing already are not ordered again.
	list = stageEngines("PP", "x")
	list[0].Busy = true
	quicktest.Assert(t, placer.PlanStages(list, 1)[0].ID, quicktest.Equals, identifier.TargetID("b"))

	quicktest.Assert(t, placer.WantedDecodeEngines(1), quicktest.Equals, 1)
	quicktest.Assert(t, placer.WantedDecodeEngines(2), quicktest.Equals, 1)
}
