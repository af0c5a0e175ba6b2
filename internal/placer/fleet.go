package placer

import (
	"cmp"
	"math"
	"slices"

	"github.com/coltsfootscale/coltsfootscale/pkg/identifier"
)

// Cheap targets cost a fraction of the others and may be reclaimed, all of an availability zone at once, and a second
// zone before the first has any again. The fleet is therefore cheap targets in every zone, and as many others as keep
// the load served while two zones lack their cheap ones. Others are given back only as far as cheap ones have come.

// headroom is how many engines a load of one engine takes to be served in time: prompts come in bursts, and the longest
// of them hold an engine for most of the promised latency.
const headroom = 3.0

// cheapHeadroom is the same with cheap ones, which cost so little that bursts are served without a wait.
const cheapHeadroom = 6

// ZoneFleet is what one availability zone has.
type ZoneFleet struct {
	Zone identifier.ZoneID
	// Regular and Cheap count targets that are there and not leaving.
	Regular int
	Cheap   int
}

// FleetInput is what a decision on the number of targets depends on.
type FleetInput struct {
	Zones []ZoneFleet
	// Minimum and Maximum bound the targets of both kinds together in each zone.
	Minimum int
	Maximum int
	// PeakLoad is the highest demand of late, in engines that are busy all the time; zero: not known yet.
	PeakLoad float64
	// CheapPriceFraction is what a cheap target costs of the price of another; zero or less: none can be had.
	CheapPriceFraction float64
}

// ZonePlan is how many targets of each kind a zone should have.
type ZonePlan struct {
	Zone    identifier.ZoneID
	Regular int
	Cheap   int
}

// PlanFleet returns what to order in each zone.
func PlanFleet(s FleetInput) []ZonePlan {
	zones := slices.Clone(s.Zones)
	slices.SortFunc(zones, func(a, b ZoneFleet) int { return cmp.Compare(a.Zone, b.Zone) })
	wants := make([]ZonePlan, 0, len(zones))
	for _, z := range zones {
		w := ZonePlan{Zone: z.Zone, Regular: max(z.Regular, s.Minimum)}
		switch cheap := s.CheapPriceFraction > 0 && s.CheapPriceFraction < 1; {
		case s.PeakLoad <= 0 && cheap:
			w.Cheap = max(0, s.Maximum-max(w.Regular, s.Maximum/2))
		case s.PeakLoad > 0 && cheap:
			w = mixed(s, z, len(zones))
		case s.PeakLoad > 0:
			w.Regular = inBounds(s, math.Ceil(s.PeakLoad*headroom/float64(len(zones))))
		}
		wants = append(wants, w)
	}
	return wants
}

// mixed returns the fewest regular targets that carry the load without the cheap ones of two zones, and cheap ones
// that carry it without those of one.
func mixed(s FleetInput, z ZoneFleet, zones int) ZonePlan {
	needed := s.PeakLoad * headroom
	n, rest := float64(zones), float64(max(0, zones-2))
	base := max(1, s.Minimum)
	for base < s.Maximum && n*float64(base)+rest*float64(s.Maximum-base) < needed {
		base++
	}
	all := inBounds(s, math.Ceil(s.PeakLoad*cheapHeadroom/max(1, n-1)))
	// More regular targets are not ordered where cheap ones do the work: they would stay after the burst.
	base = min(base, max(z.Regular, s.Minimum, 1))
	w := ZonePlan{Zone: z.Zone, Regular: max(base, z.Regular), Cheap: max(1, all-base)}
	if 2*z.Cheap >= w.Cheap {
		w.Regular = base
	}
	w.Cheap = max(0, min(w.Cheap, s.Maximum-w.Regular))
	return w
}

func inBounds(s FleetInput, n float64) int { return max(s.Minimum, 1, min(s.Maximum, int(n))) }
