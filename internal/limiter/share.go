package limiter

import "slices"

const scarcity = 0.9

// Demand is one team's use of a shared capacity and its weight.
type Demand struct {
	Wanted  float64
	Weight  float64
	Allowed float64
}

// Share sets Allowed of each demand to its weighted max-min share of the capacity.
//
// Demands are taken in the order of wanted per weight. Each takes what it wants if that is no more
// than its weight's part of what is left, so what small demands leave goes to the larger ones.
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

// OverloadCapacity is the capacity to share out under overload: a little less than what all demands use now.
func OverloadCapacity(demands []Demand) float64 {
	total := 0.0
	for _, d := range demands {
		total += d.Wanted
	}
	return total * scarcity
}

// Cost returns the part of the capacity that a rate of tokens takes up, of prefill and of decode together.
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
