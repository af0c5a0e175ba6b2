package placer

import (
	"cmp"
	"math"
	"slices"

	"github.com/coltsfootscale/coltsfootscale/pkg/identifier"
)

// The number of targets follows the demand: after the loss of any one availability zone, the remaining targets must
// still carry the promised share of the demand. Cheap targets, which can be reclaimed at short notice, are limited to a
// configured share of all targets.

const (
	// plannedUtilization is the planned utilization of the targets that remain after the loss of a zone.
	plannedUtilization = 0.70
	// withdrawThreshold limits withdrawals: the needed targets must be at most this fraction of the targets that would
	// survive the loss of a zone after the withdrawal. The gap to 1 separates the levels for ordering and withdrawing.
	withdrawThreshold = 0.75
	minimumTargets    = 1
)

// TargetState is the state of one target as PlanTargets needs it.
type TargetState struct {
	ID       identifier.TargetID
	Zone     identifier.ZoneID
	Cheap    bool
	Acquired bool
	Leaving  bool
}

// TargetInput is the input of PlanTargets; NeededEngines is the demand in fully busy engines.
type TargetInput struct {
	Zones          []identifier.ZoneID
	Targets        []TargetState
	NeededEngines  float64
	Maximum        int
	SurvivingShare float64
	CheapShare     float64
}

// TargetChange is an order to acquire a target in a zone, or to withdraw one.
type TargetChange struct {
	Withdraw identifier.TargetID
	Zone     identifier.ZoneID
	Cheap    bool
}

// PlanTargets returns the target orders to place now, at most one.
func PlanTargets(in TargetInput) []TargetChange {
	wanted := max(minimumTargets, in.NeededEngines*in.SurvivingShare/plannedUtilization)
	remaining := surviving(in.Targets)
	switch {
	case float64(remaining) < math.Ceil(wanted) && countNotLeaving(in.Targets) < in.Maximum:
		zone := emptiestZone(in)
		if zone == "" {
			return nil
		}
		return []TargetChange{{Zone: zone, Cheap: allowsCheap(in)}}
	case float64(remaining-1) >= math.Ceil(wanted/withdrawThreshold):
		return withdrawOne(in)
	}
	return nil
}

func countNotLeaving(targets []TargetState) int {
	n := 0
	for _, t := range targets {
		if !t.Leaving {
			n++
		}
	}
	return n
}

// surviving returns how many targets remain if the zone with the most targets is lost.
func surviving(targets []TargetState) int {
	byZone := countZones(targets)
	worst := 0
	for _, n := range byZone {
		worst = max(worst, n)
	}
	return countNotLeaving(targets) - worst
}

func countZones(targets []TargetState) map[identifier.ZoneID]int {
	byZone := map[identifier.ZoneID]int{}
	for _, t := range targets {
		if !t.Leaving {
			byZone[t.Zone]++
		}
	}
	return byZone
}

func emptiestZone(in TargetInput) identifier.ZoneID {
	byZone := countZones(in.Targets)
	zones := slices.Clone(in.Zones)
	slices.SortFunc(zones, func(a, b identifier.ZoneID) int {
		return cmp.Or(cmp.Compare(byZone[a], byZone[b]), cmp.Compare(a, b))
	})
	if len(zones) == 0 {
		return ""
	}
	return zones[0]
}

func allowsCheap(in TargetInput) bool {
	cheap := 0
	for _, t := range in.Targets {
		if t.Cheap && !t.Leaving {
			cheap++
		}
	}
	return float64(cheap+1) <= in.CheapShare*float64(countNotLeaving(in.Targets)+1)
}

// withdrawOne withdraws an acquired target of the zone with the most targets, regular ones first.
func withdrawOne(in TargetInput) []TargetChange {
	byZone := countZones(in.Targets)
	candidates := slices.DeleteFunc(slices.Clone(in.Targets), func(t TargetState) bool { return !t.Acquired || t.Leaving })
	if len(candidates) == 0 {
		return nil
	}
	slices.SortFunc(candidates, func(a, b TargetState) int {
		return cmp.Or(
			cmp.Compare(byZone[b.Zone], byZone[a.Zone]),
			cmp.Compare(withdrawalRank(a), withdrawalRank(b)),
			cmp.Compare(a.ID, b.ID))
	})
	return []TargetChange{{Withdraw: candidates[0].ID}}
}

// withdrawalRank orders targets of a zone for withdrawal: regular ones before cheap ones.
func withdrawalRank(t TargetState) int {
	if t.Cheap {
		return 1
	}
	return 0
}
