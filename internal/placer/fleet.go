package placer

import (
	"cmp"
	"math"
	"slices"

	"github.com/coltsfootscale/coltsfootscale/pkg/identifier"
)

// Cheap targets cost a fraction of the regular price, but the platform may reclaim all of them in an availability zone
// at once, and those of a second zone before the first has new ones. The plan therefore has cheap targets in every zone
// and keeps enough regular ones to carry the load while two zones have no cheap targets. Regular targets are withdrawn
// only after at least half of the planned cheap targets have arrived.

// headroom is the number of engines per engine of load: prompts arrive in bursts, and the longest prompts occupy an
// engine for most of the promised latency.
const headroom = 3.0

// cheapHeadroom is the headroom with cheap targets: they cost so little that the plan has enough of them to serve
// bursts without queueing.
const cheapHeadroom = 6

// ZoneFleet is the current number of targets in one availability zone.
type ZoneFleet struct {
	Zone identifier.ZoneID
	// Regular and Cheap count the running targets, without those that are leaving.
	Regular int
	Cheap   int
}

// FleetInput is the input of PlanFleet.
type FleetInput struct {
	Zones []ZoneFleet
	// Minimum and Maximum bound the regular and cheap targets of each zone together.
	Minimum int
	Maximum int
	// Load is the recent peak demand in fully busy engines; zero means not known yet.
	Load float64
	// CheapPriceFraction is the price of a cheap target as a fraction of the regular price; zero or less means that
	// cheap targets are not available.
	CheapPriceFraction float64
}

// ZonePlan is the planned number of targets of each kind in a zone.
type ZonePlan struct {
	Zone    identifier.ZoneID
	Regular int
	Cheap   int
}

// PlanFleet returns the number of targets that each zone should have.
func PlanFleet(in FleetInput) []ZonePlan {
	zones := slices.Clone(in.Zones)
	slices.SortFunc(zones, func(a, b ZoneFleet) int { return cmp.Compare(a.Zone, b.Zone) })
	plans := make([]ZonePlan, 0, len(zones))
	for _, z := range zones {
		plan := ZonePlan{Zone: z.Zone, Regular: max(z.Regular, in.Minimum)}
		switch cheap := in.CheapPriceFraction > 0 && in.CheapPriceFraction < 1; {
		case in.Load <= 0 && cheap:
			plan.Cheap = max(0, in.Maximum-max(plan.Regular, in.Maximum/2))
		case in.Load > 0 && cheap:
			plan = planMixed(in, z, len(zones))
		case in.Load > 0:
			plan.Regular = clampTargets(in, math.Ceil(in.Load*headroom/float64(len(zones))))
		}
		plans = append(plans, plan)
	}
	return plans
}

// planMixed keeps the fewest regular targets that carry the load while two zones have no cheap targets, and plans enough
// cheap targets to carry it while one zone has none.
func planMixed(in FleetInput, z ZoneFleet, zones int) ZonePlan {
	needed := in.Load * headroom
	n, cheapZones := float64(zones), float64(max(0, zones-2))
	regular := max(1, in.Minimum)
	for regular < in.Maximum && n*float64(regular)+cheapZones*float64(in.Maximum-regular) < needed {
		regular++
	}
	total := clampTargets(in, math.Ceil(in.Load*cheapHeadroom/max(1, n-1)))
	// Regular targets are not added for a burst that cheap targets can serve: they would remain after it.
	regular = min(regular, max(z.Regular, in.Minimum, 1))
	plan := ZonePlan{Zone: z.Zone, Regular: max(regular, z.Regular), Cheap: max(1, total-regular)}
	if 2*z.Cheap >= plan.Cheap {
		plan.Regular = regular
	}
	plan.Cheap = max(0, min(plan.Cheap, in.Maximum-plan.Regular))
	return plan
}

// clampTargets limits a number of targets to the bounds of a zone, and to at least one.
func clampTargets(in FleetInput, n float64) int { return max(in.Minimum, 1, min(in.Maximum, int(n))) }
