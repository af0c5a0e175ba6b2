package placer

import (
	"cmp"
	"math"
	"slices"

	"github.com/coltsfootscale/coltsfootscale/pkg/identifier"
)

// The number of targets follows the demand: after the loss of any one availability zone, what is left
// must still carry the promised share of it. Targets that can be reclaimed at short notice carry at
// most a set part, and count as lost together with the zone that would hurt most.

const (
	fullUse        = 0.70
	withdrawBelow  = 0.75
	minimumTargets = 1
)

// TargetState is one target that is held, for a decision on where to order more.
type TargetState struct {
	ID       identifier.TargetID
	Zone     identifier.ZoneID
	Cheap    bool
	Acquired bool
	Leaving  bool
}

// TargetInput is what a decision on target orders depends on; Needed is the demand in targets.
type TargetInput struct {
	Zones          []identifier.ZoneID
	Targets        []TargetState
	Needed         float64
	Maximum        int
	SurvivingShare float64
	CheapShare     float64
}

// TargetChange is a target to acquire in a zone, or one to give back.
type TargetChange struct {
	Withdraw identifier.TargetID
	Zone     identifier.ZoneID
	Cheap    bool
}

// PlanTargets returns the target orders to place now.
func PlanTargets(s TargetInput) []TargetChange {
	wanted := max(minimumTargets, s.Needed*s.SurvivingShare/fullUse)
	left := surviving(s.Targets)
	switch {
	case float64(left) < math.Ceil(wanted) && held(s.Targets) < s.Maximum:
		zone := emptiest(s)
		if zone == "" {
			return nil
		}
		return []TargetChange{{Zone: zone, Cheap: mayBeCheap(s)}}
	case float64(left-1) >= math.Ceil(wanted/withdrawBelow):
		return withdrawOne(s)
	}
	return nil
}

func held(holdings []TargetState) int {
	n := 0
	for _, h := range holdings {
		if !h.Leaving {
			n++
		}
	}
	return n
}

// surviving returns how many targets remain if the zone that holds the most is lost.
func surviving(holdings []TargetState) int {
	byZone := countZones(holdings)
	worst := 0
	for _, n := range byZone {
		worst = max(worst, n)
	}
	return held(holdings) - worst
}

func countZones(holdings []TargetState) map[identifier.ZoneID]int {
	byZone := map[identifier.ZoneID]int{}
	for _, h := range holdings {
		if !h.Leaving {
			byZone[h.Zone]++
		}
	}
	return byZone
}

func emptiest(s TargetInput) identifier.ZoneID {
	byZone := countZones(s.Targets)
	zones := slices.Clone(s.Zones)
	slices.SortFunc(zones, func(a, b identifier.ZoneID) int {
		return cmp.Or(cmp.Compare(byZone[a], byZone[b]), cmp.Compare(a, b))
	})
	if len(zones) == 0 {
		return ""
	}
	return zones[0]
}

func mayBeCheap(s TargetInput) bool {
	cheap := 0
	for _, h := range s.Targets {
		if h.Cheap && !h.Leaving {
			cheap++
		}
	}
	return float64(cheap+1) <= s.CheapShare*float64(held(s.Targets)+1)
}

// withdrawOne gives back an acquired target of the fullest zone, a dear one first.
func withdrawOne(s TargetInput) []TargetChange {
	byZone := countZones(s.Targets)
	candidates := slices.DeleteFunc(slices.Clone(s.Targets), func(h TargetState) bool { return !h.Acquired || h.Leaving })
	if len(candidates) == 0 {
		return nil
	}
	slices.SortFunc(candidates, func(a, b TargetState) int {
		return cmp.Or(
			cmp.Compare(byZone[b.Zone], byZone[a.Zone]),
			cmp.Compare(rankCheap(a), rankCheap(b)),
			cmp.Compare(a.ID, b.ID))
	})
	return []TargetChange{{Withdraw: candidates[0].ID}}
}

func rankCheap(h TargetState) int {
	if h.Cheap {
		return 1
	}
	return 0
}
