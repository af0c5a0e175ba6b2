package limiter

import "slices"

// overloadFraction is the fraction of the current use that is shared under overload.
const overloadFraction = 0.9

// Demand is one team's use of a shared capacity, its weight and its resulting share; Wanted and Allowed are in the unit
// of the capacity.
type Demand struct {
	Wanted  float64
	Weight  float64
	Allowed float64
}

// Share sets Allowed of each demand to its weighted max-min share of the capacity.
//
// Demands are served in ascending order of wanted capacity per weight. Each gets what it wants, up to its weighted
// share of the remaining capacity, so capacity that small demands leave unused goes to the larger ones.
func Share(capacity float64, demands []Demand) {
	order := make([]int, len(demands))
	weights := 0.0
	for i, d := range demands {
		order[i] = i
		weights += d.Weight
	}
	slices.SortFunc(order, func(a, b int) int {
		left := demands[a].Wanted * demands[b].Weight
		right := demands[b].Wanted * demands[a].Weight
		switch {
		case left < right:
			return -1
		case left > right:
			return 1
		}
		return a - b
	})
	left := capacity
	for _, i := range order {
		d := &demands[i]
		if weights <= 0 {
			d.Allowed = 0
			continue
		}
		d.Allowed = min(d.Wanted, max(0, left)*d.Weight/weights)
		left -= d.Allowed
		weights -= d.Weight
	}
}

// OverloadCapacity returns the capacity to share under overload: slightly less than all demands use now.
func OverloadCapacity(demands []Demand) float64 {
	total := 0.0
	for _, d := range demands {
		total += d.Wanted
	}
	return total * overloadFraction
}

// Cost returns the share of the prefill capacity plus the share of the decode capacity that a token rate uses.
func Cost(r Rate, prefillPerSecond, decodePerSecond float64) float64 {
	cost := 0.0
	if prefillPerSecond > 0 {
		cost += r.Prompt / prefillPerSecond
	}
	if decodePerSecond > 0 {
		cost += r.Output / decodePerSecond
	}
	return cost
}
