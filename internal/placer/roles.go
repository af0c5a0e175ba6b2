package placer

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/coltsfootscale/coltsfootscale/internal/recorder"
	"github.com/coltsfootscale/coltsfootscale/pkg/identifier"
)

// PlanRoles decides how many engines do prefill only. All other engines are mixed: they decode, after their own
// prefill or after importing the prompt's KV cache.
//
// Demand is measured in engines: uncached prompt tokens per second divided by an engine's prefill rate, and output
// tokens per second divided by its decode rate. A mixed engine runs prefill in chunks between decode steps, so it can
// spend only a fraction of its time on prefill if tokens are to be on time. While the prefill demand is at most
// prefillSplitShare of the fleet, no engine becomes a prefill engine, because a change takes seconds. Beyond that,
// enough engines become prefill engines for the remaining prefill to fit into that fraction of the mixed engines. If
// decode fills the batches so far that any prefill beside it makes tokens late, prefill engines take all prompts. The
// number of prefill engines changes only when it is off by at least toleranceEngines, in the same direction, in both
// the short and the long window.

const (
	// mixedPrefillShare is the largest share of a mixed engine's time for prefill.
	mixedPrefillShare = 0.30
	// prefillUtilization is the highest planned utilization of a prefill engine.
	prefillUtilization = 0.85
	// decodeUtilization is the highest planned utilization of an engine that decodes.
	decodeUtilization = 0.80
	// fleetUtilization is the highest utilization of all engines together.
	fleetUtilization = 0.85
	// prefillSplitShare is the prefill share of the fleet above which the first prefill engine is set up, and
	// prefillMergeShare the one below which the last becomes mixed again.
	prefillSplitShare = 0.40
	prefillMergeShare = 0.20
	// decodeSplitShare and decodeMergeShare are the same thresholds for the decode share.
	decodeSplitShare = 0.60
	decodeMergeShare = 0.50
	// toleranceEngines is how far the number of prefill engines may be off before roles change.
	toleranceEngines = 1.6
	// settleTime is the minimum time between a role change and the next plan.
	settleTime = 3 * time.Second
	// maximumChanges is the maximum number of role changes in one plan.
	maximumChanges = 4
)

// Engine is the input of PlanRoles for one engine.
type Engine struct {
	ID               identifier.TargetID
	Zone             identifier.ZoneID
	Role             recorder.Role
	Orderable        bool
	Changing         bool
	PrefillPerSecond float64
	DecodePerSecond  float64
}

// Demand is a rate of uncached prompt tokens and output tokens per second.
type Demand struct {
	Prompt float64
	Output float64
}

// RoleInput is the input of PlanRoles; Short and Long are the demand over a short and a long window.
type RoleInput struct {
	Engines     []Engine
	Short       Demand
	Long        Demand
	SinceChange time.Duration
}

// RoleChange is an order to change an engine's role.
type RoleChange struct {
	ID   identifier.TargetID
	Role recorder.Role
}

// PlanRoles returns the role changes to order now.
func PlanRoles(in RoleInput) []RoleChange {
	if len(in.Engines) == 0 || in.SinceChange < settleTime || anyChanging(in.Engines) {
		return nil
	}
	current := countPrefill(in.Engines)
	short := wantedPrefill(in.Engines, in.Short, current) - float64(current)
	long := wantedPrefill(in.Engines, in.Long, current) - float64(current)
	if math.Abs(short) < toleranceEngines || math.Abs(long) < toleranceEngines || short*long < 0 {
		return nil
	}
	return changes(in.Engines, int(math.Round(short)))
}

// NeededEngines returns the demand in fully busy engines.
func NeededEngines(engines []Engine, d Demand) float64 {
	if len(engines) == 0 {
		return 0
	}
	prefill, decode := enginesByKind(engines, d)
	return prefill + decode
}

func anyChanging(engines []Engine) bool {
	return slices.ContainsFunc(engines, func(e Engine) bool { return e.Changing })
}

func countPrefill(engines []Engine) int {
	n := 0
	for _, e := range engines {
		if e.Role == recorder.Role_Prefill {
			n++
		}
	}
	return n
}

// enginesByKind returns how many engines prefill and decode would each keep fully busy.
func enginesByKind(engines []Engine, d Demand) (prefill, decode float64) {
	var prefillRate, decodeRate float64
	for _, e := range engines {
		prefillRate += e.PrefillPerSecond
		decodeRate += e.DecodePerSecond
	}
	n := float64(len(engines))
	return d.Prompt / (prefillRate / n), d.Output / (decodeRate / n)
}

// wantedPrefill returns the number of prefill engines that the demand calls for, not rounded.
func wantedPrefill(engines []Engine, d Demand, current int) float64 {
	n := float64(len(engines))
	prefill, decode := enginesByKind(engines, d)
	// Demand beyond the fleet's capacity is refused whatever the roles are, so the demand is scaled down, in the same mix,
	// to what can be served.
	if utilization := (prefill + decode) / n; utilization > fleetUtilization {
		prefill *= fleetUtilization / utilization
		decode *= fleetUtilization / utilization
	}
	threshold := prefillSplitShare
	if current > 0 {
		threshold = prefillMergeShare
	}
	if prefill/n <= threshold && decode/n <= decodeThreshold(current) {
		return 0
	}
	wanted := (prefill - mixedPrefillShare*n) / (prefillUtilization - mixedPrefillShare)
	if decode/n > decodeThreshold(current) {
		wanted = prefill / prefillUtilization
	}
	limit := n - math.Ceil(decode/decodeUtilization)
	return max(0, min(max(1, wanted), limit, n-1))
}

// decodeThreshold returns the decode share of the fleet above which mixed engines have no time left for prefill, given
// the current number of prefill engines.
func decodeThreshold(current int) float64 {
	if current > 0 {
		return decodeMergeShare
	}
	return decodeSplitShare
}

// changes returns the role changes that add prefill engines, or that return prefill engines to mixed if the number is
// negative, but at most maximumChanges. Zones with the fewest engines of the new role come first.
func changes(engines []Engine, additional int) []RoleChange {
	from, to := recorder.Role_Mixed, recorder.Role_Prefill
	if additional < 0 {
		from, to, additional = to, from, -additional
	}
	var list []RoleChange
	for _, e := range balanceZones(engines, to) {
		if e.Orderable && e.Role == from && len(list) < min(additional, maximumChanges) {
			list = append(list, RoleChange{ID: e.ID, Role: to})
		}
	}
	return list
}

// balanceZones sorts engines so that those in zones with the fewest engines of the role come first.
func balanceZones(engines []Engine, role recorder.Role) []Engine {
	byZone := map[identifier.ZoneID]int{}
	for _, e := range engines {
		if e.Role == role {
			byZone[e.Zone]++
		}
	}
	ordered := slices.Clone(engines)
	slices.SortFunc(ordered, func(a, b Engine) int {
		return cmp.Or(cmp.Compare(byZone[a.Zone], byZone[b.Zone]), cmp.Compare(a.ID, b.ID))
	})
	return ordered
}
