package placer

import (
	"cmp"
	"slices"

	"github.com/coltsfootscale/coltsfootscale/pkg/identifier"
)

// Cheap targets cost a fraction of the others and may be reclaimed, all of an availability zone at once. The fleet is
// therefore cheap targets in every zone, enough that the loss of one zone's leaves what is needed, and a few others,
// which no reclaim takes: they answer, and they keep the service up where nothing cheap can be had. The others are
// given back only as far as cheap ones have come.

// regularBase is how many targets of each availability zone are not cheap.
const regularBase = 4

// ZoneFleet is what one availability zone has.
type ZoneFleet struct {
	Zone identifier.ZoneID
	// Regular and Cheap count targets that are there and not leaving.
	Regular int
	Cheap   int
}

// FleetSituation is what a decision on the number of targets depends on.
type FleetSituation struct {
	Zones []ZoneFleet
	// Minimum and Maximum bound the targets of both kinds together in each zone.
	Minimum int
	Maximum int
	// Needed is how many targets all zones together should have.
	Needed int
	// CheapPrice is what a cheap target costs of the price of another; zero or less: none can be had.
	CheapPrice float64
}

// ZoneWant is how many targets of each kind a zone should have.
type ZoneWant struct {
	Zone    identifier.ZoneID
	Regular int
	Cheap   int
}

// Fleet returns what to order in each zone.
func Fleet(s FleetSituation) []ZoneWant {
	zones := slices.Clone(s.Zones)
	slices.SortFunc(zones, func(a, b ZoneFleet) int { return cmp.Compare(a.Zone, b.Zone) })
	if len(zones) == 0 {
		return nil
	}
	perZone := (s.Needed + len(zones) - 1) / len(zones)
	perZone = min(s.Maximum, max(perZone, s.Minimum, 1))
	wants := make([]ZoneWant, 0, len(zones))
	for _, z := range zones {
		w := ZoneWant{Zone: z.Zone, Regular: perZone}
		if s.CheapPrice > 0 && s.CheapPrice < 1 {
			base := min(regularBase, perZone)
			w.Regular = max(base, z.Regular)
			if 2*z.Cheap >= perZone-base {
				w.Regular = base
			}
			w.Cheap = min(perZone-base, s.Maximum-w.Regular)
		}
		wants = append(wants, w)
	}
	return wants
}
